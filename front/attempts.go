package front

import (
	"slices"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// This file has the life of an attempt in the core: it is started by StartAttempt or StartHealthCheck (host.go), sent, and ends by
// its result (result.go), its timeout, or a cancellation.

// forwardedAttempts is how many attempts a site may make for a request that has so many left: half of them, so that some are left
// should the site fail.
func forwardedAttempts(left int) int { return max(1, left/2) }

// forward describes an attempt for the site that its server stands for.
func (c *Core) forward(a *Attempt, r *Request, maxAttempts int) {
	a.forwarded = ForwardedAttempt{RequestID: uint64(a.ref.Slot)<<32 | uint64(a.ref.Generation), AttemptNumber: a.number,
		Group: r.Statement.Group, Deadline: a.deadline, MaxAttempts: maxAttempts, Write: r.Statement.Write, MinPosition: r.Statement.After}
	if position, ok := c.router.RequiredPosition(a.ref); ok {
		at := c.wall.epoch.Add(position + time.Millisecond - 1) // rounded up, so that it is never too low
		a.forwarded.MinPosition = max(a.forwarded.MinPosition, at.UnixMilli())
	}
}

// send hands an attempt to the pools and sets the timers of its end.
func (c *Core) send(a *Attempt) {
	if e := c.requests.table.Get(a.ref); e != nil {
		c.setConditions(a, e.Value)
	}
	c.timers.add(timer{at: a.deadline, attempt: a, kind: timerAttemptTimeout})
	c.metrics.attempts++
	c.pools.Send(a.server, a)
}

// setConditions notes an attempt with its request, and what forbids it to begin.
func (c *Core) setConditions(a *Attempt, r *Request) {
	r.inFlight = append(r.inFlight, a)
	a.conditions = sendConditions{lease: r.version.lease, clientGone: r.clientGone, clock: c.clock}
	if client, ok := r.Client.(ConnectedClient); ok {
		a.conditions.connection = client.Connection()
	}
	if t := &r.version.types[r.typeIndex]; r.mayHaveRun && t.Idempotency == routing.IdempotencyKey {
		a.conditions.sendBy = r.firstRunAt + t.DedupWindow
		if a.conditions.sendBy < a.deadline {
			c.timers.add(timer{at: a.conditions.sendBy, attempt: a, kind: timerSendDeadline})
		}
	}
}

// finishAttempt passes the outcome of an attempt on to the router, and releases the request if that was all it waited for.
func (c *Core) finishAttempt(a *Attempt, o routing.AttemptOutcome, err error) {
	if a.healthCheck && a.generation != c.servers.at(a.server).generation {
		return // the fleet asked for the health check, so the router did not wait for it before it released the server
	}
	c.noteResult(a.server, o.Result, err)
	if a.healthCheck {
		c.router.HealthCheckFinished(c.now, a.server, o.Result, c.now-a.startedAt, o.Load)
		return
	}
	c.metrics.results[o.Result]++
	e := c.requests.table.MustGet(a.ref) // an entry with an attempt in flight is not released
	e.InFlight--
	r := e.Value
	if !r.mayHaveRun && !o.Result.NeverRan() {
		r.mayHaveRun, r.firstRunAt = true, a.startedAt
	}
	r.inFlight = slices.DeleteFunc(r.inFlight, func(other *Attempt) bool { return other == a })
	o.Ref, o.AttemptNumber, o.Server, o.RequestFinished, o.Latency = a.ref, a.number, a.server, e.Finished, c.now-a.startedAt
	c.router.AttemptFinished(c.now, o)
	c.requests.table.Release(a.ref)
}

// finishWithout ends an attempt that has no response of its server.
func (c *Core) finishWithout(a *Attempt, result routing.AttemptResult) {
	c.finishAttempt(a, routing.AttemptOutcome{Result: result, Load: deployment.EmptyLoad}, nil)
}

// timeOut ends an attempt whose deadline has come.
func (c *Core) timeOut(a *Attempt) {
	if !a.finished {
		a.cancel()
		c.finishWithout(a, routing.TimedOut)
	}
}

// cancelUnsent ends an attempt of which nothing was sent. A connection may come up late: what waits for it must not be sent once the
// window in which the server's group drops a duplicate is over, nor for a client that has gone, nor to a server that drains.
func (c *Core) cancelUnsent(a *Attempt) {
	if a.cancelUnsent() {
		c.finishWithout(a, routing.NotSent)
	}
}

// cancelUnsentToDraining ends the attempts that wait for a connection to a server that takes no new work any more.
func (c *Core) cancelUnsentToDraining() {
	var unsent []*Attempt
	c.requests.table.Each(func(_ routing.RequestRef, e *RequestEntry[*Request]) {
		for _, a := range e.Value.inFlight {
			if a.unsent() {
				unsent = append(unsent, a)
			}
		}
	})
	for _, a := range unsent {
		if !c.servers.at(a.server).serving {
			c.cancelUnsent(a)
		}
	}
}

// deferredResult is the end of an attempt that the router itself brought about; the router learns of it in the next batch.
type deferredResult struct {
	attempt *Attempt
	result  routing.AttemptResult
}

func (d deferredResult) apply(c *Core, _ time.Duration) { c.finishWithout(d.attempt, d.result) }

// deferResult ends an attempt in the next batch.
func (c *Core) deferResult(a *Attempt, result routing.AttemptResult) {
	c.queue.next = append(c.queue.next, deferredResult{a, result})
}
