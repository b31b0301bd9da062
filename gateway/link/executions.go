package link

import (
	"errors"

	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/pgwire"
)

// This file passes the peer's requests to the local front and returns its responses to the peer.

// peerClient is the client of a request of the peer at the local front. It receives the response.
type peerClient struct {
	link      *Link
	execution uint64
}

// expectExecutions records executions that are about to start, so that they can be canceled from now on. The caller must hold the mutex.
func (l *Link) expectExecutions(requests []gateway.PeerRequest) {
	for _, p := range requests {
		if !p.IsCancel {
			l.executions[p.Execution] = nil
		}
	}
}

// startExecution records the front's request for an execution. It returns false if the execution was canceled; then the request must not
// be executed.
func (l *Link) startExecution(number uint64, r *front.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, expected := l.executions[number]; !expected {
		return false
	}
	l.executions[number] = r
	return true
}

// cancelExecution removes an execution and returns the front's request for it, nil if it has not started or has finished.
func (l *Link) cancelExecution(number uint64) *front.Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.executions[number]
	delete(l.executions, number)
	return r
}

// execute starts or cancels an execution. A statement that cannot be parsed is answered without the front. Posting to the front
// may block, so the mutex is not held meanwhile.
func (l *Link) execute(p gateway.PeerRequest) {
	if p.IsCancel {
		if r := l.cancelExecution(p.Execution); r != nil {
			l.opts.Post(r.MarkClientGone())
		}
		return
	}
	client := &peerClient{l, p.Execution}
	statement, err := l.opts.ParseStatement(p.Data)
	if err != nil || statement.Empty {
		client.Respond(invalidStatement(err))
		return
	}
	statement.Timeout, statement.LastWritePosition = min(statement.Timeout, p.Timeout), max(statement.LastWritePosition, p.MinPosition)
	r := front.NewRequest(client, statement, l.opts.Clock.Now())
	r.MaxAttempts = int(p.MaxAttempts)
	if p.Repeated {
		r.SetFirstRun(p.FirstRunAt)
	}
	if l.startExecution(p.Execution, r) {
		l.opts.Post(r)
	}
}

// invalidStatement returns the response to a statement that cannot be parsed, or to an empty statement if err is nil.
func invalidStatement(err error) front.Response {
	r := front.Response{Status: front.StatusInvalid, Code: pgwire.CodeSyntaxError, Reason: "an empty statement"}
	var invalid *pgwire.StatementError
	if errors.As(err, &invalid) {
		r.Code, r.Reason = invalid.Code, invalid.Message
	} else if err != nil {
		r.Reason = err.Error()
	}
	return r
}

// Respond passes the front's response to the endpoint. It runs on the goroutine of the front's core and never blocks.
func (c *peerClient) Respond(r front.Response) {
	l := c.link
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.executions, c.execution)
	l.endpoint.ExecutionFinished(l.opts.Clock.Now(), c.execution, resultFrame(&r))
	l.changed.Broadcast()
}

// resultFrame converts a response of the front to the fields of a FrameResult.
func resultFrame(r *front.Response) gateway.Frame {
	switch r.Status {
	case front.StatusSucceeded:
		if len(r.Rows) > gateway.MaxDataBytes { // the statement was executed, but its rows do not fit in a frame
			return gateway.Frame{Status: gateway.StatusUnknown, Code: pgwire.CodeProgramLimitExceeded}
		}
		f := gateway.Frame{Status: gateway.StatusSucceeded, Data: r.Rows, ReplicaPosition: r.Position, Age: r.DataAge, AgeKnown: r.DataAgeKnown}
		if r.FromPrimary {
			f.Role = 1
		}
		return f
	case front.StatusRejected:
		if r.MayHaveRun {
			return gateway.Frame{Status: gateway.StatusUnknown, Code: pgwire.CodeTooManyConnections}
		}
		return gateway.Frame{Status: gateway.StatusRejected, RetryAfter: r.RetryAfter}
	case front.StatusInvalid:
		return gateway.Frame{Status: gateway.StatusInvalid, Code: r.Code, Reason: r.Reason}
	}
	return gateway.Frame{Status: gateway.StatusUnknown, Code: pgwire.CodeTransactionRollback}
}
