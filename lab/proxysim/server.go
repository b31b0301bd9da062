package proxysim

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/pgwire"
)

// dedupWindow is how long a server remembers an idempotency key. It is the deduplication window of the writes' request type.
const dedupWindow = 2 * time.Second

// errRefused is the cause of every failed connection attempt to a server.
var errRefused = errors.New("connection refused")

// Server is a modelled database server. It has one queue, a fixed number of workers and exponentially distributed service times. A
// replica's log position lags behind the primary's by a fixed time. The server records what it receives, independently of the fronts.
type Server struct {
	Name, Zone      string
	Group           int64
	Primary         bool
	Concurrency     int
	ServiceTime     time.Duration // mean
	Lag             time.Duration // replication lag, if the server is a replica
	Hangs           bool          // while set, the server accepts messages and answers none
	Down            bool          // while set, the server refuses connections
	StartedAtMillis int64         // Unix time of the server's last start, as in the endpoint list
	Probes          int           // the number of probes received
	Attempts        []ReceivedAttempt
	Effects         map[string]int // how often the write of each request took effect, by request ID

	serverState
}

// serverState is a server's queue, its busy workers and its memory of idempotency keys.
type serverState struct {
	cluster   *Cluster
	busy      int // busy workers
	queue     []*queuedStatement
	dedupKeys map[string]time.Duration // when each idempotency key was last applied
}

// ReceivedAttempt is an attempt that reached a server. ID is that of its request.
type ReceivedAttempt struct {
	ID, Front string
	At        time.Duration // virtual time
}

// queuedStatement is a statement that waits for a worker. It is skipped if cancelled is set by then.
type queuedStatement struct {
	id, dedupKey string
	write        bool
	respond      func(pgwire.QueryResult)
	cancelled    *bool
}

// newServer makes the server with index i of a group. Index 0 is the primary.
func newServer(c *Cluster, group, i int) *Server {
	o := c.Options.Servers
	return &Server{
		Name:        fmt.Sprintf("s-%d-%d", group, i),
		Zone:        zoneNames[(group+i)%len(zoneNames)],
		Group:       int64(group),
		Primary:     i == 0,
		Concurrency: o.Concurrency,
		ServiceTime: o.ServiceTime,
		Lag:         5 * time.Millisecond,
		Effects:     map[string]int{},
		serverState: serverState{cluster: c, dedupKeys: map[string]time.Duration{}},
	}
}

// endpoint returns the server's entry in the endpoint list. Its name is also its address.
func (s *Server) endpoint() discovery.Endpoint {
	return discovery.Endpoint{Name: s.Name, Address: s.Name, Zone: s.Zone, ServerType: "std", Group: s.Group, Weight: 1, Primary: s.Primary, StartedAtMillis: s.StartedAtMillis}
}

// receive processes a message from a front: a probe or a statement. respond sends the result back to the front. If *cancelled is set
// while the statement waits for a worker, the statement is dropped.
func (s *Server) receive(from string, message []byte, cancelled *bool, respond func(pgwire.QueryResult)) {
	if bytes.Contains(message, []byte("SHOW load")) {
		s.Probes++
		if !s.Hangs {
			respond(s.withPosition(s.loadReport()))
		}
		return
	}
	statement, err := pgwire.ParseStatement(message[5:])
	if err != nil {
		respond(pgwire.QueryResult{Code: pgwire.CodeSyntaxError})
		return
	}
	queued := &queuedStatement{id: string(statement.ID), write: statement.Write, respond: respond, cancelled: cancelled}
	if statement.Write {
		queued.dedupKey = string(statement.Key)
	}
	s.Attempts = append(s.Attempts, ReceivedAttempt{queued.id, from, s.cluster.Now})
	switch {
	case s.Hangs:
		return
	case statement.Write && !s.Primary:
		respond(s.withPosition(pgwire.QueryResult{Code: pgwire.CodeReadOnlyTransaction}))
		return
	case statement.LastWritePosition > s.appliedMillis():
		respond(s.withPosition(pgwire.QueryResult{Code: pgwire.CodeSnapshotTooOld}))
		return
	}
	s.queue = append(s.queue, queued)
	s.startQueued()
}

// loadReport returns the answer to a probe.
func (s *Server) loadReport() pgwire.QueryResult {
	primary := 0
	if s.Primary {
		primary = 1
	}
	return pgwire.SingleValueResult(fmt.Appendf(nil, "x0=%.3f,x1=%d,inflight=%d", float64(s.appliedMillis())/1e3, primary, s.busy+len(s.queue)))
}

// startQueued assigns queued statements to free workers.
func (s *Server) startQueued() {
	for s.busy < s.Concurrency && len(s.queue) > 0 {
		q := s.queue[0]
		s.queue = s.queue[1:]
		if *q.cancelled {
			continue
		}
		s.busy++
		s.cluster.After(time.Duration(s.cluster.Rand.ExpFloat64()*float64(s.ServiceTime)), func() {
			s.busy--
			if q.write {
				s.apply(q)
			}
			q.respond(s.withPosition(pgwire.SingleValueResult([]byte(q.id))))
			s.startQueued()
		})
	}
}

// apply applies a write at the primary and counts its effect. It changes nothing if a write with the same idempotency key was applied
// within the last dedupWindow.
func (s *Server) apply(q *queuedStatement) {
	if at, ok := s.dedupKeys[q.dedupKey]; !ok || s.cluster.Now-at > dedupWindow {
		s.dedupKeys[q.dedupKey] = s.cluster.Now
		s.Effects[q.id]++
	}
}

// appliedMillis returns the log position that the server has applied, as Unix time in milliseconds.
func (s *Server) appliedMillis() int64 {
	at := s.cluster.wallMillis(s.cluster.Now)
	if !s.Primary {
		at -= s.Lag.Milliseconds()
	}
	return at
}

// withPosition returns a result with the server's role and log position added.
func (s *Server) withPosition(r pgwire.QueryResult) pgwire.QueryResult {
	r.Role, r.AppliedMillis, r.HasApplied = "replica", s.appliedMillis(), true
	if s.Primary {
		r.Role = "primary"
	}
	return r
}

// serverPools sends a front's attempts to the modelled servers. It implements front.Pools.
type serverPools struct {
	front     *Front
	addresses []string // by the Core's index of the server
}

// SetAddress implements front.Pools.
func (p *serverPools) SetAddress(server int, address string, _ time.Duration) {
	for len(p.addresses) <= server {
		p.addresses = append(p.addresses, "")
	}
	p.addresses[server] = address
}

// Remove implements front.Pools.
func (p *serverPools) Remove(server int) { p.addresses[server] = "" }

// Send implements front.Pools. The first delay stands for getting a connection, pooled or new. The other two are the delays of the
// message to the server and of the answer.
func (p *serverPools) Send(server int, a *front.Attempt) {
	f, c := p.front, p.front.cluster
	s := c.serversByName[p.addresses[server]]
	f.host.After(c.networkDelay(), func(time.Duration) {
		if s == nil || s.Down {
			f.observe(&front.AttemptFinished{Attempt: a, Err: &front.ConnectionError{Stage: front.StageDial, Err: errRefused}})
			return
		}
		cancelled := new(bool)
		if !a.Begin(func() { *cancelled = true }) {
			return
		}
		message := a.Message()
		c.After(c.networkDelay(), func() {
			s.receive(f.Name, message, cancelled, func(r pgwire.QueryResult) {
				c.After(c.networkDelay(), func() {
					if !*cancelled {
						f.host.After(0, func(time.Duration) { f.observe(&front.AttemptFinished{Attempt: a, Result: r}) })
					}
				})
			})
		})
	})
}
