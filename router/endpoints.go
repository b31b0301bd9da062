package router

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// Who is there, and who drains? Inputs: the endpoint list. Invariant: a drain binds as soon as the list speaks, its grace is for what is
// on its way (rule: drains kept); facts from answers beat the list.

// endpoint is what the list says of a member.
type endpoint struct {
	listed   bool
	draining bool          // by the drain rule, nothing new goes there
	away     bool          // the way there is cut
	listedAt time.Duration // when the list last spoke of it
}

// endpointList is how the list is followed.
type endpointList struct {
	asks        bool // it answers only when asked
	subscribing bool
	subscribeAt time.Duration
	askWithin   time.Duration
	roles       routing.RoleListing
}

func newEndpointList(at routing.Topology, rules routing.Guardrails) endpointList {
	return endpointList{asks: at.PullEndpoints, subscribing: at.PullEndpoints, askWithin: rules.MaxPollInterval, roles: at.RoleListing}
}

// subscriptionDue tells, once, that the list is to be asked for.
func (l *endpointList) subscriptionDue(now time.Duration) bool {
	due := l.subscribing && now >= l.subscribeAt
	l.subscribing = l.subscribing && !due
	return due
}

// EndpointsChanged takes what the list says; facts from answers beat it. After a failure, which may mean that the
// subscription broke, it is asked for anew, spread out.
func (r *Router) EndpointsChanged(now time.Duration, kind routing.UpdateKind, _ int64, entries []routing.Endpoint) {
	if kind == routing.UpdateFailed {
		r.subscribing = r.asks
		r.subscribeAt = now + time.Duration(float64(r.askWithin)*(1+4*r.draw())/50)
		return
	}
	if kind != routing.Delta {
		for i := range r.members {
			r.members[i].listed, r.members[i].listedAt = false, now
		}
	}
	for _, e := range entries {
		r.listEntry(now, &e)
	}
	for i := range r.members {
		m := &r.members[i]
		m.draining = m.draining || !m.listed
		if m.draining && m.group != none {
			r.groups[m.group].doubt(i)
		}
	}
	r.askForPresent(now)
}

// listEntry takes one entry.
func (r *Router) listEntry(now time.Duration, e *routing.Endpoint) {
	for len(r.members) <= e.Server {
		r.members = append(r.members, unknownMember)
	}
	m := &r.members[e.Server]
	g := r.group(e.Group)
	if m.group == none {
		m.group = e.Group
		g.members = append(g.members, e.Server)
	}
	m.listed, m.listedAt, m.zone = e.State != routing.Removed, now, e.Zone
	m.draining = e.State != routing.Serving
	if away := e.State == routing.Partitioned; away != m.away {
		m.away, g.away = away, away
		if !away && g.restore(e.Server) {
			m.recovered()
		}
	}
	if e.HasStartTime {
		r.startsTold = true
		r.listStart(now, m, e.StartedAt)
	}
	if e.Primary && r.roles != routing.RolesNotListed && !m.draining {
		g.listed(e.Server)
	}
}

// forget gives back the place of a member that has left the list, once nothing is out there and it has been
// away for as long as a start counts: a list that errs is mended sooner.
func (r *Router) forget(now time.Duration, i int) {
	m := &r.members[i]
	if m.listed || m.group == none || now-m.listedAt <= r.warmUp || m.out > 0 || m.probeOut {
		return
	}
	g := r.group(m.group)
	g.members = slices.DeleteFunc(g.members, func(j int) bool { return j == i })
	g.forget(i)
	*m = unknownMember
	m.draining = true // until it is a member's again
	r.host.ReleaseServer(i)
}
