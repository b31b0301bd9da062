package audit

// segmentSequence is which of a front's segments there are.
type segmentSequence struct {
	last    uint64    // number of the segment read last, 0 before the first
	removed string    // the newest segment that a line names as removed, "" for none: those before it were removed as well
	missing []Finding // one for each segment that is not there, whether it was removed or not
}

// advance continues with a segment, and returns the place of its first line.
func (s *segmentSequence) advance(front string, number uint64) linePlace {
	place := nextSegment
	if number > s.last+1 {
		place = afterMissing
	}
	for k := s.last + 1; k < number; k++ {
		s.missing = append(s.missing, Finding{Segment: SegmentName(front, k), Violation: true, Message: "the segment is missing"})
	}
	s.last = number
	return place
}

// chainPosition is the last line of the hash chain.
type chainPosition struct {
	started  bool
	sequence uint64
	hash     string
}

// linePlace is where a line stands relative to the one read before it.
type linePlace uint8

const (
	sameSegment  linePlace = iota
	nextSegment            // the first of its segment
	afterMissing           // the first of its segment, and segments are missing before that
)

// verifyChain verifies that a line is the one that was written after the one before.
func (r *logReader) verifyChain(l *Line, place linePlace) {
	c := &r.chain
	previous := c.hash
	if place == afterMissing || place == nextSegment && !c.started { // the line before is not here: the segment says what its hash is
		if previous = l.PreviousHash; previous == noHash {
			previous = ""
		}
		c.sequence = l.Sequence - 1
	}
	c.started = true
	firstOfAll := l.PreviousHash == noHash && c.hash == ""
	if place == nextSegment && l.PreviousHash != c.hash && !firstOfAll {
		r.violation("the segment does not go on where the one before it ended: restored from an old copy, or two fronts with one name")
		previous, c.sequence = l.PreviousHash, l.Sequence-1
	}
	switch {
	case l.Sequence > c.sequence+1:
		r.violation("lines %d to %d are missing before it", c.sequence+1, l.Sequence-1)
	case l.Sequence <= c.sequence && c.sequence > 0 && l.Hash == c.hash:
		r.violation("line %d stands twice", l.Sequence)
	case l.Sequence <= c.sequence && c.sequence > 0:
		r.violation("line %d stands behind line %d: it was moved, or it is another's", l.Sequence, c.sequence)
	case chainHash(previous, l) != l.Hash:
		r.violation("line %d is not what was written: it or the one before it was changed", l.Sequence)
	}
	c.sequence, c.hash = max(c.sequence, l.Sequence), l.Hash
}

// segmentIndex is the index of the segment that is being read.
type segmentIndex struct {
	data     []byte
	err      error // why it can't be read
	verified int64 // end of the part that lines refer to
}

// verifyIndex verifies that the index has the requests of an interval's line.
func (r *logReader) verifyIndex(l *Line, index *segmentIndex) {
	if index.err != nil {
		r.violation("the index of its requests is missing")
		return
	}
	offset := l.IndexOffset - 1
	interval, n, ok := uint32(0), 0, false
	if offset >= 0 && offset+headSize <= int64(len(index.data)) {
		interval, n, ok = DecodeIndexHead(index.data[offset:])
	}
	end := offset + IndexSize(n)
	if !ok || interval != l.Interval || n != l.Requests || end > int64(len(index.data)) {
		r.violation("the index has not the requests of span %d", l.Interval)
		return
	}
	if indexHash(index.data[offset:end]) != l.IndexHash {
		r.violation("the index of span %d is not what was written", l.Interval)
	}
	index.verified = max(index.verified, end)
}

// processState is what the lines of the front's current process contain so far.
type processState struct {
	started      *PlacedLine     // its first line; nil where no process runs
	stopped      map[uint64]bool // incarnations of processes that ended
	startMissing bool            // the log's beginning is not here, and no process has started since
	wallClock    int64
	index        uint64
	versions     map[uint64]bool // that it started with or adopted; nil where lines are missing
}

// verifyLine verifies a line against those before it.
func (r *logReader) verifyLine(p *PlacedLine) {
	l := &p.Line
	if l.Event == EventProcessStarted {
		r.startProcess(p)
		return
	}
	if !r.verifyProcess(l) {
		return
	}
	switch l.Event {
	case EventInterval:
		r.verifyInterval(l)
	case EventVersionAdopted:
		if r.process.versions != nil {
			r.process.versions[l.Version] = true
		}
	case EventProcessStopped:
		r.process.stopped[l.Incarnation] = true
		r.process.started = nil
	case EventLinesLost:
		r.intervals.linesLost, r.process.versions = true, nil // an adoption may be among them
		r.note("%d lines could not be written: %s", l.Lost, l.Reason)
	case EventTailTruncated:
		r.intervals.linesLost = true
		r.note("a torn tail of %d bytes was cut off", l.Lost)
	case EventSegmentRemoved:
		r.segments.removed = max(r.segments.removed, l.Name)
	}
}

// startProcess begins with the lines of another process.
func (r *logReader) startProcess(p *PlacedLine) {
	state := &r.process
	if state.started != nil && state.started.Incarnation != p.Incarnation {
		r.note("the process before it did not close its log: what it did behind %d is not told", state.wallClock)
		state.stopped[state.started.Incarnation] = true
	}
	if state.stopped[p.Incarnation] {
		r.violation("the process opens a second time")
	}
	r.process = processState{started: p, stopped: state.stopped, wallClock: p.At, index: p.Index, versions: map[uint64]bool{p.Version: true}}
	r.intervals = intervalSequence{}
}

// verifyProcess verifies that a line is of the process that runs, and behind its lines so far; ok is false where it is another's.
func (r *logReader) verifyProcess(l *Line) (ok bool) {
	state := &r.process
	switch {
	case l.Event == EventTailTruncated || l.Event == EventLinesLost || l.Event == EventSegmentRemoved:
	case state.started == nil:
		if !state.startMissing {
			r.violation("a line behind the end of its process, or of one that never opened its log")
		}
	case l.Incarnation != state.started.Incarnation:
		r.violation("a line of another process while this one goes on: two fronts with one name")
		return false
	}
	if state.started != nil && l.Incarnation == state.started.Incarnation {
		maxClockError := state.started.MaxClockError
		if l.At < state.wallClock-2*maxClockError {
			r.violation("its clock stands %d µs before the line before it, and the operator tells an error of %d µs", state.wallClock-l.At, maxClockError)
		}
		if l.Index < state.index && l.Event != EventInterval {
			r.violation("its record stands at %d, and stood at %d before", l.Index, state.index)
		}
		state.wallClock, state.index = max(state.wallClock, l.At), max(state.index, l.Index)
	}
	return true
}

// intervalSequence is the last interval of the process.
type intervalSequence struct {
	last      uint32 // 0 before the first
	end       int64
	linesLost bool // since then
}

// leaseSlack is by how much two readings of one clock may differ, in microseconds.
const leaseSlack = 2000

// verifyInterval verifies that an interval follows the one before, and that what it says fits together.
func (r *logReader) verifyInterval(l *Line) {
	s := &r.intervals
	if l.End < l.Start {
		r.violation("span %d ends before it begins", l.Interval)
	}
	if l.Interval <= s.last && s.last > 0 {
		r.violation("span %d comes behind span %d", l.Interval, s.last)
	} else if s.last > 0 && l.Interval > s.last+1 && !s.linesLost {
		r.violation("spans %d to %d are not told, and no gap is", s.last+1, l.Interval-1)
	}
	if l.Start < s.end-1 {
		r.violation("span %d begins %d µs before the end of the one before it", l.Interval, s.end-l.Start)
	} else if s.end > 0 && l.Start > s.end+1 && !s.linesLost {
		r.violation("between spans %d and %d %d µs are not told, and no gap is", s.last, l.Interval, l.Start-s.end)
	}
	if l.Standby && l.Requests > 0 {
		r.violation("span %d is one of standing by, and %d requests were taken in it", l.Interval, l.Requests)
	}
	if !l.Standby && l.ConfigLeaseExpiry > 0 && l.End > l.ConfigLeaseExpiry+leaseSlack {
		r.violation("span %d acts on version %d until %d, and its right ended at %d", l.Interval, l.Version, l.End, l.ConfigLeaseExpiry)
	}
	if r.process.versions != nil && !r.process.versions[l.Version] {
		r.violation("span %d acts on version %d, and the front tells of no adoption of it", l.Interval, l.Version)
	}
	if finished := l.finished(); finished != l.Requests && l.Requests > 0 {
		r.violation("span %d took %d requests, and %d ended", l.Interval, l.Requests, finished)
	}
	*s = intervalSequence{last: l.Interval, end: l.End}
}

// finished is how many requests have an outcome.
func (l *Line) finished() (sum int) {
	for _, byStatus := range l.Outcomes {
		for _, n := range byStatus {
			sum += int(n)
		}
	}
	return sum
}
