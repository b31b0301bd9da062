package router

import "time"

// This file corrects times by the other processes' clock when that clock turns out to differ. Input: the difference
// (front/wallclock.go). Invariant: a correction never makes the position that a server has applied newer, nor the
// position that a read requires older, because a wall clock may be stepped.

// ClockCorrected corrects the values that are based on the other processes' clock: log positions and listed start
// times. The duration by, which may be negative, is added to them. Values measured by this instance's own clock stay. It
// is unknown whether this clock was wrong at the start or another clock was stepped since, so positions are corrected only
// in the direction that requires more. No position is in the future after the correction, so the next claim of a primary
// still counts.
func (r *Router) ClockCorrected(now, by time.Duration) {
	c := clockCorrection{now: now, by: by}
	for i := range r.servers {
		s := &r.servers[i]
		s.correctClock(c)
		s.claimedAt = c.appliedPosition(s.claimedAt)
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

// clockCorrection is the difference between the other processes' clock and the assumed one, and the time at which it
// was found.
type clockCorrection struct{ now, by time.Duration }

// appliedPosition corrects a position that a server has applied; it is never moved forward.
func (c clockCorrection) appliedPosition(pos time.Duration) time.Duration {
	return c.corrected(pos, min(c.by, 0))
}

// requiredPosition corrects a position that a read requires; it is never moved backward.
func (c clockCorrection) requiredPosition(pos time.Duration) time.Duration {
	return c.corrected(pos, max(c.by, 0))
}

// corrected returns a position moved by a duration, but at most now. An unknown position (never) stays unknown.
func (c clockCorrection) corrected(pos, by time.Duration) time.Duration {
	if pos == never {
		return never
	}
	return min(pos+by, c.now)
}

// correctClock corrects a server's position. Its lag has to be measured again.
func (p *replicationState) correctClock(c clockCorrection) {
	p.appliedPosition = c.appliedPosition(p.appliedPosition)
	p.lag, p.lagMeasuredAt = 0, never
}

// correctClock corrects the positions that are known of a group.
func (g *group) correctClock(c clockCorrection) {
	g.claimPosition = c.appliedPosition(g.claimPosition)
	g.termStart = c.requiredPosition(g.termStart)
	g.evictedTarget.pos = c.requiredPosition(g.evictedTarget.pos)
}
