package audit

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
)

// The files in testdata were written by version 0.3.0, and are never written again: logs of all versions are read, and operators'
// tools know their keys.

func testdata(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	return b
}

// formatLog is a front's log with a line of each kind and each key, over two segments; it is what testdata holds.
func formatLog() memory {
	m := memory{map[string][]byte{}, map[string][]byte{}}
	chain := &Chain{}
	index, hash := Index(&Span{Number: 1, IDs: []uint64{Hash([]byte("order-1")), Hash([]byte("order-2")), Hash([]byte("order-3"))}})
	for segment, lines := range [][]*Line{
		{
			{What: Opened, Program: "0.13.0", Kinds: []string{"browse", "book <a&b>"}, Clock: 50_000, Version: 3, Meaning: "00112233aabbccdd"},
			{What: Held, Lease: "list", Term: 4},
			{What: Adopted, Version: 4, Meaning: "8899"},
			{What: Refused, Version: 5, Why: "its limits are others"},
			{What: InSpan, Span: 1, From: 1_699_999_999_000_000, Until: 1_700_000_000_000_000, Right: 1_700_000_000_500_000, Version: 4, List: []int64{10, 11},
				Requests: 3, Ended: [][]uint32{{1, 0, 1, 0, 0}, {0, 1, 0, 0, 0}}, IDs: 1, IDsHash: hash},
		}, {
			{What: Let, Lease: "list", Term: 4, Acts: 17, Why: "released"},
			{What: Right, Until: 1_700_000_001_000_000},
			{What: Lapsed, Until: 1_700_000_001_000_000},
			{What: Gap, Lost: 3, Why: "no space left on device"},
			{What: Cut, Lost: 12},
			{What: Dropped, Name: "n1.00000000"},
			{What: Turned, Version: 5, Why: "rolling of 4 to 5"},
			{What: InSpan, Span: 2, From: 1_700_000_000_000_000, Until: 1_700_000_002_000_000, Standby: true, Version: 4, List: []int64{11, 11}, Ended: [][]uint32{{0, 0, 0, 0, 0}}},
			{What: Closed},
		},
	} {
		name := SegmentName("n1", uint64(segment+1))
		chain.Segment()
		for i, l := range lines {
			l.Front, l.Incarnation, l.At, l.Index = "n1", 7, 1_700_000_000_000_000+int64(1000*(10*segment+i)), 12
			m.lines[name] = append(m.lines[name], chain.Append(l)...)
		}
		m.ids[name] = []byte{}
	}
	m.ids["n1.00000001"] = index
	return m
}

func TestLogIsWrittenAsByVersion030(t *testing.T) {
	m := formatLog()
	for _, name := range []string{"n1.00000001", "n1.00000002"} {
		assert.Equal(t, string(testdata(t, name+".audit")), string(m.lines[name]), name)
		assert.Equal(t, testdata(t, name+".ids"), m.ids[name], name)
	}
}

func TestLogOfVersion030IsRead(t *testing.T) {
	m := memory{map[string][]byte{}, map[string][]byte{}}
	for _, name := range []string{"n1.00000001", "n1.00000002"} {
		m.lines[name], m.ids[name] = testdata(t, name+LinesEnd), testdata(t, name+IDsEnd)
	}
	all, found := Read(m)
	var said []string
	for _, f := range found {
		said = append(said, f.String())
	}
	assert.Equal(t, []string{"n1.00000002:4: note: 3 lines could not be written: no space left on device", "n1.00000002:5: note: a torn tail of 12 bytes was cut off"}, said)
	require.Len(t, all, 1)
	var what []string
	for _, l := range all[0].Lines {
		what = append(what, l.What)
	}
	assert.Equal(t, "opened,held,adopted,refused,span,let go,right,lapsed,gap,cut,dropped,turned,span,closed", strings.Join(what, ","))
	assert.Equal(t, "n1.00000001", all[0].Lines[4].Segment)
	span := all[0].Lines[4].Line
	assert.Equal(t, Line{N: 5, At: 1_700_000_000_004_000, What: InSpan, Front: "n1", Incarnation: 7, Index: 12, Version: 4, Span: 1, From: 1_699_999_999_000_000,
		Until: 1_700_000_000_000_000, Right: 1_700_000_000_500_000, List: []int64{10, 11}, Ended: [][]uint32{{1, 0, 1, 0, 0}, {0, 1, 0, 0, 0}}, Requests: 3,
		IDs: 1, IDsHash: span.IDsHash, Chain: span.Chain}, span)
	uses := Uses(all)
	require.Len(t, uses, 2)
	assert.Equal(t, Use{Front: "n1", Incarnation: 7, Version: 4, From: 1_700_000_000_002_000, Until: 1_700_000_000_018_000, Clock: 50_000,
		Ended: [front.StatusCount]uint32{1, 1, 1}, List: [2]int64{11, 11}, Lapses: 1}, uses[1])
	b := m.ids["n1.00000001"]
	number, ids, ok := Head(b)
	assert.True(t, ok)
	assert.EqualValues(t, 1, number)
	read := func(off int64, n int) ([]byte, error) { return b[off : off+int64(n)], nil }
	for id, want := range map[string]bool{"order-1": true, "order-3": true, "order-4": false} {
		got, err := Find(Hash([]byte(id)), ids, Size(0), read)
		require.NoError(t, err)
		assert.Equal(t, want, got, id)
	}
}

// The messages between a front that collects logs and the others, by version 0.3.0.
func TestCollectionMessagesAreThoseOfVersion030(t *testing.T) {
	list, piece := Question{Behind: "n1.00000004"}, Question{Name: "n1.00000005", IDs: true, At: 32768}
	listed, came := Reply{Asked: list, Names: []string{"n1.00000005"}}, Reply{Asked: piece, Total: 32770, Data: []byte{1, 2}, Gone: true}
	lines := strings.Fields(string(testdata(t, "messages.txt")))
	for i, got := range [][]byte{list.Encode(), piece.Encode(), listed.Encode(), came.Encode()} {
		require.Greater(t, len(lines), i)
		assert.Equal(t, lines[i], hex.EncodeToString(got))
	}
	require.Len(t, lines, 4)
	for i, want := range []any{&list, &piece, &listed, &came} {
		b, err := hex.DecodeString(lines[i])
		require.NoError(t, err)
		q, r := ReadPost(b)
		if i < 2 {
			assert.Equal(t, want, q)
			assert.Nil(t, r)
			continue
		}
		assert.Equal(t, want, r)
		assert.Nil(t, q)
	}
}
