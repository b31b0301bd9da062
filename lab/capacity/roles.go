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
var roleOrder = []string{VoterLeader, VoterFollower, EndpointsHolder, RolloutsHolder, RealFollower, HollowFollower, Discovery, Databases}

// look finds who leads and who holds the two leases.
func (b *bench) look() (r roles, err error) {
	s, err := b.seen(endpointsReal)
	if err != nil {
		return r, err
	}
	return roles{leader: s.Leader, endpoints: holder(s, fleet.EndpointListLease), rollouts: holder(s, rollout.Lease)}, nil
}

// of gives a real front's role.
func (r roles) of(i int) string {
	switch name := frontName(i); {
	case i == witnessReal:
		return noRole
	case i < voters && name == r.leader:
		return VoterLeader
	case i < voters:
		return VoterFollower
	case name == r.endpoints:
		return EndpointsHolder
	case name == r.rollouts:
		return RolloutsHolder
	}
	return RealFollower
}

// sample is one process's counters.
type sample struct {
	process string
	real    int // ordinal, -1 for another
	role    string
	Counters
}

// sample reads all counters at about one moment; each has its own time.
func (b *bench) sample() ([]sample, error) {
	var all []sample
	var mu sync.Mutex
	add := func(s sample) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, s)
	}
	err := each(b.processes(), func(_ int, p *process) error {
		s, err := b.sampleOf(p)
		if err != nil {
			if death := p.dead(); death != nil {
				return death
			}
			return fmt.Errorf("%s: %w", p.name, err)
		}
		add(s)
		return nil
	})
	return all, err
}

func (b *bench) sampleOf(p *process) (s sample, err error) {
	s = sample{process: p.name, real: -1}
	switch p {
	case b.discovery:
		s.role = Discovery
	case b.databases:
		s.role = Databases
	default:
		for i, r := range b.real {
			if r == p {
				s.real = i
				s.Counters, err = b.realCounters(i, p)
				return s, err
			}
		}
		s.role = HollowFollower
	}
	r, err := p.ask(Request{Do: doCounters})
	s.Counters = r.Counters
	return s, err
}

// realCounters asks a process of the program.
func (b *bench) realCounters(i int, p *process) (c Counters, err error) {
	var x agent.Counters
	if err := adminapi.Call(b.shared.socket(i), "GET", "/v1/fleet/counters", nil, &x); err != nil {
		return c, err
	}
	c = Counters{At: nowMicro(), Fronts: 1, CPU: x.CPUSeconds, Links: x.Links, Sent: x.Sent, Received: x.Received, SentBytes: x.SentBytes,
		ReceivedBytes: x.ReceivedBytes, Shed: x.Shed, Dials: x.Dials, LeastIndex: x.ListIndex, LogIndex: x.Index}
	c.addKinds(x.Kinds)
	c.Resident, err = resident(p.cmd.Process.Pid)
	return c, err
}
