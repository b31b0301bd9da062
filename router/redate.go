package router

import "time"

// What becomes of times by others' clocks when these turn out to stand elsewhere? Input: by how much (front/timeline.go). Invariant:
// what members have is never taken to be newer, what a read needs never to be older (TERMS, a wall clock may be stepped).

// ClockCorrected moves what is known by others' clocks, once it turns out where these stand: log positions, and starts that the list told.
// What was measured by this instance's own clock stays. Whether the clock of the start was wrong or another's was stepped since is
// not known, so positions move only to where they ask for more. No position lies in the future, so a primary's next claim still counts.
func (r *Router) ClockCorrected(now, by time.Duration) {
	s := shift{now: now, by: by}
	for i := range r.members {
		m := &r.members[i]
		m.redate(s)
		if m.startListed {
			r.correctStart(now, m, m.started+by)
		}
	}
	for i := range r.groups {
		r.groups[i].redate(s)
	}
	for i := range r.places {
		if r.places[i].key != 0 {
			r.places[i].pos = s.needed(r.places[i].pos)
		}
	}
	for i := range r.slab {
		r.slab[i].needs = s.needed(r.slab[i].needs)
	}
	r.reportAge = 0
}

// shift is by how much others' clocks stand elsewhere.
type shift struct{ now, by time.Duration }

// had is a position that a member has.
func (s shift) had(at time.Duration) time.Duration { return s.moved(at, min(s.by, 0)) }

// needed is a position that a read needs.
func (s shift) needed(at time.Duration) time.Duration { return s.moved(at, max(s.by, 0)) }

func (s shift) moved(at, by time.Duration) time.Duration {
	if at == never {
		return never
	}
	return min(at+by, s.now)
}

func (p *position) redate(s shift) {
	p.pos = s.had(p.pos)
	p.lag, p.lagAt = 0, never
}

func (g *group) redate(s shift) {
	g.claimPosition = s.had(g.claimPosition)
	g.termStart = s.needed(g.termStart)
	g.floor.pos = s.needed(g.floor.pos)
}
