// Package mesh carries a fleet.Node's messages over TCP: a listener, links with frames and TLS, reconnects, bounded buffers. It
// decides nothing: which links are wanted, what is sent and what becomes of it is decided in package fleet.
//
// One lock guards the node. Each link has a goroutine that reads and one that writes; one goroutine ticks, and one hands events to
// Options.OnEvent. A slow peer never holds up the others: its link is closed when its queue is full.
package mesh

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
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
}

const (
	maxHandshakes     = 32       // accepted connections without a handshake
	maxQueuedMessages = 512      // messages for a peer
	maxQueuedBytes    = 8 << 20  // bytes of messages for a peer
	maxWriteBytes     = 64 << 10 // of messages in one write, and the last one
	maxQueuedEvents   = 1 << 14  // events for OnEvent; more are dropped
)

// Totals are counts since the start; Links is the present number.
type Totals struct {
	Links                    int
	Sent, Received           uint64 // messages
	SentBytes, ReceivedBytes uint64
	Shed, Rejected, Dials    uint64
	Kinds                    []KindTotals // of what was sent, none for kinds that were not
}

// KindTotals are what was sent of one kind of message.
type KindTotals struct {
	Kind     string `json:"kind"`
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"` // of frames, without the greeting
}

// mostKinds is more than there are kinds of message.
const mostKinds = 32

// Mesh is one front's links to other fronts of its fleet.
type Mesh struct {
	o        Options
	listener net.Listener
	born     time.Time

	mu       sync.Mutex
	node     *fleet.Node
	links    map[string]*link
	dialling map[string]bool
	ended    bool

	diskRetryAt time.Duration // not before then; 0 while the voter's disk is written

	events     chan timedEvent
	lostEvents atomic.Uint64
	count      struct{ sent, received, sentBytes, gotBytes, shed, refused, dials atomic.Uint64 }
	kinds      [mostKinds]struct{ messages, bytes atomic.Uint64 } // sent

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

// timedEvent is an event that waits for Options.OnEvent.
type timedEvent struct {
	at    time.Duration
	event fleet.Event
}

// link is an established connection to a peer.
type link struct {
	peer        string
	conn        net.Conn
	out         chan *fleet.Message
	queuedBytes atomic.Int64
}

// New makes a Mesh that listens; Run starts it.
func New(o Options) (*Mesh, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	m := &Mesh{o: o, listener: l, born: time.Now(), node: o.Node, links: map[string]*link{}, dialling: map[string]bool{},
		events: make(chan timedEvent, maxQueuedEvents)}
	m.ctx, m.stop = context.WithCancel(context.Background())
	return m, nil
}

// Addr is the address that it listens on.
func (m *Mesh) Addr() net.Addr { return m.listener.Addr() }

// Now is this front's clock in the fleet: monotonic, since New.
func (m *Mesh) Now() time.Duration { return time.Since(m.born) }

// WallTime converts a time of that clock to the wall clock, for logs.
func (m *Mesh) WallTime(d time.Duration) time.Time { return m.born.Add(d) }

// Run starts the mesh's goroutines; they end with Close.
func (m *Mesh) Run() {
	m.done.Go(m.accept)
	m.done.Go(m.tick)
	m.done.Go(func() {
		for {
			select {
			case e := <-m.events:
				m.o.OnEvent(e.at, e.event)
			case <-m.ctx.Done():
				return
			}
		}
	})
}

// Do calls a function with the node, under the mesh's lock. It waits for other calls and for the voter's disk only.
func (m *Mesh) Do(call func(n *fleet.Node, now time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
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
	for end := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		m.Do(func(n *fleet.Node, now time.Duration) { all = n.HasLeft() })
		if all || time.Now().After(end) {
			return all
		}
	}
}

// Close closes all links and waits for the mesh's goroutines.
func (m *Mesh) Close() {
	m.stop()
	m.listener.Close()
	m.mu.Lock()
	m.ended = true
	for _, l := range m.links {
		l.conn.Close()
	}
	m.mu.Unlock()
	m.done.Wait()
}

// Totals returns the counts since the start.
func (m *Mesh) Totals() Totals {
	m.mu.Lock()
	n := len(m.links)
	m.mu.Unlock()
	c := &m.count
	return Totals{n, c.sent.Load(), c.received.Load(), c.sentBytes.Load(), c.gotBytes.Load(), c.shed.Load(), c.refused.Load(), c.dials.Load(), m.sentKinds()}
}

// sentKinds are the totals of each kind that was sent.
func (m *Mesh) sentKinds() (all []KindTotals) {
	for i := range m.kinds {
		if n := m.kinds[i].messages.Load(); n > 0 {
			all = append(all, KindTotals{fleet.Kind(i).String(), n, m.kinds[i].bytes.Load()})
		}
	}
	return all
}

// diskPause lies between two tries of a write that failed for a while, in tick intervals: the mesh is held up by each.
const diskPause = 10

// writePending writes what the voter waits for; m.mu must be held. One that fails for want of room, or by an error of the device, is
// tried again: the voter says nothing until it is on disk.
func (m *Mesh) writePending() {
	for m.Now() >= m.diskRetryAt {
		s, ok := m.node.PendingWrite()
		if !ok {
			return
		}
		err := m.o.Disk.Save(s)
		switch {
		case err == nil:
			if m.diskRetryAt > 0 {
				m.diskRetryAt = 0
				slog.Info("fleet: the voter's disk is written again")
			}
			m.node.WriteDone(m.Now())
		case passingDiskError(err):
			if m.diskRetryAt == 0 {
				slog.Error("fleet: the voter's disk can't be written; it is tried again, and the voter is silent until then", "why", err)
			}
			m.diskRetryAt = m.Now() + diskPause*m.o.Timing.TickInterval()
			return
		default:
			m.node.WriteFailed(err)
			return
		}
	}
}

// passingDiskError tells whether a write may succeed later.
func passingDiskError(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return false
	}
	switch number {
	case syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.ENOMEM:
		return true
	}
	return false
}

// pump carries out what the node asks for; m.mu must be held.
func (m *Mesh) pump() {
	m.writePending()
	now := m.Now()
	for _, e := range m.node.Events() { // before any peer hears of it
		select {
		case m.events <- timedEvent{now, e}:
		default:
			m.lostEvents.Add(1)
		}
	}
	for _, s := range m.node.Outgoing() {
		l := m.links[s.To]
		if l == nil {
			continue
		}
		select {
		case l.out <- s.Message:
			if l.queuedBytes.Add(queuedSize(s.Message)) <= maxQueuedBytes {
				continue
			}
		default:
		}
		m.count.shed.Add(1) // a slow peer must not hold up the others: it reconnects
		slog.Warn("fleet: a slow peer is let go", "peer", s.To, "messages", len(l.out), "bytes", l.queuedBytes.Load())
		l.conn.Close()
	}
	for _, name := range m.node.LinksToClose() {
		if l := m.links[name]; l != nil {
			l.conn.Close()
		}
	}
}

// tick calls the node's Tick until Close, and opens the links that it wants.
func (m *Mesh) tick() {
	t := time.NewTicker(m.o.Timing.TickInterval())
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
		m.mu.Lock()
		if !m.ended {
			now := m.Now()
			m.node.Tick(now)
			for _, d := range m.node.WantedLinks(now) {
				m.dial(d)
			}
			m.pump()
		}
		m.mu.Unlock()
	}
}
