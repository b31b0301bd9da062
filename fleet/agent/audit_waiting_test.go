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
	"dapplerouter/front"
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

// The intervals that wait while the log can't be opened take a bounded amount of memory. Those that don't fit are recorded as a gap.
func TestWaitingIntervalsAreBounded(t *testing.T) {
	const idsOfInterval = 32 << 10
	w, failing := newWaitingWriter(t)
	ids := make([]uint64, idsOfInterval)
	queued := 0
	for range auditQueueLength / 2 {
		if w.enqueue(queueEntry{interval: &audit.Interval{Number: 1, IDs: ids, Outcomes: make([][front.StatusCount]uint32, 1)}}) {
			queued++
		}
	}
	assert.LessOrEqual(t, queued*idsOfInterval*8, 64<<20, "bytes that wait")
	assert.Greater(t, queued, 10)
	assert.EqualValues(t, auditQueueLength/2-queued, w.lost.Load())
	assert.True(t, w.enqueue(queueEntry{line: &audit.Line{Event: audit.EventLeaseAcquired}}), "a line needs little")
	failing.repair()
	require.NoError(t, w.segments.Open())
	w.opened = true
	go w.run()
	w.close()
	intervals, lost := 0, uint64(0)
	for _, l := range auditLines(t, w.config.LogDir, "n1") {
		switch l.Event {
		case audit.EventInterval:
			intervals++
		case audit.EventLinesLost:
			lost += l.Lost
		}
	}
	assert.Equal(t, queued, intervals)
	assert.EqualValues(t, auditQueueLength/2-queued, lost)
	assert.True(t, w.enqueue(queueEntry{interval: &audit.Interval{IDs: ids}}), "written intervals take no room")
}
