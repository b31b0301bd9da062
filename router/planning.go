package router

import (
	"time"

	"dapplerouter/routing"
)

// What should be out for a request now? Inputs: the request, its group, the answers of the other files. Invariant: a request that has
// something out is left alone; one that is given up ends in the same batch (TERMS, a final answer at once).

// plan decides what should be out for a request: nothing, if it is held or ends here.
func (r *Router) plan(now time.Duration, t *request) {
	if t.state != pending || t.sentTo != none {
		return
	}
	ty := &r.types[t.Type]
	if r.shouldGiveUp(now, t, ty) {
		t.giveUp(ty)
		return
	}
	g := r.group(t.Group)
	to := r.destination(now, t, ty, g)
	if to == none {
		// A primary behind a cut way is there still, and no new one can come up here: waiting brings nothing.
		if g.partitioned && g.primary == none && (ty.Consistency >= routing.Strong || t.misrouted || len(g.servers) == 1) {
			t.giveUp(ty)
		}
		g.healthCheckWanted = g.healthCheckWanted || g.primary == none
		return
	}
	if t.attempts > 0 && !(t.misrouted && to == g.primary) && !r.takeRetry() {
		t.giveUp(ty)
		return
	}
	t.planned = to
}

// destination is the member that a request should go to now, none for none.
func (r *Router) destination(now time.Duration, t *request, ty *routing.RequestType, g *group) int {
	blind := ty.Consistency == routing.Write && g.primary == none && !r.healthChecksAllowed // a miss is the only way to ask
	if blind || ty.Consistency != routing.Write && ty.Consistency != routing.Strong {
		return r.selectServer(now, t, ty)
	}
	if g.primary != none && r.admits(now, &r.servers[g.primary], t) {
		return g.primary
	}
	return none
}
