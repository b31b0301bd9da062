package report

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

func TestAuditPageShowsVersionsAndOrdersEventsCausally(t *testing.T) {
	dir := t.TempDir()
	const second = 1_000_000
	for i, n := range []string{"n1", "n2"} {
		s, err := disk.OpenSegments(dir, n, 1<<20, 1<<24)
		require.NoError(t, err)
		base := int64(1_800_000_000)*second - int64(i)*3600*second // the second front's clock is an hour behind
		for _, l := range []*audit.Line{{Event: audit.EventProcessStarted, At: 1, Index: 1, MaxClockError: 3600 * second}, {Event: audit.EventLeaseAcquired, At: 2, Index: 4 + uint64(i), Lease: "roll", Term: 1 + uint64(i)},
			{Event: audit.EventVersionAdopted, At: 3, Index: 9, Version: 1, RulesHash: "m<1>"}, {Event: audit.EventConfigLeaseExpired, At: 4, Index: 12}, {Event: audit.EventProcessStopped, At: 9, Index: 12}} {
			l.Front, l.Incarnation, l.At = n, 7, base+l.At*second
			require.NoError(t, s.Write(l, nil))
		}
		require.NoError(t, s.Close())
	}
	l, err := disk.OpenAuditLogs(dir)
	require.NoError(t, err)
	all, found := audit.ReadLogs(l)
	var out strings.Builder
	require.NoError(t, Audit(&out, all, found))
	page := out.String()
	for _, want := range []string{"<svg", "2 fronts, 10 lines", "No violations.", "m&lt;1&gt;", "stood by from", "holds roll in term 2"} {
		assert.Contains(t, page, want)
	}
	assert.Less(t, strings.Index(page, "holds roll in term 1"), strings.Index(page, "holds roll in term 2"),
		"events are ordered by index, although the clocks say otherwise")
	assert.Error(t, Audit(&out, nil, nil))
}
