package capacity

import (
	"fmt"
	"slices"
	"sync"

	"dapplerouter/adminapi"
	"dapplerouter/fleet/agent"
)

// sample is one process's counters at a time.
type sample struct {
	process string
	ordinal int    // of a real front, -1 for another process
	role    string // of a process other than a real front
	Counters
}

// sample reads the counters of all processes at about one time; each has its own SampledAt.
func (b *testbed) sample() ([]sample, error) {
	var all []sample
	var mu sync.Mutex // guards all
	err := parallel(b.processes(), func(_ int, p *process) error {
		s, err := b.sampleOf(p)
		if err != nil {
			if exited := p.exitedError(); exited != nil {
				return exited
			}
			return fmt.Errorf("counters of %s: %w", p.name, err)
		}
		mu.Lock()
		defer mu.Unlock()
		all = append(all, s)
		return nil
	})
	return all, err
}

func (b *testbed) sampleOf(p *process) (s sample, err error) {
	s = sample{process: p.name, ordinal: slices.Index(b.real, p)}
	if s.ordinal >= 0 {
		s.Counters, err = b.realCounters(s.ordinal, p)
		return s, err
	}
	switch p {
	case b.discovery:
		s.role = RoleDiscovery
	case b.databases:
		s.role = RoleDatabases
	default:
		s.role = RoleSimulatedFollower
	}
	r, err := p.call(Request{Operation: opCounters})
	s.Counters = r.Counters
	return s, err
}

// realCounters asks a process of the program by its admin API.
func (b *testbed) realCounters(i int, p *process) (c Counters, err error) {
	var of agent.Counters
	if err := adminapi.Call(b.settings.adminSocket(i), "GET", "/v1/fleet/counters", nil, &of); err != nil {
		return c, err
	}
	c = Counters{SampledAt: nowMicros(), Fronts: 1, MeshCounters: meshCounters(of), MinListIndex: of.ListIndex, LogIndex: of.Index}
	c.CPUSeconds = of.CPUSeconds
	c.addKinds(of.Kinds)
	c.ResidentBytes, err = residentMemory(p.cmd.Process.Pid)
	return c, err
}
