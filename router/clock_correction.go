package router

import "time"

// What becomes of times by others' clocks when these turn out to stand elsewhere? Input: by how much (front/timeline.go). Invariant:
// what members have is never taken to be newer, what a read needs never to be older (TERMS, a wall clock may be stepped).

// ClockCorrected moves what is known by others' clocks, once it turns out where these stand: log positions, and starts that the list told.
// What was measured by this instance's own clock stays. Whether the clock of the start was wrong or another's was stepped since is
// not known, so positions move only to where they ask for more. No position lies in the future, so a primary's next claim still counts.
func (r *Router) ClockCorrected(now, by time.Duration) {
	s := clockCorrection{now: now, by: by}
	for i := range r.servers {
		m := &r.servers[i]
		m.correctClock(s)
		if m.startTimeListed {
			r.correctStartTime(now, m, m.startedAt+by)
		}
	}
	for i := range r.groups {
		r.groups[i].correctClock(s)
	}
	for i := range r.entries {
		if r.entries[i].key != 0 {
			r.entries[i].pos = s.requiredPosition(r.entries[i].pos)
		}
	}
	for i := range r.slots {
		r.slots[i].requiredPosition = s.requiredPosition(r.slots[i].requiredPosition)
	}
	r.reportAge = 0
}

// clockCorrection is by how much others' clocks stand elsewhere.
type clockCorrection struct{ now, by time.Duration }

// appliedPosition is a position that a member has.
func (s clockCorrection) appliedPosition(at time.Duration) time.Duration {
	return s.corrected(at, min(s.by, 0))
}

// requiredPosition is a position that a read needs.
func (s clockCorrection) requiredPosition(at time.Duration) time.Duration {
	return s.corrected(at, max(s.by, 0))
}

func (s clockCorrection) corrected(at, by time.Duration) time.Duration {
	if at == never {
		return never
	}
	return min(at+by, s.now)
}

func (p *position) correctClock(s clockCorrection) {
	p.applied = s.appliedPosition(p.applied)
	p.lag, p.lagMeasuredAt = 0, never
}

func (g *group) correctClock(s clockCorrection) {
	g.claimPosition = s.appliedPosition(g.claimPosition)
	g.termStart = s.requiredPosition(g.termStart)
	g.forgottenTarget.pos = s.requiredPosition(g.forgottenTarget.pos)
}
