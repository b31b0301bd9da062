package disk

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"dapplerouter/fleet/audit"
)

// DefaultSegmentBytes is the default of the size at which a segment is closed: the size of its log file and its index together.
const DefaultSegmentBytes = 1 << 20

// Segments writes a front's audit log as a sequence of segments. Each segment has a log file, which holds the lines, and an index file. A
// segment is closed once it reaches segmentBytes. The oldest segments are removed when the log exceeds maxTotalBytes. Lines that can't be
// written are counted and recorded as a gap before the next line.
//
// Reasons and errors that are recorded in lines are part of files that operators' tools read, so their texts must not change.
type Segments struct {
	Stamp func(l *audit.Line) // sets the front, incarnation and index of lines that Segments generates; set it before the first write
	Calls CreateCalls         // SystemCalls unless set before Open

	dir, front    string
	segmentBytes  int64
	maxTotalBytes int64

	mu             sync.Mutex // guards the fields below
	opened         bool       // Open has succeeded
	chain          audit.HashChain
	number         uint64      // number of the open segment, or of the last one if none is open
	open           openSegment // empty after an error, until the next write opens a segment
	gap            gap
	truncatedBytes int64    // bytes truncated by Open and not recorded in the log yet
	lastLineAt     int64    // time of the last line, Unix microseconds
	sealed         []string // names of closed segments, without suffix, oldest first
}

// openSegment is the segment that lines are appended to.
type openSegment struct {
	log, index           *os.File // nil if no segment is open
	logBytes, indexBytes int64
}

// gap counts lines that could not be written and are not recorded in the log yet.
type gap struct {
	lines  uint64
	reason string // why the last of them was lost
}

// add adds a number of lost lines to the one total of the gap, whatever their reasons. Only the latest reason is kept.
func (g *gap) add(lines uint64, reason string) {
	g.lines += lines
	g.reason = reason
}

// NewSegments returns a front's audit log in a directory, which Open opens. A segment is closed once its log file and its index together
// have segmentBytes bytes. When a segment is closed, the oldest ones are removed while all files of the log together have more than
// maxTotalBytes bytes.
func NewSegments(dir, front string, segmentBytes, maxTotalBytes int64) *Segments {
	return &Segments{Stamp: func(*audit.Line) {}, Calls: SystemCalls(), dir: dir, front: front, segmentBytes: segmentBytes, maxTotalBytes: maxTotalBytes}
}

// OpenSegments is NewSegments and Open.
func OpenSegments(dir, front string, segmentBytes, maxTotalBytes int64) (*Segments, error) {
	s := NewSegments(dir, front, segmentBytes, maxTotalBytes)
	return s, s.Open()
}

// Open creates the directory if necessary, and starts a new segment. If a crash left an incomplete last line, it is truncated and the
// truncation is recorded before the first line that is written. The error names the directory or the file; Open can then be called again.
// Before Open has succeeded, the log has no closed segments and no line can be written.
func (s *Segments) Open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Calls.MkdirAll(s.dir, 0o700); err != nil {
		return fmt.Errorf("audit directory: %w", err)
	}
	names, err := ListSegments(s.dir, s.front)
	if err != nil {
		return err
	}
	s.number, s.chain = 0, audit.HashChain{} // an earlier call may have set them
	if err := s.resumeChain(names); err != nil {
		return err
	}
	if err := s.openNext(); err != nil {
		return err
	}
	s.sealed, s.opened = names, true
	return nil
}

// ListSegments returns the names, without suffix, of a front's segments in a directory, sorted by name and so oldest first. An empty
// front selects the segments of all fronts.
func ListSegments(dir, front string) (names []string, err error) {
	all, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("audit directory: %w", err)
	}
	for _, e := range all {
		if f, _, ok := audit.ParseLogName(e.Name()); ok && (front == "" || f == front) {
			names = append(names, e.Name()[:len(e.Name())-len(audit.LogSuffix)])
		}
	}
	slices.Sort(names)
	return names, nil
}

// resumeChain continues the hash chain after the last complete line of the existing segments. More than one segment may have no complete
// line: each process that crashes soon after its start leaves one.
func (s *Segments) resumeChain(names []string) error {
	for i, name := range slices.Backward(names) {
		if i == len(names)-1 {
			_, s.number, _ = audit.ParseLogName(name + audit.LogSuffix) // ListSegments returns only names that parse
		}
		found, err := s.recoverSegment(name)
		if found || err != nil {
			return err
		}
	}
	return nil
}

// recoverSegment truncates what a crash left incomplete at the end of a segment. found reports whether the segment has a complete line;
// the hash chain then continues after the last one.
func (s *Segments) recoverSegment(name string) (found bool, err error) {
	path := filepath.Join(s.dir, name+audit.LogSuffix)
	b, err := os.ReadFile(path)
	if err != nil {
		return false, fmt.Errorf("last audit segment: %w", err)
	}
	complete, indexBytes := 0, int64(0)
	for complete < len(b) {
		n := bytes.IndexByte(b[complete:], '\n')
		var l audit.Line
		if n < 0 || json.Unmarshal(b[complete:complete+n], &l) != nil || l.Hash == "" {
			break
		}
		s.chain.Sequence, s.chain.LastHash = l.Sequence, l.Hash
		if l.IndexOffset > 0 {
			indexBytes = l.IndexOffset - 1 + audit.IndexSize(l.Requests)
		}
		complete += n + 1
	}
	if complete < len(b) {
		if err := os.Truncate(path, int64(complete)); err != nil {
			return false, fmt.Errorf("incomplete line of the last audit segment: %w", err)
		}
		s.truncatedBytes += int64(len(b) - complete)
	}
	indexPath := filepath.Join(s.dir, name+audit.IndexSuffix)
	if info, err := os.Stat(indexPath); err == nil && info.Size() > indexBytes { // belongs to a line that was never written
		if err := os.Truncate(indexPath, indexBytes); err != nil {
			return false, fmt.Errorf("index of the last audit segment: %w", err)
		}
	}
	return complete > 0, nil
}

// errNotOpened reports that Open has not succeeded yet. Its text is recorded in the log as a gap's reason.
var errNotOpened = errors.New("the audit could not be opened")

// openNext opens the next segment. If that fails, no segment is open and the next write tries again.
func (s *Segments) openNext() error {
	path := filepath.Join(s.dir, audit.SegmentName(s.front, s.number+1))
	log, err := os.OpenFile(path+audit.LogSuffix, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("the audit: %w", err) // recorded in the log as a gap's reason
	}
	index, err := os.OpenFile(path+audit.IndexSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		_ = log.Close() // the file is empty
		_ = os.Remove(path + audit.LogSuffix)
		return fmt.Errorf("the audit: %w", err)
	}
	s.open = openSegment{log: log, index: index}
	s.number++
	s.chain.StartSegment()
	return nil
}

// Write appends a line, together with its interval's part of the index. A line that can't be written is added to the gap. The error is
// only for the process log. Write may also close the segment and open the next one.
func (s *Segments) Write(l *audit.Line, index []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.opened {
		s.gap.add(1, errNotOpened.Error())
		return errNotOpened
	}
	if s.open.log == nil { // the next segment could not be opened when the last one was closed
		if err := s.openNext(); err != nil {
			s.gap.add(1, err.Error())
			return err
		}
	}
	if s.truncatedBytes > 0 {
		cut := &audit.Line{Event: audit.EventTailTruncated, At: l.At, Lost: uint64(s.truncatedBytes), Reason: "the last line of the segment before was not whole"}
		s.Stamp(cut)
		if s.append(cut, nil) == nil {
			s.truncatedBytes = 0
		}
	}
	if s.gap.lines > 0 {
		lost := &audit.Line{Event: audit.EventLinesLost, At: l.At, Lost: s.gap.lines, Reason: s.gap.reason}
		s.Stamp(lost)
		if err := s.append(lost, nil); err != nil {
			s.gap.lines++
			return err
		}
		s.gap.lines = 0
	}
	if err := s.append(l, index); err != nil {
		s.gap.add(1, err.Error())
		return err
	}
	if s.open.logBytes+s.open.indexBytes >= s.segmentBytes {
		return s.rotate()
	}
	return nil
}

// CountLost adds lines to the gap that were lost before they were passed to Write.
func (s *Segments) CountLost(lines uint64, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gap.add(lines, reason)
}

// append writes a line and its part of the index at the end of the open segment. After an error the segment still ends after its last
// complete line.
func (s *Segments) append(l *audit.Line, index []byte) error {
	if len(index) > 0 {
		if _, err := s.open.index.WriteAt(index, s.open.indexBytes); err != nil {
			return err
		}
		l.IndexOffset = s.open.indexBytes + 1
	}
	before := s.chain
	b := s.chain.Append(l)
	if _, err := s.open.log.WriteAt(b, s.open.logBytes); err != nil {
		s.chain = before
		_ = s.open.log.Truncate(s.open.logBytes) // the next line is written at this offset even if Truncate fails
		return err
	}
	s.lastLineAt = l.At
	s.open.logBytes += int64(len(b))
	s.open.indexBytes += int64(len(index))
	return nil
}

// rotate closes the open segment and opens the next. While the log exceeds its size, it then removes the oldest segment and records the
// removal.
func (s *Segments) rotate() error {
	if err := errors.Join(s.seal(), s.openNext()); err != nil { // open the next segment even if closing failed: no later line is lost
		return err
	}
	for len(s.sealed) > 0 && s.totalBytes() > s.maxTotalBytes {
		oldest := s.sealed[0]
		removed := &audit.Line{Event: audit.EventSegmentRemoved, At: s.lastLineAt, Name: oldest, Reason: fmt.Sprintf("the audit may take %d bytes", s.maxTotalBytes)}
		s.Stamp(removed)
		if err := s.append(removed, nil); err != nil {
			return err
		}
		for _, suffix := range []string{audit.LogSuffix, audit.IndexSuffix} {
			if err := os.Remove(filepath.Join(s.dir, oldest+suffix)); err != nil && !errors.Is(err, os.ErrNotExist) {
				return err
			}
		}
		s.sealed = s.sealed[1:]
	}
	return nil
}

// seal syncs and closes the open segment, if there is one.
func (s *Segments) seal() error {
	if s.open.log == nil {
		return nil
	}
	err := errors.Join(s.open.index.Sync(), s.open.log.Sync(), s.open.index.Close(), s.open.log.Close())
	s.open.log, s.open.index = nil, nil
	s.sealed = append(s.sealed, audit.SegmentName(s.front, s.number))
	return err
}

// totalBytes returns the size of all files of the log; files that can't be read count as empty.
func (s *Segments) totalBytes() (sum int64) {
	sum = s.open.logBytes + s.open.indexBytes
	for _, name := range s.sealed {
		for _, suffix := range []string{audit.LogSuffix, audit.IndexSuffix} {
			if info, err := os.Stat(filepath.Join(s.dir, name+suffix)); err == nil {
				sum += info.Size()
			}
		}
	}
	return sum
}

// Sync flushes the lines written so far to stable storage.
func (s *Segments) Sync() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open.log == nil {
		return nil
	}
	return errors.Join(s.open.index.Sync(), s.open.log.Sync())
}

// Opened reports whether Open has succeeded, so that ClosedSegments returns what the directory holds.
func (s *Segments) Opened() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// ClosedSegments returns the names of the closed segments, oldest first.
func (s *Segments) ClosedSegments() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sealed)
}

// Rotate closes the open segment and opens the next, so that the closed one can be exported. It does nothing if the open segment is
// empty.
func (s *Segments) Rotate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.opened {
		return errNotOpened
	}
	if s.open.log != nil && s.open.logBytes == 0 {
		return nil
	}
	return s.rotate()
}

// Close closes the open segment.
func (s *Segments) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seal()
}
