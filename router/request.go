package router

import (
	"time"

	"dapplerouter/routing"
)

// What is the state of a request? Inputs: its receipt, the outcomes of its attempts, its client's departure. Invariant: one attempt is
// in flight at a time; each request ends once (rule: no request lost).

type requestState uint8

const (
	pending  requestState = iota
	rejected              // Reconcile answers so: nothing has run, or a retry is safe
	failed                // Reconcile answers so: it may have run
	finished
)

// request is a request in flight.
type request struct {
	routing.Request
	schedule
	attemptState
	execution
	state  requestState
	queued bool
}

// schedule is by when a request is to be answered, in what order, and by what servers.
type schedule struct {
	receivedAt  time.Duration
	objectiveAt time.Duration // when its latency objective ends
	// probableObjectiveAt is the same with what its client has probably waited before: earlier for a retry, and for a
	// request that was found after a stall.
	probableObjectiveAt time.Duration
	deadline            time.Duration
	rank                float64       // among recent requests, 0 for the best
	weight              float64       // its type's, less for a retry
	requiredPosition    time.Duration // log position that a read must see; never for none
}

// attemptState is a request's attempts. The difference between sentTo and planned is what emit brings about.
type attemptState struct {
	attempts   int // so far
	sentTo     int // server with the attempt in flight, none for none
	planned    int // server that should have it
	cancelling bool
	sentAt     time.Duration
	lastServer int // of the previous attempt
}

// execution is what the ended attempts say of whether the request has run.
type execution struct {
	misrouted       bool // rejected before it ran: the primary is next
	errorCount      int
	mayHaveRun      bool
	mayHaveRunSince time.Duration
}

// requestTable has all requests in flight, by slot.
type requestTable struct {
	requestTypes []routing.RequestType
	mayCancel    bool
	slots        []request
	queue        []uint32      // slots to be planned: new, or without a server that takes them
	toCancel     []uint32      // slots of which an attempt is to be cancelled
	wakeAt       time.Duration // of the timer that was last set for a wait that ends between ticks
}

var noAttempt = attemptState{sentTo: none, planned: none, lastServer: none}

// RequestReceived takes a request.
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
	req.probableObjectiveAt = req.objectiveAt
	r.discountRetry(now, req)
	req.rank = r.rankOf(req)
	r.earnRetry()
	r.enqueue(req)
}

// enqueue has a request planned by the next Reconcile.
func (r *requestTable) enqueue(req *request) {
	if !req.queued {
		req.queued = true
		r.queue = append(r.queue, req.Ref.Slot)
	}
}

// cancel has the attempt in flight cancelled by the next Reconcile, where the deployment allows that.
func (r *requestTable) cancel(req *request) {
	if req.planned = none; req.sentTo != none && !req.cancelling && r.mayCancel {
		r.toCancel = append(r.toCancel, req.Ref.Slot)
	}
}

// attemptStarted notes an attempt.
func (req *request) attemptStarted(now time.Duration, server int) {
	req.sentTo, req.sentAt = server, now
	req.attempts++
}

// ClientGone ends a request. An attempt that was in flight then is of no use any more.
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

// AttemptFinished takes an attempt's outcome, also where the request's slot has another request by now.
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
		r.observeRole(now, o.Server, o.Role, o.Position, o.HasPosition)
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
		r.refundRetry()
	}
	switch {
	case o.RequestFinished:
		req.state = finished
	case req.state == pending:
		r.enqueue(req)
	}
}

// attemptFinished takes the outcome of the attempt in flight.
func (req *request) attemptFinished(o *routing.AttemptOutcome) {
	req.sentTo, req.planned, req.lastServer, req.cancelling = none, none, o.Server, false
	if !o.Result.NeverRan() && !req.mayHaveRun {
		req.mayHaveRun, req.mayHaveRunSince = true, req.sentAt
	}
	req.misrouted = req.misrouted || o.Result == routing.Misrouted
	if o.Result == routing.ServerError {
		req.errorCount++
	}
}
