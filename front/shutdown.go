package front

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// Shutdown is the event that finishes all requests, because their clients' connections are about to be closed. No request is accepted
// afterwards.
type Shutdown struct{}

// apply responds to all unfinished requests, ends their attempts, and makes the core reject all later requests.
func (Shutdown) apply(c *Core, now time.Duration) {
	c.requests.shutdown = true
	c.finishAll(now, func(*configVersion) bool { return true })
}

// finishAll responds at once to every unfinished request under the selected versions and ends its attempts. A request that may have run
// and is not idempotent fails; the others are rejected.
func (c *Core) finishAll(now time.Duration, selected func(*configVersion) bool) {
	c.requests.table.Each(func(ref routing.RequestRef, e *RequestEntry[*Request]) {
		r := e.Value
		if e.Finished || !selected(r.version) {
			return
		}
		attempts := slices.Clone(r.inFlight)
		results := r.cancelAttempts(attempts)
		response := Response{Status: StatusRejected, RetryAfter: c.catalog.limits.MaxRetryAfter, MayHaveRun: r.mayHaveRun}
		if r.mayHaveRun && c.catalog.types[r.typeIndex].Idempotency != routing.Idempotent {
			response = Response{Status: StatusFailed}
		}
		c.respond(e, response)
		if len(attempts) == 0 {
			c.router.ClientGone(now, ref)
			c.requests.table.Release(ref)
		}
		for i, a := range attempts {
			if results[i] != alreadyFinished {
				c.finishWithoutResponse(a, results[i])
			}
		}
	})
}

// alreadyFinished is the result that cancelAttempts returns for an attempt that had finished before.
const alreadyFinished = routing.Succeeded

// cancelAttempts cancels attempts of a request and returns their results, by the index in attempts: Cancelled if something may have been
// sent, NotSent if nothing was, and alreadyFinished. For Cancelled it also records that the request may have run.
func (r *Request) cancelAttempts(attempts []*Attempt) []routing.AttemptResult {
	results := make([]routing.AttemptResult, len(attempts))
	for i, a := range attempts {
		switch {
		case a.finished:
			results[i] = alreadyFinished
		case a.cancel():
			results[i], r.mayHaveRun = routing.Cancelled, true
		default:
			results[i] = routing.NotSent
		}
	}
	return results
}
