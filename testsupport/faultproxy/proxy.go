// Package faultproxy is a TCP proxy on loopback that injects network faults: it delays, stalls, drops, corrupts or breaks what
// passes, as its owner sets it or by seeded chance. For tests and measurements only.
//
// A Proxy owns its listener, its connections and two goroutines for each direction of a connection; Close ends them all. Its mutex
// guards the conditions and the set of connections.
package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Way is a direction of traffic.
type Way int

// The directions, by who dialled the proxy.
const (
	Out  Way = iota // from the client to the target
	Back            // from the target to the client
)

// Weather is what happens to the traffic of one direction. The zero value passes everything on at once.
type Weather struct {
	Delay, Jitter time.Duration // a chunk comes later by Delay and up to Jitter; order is preserved
	Rate          int64         // bytes a second, 0 for no limit
	Stall         bool          // nothing is read
	Swallow       bool          // everything is read and nothing is written
	BreakAfter    int64         // the connection ends after this many more bytes, 0 for never
	Spoil         float64       // probability that a byte of a chunk is changed
}

// Hop listens on loopback, and forwards each connection to a target.
type Hop struct {
	l      net.Listener
	target string

	mu      sync.Mutex
	weather [2]Weather
	refuse  bool
	pairs   map[*pair]struct{}
	rnd     *rand.Rand
	change  *sync.Cond
	closed  bool
	done    sync.WaitGroup
	Passed  [2]int64 // bytes read, by direction
}

type pair struct{ a, b net.Conn }

// New starts a Hop that forwards to target; seed is that of Jitter and Spoil. The error is that of the listener.
func New(target string, seed uint64) (*Hop, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Hop{l: l, target: target, pairs: map[*pair]struct{}{}, rnd: rand.New(rand.NewPCG(seed, 1))}
	h.change = sync.NewCond(&h.mu)
	h.done.Go(h.accept)
	return h, nil
}

// Address returns the host and port that it listens on.
func (h *Hop) Address() string { return h.l.Addr().String() }

// Set changes what happens to the traffic of a direction.
func (h *Hop) Set(w Way, to Weather) {
	h.mu.Lock()
	h.weather[w] = to
	h.change.Broadcast()
	h.mu.Unlock()
}

// Refuse makes new connections end at once while it is on.
func (h *Hop) Refuse(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refuse = on
}

// Break resets all connections.
func (h *Hop) Break() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for p := range h.pairs {
		p.end()
	}
}

func (p *pair) end() {
	for _, c := range []net.Conn{p.a, p.b} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // it may have ended already
		}
		_ = c.Close()
	}
}

// Close resets all connections and waits until every goroutine has ended.
func (h *Hop) Close() {
	_ = h.l.Close()
	h.mu.Lock()
	h.closed = true
	h.change.Broadcast()
	h.mu.Unlock()
	h.Break()
	h.done.Wait()
}

func (h *Hop) accept() {
	for {
		a, err := h.l.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		refuse := h.refuse || h.closed
		h.mu.Unlock()
		if refuse {
			_ = a.Close()
			continue
		}
		b, err := net.Dial("tcp", h.target)
		if err != nil {
			_ = a.Close()
			continue
		}
		p := &pair{a, b}
		h.mu.Lock()
		h.pairs[p] = struct{}{}
		h.mu.Unlock()
		h.done.Go(func() { h.forward(p, a, b, Out) })
		h.done.Go(func() { h.forward(p, b, a, Back) })
	}
}

// chunk is what one read brought, and when it is passed on.
type chunk struct {
	due  time.Time
	data []byte
}

// maxQueuedChunks bounds what one direction of a connection holds back.
const maxQueuedChunks = 1024

// forward carries one direction: it takes chunks in, and a goroutine of its own passes them on when they are due.
func (h *Hop) forward(p *pair, from, to net.Conn, w Way) {
	queue := make(chan chunk, maxQueuedChunks)
	h.done.Go(func() {
		defer p.end()
		h.write(to, w, queue)
	})
	defer func() {
		close(queue)
		h.mu.Lock()
		delete(h.pairs, p)
		h.mu.Unlock()
	}()
	h.read(from, w, queue)
}

// read takes chunks in until the connection ends, by itself or by the conditions.
func (h *Hop) read(from net.Conn, w Way, queue chan<- chunk) {
	buf := make([]byte, 16<<10)
	last := time.Time{}
	for {
		h.waitWhileStalled(w)
		n, err := from.Read(buf)
		c, ends := h.applyConditions(w, buf[:n], last)
		last = c.due
		if len(c.data) > 0 {
			queue <- c
		}
		if ends || err != nil {
			return
		}
	}
}

// waitWhileStalled returns the conditions of a direction once it does not stall.
func (h *Hop) waitWhileStalled(w Way) Weather {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.weather[w].Stall && !h.closed {
		h.change.Wait()
	}
	return h.weather[w]
}

// applyConditions makes a chunk of what was read; last is when the one before is due. It reports whether the connection ends behind it.
func (h *Hop) applyConditions(w Way, read []byte, last time.Time) (c chunk, ends bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := &h.weather[w]
	c.data = append([]byte{}, read...)
	h.Passed[w] += int64(len(read))
	if left := now.BreakAfter; left > 0 {
		now.BreakAfter = max(0, left-int64(len(read)))
		if int64(len(read)) >= left {
			c.data, ends = c.data[:left], true
		}
	}
	c.due = time.Now().Add(now.Delay)
	if now.Jitter > 0 {
		c.due = c.due.Add(time.Duration(h.rnd.Int64N(int64(now.Jitter))))
	}
	if c.due.Before(last) {
		c.due = last
	}
	if len(c.data) > 0 && now.Spoil > 0 && h.rnd.Float64() < now.Spoil {
		c.data[h.rnd.IntN(len(c.data))] ^= byte(1 + h.rnd.IntN(255))
	}
	return c, ends
}

// write passes chunks on when they are due. Behind a failed write it discards the rest, so that the reader is never blocked.
func (h *Hop) write(to net.Conn, w Way, queue <-chan chunk) {
	for c := range queue {
		time.Sleep(time.Until(c.due))
		now := h.waitWhileStalled(w)
		if now.Swallow {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
		if now.Rate > 0 {
			time.Sleep(time.Duration(int64(len(c.data)) * int64(time.Second) / now.Rate))
		}
	}
	for range queue {
		continue
	}
}
