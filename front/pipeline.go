package front

import (
	"bytes"

	"dapplerouter/pgwire"
)

// Pipeline holds the requests that one connection has sent and whose responses are not written yet, in the order in which they came.
//
// Requests that do not depend on one another run concurrently. Two that name the same row, and of which at least one writes, run one
// after the other. Responses leave in the order of the requests. A request that has to wait keeps the deadline that it had when it
// came. The zero value is an empty pipeline.
//
// Invariants: a request is started at most once, and not before all earlier ones on which it depends have their responses. A Pipeline
// does no I/O and is for one goroutine.
type Pipeline[T any] struct {
	queue []*PipelineEntry[T]
}

// PipelineEntry is one request in a Pipeline.
type PipelineEntry[T any] struct {
	Request   T
	statement *pgwire.Statement // nil for a request whose response was known when it came
	state     pipelineState
}

type pipelineState uint8

const (
	pipelineQueued pipelineState = iota
	pipelineRunning
	pipelineAnswered
)

// Len is the number of requests whose responses are not taken off.
func (p *Pipeline[T]) Len() int { return len(p.queue) }

// Add puts a request behind all others; statement is nil where its response is known already.
func (p *Pipeline[T]) Add(request T, statement *pgwire.Statement) *PipelineEntry[T] {
	entry := &PipelineEntry[T]{Request: request, statement: statement}
	if statement == nil {
		entry.state = pipelineAnswered
	}
	p.queue = append(p.queue, entry)
	return entry
}

// StartNext marks the first request that was not started and may run now as running and returns it; ok is false where there is none.
func (p *Pipeline[T]) StartNext() (request T, ok bool) {
	for i, entry := range p.queue {
		if entry.state == pipelineQueued && !p.mustWait(i) {
			entry.state = pipelineRunning
			return entry.Request, true
		}
	}
	return request, false
}

// mustWait reports whether an earlier request needs its response before the one at an index may be started.
func (p *Pipeline[T]) mustWait(index int) bool {
	later := p.queue[index].statement
	for _, earlier := range p.queue[:index] {
		if earlier.state != pipelineAnswered && dependent(earlier.statement, later) {
			return true
		}
	}
	return false
}

// dependent reports whether two statements have to run in their order. Of a classified statement it is not known which rows it touches
// beside the one it names.
func dependent(earlier, later *pgwire.Statement) bool {
	if !earlier.Write && !later.Write {
		return false
	}
	if earlier.Normalized != nil || later.Normalized != nil {
		return true
	}
	return earlier.Group == later.Group && bytes.Equal(earlier.Key, later.Key)
}

// MarkAnswered notes that a request's response is known.
func (e *PipelineEntry[T]) MarkAnswered() { e.state = pipelineAnswered }

// PopAnswered takes the first request off, if its response is known.
func (p *Pipeline[T]) PopAnswered() (request T, ok bool) {
	if len(p.queue) == 0 || p.queue[0].state != pipelineAnswered {
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

// Abandon empties the pipeline, for a client that has gone. It returns the requests that are running, and all others.
func (p *Pipeline[T]) Abandon() (running, others []T) {
	for _, entry := range p.queue {
		if entry.state == pipelineRunning {
			running = append(running, entry.Request)
		} else {
			others = append(others, entry.Request)
		}
	}
	p.queue = nil
	return running, others
}
