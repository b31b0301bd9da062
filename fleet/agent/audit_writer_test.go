package agent

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
	"dapplerouter/front"
)

// Guards against timestamps that decrease from line to line, which the reader of an audit log takes for a clock that was set back. Lines
// come from many goroutines, with intervals between them, and a busy machine writes them late.
func TestAuditLineDatesFollowWriteOrder(t *testing.T) {
	dir, began := t.TempDir(), time.Now()
	a := &Agent{identity: identity{name: "n1"}, calls: disk.SystemCalls(), CoreAccess: CoreAccess{StartedAt: began, Clock: func() time.Duration { return time.Since(began) }}}
	w, err := newAuditWriter(a, &audit.Config{LogDir: dir, SegmentBytes: disk.DefaultSegmentBytes, MaxTotalBytes: 1 << 24})
	require.NoError(t, err)
	a.audit = w
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for n := range 100 {
				if n%10 == 0 {
					w.enqueue(queueEntry{interval: &audit.Interval{Number: 1, Outcomes: make([][front.StatusCount]uint32, 1)}})
				}
				a.writeAudit(&audit.Line{Event: audit.EventLeaseAcquired, Lease: "list"})
			}
		})
	}
	writers.Wait()
	time.Sleep(100 * time.Millisecond) // the writer starts late
	go w.run()
	w.close()
	last := int64(0)
	lines := auditLines(t, dir, "n1")
	for i, l := range lines {
		assert.LessOrEqual(t, last, l.At, "line %d", i)
		last = l.At
	}
	assert.GreaterOrEqual(t, len(lines), 880)
}

// auditLines returns the lines of a front's audit log.
func auditLines(t *testing.T, dir, front string) (lines []audit.Line) {
	t.Helper()
	names, err := disk.ListSegments(dir, front)
	require.NoError(t, err)
	for _, name := range names {
		text, err := os.ReadFile(filepath.Join(dir, name+audit.LogSuffix))
		require.NoError(t, err)
		for _, b := range bytes.Split(bytes.TrimSpace(text), []byte("\n")) {
			var l audit.Line
			require.NoError(t, json.Unmarshal(b, &l))
			lines = append(lines, l)
		}
	}
	return lines
}

// Guards against audit lines after the line that records the end of the process. Verification reported a violation when a version was
// adopted after that line.
func TestProcessStoppedIsTheLastAuditLine(t *testing.T) {
	dir := t.TempDir()
	a := startVoter(t, func(c *Config) {
		c.Audit = &audit.Config{LogDir: dir, SegmentBytes: disk.DefaultSegmentBytes, MaxTotalBytes: 1 << 24}
	})
	a.goroutines.Go(func() { // an adoption that is still in progress during Close
		<-a.ctx.Done()
		a.writeAudit(&audit.Line{Event: audit.EventVersionAdopted, Version: 1, RulesHash: "8899"})
	})
	a.Close()
	lines := auditLines(t, dir, "n1")
	require.NotEmpty(t, lines)
	assert.Equal(t, audit.EventProcessStopped, lines[len(lines)-1].Event)
}
