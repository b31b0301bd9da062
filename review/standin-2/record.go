package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run, in order of time.
type record struct {
	mu    sync.Mutex // guards the fields below
	file  *os.File
	start time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// now returns the time since the case began.
func (r *record) now() time.Duration { return time.Since(r.start) }

// printf writes a line with the time since the case began in milliseconds.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f  %s\n", float64(r.now().Microseconds())/1000, fmt.Sprintf(format, args...))
}
