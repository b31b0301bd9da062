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

// Lines of many goroutines, and intervals between them, are written late by a busy machine: their dates follow the order in which they
// are written, or the audit's reader takes it for a clock that was set back.
func TestAuditLineDatesFollowWriteOrder(t *testing.T) {
	dir, began := t.TempDir(), time.Now()
	a := &Agent{identity: identity{name: "n1"}, CoreAccess: CoreAccess{StartedAt: began, Clock: func() time.Duration { return time.Since(began) }}}
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
	time.Sleep(100 * time.Millisecond) // the writer has had no turn so far
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

// auditLines are the lines of a front's audit log.
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

// Guards against an audit that holds for wrong what a front did: a version was adopted behind the line that says that it stopped.
func TestNothingIsAuditedBehindTheEndOfTheProcess(t *testing.T) {
	dir := t.TempDir()
	a := startVoter(t, func(c *Config) {
		c.Audit = &audit.Config{LogDir: dir, SegmentBytes: disk.DefaultSegmentBytes, MaxTotalBytes: 1 << 24}
	})
	a.goroutines.Go(func() { // an adoption that is under way meanwhile
		<-a.ctx.Done()
		a.writeAudit(&audit.Line{Event: audit.EventVersionAdopted, Version: 1, RulesHash: "8899"})
	})
	a.Close()
	lines := auditLines(t, dir, "n1")
	require.NotEmpty(t, lines)
	assert.Equal(t, audit.EventProcessStopped, lines[len(lines)-1].Event)
}
