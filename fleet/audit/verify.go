package audit

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
)

// LogSource is where segments are read from: names without ending, and the bytes of each one's two files.
type LogSource interface {
	Names() []string // sorted
	Lines(name string) ([]byte, error)
	IDs(name string) ([]byte, error)
}

// Finding is something that a log's reader should know: a wrong, or a note of what the log itself tells is missing.
type Finding struct {
	Segment   string `json:"segment"`
	Line      int    `json:"line"` // within the segment, from 1; 0 for the whole of it
	Violation bool   `json:"wrong"`
	Message   string `json:"what"`
}

func (f Finding) String() string {
	kind := "note"
	if f.Violation {
		kind = "wrong"
	}
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.Segment, kind, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.Segment, f.Line, kind, f.Message)
}

// FrontLog is one front's log, in its order.
type FrontLog struct {
	Front string
	Lines []PlacedLine
}

// PlacedLine is a line and where it stands.
type PlacedLine struct {
	Line
	Segment    string
	LineNumber int // line within the segment, from 1
}

// ReadLogs reads all logs, by front; what can't be read or does not hang together is told.
func ReadLogs(files LogSource) (all []*FrontLog, found []Finding) {
	by := map[string]*reader{}
	for _, name := range files.Names() {
		front, number, ok := ParseLogName(name + LogSuffix)
		if !ok {
			continue
		}
		r := by[front]
		if r == nil {
			r = &reader{journal: &FrontLog{Front: front}}
			by[front] = r
			all = append(all, r.journal)
		}
		r.segment(files, name, number)
	}
	slices.SortFunc(all, func(a, b *FrontLog) int { return cmp.Compare(a.Front, b.Front) })
	for _, j := range all {
		r := by[j.Front]
		r.end()
		found = append(found, r.found...)
	}
	return all, found
}

// reader follows one front's log.
type reader struct {
	journal *FrontLog
	found   []Finding

	name    string
	line    int
	number  uint64 // of the last segment
	dropped map[string]bool
	missing []Finding // segments that no later line explains

	n     uint64
	chain string
	begun bool

	open     *PlacedLine // the incarnation in hand
	gone     map[uint64]bool
	wall     int64
	index    uint64
	took     map[uint64]bool // versions that the process began with or took up
	span     uint32
	until    int64
	lost     bool // a gap was told since the last span
	headless bool // the log's beginning is not here, and no process has opened it since
}

func (r *reader) wrong(format string, args ...any) {
	r.found = append(r.found, Finding{r.name, r.line, true, fmt.Sprintf(format, args...)})
}

func (r *reader) note(format string, args ...any) {
	r.found = append(r.found, Finding{r.name, r.line, false, fmt.Sprintf(format, args...)})
}

func (r *reader) segment(files LogSource, name string, number uint64) {
	if r.dropped == nil {
		r.dropped, r.gone = map[string]bool{}, map[uint64]bool{}
	}
	r.name, r.line = name, 0
	r.headless = r.headless || r.number == 0 && number > 1
	for k := r.number + 1; k < number; k++ {
		r.missing = append(r.missing, Finding{SegmentName(r.journal.Front, k), 0, true, "the segment is missing"})
	}
	jumped := number > r.number+1
	r.number = number
	b, err := files.Lines(name)
	if err != nil {
		r.wrong("the segment can't be read: %v", err)
		return
	}
	ids, idsErr := files.IDs(name)
	first, idsAt := true, int64(0)
	for len(b) > 0 {
		r.line++
		text := b
		i := bytes.IndexByte(b, '\n')
		if i >= 0 {
			text, b = b[:i], b[i+1:]
		} else {
			b = nil
		}
		var l Line
		if err := json.Unmarshal(text, &l); err != nil || i < 0 {
			r.wrong("the line can't be read: torn, or no line of an audit")
			continue
		}
		r.bind(&l, first, jumped)
		first = false
		if l.Front != r.journal.Front {
			r.wrong("the line is of front %s", l.Front)
			continue
		}
		if l.IndexOffset > 0 || l.Requests > 0 {
			idsAt = r.ids(&l, ids, idsErr, idsAt)
		}
		p := PlacedLine{Line: l, Segment: name, LineNumber: r.line}
		r.told(&p)
		r.journal.Lines = append(r.journal.Lines, p)
	}
	if r.line == 0 {
		return // opened, and nothing came
	}
	if idsErr == nil && int64(len(ids)) > idsAt {
		r.line = 0
		r.note("the index holds %d bytes that no line tells of", int64(len(ids))-idsAt)
	}
}

// bind looks whether a line is the one that followed the one before.
func (r *reader) bind(l *Line, first, jumped bool) {
	before := r.chain
	if first && (jumped || !r.begun) { // what went before is not here: the segment says on what it stands
		if before = l.PreviousHash; before == "none" {
			before = ""
		}
		r.n = l.Sequence - 1
	}
	r.begun = true
	if first && !jumped && l.PreviousHash != r.chain && !(l.PreviousHash == "none" && r.chain == "") {
		r.wrong("the segment does not go on where the one before it ended: restored from an old copy, or two fronts with one name")
		before, r.n = l.PreviousHash, l.Sequence-1
	}
	switch {
	case l.Sequence > r.n+1:
		r.wrong("lines %d to %d are missing before it", r.n+1, l.Sequence-1)
	case l.Sequence <= r.n && r.n > 0 && l.Hash == r.chain:
		r.wrong("line %d stands twice", l.Sequence)
	case l.Sequence <= r.n && r.n > 0:
		r.wrong("line %d stands behind line %d: it was moved, or it is another's", l.Sequence, r.n)
	case link(before, l) != l.Hash:
		r.wrong("line %d is not what was written: it or the one before it was changed", l.Sequence)
	}
	r.n, r.chain = max(r.n, l.Sequence), l.Hash
}

func (r *reader) ids(l *Line, ids []byte, idsErr error, at int64) int64 {
	if idsErr != nil {
		r.wrong("the index of its requests is missing")
		return at
	}
	off := l.IndexOffset - 1
	span, n, ok := uint32(0), 0, false
	if off >= 0 && off+headSize <= int64(len(ids)) {
		span, n, ok = DecodeIndexHead(ids[off:])
	}
	end := off + IndexSize(n)
	if !ok || span != l.Interval || n != l.Requests || end > int64(len(ids)) {
		r.wrong("the index has not the requests of span %d", l.Interval)
		return at
	}
	sum := sha256.Sum256(ids[off:end])
	if hex.EncodeToString(sum[:8]) != l.IndexHash {
		r.wrong("the index of span %d is not what was written", l.Interval)
	}
	return max(at, end)
}

// told looks at what a line says against what those before it said.
func (r *reader) told(p *PlacedLine) {
	l := &p.Line
	slack := int64(0)
	if r.open != nil {
		slack = r.open.MaxClockError
	}
	if l.Event == EventProcessStarted {
		if r.open != nil && r.open.Incarnation != l.Incarnation {
			r.note("the process before it did not close its log: what it did behind %d is not told", r.wall)
			r.gone[r.open.Incarnation] = true
		}
		if r.gone[l.Incarnation] {
			r.wrong("the process opens a second time")
		}
		r.open, r.wall, r.index, r.span, r.until, r.lost, r.headless = p, l.At, l.Index, 0, 0, false, false
		r.took = map[uint64]bool{l.Version: true}
		return
	}
	switch {
	case l.Event == EventTailTruncated || l.Event == EventLinesLost || l.Event == EventSegmentRemoved:
	case r.open == nil:
		if !r.headless {
			r.wrong("a line behind the end of its process, or of one that never opened its log")
		}
	case l.Incarnation != r.open.Incarnation:
		r.wrong("a line of another process while this one goes on: two fronts with one name")
		return
	}
	if r.open != nil && l.Incarnation == r.open.Incarnation {
		if l.At < r.wall-2*slack {
			r.wrong("its clock stands %d µs before the line before it, and the operator tells an error of %d µs", r.wall-l.At, slack)
		}
		if l.Index < r.index && l.Event != EventInterval {
			r.wrong("its record stands at %d, and stood at %d before", l.Index, r.index)
		}
		r.wall, r.index = max(r.wall, l.At), max(r.index, l.Index)
	}
	switch l.Event {
	case EventInterval:
		r.spanned(l)
	case EventVersionAdopted:
		if r.took != nil {
			r.took[l.Version] = true
		}
	case EventProcessStopped:
		r.gone[l.Incarnation] = true
		r.open = nil
	case EventLinesLost:
		r.lost, r.took = true, nil // an adoption may be among them
		r.note("%d lines could not be written: %s", l.Lost, l.Reason)
	case EventTailTruncated:
		r.lost = true
		r.note("a torn tail of %d bytes was cut off", l.Lost)
	case EventSegmentRemoved:
		r.dropped[l.Name] = true
	}
}

func (r *reader) spanned(l *Line) {
	if l.End < l.Start {
		r.wrong("span %d ends before it begins", l.Interval)
	}
	if l.Interval <= r.span && r.span > 0 {
		r.wrong("span %d comes behind span %d", l.Interval, r.span)
	} else if r.span > 0 && l.Interval > r.span+1 && !r.lost {
		r.wrong("spans %d to %d are not told, and no gap is", r.span+1, l.Interval-1)
	}
	if l.Start < r.until-1 {
		r.wrong("span %d begins %d µs before the end of the one before it", l.Interval, r.until-l.Start)
	} else if r.until > 0 && l.Start > r.until+1 && !r.lost {
		r.wrong("between spans %d and %d %d µs are not told, and no gap is", r.span, l.Interval, l.Start-r.until)
	}
	if l.Standby && l.Requests > 0 {
		r.wrong("span %d is one of standing by, and %d requests were taken in it", l.Interval, l.Requests)
	}
	if !l.Standby && l.ConfigLeaseExpiry > 0 && l.End > l.ConfigLeaseExpiry+rightSlack {
		r.wrong("span %d acts on version %d until %d, and its right ended at %d", l.Interval, l.Version, l.End, l.ConfigLeaseExpiry)
	}
	if r.took != nil && !r.took[l.Version] {
		r.wrong("span %d acts on version %d, and the front tells of no adoption of it", l.Interval, l.Version)
	}
	if sum := ended(l); sum != l.Requests && l.Requests > 0 {
		r.wrong("span %d took %d requests, and %d ended", l.Interval, l.Requests, sum)
	}
	r.span, r.until, r.lost = l.Interval, l.End, false
}

// rightSlack is what two readings of one clock may differ by, in microseconds.
const rightSlack = 2000

func ended(l *Line) (sum int) {
	for _, ty := range l.Outcomes {
		for _, n := range ty {
			sum += int(n)
		}
	}
	return sum
}

func (r *reader) end() {
	for _, m := range r.missing {
		if m.Segment > r.lastDropped() {
			r.found = append(r.found, m)
		}
	}
	if r.open != nil {
		r.line = 0
		r.note("the log is not closed: the front runs, or its process died")
	}
}

// lastDropped is the newest that a line says was taken away, "" for none: those before it went the same way.
func (r *reader) lastDropped() (last string) {
	for name := range r.dropped {
		last = max(last, name)
	}
	return last
}
