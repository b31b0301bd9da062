package front

import (
	"sync/atomic"
	"time"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// Attempt is one sending of a request, or of a health check, to a server.
//
// The core owns it, save for Begin, Message and Forwarded, which the goroutine that sends it calls. The two agree by state on
// whether anything was sent: whoever changes it from stateWaiting first has decided that.
type Attempt struct {
	ref        routing.RequestRef // zero for a health check
	server     int
	number     int // of the request's attempts, from 0
	startedAt  time.Duration
	deadline   time.Duration // when it is given up
	query      pgwire.TimedQuery
	forwarded  ForwardedAttempt // where the server stands for another site
	conditions sendConditions

	healthCheck bool
	generation  uint32 // of a health check: that of its server

	finished bool // the core's: its result was passed on, or will be in the next batch
	state    atomic.Int32
	abort    func() // set by the sender before state becomes stateSending
}

// The states of an Attempt.
const (
	stateWaiting   int32 = iota // nothing was sent
	stateSending                // Begin returned true: something may have been sent
	stateCancelled              // nothing was sent, and nothing will be
)

// sendConditions is what forbids an attempt to begin, as the core saw it when it started the attempt. What a connection waits for may take
// long, so the sender checks it right before the first byte. Each field is nil or 0 where it forbids nothing.
type sendConditions struct {
	lease      *ConfigLease         // of the version under which the request was accepted
	clientGone *atomic.Bool         // of the request
	connection ClientConnection     // of the client, which may be closed though clientGone is not set yet
	sendBy     time.Duration        // the end of the window in which the server's group drops a duplicate
	clock      func() time.Duration // the core's, for sendBy and the deadline; nil where the host steps the core
}

// Begin is called by the sender before the first byte. Where it returns false the core has given the attempt up, or is about to, and
// nothing may be sent. Afterwards the core ends the attempt by abort, which must not block and must have closed the connection, as
// the server sees it, when it returns.
func (a *Attempt) Begin(abort func()) bool {
	g := &a.conditions
	switch {
	case g.lease != nil && !g.lease.Valid():
		return false
	case g.connection != nil && g.connection.Disconnected():
		return false
	case g.clientGone != nil && g.clientGone.Load():
		return false
	case g.clock != nil && g.clock() >= a.sendDeadline():
		return false
	}
	a.abort = abort
	return a.state.CompareAndSwap(stateWaiting, stateSending)
}

// sendDeadline is the moment from which on nothing of the attempt may be sent.
func (a *Attempt) sendDeadline() time.Duration {
	if a.conditions.sendBy > 0 {
		return min(a.conditions.sendBy, a.deadline)
	}
	return a.deadline
}

// The time that a server is given is less than what is left, by as long as the request may have lain in the socket before it was
// read, or by a tenth of what is left: the request's time runs from its arrival, and the front may be held up between its look at
// the clock and the write.
const (
	maxReadDelay      = 20 * time.Millisecond
	readDelayFraction = 10
)

// Message is what is sent at this moment. It gives the server the time that is left: the connection may have come up late, or the
// front may have been held up, since the router decided. Only the sender calls it, once.
func (a *Attempt) Message() []byte {
	if a.healthCheck || a.conditions.clock == nil {
		return a.query.Message
	}
	left := a.deadline - a.conditions.clock()
	return a.query.ShortenTimeout(left - min(maxReadDelay, left/readDelayFraction))
}

// cancel gives an attempt up: afterwards nothing of it is sent, and what was sent is cut off. It reports whether anything was.
func (a *Attempt) cancel() (sent bool) {
	a.finished = true
	if a.state.CompareAndSwap(stateWaiting, stateCancelled) {
		return false
	}
	a.abort()
	return true
}

// cancelUnsent gives an attempt up if nothing of it was sent, and reports whether it did.
func (a *Attempt) cancelUnsent() bool {
	if a.finished || !a.state.CompareAndSwap(stateWaiting, stateCancelled) {
		return false
	}
	a.finished = true
	return true
}

// unsent reports whether nothing of the attempt was sent so far.
func (a *Attempt) unsent() bool { return !a.finished && a.state.Load() == stateWaiting }

// ForwardedAttempt is what another site has to know of an attempt.
type ForwardedAttempt struct {
	RequestID     uint64 // of the request, in this front
	AttemptNumber int
	Group         int64
	Deadline      time.Duration // of the attempt, by the core's clock
	MaxAttempts   int           // that the other site may make
	Write         bool
	MinPosition   int64 // log position that a read must see, Unix milliseconds; 0 for none
}

// Forwarded returns what another site has to know of the attempt; a health check has nothing of the kind.
func (a *Attempt) Forwarded() (f ForwardedAttempt, healthCheck bool) {
	return a.forwarded, a.healthCheck
}

// NewHealthCheck is an attempt of a message that asks a server for its load report and has no deadline for the server.
func NewHealthCheck(message []byte) *Attempt {
	return &Attempt{healthCheck: true, query: pgwire.TimedQuery{Message: message}}
}

var healthCheckMessage = pgwire.AppendQuery(nil, "SHOW load")
