package link

import (
	"errors"

	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// What crosses a link, from here and from the peer.

const headed = 5 // bytes before a message's body

// Send takes an attempt to the far site. It never blocks.
func (l *Link) Send(s *front.Attempt) {
	w, probe := s.Forwarded()
	l.mu.Lock()
	defer l.mu.Unlock()
	if probe {
		l.ended = append(l.ended, l.probed(s))
		l.work.Broadcast()
		return
	}
	x := gateway.ForwardedRequest{ID: w.RequestID, AttemptNumber: uint32(w.AttemptNumber), Group: w.Group, Deadline: w.Deadline, MaxAttempts: uint32(w.MaxAttempts),
		Write: w.Write, After: w.MinPosition, Message: s.Message()[headed:]}
	l.subs[x.ID] = s
	l.side.Forward(l.o.Clock.Now(), x)
	l.carryOut()
	l.work.Broadcast()
}

// probed answers a probe of the far site by how the link stands: for its groups the site is their primary.
func (l *Link) probed(s *front.Attempt) *front.AttemptFinished {
	if l.side.State() != gateway.Up {
		return &front.AttemptFinished{Attempt: s, Err: &front.ConnectionError{Stage: front.StageDial, Err: errDown}}
	}
	return &front.AttemptFinished{Attempt: s, Answer: pgwire.SingleValueResult([]byte("x1=1"))}
}

var errDown = errors.New("the link is down")

// carryOut takes the core's wishes; it is called with the lock held. What is to run here is given back.
func (l *Link) carryOut() []gateway.PeerRequest {
	for _, e := range l.side.TakeOutcomes() {
		s := l.subs[e.ID]
		if s == nil {
			continue
		}
		delete(l.subs, e.ID)
		l.ended = append(l.ended, ending(s, &e))
		l.work.Broadcast()
	}
	return l.side.TakePeerRequests()
}

// ending puts the end of a crossing into a front's words.
func ending(s *front.Attempt, e *gateway.Outcome) *front.AttemptFinished {
	switch f := e.Result; {
	case f == nil && e.Overloaded:
		return &front.AttemptFinished{Attempt: s, Answer: pgwire.QueryResult{Code: pgwire.CodeTooManyConnections}}
	case f == nil && e.NotExecuted:
		return &front.AttemptFinished{Attempt: s, Err: &front.ConnectionError{Stage: front.StageWrite, Err: errDown}}
	case f == nil:
		return &front.AttemptFinished{Attempt: s, Err: &front.ConnectionError{Stage: front.StageRead, Err: errors.New("the link broke, and what became of it is not known")}}
	case f.Status == gateway.StatusServed:
		a := pgwire.QueryResult{Rows: f.Data, Complete: true, AppliedMillis: f.ReplicaPosition, HasApplied: f.ReplicaPosition != 0}
		if f.Role == 1 {
			a.Role = "primary"
		}
		return &front.AttemptFinished{Attempt: s, Answer: a, Remote: true, DataAge: f.Age + e.Elapsed, DataAgeKnown: f.AgeKnown}
	case f.Status == gateway.StatusRejected:
		return &front.AttemptFinished{Attempt: s, Answer: pgwire.QueryResult{Code: pgwire.CodeTooManyConnections}}
	case f.Status == gateway.StatusInvalid:
		return &front.AttemptFinished{Attempt: s, Answer: pgwire.QueryResult{Code: f.Code, ErrorMessage: f.Reason, AnyStatement: true}}
	}
	return &front.AttemptFinished{Attempt: s, Answer: pgwire.QueryResult{Code: "XX000"}}
}

// tell passes endings to the front; it alone may block there.
func (l *Link) tell() {
	for {
		l.mu.Lock()
		for len(l.ended) == 0 && l.told == l.side.State() {
			if l.ctx.Err() != nil {
				l.mu.Unlock()
				return
			}
			l.work.Wait()
		}
		all := l.ended
		l.ended = nil
		state := l.side.State()
		turned := state != l.told
		l.told = state
		l.mu.Unlock()
		if turned {
			l.o.Post(front.EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: RemoteEntries(l.o.PeerSite, l.o.Groups, state)}})
		}
		for _, e := range all {
			l.o.Post(e)
		}
	}
}

// runner is the client of a crossing of the peer, for our front.
type runner struct {
	l   *Link
	run uint64
}

// runs notes the arrival of a run, nil for none any more, and gives what was noted; with the lock held.
func (l *Link) runs(run uint64, a *front.Request) (before *front.Request) {
	before = l.here[run]
	if a == nil {
		delete(l.here, run)
	} else {
		l.here[run] = a
	}
	return before
}

// begin starts a run, or calls one off.
func (l *Link) begin(s gateway.PeerRequest) {
	if s.Canceled {
		l.mu.Lock()
		a := l.runs(s.Execution, nil)
		l.mu.Unlock()
		if a != nil {
			l.o.Post(a.MarkClientGone())
		}
		return
	}
	st, err := l.o.ParseStatement(s.Data)
	r := &runner{l, s.Execution}
	if err != nil || st.Empty {
		code, what := pgwire.CodeSyntaxError, "an empty statement"
		var m *pgwire.StatementError
		if errors.As(err, &m) {
			code, what = m.Code, m.Message
		} else if err != nil {
			what = err.Error()
		}
		r.Respond(front.Response{Status: front.StatusInvalid, Code: code, Reason: what})
		return
	}
	st.Timeout, st.After = min(st.Timeout, s.Timeout), max(st.After, s.After)
	a := front.NewRequest(r, st, l.o.Clock.Now())
	a.MaxAttempts = int(s.MaxAttempts)
	l.mu.Lock()
	l.runs(s.Execution, a)
	l.mu.Unlock()
	l.o.Post(a)
}

// Respond takes our front's final answer on the core's goroutine; it never blocks.
func (r *runner) Respond(f front.Response) {
	l := r.l
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs(r.run, nil)
	l.side.ExecutionFinished(l.o.Clock.Now(), r.run, frame(&f))
	l.work.Broadcast()
}

// frame puts a final answer into a frame.
func frame(f *front.Response) gateway.Frame {
	switch f.Status {
	case front.StatusSucceeded:
		g := gateway.Frame{Status: gateway.StatusServed, Data: f.Rows, ReplicaPosition: f.Position, Age: f.DataAge, AgeKnown: f.DataAgeKnown}
		if f.FromPrimary {
			g.Role = 1
		}
		if len(g.Data) > gateway.MaxDataBytes { // it ran; the value does not fit the link
			return gateway.Frame{Status: gateway.StatusUnknown, Code: pgwire.CodeProgramLimitExceeded}
		}
		return g
	case front.StatusRejected:
		if f.MayHaveRun {
			return gateway.Frame{Status: gateway.StatusUnknown, Code: pgwire.CodeTooManyConnections}
		}
		return gateway.Frame{Status: gateway.StatusRejected, RetryAfter: f.RetryAfter}
	case front.StatusInvalid:
		return gateway.Frame{Status: gateway.StatusInvalid, Code: f.Code, Reason: f.Reason}
	}
	return gateway.Frame{Status: gateway.StatusUnknown, Code: pgwire.CodeTransactionRollback}
}
