package router

import "time"

// This file detects that this instance itself was stalled, for example because its process was paused. Input: the ticks
// that the instance requested (TimerFired, Reconcile). Invariant: what is found in the batch in which the instance
// resumes counts against no server and no client.

// stallDetector records when this instance was stalled.
type stallDetector struct {
	nextTickAt time.Duration // time at which the next tick is due
	resumedAt  time.Duration // time at which this instance last resumed after a stall
	// stallDuration is the duration of that stall. A request found when the instance resumed has waited at most this
	// long.
	stallDuration time.Duration
}

// stalled reports whether this instance was stalled until now, which it infers from a long overdue tick, and records
// the stall. Events found in this batch have waited here for an unknown time and say nothing about servers or clients.
func (r *Router) stalled(now time.Duration) bool {
	if r.nextTickAt != never && now > r.nextTickAt+2*r.tickInterval {
		r.resumedAt, r.stallDuration = now, now-r.nextTickAt+r.tickInterval
	}
	return r.resumedAt == now
}
