package capacity

import (
	"fmt"
	"sync"

	"dapplerouter/adminapi"
	"dapplerouter/fleet"
	"dapplerouter/fleet/agent"
	"dapplerouter/fleet/rollout"
)

// roles says which real front has which at a moment, by ordinal; the witness has none.
type roles struct {
	leader, endpoints, rollouts string
}

// roleOrder is that of the table.
var roleOrder = []string{RoleLeader, RoleVoter, RoleEndpointsLeaseholder, RoleRolloutsLeaseholder, RoleRealFollower, RoleSimulatedFollower, RoleDiscovery, RoleDatabases}

// pollRoles finds who leads and who holds the two leases.
func (b *testbed) pollRoles() (r roles, err error) {
	s, err := b.status(endpointsOrdinal)
	if err != nil {
		return r, err
	}
	return roles{leader: s.Leader, endpoints: holder(s, fleet.EndpointListLease), rollouts: holder(s, rollout.Lease)}, nil
}

// of gives a real front's role.
func (r roles) of(i int) string {
	switch name := frontName(i); {
	case i == historyOrdinal:
		return noRole
	case i < voterCount && name == r.leader:
		return RoleLeader
	case i < voterCount:
		return RoleVoter
	case name == r.endpoints:
		return RoleEndpointsLeaseholder
	case name == r.rollouts:
		return RoleRolloutsLeaseholder
	}
	return RoleRealFollower
}

// sample is one process's counters.
type sample struct {
	process string
	real    int // ordinal, -1 for another
	role    string
	Counters
}

// sample reads all counters at about one moment; each has its own time.
func (b *testbed) sample() ([]sample, error) {
	var all []sample
	var mu sync.Mutex
	add := func(s sample) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, s)
	}
	err := forEach(b.processes(), func(_ int, p *process) error {
		s, err := b.sampleOf(p)
		if err != nil {
			if death := p.exitedError(); death != nil {
				return death
			}
			return fmt.Errorf("%s: %w", p.name, err)
		}
		add(s)
		return nil
	})
	return all, err
}

func (b *testbed) sampleOf(p *process) (s sample, err error) {
	s = sample{process: p.name, real: -1}
	switch p {
	case b.discovery:
		s.role = RoleDiscovery
	case b.databases:
		s.role = RoleDatabases
	default:
		for i, r := range b.real {
			if r == p {
				s.real = i
				s.Counters, err = b.realCounters(i, p)
				return s, err
			}
		}
		s.role = RoleSimulatedFollower
	}
	r, err := p.call(Request{Operation: opCounters})
	s.Counters = r.Counters
	return s, err
}

// realCounters asks a process of the program.
func (b *testbed) realCounters(i int, p *process) (c Counters, err error) {
	var x agent.Counters
	if err := adminapi.Call(b.settings.adminSocket(i), "GET", "/v1/fleet/counters", nil, &x); err != nil {
		return c, err
	}
	c = Counters{SampledAt: nowMicro(), Fronts: 1, CPUSeconds: x.CPUSeconds, Links: x.Links, Sent: x.Sent, Received: x.Received, SentBytes: x.SentBytes,
		ReceivedBytes: x.ReceivedBytes, Shed: x.Shed, Dials: x.Dials, MinListIndex: x.ListIndex, LogIndex: x.Index}
	c.addKinds(x.Kinds)
	c.ResidentBytes, err = resident(p.cmd.Process.Pid)
	return c, err
}
