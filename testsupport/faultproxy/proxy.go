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

// Direction is a direction of traffic.
type Direction int

// The directions, by who dialled the proxy.
const (
	ToTarget   Direction = iota // from the client to the target
	FromTarget                  // from the target to the client
)

// Conditions are what happens to the traffic of one direction. The zero value passes everything on at once.
type Conditions struct {
	Delay, Jitter      time.Duration // a chunk comes later by Delay and up to Jitter; order is preserved
	BytesPerSecond     int64         // bytes a second, 0 for no limit
	Stall              bool          // nothing is read
	Blackhole          bool          // everything is read and nothing is written
	BreakAfterBytes    int64         // the connection ends after this many more bytes, 0 for never
	CorruptProbability float64       // probability that a byte of a chunk is changed
}

// Proxy listens on loopback, and forwards each connection to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex // guards what follows
	conditions  [2]Conditions
	rejects     bool
	connections map[*connection]struct{}
	rnd         *rand.Rand
	changed     *sync.Cond
	closed      bool
	goroutines  sync.WaitGroup
	BytesRead   [2]int64 // bytes read, by direction
}

// connection is one client's connection and its counterpart to the target.
type connection struct{ client, target net.Conn }

// New starts a Proxy that forwards to target; seed is that of Jitter and CorruptProbability. The error is that of the listener.
func New(target string, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, connections: map[*connection]struct{}{}, rnd: rand.New(rand.NewPCG(seed, 1))}
	p.changed = sync.NewCond(&p.mu)
	p.goroutines.Go(p.accept)
	return p, nil
}

// Address returns the host and port that it listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetConditions changes what happens to the traffic of a direction.
func (p *Proxy) SetConditions(w Direction, to Conditions) {
	p.mu.Lock()
	p.conditions[w] = to
	p.changed.Broadcast()
	p.mu.Unlock()
}

// RejectConnections makes new connections end at once while it is on.
func (p *Proxy) RejectConnections(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejects = on
}

// ResetConnections resets all connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for connections := range p.connections {
		connections.end()
	}
}

func (p *connection) end() {
	for _, c := range []net.Conn{p.client, p.target} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // it may have ended already
		}
		_ = c.Close()
	}
}

// Close resets all connections and waits until every goroutine has ended.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	p.ResetConnections()
	p.goroutines.Wait()
}

func (p *Proxy) accept() {
	for {
		a, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.rejects || p.closed
		p.mu.Unlock()
		if refuse {
			_ = a.Close()
			continue
		}
		b, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = a.Close()
			continue
		}
		connections := &connection{a, b}
		p.mu.Lock()
		p.connections[connections] = struct{}{}
		p.mu.Unlock()
		p.goroutines.Go(func() { p.forward(connections, a, b, ToTarget) })
		p.goroutines.Go(func() { p.forward(connections, b, a, FromTarget) })
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
func (p *Proxy) forward(connections *connection, from, to net.Conn, w Direction) {
	queue := make(chan chunk, maxQueuedChunks)
	p.goroutines.Go(func() {
		defer connections.end()
		p.write(to, w, queue)
	})
	defer func() {
		close(queue)
		p.mu.Lock()
		delete(p.connections, connections)
		p.mu.Unlock()
	}()
	p.read(from, w, queue)
}

// read takes chunks in until the connection ends, by itself or by the conditions.
func (p *Proxy) read(from net.Conn, w Direction, queue chan<- chunk) {
	buf := make([]byte, 16<<10)
	last := time.Time{}
	for {
		p.waitWhileStalled(w)
		n, err := from.Read(buf)
		c, ends := p.applyConditions(w, buf[:n], last)
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
func (p *Proxy) waitWhileStalled(w Direction) Conditions {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.conditions[w].Stall && !p.closed {
		p.changed.Wait()
	}
	return p.conditions[w]
}

// applyConditions makes a chunk of what was read; last is when the one before is due. It reports whether the connection ends behind it.
func (p *Proxy) applyConditions(w Direction, read []byte, last time.Time) (c chunk, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := &p.conditions[w]
	c.data = append([]byte{}, read...)
	p.BytesRead[w] += int64(len(read))
	if left := now.BreakAfterBytes; left > 0 {
		now.BreakAfterBytes = max(0, left-int64(len(read)))
		if int64(len(read)) >= left {
			c.data, ends = c.data[:left], true
		}
	}
	c.due = time.Now().Add(now.Delay)
	if now.Jitter > 0 {
		c.due = c.due.Add(time.Duration(p.rnd.Int64N(int64(now.Jitter))))
	}
	if c.due.Before(last) {
		c.due = last
	}
	if len(c.data) > 0 && now.CorruptProbability > 0 && p.rnd.Float64() < now.CorruptProbability {
		c.data[p.rnd.IntN(len(c.data))] ^= byte(1 + p.rnd.IntN(255))
	}
	return c, ends
}

// write passes chunks on when they are due. Behind a failed write it discards the rest, so that the reader is never blocked.
func (p *Proxy) write(to net.Conn, w Direction, queue <-chan chunk) {
	for c := range queue {
		time.Sleep(time.Until(c.due))
		now := p.waitWhileStalled(w)
		if now.Blackhole {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
		if now.BytesPerSecond > 0 {
			time.Sleep(time.Duration(int64(len(c.data)) * int64(time.Second) / now.BytesPerSecond))
		}
	}
	for range queue {
		continue
	}
}
