package front

import (
	"bytes"

	"dapplerouter/pgwire"
)

// Pipeline holds the requests that one connection has sent and that are not answered yet, in the order in which they came.
//
// Requests that do not depend on one another run side by side. Two of which one writes, and which name the same row, run
// one after the other. Answers leave in the order of the requests. A request that has to wait keeps the deadline that it
// had when it came in. The zero value is an empty pipeline.
//
// A request begins at most once, and never before all earlier ones on which it depends are answered. It does no I/O and
// is for one goroutine.
type Pipeline[T any] struct {
	queue []*PipelineEntry[T]
}

// PipelineEntry is one request in a Pipeline.
type PipelineEntry[T any] struct {
	Request   T
	statement *pgwire.Statement // nil for a request that is answered without the core
	state     pipelinedState
}

type pipelinedState uint8

const (
	pipelinedQueued pipelinedState = iota
	pipelinedRunning
	pipelinedAnswered
)

// Len is the number of requests without a written answer.
func (p *Pipeline[T]) Len() int { return len(p.queue) }

// Add puts a request behind all others. statement is nil where its answer is known already.
func (p *Pipeline[T]) Add(request T, statement *pgwire.Statement) *PipelineEntry[T] {
	entry := &PipelineEntry[T]{Request: request, statement: statement}
	if statement == nil {
		entry.state = pipelinedAnswered
	}
	p.queue = append(p.queue, entry)
	return entry
}

// StartNext gives the first request that may run now and has not begun, and marks it as running; ok is false where there is none.
func (p *Pipeline[T]) StartNext() (request T, ok bool) {
	for i, entry := range p.queue {
		if entry.state == pipelinedQueued && !p.mustWait(i) {
			entry.state = pipelinedRunning
			return entry.Request, true
		}
	}
	return request, false
}

// mustWait tells whether an earlier request has to be answered before the one at a place may begin.
func (p *Pipeline[T]) mustWait(place int) bool {
	later := p.queue[place].statement
	for _, earlier := range p.queue[:place] {
		if earlier.state != pipelinedAnswered && dependent(earlier.statement, later) {
			return true
		}
	}
	return false
}

// dependent tells whether two statements have to run in their order. Of a classed statement it is not known which rows
// it touches beside the one it names.
func dependent(earlier, later *pgwire.Statement) bool {
	if !earlier.Write && !later.Write {
		return false
	}
	if earlier.Normalized != nil || later.Normalized != nil {
		return true
	}
	return earlier.Group == later.Group && bytes.Equal(earlier.Key, later.Key)
}

// MarkAnswered notes that a request's answer is known.
func (e *PipelineEntry[T]) MarkAnswered() { e.state = pipelinedAnswered }

// PopAnswered takes the first request off, if its answer is known.
func (p *Pipeline[T]) PopAnswered() (request T, ok bool) {
	if len(p.queue) == 0 || p.queue[0].state != pipelinedAnswered {
		return request, false
	}
	request = p.queue[0].Request
	p.queue[0] = nil
	p.queue = p.queue[1:]
	if len(p.queue) == 0 {
		p.queue = nil
	}
	return request, true
}

// Abandon empties the pipeline, for a client that has gone: running have begun and are not answered, the rest are all others.
func (p *Pipeline[T]) Abandon() (running, rest []T) {
	for _, entry := range p.queue {
		if entry.state == pipelinedRunning {
			running = append(running, entry.Request)
		} else {
			rest = append(rest, entry.Request)
		}
	}
	p.queue = nil
	return running, rest
}
