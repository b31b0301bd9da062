package link

import (
	"errors"

	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// Attempts of our front that are forwarded to the peer site, and what the front is notified of.

// Errors of attempts at the remote site.
var (
	ErrLinkDown       = errors.New("link down")
	ErrOutcomeUnknown = errors.New("link lost, outcome unknown")
)

const messageHeader = 5 // bytes before the body of a message

// Send forwards an attempt to the remote site. It never blocks.
func (l *Link) Send(a *front.Attempt) {
	w, probe := a.Forwarded()
	l.mu.Lock()
	defer l.mu.Unlock()
	if probe {
		l.finished = append(l.finished, l.healthCheck(a))
		l.changed.Broadcast()
		return
	}
	l.attempts[w.RequestID] = a
	l.endpoint.Forward(l.opts.Clock.Now(), gateway.ForwardedRequest{ID: w.RequestID, AttemptNumber: uint32(w.AttemptNumber), Group: w.Group,
		Deadline: w.Deadline, MaxAttempts: uint32(w.MaxAttempts), Write: w.Write, After: w.MinPosition, Message: a.Message()[messageHeader:]})
	l.collectOutcomes()
	l.changed.Broadcast()
}

// cancelAttempt cancels an attempt, for the front. It never blocks.
func (l *Link) cancelAttempt(id uint64, number uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpoint.Cancel(id, number)
	delete(l.attempts, id)
	l.changed.Broadcast()
}

// healthCheck answers a health check of the remote site by the state of the link: for its groups the site is their
// primary.
func (l *Link) healthCheck(a *front.Attempt) *front.AttemptFinished {
	if l.endpoint.State() != gateway.Up {
		return &front.AttemptFinished{Attempt: a, Err: &front.ConnectionError{Stage: front.StageDial, Err: ErrLinkDown}}
	}
	return &front.AttemptFinished{Attempt: a, Answer: pgwire.SingleValueResult([]byte("x1=1"))}
}

// collectOutcomes queues the outcomes of forwarded requests for the front and returns the peer's requests. The mutex is
// held.
func (l *Link) collectOutcomes() []gateway.PeerRequest {
	for _, o := range l.endpoint.TakeOutcomes() {
		a := l.attempts[o.ID]
		if a == nil {
			continue
		}
		delete(l.attempts, o.ID)
		l.finished = append(l.finished, attemptFinished(a, &o))
		l.changed.Broadcast()
	}
	return l.endpoint.TakePeerRequests()
}

// attemptFinished translates the outcome of a forwarded request.
func attemptFinished(a *front.Attempt, o *gateway.Outcome) *front.AttemptFinished {
	if o.Result == nil {
		return attemptWithoutResult(a, o)
	}
	f := o.Result
	switch f.Status {
	case gateway.StatusServed:
		r := pgwire.QueryResult{Rows: f.Data, Complete: true, AppliedMillis: f.ReplicaPosition, HasApplied: f.ReplicaPosition != 0}
		if f.Role == 1 {
			r.Role = "primary"
		}
		return &front.AttemptFinished{Attempt: a, Answer: r, Remote: true, DataAge: f.Age + o.Elapsed, DataAgeKnown: f.AgeKnown}
	case gateway.StatusRejected:
		return &front.AttemptFinished{Attempt: a, Answer: pgwire.QueryResult{Code: pgwire.CodeTooManyConnections}}
	case gateway.StatusInvalid:
		return &front.AttemptFinished{Attempt: a, Answer: pgwire.QueryResult{Code: f.Code, ErrorMessage: f.Reason, AnyStatement: true}}
	}
	return &front.AttemptFinished{Attempt: a, Answer: pgwire.QueryResult{Code: pgwire.CodeInternalError}}
}

func attemptWithoutResult(a *front.Attempt, o *gateway.Outcome) *front.AttemptFinished {
	switch {
	case o.Overloaded:
		return &front.AttemptFinished{Attempt: a, Answer: pgwire.QueryResult{Code: pgwire.CodeTooManyConnections}}
	case o.NotExecuted:
		return &front.AttemptFinished{Attempt: a, Err: &front.ConnectionError{Stage: front.StageWrite, Err: ErrLinkDown}}
	}
	return &front.AttemptFinished{Attempt: a, Err: &front.ConnectionError{Stage: front.StageRead, Err: ErrOutcomeUnknown}}
}

// notifyFront passes finished attempts and changes of the link's state to the front. It runs until Close; posting to the
// front may block, so the mutex is not held then.
func (l *Link) notifyFront() {
	for {
		finished, state, ok := l.awaitNotification()
		if !ok {
			return
		}
		if state != nil {
			l.opts.Post(front.EndpointsChanged{Kind: routing.Delta,
				List: discovery.List{Endpoints: RemoteEndpoints(l.opts.PeerSite, l.opts.Groups, *state)}})
		}
		for _, f := range finished {
			l.opts.Post(f)
		}
	}
}

// awaitNotification waits for something that the front must know; state is nil where it did not change. It is not ok once
// the link is closed and all is notified.
func (l *Link) awaitNotification() (finished []*front.AttemptFinished, state *gateway.State, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.finished) == 0 && l.notifiedState == l.endpoint.State() {
		if l.ctx.Err() != nil {
			return nil, nil, false
		}
		l.changed.Wait()
	}
	finished, l.finished = l.finished, nil
	if now := l.endpoint.State(); now != l.notifiedState {
		l.notifiedState = now
		state = &now
	}
	return finished, state, true
}
