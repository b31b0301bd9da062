package front

import (
	"log/slog"
	"slices"
	"time"

	"dapplerouter/routing"
)

// metrics counts what passed, for the log.
type metrics struct {
	accepted, succeeded, rejected, failed, abandoned, invalid int
	attempts, healthChecks, unreadable                        int
	results                                                   [routing.Misrouted + 1]int
	maxTimerDelay, maxBatchTime                               time.Duration
	failing                                                   []bool // by member: what was last heard of it
}

// noteHealth tells the log when a member begins to fail and when it answers again.
func (c *Core) noteHealth(member int, e routing.AttemptResult, why error) {
	b := &c.metrics
	for len(b.failing) <= member {
		b.failing = append(b.failing, false)
	}
	var bad bool
	switch e {
	case routing.Unreachable, routing.ConnectionLost, routing.TimedOut:
		bad = true
	case routing.Cancelled, routing.NotSent:
		return
	}
	if b.failing[member] == bad {
		return
	}
	b.failing[member] = bad
	if bad {
		slog.Warn("a member fails", "member", c.members.Key(member), "ending", e, "why", why)
	} else {
		slog.Info("a member answers again", "member", c.members.Key(member))
	}
}

func (b *metrics) timerFired(by time.Duration) { b.maxTimerDelay = max(b.maxTimerDelay, by) }
func (b *metrics) batchDone(d time.Duration)   { b.maxBatchTime = max(b.maxBatchTime, d) }

// attemptFinished tells the module an ending and gives the place back if it was the last.
func (c *Core) attemptFinished(s *Attempt, o routing.AttemptOutcome, why error) {
	if s.healthCheck && s.generation != c.turns[s.server] { // sent on the fleet's word: the module did not wait for it with the place
		return
	}
	c.noteHealth(s.server, o.Result, why)
	if s.healthCheck {
		c.router.HealthCheckFinished(c.now, s.server, o.Result, c.now-s.startedAt, o.Load)
		return
	}
	c.metrics.results[o.Result]++
	d := c.slab.MustGet(s.ref) // a place with something out is never given back
	d.InFlight--
	a := d.Value
	if !a.mayHaveRun && !o.Result.NeverRan() {
		a.mayHaveRun, a.firstRunAt = true, s.startedAt
	}
	a.inFlight = slices.DeleteFunc(a.inFlight, func(o *Attempt) bool { return o == s })
	o.Ref, o.AttemptNumber, o.Server, o.RequestFinished, o.Latency = s.ref, s.number, s.server, d.Finished, c.now-s.startedAt
	c.router.AttemptFinished(c.now, o)
	c.slab.Release(s.ref)
}

// finishRequest gives the final answer on the module's word.
func (c *Core) finishRequest(r routing.RequestRef, f Response) {
	c.respond(c.slab.MustGet(r), f)
	c.slab.Release(r)
}

// respond passes the one answer on; the slot is closed from then on.
func (c *Core) respond(d *RequestEntry[*Request], f Response) {
	if d.Finished {
		return
	}
	c.markFinished(d)
	switch f.Status {
	case StatusSucceeded:
		c.metrics.succeeded++
	case StatusRejected:
		c.metrics.rejected++
	case StatusFailed:
		c.metrics.failed++
	case StatusInvalid:
		c.metrics.invalid++
	}
	a := d.Value
	c.auditFinished(a, f.Status)
	slog.Debug("answered", "type", string(a.Statement.RequestType), "word", f.Status, "after", c.now-a.ReceivedAt,
		"of", a.Statement.Timeout, "submissions", d.Attempts)
	a.Client.Respond(f)
}

func (c *Core) auditFinished(a *Request, w Status) {
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.RequestFinished(c.now, a.auditSpan, a.typeIndex, w)
	}
}

// markFinished ends a slot's request for its client; its id may come again.
func (c *Core) markFinished(d *RequestEntry[*Request]) {
	d.Finished = true
	delete(c.ids, string(d.Value.Statement.ID))
	c.unanswered--
	if d.Value.version != c.terms {
		c.older--
		c.releaseOlder()
	}
}

func (g ClientGone) apply(c *Core, now time.Duration) {
	a := g.Request
	if d := c.slab.Get(a.ref); d != nil && !d.Finished {
		c.markFinished(d)
		c.metrics.abandoned++
		c.auditFinished(a, StatusAbandoned)
		slog.Debug("left", "type", string(a.Statement.RequestType), "after", now-a.ReceivedAt, "of", a.Statement.Timeout,
			"submissions", d.Attempts)
		c.router.ClientGone(now, a.ref)
		for _, s := range slices.Clone(a.inFlight) { // where the site lets nothing be taken back, what was not sent is left unsent
			c.cancelUnsent(s)
		}
		c.slab.Release(a.ref)
	}
}

// LogTotals is an event that writes the totals to the log.
type LogTotals struct{ Extra []any }

func (r LogTotals) apply(c *Core, _ time.Duration) {
	b := &c.metrics
	e := &b.results
	slog.Info("totals", append([]any{"taken", b.accepted, "committed", b.succeeded, "declined", b.rejected,
		"rolled_back", b.failed, "left", b.abandoned, "senseless", b.invalid, "in_hand", c.slab.Len(),
		"submissions", b.attempts, "probes", b.healthChecks, "errored", e[routing.ServerError], "spoilt", b.unreadable,
		"full", e[routing.Overloaded], "timed_out", e[routing.TimedOut], "unreachable", e[routing.Unreachable], "broken", e[routing.ConnectionLost],
		"withdrawn", e[routing.Cancelled], "missed", e[routing.Misrouted], "alarm_late", b.maxTimerDelay,
		"batch_took", b.maxBatchTime}, append(c.classifierTotals(), r.Extra...)...)...)
	b.maxTimerDelay, b.maxBatchTime = 0, 0
}
