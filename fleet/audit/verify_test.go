package audit

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Makes twenty-one kinds of violations, one at a time. Each must be found at its place.
func TestViolationsAreFoundAtTheirPlace(t *testing.T) {
	edit := func(m memoryLogs, name string, call func(lines []string) []string) {
		lines := strings.SplitAfter(strings.TrimSuffix(string(m.lines[name]), "\n")+"\n", "\n")
		m.lines[name] = []byte(strings.Join(call(lines[:len(lines)-1]), ""))
	}
	relink := func(m memoryLogs, front string, change func(l *Line)) { // writes a valid chain again: the violation is in what the lines say
		c := HashChain{}
		for _, name := range m.Names() {
			if !strings.HasPrefix(name, front+".") {
				continue
			}
			out := []byte{}
			c.StartSegment()
			for _, text := range strings.Split(strings.TrimSpace(string(m.lines[name])), "\n") {
				var l Line
				if json.Unmarshal([]byte(text), &l) == nil {
					change(&l)
					out = append(out, c.Append(&l)...)
				}
			}
			m.lines[name] = out
		}
	}
	for name, x := range map[string]struct {
		violate func(m memoryLogs)
		want    string
	}{
		"a line removed": {func(m memoryLogs) {
			edit(m, "n1.00000002", func(l []string) []string { return append(l[:1:1], l[2:]...) })
		}, "n1.00000002:2: wrong: lines 6 to 6 are missing before this line"},
		"a line changed": {func(m memoryLogs) {
			edit(m, "n1.00000002", func(l []string) []string {
				l[1] = strings.Replace(l[1], `"txns":4`, `"txns":5`, 1)
				return l
			})
		}, "n1.00000002:2: wrong: line 6 does not match its hash"},
		"a line duplicated": {func(m memoryLogs) {
			edit(m, "n1.00000001", func(l []string) []string { return slices.Insert(l, 2, l[1]) })
		}, "n1.00000001:3: wrong: line 2 is duplicated"},
		"a line moved": {func(m memoryLogs) {
			edit(m, "n1.00000001", func(l []string) []string { l[1], l[2] = l[2], l[1]; return l })
		}, "n1.00000001:3: wrong: line 2 follows line 3: it was moved"},
		"a line of another front": {func(m memoryLogs) {
			edit(m, "n1.00000001", func(l []string) []string {
				return append(l, strings.SplitAfter(string(m.lines["n2.00000002"]), "\n")[0])
			})
		}, "n1.00000001:5: wrong: the line belongs to front n2"},
		"a segment removed": {func(m memoryLogs) { delete(m.lines, "n1.00000002") }, "n1.00000002: wrong: the segment is missing"},
		"a segment replaced by another": {func(m memoryLogs) { m.lines["n1.00000002"] = m.lines["n1.00000001"] },
			"n1.00000002:1: wrong: the segment does not continue the previous one"},
		"an incomplete last line": {func(m memoryLogs) {
			m.lines["n1.00000003"] = m.lines["n1.00000003"][:len(m.lines["n1.00000003"])-200]
		}, "the line can't be read: it is truncated"},
		"not a line": {func(m memoryLogs) {
			edit(m, "n1.00000001", func(l []string) []string { l[1] = "nonsense\n"; return l })
		}, "n1.00000001:2: wrong: the line can't be read"},
		"an index changed": {func(m memoryLogs) {
			b := slices.Clone(m.ids["n1.00000001"])
			b[headSize+2] ^= 1
			m.ids["n1.00000001"] = b
		}, "n1.00000001:2: wrong: the index of interval 1 does not match its hash"},
		"an index removed":      {func(m memoryLogs) { delete(m.ids, "n2.00000001") }, "n2.00000001:2: wrong: the index of the line's requests is missing"},
		"an index truncated":    {func(m memoryLogs) { m.ids["n1.00000001"] = m.ids["n1.00000001"][:60] }, "the index does not have the requests of interval 2"},
		"overlapping intervals": {func(m memoryLogs) { relink(m, "n1", func(l *Line) { l.Start -= 300 * int64(l.Interval/5) }) }, "interval 5 starts 300 µs before the end of the previous one"},
		"a time between intervals": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 5 {
					l.Start += 900
				}
			})
		}, "between intervals 4 and 5, 900 µs are missing"},
		"an interval beyond its configuration lease": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 4 {
					l.ConfigLeaseExpiry -= 9000
				}
			})
		}, "interval 4 uses version 1 until 40000, and its configuration lease expired at 31500"},
		"a version that was not adopted": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 2 {
					l.Version = 4
				}
			})
		}, "interval 2 uses version 4, and no line records its adoption"},
		"requests without an outcome": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 2 {
					l.Outcomes[0][0]--
				}
			})
		}, "interval 2 accepted 4 requests, and 3 have an outcome"},
		"a clock that was set back": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval > 4 {
					l.At -= 3_600_000_000
				}
			})
		}, "before that of the previous line, and the configured clock error is"},
		"an older replicated state": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Event == EventVersionAdopted {
					l.Index = 4
				}
			})
		}, "its replicated state is at index 4, and was at index 10 before"},
		"two fronts with one name": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 5 {
					l.Incarnation = 8
				}
			})
		}, "the line is of another process while the previous one still runs: two fronts have one name"},
		"restored from an old copy": {func(m memoryLogs) { // the front continued after segment 1, beside the segments that it wrote before
			c := HashChain{Sequence: 4, LastHash: lastHash(t, m.lines["n1.00000001"])}
			testLog{"n1", 8, 5, 3}.write(m, &c)
		}, "restored from an old copy, or two fronts have one name"},
	} {
		t.Run(name, func(t *testing.T) {
			m := twoFrontsLogs()
			x.violate(m)
			_, findings := ReadLogs(m)
			assert.Contains(t, strings.Join(findingTexts(findings), "\n"), x.want)
			assert.True(t, slices.ContainsFunc(findings, func(f Finding) bool { return f.Violation }))
		})
	}
}

func TestRecordedLossIsNoViolation(t *testing.T) {
	m := newMemoryLogs()
	c := &HashChain{}
	last := testLog{"n1", 7, 1, 6}.write(m, c)
	c.StartSegment()
	name := SegmentName("n1", last+1)
	for _, l := range []*Line{{Event: EventProcessStarted, Incarnation: 9}, {Event: EventTailTruncated, Lost: 12}, {Event: EventLinesLost, Lost: 3, Reason: "no space left on device"},
		{Event: EventSegmentRemoved, Name: "n1.00000001"}} {
		l.Front, l.At, l.Incarnation, l.Index = "n1", 5_000_000, 9, 12
		m.lines[name] = append(m.lines[name], c.Append(l)...)
	}
	m.ids[name] = nil
	delete(m.lines, "n1.00000001")
	_, findings := ReadLogs(m)
	var messages []string
	for _, f := range findings {
		assert.False(t, f.Violation, f)
		messages = append(messages, f.Message)
	}
	assert.Equal(t, []string{"a torn tail of 12 bytes was cut off", "3 lines could not be written: no space left on device",
		"the log is not closed: the front still runs, or its process crashed"}, messages)
}
