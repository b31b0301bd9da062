package front

import (
	"bytes"

	"dapplerouter/pgwire"
)

// Pipeline orders the requests of one client connection. It holds those whose responses have not been taken yet, in order of arrival.
//
// Independent requests run concurrently. Two requests for the same row run one after the other if at least one of them writes. Responses
// are taken in the order of the requests. Waiting in the pipeline does not extend the deadline of a request. The zero value is an empty
// pipeline.
//
// Invariant: A request is started at most once, and only after all earlier requests on which it depends have their responses. A Pipeline
// does no I/O and must be used by a single goroutine.
type Pipeline[T any] struct {
	queue []*PipelineEntry[T]
}

// PipelineEntry is one request in a Pipeline.
type PipelineEntry[T any] struct {
	Request   T
	statement *pgwire.Statement // nil for a request that was answered on arrival
	state     pipelineState
}

// pipelineState is the state of a request in a Pipeline.
type pipelineState uint8

const (
	pipelineQueued pipelineState = iota
	pipelineRunning
	pipelineAnswered
)

// Len returns the number of requests in the pipeline, in any state: those whose responses have not been taken yet.
func (p *Pipeline[T]) Len() int { return len(p.queue) }

// Add appends a request to the pipeline. statement is nil if the response is already known; the request is then not started. The caller
// calls MarkAnswered of the returned entry once the response is known.
func (p *Pipeline[T]) Add(request T, statement *pgwire.Statement) *PipelineEntry[T] {
	entry := &PipelineEntry[T]{Request: request, statement: statement}
	if statement == nil {
		entry.state = pipelineAnswered
	}
	p.queue = append(p.queue, entry)
	return entry
}

// StartNext returns the first queued request that does not have to wait and marks it as running; ok is false if there is none.
func (p *Pipeline[T]) StartNext() (request T, ok bool) {
	for i, entry := range p.queue {
		if entry.state == pipelineQueued && !p.mustWait(i) {
			entry.state = pipelineRunning
			return entry.Request, true
		}
	}
	return request, false
}

// mustWait reports whether the request at an index depends on an earlier request that has no response yet.
func (p *Pipeline[T]) mustWait(index int) bool {
	later := p.queue[index].statement
	for _, earlier := range p.queue[:index] {
		if earlier.state != pipelineAnswered && dependent(earlier.statement, later) {
			return true
		}
	}
	return false
}

// dependent reports whether two statements must run one after the other. Two reads never do. If at least one is a write, two statements
// that are not classified depend on each other if they name the same group and the same key. A classified statement may touch other rows
// than the one that it names, so it depends on every other statement unless both are reads.
func dependent(earlier, later *pgwire.Statement) bool {
	if !earlier.Write && !later.Write {
		return false
	}
	if earlier.Normalized != nil || later.Normalized != nil {
		return true
	}
	return earlier.Group == later.Group && bytes.Equal(earlier.Key, later.Key)
}

// MarkAnswered records that the response of the request is known.
func (e *PipelineEntry[T]) MarkAnswered() { e.state = pipelineAnswered }

// PopAnswered removes and returns the first request if its response is known; otherwise ok is false.
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

// Abandon empties the pipeline of a client that has disconnected. It returns the running requests, and separately the others: those that
// were not started and those whose responses are known.
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
