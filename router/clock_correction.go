package router

import "time"

// What becomes of times by the other processes' clock when that turns out to differ? Input: by how much (front/wallclock.go). Invariant:
// what servers have applied is never taken to be newer, what a read requires never to be older (TERMS, a wall clock may be stepped).

// ClockCorrected corrects what is known by the other processes' clock: log positions and listed start times. What was
// measured by this instance's own clock stays. It is not known whether the clock was wrong at the start or another's was
// stepped since, so positions are corrected only in the direction in which more is required. No position is in the future,
// so a primary's next claim still counts.
func (r *Router) ClockCorrected(now, by time.Duration) {
	c := clockCorrection{now: now, by: by}
	for i := range r.servers {
		s := &r.servers[i]
		s.correctClock(c)
		if s.startTimeListed {
			r.correctStartTime(now, s, s.startedAt+by)
		}
	}
	for i := range r.groups {
		r.groups[i].correctClock(c)
	}
	for i := range r.targets {
		if r.targets[i].key != 0 {
			r.targets[i].pos = c.requiredPosition(r.targets[i].pos)
		}
	}
	for i := range r.slots {
		r.slots[i].requiredPosition = c.requiredPosition(r.slots[i].requiredPosition)
	}
	r.reportAge = 0
}

// clockCorrection is by how much the other processes' clock differs from what was assumed.
type clockCorrection struct{ now, by time.Duration }

// appliedPosition corrects a position that a server has applied.
func (c clockCorrection) appliedPosition(pos time.Duration) time.Duration {
	return c.corrected(pos, min(c.by, 0))
}

// requiredPosition corrects a position that a read requires.
func (c clockCorrection) requiredPosition(pos time.Duration) time.Duration {
	return c.corrected(pos, max(c.by, 0))
}

func (c clockCorrection) corrected(pos, by time.Duration) time.Duration {
	if pos == never {
		return never
	}
	return min(pos+by, c.now)
}

func (p *position) correctClock(c clockCorrection) {
	p.appliedPosition = c.appliedPosition(p.appliedPosition)
	p.lag, p.lagMeasuredAt = 0, never
}

func (g *group) correctClock(c clockCorrection) {
	g.claimPosition = c.appliedPosition(g.claimPosition)
	g.termStart = c.requiredPosition(g.termStart)
	g.forgottenTarget.pos = c.requiredPosition(g.forgottenTarget.pos)
}
