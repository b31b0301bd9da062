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
	query pgwire.TimedQuery
	until time.Duration // when it is given up

	ref    routing.RequestRef
	member int
	hop    int
	sent   time.Duration
	probe  bool
	turn   uint32 // of a probe: of its member's place
	way    ForwardedAttempt
	right  *ConfigLease         // to what its request was taken on; nil where none is needed
	left   *atomic.Bool         // of its request: the client has left; nil for a probe
	client ClientConnection     // who can tell so before that was noticed; nil where nobody can
	begin  time.Duration        // from then on nothing of it may go out; 0 for no limit
	clock  func() time.Duration // by which that is; nil where the core is stepped
	done   bool                 // the core's: its ending is told, or about to be
	cut    func()               // set by who sends it, before stage says so
	stage  atomic.Int32
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
func (s *Attempt) Forwarded() (w ForwardedAttempt, probe bool) { return s.way, s.probe }

const (
	waiting int32 = iota
	going
	dropped
)

// Begin is called before the first byte goes out. Where it says no, the core gave the attempt up and
// nothing may be sent; afterwards the core ends it by cut, which must close the connection to the member's
// eyes before it returns, without blocking.
func (s *Attempt) Begin(cut func()) bool {
	if s.right != nil && !s.right.Valid() { // the core ends it as soon as it looks
		return false
	}
	if s.client != nil && s.client.Disconnected() {
		return false
	}
	if s.left != nil && s.left.Load() || s.clock != nil && s.clock() >= s.mustBeginBy() { // so does it here
		return false
	}
	s.cut = cut
	return s.stage.CompareAndSwap(waiting, going)
}

// NewHealthCheck is an attempt of a message that asks a member about itself and tells no deadline.
func NewHealthCheck(message []byte) *Attempt {
	return &Attempt{probe: true, query: pgwire.TimedQuery{Message: message}}
}

// Message is what goes out at this moment. A statement tells its member how long its sender will wait from now on: a connection
// may have come up late, or the front may have been held up, since the attempt was decided on. Only who sends it calls this, once.
func (s *Attempt) Message() []byte {
	if s.probe || s.clock == nil {
		return s.query.Message
	}
	left := s.until - s.clock()
	return s.query.ShortenTimeout(left - min(readingDelay, left/readingPart))
}

// What a member is told is less than what is left by as long as a request may have lain here before it was read, or by a tenth of
// what is left: the request's time runs from its arrival, and the front may besides be held up between its clock and the write.
const (
	readingDelay = 20 * time.Millisecond
	readingPart  = 10
)

// mustBeginBy is the moment from which on nothing of it may go out.
func (s *Attempt) mustBeginBy() time.Duration {
	if s.begin > 0 {
		return min(s.begin, s.until)
	}
	return s.until
}

var probeMessage = pgwire.AppendQuery(nil, "SHOW load")

// send hands an attempt to the links and sets the time at which it is given up.
func (c *Core) send(s *Attempt, until time.Duration) {
	if d := c.slab.Get(s.ref); d != nil {
		a := d.Value
		a.out = append(a.out, s)
		s.right, s.clock = a.terms.right, c.clock
		s.left = a.gone
		if client, ok := a.Client.(ConnectedClient); ok {
			s.client = client.Connection()
		}
		if ty := &a.terms.types[a.typ]; a.mayRun && ty.Idempotency == routing.IdempotencyKey {
			s.begin = a.ranSince + ty.DedupWindow
			if s.begin < until {
				heap.Push(&c.alarms, alarm{at: s.begin, s: s, unbegun: true})
			}
		}
	}
	s.until = until
	heap.Push(&c.alarms, alarm{at: until, s: s})
	c.metrics.attempts++
	c.pools.Send(s.member, s)
}

// cancel gives an attempt up: afterwards nothing of it goes out, and what went out is cut off. It says
// whether something had.
func (s *Attempt) cancel() (sent bool) {
	s.done = true
	if s.stage.CompareAndSwap(waiting, dropped) {
		return false
	}
	s.cut()
	return true
}

// cancelUnsent ends what has not begun to go out. A connection may come up late: what waits for it must not go out behind the end
// of the window in which the member's group drops a repeat, nor for a client that has left.
func (c *Core) cancelUnsent(s *Attempt) {
	if !s.done && s.stage.CompareAndSwap(waiting, dropped) {
		s.done = true
		c.ended(s, routing.AttemptOutcome{Result: routing.NotSent, Load: deployment.EmptyLoad}, nil)
	}
}

// expire ends what nobody answered in time.
func (c *Core) expire(s *Attempt) {
	if !s.done {
		s.cancel()
		c.ended(s, routing.AttemptOutcome{Result: routing.TimedOut, Load: deployment.EmptyLoad}, nil)
	}
}

// settled is an ending that comes of the module's own wish; it is told in the next batch.
type settled struct {
	s      *Attempt
	ending routing.AttemptResult
}

func (e settled) take(c *Core, _ time.Duration) {
	c.ended(e.s, routing.AttemptOutcome{Result: e.ending, Load: deployment.EmptyLoad}, nil)
}
