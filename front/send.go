package front

import (
	"container/heap"
	"sync/atomic"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// Attempt is one sending to a member, of a request or of a probe.
type Attempt struct {
	query    pgwire.TimedQuery
	deadline time.Duration // when it is given up

	ref         routing.RequestRef
	server      int
	number      int
	startedAt   time.Duration
	healthCheck bool
	generation  uint32 // of a probe: of its member's place
	forwarded   ForwardedAttempt
	lease       *ConfigLease         // to what its request was taken on; nil where none is needed
	clientGone  *atomic.Bool         // of its request: the client has left; nil for a probe
	connection  ClientConnection     // who can tell so before that was noticed; nil where nobody can
	sendBy      time.Duration        // from then on nothing of it may go out; 0 for no limit
	clock       func() time.Duration // by which that is; nil where the core is stepped
	finished    bool                 // the core's: its ending is told, or about to be
	abort       func()               // set by who sends it, before stage says so
	state       atomic.Int32
}

// ForwardedAttempt is what another site has to know of an attempt.
type ForwardedAttempt struct {
	RequestID     uint64 // of the request, here
	AttemptNumber int
	Group         int64
	Deadline      time.Duration // when it is given up
	MaxAttempts   int           // attempts that it may make there
	Write         bool
	MinPosition   int64 // position that a read must see there, Unix milliseconds; 0 for none
}

// Forwarded tells it; a probe has none.
func (s *Attempt) Forwarded() (w ForwardedAttempt, probe bool) { return s.forwarded, s.healthCheck }

const (
	stateWaiting int32 = iota
	stateSending
	stateCancelled
)

// Begin is called before the first byte goes out. Where it says no, the core gave the attempt up and
// nothing may be sent; afterwards the core ends it by cut, which must close the connection to the member's
// eyes before it returns, without blocking.
func (s *Attempt) Begin(cut func()) bool {
	if s.lease != nil && !s.lease.Valid() { // the core ends it as soon as it looks
		return false
	}
	if s.connection != nil && s.connection.Disconnected() {
		return false
	}
	if s.clientGone != nil && s.clientGone.Load() || s.clock != nil && s.clock() >= s.sendDeadline() { // so does it here
		return false
	}
	s.abort = cut
	return s.state.CompareAndSwap(stateWaiting, stateSending)
}

// NewHealthCheck is an attempt of a message that asks a member about itself and tells no deadline.
func NewHealthCheck(message []byte) *Attempt {
	return &Attempt{healthCheck: true, query: pgwire.TimedQuery{Message: message}}
}

// Message is what goes out at this moment. A statement tells its member how long its sender will wait from now on: a connection
// may have come up late, or the front may have been held up, since the attempt was decided on. Only who sends it calls this, once.
func (s *Attempt) Message() []byte {
	if s.healthCheck || s.clock == nil {
		return s.query.Message
	}
	left := s.deadline - s.clock()
	return s.query.ShortenTimeout(left - min(maxReadDelay, left/readDelayFraction))
}

// What a member is told is less than what is left by as long as a request may have lain here before it was read, or by a tenth of
// what is left: the request's time runs from its arrival, and the front may besides be held up between its clock and the write.
const (
	maxReadDelay      = 20 * time.Millisecond
	readDelayFraction = 10
)

// sendDeadline is the moment from which on nothing of it may go out.
func (s *Attempt) sendDeadline() time.Duration {
	if s.sendBy > 0 {
		return min(s.sendBy, s.deadline)
	}
	return s.deadline
}

var healthCheckMessage = pgwire.AppendQuery(nil, "SHOW load")

// send hands an attempt to the links and sets the time at which it is given up.
func (c *Core) send(s *Attempt, until time.Duration) {
	if d := c.slab.Get(s.ref); d != nil {
		a := d.Value
		a.inFlight = append(a.inFlight, s)
		s.lease, s.clock = a.version.lease, c.clock
		s.clientGone = a.clientGone
		if client, ok := a.Client.(ConnectedClient); ok {
			s.connection = client.Connection()
		}
		if ty := &a.version.types[a.typeIndex]; a.mayHaveRun && ty.Idempotency == routing.IdempotencyKey {
			s.sendBy = a.firstRunAt + ty.DedupWindow
			if s.sendBy < until {
				heap.Push(&c.alarms, timer{at: s.sendBy, attempt: s, onlyIfUnsent: true})
			}
		}
	}
	s.deadline = until
	heap.Push(&c.alarms, timer{at: until, attempt: s})
	c.metrics.attempts++
	c.pools.Send(s.server, s)
}

// cancel gives an attempt up: afterwards nothing of it goes out, and what went out is cut off. It says
// whether something had.
func (s *Attempt) cancel() (sent bool) {
	s.finished = true
	if s.state.CompareAndSwap(stateWaiting, stateCancelled) {
		return false
	}
	s.abort()
	return true
}

// cancelUnsent ends what has not begun to go out. A connection may come up late: what waits for it must not go out behind the end
// of the window in which the member's group drops a repeat, nor for a client that has left.
func (c *Core) cancelUnsent(s *Attempt) {
	if !s.finished && s.state.CompareAndSwap(stateWaiting, stateCancelled) {
		s.finished = true
		c.attemptFinished(s, routing.AttemptOutcome{Result: routing.NotSent, Load: deployment.EmptyLoad}, nil)
	}
}

// expire ends what nobody answered in time.
func (c *Core) expire(s *Attempt) {
	if !s.finished {
		s.cancel()
		c.attemptFinished(s, routing.AttemptOutcome{Result: routing.TimedOut, Load: deployment.EmptyLoad}, nil)
	}
}

// deferredResult is an ending that comes of the module's own wish; it is told in the next batch.
type deferredResult struct {
	attempt *Attempt
	result  routing.AttemptResult
}

func (e deferredResult) apply(c *Core, _ time.Duration) {
	c.attemptFinished(e.attempt, routing.AttemptOutcome{Result: e.result, Load: deployment.EmptyLoad}, nil)
}
