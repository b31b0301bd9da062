package fleetsim

import (
	"fmt"
	"hash/crc32"
	"slices"

	"dapplerouter/fleet"
)

// Invariants records the violations of the simulation's invariants, which must hold at all times:
//   - A lease has at most one leaseholder at a time, according to the holders' own clocks.
//   - A front that knows of a term of a lease accepts no broadcast under the lease in an earlier term.
//   - Fronts at the same index of the replicated log have the same state. This is checked in fleets of fewer than 20 hosts.
type Invariants struct {
	Violations []string // each with its virtual time; Run stops at the first one

	stateChecksums map[uint64]uint32  // checksum of the replicated state, by log index
	leaseholders   map[string][]*Host // the holders at the last check, by lease
}

// Violationf records a violation with the current virtual time. It makes the current Run stop.
func (sim *Simulation) Violationf(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%v: ", sim.Now)+fmt.Sprintf(format, args...))
}

// checkInvariants checks the leaseholders and the replicated state after a step of one host. A node acquires a lease only within its
// own step, and it loses a lease as time passes. So only this host can have become a holder since the last check, and it is enough to
// compare it with the holders at that check.
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

// checkBroadcast checks that the term of a broadcast is not earlier than one that the host knows of or has accepted before.
func (sim *Simulation) checkBroadcast(h *Host, e fleet.BroadcastReceived) {
	if lease := h.Node.State().Leases[e.Lease]; lease != nil && e.Term < lease.Term {
		sim.Violationf("%s accepted a broadcast under %s in term %d but knows of term %d", h.Name, e.Lease, e.Term, lease.Term)
	}
	if e.Term < h.acceptedTerms[e.Lease] {
		sim.Violationf("%s accepted a broadcast under %s in term %d after term %d", h.Name, e.Lease, e.Term, h.acceptedTerms[e.Lease])
	}
	h.acceptedTerms[e.Lease] = e.Term
}

// checkRecovered records a violation for each way in which the fleet has not recovered from earlier faults. A recovered fleet has a
// leader and a holder of every lease. None of its running fronts is isolated or more than three log entries behind the leader.
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
