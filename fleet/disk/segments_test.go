package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/audit"
	"dapplerouter/front"
)

// intervalLine returns the audit line of interval i with 5 requests, and the interval's part of the index.
func intervalLine(i int) (*audit.Line, []byte) {
	s := audit.Interval{Number: uint32(i), Outcomes: make([][front.StatusCount]uint32, 1)}
	for k := range 5 {
		s.IDs = append(s.IDs, audit.HashID(fmt.Appendf(nil, "t%d-%d", i, k)))
	}
	ids, hash := audit.EncodeIndex(&s)
	return &audit.Line{Event: audit.EventInterval, Front: "n1", Incarnation: 7, Index: 3, At: int64(i) * 1000, Interval: uint32(i), Start: int64(i) * 1000, End: int64(i+1) * 1000,
		Requests: 5, Outcomes: [][]uint32{{5, 0, 0, 0, 0}}, IndexHash: hash}, ids
}

// startSegments opens the audit log of front n1 and writes its first line.
func startSegments(t *testing.T, dir string, segmentBytes, maxTotalBytes int64) *Segments {
	t.Helper()
	s, err := OpenSegments(dir, "n1", segmentBytes, maxTotalBytes)
	require.NoError(t, err)
	s.Stamp = func(l *audit.Line) { l.Front, l.Incarnation, l.At, l.Index = "n1", 7, 1, 3 }
	require.NoError(t, s.Write(&audit.Line{Event: audit.EventProcessStarted, Front: "n1", Incarnation: 7, Index: 3, At: 1, MaxClockError: 1 << 40}, nil))
	return s
}

// verifyLogs reads the audit logs in directories and fails the test on any violation. notes are the messages of the findings.
func verifyLogs(t *testing.T, dirs ...string) (l *AuditLogs, notes []string) {
	t.Helper()
	l, err := OpenAuditLogs(dirs...)
	require.NoError(t, err)
	_, found := audit.ReadLogs(l)
	for _, f := range append(found, l.Conflicts...) {
		assert.False(t, f.Violation, f)
		notes = append(notes, f.Message)
	}
	return l, notes
}

func TestSegmentsStayWithinMaxSizeAndRequestsAreFound(t *testing.T) {
	dir := t.TempDir()
	s := startSegments(t, dir, 4096, 16<<10)
	for i := 1; i <= 200; i++ {
		require.NoError(t, s.Write(intervalLine(i)))
	}
	require.NoError(t, s.Write(&audit.Line{Event: audit.EventProcessStopped, Front: "n1", Incarnation: 7, Index: 3, At: 1 << 40}, nil))
	require.NoError(t, s.Close())
	l, _ := verifyLogs(t, dir)
	sum := int64(0)
	for _, n := range l.Names() {
		for _, end := range []string{audit.LogSuffix, audit.IndexSuffix} {
			at, err := os.Stat(filepath.Join(dir, n+end))
			require.NoError(t, err)
			sum += at.Size()
		}
	}
	assert.LessOrEqual(t, sum, int64(22<<10), "the maximum plus the open segment")
	hits, unread := l.Find("t200-3")
	assert.Empty(t, unread)
	require.Len(t, hits, 1)
	assert.EqualValues(t, 200, hits[0].Interval)
	hits, _ = l.Find("t9999-1")
	assert.Empty(t, hits)
}

func TestIncompleteTailIsRemovedAndRecorded(t *testing.T) {
	dir := t.TempDir()
	s := startSegments(t, dir, 1<<20, 1<<24)
	for i := 1; i <= 3; i++ {
		require.NoError(t, s.Write(intervalLine(i)))
	}
	require.NoError(t, s.open.log.Close())
	require.NoError(t, s.open.index.Close()) // simulates a crash
	path := filepath.Join(dir, "n1.00000001"+audit.LogSuffix)
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, b[:len(b)-9], 0o600))
	s, err = OpenSegments(dir, "n1", 1<<20, 1<<24)
	require.NoError(t, err)
	s.Stamp = func(l *audit.Line) { l.Front, l.Incarnation, l.At, l.Index = "n1", 8, 9000, 3 }
	require.NoError(t, s.Write(&audit.Line{Event: audit.EventProcessStarted, Front: "n1", Incarnation: 8, Index: 3, At: 9000, MaxClockError: 1 << 40}, nil))
	require.NoError(t, s.Close())
	_, notes := verifyLogs(t, dir)
	assert.Contains(t, fmt.Sprint(notes), "a torn tail of")
}

// Lines that a full disk does not accept are recorded as a gap once there is space again.
func TestFullDiskIsRecordedAsGap(t *testing.T) {
	dir := t.TempDir()
	s := startSegments(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(intervalLine(1)))
	working := s.open.log
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip("/dev/full does not exist")
	}
	s.open.log = full
	for i := 2; i <= 4; i++ {
		assert.ErrorContains(t, s.Write(intervalLine(i)), "no space left on device")
	}
	s.open.log = working
	require.NoError(t, s.Write(intervalLine(5)))
	require.NoError(t, s.Close())
	_, notes := verifyLogs(t, dir)
	assert.Contains(t, fmt.Sprint(notes), "3 lines could not be written")
}

func TestExportIsIdempotentAndNeverOverwrites(t *testing.T) {
	dir, out := t.TempDir(), t.TempDir()
	s := startSegments(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(intervalLine(1)))
	require.NoError(t, s.Close())
	for range 2 {
		require.NoError(t, ExportSegment(dir, "n1.00000001", out))
	}
	files, err := os.ReadDir(out)
	require.NoError(t, err)
	assert.Len(t, files, 2, "the log file and the index, once each")

	other := t.TempDir() // a second front with the same name, or the first one restored from a copy
	s = startSegments(t, other, 1<<20, 1<<24)
	require.NoError(t, s.Write(intervalLine(2)))
	require.NoError(t, s.Close())
	err = ExportSegment(other, "n1.00000001", out)
	assert.ErrorIs(t, err, ErrSegmentConflict)
	assert.ErrorContains(t, err, filepath.Join(out, "n1.00000001"))
	l, err := OpenAuditLogs(other, out)
	require.NoError(t, err)
	require.Len(t, l.Conflicts, 1)
	assert.Contains(t, l.Conflicts[0].Message, "two copies differ")
}

// Writes and syncs to a directory may fail for a while. A segment that can't be opened on rotation is opened by a later write, and the
// lines lost in between are recorded as a gap.
func TestWritingResumesAfterFolderErrorOnRotation(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "audit")
	s := startSegments(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(intervalLine(1)))
	require.NoError(t, os.Rename(dir, dir+".away"))
	assert.Error(t, s.Rotate())
	for i := 2; i <= 4; i++ {
		assert.Error(t, s.Write(intervalLine(i)))
	}
	assert.NoError(t, s.Sync(), "no segment is open")
	require.NoError(t, os.Rename(dir+".away", dir))
	require.NoError(t, s.Write(intervalLine(5)))
	require.NoError(t, s.Rotate())
	require.NoError(t, s.Write(intervalLine(6)))
	require.NoError(t, s.Close())
	_, notes := verifyLogs(t, dir)
	assert.Contains(t, fmt.Sprint(notes), "3 lines could not be written")
}

func TestSyncErrorOnRotationLosesNoLaterLine(t *testing.T) {
	dir := t.TempDir()
	s := startSegments(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(intervalLine(1)))
	read, write, err := os.Pipe() // a pipe can't be synced
	require.NoError(t, err)
	defer read.Close()
	working := s.open.index
	s.open.index = write
	assert.Error(t, s.Rotate())
	require.NoError(t, working.Close())
	require.NoError(t, s.Write(intervalLine(2)))
	require.NoError(t, s.Close())
	verifyLogs(t, dir)
}

// Guards against a hash chain that restarts after a crash in which a segment got no complete line. Verification would take such a log for
// an old copy.
func TestHashChainContinuesAfterSegmentsWithoutCompleteLine(t *testing.T) {
	for name, left := range map[string]string{"no byte": "", "part of a line": `{"n":2,"at":1`} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, startSegments(t, dir, 4096, 16<<10).Close())
			for range 2 { // two crashes in a row
				names, err := ListSegments(dir, "n1")
				require.NoError(t, err)
				path := filepath.Join(dir, audit.SegmentName("n1", uint64(len(names)+1)))
				require.NoError(t, os.WriteFile(path+audit.LogSuffix, []byte(left), 0o600))
				require.NoError(t, os.WriteFile(path+audit.IndexSuffix, nil, 0o600))
			}
			s := startSegments(t, dir, 4096, 16<<10)
			require.NoError(t, s.Write(intervalLine(1)))
			require.NoError(t, s.Close())
			verifyLogs(t, dir)
		})
	}
}
