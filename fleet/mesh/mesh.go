// Package mesh carries a fleet.Node's messages over TCP: a listener, links with frames and TLS, reconnects, bounded buffers. It
// decides nothing: which links are wanted, what is sent and what a message means is decided in package fleet.
//
// A Mesh owns the node and the voter's disk from New to Close. Its lock guards the node and the table of links; it is held while
// the disk is written, never while a connection is. Each link has a goroutine that reads and one that writes; one goroutine ticks,
// and one hands events to Options.OnEvent. Invariants: nothing is sent that rests on a disk write before that write has succeeded;
// there is one link per peer, the newest; a slow peer never holds up the others, since its link is closed when its queue is full.
package mesh

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/framing"
)

// protocol of the mesh; docs/fleet.md describes it.
var protocol = framing.Protocol{Magic: [4]byte{'D', 'R', 'F', 'M'}, Version: 2, PeerKind: "front of a fleet", MaxFrameBytes: fleet.MaxMessageBytes + 4096}

// Disk stores what a voter must not forget; what Save returned nil for must survive any crash.
type Disk interface {
	Save(*fleet.DiskWrite) error
}

// Options configure a Mesh.
type Options struct {
	Listen        string                                 // address to listen on
	PeerAddresses map[string]string                      // addresses by front, in place of those that the fleet knows
	Keys          func(peer string) (*tls.Config, error) // nil for plain TCP; peer is "" for an accepted connection
	Node          *fleet.Node
	Timing        fleet.Timing
	Disk          Disk                                  // nil for a follower
	OnEvent       func(at time.Duration, e fleet.Event) // what happened, and when on this front's clock
	OnDropped     func(events uint64)                   // so many broadcasts, datagrams and the like never came to OnEvent; may be nil
}

const (
	maxHandshakes     = 32       // accepted connections without a handshake
	maxQueuedMessages = 512      // messages for a peer
	maxQueuedBytes    = 8 << 20  // bytes of messages for a peer
	maxWriteBytes     = 64 << 10 // of messages in one write, and the last one
	leavePollInterval = 5 * time.Millisecond
)

// Mesh is one front's links to other fronts of its fleet.
type Mesh struct {
	options   Options
	listener  net.Listener
	startedAt time.Time // zero of Now
	events    *eventQueue
	counters  counters

	mu          sync.Mutex // guards the fields below, and the node
	node        *fleet.Node
	links       map[string]*link // by peer
	dialling    map[string]bool  // peers to which a link is being opened
	closed      bool
	diskRetryAt time.Duration // until when no write to a failing disk is tried; 0 while it does not fail

	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New makes a Mesh that listens; Run starts it. The error names the address that can't be listened on.
func New(o Options) (*Mesh, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	m := &Mesh{
		options:   o,
		listener:  l,
		startedAt: time.Now(),
		events:    newEventQueue(),
		node:      o.Node,
		links:     map[string]*link{},
		dialling:  map[string]bool{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

// Addr is the address that it listens on.
func (m *Mesh) Addr() net.Addr { return m.listener.Addr() }

// Now is this front's clock in the fleet: monotonic, since New.
func (m *Mesh) Now() time.Duration { return time.Since(m.startedAt) }

// WallTime converts a time of that clock to the wall clock, for logs.
func (m *Mesh) WallTime(d time.Duration) time.Time { return m.startedAt.Add(d) }

// Run starts the mesh's goroutines; they end with Close.
func (m *Mesh) Run() {
	m.goroutines.Go(m.accept)
	m.goroutines.Go(m.tick)
	m.goroutines.Go(m.deliverEvents)
}

// deliverEvents hands events to OnEvent, in their order, and tells OnDropped of those that had no room.
func (m *Mesh) deliverEvents() {
	told := uint64(0)
	for {
		select {
		case <-m.events.wake:
		case <-m.ctx.Done():
			return
		}
		events, dropped := m.events.take()
		for _, e := range events {
			if m.ctx.Err() != nil {
				return
			}
			m.options.OnEvent(e.at, e.event)
		}
		if dropped > told && m.options.OnDropped != nil {
			m.options.OnDropped(dropped - told)
		}
		told = dropped
	}
}

// Do calls a function with the node, under the mesh's lock. It waits for other calls and for the voter's disk only. After Close it
// calls nothing.
func (m *Mesh) Do(call func(n *fleet.Node, now time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	call(m.node, m.Now())
	m.pump()
}

// Broadcast sends a broadcast under a lease; ok is false where this front does not hold the lease now.
func (m *Mesh) Broadcast(leaseName string, data []byte) (ok bool) {
	m.Do(func(n *fleet.Node, now time.Duration) { ok = n.Broadcast(now, leaseName, data) })
	return ok
}

// Leave releases all leases and waits, for a time at most, until others hold them; all reports whether they do.
func (m *Mesh) Leave(within time.Duration) (all bool) {
	m.Do(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
	for end := time.Now().Add(within); ; time.Sleep(leavePollInterval) {
		m.Do(func(n *fleet.Node, now time.Duration) { all = n.HasLeft() })
		if all || time.Now().After(end) {
			return all
		}
	}
}

// Close closes all links and waits for the mesh's goroutines.
func (m *Mesh) Close() {
	m.cancel()
	_ = m.listener.Close() // nothing is accepted any more either way
	m.mu.Lock()
	m.closed = true
	for _, l := range m.links {
		l.close()
	}
	m.mu.Unlock()
	m.goroutines.Wait()
}

// pump carries out what the node asks for; m.mu must be held.
func (m *Mesh) pump() {
	m.writePending()
	now := m.Now()
	for _, e := range m.node.Events() { // before any peer receives what follows from them
		m.events.add(timedEvent{now, e})
	}
	for _, out := range m.node.Outgoing() {
		if l := m.links[out.To]; l != nil && !l.enqueue(out.Message) {
			m.counters.shed.Add(1)
			slog.Warn("fleet: link to a slow peer closed", "peer", out.To, "messages", len(l.queue), "bytes", l.queuedBytes.Load())
			l.close() // the peer reconnects
		}
	}
	for _, name := range m.node.LinksToClose() {
		if l := m.links[name]; l != nil {
			l.close()
		}
	}
}

// tick calls the node's Tick until Close, and opens the links that it wants.
func (m *Mesh) tick() {
	t := time.NewTicker(m.options.Timing.TickInterval())
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
		m.Do(func(n *fleet.Node, now time.Duration) {
			n.Tick(now)
			for _, d := range n.WantedLinks(now) {
				m.dial(d)
			}
		})
	}
}
