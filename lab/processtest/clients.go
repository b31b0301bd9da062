package processtest

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"dapplerouter/testsupport/fakeserver"
)

// request is one request of a client and its answer.
type request struct {
	id             string
	front          string
	sent           time.Time
	latency        time.Duration
	code           string // SQLSTATE of the answer; "" for success
	connectionLost bool   // the connection was lost before a final answer
	write          bool
	group          int // 0, or 1 for the group whose requests published rules may reject
}

// clients runs the simulated clients. Each client sends one request at a time to a front and records the answer.
type clients struct {
	harness *Harness
	done    chan struct{} // closed to stop the clients
	running sync.WaitGroup
	count   atomic.Int64 // requests sent so far

	mu       sync.Mutex // guards requests
	requests []request
}

// startClients starts n clients, each with its own first front.
func (h *Harness) startClients(n int) *clients {
	c := &clients{harness: h, done: make(chan struct{})}
	for i := range n {
		c.running.Go(func() { c.run(i) })
	}
	return c
}

// run runs one client until the clients are stopped. The client keeps one connection, as a session does. When the connection is lost,
// the client dials the next front.
func (c *clients) run(nextFront int) {
	var conn *fakeserver.Client
	var front *Front
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-c.done:
			return
		default:
		}
		if conn == nil {
			front = c.harness.fronts[nextFront%len(c.harness.fronts)]
			nextFront++
			var err error
			if conn, err = fakeserver.Dial(front.clientAddress); err != nil {
				conn = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		if !c.send(conn, front) {
			conn.Close()
			conn = nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// send sends the next request and records its answer. It reports whether the connection is still open. Every fourth request is a
// write. With rollouts, two of 32 requests go to the group whose requests published rules may reject.
func (c *clients) send(conn *fakeserver.Client, front *Front) bool {
	n := c.count.Add(1)
	q := request{id: fmt.Sprintf("t%d", n), front: front.Name, sent: time.Now(), write: n%4 == 3}
	if c.harness.rejectedGroup != nil && n%32 >= 30 {
		q.group = 1
	}
	sql := fmt.Sprintf("SELECT 'x' /* id=%s,c=browse,d=2000,cluster=%d */", q.id, q.group)
	if q.write {
		sql = fmt.Sprintf("INSERT INTO bookings (id, house, diner) VALUES ('%s', '1', 'x') RETURNING id /* id=%s,c=book,k=m%s,d=2000,cluster=%d */",
			q.id, q.id, q.id, q.group)
	}
	answer, err := conn.Query(sql)
	q.latency, q.code, q.connectionLost = time.Since(q.sent), answer.Code, err != nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, q)
	return err == nil
}

// stop stops all clients and returns their requests.
func (c *clients) stop() []request {
	close(c.done)
	c.running.Wait()
	return c.requests
}
