package disk

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"

	"dapplerouter/fleet/audit"
)

// AuditLogs reads the audit logs of many fronts from directories: a front's own log directory, or one to which segments were exported or
// collected. It implements audit.LogSource.
type AuditLogs struct {
	Conflicts []audit.Finding // one for each segment that has two copies with different content

	names []string          // names of all segments, sorted
	dirs  map[string]string // directory of the copy to read, by segment name
}

// OpenAuditLogs finds all segments in directories and their subdirectories. If a segment has two copies and one continues the other, the
// longer copy is used. If their contents differ otherwise, the segment is added to Conflicts.
func OpenAuditLogs(dirs ...string) (*AuditLogs, error) {
	l := &AuditLogs{dirs: map[string]string{}}
	for _, dir := range dirs {
		err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			if _, _, ok := audit.ParseLogName(d.Name()); !ok {
				return nil
			}
			return l.addSegment(strings.TrimSuffix(d.Name(), audit.LogSuffix), path)
		})
		if err != nil {
			return nil, err
		}
	}
	slices.Sort(l.names)
	return l, nil
}

// addSegment adds a segment, or another copy of a known segment. path is its log file.
func (l *AuditLogs) addSegment(name, path string) error {
	dir, known := l.dirs[name]
	if !known {
		l.dirs[name] = filepath.Dir(path)
		l.names = append(l.names, name)
		return nil
	}
	first, err := os.ReadFile(filepath.Join(dir, name+audit.LogSuffix))
	if err != nil {
		return err
	}
	second, err := os.ReadFile(path)
	switch {
	case err != nil:
		return err
	case bytes.HasPrefix(second, first):
		l.dirs[name] = filepath.Dir(path)
	case !bytes.HasPrefix(first, second):
		l.Conflicts = append(l.Conflicts, audit.Finding{
			Segment:   name,
			Violation: true,
			Message: "two copies differ, in " + dir + " and " + filepath.Dir(path) + ":" +
				" two fronts have the same name, or a log was restored from an old copy",
		})
	}
	return nil
}

// Names returns the names of all segments, sorted.
func (l *AuditLogs) Names() []string { return l.names }

// Log returns the content of a segment's log file.
func (l *AuditLogs) Log(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(l.dirs[name], name+audit.LogSuffix))
}

// Index returns the content of a segment's index file.
func (l *AuditLogs) Index(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(l.dirs[name], name+audit.IndexSuffix))
}

// Match is an interval during which a front probably accepted a request with a given id.
type Match struct {
	Segment     string
	Interval    uint32 // number of the interval
	IndexOffset int64  // position of the interval's part in the index file, in bytes
}

// indexHeadBytes is the size of the header of an interval's part of the index.
var indexHeadBytes = audit.IndexSize(0)

// Find searches all indexes for a request's id, on one goroutine per available processor. An interval of n requests that does not contain
// the id is returned as a false match with a probability of n in 2^40. unread lists the segments whose index could not be searched
// completely: the request may be in one of them.
func (l *AuditLogs) Find(id string) (matches []Match, unread []audit.Finding) {
	hash := audit.HashID([]byte(id))
	var mu sync.Mutex // guards matches and unread
	var workers sync.WaitGroup
	names := make(chan string)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for name := range names {
				found, err := l.findInSegment(name, hash)
				mu.Lock()
				matches = append(matches, found...)
				if err != nil {
					unread = append(unread, audit.UnreadSegment(name, err.Error()))
				}
				mu.Unlock()
			}
		})
	}
	for _, name := range l.names {
		names <- name
	}
	close(names)
	workers.Wait()
	slices.SortFunc(matches, func(a, b Match) int { return strings.Compare(a.Segment, b.Segment) })
	slices.SortFunc(unread, func(a, b audit.Finding) int { return strings.Compare(a.Segment, b.Segment) })
	return matches, unread
}

// findInSegment searches a segment's index for a hash. A segment that was removed after OpenAuditLogs has no matches. The index may
// extend beyond the intervals that the log file records: those parts belong to a line that is not written yet or was never written, and
// an error in them is ignored.
func (l *AuditLogs) findInSegment(name string, hash uint64) (matches []Match, err error) {
	needed, err := requiredIndexBytes(filepath.Join(l.dirs[name], name+audit.LogSuffix))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("the segment can't be read: %w", err)
	}
	f, err := os.Open(filepath.Join(l.dirs[name], name+audit.IndexSuffix))
	if errors.Is(err, os.ErrNotExist) && needed == 0 {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("the index can't be read: %w", err)
	}
	defer func() { _ = f.Close() }() // opened for reading only
	matches, end, err := searchIndex(f, name, hash)
	if err == nil && end < needed {
		err = errIndexIncomplete
	}
	if err != nil && end < needed {
		return matches, fmt.Errorf("the index can't be read after byte %d of %d: %w", end, needed, err)
	}
	return matches, nil
}

// errIndexIncomplete reports an index that is shorter than the log file requires, or has an invalid header.
var errIndexIncomplete = errors.New("it ends there or is damaged")

// searchIndex searches an index for a hash, interval by interval. end is the end of the last interval's part that was searched. The
// search ends without an error at the end of the file or at an invalid header, and with an error at an incomplete part.
func searchIndex(f io.ReaderAt, name string, hash uint64) (matches []Match, end int64, err error) {
	var buffer [512]byte
	read := func(offset int64, n int) ([]byte, error) {
		b := buffer[:]
		if n > len(b) {
			b = make([]byte, n)
		}
		_, err := f.ReadAt(b[:n], offset)
		return b[:n], err
	}
	for {
		n, err := f.ReadAt(buffer[:indexHeadBytes], end)
		if err != nil && !errors.Is(err, io.EOF) {
			return matches, end, err
		}
		interval, ids, ok := audit.DecodeIndexHead(buffer[:n])
		if !ok {
			return matches, end, nil
		}
		next := end + audit.IndexSize(ids)
		if _, err := f.ReadAt(buffer[:1], next-1); err != nil { // the part is incomplete
			return matches, end, err
		}
		found, err := audit.FindID(hash, ids, end+indexHeadBytes, read)
		if err != nil {
			return matches, end, err
		}
		if found {
			matches = append(matches, Match{name, interval, end})
		}
		end = next
	}
}

// initialTailBytes is how much of the end of a log file is read first to find its last interval; each further attempt reads four times as
// much.
const initialTailBytes = 16 << 10

// requiredIndexBytes returns the size that a segment's index must have at least, according to the last interval line in the log file at
// path.
func requiredIndexBytes(path string) (int64, error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }() // opened for reading only
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	for size := min(info.Size(), initialTailBytes); size > 0; size = min(info.Size(), 4*size) {
		tail := make([]byte, size)
		if _, err := f.ReadAt(tail, info.Size()-size); err != nil && !errors.Is(err, io.EOF) {
			return 0, err
		}
		if end := lastIndexEnd(tail); end > 0 || size == info.Size() {
			return end, nil
		}
	}
	return 0, nil
}

// lastIndexEnd returns where the part of the index ends that belongs to the last interval line in text, 0 if there is none. Lines that
// can't be parsed are skipped.
func lastIndexEnd(text []byte) int64 {
	for len(text) > 0 {
		begin := bytes.LastIndexByte(bytes.TrimSuffix(text, []byte{'\n'}), '\n') + 1
		var l audit.Line
		if json.Unmarshal(text[begin:], &l) == nil && l.IndexOffset > 0 {
			return l.IndexOffset - 1 + audit.IndexSize(l.Requests)
		}
		text = text[:begin]
	}
	return 0
}
