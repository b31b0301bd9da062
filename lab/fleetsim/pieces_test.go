package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// A front that comes back to a long record is brought it in pieces, within a budget of bytes a second: other words pass on the
// same links meanwhile, and its neighbours are not held up.
func TestALongRecordComesInPiecesWithinABudget(t *testing.T) {
	w := New(11, 7, 3, pace, two)
	w.StartAll()
	w.Run(8 * time.Second)
	h := w.Holder("list")
	require.NotNil(t, h)
	for i := range 60 { // 3 MB
		h.Do(func(n *fleet.Node, now time.Duration) {
			n.PutValue(now, "list", fmt.Sprintf("entry/%d", i), 0, make([]byte, 50<<10))
		})
		w.Run(100 * time.Millisecond)
	}
	w.Run(5 * time.Second)
	require.Empty(t, w.Wrong)
	behind := w.Hosts[6]
	require.Len(t, behind.Node.State().Values, 60)
	if h == behind {
		behind = w.Hosts[5]
	}
	behind.Crash()
	w.Run(time.Second)
	bytes := map[time.Duration]int{}
	w.Hear = func(to *Host, from string, m *fleet.Message) {
		if to == behind && m.Kind == fleet.KindSnapshotChunk {
			bytes[w.Now.Truncate(time.Second)] += len(m.Data)
		}
		assert.False(t, to == behind && m.Kind == fleet.KindSnapshot, "not in one piece")
	}
	behind.Start()
	began := w.Now
	for w.Now < began+30*time.Second && len(behind.Node.State().Values) < 60 {
		w.Run(50 * time.Millisecond)
	}
	require.Empty(t, w.Wrong)
	assert.Len(t, behind.Node.State().Values, 60)
	most := 0
	for _, n := range bytes {
		most = max(most, n)
	}
	assert.Greater(t, w.Now-began, 700*time.Millisecond)
	assert.LessOrEqual(t, most, 1<<20+1<<18, "1 MiB a second, from one neighbour")
	t.Logf("3 MB in %v, %d bytes in a second at the most", w.Now-began, most)
}
