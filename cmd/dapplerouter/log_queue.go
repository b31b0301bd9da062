package main

import (
	"io"
	"time"
)

// queuedWriter is the log's writer. It never blocks: lines wait in a bounded queue for a goroutine that writes them, and a line that
// finds the queue full is dropped.
type queuedWriter struct {
	queue chan []byte
	done  chan struct{} // closed once the last line is written
}

const (
	maxQueuedLines = 1024
	closeLogWithin = time.Second
)

func newQueuedWriter(w io.Writer) *queuedWriter {
	q := &queuedWriter{queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for b := range q.queue {
			if b == nil {
				return
			}
			_, _ = w.Write(b) // the log is where errors are reported; service continues without it
		}
	}()
	return q
}

// Write queues a line. The error is always nil.
func (q *queuedWriter) Write(b []byte) (int, error) {
	select {
	case q.queue <- append([]byte{}, b...):
	default:
	}
	return len(b), nil
}

// close writes the queued lines, and gives up where nobody reads them in time.
func (q *queuedWriter) close() {
	timeout := time.After(closeLogWithin)
	select {
	case q.queue <- nil:
	case <-timeout:
		return
	}
	select {
	case <-q.done:
	case <-timeout:
	}
}
