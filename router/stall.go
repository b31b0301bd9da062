package router

import "time"

// Was this instance itself stalled, as by a paused process? Input: the ticks that it asked for (TimerFired, Reconcile). Invariant:
// what is found in the batch in which it resumes counts against no server and no client (STANDING, a front that is held up).

// stallDetector knows when this instance was stalled.
type stallDetector struct {
	nextTickAt time.Duration // when the next tick is due
	resumedAt  time.Duration // when this instance last resumed after a stall
	// stallDuration is how long that stall was: what was found then has waited no longer.
	stallDuration time.Duration
}

// stalled reports whether this instance was stalled until now: its tick is long overdue. What it finds in this batch has
// waited here for an unknown time, and says nothing about servers or clients.
func (r *Router) stalled(now time.Duration) bool {
	if r.nextTickAt != never && now > r.nextTickAt+2*r.tickInterval {
		r.resumedAt, r.stallDuration = now, now-r.nextTickAt+r.tickInterval
	}
	return r.resumedAt == now
}
