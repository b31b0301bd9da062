// Package faultproxy is a TCP proxy on loopback that injects network faults: it delays, stalls, drops, corrupts or cuts off the
// traffic that it forwards, as set by its owner or at random from a seed. It is only for tests and measurements.
//
// A Proxy owns its listener, its connections and two goroutines for each direction of a connection; Close ends them all. Its
// mutex guards the conditions and the set of connections.
package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is a direction of traffic through the proxy.
type Direction int

// The directions, as seen from the client, which dialled the proxy.
const (
	ToTarget   Direction = iota // from the client to the target
	FromTarget                  // from the target to the client
)

// Conditions are the faults of the traffic in one direction. With the zero value all traffic is forwarded at once.
type Conditions struct {
	Delay, Jitter      time.Duration // a chunk is delayed by Delay plus a random time of up to Jitter; order is preserved
	BytesPerSecond     int64         // 0 for no limit
	Stall              bool          // nothing is read or written
	Blackhole          bool          // everything is read, nothing is written
	BreakAfterBytes    int64         // after this many more bytes the connection that carried the last of them is reset; 0 for never
	CorruptProbability float64       // probability that one byte of a chunk is changed
}

// Proxy listens on loopback and forwards each connection to a target.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex // guards the fields below, except goroutines
	conditions  [2]Conditions
	rejectNew   bool
	connections map[*connection]struct{}
	rnd         *rand.Rand
	changed     *sync.Cond
	closed      bool
	goroutines  sync.WaitGroup
	BytesRead   [2]int64 // indexed by Direction
}

// connection is a connection of a client and the connection to the target that belongs to it.
type connection struct{ client, target net.Conn }

// New starts a Proxy that forwards to target. seed is the seed of the random numbers for Jitter and CorruptProbability. The
// error is that of the listener.
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

// Address returns the host and port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetConditions sets the conditions of a direction, for present and future connections.
func (p *Proxy) SetConditions(direction Direction, conditions Conditions) {
	p.mu.Lock()
	p.conditions[direction] = conditions
	p.changed.Broadcast()
	p.mu.Unlock()
}

// RejectConnections makes the proxy close new connections at once while on is true.
func (p *Proxy) RejectConnections(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejectNew = on
}

// ResetConnections resets all connections.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		conn.reset()
	}
}

// reset closes both connections with a TCP reset.
func (c *connection) reset() {
	for _, conn := range []net.Conn{c.client, c.target} {
		if tcpConn, ok := conn.(*net.TCPConn); ok {
			_ = tcpConn.SetLinger(0) // the connection may be closed already
		}
		_ = conn.Close()
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

// accept accepts connections and dials the target for each, until the listener is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		reject := p.rejectNew || p.closed
		p.mu.Unlock()
		if reject {
			_ = client.Close()
			continue
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		conn := &connection{client, target}
		p.mu.Lock()
		p.connections[conn] = struct{}{}
		p.mu.Unlock()
		p.goroutines.Go(func() { p.forward(conn, client, target, ToTarget) })
		p.goroutines.Go(func() { p.forward(conn, target, client, FromTarget) })
	}
}

// chunk is the data of one read and the time at which it is written.
type chunk struct {
	due  time.Time
	data []byte
}

// maxQueuedChunks bounds how many chunks one direction of a connection delays; beyond that, reading blocks.
const maxQueuedChunks = 1024

// forward forwards one direction of a connection until it ends. It reads chunks, and a goroutine of its own writes them when
// they are due.
func (p *Proxy) forward(conn *connection, from, to net.Conn, direction Direction) {
	queue := make(chan chunk, maxQueuedChunks)
	p.goroutines.Go(func() {
		defer conn.reset()
		p.writeChunks(to, direction, queue)
	})
	defer func() {
		close(queue)
		p.mu.Lock()
		delete(p.connections, conn)
		p.mu.Unlock()
	}()
	p.readChunks(from, direction, queue)
}

// readChunks reads chunks into the queue until the connection ends or the conditions cut it off.
func (p *Proxy) readChunks(from net.Conn, direction Direction, queue chan<- chunk) {
	buf := make([]byte, 16<<10)
	lastDue := time.Time{}
	for {
		p.waitWhileStalled(direction)
		n, err := from.Read(buf)
		next, ends := p.applyConditions(direction, buf[:n], lastDue)
		lastDue = next.due
		if len(next.data) > 0 {
			queue <- next
		}
		if ends || err != nil {
			return
		}
	}
}

// waitWhileStalled waits until a direction does not stall or the proxy is closed, and returns the conditions of the direction.
func (p *Proxy) waitWhileStalled(direction Direction) Conditions {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.conditions[direction].Stall && !p.closed {
		p.changed.Wait()
	}
	return p.conditions[direction]
}

// applyConditions returns a chunk of the data that was read. lastDue is the time at which the previous chunk is due; the chunk
// is not due before it. ends is true if the connection must end after the chunk.
func (p *Proxy) applyConditions(direction Direction, read []byte, lastDue time.Time) (c chunk, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conditions := &p.conditions[direction]
	c.data = append([]byte{}, read...)
	p.BytesRead[direction] += int64(len(read))
	if remaining := conditions.BreakAfterBytes; remaining > 0 {
		conditions.BreakAfterBytes = max(0, remaining-int64(len(read)))
		if int64(len(read)) >= remaining {
			c.data, ends = c.data[:remaining], true
		}
	}
	c.due = time.Now().Add(conditions.Delay)
	if conditions.Jitter > 0 {
		c.due = c.due.Add(time.Duration(p.rnd.Int64N(int64(conditions.Jitter))))
	}
	if c.due.Before(lastDue) {
		c.due = lastDue
	}
	if len(c.data) > 0 && conditions.CorruptProbability > 0 && p.rnd.Float64() < conditions.CorruptProbability {
		c.data[p.rnd.IntN(len(c.data))] ^= byte(1 + p.rnd.IntN(255))
	}
	return c, ends
}

// writeChunks writes chunks when they are due. After a failed write it discards the rest, so that the reader never blocks.
func (p *Proxy) writeChunks(to net.Conn, direction Direction, queue <-chan chunk) {
	for c := range queue {
		time.Sleep(time.Until(c.due))
		conditions := p.waitWhileStalled(direction)
		if conditions.Blackhole {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
		if conditions.BytesPerSecond > 0 {
			time.Sleep(time.Duration(int64(len(c.data)) * int64(time.Second) / conditions.BytesPerSecond))
		}
	}
	for range queue {
		continue
	}
}
