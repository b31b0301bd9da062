package agent

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
)

// Folders may fail for a while also when a front starts (docs/terms-audit.md, row 102). The devices
// to which these tests link a file return these errors from real system calls.
const (
	fullDevice     = "/dev/full"      // a write fails with ENOSPC
	unreadableFile = "/proc/self/mem" // a read or write at offset 0 fails with EIO
)

// failingTime is how long the folders of these tests fail: some lease durations, and longer than the time between two attempts to open.
const failingTime = 2 * time.Second

// A voter whose file can't be written at the start joins its fleet as soon as it can, and holds no lease before.
func TestVoterJoinsOnceItsFileCanBeWritten(t *testing.T) {
	for name, device := range map[string]string{"ENOSPC": fullDevice, "EIO": unreadableFile} {
		t.Run(name, func(t *testing.T) {
			log := captureLog(t)
			var path string
			began := time.Now()
			startVoter(t, func(c *Config) {
				path = c.Fleet.VoterPath
				require.NoError(t, os.Symlink(device, path))
				time.AfterFunc(failingTime, func() { os.Remove(path) })
			})
			assert.GreaterOrEqual(t, time.Since(began), failingTime, "no lease without a voter's file")
			assert.Contains(t, log.String(), "fleet: voter file can't be opened")
			assert.Contains(t, log.String(), path)
		})
	}
}

// A front that stops while its voter's file still fails stops as usual.
func TestAgentClosesWhileItsVoterFileFails(t *testing.T) {
	a := newVoterAgent(t, func(c *Config) { require.NoError(t, os.Symlink(fullDevice, c.Fleet.VoterPath)) })
	require.NoError(t, a.Start())
	began := time.Now()
	a.Drain(time.Second)
	a.Close()
	assert.Less(t, time.Since(began), 2*time.Second)
}

// A file of another voter is an error of the start, also where it is found at once.
func TestFileOfAnotherVoterFailsTheStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.db")
	f, _, err := disk.OpenVoterFile(path, "another", "n1")
	require.NoError(t, err)
	require.NoError(t, f.Close())
	_, err = newAgent(t, func(c *Config) { c.Fleet.VoterPath = path })
	assert.ErrorAs(t, err, &disk.OtherVoterError{})
}

// An audit whose folder fails at the start begins as soon as the folder works. The lines of the time between are in it, from the first.
func TestAuditBeginsOnceItsFolderWorks(t *testing.T) {
	dir := t.TempDir()
	blocked := filepath.Join(dir, "n1.00000001"+audit.LogSuffix)
	require.NoError(t, os.Symlink(unreadableFile, blocked))
	log := captureLog(t)
	a := startVoter(t, func(c *Config) {
		c.Audit = &audit.Config{LogDir: dir, SegmentBytes: disk.DefaultSegmentBytes, MaxTotalBytes: 1 << 24}
	})
	a.writeAudit(&audit.Line{Event: audit.EventLeaseEnded, Lease: "list", Reason: "before the repair"})
	require.NoError(t, os.Remove(blocked))
	require.Eventually(t, func() bool {
		names, err := disk.ListSegments(dir, "n1")
		return err == nil && len(names) > 0
	}, 20*time.Second, 5*time.Millisecond)
	a.syncAudit()
	lines := auditLines(t, dir, "n1")
	require.NotEmpty(t, lines)
	assert.Equal(t, audit.EventProcessStarted, lines[0].Event)
	reasons := map[string]int{}
	for _, line := range lines {
		assert.NotEqual(t, audit.EventLinesLost, line.Event)
		reasons[line.Reason]++
	}
	assert.Equal(t, 1, reasons["before the repair"])
	assert.Contains(t, log.String(), "audit: log can't be opened")
	assert.Contains(t, log.String(), dir)
}
