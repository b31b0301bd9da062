package proxysim

import (
	"time"

	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/front"
	"dapplerouter/routing"
)

const (
	heartbeatInterval = 2 * time.Second // of the endpoint list's leaseholder to the fleet
	fleetSilence      = 6 * time.Second // after which a front opens a watch of its own
)

// endpointSource is where a front has its endpoint list from: a watch or polls of its own, or the fleet's broadcasts. It implements
// front.EndpointSource.
type endpointSource struct {
	front          *Front
	pushed         bool // the endpoint service sends watch events unasked
	watchRequested bool // by the Core
	watchOpen      bool // a watch of the front's own
	usesFleet      bool // the fleet's broadcasts are followed
	holdsLease     bool // of the endpoint list
	lastUpdate     time.Duration
}

// postEndpoints gives the Core an endpoint list.
func (f *Front) postEndpoints(kind routing.UpdateKind, l discovery.List) {
	f.observe(front.EndpointsChanged{Kind: kind, List: l})
}

func (f *Front) postSnapshot(l discovery.List) { f.postEndpoints(routing.Snapshot, l) }

// checkFleetUpdates returns to a watch of the front's own when the fleet has been silent.
func (f *Front) checkFleetUpdates(now time.Duration) {
	if f.endpoints.usesFleet && now-f.endpoints.lastUpdate > fleetSilence {
		f.endpoints.usesFleet = false
		f.endpoints.openWatch()
	}
	f.host.After(f.cluster.Timing.LeaseDuration/6, f.checkFleetUpdates)
}

func (s *endpointSource) service() *EndpointService { return &s.front.cluster.EndpointService }

func (s *endpointSource) openWatch() {
	if s.watchOpen || s.usesFleet || !s.pushed && !s.watchRequested {
		return
	}
	s.watchOpen = true
	s.service().OpenWatches++
	s.fetch(s.front.postSnapshot)
}

func (s *endpointSource) closeWatch() {
	if s.watchOpen {
		s.watchOpen = false
		s.service().OpenWatches--
	}
}

// fetch asks the endpoint service for the complete list.
func (s *endpointSource) fetch(then func(discovery.List)) {
	f, c := s.front, s.front.cluster
	s.service().Calls++
	if s.service().Unavailable {
		f.host.After(c.networkDelay(), func(time.Duration) { f.postEndpoints(routing.UpdateFailed, discovery.List{}) })
		return
	}
	f.host.After(2*c.networkDelay(), func(time.Duration) { then(c.endpointList()) })
}

// postFleetList gives the Core the fleet's list as it is when the call is due.
func (s *endpointSource) postFleetList() {
	f := s.front
	f.host.After(0, func(time.Duration) { f.postSnapshot(f.endpointList.List()) })
}

// Watch implements front.EndpointSource.
func (s *endpointSource) Watch(on bool) {
	s.watchRequested = on
	switch {
	case on && s.usesFleet:
		s.postFleetList()
	case on:
		s.openWatch()
	case !s.pushed:
		s.closeWatch()
	}
}

// Fetch implements front.EndpointSource.
func (s *endpointSource) Fetch() {
	if s.usesFleet {
		s.postFleetList()
		return
	}
	s.fetch(s.front.postSnapshot)
}

// watchForFleet is the work of the endpoint list's leaseholder: a watch for all, and heartbeats while it lives.
func (s *endpointSource) watchForFleet() {
	f := s.front
	s.service().OpenWatches++
	s.fetch(func(l discovery.List) {
		f.host.Do(func(n *fleet.Node, now time.Duration) {
			if update, err := f.endpointList.EncodeUpdate(l, 0); err == nil {
				n.ReportProgress(fleet.EndpointListLease)
				n.Broadcast(now, fleet.EndpointListLease, update)
			}
		})
	})
	var heartbeat func(time.Duration)
	heartbeat = func(time.Duration) {
		if !s.holdsLease {
			return
		}
		f.host.Do(func(n *fleet.Node, now time.Duration) {
			if f.endpointList.Known() && !s.service().Unavailable {
				n.ReportProgress(fleet.EndpointListLease)
				n.Broadcast(now, fleet.EndpointListLease, f.endpointList.EncodeHeartbeat())
			}
		})
		f.host.After(heartbeatInterval, heartbeat)
	}
	f.host.After(heartbeatInterval, heartbeat)
}

// onFleetUpdate takes a broadcast of the endpoint list's leaseholder; the first one replaces the front's own watch.
func (s *endpointSource) onFleetUpdate(data []byte) {
	f := s.front
	if s.usesFleet {
		if _, changed := fleet.DecodeEndpointUpdate(data); changed {
			f.postSnapshot(f.endpointList.List())
		}
		return
	}
	s.usesFleet = true
	s.closeWatch()
	if s.pushed || s.watchRequested {
		f.postSnapshot(f.endpointList.List())
	}
}
