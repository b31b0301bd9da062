// Package faultproxy is a stand-in for the network between two sites: a TCP hop on loopback that delays, stalls, swallows,
// spoils or breaks what passes, by calls or by a seeded script. For tests and measurements only.
package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Way is a direction.
type Way int

const (
	Out  Way = iota // from who dialled
	Back            // to who dialled
)

// Weather is what happens to what passes one way.
type Weather struct {
	Delay, Jitter time.Duration // each piece comes later by Delay and up to Jitter; order is kept
	Rate          int64         // bytes a second, 0 for any
	Stall         bool          // nothing is read
	Swallow       bool          // all is read and nothing passes: one-way silence
	BreakAfter    int64         // the connection ends behind so many more bytes, 0 for never
	Spoil         float64       // chance that a piece has a byte changed
}

// Hop listens, and passes each connection on to a target.
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
	Passed  [2]int64 // bytes
}

type pair struct{ a, b net.Conn }

// New starts a Hop to a target; chance is seeded.
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

// Address is where it listens.
func (h *Hop) Address() string { return h.l.Addr().String() }

// Set changes the weather of a way.
func (h *Hop) Set(w Way, to Weather) {
	h.mu.Lock()
	h.weather[w] = to
	h.change.Broadcast()
	h.mu.Unlock()
}

// Refuse makes new connections end at once.
func (h *Hop) Refuse(on bool) { h.mu.Lock(); h.refuse = on; h.mu.Unlock() }

// Break ends all connections by a reset.
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
			t.SetLinger(0)
		}
		c.Close()
	}
}

// Close ends it.
func (h *Hop) Close() {
	h.l.Close()
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
			a.Close()
			continue
		}
		b, err := net.Dial("tcp", h.target)
		if err != nil {
			a.Close()
			continue
		}
		p := &pair{a, b}
		h.mu.Lock()
		h.pairs[p] = struct{}{}
		h.mu.Unlock()
		h.done.Go(func() { h.pass(p, a, b, Out) })
		h.done.Go(func() { h.pass(p, b, a, Back) })
	}
}

type piece struct {
	due  time.Time
	data []byte
}

// pass carries one way: a reader that takes pieces in, and a writer that lets them out when they are due.
func (h *Hop) pass(p *pair, from, to net.Conn, w Way) {
	line := make(chan piece, 1024)
	h.done.Go(func() {
		defer p.end()
		for x := range line {
			time.Sleep(time.Until(x.due))
			h.mu.Lock()
			for h.weather[w].Stall && !h.closed {
				h.change.Wait()
			}
			now := h.weather[w]
			h.mu.Unlock()
			if now.Swallow {
				continue
			}
			if _, err := to.Write(x.data); err != nil {
				break
			}
			if now.Rate > 0 {
				time.Sleep(time.Duration(int64(len(x.data)) * int64(time.Second) / now.Rate))
			}
		}
		for range line { // what comes behind a failure is nobody's
		}
	})
	defer func() {
		close(line)
		h.mu.Lock()
		delete(h.pairs, p)
		h.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	last := time.Time{}
	for {
		h.mu.Lock()
		for h.weather[w].Stall && !h.closed {
			h.change.Wait()
		}
		h.mu.Unlock()
		n, err := from.Read(buf)
		h.mu.Lock()
		now := &h.weather[w]
		data := append([]byte{}, buf[:n]...)
		h.Passed[w] += int64(n)
		ends := err != nil
		if now.BreakAfter > 0 {
			if int64(n) >= now.BreakAfter {
				data, ends = data[:now.BreakAfter], true
				now.BreakAfter = 0
			} else {
				now.BreakAfter -= int64(n)
			}
		}
		due := time.Now().Add(now.Delay)
		if now.Jitter > 0 {
			due = due.Add(time.Duration(h.rnd.Int64N(int64(now.Jitter))))
		}
		if due.Before(last) {
			due = last
		}
		last = due
		if len(data) > 0 && now.Spoil > 0 && h.rnd.Float64() < now.Spoil {
			data[h.rnd.IntN(len(data))] ^= byte(1 + h.rnd.IntN(255))
		}
		h.mu.Unlock()
		if len(data) > 0 {
			line <- piece{due, data}
		}
		if ends {
			return
		}
	}
}
