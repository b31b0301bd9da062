package gateway

import (
	"fmt"
	"slices"
	"time"
)

// PeerRequest is a request of the peer that is to be executed here, or the cancellation of one.
type PeerRequest struct {
	Execution   uint64 // number of the execution, for ExecutionFinished
	Canceled    bool   // stop the execution; no other field is set
	Group       int64
	Timeout     time.Duration
	MaxAttempts uint32
	After       int64  // replication position that a read must see, Unix milliseconds; 0 for none
	Data        []byte // the statement
}

// requestKey names a request of the peer: request IDs are unique within one epoch.
type requestKey struct{ epoch, id uint64 }

// execution is a request of the peer that is executing here, or has finished and is retained.
type execution struct {
	requestKey
	number        uint64
	attemptNumber uint32 // the latest received
	serial        uint64 // the highest received
	result        *Frame // nil while it is executing
	finishedAt    time.Duration
	retainedBytes int64
}

// executionTable holds the requests of the peer.
type executionTable struct {
	lastNumber      uint64
	byRequest       map[requestKey]*execution
	running         map[uint64]*execution // by number
	retained        []*execution          // finished, oldest first
	retainedBytes   int64
	forgottenSerial uint64 // highest of the peer's present epoch whose outcome was forgotten
}

func newExecutionTable() executionTable {
	return executionTable{byRequest: map[requestKey]*execution{}, running: map[uint64]*execution{}}
}

func (t *executionTable) start(key requestKey, f *Frame) *execution {
	t.lastNumber++
	x := &execution{requestKey: key, number: t.lastNumber, attemptNumber: f.AttemptNumber, serial: f.Serial}
	t.byRequest[key], t.running[x.number] = x, x
	return x
}

// finish retains the result of an execution.
func (t *executionTable) finish(now time.Duration, x *execution, f Frame) {
	f.Kind, f.ID = FrameResult, x.id
	delete(t.running, x.number)
	x.result, x.finishedAt, x.retainedBytes = &f, now, f.creditCost()
	t.retainedBytes += x.retainedBytes
	t.retained = append(t.retained, x)
}

// discard removes a finished execution whose request is executed again.
func (t *executionTable) discard(x *execution) {
	if i := slices.Index(t.retained, x); i >= 0 {
		t.retained = append(t.retained[:i:i], t.retained[i+1:]...)
	}
	t.retainedBytes -= x.retainedBytes
	delete(t.byRequest, x.requestKey)
}

// evictExpired forgets outcomes that were retained for long enough. Of the present epoch, the highest serial that was
// forgotten is noted: nothing may be called not executed up to it.
func (t *executionTable) evictExpired(now, retention time.Duration, peerEpoch uint64) {
	n := 0
	for n < len(t.retained) && now-t.retained[n].finishedAt > retention {
		x := t.retained[n]
		t.retainedBytes -= x.retainedBytes
		delete(t.byRequest, x.requestKey)
		if x.epoch == peerEpoch {
			t.forgottenSerial = max(t.forgottenSerial, x.serial)
		}
		n++
	}
	t.retained = append(t.retained[:0], t.retained[n:]...)
}

// ExecutionFinished handles the result of an execution; the frame needs neither kind nor request ID. It does nothing for
// an execution that was canceled.
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

// receiveForward handles a request of the peer: it is executed, or joins the execution of an earlier attempt, or has its
// outcome sent again.
func (e *Endpoint) receiveForward(now time.Duration, f *Frame) error {
	if f.Serial == 0 || f.Timeout <= 0 || f.MaxAttempts == 0 || len(f.Data) == 0 {
		return fmt.Errorf("%w: request without serial, timeout, attempts or statement", ErrProtocol)
	}
	key := requestKey{e.conn.peerEpoch, f.ID}
	x := e.execs.byRequest[key]
	switch {
	case x == nil:
	case f.AttemptNumber <= x.attemptNumber:
		return fmt.Errorf("%w: request %d received twice with attempt %d", ErrProtocol, f.ID, f.AttemptNumber)
	case x.result == nil: // the peer lost sight of it and sent it again: one execution, with the newer attempt's number
		x.attemptNumber, x.serial = f.AttemptNumber, f.Serial
		e.Counters.Duplicates++
		return nil
	case x.result.Status == StatusServed && f.Write: // its effect must not come twice; a read is executed again
		x.attemptNumber, x.serial = f.AttemptNumber, f.Serial
		e.Counters.Duplicates++
		e.unsentResults = append(e.unsentResults, x)
		return nil
	default:
		e.execs.discard(x)
	}
	x = e.execs.start(key, f)
	if len(e.execs.running) > e.set.MaxInFlight || !e.canRetain(now, MaxDataBytes) {
		e.Counters.Rejected++
		e.ExecutionFinished(now, x.number, Frame{Status: StatusRejected})
		return nil
	}
	e.peerRequests = append(e.peerRequests, PeerRequest{Execution: x.number, Group: f.Group, Timeout: f.Timeout,
		MaxAttempts: f.MaxAttempts, After: f.After, Data: f.Data})
	return nil
}

// canRetain reports whether so many bytes more of outcomes may be retained, if need be after evicting expired ones.
func (e *Endpoint) canRetain(now time.Duration, bytes int64) bool {
	if e.execs.retainedBytes+bytes <= e.set.RetainedBytes {
		return true
	}
	e.execs.evictExpired(now, e.set.OutcomeRetention, e.conn.peerEpoch)
	return e.execs.retainedBytes+bytes <= e.set.RetainedBytes
}

// receiveCancel stops an execution that the peer no longer waits for. Its outcome is unknown from then on.
func (e *Endpoint) receiveCancel(now time.Duration, f *Frame) {
	x := e.execs.byRequest[requestKey{e.conn.peerEpoch, f.ID}]
	if x == nil || x.attemptNumber != f.AttemptNumber || x.result != nil {
		return
	}
	e.peerRequests = append(e.peerRequests, PeerRequest{Execution: x.number, Canceled: true})
	e.execs.finish(now, x, Frame{Status: StatusUnknown})
}

// answerOutcomeRequest answers what became of a request: its result, that a result will follow, or that the
// request never arrived. The last is certain since frames of older connections are not accepted any more.
func (e *Endpoint) answerOutcomeRequest(f *Frame) {
	x := e.execs.byRequest[requestKey{e.conn.peerEpoch, f.ID}]
	switch {
	case (x == nil || x.attemptNumber < f.AttemptNumber) && f.Serial <= e.execs.forgottenSerial:
		e.sendControl(Frame{Kind: FrameResult, ID: f.ID, AttemptNumber: f.AttemptNumber, Status: StatusUnknown})
	case x == nil || x.attemptNumber < f.AttemptNumber:
		e.sendControl(Frame{Kind: FrameNotExecuted, ID: f.ID, AttemptNumber: f.AttemptNumber})
	case x.attemptNumber > f.AttemptNumber: // a later attempt arrived: this one is not answered
	case x.result == nil:
		e.sendControl(Frame{Kind: FrameStillRunning, ID: f.ID, AttemptNumber: f.AttemptNumber})
	default:
		e.unsentResults = append(e.unsentResults, x)
	}
}
