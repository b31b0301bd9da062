package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// PeerRequest is a request of the peer that must be executed here, or the cancellation of an execution.
type PeerRequest struct {
	Execution   uint64 // number of the execution, to be passed to ExecutionFinished
	IsCancel    bool   // the execution must be stopped; no field but Execution is set
	Group       int64
	Timeout     time.Duration // time that the peer still waits for the result
	MaxAttempts uint32        // maximum number of attempts at this site
	MinPosition int64         // replication position that a read must see, Unix milliseconds; 0 for none
	Data        []byte        // the statement
	Repeated    bool          // an earlier execution of the request, which began at FirstRunAt, may have run
	FirstRunAt  time.Duration
}

// requestKey identifies a request of the peer. Request IDs are unique within an epoch of the peer.
type requestKey struct{ epoch, id uint64 }

// execution is the execution of a request of the peer. It is running, or finished with a retained result.
type execution struct {
	requestKey
	number        uint64
	attemptNumber uint32        // of the latest attempt that was received
	serial        uint64        // of the latest attempt that was received
	repeated      bool          // an earlier execution of the request may have run
	firstRunAt    time.Duration // when that one began, or this one if it is the first
	result        *Frame        // nil while the execution is running
	finishedAt    time.Duration
	retainedBytes int64
}

// maxEndedEpochs is the number of earlier epochs of the peer of which the highest serial is remembered. A process that is replaced this
// often while one of its requests waits for its outcome is not expected.
const maxEndedEpochs = 16

// endedEpoch is an epoch of the peer whose executions were abandoned because a hello of another epoch was accepted.
type endedEpoch struct{ epoch, highestSerial uint64 }

// executionTable has the running and the retained executions of the peer's current epoch.
type executionTable struct {
	lastNumber    uint64
	byRequest     map[requestKey]*execution
	running       map[uint64]*execution // by number
	retained      []*execution          // finished executions, oldest first
	retainedBytes int64                 // sum over retained
	evictedSerial uint64                // highest serial of the peer's current epoch whose outcome was evicted
	highestSerial uint64                // highest serial that was received in the peer's current epoch
	endedEpochs   []endedEpoch          // the latest at the end; at most maxEndedEpochs
	returnedAt    time.Duration         // when the peer returned to an ended epoch
	hasReturned   bool                  // the peer's current epoch is one to which it returned
}

func newExecutionTable() executionTable {
	return executionTable{byRequest: map[requestKey]*execution{}, running: map[uint64]*execution{}}
}

// start adds a running execution for a request. earlier is the request's previous execution, or nil.
func (t *executionTable) start(now time.Duration, key requestKey, f *Frame, earlier *execution) *execution {
	t.lastNumber++
	x := &execution{requestKey: key, number: t.lastNumber, attemptNumber: f.AttemptNumber, serial: f.Serial, firstRunAt: now}
	if earlier != nil && (earlier.repeated || earlier.result.Status == StatusUnknown) {
		x.repeated, x.firstRunAt = true, earlier.firstRunAt
	}
	t.byRequest[key], t.running[x.number] = x, x
	return x
}

// beginEpoch discards all executions when the peer's epoch changes. If the peer returns to an epoch, no request of that epoch that was
// received before may be reported as not executed.
func (t *executionTable) beginEpoch(now time.Duration, previous, epoch uint64) {
	if t.endedEpochs = append(t.endedEpochs, endedEpoch{previous, t.highestSerial}); len(t.endedEpochs) > maxEndedEpochs {
		t.endedEpochs = slices.Delete(t.endedEpochs, 0, 1)
	}
	clear(t.byRequest)
	clear(t.running)
	t.retained, t.retainedBytes, t.evictedSerial, t.highestSerial = t.retained[:0], 0, 0, 0
	t.returnedAt, t.hasReturned = now, false
	for _, ended := range t.endedEpochs {
		if ended.epoch == epoch {
			t.evictedSerial, t.hasReturned = max(t.evictedSerial, ended.highestSerial), true
		}
	}
	t.highestSerial = t.evictedSerial
}

// finish ends a running execution and retains its result.
func (t *executionTable) finish(now time.Duration, x *execution, f Frame) {
	f.Kind, f.ID = FrameResult, x.id
	delete(t.running, x.number)
	x.result, x.finishedAt, x.retainedBytes = &f, now, f.creditCost()
	t.retainedBytes += x.retainedBytes
	t.retained = append(t.retained, x)
}

// discard removes a finished execution because its request is executed again.
func (t *executionTable) discard(x *execution) {
	if i := slices.Index(t.retained, x); i >= 0 {
		t.retained = append(t.retained[:i:i], t.retained[i+1:]...)
	}
	t.retainedBytes -= x.retainedBytes
	delete(t.byRequest, x.requestKey)
}

// evictExpired removes outcomes that were retained for longer than the given time. It records the highest evicted serial: no request up
// to this serial may be reported as not executed.
func (t *executionTable) evictExpired(now, retention time.Duration) {
	n := 0
	for n < len(t.retained) && now-t.retained[n].finishedAt > retention {
		x := t.retained[n]
		t.retainedBytes -= x.retainedBytes
		delete(t.byRequest, x.requestKey)
		t.evictedSerial = max(t.evictedSerial, x.serial)
		n++
	}
	t.retained = append(t.retained[:0], t.retained[n:]...)
}

// abandonExecutions cancels all executions because the peer is another process than the one that asked for them. Nobody waits for their
// results any more, and the IDs of the new process may be the same.
func (e *Endpoint) abandonExecutions(now time.Duration, epoch uint64) {
	for _, number := range slices.Sorted(maps.Keys(e.execs.running)) {
		e.peerRequests = append(e.peerRequests, PeerRequest{Execution: number, IsCancel: true})
	}
	e.Counters.Abandoned += len(e.execs.running)
	e.execs.beginEpoch(now, e.conn.peerEpoch, epoch)
}

// ExecutionFinished handles the result of the execution with the given number. The kind and the request ID of the frame need not
// be set. It does nothing if the execution was canceled.
func (e *Endpoint) ExecutionFinished(now time.Duration, number uint64, f Frame) {
	x := e.execs.running[number]
	if x == nil {
		return
	}
	e.execs.finish(now, x, f)
	if e.state == Up {
		e.unsentResults = append(e.unsentResults, x)
	}
}

// receiveForward handles a request of the peer. The request is executed, unless an earlier attempt of it is still running or was
// a write that succeeded. Then the later attempt gets the result of that execution. A request is rejected if there are too
// many executions, if there is no space to retain its result, or if it repeats a write of which a forgotten execution may have run.
func (e *Endpoint) receiveForward(now time.Duration, f *Frame) error {
	if f.Serial == 0 || f.Timeout <= 0 || f.MaxAttempts == 0 || len(f.Data) == 0 {
		return fmt.Errorf("%w: request without serial, timeout, attempts or statement", ErrProtocol)
	}
	e.execs.highestSerial = max(e.execs.highestSerial, f.Serial)
	key := requestKey{e.conn.peerEpoch, f.ID}
	x := e.execs.byRequest[key]
	switch {
	case x == nil:
	case f.AttemptNumber <= x.attemptNumber:
		return fmt.Errorf("%w: request %d received twice with attempt %d", ErrProtocol, f.ID, f.AttemptNumber)
	case x.result == nil: // the peer retries it: the running execution is reported under the newer attempt number
		x.attemptNumber, x.serial = f.AttemptNumber, f.Serial
		e.Counters.Duplicates++
		return nil
	case x.result.Status == StatusSucceeded && f.Write: // a write must not be executed twice; a read is executed again
		x.attemptNumber, x.serial = f.AttemptNumber, f.Serial
		e.Counters.Duplicates++
		e.unsentResults = append(e.unsentResults, x)
		return nil
	default:
		e.execs.discard(x)
	}
	forgotten := x == nil && f.Write && f.AttemptNumber > 0 && e.mayHaveForgotten(now)
	x = e.execs.start(now, key, f, x)
	if forgotten || len(e.execs.running) > e.settings.MaxInFlight || !e.canRetain(now, MaxDataBytes) {
		e.Counters.Rejected++
		e.ExecutionFinished(now, x.number, Frame{Status: StatusRejected})
		return nil
	}
	e.peerRequests = append(e.peerRequests, PeerRequest{Execution: x.number, Group: f.Group, Timeout: f.Timeout,
		MaxAttempts: f.MaxAttempts, MinPosition: f.MinPosition, Data: f.Data, Repeated: x.repeated, FirstRunAt: x.firstRunAt})
	return nil
}

// mayHaveForgotten reports whether an execution that this instance does not remember may have run within the longest idempotency window,
// which OutcomeRetention limits. This is so after the peer's return to an ended epoch. It is also so after the start of this process if the
// peer, being of an older version, does not withhold repeats of what it had sent to the process before.
func (e *Endpoint) mayHaveForgotten(now time.Duration) bool {
	if e.execs.hasReturned && now < e.execs.returnedAt+e.settings.OutcomeRetention {
		return true
	}
	return !e.conn.remembersFirstRuns && now < e.settings.OutcomeRetention
}

// canRetain reports whether outcomes of the given size may be retained in addition. If necessary it evicts expired outcomes.
func (e *Endpoint) canRetain(now time.Duration, bytes int64) bool {
	if e.execs.retainedBytes+bytes <= e.settings.MaxRetainedBytes {
		return true
	}
	e.execs.evictExpired(now, e.settings.OutcomeRetention)
	return e.execs.retainedBytes+bytes <= e.settings.MaxRetainedBytes
}

// receiveCancel requests that the execution of a canceled request be stopped. The retained outcome of the request is unknown, since
// it may still be executed.
func (e *Endpoint) receiveCancel(now time.Duration, f *Frame) {
	x := e.execs.byRequest[requestKey{e.conn.peerEpoch, f.ID}]
	if x == nil || x.attemptNumber != f.AttemptNumber || x.result != nil {
		return
	}
	e.peerRequests = append(e.peerRequests, PeerRequest{Execution: x.number, IsCancel: true})
	e.execs.finish(now, x, Frame{Status: StatusUnknown})
}

// answerOutcomeRequest answers a request for an outcome: with the result, with FrameStillRunning if a result will follow, with
// FrameNotExecuted if the request was not received, or with StatusUnknown if its outcome may have been evicted.
// FrameNotExecuted is certain because frames of older connections are not accepted any more.
func (e *Endpoint) answerOutcomeRequest(f *Frame) {
	x := e.execs.byRequest[requestKey{e.conn.peerEpoch, f.ID}]
	switch {
	case (x == nil || x.attemptNumber < f.AttemptNumber) && f.Serial <= e.execs.evictedSerial:
		e.queueControl(Frame{Kind: FrameResult, ID: f.ID, AttemptNumber: f.AttemptNumber, Status: StatusUnknown})
	case x == nil || x.attemptNumber < f.AttemptNumber:
		e.queueControl(Frame{Kind: FrameNotExecuted, ID: f.ID, AttemptNumber: f.AttemptNumber})
	case x.attemptNumber > f.AttemptNumber: // a later attempt was received, so this one gets no answer
	case x.result == nil:
		e.queueControl(Frame{Kind: FrameStillRunning, ID: f.ID, AttemptNumber: f.AttemptNumber})
	default:
		e.unsentResults = append(e.unsentResults, x)
	}
}
