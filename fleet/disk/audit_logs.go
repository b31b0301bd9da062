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

// AuditLogs reads the audit logs of many fronts from folders: a front's own, or one to which logs were exported or collected. It
// implements audit.Files.
type AuditLogs struct {
	Conflicts []audit.Finding // segments of which there are two copies that differ

	names []string          // of all segments, sorted
	dirs  map[string]string // by segment
}

// OpenAuditLogs looks for segments in folders and in those below them. Of a segment with two copies the longer one is read, where it
// continues the other; two that differ are a conflict.
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
			return l.add(strings.TrimSuffix(d.Name(), audit.LogSuffix), path)
		})
		if err != nil {
			return nil, err
		}
	}
	slices.Sort(l.names)
	return l, nil
}

// add adds a segment, or a further copy of one.
func (l *AuditLogs) add(name, path string) error {
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
			Message:   "two copies differ, in " + dir + " and " + filepath.Dir(path) + ": two fronts of one name, or a log restored from an old copy",
		})
	}
	return nil
}

// Names returns the names of all segments, sorted.
func (l *AuditLogs) Names() []string { return l.names }

// Lines returns the content of a segment's file of lines.
func (l *AuditLogs) Lines(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(l.dirs[name], name+audit.LogSuffix))
}

// IDs returns the content of a segment's index.
func (l *AuditLogs) IDs(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(l.dirs[name], name+audit.IndexSuffix))
}

// Match is an interval in which a front took a request of an id.
type Match struct {
	Segment     string
	Interval    uint32 // its number
	IndexOffset int64  // of the interval's part of the index, in bytes
}

// indexHeadBytes is the size of the head of an interval's part of the index.
var indexHeadBytes = audit.IndexSize(0)

// Find looks for a request's id in all indexes, in as many goroutines as there are processors. An interval of n requests that did not
// take it is returned by mistake with a chance of n in 2^40. unread are the segments whose index could not be searched to its end: the
// request may be there.
func (l *AuditLogs) Find(id string) (matches []Match, unread []audit.Finding) {
	hash := audit.HashID([]byte(id))
	var mu sync.Mutex // guards matches and unread
	var workers sync.WaitGroup
	names := make(chan string)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for name := range names {
				found, err := l.find(name, hash)
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

// find looks for a hash in a segment's index. A segment that was removed since OpenAuditLogs has none. What the index holds behind the
// segment's lines is of a line that is not written yet, or never was.
func (l *AuditLogs) find(name string, hash uint64) (matches []Match, err error) {
	needed, err := indexBytesOf(filepath.Join(l.dirs[name], name+audit.LogSuffix))
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
	defer func() { _ = f.Close() }() // it was read
	matches, end, err := searchIndex(f, name, hash)
	if err == nil && end < needed {
		err = errIndexIncomplete
	}
	if err != nil && end < needed {
		return matches, fmt.Errorf("the index can't be read behind byte %d of %d: %w", end, needed, err)
	}
	return matches, nil
}

var errIndexIncomplete = errors.New("it ends there, or is damaged")

// searchIndex looks for a hash in an index, part by part. end is behind the last part that was searched.
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
		if _, err := f.ReadAt(buffer[:1], next-1); err != nil { // the part is not there to its end
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

// tailBytes is how much of a segment is read at first to find the last interval.
const tailBytes = 16 << 10

// indexBytesOf returns how many bytes of index a segment's lines tell of, by the last interval among them.
func indexBytesOf(path string) (int64, error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }() // it was read
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	for size := min(info.Size(), tailBytes); size > 0; size = min(info.Size(), 4*size) {
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

// lastIndexEnd returns where the index of the last interval among lines ends, 0 for none. Lines that can't be read are passed over.
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
