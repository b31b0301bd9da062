package router

import (
	"time"

	"dapplerouter/routing"
)

// May a request be sent again, or is it past hope? Inputs: its effect, what was sent, what time is left. Invariant: nothing that may
// have run goes out again unless its repeat is dropped where it goes (rule: no effect twice); further attempts stay a part of first ones.

// retryPolicy are what may still be sent again.
type retryPolicy struct {
	maxAttempts int     // of a request
	retryBudget float64 // further attempts still allowed
}

// Further attempts stay a part of first ones: time-outs must not make more work than they save.
const (
	retryShare   = 1.0 / 5
	retryReserve = 20 // kept for the moment when a member dies
)

// earnRetry follows a first attempt.
func (r *retryPolicy) earnRetry() { r.retryBudget = min(r.retryBudget+retryShare, retryReserve) }

// takeRetry takes one from the budget, if there is one.
func (r *retryPolicy) takeRetry() bool {
	if r.retryBudget < 1 {
		return false
	}
	r.retryBudget--
	return true
}

// refundRetry gives one back: it was no work for any member.
func (r *retryPolicy) refundRetry() { r.retryBudget++ }

// shouldGiveUp tells when to give a request up: after two errors, its own fault then, or shortly before its deadline, or at
// its target latency where late is worth nothing. What is out is never cut short: clients would come back at once.
// A write or a retry of which nothing went out leaves half of its time to its client, who may find more room.
func (r *Router) shouldGiveUp(now time.Duration, t *request, ty *routing.RequestType) bool {
	kept := (ty.Consistency == routing.Write || t.weight < ty.PriorityWeight) && !t.mayHaveRun && !t.misrouted &&
		now > t.receivedAt+t.Timeout/2-2*r.tickInterval
	senseless := t.errorCount > 1 || t.errorCount > 0 && r.errorRate > 1.0/4 // where errors are common, at the first
	// A usual latency over the target must not shut a type out: what is never sent is never learnt of.
	tooLate := ty.LateFraction == 0 && now > t.objectiveAt-min(r.typical[t.Type], ty.LatencyObjective/2)
	return kept || t.retryUnsafe(now, ty) || senseless || t.attempts >= r.maxAttempts || now > t.deadline-2*r.tickInterval || tooLate
}

// retryUnsafe tells of a request that may have run, where nothing would drop the repeat.
func (t *request) retryUnsafe(now time.Duration, ty *routing.RequestType) bool {
	return t.mayHaveRun && (ty.Idempotency == routing.NonIdempotent ||
		ty.Idempotency == routing.IdempotencyKey && (now-t.mayHaveRunSince > t.DedupWindow*9/10 || ty.DedupScope == routing.ScopeZone))
}

// giveUp ends a request at once, as well as its type allows.
func (t *request) giveUp(ty *routing.RequestType) {
	t.state = rejected
	if t.mayHaveRun && (ty.Idempotency == routing.NonIdempotent || ty.Idempotency == routing.IdempotencyKey && ty.DedupScope != routing.ScopeAll) {
		t.state = failed
	}
}
