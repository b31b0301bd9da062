package agent

import (
	"os"
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
	go w.run()
	require.Eventually(t, func() bool { return w.written.Load() == uint64(queued)+1 }, time.Minute, 5*time.Millisecond)
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

// A front whose log is not open, or whose disk fails, does not tell a collector that a segment was removed: the collector would pass over it.
func TestUnreadableSegmentIsNotReportedAsRemoved(t *testing.T) {
	request := audit.FetchRequest{Name: audit.SegmentName("n1", 1)}
	t.Run("log not open", func(t *testing.T) {
		w, failing := newWaitingWriter(t)
		require.NoError(t, os.MkdirAll(w.config.LogDir, 0o700))
		require.NoError(t, os.WriteFile(filepath.Join(w.config.LogDir, request.Name+audit.LogSuffix), nil, 0o600))
		_, ok := w.collector.respond(request)
		assert.False(t, ok)
		_, ok = w.collector.respond(audit.FetchRequest{})
		assert.False(t, ok, "names")
		failing.repair()
		require.NoError(t, w.segments.Open())
		r, ok := w.collector.respond(request)
		assert.True(t, ok)
		assert.False(t, r.Removed)
	})
	t.Run("read error", func(t *testing.T) {
		w, failing := newWaitingWriter(t)
		failing.repair()
		require.NoError(t, os.MkdirAll(w.config.LogDir, 0o700))
		path := filepath.Join(w.config.LogDir, request.Name+audit.LogSuffix)
		require.NoError(t, os.WriteFile(path, nil, 0o600))
		require.NoError(t, w.segments.Open())
		require.NoError(t, os.Remove(path))
		r, ok := w.collector.respond(request)
		assert.True(t, ok && r.Removed, "a missing file")
		require.NoError(t, os.Symlink(unreadableFile, path))
		_, ok = w.collector.respond(request)
		assert.False(t, ok)
	})
}
