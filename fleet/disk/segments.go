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

// Bounds of a segment's files together, in bytes.
const (
	MinSegmentBytes     = 4 << 10
	DefaultSegmentBytes = 1 << 20
)

// Segments writes a front's audit log: segments of lines, each with an index beside it. A segment is closed at a size, and the oldest
// are removed where the log is over its size. Lines that can't be written are counted, and recorded as a gap before the next one.
//
// Reasons and errors that are recorded as lines stand in files that operators' tools read.
type Segments struct {
	Stamp func(l *audit.Line) // completes a line of the Segments' own with its front; set it before the first write

	dir, front    string
	segmentBytes  int64
	maxTotalBytes int64

	mu          sync.Mutex // guards the fields below
	chain       audit.HashChain
	number      uint64      // of the open segment, or of the last one
	open        openSegment // none after an error, until the next write
	gap         gap
	removedTail int64    // bytes that were cut off at the start, and are not recorded yet
	lastDate    int64    // of the last line, Unix microseconds
	sealed      []string // names of closed segments, without suffix, oldest first
}

// openSegment is the segment that lines are appended to.
type openSegment struct {
	log, index           *os.File // nil where none is open
	logBytes, indexBytes int64
}

// gap is lines that could not be written and are not recorded yet.
type gap struct {
	lines  uint64
	reason string // of the last one
}

func (g *gap) add(lines uint64, reason string) {
	g.lines += lines
	g.reason = reason
}

// OpenSegments opens a front's audit log in a folder, which is made where it does not exist. An incomplete last line is cut off, and
// recorded in the first line of the new segment. The error names the folder and the file.
func OpenSegments(dir, front string, segmentBytes, maxTotalBytes int64) (*Segments, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("audit folder: %w", err)
	}
	s := &Segments{Stamp: func(*audit.Line) {}, dir: dir, front: front, segmentBytes: segmentBytes, maxTotalBytes: maxTotalBytes}
	names, err := ListSegments(dir, front)
	if err != nil {
		return nil, err
	}
	s.sealed = names
	if err := s.resume(names); err != nil {
		return nil, err
	}
	return s, s.begin()
}

// ListSegments returns the names, without suffix, of a front's segments in a folder, oldest first; of all fronts for "".
func ListSegments(dir, front string) (names []string, err error) {
	all, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("audit folder: %w", err)
	}
	for _, e := range all {
		if f, _, ok := audit.ParseLogName(e.Name()); ok && (front == "" || f == front) {
			names = append(names, e.Name()[:len(e.Name())-len(audit.LogSuffix)])
		}
	}
	slices.Sort(names)
	return names, nil
}

// resume continues the hash chain behind the last line. A crash behind a start may have left segments without one.
func (s *Segments) resume(names []string) error {
	for i, name := range slices.Backward(names) {
		if i == len(names)-1 {
			_, s.number, _ = audit.ParseLogName(name + audit.LogSuffix) // it is one of ListSegments
		}
		found, err := s.recoverSegment(name)
		if found || err != nil {
			return err
		}
	}
	return nil
}

// recoverSegment cuts off what a crash left incomplete in a segment, and reports whether the hash chain continues behind a line of it.
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
		s.removedTail += int64(len(b) - complete)
		if err := os.Truncate(path, int64(complete)); err != nil {
			return false, fmt.Errorf("incomplete line of the last audit segment: %w", err)
		}
	}
	indexPath := filepath.Join(s.dir, name+audit.IndexSuffix)
	if info, err := os.Stat(indexPath); err == nil && info.Size() > indexBytes { // of a line that was never written
		if err := os.Truncate(indexPath, indexBytes); err != nil {
			return false, fmt.Errorf("index of the last audit segment: %w", err)
		}
	}
	return complete > 0, nil
}

// begin opens the next segment. Where that fails none is open, and the next write tries again.
func (s *Segments) begin() error {
	path := filepath.Join(s.dir, audit.SegmentName(s.front, s.number+1))
	log, err := os.OpenFile(path+audit.LogSuffix, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("the audit: %w", err) // a gap's reason in the log
	}
	index, err := os.OpenFile(path+audit.IndexSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		_ = log.Close() // it is empty
		_ = os.Remove(path + audit.LogSuffix)
		return fmt.Errorf("the audit: %w", err)
	}
	s.open = openSegment{log: log, index: index}
	s.number++
	s.chain.StartSegment()
	return nil
}

// Write appends a line, with its interval's part of the index. A line that can't be written is counted in the gap; the error is for the
// program's log.
func (s *Segments) Write(l *audit.Line, index []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open.log == nil { // the folder failed where the last one was closed
		if err := s.begin(); err != nil {
			s.gap.add(1, err.Error())
			return err
		}
	}
	if s.removedTail > 0 {
		cut := &audit.Line{Event: audit.EventTailTruncated, At: l.At, Lost: uint64(s.removedTail), Reason: "the last line of the segment before was not whole"}
		s.Stamp(cut)
		if s.append(cut, nil) == nil {
			s.removedTail = 0
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

// CountLost adds lines to the gap that were lost before Write.
func (s *Segments) CountLost(lines uint64, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gap.add(lines, reason)
}

// append writes a line at the end of the open segment; after an error the segment ends where it did.
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
		_ = s.open.log.Truncate(s.open.logBytes) // the next line is written at the same place in any case
		return err
	}
	s.lastDate = l.At
	s.open.logBytes += int64(len(b))
	s.open.indexBytes += int64(len(index))
	return nil
}

// rotate closes the segment and opens the next; where the log is over its size the oldest are removed, each recorded.
func (s *Segments) rotate() error {
	if err := errors.Join(s.seal(), s.begin()); err != nil { // an error of the closed segment loses no line of the next
		return err
	}
	for len(s.sealed) > 0 && s.totalBytes() > s.maxTotalBytes {
		oldest := s.sealed[0]
		removed := &audit.Line{Event: audit.EventSegmentRemoved, At: s.lastDate, Name: oldest, Reason: fmt.Sprintf("the audit may take %d bytes", s.maxTotalBytes)}
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

// seal closes the open segment, if there is one.
func (s *Segments) seal() error {
	if s.open.log == nil {
		return nil
	}
	err := errors.Join(s.open.index.Sync(), s.open.log.Sync(), s.open.index.Close(), s.open.log.Close())
	s.open.log, s.open.index = nil, nil
	s.sealed = append(s.sealed, audit.SegmentName(s.front, s.number))
	return err
}

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

// Sync writes through what was appended.
func (s *Segments) Sync() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open.log == nil {
		return nil
	}
	return errors.Join(s.open.index.Sync(), s.open.log.Sync())
}

// Sealed returns the names of the closed segments, oldest first.
func (s *Segments) Sealed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sealed)
}

// Rotate closes the open segment now, so that it can be exported, unless it is empty.
func (s *Segments) Rotate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
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
