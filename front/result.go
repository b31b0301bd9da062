package front

import (
	"cmp"
	"fmt"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// FailureStage is the stage that an attempt had reached when its connection failed.
type FailureStage uint8

// The stages, in the order of an attempt.
const (
	StageLocal  FailureStage = iota // this machine lacked descriptors, ports or buffers to open a connection
	StageDial                       // the connection to the server could not be established
	StageWrite                      // the last byte was not written, so the server cannot have run the request
	StageRead                       // everything was written, so the server may have run the request
	StageDecode                     // the response could not be decoded; the server may have run the request
)

var stageNames = [...]string{"no local resources", "not connected", "not fully written", "no response", "unreadable response"}

// String returns the description of the stage in error messages, such as "not connected".
func (s FailureStage) String() string { return stageNames[s] }

// ConnectionError is the failure of the connection that an attempt used or waited for.
type ConnectionError struct {
	Stage FailureStage
	Err   error
}

// Error implements error.
func (e *ConnectionError) Error() string { return fmt.Sprintf("%v: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Err }

// AttemptFinished is the event that an attempt has received a server's response, or that its connection has failed: it could not be
// opened, or it failed while the request was being written or the response read. The response may be an error, or incomplete (see
// QueryResult.Complete); the attempt has not succeeded then. The core needs no such event for attempts that it has timed out or cancelled,
// and ignores one that follows.
type AttemptFinished struct {
	Attempt *Attempt
	Result  pgwire.QueryResult // valid if Err is nil
	Err     *ConnectionError

	Remote       bool          // the response comes from another site
	DataAge      time.Duration // remote: upper bound on the age of the data, from that site's report and this front's clock
	DataAgeKnown bool

	Release func() // if not nil, called after the response was passed on or dropped; must not block
}

// apply notifies the router of the result. It responds to the client first if the result is final; otherwise the router decides whether
// the request is sent again. It drops the result of an attempt that has ended before. In any case it calls Release at the end.
func (e *AttemptFinished) apply(c *Core, _ time.Duration) {
	if e.Release != nil {
		defer e.Release()
	}
	if e.Attempt.finished { // ended before, for example by its timeout; the router has been notified of that result
		return
	}
	e.Attempt.finished = true
	o := routing.AttemptOutcome{Result: attemptResult(&e.Result, e.Err), Load: deployment.EmptyLoad}
	var err error
	if e.Err == nil {
		c.readServerState(e, &o)
	} else {
		err = e.Err
		if e.Err.Stage == StageDecode {
			c.metrics.unreadable++
		}
	}
	if entry := c.requests.table.Get(e.Attempt.ref); entry != nil {
		c.respondIfFinal(entry, e, &o)
	}
	c.logAttemptFinished(e, &o, err)
	c.finishAttempt(e.Attempt, o, err)
}

// readServerState copies the server's role, load and log position from its response into the outcome, and corrects the wall clock by a
// primary's log position.
func (c *Core) readServerState(e *AttemptFinished, o *routing.AttemptOutcome) {
	answer, startedAt := &e.Result, e.Attempt.startedAt
	o.Role = roles[answer.Role]
	if answer.HasApplied && o.Role == routing.Primary && answer.Code == "" && !e.Remote {
		c.correctClock(c.wall.observeCommit(answer.AppliedMillis, startedAt, c.now, c.dedupWindow(e.Attempt)))
	}
	report := answer.LoadReport
	if e.Attempt.healthCheck && o.Result == routing.Succeeded {
		report = answer.Value()
	}
	o.Load = c.loadReport(report, startedAt)
	if position := c.wall.at(answer.AppliedMillis); answer.HasApplied &&
		c.wall.trustsReport(c.servers.at(e.Attempt.server), o.Role, position, c.now) {
		o.Position, o.HasPosition = position, true
	}
	c.logRole(e.Attempt.server, roleStatement{role: o.Role, position: o.Position, hasPosition: o.HasPosition, source: sourceResponse})
	c.logRole(e.Attempt.server, roleStatement{role: o.Load.Role, position: o.Load.Position, hasPosition: o.Load.HasPosition, source: sourceLoadReport})
}

// dedupWindow returns how long servers remember the idempotency key of an attempt's request, or 0 if it has none.
func (c *Core) dedupWindow(a *Attempt) time.Duration {
	entry := c.requests.table.Get(a.ref)
	if entry == nil {
		return 0
	}
	t := &c.catalog.types[entry.Value.typeIndex]
	if t.Idempotency != routing.IdempotencyKey {
		return 0
	}
	return t.DedupWindow
}

// respondIfFinal responds to a request if the result of its attempt is final, without a decision of the router. A result whose data is too
// old becomes Stale.
func (c *Core) respondIfFinal(entry *RequestEntry[*Request], e *AttemptFinished, o *routing.AttemptOutcome) {
	if o.Result == routing.Succeeded && c.isStale(entry.Value, e, o) {
		o.Result, o.HasPosition = routing.Stale, o.HasPosition && !e.Remote
		c.logStaleResult(e, o, entry.Value)
	}
	switch {
	case o.Result == routing.Succeeded:
		c.observeExecution(e.Attempt, &entry.Value.Statement)
		c.respond(entry, c.successResponse(e, o))
	case e.Result.IsStatementError(): // every server would return the same error
		c.respond(entry, Response{Status: StatusInvalid, Code: e.Result.Code, Reason: cmp.Or(e.Result.ErrorMessage, "the statement cannot be served")})
	case e.Result.TooLong: // the statement ran, and the result of another server would be too long as well
		c.respond(entry, Response{Status: StatusInvalid, Code: pgwire.CodeProgramLimitExceeded, Reason: e.Result.ErrorMessage})
	}
}

// isStale reports whether the data of a result is older than the request allows. A result from another site comes with the age of its data.
func (c *Core) isStale(r *Request, e *AttemptFinished, o *routing.AttemptOutcome) bool {
	if e.Remote {
		t := &r.version.types[r.typeIndex]
		return t.Consistency == routing.BoundedStaleness && (!e.DataAgeKnown || e.DataAge > t.MaxStaleness)
	}
	return !c.router.MayServe(e.Attempt.ref, routing.ReadResult{SentAt: e.Attempt.sentAt, Role: o.Role, Position: o.Position, HasPosition: o.HasPosition})
}

var roles = map[string]routing.Role{"primary": routing.Primary, "replica": routing.Replica}

// attemptResult maps a response or a connection failure to the result of the attempt. A request that is not idempotent may only be sent
// again after a result that proves that the attempt never ran; see routing.AttemptResult.NeverRan.
func attemptResult(answer *pgwire.QueryResult, err *ConnectionError) routing.AttemptResult {
	if err != nil {
		switch err.Stage {
		case StageDecode:
			return routing.ServerError // the server is reachable, and the request may have run
		case StageRead:
			return routing.ConnectionLost
		case StageLocal:
			return routing.NotSent // the server is not to blame
		default:
			return routing.Unreachable
		}
	}
	switch {
	case answer.TooLong:
		return routing.ServerError
	case answer.Code == pgwire.CodeReadOnlyTransaction || answer.Code == pgwire.CodeSnapshotTooOld || answer.IsStatementError():
		return routing.Misrouted // the server is healthy, and nothing ran
	case answer.Code == pgwire.CodeTooManyConnections:
		return routing.Overloaded
	case answer.Code != "":
		return routing.ServerError
	case answer.Complete:
		return routing.Succeeded
	}
	return routing.ServerError // an incomplete result: the request may have run
}

// loadReport decodes a server's load report; if it is malformed, the result is empty. The position in a primary's report may correct the
// wall clock as long as no response has confirmed it.
func (c *Core) loadReport(pairs []byte, startedAt time.Duration) routing.LoadReport {
	l := deployment.EmptyLoad
	origin := c.wall.at(0)
	if !pgwire.ParseLoadReport(pairs, func(name string, v float64) { deployment.SetLoadField(&l, name, v, origin) }) {
		return deployment.EmptyLoad
	}
	if l.HasPosition && l.Role == routing.Primary && !c.wall.confirmed {
		position := (l.Position - origin).Milliseconds()
		c.correctClock(c.wall.observePresent(position, startedAt-maxLoadReportAge, c.now))
		l.Position = c.wall.at(position)
	}
	l.HasPosition = l.HasPosition && c.wall.trusts(l.Role, l.Position, c.now)
	return l
}
