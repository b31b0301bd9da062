package router

import (
	"time"

	"dapplerouter/routing"
)

// Where does a request stand? Inputs: its arrival, the endings of its attempts, its client's departure. Invariant: one attempt is out at
// a time; each request ends once (rule: no request lost).

type verdict uint8

const (
	open     verdict = iota
	rejected         // to be answered so
	failed           // to be answered so: it may have run
	closed
)

// request is one in hand.
type request struct {
	routing.Request
	begun      time.Duration
	targetAt   time.Duration // when its target latency is over
	deadline   time.Duration
	rank       float64       // among what comes here, 0 the best
	value      float64       // marked down for a retry
	needs      time.Duration // position that a read needs; never for any
	end        verdict
	attempts   int  // so far
	at, want   int  // member where it is out, where it should be
	cancelling bool // cancelled, its ending awaited
	held       bool
	lastMember int  // member left last
	missed     bool // turned away untouched: the primary is next
	errors     int  // that attempts ended in
	mayRun     bool // some attempt may have run:
	ranSince   time.Duration
	sentAt     time.Duration
}

// requestTable has all that are in hand.
type requestTable struct {
	types     []routing.RequestType
	mayCancel bool
	slab      []request
	held      []uint32 // to be planned: new, or without a place to go
	cancelled []uint32 // to be emitted
}

// RequestReceived takes a request.
func (r *Router) RequestReceived(now time.Duration, in routing.Request) {
	for len(r.slab) <= int(in.Ref.Slot) {
		r.slab = append(r.slab, request{end: closed, at: none, want: none})
	}
	ty := &r.types[in.Type]
	t := &r.slab[in.Ref.Slot]
	*t = request{Request: in, begun: now, deadline: now + in.Timeout, value: ty.PriorityWeight, needs: never, at: none, want: none,
		lastMember: none, held: t.held,
		targetAt: now + min(ty.LatencyObjective+time.Duration(ty.WorkMultiple*float64(in.ExpectedWork)), ty.Deadline)}
	if ty.Consistency == routing.ReadYourWrites {
		t.needs = r.needs(now, &in, r.group(in.Group))
	}
	r.discountRetry(now, t)
	t.rank = r.rankOf(t)
	r.earnRetry()
	r.enqueue(t)
}

// enqueue puts a request among the held, to be planned; cancel takes it from where it is out.
func (r *requestTable) enqueue(t *request) {
	if !t.held {
		t.held = true
		r.held = append(r.held, t.Ref.Slot)
	}
}

func (r *requestTable) cancel(t *request) {
	if t.want = none; t.at != none && !t.cancelling && r.mayCancel {
		r.cancelled = append(r.cancelled, t.Ref.Slot)
	}
}

// sentTo notes an attempt.
func (t *request) sentTo(now time.Duration, member int) {
	t.at, t.sentAt = member, now
	t.attempts++
}

// ClientGone ends a request whose client is gone. One that was out then is a sign of a queue, and came to nothing.
func (r *Router) ClientGone(now time.Duration, ref routing.RequestRef) {
	t := &r.slab[ref.Slot]
	if t.Ref != ref || t.end == closed {
		return
	}
	t.end = closed
	if t.at != none && !r.stalled(now) {
		m := &r.members[t.at]
		r.reduceLimit(m, failureReduction)
		r.observeLoad(now, m, maxLoad)
	}
	r.cancel(t)
}

// AttemptFinished takes the ending of an attempt, also of one whose place in the slab has a new request by now.
func (r *Router) AttemptFinished(now time.Duration, o routing.AttemptOutcome) {
	m := &r.members[o.Server]
	m.ended(now)
	t := &r.slab[o.Ref.Slot]
	mine, ty := t.Ref == o.Ref && t.at != none && o.AttemptNumber == t.attempts-1, none
	if mine {
		ty = t.Type
	}
	r.observeOutcome(now, o, ty)
	if o.Role != routing.UnknownRole {
		r.claims(now, o.Server, o.Role, o.Position, o.HasPosition)
	}
	r.observePosition(now, m, &o)
	if !mine {
		return
	}
	t.attemptEnded(&o)
	if o.Result == routing.Succeeded && r.types[ty].Consistency == routing.Write && t.Session != 0 && o.HasPosition {
		r.recordWrite(sessionKey(&t.Request), r.group(t.Group), o.Position)
	}
	if o.Result == routing.Unreachable || o.Result == routing.NotSent {
		r.refundRetry()
	}
	switch {
	case o.RequestFinished:
		t.end = closed
	case t.end == open:
		r.enqueue(t)
	}
}

// attemptEnded takes the ending of the attempt that is out.
func (t *request) attemptEnded(o *routing.AttemptOutcome) {
	t.at, t.want, t.lastMember, t.cancelling = none, none, o.Server, false
	if !o.Result.NeverRan() && !t.mayRun {
		t.mayRun, t.ranSince = true, t.sentAt
	}
	t.missed = t.missed || o.Result == routing.Misrouted
	if o.Result == routing.ServerError {
		t.errors++
	}
}
