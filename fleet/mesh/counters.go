package mesh

import (
	"net"
	"sync/atomic"

	"dapplerouter/fleet"
)

// Totals are counts since the mesh was created, except for Links, the present number of links.
type Totals struct {
	Links                    int
	Sent, Received           uint64 // messages
	SentBytes, ReceivedBytes uint64 // bytes of frames and greetings, without the overhead of TLS and TCP
	SlowLinksClosed          uint64 // links to slow peers that were closed
	Rejected                 uint64 // links that this front or the peer rejected
	Dials                    uint64
	Kinds                    []KindTotals // messages sent, by kind; kinds without any are omitted
}

// KindTotals counts the messages of one kind that were sent.
type KindTotals struct {
	Kind     string `json:"kind"`
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"` // bytes of their frames, without the greeting
}

// maxKinds is greater than the largest fleet.Kind.
const maxKinds = 32

// counters holds the counts that Totals returns.
type counters struct {
	sent, received, sentBytes, receivedBytes atomic.Uint64
	shed, rejected, dials                    atomic.Uint64
	kinds                                    [maxKinds]kindCounter
}

// kindCounter counts the messages of one kind that were sent, and the bytes of their frames.
type kindCounter struct{ messages, bytes atomic.Uint64 }

// countSent counts a message that was sent and the bytes of its frame.
func (c *counters) countSent(kind fleet.Kind, bytes int) {
	c.sent.Add(1)
	if bytes >= 0 {
		c.kinds[kind%maxKinds].messages.Add(1)
		c.kinds[kind%maxKinds].bytes.Add(uint64(bytes))
	}
}

// Totals returns the counts since the mesh was created.
func (m *Mesh) Totals() Totals {
	m.mu.Lock()
	links := len(m.links)
	m.mu.Unlock()
	c := &m.counters
	return Totals{
		Links:           links,
		Sent:            c.sent.Load(),
		Received:        c.received.Load(),
		SentBytes:       c.sentBytes.Load(),
		ReceivedBytes:   c.receivedBytes.Load(),
		SlowLinksClosed: c.shed.Load(),
		Rejected:        c.rejected.Load(),
		Dials:           c.dials.Load(),
		Kinds:           c.sentKinds(),
	}
}

// sentKinds returns the totals of each kind of which a message was sent.
func (c *counters) sentKinds() (all []KindTotals) {
	for i := range c.kinds {
		if n := c.kinds[i].messages.Load(); n > 0 {
			all = append(all, KindTotals{fleet.Kind(i).String(), n, c.kinds[i].bytes.Load()})
		}
	}
	return all
}

// countingConn is a connection that adds the bytes it reads and writes to the mesh's counters.
type countingConn struct {
	net.Conn
	counters *counters
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.receivedBytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sentBytes.Add(uint64(n))
	return n, err
}
