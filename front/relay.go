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

const (
	StageLocal  FailureStage = iota // this machine could open no connection, for want of something of its own
	StageDial                       // no connection came up
	StageWrite                      // its last byte was not written
	StageRead                       // all of it was: the member may have run it
	StageDecode                     // and the member answered, but what came cannot be read
)

// ConnectionError is a connection's failure under an attempt.
type ConnectionError struct {
	Stage FailureStage
	Err   error
}

func (f *ConnectionError) Error() string {
	return fmt.Sprintf("%s: %v", [...]string{"no connection could be opened here", "not connected", "not fully written", "written", "answer spoilt"}[f.Stage], f.Err)
}

func (f *ConnectionError) Unwrap() error { return f.Err }

// AttemptFinished brings what came of an attempt: a member's answer, or the failure of the connection.
type AttemptFinished struct {
	Attempt *Attempt
	Answer  pgwire.QueryResult
	Err     *ConnectionError

	Remote       bool          // it comes from another site
	DataAge      time.Duration // how old its data may be, by that site's word and our own clock
	DataAgeKnown bool          // Age is known

	Release func() // where set, is called once the answer has been passed on or dropped; it must not block
}

func (e *AttemptFinished) apply(c *Core, _ time.Duration) {
	if e.Release != nil {
		defer e.Release()
	}
	if e.Attempt.finished {
		return // given up before; that ending was told
	}
	e.Attempt.finished = true
	o := routing.AttemptOutcome{Result: attemptResult(&e.Answer, e.Err), Load: deployment.EmptyLoad}
	if a := &e.Answer; e.Err == nil {
		o.Role = roles[a.Role]
		if a.HasApplied && o.Role == routing.Primary && a.Code == "" && !e.Remote {
			c.clockCorrected(c.wallClock.observePresent(a.AppliedMillis, e.Attempt.startedAt, c.now))
		}
		report := a.LoadReport
		if e.Attempt.healthCheck && o.Result == routing.Succeeded {
			report = a.Value()
		}
		o.Load = c.loadReport(report, e.Attempt.startedAt)
		if a.HasApplied && c.trustsPosition(o.Role, c.fromUnix(a.AppliedMillis)) {
			o.Position, o.HasPosition = c.fromUnix(a.AppliedMillis), true
		}
	}
	if d := c.slab.Get(e.Attempt.ref); d != nil {
		ty := &d.Value.version.types[d.Value.typeIndex]
		if o.Result == routing.Succeeded && e.Remote && ty.Consistency == routing.BoundedStaleness && (!e.DataAgeKnown || e.DataAge > ty.MaxStaleness) {
			o.Result, o.HasPosition = routing.Misrouted, false // a read that is older than its bound by now is nobody's answer
		}
		switch {
		case o.Result == routing.Succeeded:
			c.recordExecutionTime(e.Attempt)
			c.respond(d, c.successResponse(e, &o))
		case e.Answer.IsStatementError(): // as it would be anywhere: other members are spared it
			c.respond(d, Response{Status: StatusInvalid, Code: e.Answer.Code, Reason: cmp.Or(e.Answer.ErrorMessage, "the statement cannot be served")})
		case e.Answer.TooLong: // it ran; another member would answer as much
			c.respond(d, Response{Status: StatusInvalid, Code: pgwire.CodeProgramLimitExceeded, Reason: e.Answer.ErrorMessage})
		}
	}
	var why error
	if e.Err != nil {
		why = e.Err
		if e.Err.Stage == StageDecode {
			c.metrics.unreadable++
		}
	}
	slog.Debug("ended", "member", c.members.Key(e.Attempt.server), "probe", e.Attempt.healthCheck, "ending", o.Result,
		"why", why, "report", o.Load)
	c.attemptFinished(e.Attempt, o, why)
}

// successResponse is the final answer of what a member committed, with how old its data may be for a further site: since the
// attempt went out, and what the member was behind when it answered. Only clocks of one site are compared.
func (c *Core) successResponse(e *AttemptFinished, o *routing.AttemptOutcome) Response {
	f := Response{Status: StatusSucceeded, Rows: e.Answer.Rows, FromPrimary: o.Role == routing.Primary}
	if e.Answer.HasApplied {
		f.Position = e.Answer.AppliedMillis
	}
	switch {
	case e.Remote:
		f.DataAge, f.DataAgeKnown = e.DataAge, e.DataAgeKnown
	case f.FromPrimary:
		f.DataAge, f.DataAgeKnown = c.now-e.Attempt.startedAt, true
	case o.HasPosition:
		f.DataAge, f.DataAgeKnown = c.now-e.Attempt.startedAt+max(0, c.now-o.Position), true
	}
	return f
}

var roles = map[string]routing.Role{"primary": routing.Primary, "replica": routing.Replica}

// attemptResult is the protocol's table.
func attemptResult(a *pgwire.QueryResult, f *ConnectionError) routing.AttemptResult {
	switch {
	case f != nil && f.Stage == StageDecode:
		return routing.ServerError // the member is there, and it may have run
	case f != nil && f.Stage == StageRead:
		return routing.ConnectionLost
	case f != nil && f.Stage == StageLocal:
		return routing.NotSent // never sent, and nobody's fault
	case f != nil:
		return routing.Unreachable
	case a.TooLong:
		return routing.ServerError
	case a.Code == pgwire.CodeReadOnlyTransaction || a.Code == pgwire.CodeSnapshotTooOld || a.IsStatementError():
		return routing.Misrouted // the member is well, and nothing ran
	case a.Code == pgwire.CodeTooManyConnections:
		return routing.Overloaded
	case a.Code != "":
		return routing.ServerError
	case a.Complete:
		return routing.Succeeded
	}
	return routing.ServerError // an answer without a row: it may have run
}

// loadReport reads a member's report of its load. Where a primary's is the first that tells of the present, times move by it.
func (c *Core) loadReport(pairs []byte, sent time.Duration) routing.LoadReport {
	l := deployment.EmptyLoad
	zero := c.fromUnix(0)
	if !pgwire.ParseLoadReport(pairs, func(name string, v float64) { deployment.SetLoadField(&l, name, v, zero) }) {
		return deployment.EmptyLoad
	}
	if l.HasPosition && l.Role == routing.Primary && !c.confirmed {
		told := (l.Position - zero).Milliseconds()
		c.clockCorrected(c.wallClock.observePresent(told, sent-maxLoadReportAge, c.now))
		l.Position = c.fromUnix(told)
	}
	l.HasPosition = l.HasPosition && c.trustsPosition(l.Role, l.Position)
	return l
}
