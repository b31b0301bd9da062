package fleetsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

var testTiming = fleet.Timing{LeaseDuration: 3 * time.Second}

var twoLeases = map[string]time.Duration{"list": 0, "scout/1": 0}

// started returns a fleet of three voters that has run long enough to have a leader and leaseholders.
func started(t *testing.T, seed uint64, fronts int) *Simulation {
	t.Helper()
	return startedWithVoters(t, Options{Seed: seed, Fronts: fronts, Voters: 3})
}

// startedWithVoters does the same for any number of voters.
func startedWithVoters(t *testing.T, o Options) *Simulation {
	t.Helper()
	o.Timing, o.Leases = testTiming, twoLeases
	sim := New(o)
	sim.Trace = func(line string) { t.Log(line) }
	sim.StartAll()
	sim.Run(8 * time.Second)
	require.Empty(t, sim.Violations)
	return sim
}

// requireRecovered asserts what must hold of a fleet some time after the last fault.
func requireRecovered(t *testing.T, sim *Simulation) {
	t.Helper()
	sim.checkRecovered()
	require.Empty(t, sim.Violations)
}

func countEvents[E fleet.Event](h *Host) (n int) {
	for _, e := range h.Events {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

// cutBoth cuts both directions between two hosts.
func (sim *Simulation) cutBoth(a, b *Host) {
	sim.Cut(a.Name, b.Name)
	sim.Cut(b.Name, a.Name)
}
