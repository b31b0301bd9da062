package router

import (
	"time"

	"dapplerouter/routing"
)

// Where does a request stand? Inputs: its arrival, the endings of its attempts, its client's departure. Invariant: one attempt is out at
// a time; each request ends once (rule: no request lost).

type requestState uint8

const (
	pending  requestState = iota
	rejected              // to be answered so
	failed                // to be answered so: it may have run
	finished
)

// request is one in hand.
type request struct {
	routing.Request
	receivedAt       time.Duration
	objectiveAt      time.Duration // when its target latency is over
	deadline         time.Duration
	rank             float64       // among what comes here, 0 the best
	weight           float64       // marked down for a retry
	requiredPosition time.Duration // position that a read needs; never for any
	state            requestState
	attempts         int  // so far
	sentTo, planned  int  // member where it is out, where it should be
	cancelling       bool // cancelled, its ending awaited
	queued           bool
	lastServer       int  // member left last
	misrouted        bool // turned away untouched: the primary is next
	errorCount       int  // that attempts ended in
	mayHaveRun       bool // some attempt may have run:
	mayHaveRunSince  time.Duration
	sentAt           time.Duration
}

// requestTable has all that are in hand.
type requestTable struct {
	types     []routing.RequestType
	mayCancel bool
	slots     []request
	queue     []uint32 // to be planned: new, or without a place to go
	toCancel  []uint32 // to be emitted
}

// RequestReceived takes a request.
func (r *Router) RequestReceived(now time.Duration, in routing.Request) {
	for len(r.slots) <= int(in.Ref.Slot) {
		r.slots = append(r.slots, request{state: finished, sentTo: none, planned: none})
	}
	ty := &r.types[in.Type]
	t := &r.slots[in.Ref.Slot]
	*t = request{Request: in, receivedAt: now, deadline: now + in.Timeout, weight: ty.PriorityWeight, requiredPosition: never, sentTo: none, planned: none,
		lastServer: none, queued: t.queued,
		objectiveAt: now + min(ty.LatencyObjective+time.Duration(ty.WorkMultiple*float64(in.ExpectedWork)), ty.Deadline)}
	if ty.Consistency == routing.ReadYourWrites {
		t.requiredPosition = r.requiredPosition(now, &in, r.group(in.Group))
	}
	r.discountRetry(now, t)
	t.rank = r.rankOf(t)
	r.earnRetry()
	r.enqueue(t)
}

// enqueue puts a request among the held, to be planned; cancel takes it from where it is out.
func (r *requestTable) enqueue(t *request) {
	if !t.queued {
		t.queued = true
		r.queue = append(r.queue, t.Ref.Slot)
	}
}

func (r *requestTable) cancel(t *request) {
	if t.planned = none; t.sentTo != none && !t.cancelling && r.mayCancel {
		r.toCancel = append(r.toCancel, t.Ref.Slot)
	}
}

// attemptStarted notes an attempt.
func (t *request) attemptStarted(now time.Duration, member int) {
	t.sentTo, t.sentAt = member, now
	t.attempts++
}

// ClientGone ends a request whose client is gone. One that was out then is a sign of a queue, and came to nothing.
func (r *Router) ClientGone(now time.Duration, ref routing.RequestRef) {
	t := &r.slots[ref.Slot]
	if t.Ref != ref || t.state == finished {
		return
	}
	t.state = finished
	if t.sentTo != none && !r.stalled(now) {
		m := &r.servers[t.sentTo]
		r.reduceLimit(m, failureReduction)
		r.observeLoad(now, m, maxLoad)
	}
	r.cancel(t)
}

// AttemptFinished takes the ending of an attempt, also of one whose place in the slab has a new request by now.
func (r *Router) AttemptFinished(now time.Duration, o routing.AttemptOutcome) {
	m := &r.servers[o.Server]
	m.attemptFinished(now)
	t := &r.slots[o.Ref.Slot]
	mine, ty := t.Ref == o.Ref && t.sentTo != none && o.AttemptNumber == t.attempts-1, none
	if mine {
		ty = t.Type
	}
	r.observeOutcome(now, o, ty)
	if o.Role != routing.UnknownRole {
		r.observeRole(now, o.Server, o.Role, o.Position, o.HasPosition)
	}
	r.observePosition(now, m, &o)
	if !mine {
		return
	}
	t.attemptFinished(&o)
	if o.Result == routing.Succeeded && r.types[ty].Consistency == routing.Write && t.Session != 0 && o.HasPosition {
		r.recordWrite(sessionKey(&t.Request), r.group(t.Group), o.Position)
	}
	if o.Result == routing.Unreachable || o.Result == routing.NotSent {
		r.refundRetry()
	}
	switch {
	case o.RequestFinished:
		t.state = finished
	case t.state == pending:
		r.enqueue(t)
	}
}

// attemptFinished takes the ending of the attempt that is out.
func (t *request) attemptFinished(o *routing.AttemptOutcome) {
	t.sentTo, t.planned, t.lastServer, t.cancelling = none, none, o.Server, false
	if !o.Result.NeverRan() && !t.mayHaveRun {
		t.mayHaveRun, t.mayHaveRunSince = true, t.sentAt
	}
	t.misrouted = t.misrouted || o.Result == routing.Misrouted
	if o.Result == routing.ServerError {
		t.errorCount++
	}
}
