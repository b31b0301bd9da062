package router

import (
	"time"

	"dapplerouter/routing"
)

// May a request be sent again, or is it to be given up? Inputs: its idempotency, what was sent, the time that is left. Invariant: what
// may have run is not sent again unless the repeat is dropped where it is sent (rule: no effect twice); retries stay a fraction of
// first attempts.

// retryPolicy limits retries, for one request and for all.
type retryPolicy struct {
	maxAttempts int     // of a request
	retryBudget float64 // retries that are still allowed
}

// shortWaitMargin is the divisor of a short timeout for what is left of it when a wait ends.
const shortWaitMargin = 4

// Retries stay a fraction of first attempts: timeouts must not cause more work than they save.
const (
	retryShare   = 1.0 / 5
	retryReserve = 20 // for when a server fails
)

// earnRetry follows a first attempt.
func (p *retryPolicy) earnRetry() { p.retryBudget = min(p.retryBudget+retryShare, retryReserve) }

// takeRetry takes one from the budget, if there is one.
func (p *retryPolicy) takeRetry() bool {
	if p.retryBudget < 1 {
		return false
	}
	p.retryBudget--
	return true
}

// refundRetry gives one back: the attempt was no work for any server.
func (p *retryPolicy) refundRetry() { p.retryBudget++ }

// shouldGiveUp reports whether to end a request that has no attempt in flight: after two errors, since the fault is then its
// own; shortly before its deadline; or, where a late answer has no value, when it can't meet its latency objective. Attempts
// in flight are never cut short: clients would retry at once. A write or a retry that was never sent is given up at half its
// timeout, so that its client has time to try elsewhere.
func (r *Router) shouldGiveUp(now time.Duration, req *request, t *routing.RequestType) bool {
	ownFault := req.errorCount > 1 || req.errorCount > 0 && r.errorRate > 1.0/4 // at the first, where errors are common
	return now > r.waitsUntil(now, req) || req.retryUnsafe(now, t) || ownFault || req.attempts >= r.maxAttempts ||
		r.tooLate(now, req, req.objectiveAt)
}

// waitsUntil is the time until which a request may wait for a server: until shortly before its deadline, or, for a write or a retry that
// was never sent, before half of its timeout.
func (r *Router) waitsUntil(now time.Duration, req *request) time.Duration {
	end := req.deadline
	neverRan := !req.mayHaveRun && !req.misrouted
	if neverRan && (r.requestTypes[req.Type].Consistency == routing.Write || r.countsAsRetry(now, req)) {
		end = req.receivedAt + req.Timeout/2
	}
	return end - r.waitMargin(now, req)
}

// countsAsRetry reports whether a request is its client's retry, by the client's mark or, before loaded servers, by its timeout.
func (r *Router) countsAsRetry(now time.Duration, req *request) bool {
	if r.retriesMarked {
		return req.Retry
	}
	return req.weight < r.requestTypes[req.Type].PriorityWeight && r.groupLoad(now, r.group(req.Group)) > normalLoad
}

// waitMargin is how long before its end a wait is given up: two ticks, since a queued request is looked at each tick. A short timeout leaves
// less where servers are not loaded: what they take at once is sent. Under load those with the least time are shed first.
func (r *Router) waitMargin(now time.Duration, req *request) time.Duration {
	if r.endsBetweenTicks(req) && r.groupLoad(now, r.group(req.Group)) <= normalLoad {
		return req.Timeout / shortWaitMargin
	}
	return 2 * r.tickInterval
}

// endsBetweenTicks reports whether a request's timeout is so short that ticks alone would end its wait too late.
func (r *Router) endsBetweenTicks(req *request) bool {
	return req.Timeout < 2*shortWaitMargin*r.tickInterval
}

// tooLate reports whether an answer that is begun now would miss an objective behind which it is worth nothing. A typical
// latency over the objective must not keep a type out for good: what is never sent is never measured.
func (r *Router) tooLate(now time.Duration, req *request, objectiveAt time.Duration) bool {
	t := &r.requestTypes[req.Type]
	return t.LateFraction == 0 && now > objectiveAt-min(r.typicalLatency[req.Type], t.LatencyObjective/2)
}

// probablyTooLate reports whether a request is to be given up since its client has probably waited for too long already. How
// long is an inference from the timeouts of others: so where there is no mark of the client's, nor a stall, it counts at servers that are
// overloaded alone; servers that are not loaded are waited for, and sent the request, in any case.
func (r *Router) probablyTooLate(now time.Duration, req *request, to int) bool {
	if !r.tooLate(now, req, req.probableObjectiveAt) {
		return false
	}
	limit := overloadedLoad
	if r.retriesMarked || r.stalled(now) {
		limit = normalLoad
	}
	if to == none {
		return r.groupLoad(now, r.group(req.Group)) > limit
	}
	return r.loadEstimate(now, &r.servers[to]) > limit
}

// retryUnsafe reports whether a request may have run, and a repeat might not be dropped.
func (req *request) retryUnsafe(now time.Duration, t *routing.RequestType) bool {
	return req.mayHaveRun && (t.Idempotency == routing.NonIdempotent ||
		t.Idempotency == routing.IdempotencyKey && (now-req.mayHaveRunSince > req.DedupWindow*9/10 || t.DedupScope == routing.ScopeZone))
}

// giveUp ends a request: rejected where its client may safely retry, else failed.
func (req *request) giveUp(t *routing.RequestType) {
	req.state = rejected
	if req.mayHaveRun && (t.Idempotency == routing.NonIdempotent || t.Idempotency == routing.IdempotencyKey && t.DedupScope != routing.ScopeAll) {
		req.state = failed
	}
}
