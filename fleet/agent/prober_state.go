package agent

import (
	"dapplerouter/discovery"
	"dapplerouter/fleet"
)

// serverTable are the servers that the core knows, as the endpoint list names them.
type serverTable struct {
	addresses []string // by the core's index of servers
	byAddress map[string]probedServer
	groups    map[int64]bool // whose probe lease is declared
}

// probedServer is a server as the endpoint list names it.
type probedServer struct {
	name  string
	group int64
}

// add adds the servers of an endpoint list, and returns the groups that are new.
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

// probeLeases are the probe leases and their holders, by the fleet's events so far.
type probeLeases struct {
	own      map[string]bool   // that this front holds
	holders  map[string]string // other fronts, by lease
	isolated bool              // what others hold is not known
}

// onEvent follows the fleet's events; self is this front's name.
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
