package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// ticksAtRest counts what a tick allocates at the leader, at a leaseholder and at a follower of a fleet with so many leases, while
// nothing is due.
func ticksAtRest(t *testing.T, fronts, leases int) (allocations [3]float64) {
	w, _ := declareEverywhere(fronts, leases)
	w.Run(20 * time.Second)
	require.Empty(t, w.Wrong)
	for i, h := range []*Host{w.Leader(), w.Holder("list"), w.Hosts[fronts-1]} {
		now := h.Clock()
		allocations[i] = testing.AllocsPerRun(200, func() {
			h.Node.Tick(now)
			h.Node.Outgoing()
		})
	}
	return allocations
}

// A tick comes twenty times a second at each front: what it costs must not grow with leases that are only kept.
func TestATickAtRestCostsNoMoreWithMoreLeases(t *testing.T) {
	for _, fronts := range []int{9, 36} {
		least := ticksAtRest(t, fronts, 10)
		for _, leases := range []int{80, 240} {
			t.Run(fmt.Sprintf("%d fronts, %d leases", fronts, leases), func(t *testing.T) {
				got := ticksAtRest(t, fronts, leases)
				t.Log("allocations at the leader, a leaseholder, a follower:", got, "with 10 leases:", least)
				for i, most := range least { // the consensus library's own differ by one or two; walking all leases costs 6 to 8 more
					assert.LessOrEqual(t, got[i], most+3)
				}
			})
		}
	}
}
