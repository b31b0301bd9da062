package disk

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dapplerouter/fleet/audit"
)

// limitFileSize makes writes beyond a size fail with EFBIG, after a short write up to that size, as a disk does that becomes full.
func limitFileSize(t *testing.T, size uint64) (restore func()) {
	t.Helper()
	signal.Ignore(syscall.SIGXFSZ)
	t.Cleanup(func() { signal.Reset(syscall.SIGXFSZ) })
	var before unix.Rlimit
	require.NoError(t, unix.Getrlimit(unix.RLIMIT_FSIZE, &before))
	require.NoError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: size, Max: before.Max}))
	restore = func() { assert.NoError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &before)) }
	t.Cleanup(restore)
	return restore
}

// A voter file whose creation was cut short has never held a vote. It must not stop the voter for good, as a truncated file does.
func TestVoterFileOpensAfterIncompleteCreation(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "fleet.db")
	restore := limitFileSize(t, 6000)
	_, _, err := OpenVoterFile(path, "x", "k1")
	restore()
	require.ErrorIs(t, err, syscall.EFBIG)
	f, s, err := OpenVoterFile(path, "x", "k1")
	require.NoError(t, err)
	assert.EqualValues(t, 1, s.OpenCount)
	require.NoError(t, f.Close())
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Len(t, entries, 1, "no temporary file is left")
}

// A log that could not be opened is opened by a later call, and what was truncated is recorded once.
func TestSegmentsOpenAfterError(t *testing.T) {
	dir := t.TempDir()
	s := startSegments(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(intervalLine(1)))
	require.NoError(t, s.Close())
	path := filepath.Join(dir, "n1.00000001"+audit.LogSuffix)
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, b[:len(b)-9], 0o600)) // a crash left an incomplete line
	blocked := filepath.Join(dir, "n1.00000002"+audit.LogSuffix)
	require.NoError(t, os.Symlink("/proc/self/mem", blocked)) // a read fails with EIO

	s = NewSegments(dir, "n1", 1<<20, 1<<24)
	s.Stamp = func(l *audit.Line) { l.Front, l.Incarnation, l.At, l.Index = "n1", 8, 9000, 3 }
	for range 2 {
		err := s.Open()
		require.ErrorIs(t, err, syscall.EIO)
		assert.True(t, IsTransient(err))
	}
	assert.Empty(t, s.ClosedSegments())
	assert.ErrorIs(t, s.Rotate(), errNotOpened)
	assert.ErrorIs(t, s.Write(intervalLine(2)), errNotOpened)
	require.NoError(t, os.Remove(blocked))
	require.NoError(t, s.Open())
	require.NoError(t, s.Write(&audit.Line{Event: audit.EventProcessStarted, Front: "n1", Incarnation: 8, Index: 3, At: 9000, MaxClockError: 1 << 40}, nil))
	require.NoError(t, s.Close())
	_, notes := verifyLogs(t, dir)
	assert.Contains(t, notes, "1 lines could not be written: the audit could not be opened")
}
