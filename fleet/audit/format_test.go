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

// The files in testdata were written by version 0.3.0 and must not be regenerated. They guard against a change of the format: logs of all
// versions are read, and operators' tools depend on the keys.

func testdata(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	return b
}

// sampleLog returns the log that testdata holds: one front's, over two segments, with a line of each event and each key.
func sampleLog() memoryLogs {
	m := newMemoryLogs()
	chain := &HashChain{}
	index, hash := EncodeIndex(&Interval{Number: 1, IDs: []uint64{HashID([]byte("order-1")), HashID([]byte("order-2")), HashID([]byte("order-3"))}})
	for segment, lines := range [][]*Line{
		{
			{Event: EventProcessStarted, Program: "0.13.0", RequestTypes: []string{"browse", "book <a&b>"}, MaxClockError: 50_000, Version: 3, RulesHash: "00112233aabbccdd"},
			{Event: EventLeaseAcquired, Lease: "list", Term: 4},
			{Event: EventVersionAdopted, Version: 4, RulesHash: "8899"},
			{Event: EventVersionRejected, Version: 5, Reason: "its limits are others"},
			{Event: EventInterval, Interval: 1, Start: 1_699_999_999_000_000, End: 1_700_000_000_000_000, ConfigLeaseExpiry: 1_700_000_000_500_000, Version: 4, EndpointListVersions: []int64{10, 11},
				Requests: 3, Outcomes: [][]uint32{{1, 0, 1, 0, 0}, {0, 1, 0, 0, 0}}, IndexOffset: 1, IndexHash: hash},
		}, {
			{Event: EventLeaseEnded, Lease: "list", Term: 4, LeaseActions: 17, Reason: "released"},
			{Event: EventConfigLeaseAcquired, End: 1_700_000_001_000_000},
			{Event: EventConfigLeaseExpired, End: 1_700_000_001_000_000},
			{Event: EventLinesLost, Lost: 3, Reason: "no space left on device"},
			{Event: EventTailTruncated, Lost: 12},
			{Event: EventSegmentRemoved, Name: "n1.00000000"},
			{Event: EventRolloutChanged, Version: 5, Reason: "rolling of 4 to 5"},
			{Event: EventInterval, Interval: 2, Start: 1_700_000_000_000_000, End: 1_700_000_002_000_000, Standby: true, Version: 4, EndpointListVersions: []int64{11, 11}, Outcomes: [][]uint32{{0, 0, 0, 0, 0}}},
			{Event: EventProcessStopped},
		},
	} {
		name := SegmentName("n1", uint64(segment+1))
		chain.StartSegment()
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
	m := sampleLog()
	for _, name := range []string{"n1.00000001", "n1.00000002"} {
		assert.Equal(t, string(testdata(t, name+".audit")), string(m.lines[name]), name)
		assert.Equal(t, testdata(t, name+".ids"), m.ids[name], name)
	}
}

func TestLogOfVersion030IsRead(t *testing.T) {
	m := newMemoryLogs()
	for _, name := range []string{"n1.00000001", "n1.00000002"} {
		m.lines[name], m.ids[name] = testdata(t, name+LogSuffix), testdata(t, name+IndexSuffix)
	}
	logs, findings := ReadLogs(m)
	assert.Equal(t, []string{"n1.00000002:4: note: 3 lines could not be written: no space left on device", "n1.00000002:5: note: a torn tail of 12 bytes was cut off"}, findingTexts(findings))
	require.Len(t, logs, 1)
	var events []string
	for _, l := range logs[0].Lines {
		events = append(events, l.Event)
	}
	assert.Equal(t, "opened,held,adopted,refused,span,let go,right,lapsed,gap,cut,dropped,turned,span,closed", strings.Join(events, ","))
	assert.Equal(t, "n1.00000001", logs[0].Lines[4].Segment)
	interval := logs[0].Lines[4].Line
	assert.Equal(t, Line{Sequence: 5, At: 1_700_000_000_004_000, Event: EventInterval, Front: "n1", Incarnation: 7, Index: 12, Version: 4, Interval: 1, Start: 1_699_999_999_000_000,
		End: 1_700_000_000_000_000, ConfigLeaseExpiry: 1_700_000_000_500_000, EndpointListVersions: []int64{10, 11}, Outcomes: [][]uint32{{1, 0, 1, 0, 0}, {0, 1, 0, 0, 0}}, Requests: 3,
		IndexOffset: 1, IndexHash: interval.IndexHash, Hash: interval.Hash}, interval)
	uses := VersionUses(logs)
	require.Len(t, uses, 2)
	assert.Equal(t, VersionUse{Front: "n1", Incarnation: 7, Version: 4, Start: 1_700_000_000_002_000, End: 1_700_000_000_018_000, MaxClockError: 50_000,
		Outcomes: [front.StatusCount]uint32{1, 1, 1}, EndpointListVersions: [2]int64{11, 11}, LeaseExpirations: 1}, uses[1])
	b := m.ids["n1.00000001"]
	number, ids, ok := DecodeIndexHead(b)
	assert.True(t, ok)
	assert.EqualValues(t, 1, number)
	read := func(off int64, n int) ([]byte, error) { return b[off : off+int64(n)], nil }
	for id, want := range map[string]bool{"order-1": true, "order-3": true, "order-4": false} {
		got, err := FindID(HashID([]byte(id)), ids, IndexSize(0), read)
		require.NoError(t, err)
		assert.Equal(t, want, got, id)
	}
}

// Guards against a change of the messages between a front that collects logs and the others.
func TestCollectionMessagesAreThoseOfVersion030(t *testing.T) {
	namesRequest, chunkRequest := FetchRequest{After: "n1.00000004"}, FetchRequest{Name: "n1.00000005", Index: true, Offset: 32768}
	namesResponse, chunkResponse := FetchResponse{Request: namesRequest, Names: []string{"n1.00000005"}}, FetchResponse{Request: chunkRequest, Total: 32770, Data: []byte{1, 2}, Removed: true}
	lines := strings.Fields(string(testdata(t, "messages.txt")))
	for i, got := range [][]byte{namesRequest.Encode(), chunkRequest.Encode(), namesResponse.Encode(), chunkResponse.Encode()} {
		require.Greater(t, len(lines), i)
		assert.Equal(t, lines[i], hex.EncodeToString(got))
	}
	require.Len(t, lines, 4)
	for i, want := range []any{&namesRequest, &chunkRequest, &namesResponse, &chunkResponse} {
		b, err := hex.DecodeString(lines[i])
		require.NoError(t, err)
		q, r := DecodeDatagram(b)
		if i < 2 {
			assert.Equal(t, want, q)
			assert.Nil(t, r)
			continue
		}
		assert.Equal(t, want, r)
		assert.Nil(t, q)
	}
}
