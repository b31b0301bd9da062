package agent

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// An agent that stops soon after its folder works writes the lines that waited, without another attempt of the timer.
func TestAuditLinesAreWrittenWhenAgentClosesAfterRepair(t *testing.T) {
	a, paths, failing := startOnFullDisk(t)
	failing.repair() // before the first attempt of the timer
	a.Close()
	names, err := disk.ListSegments(paths.audit, "n1")
	require.NoError(t, err)
	require.NotEmpty(t, names)
	lines := auditLines(t, paths.audit, "n1")
	assert.Equal(t, audit.EventProcessStarted, lines[0].Event)
	assert.Equal(t, audit.EventProcessStopped, lines[len(lines)-1].Event)
	for _, line := range lines {
		assert.NotEqual(t, audit.EventLinesLost, line.Event)
	}
}
