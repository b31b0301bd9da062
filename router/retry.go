package router

import (
	"time"

	"dapplerouter/routing"
)

// This file decides whether a request may be sent again and when it is given up. Inputs: its idempotency, its earlier
// attempts and the time left. Invariants: a request that may have run is sent again only if the server would drop the
// repeat, so nothing takes effect twice; retries stay a fraction of first attempts.

// retryPolicy limits the attempts of one request and the retries of all requests together.
type retryPolicy struct {
	maxAttempts int     // for one request
	retryBudget float64 // retries allowed at present, for all requests together
}

// shortTimeoutMarginDivisor gives the waitMargin of a short timeout: the timeout divided by this number.
const shortTimeoutMarginDivisor = 4

// The retry budget keeps retries a fraction of first attempts, so that retries after timeouts don't cause more work
// than they save.
const (
	// retryBudgetRatio is how many retries each first attempt adds to the budget.
	retryBudgetRatio = 1.0 / 5
	// maxRetryBudget is the size of the budget. It is what is available when a server fails.
	maxRetryBudget = 20
)

// creditRetryBudget adds retryBudgetRatio of a retry to the budget, up to maxRetryBudget. It is called once for each
// request, when the request is received.
func (p *retryPolicy) creditRetryBudget() {
	p.retryBudget = min(p.retryBudget+retryBudgetRatio, maxRetryBudget)
}

// takeFromRetryBudget takes one retry from the budget. It returns false, and takes nothing, if less than one is left.
func (p *retryPolicy) takeFromRetryBudget() bool {
	if p.retryBudget < 1 {
		return false
	}
	p.retryBudget--
	return true
}

// refundRetryBudget returns a retry to the budget after an attempt that was no work for any server.
func (p *retryPolicy) refundRetryBudget() { p.retryBudget++ }

// shouldGiveUp reports whether to end a request that has no attempt in flight. It does so in these cases:
//
//   - The request has failed with two errors, since the fault is then probably its own. One error is enough while errors
//     are common.
//   - Its wait has reached waitDeadline.
//   - It may have run and a repeat would not be dropped, or it has used all its attempts.
//   - It can no longer meet its latency objective and its type gives a late answer no value.
//
// Attempts in flight are never cut short, since clients would retry at once.
func (r *Router) shouldGiveUp(now time.Duration, req *request, t *routing.RequestType) bool {
	requestAtFault := req.errorCount > 1 || req.errorCount > 0 && r.errorRate > 1.0/4
	return now > r.waitDeadline(now, req) || req.retryUnsafe(now, t) || requestAtFault || req.attempts >= r.maxAttempts ||
		r.tooLate(now, req, req.objectiveAt)
}

// waitDeadline returns the time until which a request may wait for a server: shortly before its deadline. A write or a
// retry that has never been sent waits only until shortly before half of its timeout, so that its client has time to
// try elsewhere.
func (r *Router) waitDeadline(now time.Duration, req *request) time.Duration {
	end := req.deadline
	neverRan := !req.mayHaveRun && !req.misrouted
	if neverRan && (r.requestTypes[req.Type].Consistency == routing.Write || r.countsAsRetry(now, req)) {
		end = req.receivedAt + req.Timeout/2
	}
	return end - r.waitMargin(now, req)
}

// countsAsRetry reports whether a request is treated as its client's retry. Where clients mark retries, only the mark
// counts. Otherwise an unusual timeout suggests a retry, but only while the group is loaded.
func (r *Router) countsAsRetry(now time.Duration, req *request) bool {
	if r.retriesMarked {
		return req.Retry
	}
	return req.weight < r.requestTypes[req.Type].PriorityWeight && r.groupLoad(now, r.group(req.Group)) > normalLoad
}

// waitMargin returns how long before the end of its time a request stops waiting. It is two ticks, since a queued
// request is examined once a tick. A short timeout has a smaller margin while the group is not loaded, because servers
// then take the request at once. Under load, the requests with the least time left are shed first.
func (r *Router) waitMargin(now time.Duration, req *request) time.Duration {
	if r.hasShortTimeout(req) && r.groupLoad(now, r.group(req.Group)) <= normalLoad {
		return req.Timeout / shortTimeoutMarginDivisor
	}
	return 2 * r.tickInterval
}

// hasShortTimeout reports whether a request's timeout is so short that ticks alone would end its wait too late.
func (r *Router) hasShortTimeout(req *request) bool {
	return req.Timeout < 2*shortTimeoutMarginDivisor*r.tickInterval
}

// tooLate reports whether an attempt started now would probably finish after objectiveAt, for a type whose late answers
// have no value. The typical latency counts for at most half of the latency objective. Otherwise a type whose typical
// latency exceeds its objective would never be sent, and so never be measured again.
func (r *Router) tooLate(now time.Duration, req *request, objectiveAt time.Duration) bool {
	t := &r.requestTypes[req.Type]
	return t.LateFraction == 0 && now > objectiveAt-min(r.typicalLatency[req.Type], t.LatencyObjective/2)
}

// probablyTooLate reports whether to give up a request because its client has probably waited too long already. The
// time waited is inferred from the timeouts of other requests. If clients mark retries, or this instance was stalled,
// the inference counts at loaded servers. Otherwise it counts only at overloaded servers. A server that is not loaded is
// waited for and sent the request in any case.
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

// retryUnsafe reports whether a request may have run while a repeat might not be dropped.
func (req *request) retryUnsafe(now time.Duration, t *routing.RequestType) bool {
	return req.mayHaveRun && (t.Idempotency == routing.NonIdempotent ||
		t.Idempotency == routing.IdempotencyKey && (now-req.mayHaveRunSince > req.DedupWindow*9/10 || t.DedupScope == routing.ScopeZone))
}

// giveUp ends a request. It is rejected if its client may safely retry, and otherwise failed.
func (req *request) giveUp(t *routing.RequestType) {
	req.state = rejected
	if req.mayHaveRun && (t.Idempotency == routing.NonIdempotent ||
		t.Idempotency == routing.IdempotencyKey && t.DedupScope != routing.ScopeAll) {
		req.state = failed
	}
}
