package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// idleTickAllocations returns the number of allocations of a tick at the leader, at a leaseholder and at a follower while no work is due.
func idleTickAllocations(t *testing.T, fronts, leases int) (allocations [3]float64) {
	sim, _ := startFleetDeclaringLeases(fronts, leases)
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

// Each front ticks twenty times a second, so the cost of a tick must not grow with the number of leases that need no action.
func TestIdleTickCostDoesNotGrowWithLeases(t *testing.T) {
	for _, fronts := range []int{9, 36} {
		baseline := idleTickAllocations(t, fronts, 10)
		for _, leases := range []int{80, 240} {
			t.Run(fmt.Sprintf("%d fronts, %d leases", fronts, leases), func(t *testing.T) {
				got := idleTickAllocations(t, fronts, leases)
				t.Log("allocations at the leader, a leaseholder, a follower:", got, "with 10 leases:", baseline)
				// The consensus library varies by one or two allocations; iterating over all leases would add 6 to 8.
				for i, allocations := range baseline {
					assert.LessOrEqual(t, got[i], allocations+3)
				}
			})
		}
	}
}
