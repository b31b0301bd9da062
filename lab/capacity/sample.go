package capacity

import (
	"fmt"
	"slices"
	"sync"

	"dapplerouter/adminapi"
	"dapplerouter/fleet/agent"
)

// sample is a reading of one process's counters.
type sample struct {
	process string
	ordinal int    // ordinal of a real front; -1 for other processes
	role    string // role of a process that is not a real front
	Counters
}

// sample reads the counters of all processes in parallel. Each sample has its own SampledAt.
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

// sampleOf reads the counters of one process.
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

// realCounters reads the counters of the front with ordinal i from its admin API, and its resident memory from /proc. The front is a real
// one: a process of the program, in contrast to the simulated followers of the worker processes.
func (b *testbed) realCounters(i int, p *process) (c Counters, err error) {
	var own agent.Counters
	if err := adminapi.Call(b.settings.adminSocket(i), "GET", "/v1/fleet/counters", nil, &own); err != nil {
		return c, err
	}
	c = Counters{SampledAt: nowMicros(), Fronts: 1, MeshCounters: meshCounters(own), MinListIndex: own.ListIndex, LogIndex: own.Index}
	c.CPUSeconds = own.CPUSeconds
	c.addKinds(own.Kinds)
	c.ResidentBytes, err = residentMemory(p.cmd.Process.Pid)
	return c, err
}
