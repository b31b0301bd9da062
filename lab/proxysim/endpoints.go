package proxysim

import (
	"time"

	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/front"
	"dapplerouter/routing"
)

const (
	heartbeatInterval  = 2 * time.Second // interval of the heartbeats that the endpoint list's leaseholder broadcasts
	fleetUpdateTimeout = 6 * time.Second // without broadcasts for this time, a front opens its own watch
)

// endpointSource gets a front's endpoint list from the front's own watch, from its own polls, or from the fleet's broadcasts. It
// implements front.EndpointSource.
type endpointSource struct {
	front          *Front
	pushed         bool          // a watch is kept open without a request by the Core
	watchRequested bool          // the Core has requested a watch
	watchOpen      bool          // the front's own watch is open
	followsFleet   bool          // the list comes from the fleet's broadcasts
	holdsLease     bool          // the front holds the lease of the endpoint list
	lastUpdate     time.Duration // when the last broadcast was received, by the host's clock
}

// postEndpoints passes an update of the endpoint list to the Core, in a fleet by way of the prober.
func (f *Front) postEndpoints(kind routing.UpdateKind, l discovery.List) {
	f.observe(front.EndpointsChanged{Kind: kind, List: l})
}

// postSnapshot passes a complete endpoint list to the Core.
func (f *Front) postSnapshot(l discovery.List) { f.postEndpoints(routing.Snapshot, l) }

// detectSilentFleet makes the front return to its own watch if the fleet has sent no broadcast of the endpoint list for
// fleetUpdateTimeout. It schedules itself again.
func (f *Front) detectSilentFleet(now time.Duration) {
	if f.endpoints.followsFleet && now-f.endpoints.lastUpdate > fleetUpdateTimeout {
		f.endpoints.followsFleet = false
		f.endpoints.openWatch()
	}
	f.host.After(f.cluster.Timing.LeaseDuration/6, f.detectSilentFleet)
}

// service returns the cluster's endpoint service.
func (s *endpointSource) service() *EndpointService { return &s.front.cluster.EndpointService }

// openWatch opens the front's own watch and fetches the list, unless the watch is open, the list comes from the fleet, or no watch is
// wanted.
func (s *endpointSource) openWatch() {
	if s.watchOpen || s.followsFleet || !s.pushed && !s.watchRequested {
		return
	}
	s.watchOpen = true
	s.service().OpenWatches++
	s.fetch(s.front.postSnapshot)
}

// closeWatch closes the front's own watch if it is open.
func (s *endpointSource) closeWatch() {
	if s.watchOpen {
		s.watchOpen = false
		s.service().OpenWatches--
	}
}

// fetch gets the complete list from the endpoint service and passes it to then. While the service is unavailable, it passes a failed
// update to the Core instead.
func (s *endpointSource) fetch(then func(discovery.List)) {
	f, c := s.front, s.front.cluster
	s.service().Calls++
	if s.service().Unavailable {
		f.host.After(c.networkDelay(), func(time.Duration) { f.postEndpoints(routing.UpdateFailed, discovery.List{}) })
		return
	}
	f.host.After(2*c.networkDelay(), func(time.Duration) { then(c.endpointList()) })
}

// postFleetList schedules a call that passes the fleet's list, as it is at that moment, to the Core.
func (s *endpointSource) postFleetList() {
	f := s.front
	f.host.After(0, func(time.Duration) { f.postSnapshot(f.endpointList.List()) })
}

// Watch implements front.EndpointSource.
func (s *endpointSource) Watch(on bool) {
	s.watchRequested = on
	switch {
	case on && s.followsFleet:
		s.postFleetList()
	case on:
		s.openWatch()
	case !s.pushed:
		s.closeWatch()
	}
}

// Fetch implements front.EndpointSource.
func (s *endpointSource) Fetch() {
	if s.followsFleet {
		s.postFleetList()
		return
	}
	s.fetch(s.front.postSnapshot)
}

// watchForFleet does the work of the endpoint list's leaseholder. It opens a watch for the whole fleet, broadcasts the list and then
// broadcasts heartbeats until the lease ends.
func (s *endpointSource) watchForFleet() {
	f := s.front
	s.service().OpenWatches++
	s.fetch(func(l discovery.List) {
		f.host.WithNode(func(n *fleet.Node, now time.Duration) {
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
		f.host.WithNode(func(n *fleet.Node, now time.Duration) {
			if f.endpointList.HasList() && !s.service().Unavailable {
				n.ReportProgress(fleet.EndpointListLease)
				n.Broadcast(now, fleet.EndpointListLease, f.endpointList.EncodeHeartbeat())
			}
		})
		f.host.After(heartbeatInterval, heartbeat)
	}
	f.host.After(heartbeatInterval, heartbeat)
}

// onFleetUpdate handles a broadcast of the endpoint list's leaseholder. The first one makes the front close its own watch and follow
// the fleet.
func (s *endpointSource) onFleetUpdate(data []byte) {
	f := s.front
	if s.followsFleet {
		if _, changed := fleet.DecodeEndpointUpdate(data); changed {
			f.postSnapshot(f.endpointList.List())
		}
		return
	}
	s.followsFleet = true
	s.closeWatch()
	if s.pushed || s.watchRequested {
		f.postSnapshot(f.endpointList.List())
	}
}
