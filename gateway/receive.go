package gateway

import (
	"fmt"
	"time"
)

// Receive handles a frame from the current connection. An error wraps ErrProtocol, and the caller must close the connection.
func (e *Endpoint) Receive(now time.Duration, f *Frame) error {
	if e.state != Up {
		return fmt.Errorf("%w: frame of kind %d before the hello", ErrProtocol, f.Kind)
	}
	e.conn.lastReceived, e.conn.unconfirmed = now, false
	if err := e.credit.receive(f.creditCost(), e.settings.CreditBytes); err != nil {
		return err
	}
	switch f.Kind {
	case FrameForward:
		return e.receiveForward(now, f)
	case FrameCancel:
		e.receiveCancel(now, f)
	case FrameOutcomeRequest:
		e.answerOutcomeRequest(f)
	case FrameResult:
		return e.receiveResult(now, f)
	case FrameStillRunning:
		if p := e.outcomeRequestedFor(f); p != nil {
			p.state = forwardSent
			e.Counters.Recovered++
		}
	case FrameNotExecuted:
		if p := e.outcomeRequestedFor(f); p != nil {
			e.Counters.ProvenNotExecuted++
			e.finishForward(p, Outcome{NotExecuted: true})
		}
	case FrameCredit:
		return e.credit.creditReceived(f.CreditBytes)
	case FramePing:
	default:
		return fmt.Errorf("%w: frame of kind %d", ErrProtocol, f.Kind)
	}
	return nil
}

// receiveResult ends a forwarded request with its result. A result for a request that has ended or for an earlier attempt is late;
// it is counted and is not a protocol violation.
func (e *Endpoint) receiveResult(now time.Duration, f *Frame) error {
	p := e.forwards.pending[f.ID]
	if p == nil || p.AttemptNumber != f.AttemptNumber || p.state != forwardSent && p.state != outcomeRequested {
		e.Counters.LateResults++
		return nil
	}
	if f.Status < StatusSucceeded || f.Status > StatusInvalid || f.Age < 0 {
		return fmt.Errorf("%w: result with status %d and age %v", ErrProtocol, f.Status, f.Age)
	}
	if p.state == outcomeRequested {
		e.Counters.Recovered++
	}
	e.Counters.Answered++
	if f.Status == StatusUnknown && f.Code == "" {
		e.finishForward(p, Outcome{Elapsed: now - p.sentAt})
		return nil
	}
	e.finishForward(p, Outcome{Result: f, Elapsed: now - p.sentAt, NotExecuted: f.Status == StatusRejected})
	return nil
}

// outcomeRequestedFor returns the forwarded request that the frame refers to if its outcome was requested and is not known yet.
// Otherwise it returns nil.
func (e *Endpoint) outcomeRequestedFor(f *Frame) *pendingRequest {
	p := e.forwards.pending[f.ID]
	if p == nil || p.AttemptNumber != f.AttemptNumber || p.state != outcomeRequested {
		return nil
	}
	return p
}
