package audit

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dapplerouter/front"
)

const ms = time.Millisecond

// memory is logs held in memory; it is Files.
type memory struct{ lines, ids map[string][]byte }

func (m memory) Names() (all []string) {
	for n := range m.lines {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

func (m memory) Lines(name string) ([]byte, error) { return m.lines[name], nil }

func (m memory) IDs(name string) ([]byte, error) {
	if b, ok := m.ids[name]; ok {
		return b, nil
	}
	return nil, fmt.Errorf("no such file")
}

// log writes a front's log of some spans, in segments of a few lines.
func log(m memory, name string, incarnation uint64, chain *HashChain, from uint64, spans int) (segments uint64) {
	at, ids, seg := int64(1_000_000), []byte{}, from
	put := func(l *Line, idx []byte) {
		n := SegmentName(name, seg)
		if len(idx) > 0 {
			l.IndexOffset = int64(len(ids)) + 1
			ids = append(ids, idx...)
		}
		l.Front, l.Incarnation, l.At, l.Index = name, incarnation, at, 10
		m.lines[n] = append(m.lines[n], chain.Append(l)...)
		m.ids[n] = ids
		at += 1000
	}
	chain.StartSegment()
	put(&Line{Event: EventProcessStarted, RequestTypes: []string{"browse"}, MaxClockError: 50_000}, nil)
	for i := range spans {
		s := Interval{Number: uint32(i + 1), Outcomes: make([][front.StatusCount]uint32, 1)}
		for k := range 4 {
			s.IDs = append(s.IDs, HashID(fmt.Appendf(nil, "%s-%d-%d", name, i, k)))
		}
		idx, hash := EncodeIndex(&s)
		if i == 3 {
			put(&Line{Event: EventVersionAdopted, Version: 1, RulesHash: "m1"}, nil)
		}
		put(&Line{Event: EventInterval, Interval: s.Number, Start: int64(i) * 10_000, End: int64(i+1) * 10_000, Version: uint64(min(i/3, 1)), Requests: 4, IndexHash: hash,
			ConfigLeaseExpiry: int64(i+1)*10_000 + 500, EndpointListVersions: []int64{3, 3}, Outcomes: [][]uint32{{3, 1, 0, 0, 0}}}, idx)
		if i%3 == 2 {
			seg++
			ids = nil
			chain.StartSegment()
		}
	}
	put(&Line{Event: EventProcessStopped}, nil)
	return seg
}

func logs() memory {
	m := memory{map[string][]byte{}, map[string][]byte{}}
	for _, n := range []string{"n1", "n2"} {
		log(m, n, 7, &HashChain{}, 1, 9)
	}
	return m
}

func TestAWholeLogHoldsAndAnswers(t *testing.T) {
	all, found := ReadLogs(logs())
	assert.Empty(t, found)
	require.Len(t, all, 2)
	vs := SummarizeVersions(all, VersionUses(all))
	require.Len(t, vs, 2)
	assert.Equal(t, 2, vs[1].Fronts)
	assert.Equal(t, "m1", vs[1].RulesHash)
	assert.EqualValues(t, 2*4*3, vs[0].Outcomes[front.StatusSucceeded]+vs[0].Outcomes[front.StatusRejected])
}

// Wrongs of twelve kinds and more, planted one at a time: each is named at its place.
func TestVerifyNamesWhatIsWrongAtItsPlace(t *testing.T) {
	edit := func(m memory, name string, call func(lines []string) []string) {
		lines := strings.SplitAfter(strings.TrimSuffix(string(m.lines[name]), "\n")+"\n", "\n")
		m.lines[name] = []byte(strings.Join(call(lines[:len(lines)-1]), ""))
	}
	relink := func(m memory, front string, change func(l *Line)) { // whoever can write the log can make the chain hold: what it says still has to fit
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
		plant func(m memory)
		want  string
	}{
		"a line taken out": {func(m memory) {
			edit(m, "n1.00000002", func(l []string) []string { return append(l[:1:1], l[2:]...) })
		}, "n1.00000002:2: wrong: lines 6 to 6 are missing before it"},
		"a line changed": {func(m memory) {
			edit(m, "n1.00000002", func(l []string) []string {
				l[1] = strings.Replace(l[1], `"txns":4`, `"txns":5`, 1)
				return l
			})
		}, "n1.00000002:2: wrong: line 6 is not what was written"},
		"a line doubled": {func(m memory) {
			edit(m, "n1.00000001", func(l []string) []string { return slices.Insert(l, 2, l[1]) })
		}, "n1.00000001:3: wrong: line 2 stands twice"},
		"a line moved": {func(m memory) {
			edit(m, "n1.00000001", func(l []string) []string { l[1], l[2] = l[2], l[1]; return l })
		}, "n1.00000001:3: wrong: line 2 stands behind line 3: it was moved"},
		"a line of another front": {func(m memory) {
			edit(m, "n1.00000001", func(l []string) []string {
				return append(l, strings.SplitAfter(string(m.lines["n2.00000002"]), "\n")[0])
			})
		}, "n1.00000001:5: wrong: the line is of front n2"},
		"a segment taken away": {func(m memory) { delete(m.lines, "n1.00000002") }, "n1.00000002: wrong: the segment is missing"},
		"a segment in another's place": {func(m memory) { m.lines["n1.00000002"] = m.lines["n1.00000001"] },
			"n1.00000002:1: wrong: the segment does not go on where the one before it ended"},
		"a torn tail": {func(m memory) {
			m.lines["n1.00000003"] = m.lines["n1.00000003"][:len(m.lines["n1.00000003"])-200]
		}, "the line can't be read: torn"},
		"no line at all": {func(m memory) {
			edit(m, "n1.00000001", func(l []string) []string { l[1] = "nonsense\n"; return l })
		}, "n1.00000001:2: wrong: the line can't be read"},
		"an index changed": {func(m memory) {
			b := slices.Clone(m.ids["n1.00000001"])
			b[headSize+2] ^= 1
			m.ids["n1.00000001"] = b
		}, "n1.00000001:2: wrong: the index of span 1 is not what was written"},
		"an index taken away": {func(m memory) { delete(m.ids, "n2.00000001") }, "n2.00000001:2: wrong: the index of its requests is missing"},
		"an index cut short":  {func(m memory) { m.ids["n1.00000001"] = m.ids["n1.00000001"][:60] }, "the index has not the requests of span 2"},
		"spans that overlap":  {func(m memory) { relink(m, "n1", func(l *Line) { l.Start -= 300 * int64(l.Interval/5) }) }, "span 5 begins 300 µs before the end of the one before it"},
		"a time left out": {func(m memory) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 5 {
					l.Start += 900
				}
			})
		}, "between spans 4 and 5 900 µs are not told"},
		"a span beyond a right": {func(m memory) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 4 {
					l.ConfigLeaseExpiry -= 9000
				}
			})
		}, "span 4 acts on version 1 until 40000, and its right ended at 31500"},
		"a version never taken up": {func(m memory) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 2 {
					l.Version = 4
				}
			})
		}, "span 2 acts on version 4, and the front tells of no adoption of it"},
		"requests that never ended": {func(m memory) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 2 {
					l.Outcomes[0][0]--
				}
			})
		}, "span 2 took 4 requests, and 3 ended"},
		"a clock set back": {func(m memory) {
			relink(m, "n1", func(l *Line) {
				if l.Interval > 4 {
					l.At -= 3_600_000_000
				}
			})
		}, "its clock stands"},
		"a record gone back": {func(m memory) {
			relink(m, "n1", func(l *Line) {
				if l.Event == EventVersionAdopted {
					l.Index = 4
				}
			})
		}, "its record stands at 4, and stood at 10 before"},
		"two fronts of a name": {func(m memory) {
			relink(m, "n1", func(l *Line) {
				if l.Interval == 5 {
					l.Incarnation = 8
				}
			})
		}, "a line of another process while this one goes on: two fronts with one name"},
		"restored from an old copy": {func(m memory) { // it went on behind segment 1, and what it wrote since stands beside
			c := HashChain{}
			old := memory{map[string][]byte{}, map[string][]byte{}}
			log(old, "n1", 7, &c, 1, 3)
			c.Sequence, c.LastHash = 4, lastChain(m.lines["n1.00000001"])
			log(m, "n1", 8, &c, 5, 3)
		}, "restored from an old copy, or two fronts with one name"},
	} {
		m := logs()
		x.plant(m)
		_, found := ReadLogs(m)
		var said []string
		for _, f := range found {
			said = append(said, f.String())
		}
		assert.Contains(t, strings.Join(said, "\n"), x.want, name)
		assert.True(t, slices.ContainsFunc(found, func(f Finding) bool { return f.Violation }), name)
	}
}

func lastChain(b []byte) string {
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	var l Line
	json.Unmarshal([]byte(lines[len(lines)-1]), &l)
	return l.Hash
}

func TestWhatALogItselfTellsIsMissingIsNoWrong(t *testing.T) {
	m := memory{map[string][]byte{}, map[string][]byte{}}
	c := &HashChain{}
	last := log(m, "n1", 7, c, 1, 6)
	c.StartSegment()
	n := SegmentName("n1", last+1)
	for _, l := range []*Line{{Event: EventProcessStarted, Incarnation: 9}, {Event: EventTailTruncated, Lost: 12}, {Event: EventLinesLost, Lost: 3, Reason: "no space left on device"},
		{Event: EventSegmentRemoved, Name: "n1.00000001"}} {
		l.Front, l.At, l.Incarnation, l.Index = "n1", 5_000_000, 9, 12
		m.lines[n] = append(m.lines[n], c.Append(l)...)
	}
	m.ids[n] = nil
	delete(m.lines, "n1.00000001")
	_, found := ReadLogs(m)
	var said []string
	for _, f := range found {
		assert.False(t, f.Violation, f)
		said = append(said, f.Message)
	}
	assert.Equal(t, []string{"a torn tail of 12 bytes was cut off", "3 lines could not be written: no space left on device",
		"the log is not closed: the front runs, or its process died"}, said)
}

func TestATxnCountsInTheSpanInWhichItWasTaken(t *testing.T) {
	var out []Interval
	b := NewRecorder(2, true, 0, func(s Interval) { out = append(out, s) })
	b.EndpointsChanged(1*ms, 10)
	b.LeaseChanged(10*ms, 100*ms, false)
	one := b.RequestAccepted(11*ms, []byte("a"), 0)
	b.ConfigAdopted(20*ms, 2)
	two := b.RequestAccepted(21*ms, []byte("b"), 1)
	b.RequestFinished(30*ms, two, 1, front.StatusRejected)
	assert.Len(t, out, 1, "the span of version 0 waits for its request")
	assert.True(t, out[0].Standby)
	b.RequestFinished(40*ms, one, 0, front.StatusSucceeded)
	require.Len(t, out, 2)
	assert.Equal(t, Interval{Number: 2, Start: 10 * ms, End: 20 * ms, EndpointListVersions: [2]int64{10, 10}, ConfigLeaseExpiry: 100 * ms,
		Outcomes: [][front.StatusCount]uint32{{1}, {}}, IDs: []uint64{HashID([]byte("a"))}, closed: true}, out[1])
	b.LeaseChanged(400*ms, 100*ms, true) // found late: it had ended at its right's end
	require.Len(t, out, 3)
	assert.Equal(t, 100*ms, out[2].End)
	assert.EqualValues(t, 2, out[2].Version)
	assert.EqualValues(t, 1, out[2].Outcomes[1][front.StatusRejected])
	b.Close(500 * ms)
	require.Len(t, out, 4)
	assert.True(t, out[3].Standby)
	assert.Equal(t, 100*ms, out[3].Start, "no time is left out")
}

func TestEveryTxnIsFoundAndHardlyAnyOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 5000).Draw(t, "n")
		s := Interval{Number: 3}
		for i := range n {
			s.IDs = append(s.IDs, HashID(fmt.Appendf(nil, "t%d", i)))
		}
		b, _ := EncodeIndex(&s)
		span, ids, ok := DecodeIndexHead(b)
		if !ok || span != 3 || ids != n || IndexSize(n) != int64(len(b)) {
			t.Fatal("the head is wrong")
		}
		read := func(off int64, n int) ([]byte, error) { return b[off : off+int64(n)], nil }
		for i := range n + 50 {
			found, err := FindID(HashID(fmt.Appendf(nil, "t%d", i)), ids, headSize, read)
			if err != nil || found != (i < n) {
				t.Fatalf("t%d of %d: found %v, %v", i, n, found, err)
			}
		}
	})
}

// BenchmarkTxn tells what the audit costs a request in the core.
func BenchmarkTxn(b *testing.B) {
	book := NewRecorder(6, true, 0, func(Interval) {})
	book.LeaseChanged(0, time.Hour, false)
	id := []byte("a-request-id-of-24-characters")
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		s := book.RequestAccepted(time.Duration(i)*100*time.Microsecond, id, i%6)
		book.RequestFinished(time.Duration(i)*100*time.Microsecond, s, i%6, front.StatusSucceeded)
	}
}

// Clocks an hour apart: what two of them say of one moment is told as unsure, as far as their told errors go.
func TestAMomentIsSureOnlyAsFarAsClocksAre(t *testing.T) {
	hour := int64(3_600_000_000)
	uses := []VersionUse{{Front: "n1", Version: 1, Start: 10 * hour, End: 20 * hour, MaxClockError: hour}, {Front: "n2", Version: 2, Start: 10 * hour, End: 20 * hour}}
	for at, want := range map[int64]string{15: "n1 true n2 true ", 10: "n1 false n2 true ", 9: "n1 false ", 21: "n1 false ", 22: ""} {
		said := ""
		found, sure := UsesAt(uses, at*hour)
		for i, u := range found {
			said += fmt.Sprint(u.Front, " ", sure[i], " ")
		}
		assert.Equal(t, want, said, "at %d", at)
	}
}
