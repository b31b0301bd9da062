// Package mesh carries the messages of a fleet.Node over TCP: it listens, dials and reconnects, frames and encrypts (TLS), and bounds its
// queues. Which links are wanted, what is sent and what a message means is decided in package fleet.
//
// A Mesh owns the node and the voter's disk from New to Close. Its lock guards the node and the table of links. The lock is held during
// disk writes, but never during reads or writes of a connection. Each link has one goroutine that reads and one that writes. One
// goroutine drives the node's clock, and one passes events to Options.OnEvent.
//
// Invariants:
//
//  1. A message that depends on a disk write is sent only after that write has succeeded.
//  2. There is one link per peer, the newest.
//  3. A slow peer does not delay the others: its link is closed when its queue is full.
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

// protocol is the framing protocol of the mesh, described in docs/fleet.md.
var protocol = framing.Protocol{Magic: [4]byte{'D', 'R', 'F', 'M'}, Version: 2, PeerKind: "front of a fleet", MaxFrameBytes: fleet.MaxMessageBytes + 4096}

// Disk stores the durable state of a voter. What a successful Save wrote must survive any crash.
type Disk interface {
	Save(*fleet.DiskWrite) error
}

// Options configure a Mesh.
type Options struct {
	Listen        string                                 // address to listen on
	PeerAddresses map[string]string                      // address by front name; overrides the one that the fleet knows
	Keys          func(peer string) (*tls.Config, error) // nil for plain TCP; peer is "" for an accepted connection
	Node          *fleet.Node
	Timing        fleet.Timing
	Disk          Disk                                  // nil for a follower
	OnEvent       func(at time.Duration, e fleet.Event) // called for each event, with its time on this front's clock
	OnDropped     func(events uint64)                   // called with the number of events dropped since the last call; may be nil
}

const (
	maxHandshakes     = 32                   // accepted connections whose handshake is not complete
	maxQueuedMessages = 512                  // messages that wait to be sent to a peer
	maxQueuedBytes    = 8 << 20              // bytes of messages that wait to be sent to a peer
	maxWriteBytes     = 64 << 10             // bytes after which no further message is added to a write
	leavePollInterval = 5 * time.Millisecond // how often Leave checks whether other fronts hold the leases
)

// Mesh manages one front's links to the other fronts of its fleet.
type Mesh struct {
	options   Options
	listener  net.Listener
	startedAt time.Time // the time at which Now was 0
	events    *eventQueue
	counters  counters

	mu          sync.Mutex // guards the fields below and the state of the node
	node        *fleet.Node
	links       map[string]*link        // by peer name
	dialling    map[string]*dialAttempt // the attempts in progress, by peer name
	closed      bool
	diskRetryAt time.Duration // no write to a failing disk is attempted before this time; 0 while the disk does not fail

	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a Mesh that listens for connections; Run starts it. The error names the address that can't be listened on.
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
		dialling:  map[string]*dialAttempt{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

// Addr returns the address that the mesh listens on.
func (m *Mesh) Addr() net.Addr { return m.listener.Addr() }

// Now returns the time of this front's clock in the fleet: a monotonic clock that starts at 0 in New.
func (m *Mesh) Now() time.Duration { return time.Since(m.startedAt) }

// WallTime converts a time of the clock of Now to wall-clock time, for logs.
func (m *Mesh) WallTime(d time.Duration) time.Time { return m.startedAt.Add(d) }

// Run starts the mesh's goroutines; they end with Close.
func (m *Mesh) Run() {
	m.goroutines.Go(m.accept)
	m.goroutines.Go(m.tick)
	m.goroutines.Go(m.deliverEvents)
}

// deliverEvents passes events to OnEvent in order, and reports to OnDropped how many were dropped.
func (m *Mesh) deliverEvents() {
	reported := uint64(0)
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
		if dropped > reported && m.options.OnDropped != nil {
			m.options.OnDropped(dropped - reported)
		}
		reported = dropped
	}
}

// Do calls a function with the node and the time, under the mesh's lock. It waits only for other calls and for the voter's disk. After
// Close it does not call the function.
func (m *Mesh) Do(call func(n *fleet.Node, now time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	call(m.node, m.Now())
	m.processOutput()
}

// Broadcast sends a broadcast under a lease. ok is false if this front does not hold the lease now.
func (m *Mesh) Broadcast(leaseName string, data []byte) (ok bool) {
	m.Do(func(n *fleet.Node, now time.Duration) { ok = n.Broadcast(now, leaseName, data) })
	return ok
}

// Leave releases all leases and waits until other fronts hold them, for the duration within at most. all reports whether they do.
func (m *Mesh) Leave(within time.Duration) (all bool) {
	m.Do(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
	for end := time.Now().Add(within); ; time.Sleep(leavePollInterval) {
		m.Do(func(n *fleet.Node, now time.Duration) { all = n.HasLeft() })
		if all || time.Now().After(end) {
			return all
		}
	}
}

// Close closes all links and waits for all goroutines of the mesh.
func (m *Mesh) Close() {
	m.cancel()
	_ = m.listener.Close() // it accepts no connections after an error either
	m.mu.Lock()
	m.closed = true
	for _, l := range m.links {
		l.close()
	}
	m.mu.Unlock()
	m.goroutines.Wait()
}

// processOutput carries out what the node asks for after a call: disk writes, events, messages to send and links to close. m.mu must be
// held.
func (m *Mesh) processOutput() {
	m.writePending()
	now := m.Now()
	for _, e := range m.node.Events() { // queued before any peer receives messages that follow from them
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

// tick calls the node's Tick at each tick interval until Close, and dials the links that the node wants.
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
