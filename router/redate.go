package router

import "time"

// Redate moves what is known by others' clocks, once it turns out where these stand: log positions, and starts that the list told.
// What was measured by this instance's own clock stays. Whether the clock of the start was wrong or another's was stepped since is
// not known, so positions move only to where they ask for more: what members have is never taken to be newer, what a read needs never
// to be older. No position lies in the future, so a primary's next claim still counts.
func (r *Router) Redate(now, by time.Duration) {
	move := func(at *time.Duration, by time.Duration) {
		if *at != never {
			*at = min(*at+by, now)
		}
	}
	has := func(at *time.Duration) { move(at, min(by, 0)) }
	needs := func(at *time.Duration) { move(at, max(by, 0)) }
	for i := range r.members {
		m := &r.members[i]
		has(&m.pos)
		m.lag, m.lagAt = 0, never
		if m.startListed {
			r.restarted(now, m, m.started+by)
		}
	}
	for i := range r.groups {
		g := &r.groups[i]
		has(&g.claim)
		needs(&g.start)
		needs(&g.floor.pos)
	}
	for i := range r.places {
		if r.places[i].key != 0 {
			needs(&r.places[i].pos)
		}
	}
	for i := range r.slab {
		needs(&r.slab[i].needs)
	}
	r.reportAge = 0
}

// restarted corrects when a member started; its budget begins anew only where it was taken for a warm one.
func (r *Router) restarted(now time.Duration, m *member, at time.Duration) {
	if !m.cold && now-at < r.warmIn {
		r.starts(now, m, at)
		m.startListed = true
		return
	}
	m.started = at
}
