package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// idleTickAllocations counts the allocations of a tick at the leader, at a leaseholder and at a follower while nothing is due.
func idleTickAllocations(t *testing.T, fronts, leases int) (allocations [3]float64) {
	sim, _ := declareEverywhere(fronts, leases)
	sim.Run(20 * time.Second)
	require.Empty(t, sim.Violations)
	for i, h := range []*Host{sim.Leader(), sim.Leaseholder("list"), sim.Hosts[fronts-1]} {
		now := h.Clock()
		allocations[i] = testing.AllocsPerRun(200, func() {
			h.Node.Tick(now)
			h.Node.Outgoing()
		})
	}
	return allocations
}

// A tick comes twenty times a second at each front: its cost must not grow with leases that need no action.
func TestIdleTickCostDoesNotGrowWithLeases(t *testing.T) {
	for _, fronts := range []int{9, 36} {
		least := idleTickAllocations(t, fronts, 10)
		for _, leases := range []int{80, 240} {
			t.Run(fmt.Sprintf("%d fronts, %d leases", fronts, leases), func(t *testing.T) {
				got := idleTickAllocations(t, fronts, leases)
				t.Log("allocations at the leader, a leaseholder, a follower:", got, "with 10 leases:", least)
				for i, most := range least { // those of the consensus library vary by one or two; iterating over all leases costs 6 to 8 more
					assert.LessOrEqual(t, got[i], most+3)
				}
			})
		}
	}
}
