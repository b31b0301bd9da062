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

// AuditLogs reads audits from folders: a front's own, or one where many were exported or collected. It is audit.Files.
type AuditLogs struct {
	at        map[string]string // folder, by a segment's name
	in        []string
	Conflicts []audit.Finding // segments of which there are two copies that differ
}

// OpenAuditLogs looks for segments in folders and in those below them. Of one that lies in two of them the longer counts, where it
// goes on from the other; where they differ, that is told.
func OpenAuditLogs(dirs ...string) (*AuditLogs, error) {
	l := &AuditLogs{at: map[string]string{}}
	for _, dir := range dirs {
		err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			if _, _, ok := audit.ParseLogName(d.Name()); ok {
				name := strings.TrimSuffix(d.Name(), audit.LogSuffix)
				was, twice := l.at[name]
				if !twice {
					l.at[name] = filepath.Dir(path)
					l.in = append(l.in, name)
					return nil
				}
				a, err := os.ReadFile(filepath.Join(was, name+audit.LogSuffix))
				if err != nil {
					return err
				}
				b, err := os.ReadFile(path)
				switch {
				case err != nil:
					return err
				case bytes.HasPrefix(b, a):
					l.at[name] = filepath.Dir(path)
				case !bytes.HasPrefix(a, b):
					l.Conflicts = append(l.Conflicts, audit.Finding{Segment: name, Violation: true,
						Message: "two copies differ, in " + was + " and " + filepath.Dir(path) + ": two fronts of one name, or a log restored from an old copy"})
				}
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	slices.Sort(l.in)
	return l, nil
}

// Names, Lines and IDs are those of audit.Files.
func (l *AuditLogs) Names() []string { return l.in }

func (l *AuditLogs) Lines(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(l.at[name], name+audit.LogSuffix))
}

func (l *AuditLogs) IDs(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(l.at[name], name+audit.IndexSuffix))
}

// Match is a span that took a request of an id.
type Match struct {
	Segment     string
	Span        uint32
	IndexOffset int64 // where the span stands in the index
}

// Find looks for a request's id in all indexes, by as many at once as there are processors. A span of n requests that did not take it
// is named by mistake with chance n in 2^40.
func (l *AuditLogs) Find(id string) (hits []Match, err error) {
	want := audit.HashID([]byte(id))
	var mu sync.Mutex
	var all sync.WaitGroup
	next := make(chan string)
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for name := range next {
				found, fault := l.find(name, want)
				mu.Lock()
				hits = append(hits, found...)
				if fault != nil && !errors.Is(fault, os.ErrNotExist) {
					err = errors.Join(err, fault)
				}
				mu.Unlock()
			}
		})
	}
	for _, name := range l.in {
		next <- name
	}
	close(next)
	all.Wait()
	slices.SortFunc(hits, func(a, b Match) int { return strings.Compare(a.Segment, b.Segment) })
	return hits, err
}

func (l *AuditLogs) find(name string, want uint64) (hits []Match, err error) {
	f, err := os.Open(filepath.Join(l.at[name], name+audit.IndexSuffix))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var buf [512]byte
	for off := int64(0); ; {
		n, err := f.ReadAt(buf[:16], off)
		if n == 0 && errors.Is(err, io.EOF) {
			return hits, nil
		}
		span, ids, ok := audit.DecodeIndexHead(buf[:n])
		if !ok {
			return hits, nil // torn: what is behind can't be found
		}
		at := off + audit.IndexSize(0)
		found, err := audit.FindID(want, ids, at, func(off int64, n int) ([]byte, error) {
			b := buf[:]
			if n > len(b) {
				b = make([]byte, n)
			}
			_, err := f.ReadAt(b[:n], off)
			return b[:n], err
		})
		if err != nil {
			return hits, nil
		}
		if found {
			hits = append(hits, Match{name, span, off})
		}
		off += audit.IndexSize(ids)
	}
}
