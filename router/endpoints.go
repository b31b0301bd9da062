package router

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// This file tracks which servers exist and which are draining. Input: the endpoint list. Invariant: a drain takes
// effect with the update that lists it; what servers report about themselves takes precedence over the list. Where only
// draining binds, a server that leaves the list otherwise stays in use as long as it works: such a list doesn't show what
// runs, and outlier_detection.go finds the servers that don't.

// endpointState is what the endpoint list says about a server.
type endpointState struct {
	listed      bool
	draining    bool          // nothing new is sent to the server; set for draining servers, and for unlisted ones unless onlyDrainingBinds
	partitioned bool          // the network to the server is cut
	listedAt    time.Duration // time of the latest update that lists the server or omits it
}

// endpointWatch is the state of the subscription to the endpoint list.
type endpointWatch struct {
	pullEndpoints     bool // the endpoint list answers only when asked
	onlyDrainingBinds bool // a server that leaves the list without having drained may still be sent attempts
	subscribePending  bool
	subscribeAt       time.Duration
	maxPollInterval   time.Duration
	roleListing       routing.RoleListing
}

func newEndpointWatch(topology routing.Topology, rules routing.DeploymentRules) endpointWatch {
	return endpointWatch{pullEndpoints: topology.PullEndpoints, onlyDrainingBinds: rules.OnlyDrainingBinds,
		subscribePending: topology.PullEndpoints, maxPollInterval: rules.MaxPollInterval, roleListing: topology.RoleListing}
}

// subscriptionDue reports whether a pending subscription to the endpoint list is due. It returns true once per
// subscription.
func (w *endpointWatch) subscriptionDue(now time.Duration) bool {
	due := w.subscribePending && now >= w.subscribeAt
	w.subscribePending = w.subscribePending && !due
	return due
}

// EndpointsChanged applies an update of the endpoint list. A Delta holds the entries that changed. Another update holds the
// whole list: servers that are missing from it are removed. A failed update may mean that the subscription broke,
// so the router subscribes again. It does so after a random pause, so that the instances of a fleet don't all subscribe at
// once.
func (r *Router) EndpointsChanged(now time.Duration, kind routing.UpdateKind, _ int64, entries []routing.Endpoint) {
	if kind == routing.UpdateFailed {
		r.subscribePending = r.pullEndpoints
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
		s := &r.servers[i]
		s.draining = s.draining || !s.listed && !r.onlyDrainingBinds
		if s.draining && s.group != none {
			r.groups[s.group].clearPrimary(i)
		}
	}
	r.checkPrimaryClock(now)
}

// updateEndpoint applies one entry of the endpoint list.
func (r *Router) updateEndpoint(now time.Duration, e *routing.Endpoint) {
	for len(r.servers) <= e.Server {
		r.servers = append(r.servers, unknownServer)
	}
	s := &r.servers[e.Server]
	g := r.group(e.Group)
	known := s.group != none
	if !known {
		s.group = e.Group
		g.servers = append(g.servers, e.Server)
	}
	s.listed, s.listedAt, s.zone = e.State != routing.Removed, now, e.Zone
	if keepsState := e.State == routing.Removed && known && r.onlyDrainingBinds; !keepsState {
		s.draining = e.State != routing.Serving
	}
	if partitioned := e.State == routing.Partitioned; partitioned != s.partitioned {
		s.partitioned, g.partitioned = partitioned, partitioned
		if !partitioned && g.restorePrimary(e.Server) {
			s.clearFailures()
		}
	}
	if e.HasStartTime {
		r.startTimesListed = true
		r.updateListedStart(now, s, e.StartedAt)
	}
	if e.Primary && r.roleListing != routing.RolesNotListed && !s.draining {
		g.observeListedPrimary(e.Server)
	}
}

// releaseIfGone releases the index of a server that has left the list. It waits until nothing is in flight at the
// server and the server has been gone for the duration of a slow start. A wrong list is corrected sooner than that. An
// unlisted server that may still be used must also have answered nothing for that duration.
func (r *Router) releaseIfGone(now time.Duration, i int) {
	s := &r.servers[i]
	if s.listed || s.group == none || now-s.listedAt <= r.slowStartDuration || s.inFlight > 0 || s.checkInFlight {
		return
	}
	if !s.draining && now-s.answeredAt <= r.slowStartDuration {
		return
	}
	g := r.group(s.group)
	g.servers = slices.DeleteFunc(g.servers, func(j int) bool { return j == i })
	g.removeServer(i)
	*s = unknownServer
	s.draining = true // until the index is assigned to another server
	r.host.ReleaseServer(i)
}
