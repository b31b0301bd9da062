package front

import (
	"log/slog"
	"slices"
	"time"

	"dapplerouter/routing"
)

// Metrics counts what passed, for the log.
type Metrics struct {
	taken, served, rejected, failed, left, senseless int
	attempts, probes, spoilt                         int
	endings                                          [routing.Misrouted + 1]int
	lateMost, tookMost                               time.Duration
	failing                                          []bool // by member: what was last heard of it
}

// heard tells the log when a member begins to fail and when it answers again.
func (c *Core) heard(member int, e routing.AttemptResult, why error) {
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

func (b *Metrics) late(by time.Duration) { b.lateMost = max(b.lateMost, by) }
func (b *Metrics) took(d time.Duration)  { b.tookMost = max(b.tookMost, d) }

// ended tells the module an ending and gives the place back if it was the last.
func (c *Core) ended(s *Attempt, o routing.AttemptOutcome, why error) {
	if s.probe && s.turn != c.turns[s.member] { // sent on the fleet's word: the module did not wait for it with the place
		return
	}
	c.heard(s.member, o.Result, why)
	if s.probe {
		c.decider.HealthCheckFinished(c.now, s.member, o.Result, c.now-s.sent, o.Load)
		return
	}
	c.metrics.endings[o.Result]++
	d := c.slab.MustGet(s.ref) // a place with something out is never given back
	d.InFlight--
	a := d.Value
	if !a.mayRun && !o.Result.NeverRan() {
		a.mayRun, a.ranSince = true, s.sent
	}
	a.out = slices.DeleteFunc(a.out, func(o *Attempt) bool { return o == s })
	o.Ref, o.AttemptNumber, o.Server, o.RequestFinished, o.Latency = s.ref, s.hop, s.member, d.Finished, c.now-s.sent
	c.decider.AttemptFinished(c.now, o)
	c.slab.Release(s.ref)
}

// conclude gives the final answer on the module's word.
func (c *Core) conclude(r routing.RequestRef, f Response) {
	c.answer(c.slab.MustGet(r), f)
	c.slab.Release(r)
}

// answer passes the one answer on; the slot is closed from then on.
func (c *Core) answer(d *RequestEntry[*Request], f Response) {
	if d.Finished {
		return
	}
	c.close(d)
	switch f.Status {
	case StatusSucceeded:
		c.metrics.served++
	case StatusRejected:
		c.metrics.rejected++
	case StatusFailed:
		c.metrics.failed++
	case StatusInvalid:
		c.metrics.senseless++
	}
	a := d.Value
	c.audited(a, f.Status)
	slog.Debug("answered", "type", string(a.Statement.RequestType), "word", f.Status, "after", c.now-a.ReceivedAt,
		"of", a.Statement.Timeout, "submissions", d.Attempts)
	a.Client.Respond(f)
}

func (c *Core) audited(a *Request, w Status) {
	if c.bound.Auditor != nil {
		c.bound.Auditor.RequestFinished(c.now, a.span, a.typ, w)
	}
}

// close ends a slot's request for its client; its id may come again.
func (c *Core) close(d *RequestEntry[*Request]) {
	d.Finished = true
	delete(c.ids, string(d.Value.Statement.ID))
	c.unanswered--
	if d.Value.terms != c.terms {
		c.older--
		c.onlyNewest()
	}
}

func (g ClientGone) take(c *Core, now time.Duration) {
	a := g.Request
	if d := c.slab.Get(a.ref); d != nil && !d.Finished {
		c.close(d)
		c.metrics.left++
		c.audited(a, StatusAbandoned)
		slog.Debug("left", "type", string(a.Statement.RequestType), "after", now-a.ReceivedAt, "of", a.Statement.Timeout,
			"submissions", d.Attempts)
		c.decider.ClientGone(now, a.ref)
		for _, s := range slices.Clone(a.out) { // where the site lets nothing be taken back, what was not sent is left unsent
			c.cancelUnsent(s)
		}
		c.slab.Release(a.ref)
	}
}

// LogTotals is an event that writes the totals to the log.
type LogTotals struct{ Extra []any }

func (r LogTotals) take(c *Core, _ time.Duration) {
	b := &c.metrics
	e := &b.endings
	slog.Info("totals", append([]any{"taken", b.taken, "committed", b.served, "declined", b.rejected,
		"rolled_back", b.failed, "left", b.left, "senseless", b.senseless, "in_hand", c.slab.Len(),
		"submissions", b.attempts, "probes", b.probes, "errored", e[routing.ServerError], "spoilt", b.spoilt,
		"full", e[routing.Overloaded], "timed_out", e[routing.TimedOut], "unreachable", e[routing.Unreachable], "broken", e[routing.ConnectionLost],
		"withdrawn", e[routing.Cancelled], "missed", e[routing.Misrouted], "alarm_late", b.lateMost,
		"batch_took", b.tookMost}, append(c.classReport(), r.Extra...)...)...)
	b.lateMost, b.tookMost = 0, 0
}
