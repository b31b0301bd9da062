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

// dedupWindow is how long a server remembers an idempotency key, as the request type promises.
const dedupWindow = 2 * time.Second

// errRefused is the cause of every failed dial.
var errRefused = errors.New("connection refused")

// Server is a modelled database server: workers with one queue before them, exponentially distributed service times, and a log that a
// replica applies with a lag. It alone counts what reached it.
type Server struct {
	Name, Zone      string
	Group           int64
	Primary         bool
	Concurrency     int
	ServiceTime     time.Duration // mean
	Lag             time.Duration // of a replica
	Hangs           bool          // accepts everything and answers nothing
	Down            bool          // refuses connections
	StartedAtMillis int64         // Unix time of its last start, as the endpoint list has it
	Probes          int
	Attempts        []ReceivedAttempt
	Effects         map[string]int // writes that took effect, by request ID

	serverState
}

// serverState is what a server is working on.
type serverState struct {
	cluster   *Cluster
	busy      int // workers
	queue     []*queuedStatement
	dedupKeys map[string]time.Duration // idempotency keys, by when they were last used
}

// ReceivedAttempt is an attempt that reached a server.
type ReceivedAttempt struct {
	ID, Front string
	At        time.Duration // virtual time
}

type queuedStatement struct {
	id, dedupKey string
	write        bool
	respond      func(pgwire.QueryResult)
	cancelled    *bool
}

// newServer makes server i of a group; the first is the primary.
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

// endpoint is the server's entry in the endpoint list. Its address is its name.
func (s *Server) endpoint() discovery.Endpoint {
	return discovery.Endpoint{Name: s.Name, Address: s.Name, Zone: s.Zone, ServerType: "std", Group: s.Group, Weight: 1, Primary: s.Primary, StartedAtMillis: s.StartedAtMillis}
}

// receive processes a message that arrived from a front, until cancelled is set; respond carries the result back.
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
	q := &queuedStatement{id: string(statement.ID), write: statement.Write, respond: respond, cancelled: cancelled}
	if statement.Write {
		q.dedupKey = string(statement.Key)
	}
	s.Attempts = append(s.Attempts, ReceivedAttempt{q.id, from, s.cluster.Now})
	switch {
	case s.Hangs:
		return
	case statement.Write && !s.Primary:
		respond(s.withPosition(pgwire.QueryResult{Code: pgwire.CodeReadOnlyTransaction}))
		return
	case statement.After > s.appliedMillis():
		respond(s.withPosition(pgwire.QueryResult{Code: pgwire.CodeSnapshotTooOld}))
		return
	}
	s.queue = append(s.queue, q)
	s.startQueued()
}

// loadReport is the answer to a probe.
func (s *Server) loadReport() pgwire.QueryResult {
	primary := 0
	if s.Primary {
		primary = 1
	}
	return pgwire.SingleValueResult(fmt.Appendf(nil, "x0=%.3f,x1=%d,inflight=%d", float64(s.appliedMillis())/1e3, primary, s.busy+len(s.queue)))
}

// startQueued gives queued statements to free workers.
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

// apply applies a write unless its idempotency key was used within the window.
func (s *Server) apply(q *queuedStatement) {
	if at, ok := s.dedupKeys[q.dedupKey]; !ok || s.cluster.Now-at > dedupWindow {
		s.dedupKeys[q.dedupKey] = s.cluster.Now
		s.Effects[q.id]++
	}
}

// appliedMillis is the server's replication position, in Unix milliseconds.
func (s *Server) appliedMillis() int64 {
	at := s.cluster.wallMillis(s.cluster.Now)
	if !s.Primary {
		at -= s.Lag.Milliseconds()
	}
	return at
}

// withPosition adds the server's role and position to a result.
func (s *Server) withPosition(r pgwire.QueryResult) pgwire.QueryResult {
	r.Role, r.AppliedMillis, r.HasApplied = "replica", s.appliedMillis(), true
	if s.Primary {
		r.Role = "primary"
	}
	return r
}

// serverPools carries a front's attempts to servers. It implements front.Pools.
type serverPools struct {
	front     *Front
	addresses []string // by the Core's index of servers
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

// Send implements front.Pools. The first delay stands for a pooled connection or a new one, the others are the way there and back.
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
						f.host.After(0, func(time.Duration) { f.observe(&front.AttemptFinished{Attempt: a, Answer: r}) })
					}
				})
			})
		})
	})
}
