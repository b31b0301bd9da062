package router

import "time"

// Did this front itself stand still? Input: the ticks that it asked for (Woken, Reconcile). Invariant: what is found in the turn in which
// it resumes is held against no member and no client (STANDING, a front that is held up).

type stallDetector struct {
	nextTickAt time.Duration // when the next tick is due
	resumedAt  time.Duration // when this front last had a turn again after it stood still
}

// stalled tells whether this front itself stood still until now: its tick is long overdue. What it finds then
// has waited here for an unknown part of its time, and tells nothing of members or clients.
func (r *Router) stalled(now time.Duration) bool {
	if r.nextTickAt != never && now > r.nextTickAt+2*r.tickInterval {
		r.resumedAt = now
	}
	return r.resumedAt == now
}
