package mesh

import (
	"net"
	"sync/atomic"

	"dapplerouter/fleet"
)

// Totals are counts since the start; Links is the present number.
type Totals struct {
	Links                    int
	Sent, Received           uint64 // messages
	SentBytes, ReceivedBytes uint64 // of frames and greetings, without TLS and TCP
	Shed                     uint64 // links to slow peers that were closed
	Rejected                 uint64 // links that this front or a peer rejected
	Dials                    uint64
	Kinds                    []KindTotals // of what was sent, none for kinds that were not
}

// KindTotals are what was sent of one kind of message.
type KindTotals struct {
	Kind     string `json:"kind"`
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"` // of frames, without the greeting
}

// maxKinds is more than there are kinds of message.
const maxKinds = 32

// counters count since the start.
type counters struct {
	sent, received, sentBytes, receivedBytes atomic.Uint64
	shed, rejected, dials                    atomic.Uint64
	kinds                                    [maxKinds]kindCounter
}

// kindCounter counts what was sent of one kind of message.
type kindCounter struct{ messages, bytes atomic.Uint64 }

// countSent counts a message and the bytes of its frame.
func (c *counters) countSent(kind fleet.Kind, bytes int) {
	c.sent.Add(1)
	if bytes >= 0 {
		c.kinds[kind%maxKinds].messages.Add(1)
		c.kinds[kind%maxKinds].bytes.Add(uint64(bytes))
	}
}

// Totals returns the counts since the start.
func (m *Mesh) Totals() Totals {
	m.mu.Lock()
	links := len(m.links)
	m.mu.Unlock()
	c := &m.counters
	return Totals{
		Links:         links,
		Sent:          c.sent.Load(),
		Received:      c.received.Load(),
		SentBytes:     c.sentBytes.Load(),
		ReceivedBytes: c.receivedBytes.Load(),
		Shed:          c.shed.Load(),
		Rejected:      c.rejected.Load(),
		Dials:         c.dials.Load(),
		Kinds:         c.sentKinds(),
	}
}

// sentKinds are the totals of each kind that was sent.
func (c *counters) sentKinds() (all []KindTotals) {
	for i := range c.kinds {
		if n := c.kinds[i].messages.Load(); n > 0 {
			all = append(all, KindTotals{fleet.Kind(i).String(), n, c.kinds[i].bytes.Load()})
		}
	}
	return all
}

// countingConn counts the bytes that pass.
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
