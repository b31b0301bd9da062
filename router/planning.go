package router

import (
	"time"

	"dapplerouter/routing"
)

// This file decides which server a request is sent to now. Inputs: the request, its group, and the decisions of the
// other files. Invariant: a request with an attempt in flight is left alone; a request that is given up gets its final
// answer in the same batch.

// plan sets the server that a request should be sent to, gives the request up, or leaves it queued.
func (r *Router) plan(now time.Duration, req *request) {
	if req.state != pending || req.sentTo != none {
		return
	}
	t := &r.requestTypes[req.Type]
	if r.shouldGiveUp(now, req, t) {
		req.giveUp(t)
		return
	}
	g := r.group(req.Group)
	to := r.destination(now, req, t, g)
	if r.probablyTooLate(now, req, to) {
		req.giveUp(t)
		return
	}
	if to == none {
		// A primary behind a network partition keeps its role, so no reachable server becomes primary and waiting is
		// useless.
		if g.partitioned && g.primary == none && (t.Consistency >= routing.Strong || req.misrouted || len(g.servers) == 1) {
			req.giveUp(t)
		}
		g.healthCheckWanted = g.healthCheckWanted || g.primary == none
		return
	}
	if req.attempts > 0 && (!req.misrouted || to != g.primary) && !r.takeFromRetryBudget() {
		req.giveUp(t)
		return
	}
	req.planned = to
}

// destination returns the index in Router.servers of the server that a request should be sent to now, or none if the
// request must wait.
func (r *Router) destination(now time.Duration, req *request, t *routing.RequestType, g *group) int {
	// Without health checks, the answer to a misrouted write is the only way to find the primary.
	discoverByWrite := t.Consistency == routing.Write && g.primary == none && !r.healthChecksAllowed
	if discoverByWrite || t.Consistency != routing.Write && t.Consistency != routing.Strong {
		return r.selectServer(now, req)
	}
	if g.primary == none {
		return none
	}
	primary := &r.servers[g.primary]
	if t.Consistency == routing.Strong && !r.servesUnchecked(req, primary) {
		g.healthCheckWanted = true
		return none
	}
	if r.admits(now, primary, req) {
		return g.primary
	}
	return none
}
