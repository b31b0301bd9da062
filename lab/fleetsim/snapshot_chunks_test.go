package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// A front that is far behind must receive a large snapshot in chunks, limited to a number of bytes a second. Otherwise the snapshot
// would hold up other messages on the same links and block the front's peers.
func TestLargeSnapshotIsSentInChunksWithinAByteBudget(t *testing.T) {
	sim := New(Options{Seed: 11, Fronts: 7, Voters: 3, Timing: testTiming, Leases: twoLeases})
	sim.StartAll()
	sim.Run(8 * time.Second)
	h := sim.Leaseholder("list")
	require.NotNil(t, h)
	for i := range 60 { // 3 MB
		h.WithNode(func(n *fleet.Node, now time.Duration) {
			n.PutValue(now, "list", fmt.Sprintf("entry/%d", i), 0, make([]byte, 50<<10))
		})
		sim.Run(100 * time.Millisecond)
	}
	sim.Run(5 * time.Second)
	require.Empty(t, sim.Violations)
	behind := sim.Hosts[6]
	require.Len(t, behind.Node.State().Values, 60)
	if h == behind {
		behind = sim.Hosts[5]
	}
	behind.Crash()
	sim.Run(time.Second)
	bytes := map[time.Duration]int{}
	sim.OnReceive = func(to *Host, from string, m *fleet.Message) {
		if to == behind && m.Kind == fleet.KindSnapshotChunk {
			bytes[sim.Now.Truncate(time.Second)] += len(m.Data)
		}
		assert.False(t, to == behind && m.Kind == fleet.KindSnapshot, "the snapshot is not sent in one message")
	}
	behind.Start()
	began := sim.Now
	for sim.Now < began+30*time.Second && len(behind.Node.State().Values) < 60 {
		sim.Run(50 * time.Millisecond)
	}
	require.Empty(t, sim.Violations)
	assert.Len(t, behind.Node.State().Values, 60)
	maxBytes := 0
	for _, n := range bytes {
		maxBytes = max(maxBytes, n)
	}
	assert.Greater(t, sim.Now-began, 700*time.Millisecond)
	assert.LessOrEqual(t, maxBytes, 1<<20+1<<18, "at most about 1 MiB a second, from one peer")
	t.Logf("3 MB in %v, at most %d bytes in a second", sim.Now-began, maxBytes)
}
