package audit

// segmentSequence tracks which segments of a front exist.
type segmentSequence struct {
	last    uint64    // number of the segment that was read last, 0 before the first
	removed string    // newest segment that a line reports as removed, "" for none; the ones before it were removed as well
	missing []Finding // one for each segment that does not exist, whether it was reported as removed or not
}

// advance continues with a segment, and returns the position of its first line.
func (s *segmentSequence) advance(front string, number uint64) linePosition {
	position := segmentStart
	if number > s.last+1 {
		position = segmentStartAfterMissing
	}
	for k := s.last + 1; k < number; k++ {
		s.missing = append(s.missing, Finding{Segment: SegmentName(front, k), Violation: true, Message: "the segment is missing"})
	}
	s.last = number
	return position
}

// chainPosition is how far the hash chain of a front's log was verified: the highest line number and the hash of the last line read.
type chainPosition struct {
	started  bool
	sequence uint64
	hash     string
}

// linePosition is the position of a line relative to the one that was read before it.
type linePosition uint8

const (
	inSameSegment            linePosition = iota
	segmentStart                          // first line of its segment
	segmentStartAfterMissing              // first line of its segment, and segments before that are missing
)

// verifyChain verifies that a line was written directly after the one before it.
func (r *logReader) verifyChain(l *Line, position linePosition) {
	c := &r.chain
	previous := c.hash
	if position == segmentStartAfterMissing || position == segmentStart && !c.started { // the hash before it is in this line
		if previous = l.PreviousHash; previous == noHash {
			previous = ""
		}
		c.sequence = l.Sequence - 1
	}
	c.started = true
	firstOfAll := l.PreviousHash == noHash && c.hash == ""
	if position == segmentStart && l.PreviousHash != c.hash && !firstOfAll {
		r.violation("the segment does not continue the previous one: the log was restored from an old copy, or two fronts have one name")
		previous, c.sequence = l.PreviousHash, l.Sequence-1
	}
	switch {
	case l.Sequence > c.sequence+1:
		r.violation("lines %d to %d are missing before this line", c.sequence+1, l.Sequence-1)
	case l.Sequence <= c.sequence && c.sequence > 0 && l.Hash == c.hash:
		r.violation("line %d is duplicated", l.Sequence)
	case l.Sequence <= c.sequence && c.sequence > 0:
		r.violation("line %d follows line %d: it was moved, or it belongs to another log", l.Sequence, c.sequence)
	case chainHash(previous, l) != l.Hash:
		r.violation("line %d does not match its hash: it or the previous line was changed", l.Sequence)
	}
	c.sequence, c.hash = max(c.sequence, l.Sequence), l.Hash
}

// segmentIndex is the index of the segment that is being read.
type segmentIndex struct {
	data     []byte
	err      error // why the index can't be read
	verified int64 // end of the part to which lines have referred
}

// verifyIndex verifies that the index contains the requests of an interval's line.
func (r *logReader) verifyIndex(l *Line, index *segmentIndex) {
	if index.err != nil {
		r.violation("the index of the line's requests is missing")
		return
	}
	offset := l.IndexOffset - 1
	interval, n, ok := uint32(0), 0, false
	if offset >= 0 && offset+headSize <= int64(len(index.data)) {
		interval, n, ok = DecodeIndexHead(index.data[offset:])
	}
	end := offset + IndexSize(n)
	if !ok || interval != l.Interval || n != l.Requests || end > int64(len(index.data)) {
		r.violation("the index does not have the requests of interval %d", l.Interval)
		return
	}
	if indexHash(index.data[offset:end]) != l.IndexHash {
		r.violation("the index of interval %d does not match its hash", l.Interval)
	}
	index.verified = max(index.verified, end)
}

// processState is what the lines of the front's current process have said so far.
type processState struct {
	started      *LocatedLine    // the first line of the process; nil while no process runs
	stopped      map[uint64]bool // incarnations of processes that ended
	startMissing bool            // the beginning of the log is missing, and no process has started since
	wallClock    int64           // highest time of a line so far
	index        uint64          // of the replicated state, highest so far
	versions     map[uint64]bool // that the process started with or adopted; nil if lines are missing
}

// verifyLine verifies a line against those before it.
func (r *logReader) verifyLine(p *LocatedLine) {
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
		r.intervals.linesLost, r.process.versions = true, nil // the lost lines may include an adoption
		r.note("%d lines could not be written: %s", l.Lost, l.Reason)
	case EventTailTruncated:
		r.intervals.linesLost = true
		r.note("a torn tail of %d bytes was cut off", l.Lost)
	case EventSegmentRemoved:
		r.segments.removed = max(r.segments.removed, l.Name)
	}
}

// startProcess records that the lines of another process begin, and verifies that this process has not ended before.
func (r *logReader) startProcess(p *LocatedLine) {
	state := &r.process
	if state.started != nil && state.started.Incarnation != p.Incarnation {
		r.note("the previous process did not close its log: what it did after %d is not recorded", state.wallClock)
		state.stopped[state.started.Incarnation] = true
	}
	if state.stopped[p.Incarnation] {
		r.violation("the process starts a second time")
	}
	r.process = processState{started: p, stopped: state.stopped, wallClock: p.At, index: p.Index, versions: map[uint64]bool{p.Version: true}}
	r.intervals = intervalSequence{}
}

// verifyProcess verifies that a line belongs to the current process, and that its clock and index do not go back. ok is false if the line
// belongs to another process.
func (r *logReader) verifyProcess(l *Line) (ok bool) {
	state := &r.process
	switch {
	case l.Event == EventTailTruncated || l.Event == EventLinesLost || l.Event == EventSegmentRemoved:
	case state.started == nil:
		if !state.startMissing {
			r.violation("the line is after the end of its process, or the start of its process is not recorded")
		}
	case l.Incarnation != state.started.Incarnation:
		r.violation("the line is of another process while the previous one still runs: two fronts have one name")
		return false
	}
	if state.started != nil && l.Incarnation == state.started.Incarnation {
		maxClockError := state.started.MaxClockError
		if l.At < state.wallClock-2*maxClockError {
			r.violation("its time is %d µs before that of the previous line, and the configured clock error is %d µs",
				state.wallClock-l.At, maxClockError)
		}
		if l.Index < state.index && l.Event != EventInterval {
			r.violation("its replicated state is at index %d, and was at index %d before", l.Index, state.index)
		}
		state.wallClock, state.index = max(state.wallClock, l.At), max(state.index, l.Index)
	}
	return true
}

// intervalSequence is the last interval of the current process.
type intervalSequence struct {
	last      uint32 // number of the interval, 0 before the first
	end       int64  // its end, in Unix microseconds
	linesLost bool   // lines were lost since that interval
}

// leaseExpiryTolerance is by how much two readings of one clock may differ, in microseconds.
const leaseExpiryTolerance = 2000

// verifyInterval verifies that an interval follows the one before it, and that its line is consistent.
func (r *logReader) verifyInterval(l *Line) {
	s := &r.intervals
	if l.End < l.Start {
		r.violation("interval %d ends before it starts", l.Interval)
	}
	if l.Interval <= s.last && s.last > 0 {
		r.violation("interval %d follows interval %d", l.Interval, s.last)
	} else if s.last > 0 && l.Interval > s.last+1 && !s.linesLost {
		r.violation("intervals %d to %d are missing, and no loss is recorded", s.last+1, l.Interval-1)
	}
	if l.Start < s.end-1 {
		r.violation("interval %d starts %d µs before the end of the previous one", l.Interval, s.end-l.Start)
	} else if s.end > 0 && l.Start > s.end+1 && !s.linesLost {
		r.violation("between intervals %d and %d, %d µs are missing, and no loss is recorded", s.last, l.Interval, l.Start-s.end)
	}
	if l.Standby && l.Requests > 0 {
		r.violation("interval %d is in standby, and accepted %d requests", l.Interval, l.Requests)
	}
	if !l.Standby && l.ConfigLeaseExpiry > 0 && l.End > l.ConfigLeaseExpiry+leaseExpiryTolerance {
		r.violation("interval %d uses version %d until %d, and its configuration lease expired at %d",
			l.Interval, l.Version, l.End, l.ConfigLeaseExpiry)
	}
	if r.process.versions != nil && !r.process.versions[l.Version] {
		r.violation("interval %d uses version %d, and no line records its adoption", l.Interval, l.Version)
	}
	if finished := l.finished(); finished != l.Requests && l.Requests > 0 {
		r.violation("interval %d accepted %d requests, and %d have an outcome", l.Interval, l.Requests, finished)
	}
	*s = intervalSequence{last: l.Interval, end: l.End}
}

// finished returns the number of the interval's requests that have an outcome.
func (l *Line) finished() (sum int) {
	for _, byStatus := range l.Outcomes {
		for _, n := range byStatus {
			sum += int(n)
		}
	}
	return sum
}
