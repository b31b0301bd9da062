// Package upstream implements the connection pools to the database servers: dialling, the startup exchange, and the exchange of a query and
// its result for each attempt. It makes no routing decisions. The core chooses the server of an attempt, and an AttemptFinished event
// notifies it of the result.
//
// Pools has one pool per server. Its mutex guards the pools and their lists of idle connections. Each connection is served by a goroutine
// of its own. Only the goroutine that removes an idle connection from its pool's list may pass it the next attempt, or nil to close it.
//
// Invariants: A connection carries one attempt at a time. It is reused only if the server sent exactly one complete result, as far as that
// has arrived; an empty query before the next statement separates what arrives later from the result of that statement. A connection that was opened before its server's last start, or to another address, is never reused. Each attempt ends in exactly one event.
package upstream

import (
	"slices"
	"sync"
	"syscall"
	"time"

	"dapplerouter/front"
	"dapplerouter/limits"
)

// maxMessagesInMemory determines the maximum length of a server's message: that many messages of maximum length fill the process's memory.
const maxMessagesInMemory = 64

// Options configure Pools.
type Options struct {
	Post           func(front.Event) // passes events to the core
	Limiter        *limits.Descriptors
	User, Database string
	DialTimeout    time.Duration // for dialling and the startup exchange together
	IdleTimeout    time.Duration // an idle connection is closed after this time, less a margin for a message in transit
	MemoryBytes    int64         // memory limit of the process, of which a part is available for servers' messages
}

// Pools holds a pool of connections for each server. It implements front.Pools.
type Pools struct {
	options     Options
	dialControl func(network, address string, c syscall.RawConn) error // net.Dialer.Control; set by tests only
	idleTimeout time.Duration                                          // Options.IdleTimeout less the margin
	maxMessage  int                                                    // maximum length of a server's message, in bytes
	anyResult   bool                                                   // see AllowAnyResult; set before the first attempt
	bodies      *limits.Memory                                         // memory budget for long messages

	mu    sync.Mutex // guards the fields below and the fields of each pool
	pools []*pool    // by server
}

// NewPools returns pools without connections. The maximum length of a server's message is derived from the memory limit, so that the
// messages that are in flight at once fit into memory. It is not a fixed length, because some servers send values that are longer than
// the protocol's documentation states.
func NewPools(o Options) *Pools {
	return &Pools{options: o, idleTimeout: o.IdleTimeout - o.IdleTimeout/20, maxMessage: int(o.MemoryBytes / maxMessagesInMemory),
		bodies: limits.NewMemory(o.MemoryBytes / limits.LongMessagesDivisor)}
}

// AllowAnyResult accepts the result of any statement: any number of rows of any width, up to the maximum length of a message in total.
// It must be called before the first attempt is sent.
func (ps *Pools) AllowAnyResult() { ps.anyResult = true }

// SetAddress sets a server's address and the time since its last start. It closes idle connections that were opened before that start or
// to another address, because a machine that crashed and came back sends nothing on its old connections, not even their end.
func (ps *Pools) SetAddress(server int, address string, uptime time.Duration) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.pool(server).setAddress(address, time.Now().Add(-uptime))
}

// Remove closes a server's idle connections. Its index may be assigned to another server from then on.
func (ps *Pools) Remove(server int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.pool(server).setAddress("", time.Time{})
	ps.pools[server] = &pool{} // busy connections refer to the old pool, which no longer accepts idle connections
}

// Send passes an attempt to the connection that became idle most recently, or to a new connection. It does not block.
func (ps *Pools) Send(server int, a *front.Attempt) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.send(ps.pool(server), a)
}

// EvictIdle closes the longest idle connection of the first pool that has one. It returns false if no connection is idle.
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

// postError reports to the core that an attempt failed without a response of the server.
func (ps *Pools) postError(a *front.Attempt, stage front.FailureStage, err error) {
	ps.options.Post(&front.AttemptFinished{Attempt: a, Err: &front.ConnectionError{Stage: stage, Err: err}})
}

// pool holds the idle connections to one server. Pools.mu guards it.
type pool struct {
	address string    // "" after the server was removed
	started time.Time // the server's last start, on the monotonic clock
	idle    []*conn   // used last in, first out
}

// setAddress sets the server's address and start time, and closes the idle connections that do not lead to the server any more.
func (p *pool) setAddress(address string, started time.Time) {
	p.address, p.started = address, started
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if p.isCurrent(c) {
			return false
		}
		c.pass(nil)
		return true
	})
}

// isCurrent reports whether a connection was opened to the server's present address after its last start.
func (p *pool) isCurrent(c *conn) bool {
	return p.address == c.address && !c.openedAt.Before(p.started)
}

// put adds a connection to the idle ones of its pool. A connection that does not lead to the server any more is closed instead.
func (ps *Pools) put(c *conn) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if c.pool.isCurrent(c) {
		c.pool.idle = append(c.pool.idle, c)
		return
	}
	c.pass(nil)
}

// takeIdle removes the given connection from the idle ones of its pool. It returns false if another goroutine has removed it before, which
// then passes it the next attempt or nil.
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

// resend passes an attempt to another connection. Nothing of the attempt may have been written.
func (ps *Pools) resend(p *pool, a *front.Attempt) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.send(p, a)
}
