package router

import (
	"time"

	"dapplerouter/routing"
)

// May a request be sent again, or is it past hope? Inputs: its effect, what was sent, what time is left. Invariant: nothing that may
// have run goes out again unless its repeat is dropped where it goes (rule: no effect twice); further attempts stay a part of first ones.

// retries are what may still be sent again.
type retries struct {
	maxAttempts int     // of a request
	retryBudget float64 // further attempts still allowed
}

// Further attempts stay a part of first ones: time-outs must not make more work than they save.
const (
	retryShare   = 1.0 / 5
	retryReserve = 20 // kept for the moment when a member dies
)

// earnRetry follows a first attempt.
func (r *retries) earnRetry() { r.retryBudget = min(r.retryBudget+retryShare, retryReserve) }

// takeRetry takes one from the budget, if there is one.
func (r *retries) takeRetry() bool {
	if r.retryBudget < 1 {
		return false
	}
	r.retryBudget--
	return true
}

// refundRetry gives one back: it was no work for any member.
func (r *retries) refundRetry() { r.retryBudget++ }

// pastHope tells when to give a request up: after two errors, its own fault then, or shortly before its deadline, or at
// its target latency where late is worth nothing. What is out is never cut short: clients would come back at once.
// A write or a retry of which nothing went out leaves half of its time to its client, who may find more room.
func (r *Router) pastHope(now time.Duration, t *request, ty *routing.RequestType) bool {
	kept := (ty.Consistency == routing.Write || t.value < ty.PriorityWeight) && !t.mayRun && !t.missed &&
		now > t.begun+t.Timeout/2-2*r.tick
	senseless := t.errors > 1 || t.errors > 0 && r.errorRate > 1.0/4 // where errors are common, at the first
	// A usual latency over the target must not shut a type out: what is never sent is never learnt of.
	tooLate := ty.LateFraction == 0 && now > t.targetAt-min(r.usual[t.Type], ty.LatencyObjective/2)
	return kept || t.unrepeatable(now, ty) || senseless || t.attempts >= r.maxAttempts || now > t.deadline-2*r.tick || tooLate
}

// unrepeatable tells of a request that may have run, where nothing would drop the repeat.
func (t *request) unrepeatable(now time.Duration, ty *routing.RequestType) bool {
	return t.mayRun && (ty.Idempotency == routing.NonIdempotent ||
		ty.Idempotency == routing.IdempotencyKey && (now-t.ranSince > t.DedupWindow*9/10 || ty.DedupScope == routing.ScopeZone))
}

// giveUp ends a request at once, as well as its type allows.
func (t *request) giveUp(ty *routing.RequestType) {
	t.end = rejected
	if t.mayRun && (ty.Idempotency == routing.NonIdempotent || ty.Idempotency == routing.IdempotencyKey && ty.DedupScope != routing.ScopeAll) {
		t.end = failed
	}
}
