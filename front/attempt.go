package front

import (
	"sync/atomic"
	"time"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// Attempt is one attempt to send a request, or a health check, to a server.
//
// The core owns an Attempt. Only Begin, Message, MessageAfterEmptyQuery and Forwarded are called by the sender, the goroutine that sends
// the attempt. The field state settles races between the core and the sender: the one that changes it from stateWaiting first decides whether anything is sent.
type Attempt struct {
	ref        routing.RequestRef // zero for a health check
	server     int
	number     int // attempt number within the request, from 0
	startedAt  time.Duration
	sentAt     time.Duration // when the sending began, set by Begin; startedAt if the host calls Step
	deadline   time.Duration // when the core times the attempt out
	query      pgwire.TimedQuery
	forwarded  ForwardedAttempt // set if the server represents another site
	conditions sendConditions

	healthCheck bool
	generation  uint32 // for a health check: the generation of the server's index

	finished bool // the result was passed to the router, or will be in the next batch; used by the core only
	state    atomic.Int32
	abort    func() // set by the sender before state becomes stateSending
}

// The states of an Attempt.
const (
	stateWaiting   int32 = iota // nothing was sent
	stateSending                // Begin returned true: something may have been sent
	stateCancelled              // nothing was sent, and nothing will be
)

// sendConditions are the conditions under which an attempt may still be sent. The core sets them when it starts the attempt. The attempt
// may wait long for a connection, so the sender checks them right before it writes the first byte. If one no longer holds, Begin returns
// false and nothing is sent: the core has ended the attempt or is about to. Once the sending has begun, the conditions are not checked
// again. A field that is nil or 0 imposes no condition.
type sendConditions struct {
	lease      *ConfigLease         // of the configuration version under which the request was accepted; must be valid
	clientGone *atomic.Bool         // set once the client of the request has disconnected
	connection ClientConnection     // to the client; it may be closed although clientGone is not set yet
	sendBy     time.Duration        // end of the deduplication window, in which the server's group drops a duplicate, or of the data's time
	clock      func() time.Duration // the core's clock, for sendBy and the deadline; nil if the host calls Step
}

// setSendBy makes the attempt one that may only be sent before the given time. An earlier time that was set before remains.
func (s *sendConditions) setSendBy(by time.Duration) {
	by = max(by, 1) // 0 means that there is no condition
	if s.sendBy == 0 || by < s.sendBy {
		s.sendBy = by
	}
}

// Begin must be called by the sender before it writes the first byte. If Begin returns false, the core has ended the attempt or is about
// to, and nothing may be sent. If it returns true, the core may call abort to end the attempt. abort must not block. When it returns,
// the server must see the connection as closed.
func (a *Attempt) Begin(abort func()) bool {
	conditions := &a.conditions
	switch {
	case conditions.lease != nil && !conditions.lease.Valid():
		return false
	case conditions.connection != nil && conditions.connection.Disconnected():
		return false
	case conditions.clientGone != nil && conditions.clientGone.Load():
		return false
	}
	a.sentAt = a.startedAt
	if conditions.clock != nil {
		a.sentAt = conditions.clock()
		if a.sentAt >= a.sendDeadline() {
			return false
		}
	}
	a.abort = abort
	return a.state.CompareAndSwap(stateWaiting, stateSending)
}

// sendDeadline returns the time, on the core's clock, from which the sending must no longer begin: the attempt's deadline or sendBy,
// whichever comes first.
func (a *Attempt) sendDeadline() time.Duration {
	if a.conditions.sendBy > 0 {
		return min(a.conditions.sendBy, a.deadline)
	}
	return a.deadline
}

// The timeout that a server is given is shorter than the remaining time, by maxReadDelay or by the remaining time divided by
// readDelayDivisor, whichever is less. The timeout of a request runs from its arrival, but the request may have waited in the socket
// buffer before it was read. In addition, the front may be delayed between reading the clock and writing the message.
const (
	maxReadDelay     = 20 * time.Millisecond
	readDelayDivisor = 10
)

// Message returns the message to send at this moment. Its timeout for the server is the time that is left now, because the connection
// may have opened late, or the front may have been delayed, since the router decided. Only the sender calls Message or
// MessageAfterEmptyQuery, and only one of them once.
func (a *Attempt) Message() []byte {
	a.shortenTimeout()
	return a.query.Message()
}

// MessageAfterEmptyQuery returns an empty query and the message that Message would return. The response to the empty query separates what
// the server still sends of earlier results from the result of this attempt.
func (a *Attempt) MessageAfterEmptyQuery() []byte {
	a.shortenTimeout()
	return a.query.MessageAfterEmptyQuery()
}

// shortenTimeout sets the timeout for the server to the time that is left now.
func (a *Attempt) shortenTimeout() {
	if a.healthCheck || a.conditions.clock == nil {
		return
	}
	left := a.deadline - a.conditions.clock()
	a.query.ShortenTimeout(left - min(maxReadDelay, left/readDelayDivisor))
}

// cancel ends an attempt: it prevents the sending, or aborts the attempt if the sending has begun. It reports whether anything may have
// been sent.
func (a *Attempt) cancel() (sent bool) {
	a.finished = true
	if a.state.CompareAndSwap(stateWaiting, stateCancelled) {
		return false
	}
	a.abort()
	return true
}

// cancelUnsent ends an attempt if nothing of it was sent, and reports whether it did.
func (a *Attempt) cancelUnsent() bool {
	if a.finished || !a.state.CompareAndSwap(stateWaiting, stateCancelled) {
		return false
	}
	a.finished = true
	return true
}

// unsent reports whether the attempt is unfinished and nothing of it was sent so far.
func (a *Attempt) unsent() bool { return !a.finished && a.state.Load() == stateWaiting }

// ForwardedAttempt describes an attempt to the site that executes it.
type ForwardedAttempt struct {
	RequestID     uint64 // identifies the request within this front
	AttemptNumber int
	Group         int64
	Deadline      time.Duration // on the core's clock
	MaxAttempts   int           // attempts that the other site may make
	Write         bool
	MinPosition   int64 // log position that a read must have reached, in Unix milliseconds; 0 for none
	Repeated      bool  // an earlier attempt, started at FirstRunAt or later, may have run; its idempotency key is remembered for a limited time
	FirstRunAt    time.Duration
}

// Forwarded returns the description of the attempt for the site that its server represents. It is empty for a health check, which the
// second result reports, and for a server of this front's own site.
func (a *Attempt) Forwarded() (f ForwardedAttempt, healthCheck bool) {
	return a.forwarded, a.healthCheck
}

// NewHealthCheck creates an attempt that sends a request for a server's load report. The statement sets no timeout for the server.
func NewHealthCheck(statement string) *Attempt {
	return &Attempt{healthCheck: true, query: pgwire.UntimedQuery(statement)}
}

const healthCheckStatement = "SHOW load"
