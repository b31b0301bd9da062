package front

import (
	"cmp"
	"fmt"
	"log/slog"
	"time"

	"dapplerouter/pgwire"
	"dapplerouter/port"
	"dapplerouter/site"
)

// Reach says how far an attempt had come when its connection failed.
type Reach uint8

const (
	Local       Reach = iota // this machine could open no connection, for want of something of its own
	Unconnected              // no connection came up
	Unwritten                // its last byte was not written
	Written                  // all of it was: the member may have run it
	Spoilt                   // and the member answered, but what came cannot be read
)

// Failure is a connection's failure under an attempt.
type Failure struct {
	Reach Reach
	Err   error
}

func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %v", [...]string{"no connection could be opened here", "not connected", "not fully written", "written", "answer spoilt"}[f.Reach], f.Err)
}

func (f *Failure) Unwrap() error { return f.Err }

// Ended brings what came of an attempt: a member's answer, or the failure of the connection.
type Ended struct {
	S       *Attempt
	Answer  pgwire.Answer
	Failure *Failure

	Crossed bool          // it comes from another site
	Age     time.Duration // how old its data may be, by that site's word and our own clock
	Aged    bool          // Age is known

	Release func() // where set, is called once the answer has been passed on or dropped; it must not block
}

func (e *Ended) take(c *Core, _ time.Duration) {
	if e.Release != nil {
		defer e.Release()
	}
	if e.S.done {
		return // given up before; that ending was told
	}
	e.S.done = true
	o := port.AttemptOutcome{Result: ending(&e.Answer, e.Failure), Load: site.NoReport}
	if a := &e.Answer; e.Failure == nil {
		o.Role = roles[a.Role]
		if a.HasApplied && o.Role == port.Primary && a.Code == "" && !e.Crossed {
			c.moved(c.timeline.present(a.Applied, e.S.sent, c.now))
		}
		report := a.Load
		if e.S.probe && o.Result == port.Succeeded {
			report = a.Value()
		}
		o.Load = c.report(report, e.S.sent)
		if a.HasApplied && c.believes(o.Role, c.since(a.Applied)) {
			o.Position, o.HasPosition = c.since(a.Applied), true
		}
	}
	if d := c.slab.At(e.S.ref); d != nil {
		ty := &d.What.terms.types[d.What.typ]
		if o.Result == port.Succeeded && e.Crossed && ty.Consistency == port.BoundedStaleness && (!e.Aged || e.Age > ty.MaxStaleness) {
			o.Result, o.HasPosition = port.Misrouted, false // a read that is older than its bound by now is nobody's answer
		}
		switch {
		case o.Result == port.Succeeded:
			c.learns(e.S)
			c.answer(d, c.served(e, &o))
		case e.Answer.Senseless(): // as it would be anywhere: other members are spared it
			c.answer(d, Response{Status: Senseless, Code: e.Answer.Code, Reason: cmp.Or(e.Answer.Message, "the statement cannot be served")})
		case e.Answer.TooLong: // it ran; another member would answer as much
			c.answer(d, Response{Status: Senseless, Code: pgwire.TooLarge, Reason: e.Answer.Message})
		}
	}
	var why error
	if e.Failure != nil {
		why = e.Failure
		if e.Failure.Reach == Spoilt {
			c.metrics.spoilt++
		}
	}
	slog.Debug("ended", "member", c.members.Key(e.S.member), "probe", e.S.probe, "ending", o.Result,
		"why", why, "report", o.Load)
	c.ended(e.S, o, why)
}

// served is the final answer of what a member committed, with how old its data may be for a further site: since the
// attempt went out, and what the member was behind when it answered. Only clocks of one site are compared.
func (c *Core) served(e *Ended, o *port.AttemptOutcome) Response {
	f := Response{Status: Served, Rows: e.Answer.Rows, Primary: o.Role == port.Primary}
	if e.Answer.HasApplied {
		f.Place = e.Answer.Applied
	}
	switch {
	case e.Crossed:
		f.Age, f.Aged = e.Age, e.Aged
	case f.Primary:
		f.Age, f.Aged = c.now-e.S.sent, true
	case o.HasPosition:
		f.Age, f.Aged = c.now-e.S.sent+max(0, c.now-o.Position), true
	}
	return f
}

var roles = map[string]port.Role{"primary": port.Primary, "replica": port.Replica}

// ending is the protocol's table.
func ending(a *pgwire.Answer, f *Failure) port.AttemptResult {
	switch {
	case f != nil && f.Reach == Spoilt:
		return port.ServerError // the member is there, and it may have run
	case f != nil && f.Reach == Written:
		return port.ConnectionLost
	case f != nil && f.Reach == Local:
		return port.NotSent // never sent, and nobody's fault
	case f != nil:
		return port.Unreachable
	case a.TooLong:
		return port.ServerError
	case a.Code == pgwire.ReadOnly || a.Code == pgwire.TooFarBehind || a.Senseless():
		return port.Misrouted // the member is well, and nothing ran
	case a.Code == pgwire.TooManyConnections:
		return port.Overloaded
	case a.Code != "":
		return port.ServerError
	case a.Whole:
		return port.Succeeded
	}
	return port.ServerError // an answer without a row: it may have run
}

// report reads a member's report of its load. Where a primary's is the first that tells of the present, times move by it.
func (c *Core) report(pairs []byte, sent time.Duration) port.LoadReport {
	l := site.NoReport
	zero := c.since(0)
	if !pgwire.Pairs(pairs, func(name string, v float64) { site.Report(&l, name, v, zero) }) {
		return site.NoReport
	}
	if l.HasPosition && l.Role == port.Primary && !c.confirmed {
		told := (l.Position - zero).Milliseconds()
		c.moved(c.timeline.present(told, sent-oldestLoadReport, c.now))
		l.Position = c.since(told)
	}
	l.HasPosition = l.HasPosition && c.believes(l.Role, l.Position)
	return l
}
