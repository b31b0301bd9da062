package link

import (
	"errors"

	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// This file forwards the local front's attempts to the peer site and notifies the front of their results.

// Errors of attempts that are forwarded to the remote site.
var (
	ErrLinkDown       = errors.New("link down")
	ErrOutcomeUnknown = errors.New("link lost, outcome unknown")
	ErrRepeatWithheld = errors.New("the remote site does not know since when the write may have run")
)

const messageHeader = 5 // length of a PostgreSQL message's type and length fields, in bytes

// attemptKey identifies a forwarded attempt. requestID is unique among all processes of this site: it is the front's number of the
// request, which begins anew with each process, combined with the epoch of this process. Otherwise a result that the peer sends for an
// earlier process could be taken for that of a request of this one.
type attemptKey struct {
	requestID     uint64
	attemptNumber uint32
}

// attemptKey returns the key of a forwarded attempt.
func (l *Link) attemptKey(f *front.ForwardedAttempt) attemptKey {
	return attemptKey{f.RequestID ^ l.opts.Epoch, uint32(f.AttemptNumber)}
}

// Send forwards an attempt to the remote site, or answers it at once if it is a health check. It never blocks.
func (l *Link) Send(a *front.Attempt) {
	w, probe := a.Forwarded()
	l.mu.Lock()
	defer l.mu.Unlock()
	if probe {
		l.finished = append(l.finished, l.healthCheck(a))
		l.changed.Broadcast()
		return
	}
	key := l.attemptKey(&w)
	l.attempts[key] = a
	l.endpoint.Forward(l.opts.Clock.Now(), gateway.ForwardedRequest{ID: key.requestID, AttemptNumber: key.attemptNumber, Group: w.Group,
		Deadline: w.Deadline, MaxAttempts: uint32(w.MaxAttempts), Write: w.Write, MinPosition: w.MinPosition, Message: a.Message()[messageHeader:],
		Repeated: w.Repeated, FirstRunAt: w.FirstRunAt})
	l.collectOutcomes()
	l.changed.Broadcast()
}

// cancelAttempt cancels an attempt. The front calls it through the attempt. It never blocks.
func (l *Link) cancelAttempt(key attemptKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpoint.Cancel(key.requestID, key.attemptNumber)
	delete(l.attempts, key)
	l.changed.Broadcast()
}

// healthCheck returns the result of a health check of the remote site, which depends only on the state of the link. If the link
// is up, the remote site reports that it is a primary, since it acts as the primary of its groups.
func (l *Link) healthCheck(a *front.Attempt) *front.AttemptFinished {
	if l.endpoint.State() != gateway.Up {
		return &front.AttemptFinished{Attempt: a, Err: &front.ConnectionError{Stage: front.StageDial, Err: ErrLinkDown}}
	}
	return &front.AttemptFinished{Attempt: a, Result: pgwire.SingleValueResult([]byte("x1=1"))}
}

// collectOutcomes queues the outcomes of forwarded requests for notifyFront and returns the peer's requests. The caller must hold
// the mutex.
func (l *Link) collectOutcomes() []gateway.PeerRequest {
	for _, o := range l.endpoint.TakeOutcomes() {
		key := attemptKey{o.ID, o.AttemptNumber}
		a := l.attempts[key]
		if a == nil {
			continue
		}
		delete(l.attempts, key)
		l.finished = append(l.finished, attemptFinished(a, &o))
		l.changed.Broadcast()
	}
	return l.endpoint.TakePeerRequests()
}

// attemptFinished converts the outcome of a forwarded request to an event for the front.
func attemptFinished(a *front.Attempt, o *gateway.Outcome) *front.AttemptFinished {
	if o.Result == nil {
		return attemptWithoutResult(a, o)
	}
	f := o.Result
	switch f.Status {
	case gateway.StatusSucceeded:
		r := pgwire.QueryResult{Rows: f.Data, Complete: true, AppliedMillis: f.ReplicaPosition, HasApplied: f.ReplicaPosition != 0}
		if f.Role == 1 {
			r.Role = "primary"
		}
		return &front.AttemptFinished{Attempt: a, Result: r, Remote: true, DataAge: f.Age + o.Elapsed, DataAgeKnown: f.AgeKnown}
	case gateway.StatusRejected:
		return &front.AttemptFinished{Attempt: a, Result: pgwire.QueryResult{Code: pgwire.CodeTooManyConnections}}
	case gateway.StatusInvalid:
		return &front.AttemptFinished{Attempt: a, Result: pgwire.QueryResult{Code: f.Code, ErrorMessage: f.Reason, AnyStatement: true}}
	}
	return &front.AttemptFinished{Attempt: a, Result: pgwire.QueryResult{Code: pgwire.CodeInternalError}}
}

// attemptWithoutResult converts an outcome without a result frame to an event for the front.
func attemptWithoutResult(a *front.Attempt, o *gateway.Outcome) *front.AttemptFinished {
	switch {
	case o.Withheld:
		return &front.AttemptFinished{Attempt: a, Err: &front.ConnectionError{Stage: front.StageLocal, Err: ErrRepeatWithheld}}
	case o.Overloaded:
		return &front.AttemptFinished{Attempt: a, Result: pgwire.QueryResult{Code: pgwire.CodeTooManyConnections}}
	case o.NotExecuted:
		return &front.AttemptFinished{Attempt: a, Err: &front.ConnectionError{Stage: front.StageWrite, Err: ErrLinkDown}}
	}
	return &front.AttemptFinished{Attempt: a, Err: &front.ConnectionError{Stage: front.StageRead, Err: ErrOutcomeUnknown}}
}

// notifyFront passes finished attempts and changes of the link's state to the front. It runs until Close. Posting to the front may
// block, so the mutex is not held meanwhile.
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

// awaitNotification waits until there are finished attempts or the state of the link has changed. state is nil if it has not
// changed. The result is not ok once the link is closed and everything was returned.
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
