package audit

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplerouter/front"
)

// memoryLogs is a LogSource in memory.
type memoryLogs struct{ lines, ids map[string][]byte }

func newMemoryLogs() memoryLogs { return memoryLogs{map[string][]byte{}, map[string][]byte{}} }

func (m memoryLogs) Names() (all []string) {
	for n := range m.lines {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

func (m memoryLogs) Log(name string) ([]byte, error) { return m.lines[name], nil }

func (m memoryLogs) Index(name string) ([]byte, error) {
	if b, ok := m.ids[name]; ok {
		return b, nil
	}
	return nil, fmt.Errorf("no such file")
}

// testLog describes a log to write: a process that starts, a number of intervals, three to a segment, and the end of the process.
type testLog struct {
	front        string
	incarnation  uint64
	firstSegment uint64
	intervals    int
}

// write appends the log to a chain, and returns the number of its last segment.
func (x testLog) write(m memoryLogs, chain *HashChain) (lastSegment uint64) {
	at, ids, segment := int64(1_000_000), []byte{}, x.firstSegment
	put := func(l *Line, index []byte) {
		name := SegmentName(x.front, segment)
		if len(index) > 0 {
			l.IndexOffset = int64(len(ids)) + 1
			ids = append(ids, index...)
		}
		l.Front, l.Incarnation, l.At, l.Index = x.front, x.incarnation, at, 10
		m.lines[name] = append(m.lines[name], chain.Append(l)...)
		m.ids[name] = ids
		at += 1000
	}
	chain.StartSegment()
	put(&Line{Event: EventProcessStarted, RequestTypes: []string{"browse"}, MaxClockError: 50_000}, nil)
	for i := range x.intervals {
		s := Interval{Number: uint32(i + 1), Outcomes: make([][front.StatusCount]uint32, 1)}
		for k := range 4 {
			s.IDs = append(s.IDs, HashID(fmt.Appendf(nil, "%s-%d-%d", x.front, i, k)))
		}
		index, hash := EncodeIndex(&s)
		if i == 3 {
			put(&Line{Event: EventVersionAdopted, Version: 1, RulesHash: "m1"}, nil)
		}
		put(&Line{Event: EventInterval, Interval: s.Number, Start: int64(i) * 10_000, End: int64(i+1) * 10_000, Version: uint64(min(i/3, 1)), Requests: 4, IndexHash: hash,
			ConfigLeaseExpiry: int64(i+1)*10_000 + 500, EndpointListVersions: []int64{3, 3}, Outcomes: [][]uint32{{3, 1, 0, 0, 0}}}, index)
		if i%3 == 2 {
			segment++
			ids = nil
			chain.StartSegment()
		}
	}
	put(&Line{Event: EventProcessStopped}, nil)
	return segment
}

// twoFrontsLogs returns complete logs of the fronts n1 and n2.
func twoFrontsLogs() memoryLogs {
	m := newMemoryLogs()
	for _, name := range []string{"n1", "n2"} {
		testLog{name, 7, 1, 9}.write(m, &HashChain{})
	}
	return m
}

// lastHash returns the hash of a segment's last line.
func lastHash(t *testing.T, b []byte) string {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	var l Line
	require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &l))
	return l.Hash
}

// findingTexts returns findings as the command that verifies logs prints them.
func findingTexts(findings []Finding) (texts []string) {
	for _, f := range findings {
		texts = append(texts, f.String())
	}
	return texts
}
