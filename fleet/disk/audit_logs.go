package disk

import (
	"bytes"
	"errors"
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
// take it is returned by mistake with a chance of n in 2^40.
func (l *AuditLogs) Find(id string) (matches []Match, err error) {
	hash := audit.HashID([]byte(id))
	var mu sync.Mutex // guards matches and err
	var workers sync.WaitGroup
	names := make(chan string)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for name := range names {
				found, findErr := l.find(name, hash)
				mu.Lock()
				matches = append(matches, found...)
				if findErr != nil && !errors.Is(findErr, os.ErrNotExist) {
					err = errors.Join(err, findErr)
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
	return matches, err
}

// find looks for a hash in a segment's index. What is behind an incomplete part of the index is passed over.
func (l *AuditLogs) find(name string, hash uint64) (matches []Match, err error) {
	f, err := os.Open(filepath.Join(l.dirs[name], name+audit.IndexSuffix))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was read
	var buffer [512]byte
	read := func(offset int64, n int) ([]byte, error) {
		b := buffer[:]
		if n > len(b) {
			b = make([]byte, n)
		}
		_, err := f.ReadAt(b[:n], offset)
		return b[:n], err
	}
	for offset := int64(0); ; {
		n, err := f.ReadAt(buffer[:indexHeadBytes], offset)
		if n == 0 && errors.Is(err, io.EOF) {
			return matches, nil
		}
		interval, ids, ok := audit.DecodeIndexHead(buffer[:n])
		if !ok {
			return matches, nil
		}
		found, err := audit.FindID(hash, ids, offset+indexHeadBytes, read)
		if err != nil {
			return matches, nil
		}
		if found {
			matches = append(matches, Match{name, interval, offset})
		}
		offset += audit.IndexSize(ids)
	}
}
