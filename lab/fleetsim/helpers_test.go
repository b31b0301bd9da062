package fleetsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

var testTiming = fleet.Timing{LeaseDuration: 3 * time.Second}

// twoLeases are two leases without a progress timeout.
var twoLeases = map[string]time.Duration{"list": 0, "scout/1": 0}

// startFleet starts a fleet with three voters, and runs it for long enough that it has a leader and leaseholders.
func startFleet(t *testing.T, seed uint64, fronts int) *Simulation {
	t.Helper()
	return startFleetWithOptions(t, Options{Seed: seed, Fronts: fronts, Voters: 3})
}

// startFleetWithOptions does the same as startFleet for any number of voters. It overrides the timing and the leases.
func startFleetWithOptions(t *testing.T, o Options) *Simulation {
	t.Helper()
	o.Timing, o.Leases = testTiming, twoLeases
	sim := New(o)
	sim.Trace = func(line string) { t.Log(line) }
	sim.StartAll()
	sim.Run(8 * time.Second)
	require.Empty(t, sim.Violations)
	return sim
}

// requireRecovered requires that no invariant was violated and that the fleet has recovered from all faults.
func requireRecovered(t *testing.T, sim *Simulation) {
	t.Helper()
	sim.checkRecovered()
	require.Empty(t, sim.Violations)
}

// countEvents returns the number of events of type E since the host's process started.
func countEvents[E fleet.Event](h *Host) (n int) {
	for _, e := range h.Events {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

// cutBothDirections cuts both directions of the link between two hosts.
func (sim *Simulation) cutBothDirections(a, b *Host) {
	sim.Cut(a.Name, b.Name)
	sim.Cut(b.Name, a.Name)
}
