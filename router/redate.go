package router

import "time"

// Redate moves what is known by others' clocks, once it turns out where these stand: log positions, and starts that the list told.
// What was measured by this instance's own clock stays. No position lies in the future, so a primary's next claim still counts.
func (r *Router) Redate(now, by time.Duration) {
	position := func(at *time.Duration) {
		if *at != never {
			*at = min(*at+by, now)
		}
	}
	for i := range r.members {
		m := &r.members[i]
		position(&m.pos)
		m.lag, m.lagAt = 0, never
		if m.startListed {
			r.restarted(now, m, m.started+by)
		}
	}
	for i := range r.groups {
		g := &r.groups[i]
		position(&g.claim)
		position(&g.start)
		position(&g.floor.pos)
	}
	for i := range r.places {
		if r.places[i].key != 0 {
			position(&r.places[i].pos)
		}
	}
	for i := range r.slab {
		position(&r.slab[i].needs)
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
