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

// intervalLine is the line of an interval with 5 requests, and its part of the index.
func intervalLine(i int) (*audit.Line, []byte) {
	s := audit.Interval{Number: uint32(i), Outcomes: make([][front.StatusCount]uint32, 1)}
	for k := range 5 {
		s.IDs = append(s.IDs, audit.HashID(fmt.Appendf(nil, "t%d-%d", i, k)))
	}
	ids, hash := audit.EncodeIndex(&s)
	return &audit.Line{Event: audit.EventInterval, Front: "n1", Incarnation: 7, Index: 3, At: int64(i) * 1000, Interval: uint32(i), Start: int64(i) * 1000, End: int64(i+1) * 1000,
		Requests: 5, Outcomes: [][]uint32{{5, 0, 0, 0, 0}}, IndexHash: hash}, ids
}

// startedSegments opens the log of the front n1 and writes its first line.
func startedSegments(t *testing.T, dir string, segmentBytes, maxTotalBytes int64) *Segments {
	t.Helper()
	s, err := OpenSegments(dir, "n1", segmentBytes, maxTotalBytes)
	require.NoError(t, err)
	s.Stamp = func(l *audit.Line) { l.Front, l.Incarnation, l.At, l.Index = "n1", 7, 1, 3 }
	require.NoError(t, s.Write(&audit.Line{Event: audit.EventProcessStarted, Front: "n1", Incarnation: 7, Index: 3, At: 1, MaxClockError: 1 << 40}, nil))
	return s
}

// verify reads the logs of folders, in which nothing may be wrong; notes are the findings.
func verify(t *testing.T, dirs ...string) (l *AuditLogs, notes []string) {
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
	s := startedSegments(t, dir, 4096, 16<<10)
	for i := 1; i <= 200; i++ {
		require.NoError(t, s.Write(intervalLine(i)))
	}
	require.NoError(t, s.Write(&audit.Line{Event: audit.EventProcessStopped, Front: "n1", Incarnation: 7, Index: 3, At: 1 << 40}, nil))
	require.NoError(t, s.Close())
	l, _ := verify(t, dir)
	sum := int64(0)
	for _, n := range l.Names() {
		for _, end := range []string{audit.LogSuffix, audit.IndexSuffix} {
			at, err := os.Stat(filepath.Join(dir, n+end))
			require.NoError(t, err)
			sum += at.Size()
		}
	}
	assert.LessOrEqual(t, sum, int64(22<<10), "the maximum, and the open segment")
	hits, unread := l.Find("t200-3")
	assert.Empty(t, unread)
	require.Len(t, hits, 1)
	assert.EqualValues(t, 200, hits[0].Interval)
	hits, _ = l.Find("t9999-1")
	assert.Empty(t, hits)
}

func TestIncompleteTailIsRemovedAndRecorded(t *testing.T) {
	dir := t.TempDir()
	s := startedSegments(t, dir, 1<<20, 1<<24)
	for i := 1; i <= 3; i++ {
		require.NoError(t, s.Write(intervalLine(i)))
	}
	require.NoError(t, s.open.log.Close())
	require.NoError(t, s.open.index.Close()) // it crashed
	path := filepath.Join(dir, "n1.00000001"+audit.LogSuffix)
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, b[:len(b)-9], 0o600))
	s, err = OpenSegments(dir, "n1", 1<<20, 1<<24)
	require.NoError(t, err)
	s.Stamp = func(l *audit.Line) { l.Front, l.Incarnation, l.At, l.Index = "n1", 8, 9000, 3 }
	require.NoError(t, s.Write(&audit.Line{Event: audit.EventProcessStarted, Front: "n1", Incarnation: 8, Index: 3, At: 9000, MaxClockError: 1 << 40}, nil))
	require.NoError(t, s.Close())
	_, notes := verify(t, dir)
	assert.Contains(t, fmt.Sprint(notes), "a torn tail of")
}

// The lines that a full disk did not take are recorded as a gap once there is space.
func TestFullDiskIsRecordedAsGap(t *testing.T) {
	dir := t.TempDir()
	s := startedSegments(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(intervalLine(1)))
	working := s.open.log
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip("no /dev/full here")
	}
	s.open.log = full
	for i := 2; i <= 4; i++ {
		assert.ErrorContains(t, s.Write(intervalLine(i)), "no space left on device")
	}
	s.open.log = working
	require.NoError(t, s.Write(intervalLine(5)))
	require.NoError(t, s.Close())
	_, notes := verify(t, dir)
	assert.Contains(t, fmt.Sprint(notes), "3 lines could not be written")
}

func TestExportIsIdempotentAndNeverOverwrites(t *testing.T) {
	dir, out := t.TempDir(), t.TempDir()
	s := startedSegments(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(intervalLine(1)))
	require.NoError(t, s.Close())
	for range 2 {
		require.NoError(t, ExportSegment(dir, "n1.00000001", out))
	}
	files, err := os.ReadDir(out)
	require.NoError(t, err)
	assert.Len(t, files, 2, "its lines and its index, once")

	other := t.TempDir() // a second front of that name, or the first one restored
	s = startedSegments(t, other, 1<<20, 1<<24)
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

// TERMS.md: "Where a folder lasts: writes and syncs to it may fail for a while". A segment that cannot be opened is opened later, and
// the lines that were not written meanwhile are recorded as a gap.
func TestWritingResumesAfterFolderErrorOnRotation(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "audit")
	s := startedSegments(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(intervalLine(1)))
	require.NoError(t, os.Rename(dir, dir+".away"))
	assert.Error(t, s.Rotate())
	for i := 2; i <= 4; i++ {
		assert.Error(t, s.Write(intervalLine(i)))
	}
	assert.NoError(t, s.Sync(), "nothing is open")
	require.NoError(t, os.Rename(dir+".away", dir))
	require.NoError(t, s.Write(intervalLine(5)))
	require.NoError(t, s.Rotate())
	require.NoError(t, s.Write(intervalLine(6)))
	require.NoError(t, s.Close())
	_, notes := verify(t, dir)
	assert.Contains(t, fmt.Sprint(notes), "3 lines could not be written")
}

func TestSyncErrorOnRotationLosesNoLaterLine(t *testing.T) {
	dir := t.TempDir()
	s := startedSegments(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(intervalLine(1)))
	read, write, err := os.Pipe() // which cannot be synced
	require.NoError(t, err)
	defer read.Close()
	working := s.open.index
	s.open.index = write
	assert.Error(t, s.Rotate())
	require.NoError(t, working.Close())
	require.NoError(t, s.Write(intervalLine(2)))
	require.NoError(t, s.Close())
	verify(t, dir)
}

// Guards against an audit that begins anew, and is held for an old copy, behind a crash before the first line of a segment was whole.
func TestAuditContinuesBehindSegmentsWithoutALine(t *testing.T) {
	for name, left := range map[string]string{"no byte": "", "part of a line": `{"n":2,"at":1`} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, startedSegments(t, dir, 4096, 16<<10).Close())
			for range 2 { // it crashes twice in a row
				names, err := ListSegments(dir, "n1")
				require.NoError(t, err)
				path := filepath.Join(dir, audit.SegmentName("n1", uint64(len(names)+1)))
				require.NoError(t, os.WriteFile(path+audit.LogSuffix, []byte(left), 0o600))
				require.NoError(t, os.WriteFile(path+audit.IndexSuffix, nil, 0o600))
			}
			s := startedSegments(t, dir, 4096, 16<<10)
			require.NoError(t, s.Write(intervalLine(1)))
			require.NoError(t, s.Close())
			verify(t, dir)
		})
	}
}
