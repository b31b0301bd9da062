package main

import (
	"io"
	"time"
)

// queuedWriter is the writer of the log. It never blocks its callers: a goroutine writes the lines from a bounded queue. A line that finds
// the queue full is dropped.
type queuedWriter struct {
	queue chan []byte   // nil ends the goroutine
	done  chan struct{} // closed when the last line has been written
}

const (
	maxQueuedLines  = 1024
	logCloseTimeout = time.Second
)

// newQueuedWriter makes a queuedWriter for w and starts its goroutine, which close ends. A line that is written while maxQueuedLines lines
// wait is dropped without an error.
func newQueuedWriter(w io.Writer) *queuedWriter {
	q := &queuedWriter{queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for b := range q.queue {
			if b == nil {
				return
			}
			_, _ = w.Write(b) // there is no other place to report an error; service continues without the log
		}
	}()
	return q
}

// Write queues a copy of a line, or drops the line if the queue is full. It never returns an error.
func (q *queuedWriter) Write(b []byte) (int, error) {
	select {
	case q.queue <- append([]byte{}, b...):
	default:
	}
	return len(b), nil
}

// close writes the queued lines. After logCloseTimeout it gives up, since the log's reader may be stuck.
func (q *queuedWriter) close() {
	timeout := time.After(logCloseTimeout)
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
