// Package upstream holds the connections to the database servers: a pool for each server, dialling, the startup exchange, and the
// exchange of one attempt. It decides nothing: the core chooses the server of an attempt, and is notified of its result by
// an AttemptFinished event.
//
// Pools owns the pools; its mutex guards them and each pool's list of idle connections. A connection belongs to the goroutine that
// serves it. Whoever takes an idle connection off its pool's list, and nobody else, passes it its next attempt, or nil for its end.
//
// Invariants: a connection carries one attempt at a time, and is used again only if the server sent exactly one complete answer; a
// connection that was opened before its server's last start, or to another address, is never used; an attempt ends in exactly one
// event.
package upstream

import (
	"slices"
	"sync"
	"syscall"
	"time"

	"dapplerouter/front"
	"dapplerouter/limits"
)

// maxMessagesInMemory is how many messages of the greatest length a server may send fill the process's memory.
const maxMessagesInMemory = 64

// Options are what Pools are made of.
type Options struct {
	Post           func(front.Event) // passes events to the core
	Limiter        *limits.Descriptors
	User, Database string
	DialTimeout    time.Duration // for dialling and the server's greeting together
	IdleTimeout    time.Duration // a connection is not used again after it, less a margin for what is on its way
	MemoryBytes    int64         // of the process: servers' messages may hold a part of it
}

// Pools holds a pool of connections for each server. It implements front.Pools.
type Pools struct {
	options     Options
	dialControl func(network, address string, c syscall.RawConn) error // of net.Dialer; nil but in tests
	idleTimeout time.Duration                                          // less the margin
	maxMessage  int                                                    // bytes of a message that a server may send
	anyResult   bool                                                   // set before the first attempt
	bodies      *limits.Memory                                         // of long messages

	mu    sync.Mutex // guards what follows, and the fields of each pool
	pools []*pool    // by server
}

// NewPools returns pools without connections. Servers' values are longer on some days than the protocol's page has it: a message
// may be as long as leaves room for all that are in flight at once.
func NewPools(o Options) *Pools {
	return &Pools{options: o, idleTimeout: o.IdleTimeout - o.IdleTimeout/20, maxMessage: int(o.MemoryBytes / maxMessagesInMemory),
		bodies: limits.NewMemory(o.MemoryBytes / limits.LongMessagesPart)}
}

// AllowAnyResult accepts the result of any statement: rows of any number and width, up to the greatest length of a message in all.
// It is called before the first attempt is sent.
func (ps *Pools) AllowAnyResult() { ps.anyResult = true }

// SetAddress sets a server's address and the time since its last start. Idle connections that were opened before that start, or to
// another address, are closed: a machine that vanished and came back does not report on its old connections.
func (ps *Pools) SetAddress(server int, address string, age time.Duration) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.pool(server).setAddress(address, time.Now().Add(-age))
}

// Remove closes a server's idle connections; its number may be another server's from then on.
func (ps *Pools) Remove(server int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.pool(server).setAddress("", time.Time{})
	ps.pools[server] = &pool{} // busy connections keep the old one, to which none can return
}

// Send passes an attempt to the connection that became idle last, or to a new one. It does not block.
func (ps *Pools) Send(server int, a *front.Attempt) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.send(ps.pool(server), a)
}

// EvictIdle closes the connection that has been idle longest in one of the pools; it returns false where none is idle.
func (ps *Pools) EvictIdle() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.pools {
		if len(p.idle) > 0 {
			p.idle[0].pass(nil)
			p.idle = p.idle[1:]
			return true
		}
	}
	return false
}

// pool returns a server's pool; ps.mu must be held.
func (ps *Pools) pool(server int) *pool {
	for len(ps.pools) <= server {
		ps.pools = append(ps.pools, &pool{})
	}
	return ps.pools[server]
}

// send passes an attempt to a connection of a pool; ps.mu must be held.
func (ps *Pools) send(p *pool, a *front.Attempt) {
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		c.pass(a)
		return
	}
	c := &conn{pools: ps, pool: p, address: p.address, next: make(chan *front.Attempt, 1)}
	go c.serve(a)
}

// postError reports to the core that an attempt failed without a server's answer.
func (ps *Pools) postError(a *front.Attempt, stage front.FailureStage, err error) {
	ps.options.Post(&front.AttemptFinished{Attempt: a, Err: &front.ConnectionError{Stage: stage, Err: err}})
}

// pool is the connections to one server; Pools.mu guards it.
type pool struct {
	address string    // "" once the server was removed
	started time.Time // the server's last start, on the monotonic clock
	idle    []*conn   // used last in, first out
}

// setAddress sets where the server is, and closes the idle connections that lead elsewhere.
func (p *pool) setAddress(address string, started time.Time) {
	p.address, p.started = address, started
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if p.leadsTo(c) {
			return false
		}
		c.pass(nil)
		return true
	})
}

// leadsTo reports whether a connection reaches the server as it runs now.
func (p *pool) leadsTo(c *conn) bool { return p.address == c.address && !c.openedAt.Before(p.started) }

// put adds a connection to the idle ones, unless it no longer leads to the server.
func (ps *Pools) put(c *conn) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if c.pool.leadsTo(c) {
		c.pool.idle = append(c.pool.idle, c)
		return
	}
	c.pass(nil)
}

// takeIdle takes a certain connection off its pool's idle ones; it returns false where somebody else has taken it, who passes it
// its next attempt.
func (ps *Pools) takeIdle(c *conn) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	i := slices.Index(c.pool.idle, c)
	if i < 0 {
		return false
	}
	c.pool.idle = slices.Delete(c.pool.idle, i, i+1)
	return true
}

// resend passes an attempt of which nothing was written to another connection.
func (ps *Pools) resend(p *pool, a *front.Attempt) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.send(p, a)
}
