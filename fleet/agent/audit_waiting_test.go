package agent

import (
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// newWaitingWriter returns an audit writer of n1 that does not run and whose log can't be opened until the calls are repaired.
func newWaitingWriter(t *testing.T) (w *auditWriter, failing *failingCalls) {
	t.Helper()
	failing = failingCreateCalls(syscall.ENOSPC)
	began := time.Now()
	a := &Agent{identity: identity{name: "n1"}, calls: *failing.calls(), CoreAccess: CoreAccess{StartedAt: began, Clock: func() time.Duration { return time.Since(began) }}}
	w, err := newAuditWriter(a, &audit.Config{LogDir: filepath.Join(t.TempDir(), "audit"), SegmentBytes: disk.DefaultSegmentBytes, MaxTotalBytes: 1 << 30})
	require.NoError(t, err)
	a.audit = w
	return w, failing
}

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

// Only lines count as lost when the queue is full, not the requests to sync.
func TestSyncRequestIsNoLostLine(t *testing.T) {
	w, _ := newWaitingWriter(t)
	for range auditQueueLength {
		require.True(t, w.enqueue(queueEntry{line: &audit.Line{Event: audit.EventLeaseAcquired}}))
	}
	w.agent.syncAudit()
	assert.Zero(t, w.lost.Load())
	w.agent.writeAudit(&audit.Line{Event: audit.EventLeaseAcquired})
	assert.EqualValues(t, 1, w.lost.Load())
}
