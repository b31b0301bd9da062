package router

import (
	"time"

	"dapplerouter/routing"
)

// Which server should a request be sent to now? Inputs: the request, its group, the answers of the other files. Invariant: a request
// with an attempt in flight is left alone; one that is given up ends in the same batch (TERMS, a final answer at once).

// plan sets where a request should be sent: nowhere, if it stays queued or ends here.
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
		// A primary behind a network partition keeps its role, so no new one is elected that could be reached: waiting is of no use.
		if g.partitioned && g.primary == none && (t.Consistency >= routing.Strong || req.misrouted || len(g.servers) == 1) {
			req.giveUp(t)
		}
		g.healthCheckWanted = g.healthCheckWanted || g.primary == none
		return
	}
	if req.attempts > 0 && (!req.misrouted || to != g.primary) && !r.takeRetry() {
		req.giveUp(t)
		return
	}
	req.planned = to
}

// destination is the server that a request should be sent to now, none if it must wait.
func (r *Router) destination(now time.Duration, req *request, t *routing.RequestType, g *group) int {
	// Without health checks, a write that is misrouted is the only way to find the primary.
	blind := t.Consistency == routing.Write && g.primary == none && !r.healthChecksAllowed
	if blind || t.Consistency != routing.Write && t.Consistency != routing.Strong {
		return r.selectServer(now, req, t)
	}
	if g.primary != none && r.admits(now, &r.servers[g.primary], req) {
		return g.primary
	}
	return none
}
