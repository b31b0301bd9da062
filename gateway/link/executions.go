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

// setExecution records the front's request for an execution and returns the previous one. If r is nil, it removes the record. The
// caller must hold the mutex.
func (l *Link) setExecution(number uint64, r *front.Request) (previous *front.Request) {
	previous = l.executions[number]
	if r == nil {
		delete(l.executions, number)
	} else {
		l.executions[number] = r
	}
	return previous
}

// execute starts or cancels an execution. A statement that cannot be parsed is answered without the front. Posting to the front
// may block, so the mutex is not held meanwhile.
func (l *Link) execute(p gateway.PeerRequest) {
	if p.IsCancel {
		l.mu.Lock()
		r := l.setExecution(p.Execution, nil)
		l.mu.Unlock()
		if r != nil {
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
	l.mu.Lock()
	l.setExecution(p.Execution, r)
	l.mu.Unlock()
	l.opts.Post(r)
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
	l.setExecution(c.execution, nil)
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
