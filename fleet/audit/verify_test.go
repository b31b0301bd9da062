package audit

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Twenty-one kinds of violations, made one at a time: each is found at its place.
func TestViolationsAreFoundAtTheirPlace(t *testing.T) {
	edit := func(m memoryLogs, name string, call func(lines []string) []string) {
		lines := strings.SplitAfter(strings.TrimSuffix(string(m.lines[name]), "\n")+"\n", "\n")
		m.lines[name] = []byte(strings.Join(call(lines[:len(lines)-1]), ""))
	}
	relink := func(m memoryLogs, front string, change func(l *Line)) { // the chain holds again: what the lines say still has to fit
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
		}, "n1.00000002:2: wrong: lines 6 to 6 are missing before it"},
		"a line changed": {func(m memoryLogs) {
			edit(m, "n1.00000002", func(l []string) []string {
				l[1] = strings.Replace(l[1], `"txns":4`, `"txns":5`, 1)
				return l
			})
		}, "n1.00000002:2: wrong: line 6 is not what was written"},
		"a line duplicated": {func(m memoryLogs) {
			edit(m, "n1.00000001", func(l []string) []string { return slices.Insert(l, 2, l[1]) })
		}, "n1.00000001:3: wrong: line 2 stands twice"},
		"a line moved": {func(m memoryLogs) {
			edit(m, "n1.00000001", func(l []string) []string { l[1], l[2] = l[2], l[1]; return l })
		}, "n1.00000001:3: wrong: line 2 stands behind line 3: it was moved"},
		"a line of another front": {func(m memoryLogs) {
			edit(m, "n1.00000001", func(l []string) []string {
				return append(l, strings.SplitAfter(string(m.lines["n2.00000002"]), "\n")[0])
			})
		}, "n1.00000001:5: wrong: the line is of front n2"},
		"a segment removed": {func(m memoryLogs) { delete(m.lines, "n1.00000002") }, "n1.00000002: wrong: the segment is missing"},
		"a segment replaced by another": {func(m memoryLogs) { m.lines["n1.00000002"] = m.lines["n1.00000001"] },
			"n1.00000002:1: wrong: the segment does not go on where the one before it ended"},
		"an incomplete last line": {func(m memoryLogs) {
			m.lines["n1.00000003"] = m.lines["n1.00000003"][:len(m.lines["n1.00000003"])-200]
		}, "the line can't be read: torn"},
		"not a line": {func(m memoryLogs) {
			edit(m, "n1.00000001", func(l []string) []string { l[1] = "nonsense\n"; return l })
		}, "n1.00000001:2: wrong: the line can't be read"},
		"an index changed": {func(m memoryLogs) {
			b := slices.Clone(m.ids["n1.00000001"])
			b[headSize+2] ^= 1
			m.ids["n1.00000001"] = b
		}, "n1.00000001:2: wrong: the index of span 1 is not what was written"},
		"an index removed":      {func(m memoryLogs) { delete(m.ids, "n2.00000001") }, "n2.00000001:2: wrong: the index of its requests is missing"},
		"an index truncated":    {func(m memoryLogs) { m.ids["n1.00000001"] = m.ids["n1.00000001"][:60] }, "the index has not the requests of span 2"},
		"overlapping intervals": {func(m memoryLogs) { relink(m, "n1", func(l *Line) { l.Start -= 300 * int64(l.Interval/5) }) }, "span 5 begins 300 µs before the end of the one before it"},
		"a time between intervals": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 5 {
					l.Start += 900
				}
			})
		}, "between spans 4 and 5 900 µs are not told"},
		"an interval beyond its configuration lease": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 4 {
					l.ConfigLeaseExpiry -= 9000
				}
			})
		}, "span 4 acts on version 1 until 40000, and its right ended at 31500"},
		"a version that was not adopted": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 2 {
					l.Version = 4
				}
			})
		}, "span 2 acts on version 4, and the front tells of no adoption of it"},
		"requests without an outcome": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 2 {
					l.Outcomes[0][0]--
				}
			})
		}, "span 2 took 4 requests, and 3 ended"},
		"a clock that was set back": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval > 4 {
					l.At -= 3_600_000_000
				}
			})
		}, "its clock stands"},
		"an older replicated state": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Event == EventVersionAdopted {
					l.Index = 4
				}
			})
		}, "its record stands at 4, and stood at 10 before"},
		"two fronts with one name": {func(m memoryLogs) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 5 {
					l.Incarnation = 8
				}
			})
		}, "a line of another process while this one goes on: two fronts with one name"},
		"restored from an old copy": {func(m memoryLogs) { // it went on behind segment 1, and what it wrote since stands beside
			c := HashChain{Sequence: 4, LastHash: lastHash(t, m.lines["n1.00000001"])}
			testLog{"n1", 8, 5, 3}.write(m, &c)
		}, "restored from an old copy, or two fronts with one name"},
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
		"the log is not closed: the front runs, or its process died"}, messages)
}
