package front

import (
	"slices"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// This file contains the life cycle of an attempt in the core. StartAttempt or StartHealthCheck (host.go) starts the attempt. It is sent
// and ends by its result (result.go), its timeout or a cancellation.

// forwardedAttempts returns how many attempts another site may make for a request with the given number of attempts left. It is half of
// them, so that some are left if the site fails, but at least one.
func forwardedAttempts(left int) int { return max(1, left/2) }

// setForwarded sets the description of an attempt for the site that its server represents.
func (c *Core) setForwarded(a *Attempt, r *Request, maxAttempts int) {
	a.forwarded = ForwardedAttempt{RequestID: uint64(a.ref.Slot)<<32 | uint64(a.ref.Generation), AttemptNumber: a.number,
		Group: r.Statement.Group, Deadline: a.deadline, MaxAttempts: maxAttempts, Write: r.Statement.Write, MinPosition: r.Statement.LastWritePosition}
	if r.mayHaveRun && r.version.types[r.typeIndex].Idempotency == routing.IdempotencyKey {
		a.forwarded.Repeated, a.forwarded.FirstRunAt = true, r.firstRunAt
	}
	if position, ok := c.router.RequiredPosition(a.ref); ok {
		at := c.wall.epoch.Add(position + time.Millisecond - 1) // rounded up, so that it is never too low
		a.forwarded.MinPosition = max(a.forwarded.MinPosition, at.UnixMilli())
	}
}

// send passes an attempt to the pools and sets its timers: here the one for its deadline, which times the attempt out, and in
// registerInFlight the one for the end of the deduplication window, if that comes first. A health check has only the former.
func (c *Core) send(a *Attempt) {
	if e := c.requests.table.Get(a.ref); e != nil {
		c.registerInFlight(a, e.Value)
	}
	c.timers.add(timer{at: a.deadline, attempt: a, kind: timerAttemptTimeout})
	c.metrics.attempts++
	c.pools.Send(a.server, a)
}

// registerInFlight adds an attempt to the in-flight attempts of its request and sets the conditions under which it may be sent. If the
// deduplication window of the server's group ends before the attempt's deadline, or the server's data may be too old by then, it sets a
// timer that ends the attempt if nothing of it was sent until that time.
func (c *Core) registerInFlight(a *Attempt, r *Request) {
	r.inFlight = append(r.inFlight, a)
	a.conditions = sendConditions{lease: r.version.lease, clientGone: r.clientGone, clock: c.clock}
	if client, ok := r.Client.(ConnectedClient); ok {
		a.conditions.connection = client.Connection()
	}
	if t := &r.version.types[r.typeIndex]; r.mayHaveRun && t.Idempotency == routing.IdempotencyKey {
		a.conditions.setSendBy(r.firstRunAt + t.DedupWindow)
	}
	if until, ok := c.router.FreshUntil(a.ref); ok {
		a.conditions.setSendBy(until)
	}
	if by := a.conditions.sendBy; by > 0 && by < a.deadline {
		c.timers.add(timer{at: by, attempt: a, kind: timerSendDeadline})
	}
}

// finishAttempt passes the outcome of an attempt to the router. It releases the request if the request is finished and has no other
// attempt in flight.
func (c *Core) finishAttempt(a *Attempt, o routing.AttemptOutcome, err error) {
	if a.healthCheck && a.generation != c.servers.at(a.server).generation {
		return // the fleet requested this health check, so the router released the server without waiting for it
	}
	c.logServerHealth(a.server, o.Result, err)
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

// finishWithoutResponse finishes an attempt to which the server has not responded.
func (c *Core) finishWithoutResponse(a *Attempt, result routing.AttemptResult) {
	c.finishAttempt(a, routing.AttemptOutcome{Result: result, Load: deployment.EmptyLoad}, nil)
}

// timeOut ends an attempt whose deadline has passed: nothing more of it is sent, its connection is aborted if the sending has begun, and
// the router is notified of the result TimedOut. It does nothing if the attempt has already finished. The request itself is not ended;
// the router decides whether it is sent again.
func (c *Core) timeOut(a *Attempt) {
	if !a.finished {
		a.cancel()
		c.finishWithoutResponse(a, routing.TimedOut)
	}
}

// cancelUnsent ends an attempt if nothing of it was sent. A connection may open late. An attempt that waits for one must not be sent
// after the deduplication window of the server's group has ended, for a client that has disconnected, or to a server that drains.
func (c *Core) cancelUnsent(a *Attempt) {
	if a.cancelUnsent() {
		c.finishWithoutResponse(a, routing.NotSent)
	}
}

// cancelUnsentToDraining ends the attempts that wait for a connection to a server that no longer accepts new work.
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

// deferredResult is the event of an attempt that ended during a call of the router. The router is notified in the next batch, so that the
// core does not call the router back within that call.
type deferredResult struct {
	attempt *Attempt
	result  routing.AttemptResult
}

// apply notifies the router of the result.
func (d deferredResult) apply(c *Core, _ time.Duration) { c.finishWithoutResponse(d.attempt, d.result) }

// deferResult queues the result of an attempt. The router is notified of it in the next batch.
func (c *Core) deferResult(a *Attempt, result routing.AttemptResult) {
	c.queue.next = append(c.queue.next, deferredResult{a, result})
}
