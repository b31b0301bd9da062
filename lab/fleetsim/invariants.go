package fleetsim

import (
	"fmt"
	"hash/crc32"
	"slices"

	"dapplerouter/fleet"
)

// Invariants is what must always hold, and where it did not:
//   - a lease has one leaseholder at a time, by the holders' own clocks;
//   - no front accepts a broadcast under a lease's earlier term once it knows of a later one;
//   - fronts that are at one index of the replicated log have the same state (checked in fleets of less than 20 hosts).
type Invariants struct {
	Violations []string // with the time of each; Run stops at the first

	stateChecksums map[uint64]uint32  // by index
	leaseholders   map[string][]*Host // by lease, when they were last checked
}

// Violationf adds a violation, with the present time. It ends the present Run.
func (sim *Simulation) Violationf(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%v: ", sim.Now)+fmt.Sprintf(format, args...))
}

// checkInvariants checks leaseholders and replicated state after a step of one host. A node acquires a lease only within a step of
// its own and loses it as time passes: only this host may hold now what it did not hold before, so it is enough to check it against
// those who held the lease at the last check.
func (sim *Simulation) checkInvariants(h *Host) {
	for lease := range sim.leases {
		holders := slices.DeleteFunc(sim.leaseholders[lease], func(o *Host) bool { return o == h || !o.holdsLease(lease) })
		if h.holdsLease(lease) {
			for _, o := range holders {
				sim.Violationf("lease %s is held by both %s and %s", lease, min(o.Name, h.Name), max(o.Name, h.Name))
			}
			holders = append(holders, h)
		}
		sim.leaseholders[lease] = holders
	}
	if index := h.Node.State().Index; index != h.checkedIndex && len(sim.Hosts) < 20 {
		h.checkedIndex = index
		sum := crc32.ChecksumIEEE(h.Node.State().Encoded())
		if known, ok := sim.stateChecksums[index]; ok && known != sum {
			sim.Violationf("replicated state of %s at index %d differs from another host's", h.Name, index)
		}
		sim.stateChecksums[index] = sum
	}
}

// checkBroadcast checks the term of a broadcast that a host accepted.
func (sim *Simulation) checkBroadcast(h *Host, e fleet.BroadcastReceived) {
	if lease := h.Node.State().Leases[e.Lease]; lease != nil && e.Term < lease.Term {
		sim.Violationf("%s accepted a broadcast under %s in term %d and knows of term %d", h.Name, e.Lease, e.Term, lease.Term)
	}
	if e.Term < h.acceptedTerms[e.Lease] {
		sim.Violationf("%s accepted a broadcast under %s in term %d after term %d", h.Name, e.Lease, e.Term, h.acceptedTerms[e.Lease])
	}
	h.acceptedTerms[e.Lease] = e.Term
}

// checkRecovered checks a fleet that has run without faults for a while: one leader, every lease held, no front isolated or lagging.
func (sim *Simulation) checkRecovered() {
	leader := sim.Leader()
	if leader == nil {
		sim.Violationf("no leader")
		return
	}
	for lease := range sim.leases {
		if sim.Leaseholder(lease) == nil {
			sim.Violationf("lease %s has no holder", lease)
		}
	}
	index := leader.Node.State().Index
	for _, h := range sim.Hosts {
		if h.Node == nil {
			continue
		}
		if h.Node.Isolated() {
			sim.Violationf("%s is isolated", h.Name)
		}
		if got := h.Node.State().Index; got+3 < index {
			sim.Violationf("%s is at index %d, the leader at %d", h.Name, got, index)
		}
	}
}
