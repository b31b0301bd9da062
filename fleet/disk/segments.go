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

// Segments keeps a front's audit: files of lines with their index beside them, closed at a size, the oldest taken away where a
// budget is passed. What can't be written is counted, and the gap is the first line behind it.
type Segments struct {
	dir, front   string
	size, budget int64

	mu     sync.Mutex
	chain  audit.HashChain
	number uint64
	lines  *os.File
	ids    *os.File
	at     int64 // length of the lines' file
	idsAt  int64
	lost   uint64
	why    string
	latest int64    // date of the last line
	sealed []string // names without ending, oldest first
	cut    int64
	Stamp  func(l *audit.Line) // fills in what a line of the keeper's own has to say of its front
}

// Bounds of an audit's files, in bytes.
const (
	MinSegmentBytes     = 4 << 10
	DefaultSegmentBytes = 1 << 20
)

// OpenSegments opens a front's audit in a folder, which is made where it is not there. A torn tail is cut off, and told as the
// first line of the new segment. The error names the folder and the file.
func OpenSegments(dir, front string, size, budget int64) (*Segments, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("the audit's folder: %w", err)
	}
	s := &Segments{dir: dir, front: front, size: size, budget: budget, Stamp: func(*audit.Line) {}}
	names, err := ListSegments(dir, front)
	if err != nil {
		return nil, err
	}
	s.sealed = names
	if n := len(names); n > 0 {
		if err := s.resume(names[n-1]); err != nil {
			return nil, err
		}
	}
	return s, s.begin()
}

// ListSegments are the names, without ending, of a front's segments in a folder, oldest first; of all fronts for "".
func ListSegments(dir, front string) (names []string, err error) {
	all, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("the audit's folder: %w", err)
	}
	for _, e := range all {
		if f, _, ok := audit.ParseLogName(e.Name()); ok && (front == "" || f == front) {
			names = append(names, e.Name()[:len(e.Name())-len(audit.LogSuffix)])
		}
	}
	slices.Sort(names)
	return names, nil
}

// resume takes up the chain where the last segment left it.
func (s *Segments) resume(name string) error {
	path := filepath.Join(s.dir, name+audit.LogSuffix)
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("the audit's last segment: %w", err)
	}
	good, ids := 0, int64(0)
	for good < len(b) {
		n := bytes.IndexByte(b[good:], '\n')
		var l audit.Line
		if n < 0 || json.Unmarshal(b[good:good+n], &l) != nil || l.Hash == "" {
			break
		}
		s.chain.Sequence, s.chain.LastHash = l.Sequence, l.Hash
		if l.IndexOffset > 0 {
			ids = l.IndexOffset - 1 + audit.IndexSize(l.Requests)
		}
		good += n + 1
	}
	if s.cut = int64(len(b) - good); s.cut > 0 {
		if err := os.Truncate(path, int64(good)); err != nil {
			return fmt.Errorf("the audit's torn tail: %w", err)
		}
	}
	if at, err := os.Stat(filepath.Join(s.dir, name+audit.IndexSuffix)); err == nil && at.Size() > ids { // of a line that was never written
		if err := os.Truncate(filepath.Join(s.dir, name+audit.IndexSuffix), ids); err != nil {
			return fmt.Errorf("the audit's torn index: %w", err)
		}
	}
	_, s.number, _ = audit.ParseLogName(name + audit.LogSuffix)
	return nil
}

// begin opens the next segment. Where that fails none is open, and the next write tries again.
func (s *Segments) begin() error {
	path := filepath.Join(s.dir, audit.SegmentName(s.front, s.number+1))
	lines, err := os.OpenFile(path+audit.LogSuffix, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("the audit: %w", err)
	}
	ids, err := os.OpenFile(path+audit.IndexSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		lines.Close()
		os.Remove(path + audit.LogSuffix)
		return fmt.Errorf("the audit: %w", err)
	}
	s.lines, s.ids = lines, ids
	s.number++
	s.at, s.idsAt = 0, 0
	s.chain.StartSegment()
	return nil
}

// open tells whether a segment is.
func (s *Segments) open() bool { return s.lines != nil }

// Write appends a line, with its span's part of the index. What can't be written is counted; the error is for the log.
func (s *Segments) Write(l *audit.Line, ids []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open() { // the folder failed where the last one was closed
		if err := s.begin(); err != nil {
			s.lost, s.why = s.lost+1, err.Error()
			return err
		}
	}
	if s.cut > 0 {
		cut := &audit.Line{Event: audit.EventTailTruncated, At: l.At, Lost: uint64(s.cut), Reason: "the last line of the segment before was not whole"}
		s.Stamp(cut)
		if s.append(cut, nil) == nil {
			s.cut = 0
		}
	}
	if s.lost > 0 {
		gap := &audit.Line{Event: audit.EventLinesLost, At: l.At, Lost: s.lost, Reason: s.why}
		s.Stamp(gap)
		if err := s.append(gap, nil); err != nil {
			s.lost++
			return err
		}
		s.lost = 0
	}
	if err := s.append(l, ids); err != nil {
		s.lost, s.why = s.lost+1, err.Error()
		return err
	}
	if s.at+s.idsAt >= s.size {
		return s.turn()
	}
	return nil
}

// CountLost counts lines that never came here.
func (s *Segments) CountLost(n uint64, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost, s.why = s.lost+n, why
}

func (s *Segments) append(l *audit.Line, ids []byte) error {
	if len(ids) > 0 {
		if _, err := s.ids.WriteAt(ids, s.idsAt); err != nil {
			return err
		}
		l.IndexOffset = s.idsAt + 1
	}
	was := s.chain
	b := s.chain.Append(l)
	if _, err := s.lines.WriteAt(b, s.at); err != nil {
		s.chain = was
		s.lines.Truncate(s.at)
		return err
	}
	s.latest = l.At
	s.at += int64(len(b))
	s.idsAt += int64(len(ids))
	return nil
}

// turn closes the segment and opens the next; where the budget is passed the oldest goes, told.
func (s *Segments) turn() error {
	if err := errors.Join(s.seal(), s.begin()); err != nil { // what failed in closing it costs no line behind it
		return err
	}
	for len(s.sealed) > 0 && s.total() > s.budget {
		oldest := s.sealed[0]
		gone := &audit.Line{Event: audit.EventSegmentRemoved, At: s.latest, Name: oldest, Reason: fmt.Sprintf("the audit may take %d bytes", s.budget)}
		s.Stamp(gone)
		if err := s.append(gone, nil); err != nil {
			return err
		}
		for _, end := range []string{audit.LogSuffix, audit.IndexSuffix} {
			if err := os.Remove(filepath.Join(s.dir, oldest+end)); err != nil && !errors.Is(err, os.ErrNotExist) {
				return err
			}
		}
		s.sealed = s.sealed[1:]
	}
	return nil
}

func (s *Segments) seal() error {
	if !s.open() {
		return nil
	}
	err := errors.Join(s.ids.Sync(), s.lines.Sync(), s.ids.Close(), s.lines.Close())
	s.lines, s.ids = nil, nil
	s.sealed = append(s.sealed, audit.SegmentName(s.front, s.number))
	return err
}

func (s *Segments) total() (sum int64) {
	sum = s.at + s.idsAt
	for _, name := range s.sealed {
		for _, end := range []string{audit.LogSuffix, audit.IndexSuffix} {
			if at, err := os.Stat(filepath.Join(s.dir, name+end)); err == nil {
				sum += at.Size()
			}
		}
	}
	return sum
}

// Sync writes through what was appended.
func (s *Segments) Sync() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open() {
		return nil
	}
	return errors.Join(s.ids.Sync(), s.lines.Sync())
}

// Sealed are the names of segments that change no more, oldest first.
func (s *Segments) Sealed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sealed)
}

// Rotate closes the segment in hand now, so that it can be exported.
func (s *Segments) Rotate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open() && s.at == 0 {
		return nil
	}
	return s.turn()
}

// Close ends the use of the files.
func (s *Segments) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seal()
}

// Dir is where they are.
func (s *Segments) Dir() string { return s.dir }

// ExportSegment copies a closed segment into a folder, once and only once: under its own name, whole or not at all. One that is
// there already with the same content counts as exported, however often it is asked for; one with other content is an error
// and stays as it is.
func ExportSegment(dir, name, to string) error {
	for _, end := range []string{audit.IndexSuffix, audit.LogSuffix} { // the lines last: who finds them finds the index
		b, err := os.ReadFile(filepath.Join(dir, name+end))
		if err == nil {
			err = WriteOnce(to, name+end, b)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// WriteOnce puts a file into a folder, whole or not at all; see Export.
func WriteOnce(to, name string, b []byte) error {
	path := filepath.Join(to, name)
	was, err := os.ReadFile(path)
	switch {
	case err == nil && bytes.Equal(was, b):
		return nil
	case err == nil:
		return fmt.Errorf("%s is there already, and with other content: two fronts of one name, or a log restored from an old copy; move it away to go on", path)
	case !errors.Is(err, os.ErrNotExist):
		return err
	}
	coming, err := aside(to, b)
	if err != nil {
		return err
	}
	defer os.Remove(coming)
	if err := os.Link(coming, path); err != nil { // unlike a rename, it never takes another's place
		return err
	}
	d, err := os.Open(to)
	if err == nil {
		err = errors.Join(d.Sync(), d.Close())
	}
	return err
}

// ReplaceFile puts a file in another's place, whole or not at all.
func ReplaceFile(path string, b []byte) error {
	coming, err := aside(filepath.Dir(path), b)
	if err != nil {
		return err
	}
	defer os.Remove(coming)
	return os.Rename(coming, path)
}

// aside writes a file through under a name of its own, to be put in its place whole.
func aside(dir string, b []byte) (name string, err error) {
	f, err := os.CreateTemp(dir, ".coming-*")
	if err != nil {
		return "", err
	}
	_, err = f.Write(b)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		os.Remove(f.Name())
	}
	return f.Name(), err
}
