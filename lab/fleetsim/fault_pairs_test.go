package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// TestEveryPairOfFaultsInASmallFleet runs all pairs of faults, at all hosts and times, in a small fleet with three voters, one follower
// and two leases. In each run the invariants must hold and the fleet must recover. With -short or the race detector only some of the
// pairs are run.
func TestEveryPairOfFaultsInASmallFleet(t *testing.T) {
	type fault struct {
		name   string
		inject func(sim *Simulation, h *Host)
	}
	others := func(sim *Simulation, h *Host, call func(o *Host)) {
		for _, o := range sim.Hosts {
			if o != h {
				call(o)
			}
		}
	}
	faults := []fault{
		{"crash", func(sim *Simulation, h *Host) { h.Crash(); sim.After(2*time.Second, func() { startIfDown(h) }) }},
		{"pause", func(sim *Simulation, h *Host) { h.Pause(); sim.After(4500*time.Millisecond, h.Resume) }},
		{"cut outbound", func(sim *Simulation, h *Host) {
			others(sim, h, func(o *Host) { sim.Cut(h.Name, o.Name) })
			sim.After(4*time.Second, sim.Heal)
		}},
		{"cut inbound", func(sim *Simulation, h *Host) {
			others(sim, h, func(o *Host) { sim.Cut(o.Name, h.Name) })
			sim.After(4*time.Second, sim.Heal)
		}},
		{"shutdown", func(sim *Simulation, h *Host) {
			h.WithNode(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
			sim.After(300*time.Millisecond, func() { h.Crash(); startIfDown(h) })
		}},
		{"transfer", func(sim *Simulation, h *Host) {
			h.WithNode(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
		}},
	}
	times := []time.Duration{0, 700 * time.Millisecond, 3400 * time.Millisecond}
	type faultAt struct {
		fault fault
		host  int
		after time.Duration
	}
	var all []faultAt
	for _, f := range faults {
		for host := range 4 {
			for _, when := range times {
				all = append(all, faultAt{f, host, when})
			}
		}
	}
	stride := 1
	if raceEnabled || testing.Short() {
		stride = 37
	}
	const parts = 6
	for part := range parts {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for i := part; i < len(all); i += parts {
				for j := i; j < len(all); j += stride {
					sim := New(Options{Seed: uint64(i*1000 + j), Fronts: 4, Voters: 3, Timing: testTiming, Leases: twoLeases})
					sim.StartAll()
					sim.Run(5 * time.Second)
					for _, x := range []faultAt{all[i], all[j]} {
						sim.After(x.after, func() { x.fault.inject(sim, sim.Hosts[x.host]) })
					}
					sim.Run(10 * time.Second)
					sim.Heal()
					for _, h := range sim.Hosts {
						h.Resume()
						startIfDown(h)
					}
					sim.Run(14 * time.Second)
					sim.checkRecovered()
					require.Empty(t, sim.Violations, "%s at host %d after %v, %s at host %d after %v", all[i].fault.name, all[i].host, all[i].after, all[j].fault.name, all[j].host, all[j].after)
				}
			}
		})
	}
}

// startIfDown starts a host unless its process is up.
func startIfDown(h *Host) {
	if h.Node == nil {
		h.Start()
	}
}
