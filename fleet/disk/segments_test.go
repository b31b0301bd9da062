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

func span(i int) (*audit.Line, []byte) {
	s := audit.Interval{Number: uint32(i), Outcomes: make([][front.StatusCount]uint32, 1)}
	for k := range 5 {
		s.IDs = append(s.IDs, audit.HashID(fmt.Appendf(nil, "t%d-%d", i, k)))
	}
	ids, hash := audit.EncodeIndex(&s)
	return &audit.Line{Event: audit.EventInterval, Front: "n1", Incarnation: 7, Index: 3, At: int64(i) * 1000, Interval: uint32(i), Start: int64(i) * 1000, End: int64(i+1) * 1000,
		Requests: 5, Outcomes: [][]uint32{{5, 0, 0, 0, 0}}, IndexHash: hash}, ids
}

func begun(t *testing.T, dir string, size, budget int64) *Segments {
	s, err := OpenSegments(dir, "n1", size, budget)
	require.NoError(t, err)
	s.Stamp = func(l *audit.Line) { l.Front, l.Incarnation, l.At, l.Index = "n1", 7, 1, 3 }
	require.NoError(t, s.Write(&audit.Line{Event: audit.EventProcessStarted, Front: "n1", Incarnation: 7, Index: 3, At: 1, MaxClockError: 1 << 40}, nil))
	return s
}

func verified(t *testing.T, dirs ...string) (l *AuditLogs, notes []string) {
	l, err := OpenAuditLogs(dirs...)
	require.NoError(t, err)
	_, found := audit.ReadLogs(l)
	for _, f := range append(found, l.Conflicts...) {
		assert.False(t, f.Violation, f)
		notes = append(notes, f.Message)
	}
	return l, notes
}

func TestAuditsStayWithinTheirBudgetAndEveryTxnIsFound(t *testing.T) {
	dir := t.TempDir()
	s := begun(t, dir, 4096, 16<<10)
	for i := 1; i <= 200; i++ {
		require.NoError(t, s.Write(span(i)))
	}
	require.NoError(t, s.Write(&audit.Line{Event: audit.EventProcessStopped, Front: "n1", Incarnation: 7, Index: 3, At: 1 << 40}, nil))
	require.NoError(t, s.Close())
	l, _ := verified(t, dir)
	sum := int64(0)
	for _, n := range l.Names() {
		for _, end := range []string{audit.LogSuffix, audit.IndexSuffix} {
			at, err := os.Stat(filepath.Join(dir, n+end))
			require.NoError(t, err)
			sum += at.Size()
		}
	}
	assert.LessOrEqual(t, sum, int64(22<<10), "the budget, and a segment in hand")
	hits, err := l.Find("t200-3")
	require.NoError(t, err)
	require.Len(t, hits, 1)
	assert.EqualValues(t, 200, hits[0].Span)
	hits, _ = l.Find("t9999-1")
	assert.Empty(t, hits)
}

func TestATornTailIsCutAndToldAndTheChainGoesOn(t *testing.T) {
	dir := t.TempDir()
	s := begun(t, dir, 1<<20, 1<<24)
	for i := 1; i <= 3; i++ {
		require.NoError(t, s.Write(span(i)))
	}
	s.lines.Close()
	s.ids.Close() // it crashed
	path := filepath.Join(dir, "n1.00000001"+audit.LogSuffix)
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, b[:len(b)-9], 0o600))
	s, err = OpenSegments(dir, "n1", 1<<20, 1<<24)
	require.NoError(t, err)
	s.Stamp = func(l *audit.Line) { l.Front, l.Incarnation, l.At, l.Index = "n1", 8, 9000, 3 }
	require.NoError(t, s.Write(&audit.Line{Event: audit.EventProcessStarted, Front: "n1", Incarnation: 8, Index: 3, At: 9000, MaxClockError: 1 << 40}, nil))
	require.NoError(t, s.Close())
	_, notes := verified(t, dir)
	assert.Contains(t, fmt.Sprint(notes), "a torn tail of")
}

// A disk that is full: service goes on, and the gap is itself told once there is room.
func TestAFullDiskLeavesAGapThatIsTold(t *testing.T) {
	dir := t.TempDir()
	s := begun(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(span(1)))
	was := s.lines
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	if err != nil {
		t.Skip("no /dev/full here")
	}
	s.lines = full
	for i := 2; i <= 4; i++ {
		assert.ErrorContains(t, s.Write(span(i)), "no space left on device")
	}
	s.lines = was
	require.NoError(t, s.Write(span(5)))
	require.NoError(t, s.Close())
	_, notes := verified(t, dir)
	assert.Contains(t, fmt.Sprint(notes), "3 lines could not be written")
}

func TestAnExportWhoseReceiptIsLostIsNoSecondOneAndAnotherLogIsNoFirst(t *testing.T) {
	dir, out := t.TempDir(), t.TempDir()
	s := begun(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(span(1)))
	require.NoError(t, s.Close())
	for range 2 {
		require.NoError(t, ExportSegment(dir, "n1.00000001", out))
	}
	files, err := os.ReadDir(out)
	require.NoError(t, err)
	assert.Len(t, files, 2, "its lines and its index, once")

	other := t.TempDir() // a second front of that name, or the first one restored
	s = begun(t, other, 1<<20, 1<<24)
	require.NoError(t, s.Write(span(2)))
	require.NoError(t, s.Close())
	assert.ErrorContains(t, ExportSegment(other, "n1.00000001", out), "is there already, and with other content")
	l, err := OpenAuditLogs(other, out)
	require.NoError(t, err)
	require.Len(t, l.Conflicts, 1)
	assert.Contains(t, l.Conflicts[0].Message, "two copies differ")
}

// TERMS.md: "Where a folder lasts: writes and syncs to it may fail for a while". A segment that cannot be begun is begun later, and
// what was not written meanwhile is told.
func TestAFolderThatFailsForAWhileWhereASegmentIsTurnedIsWrittenAgain(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "audit")
	s := begun(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(span(1)))
	require.NoError(t, os.Rename(dir, dir+".away"))
	assert.Error(t, s.Rotate())
	for i := 2; i <= 4; i++ {
		assert.Error(t, s.Write(span(i)))
	}
	assert.NoError(t, s.Sync(), "nothing is open")
	require.NoError(t, os.Rename(dir+".away", dir))
	require.NoError(t, s.Write(span(5)))
	require.NoError(t, s.Rotate())
	require.NoError(t, s.Write(span(6)))
	require.NoError(t, s.Close())
	_, notes := verified(t, dir)
	assert.Contains(t, fmt.Sprint(notes), "3 lines could not be written")
}

// A sync that fails where a segment is closed costs no line behind it.
func TestASyncThatFailsWhereASegmentIsTurnedCostsNoLineBehindIt(t *testing.T) {
	dir := t.TempDir()
	s := begun(t, dir, 1<<20, 1<<24)
	require.NoError(t, s.Write(span(1)))
	read, write, err := os.Pipe() // which cannot be synced
	require.NoError(t, err)
	defer read.Close()
	was := s.ids
	s.ids = write
	assert.Error(t, s.Rotate())
	was.Close()
	require.NoError(t, s.Write(span(2)))
	require.NoError(t, s.Close())
	verified(t, dir)
}
