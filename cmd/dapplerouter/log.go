package main

import (
	"io"
	"time"
)

// queuedWriter is a log's writer that never holds up who writes: lines wait in a bounded queue, and what does not
// fit is dropped.
type queuedWriter struct {
	queue chan []byte
	done  chan struct{}
}

const maxQueuedLines = 1024

func newQueuedWriter(w io.Writer) *queuedWriter {
	q := &queuedWriter{queue: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for b := range q.queue {
			if b == nil {
				return
			}
			w.Write(b)
		}
	}()
	return q
}

func (q *queuedWriter) Write(b []byte) (int, error) {
	select {
	case q.queue <- append([]byte{}, b...):
	default:
	}
	return len(b), nil
}

// close writes what is queued, unless nobody reads it.
func (q *queuedWriter) close() {
	timeout := time.After(time.Second)
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
