package front

import (
	"cmp"
	"fmt"
	"log/slog"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

// FailureStage says how far an attempt had come when its connection failed.
type FailureStage uint8

// The stages, in the order of an attempt.
const (
	StageLocal  FailureStage = iota // this machine could open no connection, for want of descriptors, ports or buffers
	StageDial                       // no connection came up
	StageWrite                      // the last byte was not written: the server cannot have run it
	StageRead                       // all was written: the server may have run it
	StageDecode                     // the server responded, but the response cannot be read: it may have run it
)

var stageNames = [...]string{"no local resources", "not connected", "not fully written", "no response", "unreadable response"}

// String names the stage, for messages.
func (s FailureStage) String() string { return stageNames[s] }

// ConnectionError is the failure of a connection under an attempt.
type ConnectionError struct {
	Stage FailureStage
	Err   error
}

// Error implements error.
func (e *ConnectionError) Error() string { return fmt.Sprintf("%v: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Err }

// AttemptFinished is the event that an attempt has a server's response, or that its connection failed.
type AttemptFinished struct {
	Attempt *Attempt
	Answer  pgwire.QueryResult // where Err is nil
	Err     *ConnectionError

	Remote       bool          // it comes from another site
	DataAge      time.Duration // how old its data may be, by that site's account and this front's clock
	DataAgeKnown bool

	Release func() // if not nil, called once the response has been passed on or dropped; it must not block
}

func (e *AttemptFinished) apply(c *Core, _ time.Duration) {
	if e.Release != nil {
		defer e.Release()
	}
	if e.Attempt.finished { // given up before: its result was passed on then
		return
	}
	e.Attempt.finished = true
	o := routing.AttemptOutcome{Result: attemptResult(&e.Answer, e.Err), Load: deployment.EmptyLoad}
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
		c.respondWith(entry, e, &o)
	}
	slog.Debug("attempt finished", "server", c.servers.names.Key(e.Attempt.server), "health_check", e.Attempt.healthCheck,
		"result", o.Result, "err", err, "load", o.Load)
	c.finishAttempt(e.Attempt, o, err)
}

// readServerState takes the server's role, load and log position from its response.
func (c *Core) readServerState(e *AttemptFinished, o *routing.AttemptOutcome) {
	answer, startedAt := &e.Answer, e.Attempt.startedAt
	o.Role = roles[answer.Role]
	if answer.HasApplied && o.Role == routing.Primary && answer.Code == "" && !e.Remote {
		c.correctClock(c.wall.observePresent(answer.AppliedMillis, startedAt, c.now))
	}
	report := answer.LoadReport
	if e.Attempt.healthCheck && o.Result == routing.Succeeded {
		report = answer.Value()
	}
	o.Load = c.loadReport(report, startedAt)
	if position := c.wall.at(answer.AppliedMillis); answer.HasApplied && c.wall.trusts(o.Role, position, c.now) {
		o.Position, o.HasPosition = position, true
	}
}

// respondWith gives a request its response where the result is final, whatever the router would decide.
func (c *Core) respondWith(entry *RequestEntry[*Request], e *AttemptFinished, o *routing.AttemptOutcome) {
	t := &entry.Value.version.types[entry.Value.typeIndex]
	if o.Result == routing.Succeeded && e.Remote && t.Consistency == routing.BoundedStaleness && (!e.DataAgeKnown || e.DataAge > t.MaxStaleness) {
		o.Result, o.HasPosition = routing.Misrouted, false // by now the data is older than the type allows
	}
	switch {
	case o.Result == routing.Succeeded:
		c.observeExecution(e.Attempt, &entry.Value.Statement)
		c.respond(entry, c.successResponse(e, o))
	case e.Answer.IsStatementError(): // every server would respond so
		c.respond(entry, Response{Status: StatusInvalid, Code: e.Answer.Code, Reason: cmp.Or(e.Answer.ErrorMessage, "the statement cannot be served")})
	case e.Answer.TooLong: // it ran, and another server's result would be as long
		c.respond(entry, Response{Status: StatusInvalid, Code: pgwire.CodeProgramLimitExceeded, Reason: e.Answer.ErrorMessage})
	}
}

var roles = map[string]routing.Role{"primary": routing.Primary, "replica": routing.Replica}

// attemptResult is the table of what a response or a failure means. Its line between what never ran and what may have run decides
// whether a request that is not idempotent may be sent again.
func attemptResult(answer *pgwire.QueryResult, err *ConnectionError) routing.AttemptResult {
	if err != nil {
		switch err.Stage {
		case StageDecode:
			return routing.ServerError // the server is reachable, and it may have run
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
		return routing.Misrouted // the server is well, and nothing ran
	case answer.Code == pgwire.CodeTooManyConnections:
		return routing.Overloaded
	case answer.Code != "":
		return routing.ServerError
	case answer.Complete:
		return routing.Succeeded
	}
	return routing.ServerError // a result without a row: it may have run
}

// loadReport reads a server's load report. The first position of a primary's report may correct the clock, if no response has.
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
