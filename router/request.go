package router

import (
	"time"

	"dapplerouter/routing"
)

// This file tracks the state of each request. Inputs: the request's receipt, the outcomes of its attempts, and the
// departure of its client. Invariant: a request has one attempt in flight at a time and ends exactly once; no request
// is lost.

// requestState is the state of a request. Reconcile turns rejected and failed into an answer to the client and then
// into finished.
type requestState uint8

const (
	pending  requestState = iota
	rejected              // to be rejected: nothing has run, or a retry is safe
	failed                // to be answered with a failure: it may have run
	finished
)

// request is the state kept for one request from its receipt to its end, both while it is queued and while an attempt is
// in flight.
type request struct {
	routing.Request
	schedule
	attemptState
	execution
	state  requestState
	queued bool // its slot is in requestTable.queue
}

// schedule says when a request must be answered, with what priority, and how recent a server must be to take it.
type schedule struct {
	receivedAt  time.Duration
	objectiveAt time.Duration // end of the request's latency objective
	// probableObjectiveAt is objectiveAt less the time that the client has probably waited already. It is earlier than
	// objectiveAt for a retry and for a request that was found after a stall.
	probableObjectiveAt time.Duration
	deadline            time.Duration
	rank                float64       // share of recent work with a higher weight per unit of work; 0 is the best
	weight              float64       // the type's priority weight, reduced for a retry
	requiredPosition    time.Duration // log position that a read must see; never if it requires none
}

// attemptState describes a request's attempts. reconcileRequest removes the difference between sentTo and planned.
type attemptState struct {
	attempts   int  // number started so far
	sentTo     int  // server of the attempt in flight, or none
	planned    int  // server that should have the attempt, or none
	cancelling bool // the host was asked to cancel the attempt in flight
	sentAt     time.Duration
	lastServer int // server of the previous attempt
}

// execution records what the finished attempts show about whether the request has run.
type execution struct {
	misrouted       bool // a server rejected it before it ran, or ran it on data that is too old; the primary is tried next
	errorCount      int  // attempts that ended with ServerError
	mayHaveRun      bool
	mayHaveRunSince time.Duration // start of the first attempt that may have run
}

// requestTable holds all requests that have not ended, by slot. A slot keeps an ended request until it is used again.
type requestTable struct {
	requestTypes []routing.RequestType
	mayCancel    bool
	slots        []request
	queue        []uint32      // slots to plan: new requests, and requests that no server admits yet
	toCancel     []uint32      // slots whose attempt is to be cancelled
	waitTimerAt  time.Duration // time of the timer last set by setTimerForWaitEnd
}

// noAttempt is the state of a request that has not been sent.
var noAttempt = attemptState{sentTo: none, planned: none, lastServer: none}

// RequestReceived stores a new request, computes its objective, deadline and rank, and queues it. Nothing is sent
// before the next Reconcile.
func (r *Router) RequestReceived(now time.Duration, in routing.Request) {
	for len(r.slots) <= int(in.Ref.Slot) {
		r.slots = append(r.slots, request{state: finished, attemptState: noAttempt})
	}
	t := &r.requestTypes[in.Type]
	req := &r.slots[in.Ref.Slot]
	*req = request{Request: in, attemptState: noAttempt, queued: req.queued, schedule: schedule{
		receivedAt:       now,
		objectiveAt:      now + min(t.LatencyObjective+time.Duration(t.WorkMultiple*float64(in.ExpectedWork)), t.Deadline),
		deadline:         now + in.Timeout,
		weight:           t.PriorityWeight,
		requiredPosition: never,
	}}
	if t.Consistency == routing.ReadYourWrites {
		req.requiredPosition = r.requiredPosition(now, &in, r.group(in.Group))
	}
	if in.FirstRunAge > 0 {
		req.mayHaveRun, req.mayHaveRunSince = true, now-in.FirstRunAge
	}
	req.probableObjectiveAt = req.objectiveAt
	r.discountRetry(now, req)
	req.rank = r.rankOf(req)
	r.creditRetryBudget()
	r.enqueue(req)
}

// enqueue makes the next Reconcile plan the request.
func (r *requestTable) enqueue(req *request) {
	if !req.queued {
		req.queued = true
		r.queue = append(r.queue, req.Ref.Slot)
	}
}

// cancel makes the next Reconcile cancel the attempt in flight, if the deployment allows cancellation.
func (r *requestTable) cancel(req *request) {
	if req.planned = none; req.sentTo != none && !req.cancelling && r.mayCancel {
		r.toCancel = append(r.toCancel, req.Ref.Slot)
	}
}

// attemptStarted records the start of an attempt.
func (req *request) attemptStarted(now time.Duration, server int) {
	req.sentTo, req.sentAt = server, now
	req.attempts++
}

// ClientGone ends a request whose client has left. The attempt in flight is cancelled, since its answer has no
// recipient. Unless this instance was stalled, the attempt counts as unanswered for its server.
func (r *Router) ClientGone(now time.Duration, ref routing.RequestRef) {
	req := &r.slots[ref.Slot]
	if req.Ref != ref || req.state == finished {
		return
	}
	req.state = finished
	if req.sentTo != none && !r.stalled(now) {
		r.observeUnanswered(now, &r.servers[req.sentTo], req.Type, now-req.sentAt)
	}
	r.cancel(req)
}

// AttemptFinished takes the outcome of an attempt. The request's slot may hold another request by now; the outcome then
// counts for the server only.
func (r *Router) AttemptFinished(now time.Duration, o routing.AttemptOutcome) {
	s := &r.servers[o.Server]
	s.attemptFinished(now)
	req := &r.slots[o.Ref.Slot]
	current, requestType := req.Ref == o.Ref && req.sentTo != none && o.AttemptNumber == req.attempts-1, none
	if current {
		requestType = req.Type
	}
	r.observeOutcome(now, o, requestType)
	if o.Role != routing.UnknownRole {
		r.observeAnsweredRole(now, o.Server, &o)
	}
	r.observePosition(now, s, &o)
	if !current {
		return
	}
	req.attemptFinished(&o)
	if o.Result == routing.Succeeded && r.requestTypes[requestType].Consistency == routing.Write && req.Session != 0 && o.HasPosition {
		r.recordWrite(sessionKey(&req.Request), r.group(req.Group), o.Position)
	}
	if o.Result == routing.Unreachable || o.Result == routing.NotSent {
		r.refundRetryBudget()
	}
	switch {
	case o.RequestFinished:
		req.state = finished
	case req.state == pending:
		r.enqueue(req)
	}
}

// attemptFinished records the outcome of the attempt in flight.
func (req *request) attemptFinished(o *routing.AttemptOutcome) {
	req.sentTo, req.planned, req.lastServer, req.cancelling = none, none, o.Server, false
	if !o.Result.NeverRan() && !req.mayHaveRun {
		req.mayHaveRun, req.mayHaveRunSince = true, req.sentAt
	}
	req.misrouted = req.misrouted || o.Result == routing.Misrouted || o.Result == routing.Stale
	if o.Result == routing.ServerError {
		req.errorCount++
	}
}
