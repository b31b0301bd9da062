package agent

import (
	"dapplerouter/discovery"
	"dapplerouter/fleet"
)

// serverTable holds the servers of the endpoint list, by their address, and the addresses by which the core knows them.
type serverTable struct {
	addresses []string // address by the core's index of the server
	byAddress map[string]probedServer
	groups    map[int64]bool // groups whose probe lease is declared
}

// probedServer is the name and the group of a server in the endpoint list.
type probedServer struct {
	name  string
	group int64
}

// add adds the servers of an endpoint list, and returns the groups that were not known before.
func (t *serverTable) add(l discovery.List) (newGroups []int64) {
	for _, e := range l.Endpoints {
		if e.Address == "" {
			continue
		}
		t.byAddress[e.Address] = probedServer{e.Name, e.Group}
		if !t.groups[e.Group] {
			t.groups[e.Group] = true
			newGroups = append(newGroups, e.Group)
		}
	}
	return newGroups
}

// probeLeases tracks which front holds each probe lease, according to the fleet's events so far.
type probeLeases struct {
	own      map[string]bool   // leases that this front holds
	holders  map[string]string // leaseholders other than this front, by lease
	isolated bool              // this front is isolated: holders may be out of date
}

// onEvent updates the leases from an event of the fleet; self is the name of this front.
func (l *probeLeases) onEvent(e fleet.Event, self string) {
	switch e := e.(type) {
	case fleet.LeaseAcquired:
		l.own[e.Lease] = true
	case fleet.LeaseEnded:
		delete(l.own, e.Lease)
	case fleet.LeaseGranted:
		if l.holders[e.Lease] = e.Leaseholder; e.Leaseholder == "" || e.Leaseholder == self {
			delete(l.holders, e.Lease)
		}
	case fleet.FleetLost, fleet.FrontDisplaced:
		l.isolated = true
	case fleet.FleetReached:
		l.isolated = false
	}
}
