package router

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// Who is there, and who drains? Inputs: the endpoint list. Invariant: a drain binds as soon as the list speaks, its grace is for what is
// on its way (rule: drains kept); facts from answers beat the list.

// endpointState is what the list says of a member.
type endpointState struct {
	listed      bool
	draining    bool          // by the drain rule, nothing new goes there
	partitioned bool          // the way there is cut
	listedAt    time.Duration // when the list last spoke of it
}

// endpointWatch is how the list is followed.
type endpointWatch struct {
	pull             bool // it answers only when asked
	subscribePending bool
	subscribeAt      time.Duration
	maxPollInterval  time.Duration
	roleListing      routing.RoleListing
}

func newEndpointWatch(at routing.Topology, rules routing.Guardrails) endpointWatch {
	return endpointWatch{pull: at.PullEndpoints, subscribePending: at.PullEndpoints, maxPollInterval: rules.MaxPollInterval, roleListing: at.RoleListing}
}

// subscriptionDue tells, once, that the list is to be asked for.
func (l *endpointWatch) subscriptionDue(now time.Duration) bool {
	due := l.subscribePending && now >= l.subscribeAt
	l.subscribePending = l.subscribePending && !due
	return due
}

// EndpointsChanged takes what the list says; facts from answers beat it. After a failure, which may mean that the
// subscription broke, it is asked for anew, spread out.
func (r *Router) EndpointsChanged(now time.Duration, kind routing.UpdateKind, _ int64, entries []routing.Endpoint) {
	if kind == routing.UpdateFailed {
		r.subscribePending = r.pull
		r.subscribeAt = now + time.Duration(float64(r.maxPollInterval)*(1+4*r.randomFloat())/50)
		return
	}
	if kind != routing.Delta {
		for i := range r.servers {
			r.servers[i].listed, r.servers[i].listedAt = false, now
		}
	}
	for _, e := range entries {
		r.updateEndpoint(now, &e)
	}
	for i := range r.servers {
		m := &r.servers[i]
		m.draining = m.draining || !m.listed
		if m.draining && m.group != none {
			r.groups[m.group].clearPrimary(i)
		}
	}
	r.checkPrimaryClock(now)
}

// updateEndpoint takes one entry.
func (r *Router) updateEndpoint(now time.Duration, e *routing.Endpoint) {
	for len(r.servers) <= e.Server {
		r.servers = append(r.servers, unknownServer)
	}
	m := &r.servers[e.Server]
	g := r.group(e.Group)
	if m.group == none {
		m.group = e.Group
		g.servers = append(g.servers, e.Server)
	}
	m.listed, m.listedAt, m.zone = e.State != routing.Removed, now, e.Zone
	m.draining = e.State != routing.Serving
	if away := e.State == routing.Partitioned; away != m.partitioned {
		m.partitioned, g.partitioned = away, away
		if !away && g.restorePrimary(e.Server) {
			m.clearFailures()
		}
	}
	if e.HasStartTime {
		r.startTimesListed = true
		r.updateListedStart(now, m, e.StartedAt)
	}
	if e.Primary && r.roleListing != routing.RolesNotListed && !m.draining {
		g.observeListedPrimary(e.Server)
	}
}

// releaseIfGone gives back the place of a member that has left the list, once nothing is out there and it has been
// away for as long as a start counts: a list that errs is mended sooner.
func (r *Router) releaseIfGone(now time.Duration, i int) {
	m := &r.servers[i]
	if m.listed || m.group == none || now-m.listedAt <= r.slowStartDuration || m.inFlight > 0 || m.checkInFlight {
		return
	}
	g := r.group(m.group)
	g.servers = slices.DeleteFunc(g.servers, func(j int) bool { return j == i })
	g.removeServer(i)
	*m = unknownServer
	m.draining = true // until it is a member's again
	r.host.ReleaseServer(i)
}
