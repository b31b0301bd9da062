package front

import (
	"log/slog"
	"time"

	"dapplerouter/routing"
)

var _ routing.Host = (*Core)(nil)

// StartAttempt sends a request to a server. The attempt times out at the request's deadline, or after the given time if that is not
// 0 and ends earlier. If the request is finished, the limit of attempts is reached or no time is left, the attempt is not sent and ends
// as NotSent in the next batch.
func (c *Core) StartAttempt(ref routing.RequestRef, server int, timeout time.Duration) {
	e := c.requests.table.MustGet(ref)
	r := e.Value
	a := &Attempt{ref: ref, server: server, number: e.Attempts, startedAt: c.now, deadline: r.deadline}
	e.InFlight++
	e.Attempts++
	if timeout != 0 {
		a.deadline = min(a.deadline, c.now+timeout)
	}
	limit, used, remote := c.catalog.limits.MaxAttempts, 1, c.servers.at(server).remote
	if r.MaxAttempts > 0 {
		limit = min(limit, r.MaxAttempts)
	}
	if remote {
		used = forwardedAttempts(limit - r.attemptsUsed)
	}
	r.attemptsUsed += used
	if e.Finished || a.deadline <= c.now || r.attemptsUsed > limit {
		c.deferResult(a, routing.NotSent)
		return
	}
	c.logAttemptStarted(a, r)
	a.query = r.Statement.QueryWithTimeout(a.deadline - c.now)
	if remote {
		c.setForwarded(a, r, used)
	}
	c.send(a)
}

// CancelAttempt cancels an attempt. The router is notified of its result in the next batch: Cancelled if something of it may have been
// sent, otherwise NotSent. It does nothing if the attempt has finished.
func (c *Core) CancelAttempt(ref routing.RequestRef, number int) {
	for _, a := range c.requests.table.MustGet(ref).Value.inFlight {
		if a.number == number && !a.finished {
			result := routing.NotSent
			if a.cancel() {
				result = routing.Cancelled
			}
			c.deferResult(a, result)
		}
	}
}

// Reject responds to a request that it is safe to send it again, after retryAfter if that is not 0.
func (c *Core) Reject(ref routing.RequestRef, retryAfter time.Duration) {
	r := c.requests.table.MustGet(ref).Value
	c.respondAndRelease(ref, Response{Status: StatusRejected, RetryAfter: retryAfter,
		MayHaveRun: r.mayHaveRun && c.catalog.types[r.typeIndex].Idempotency != routing.Idempotent})
}

// Fail responds that a request failed. The response does not say whether the request ran.
func (c *Core) Fail(ref routing.RequestRef) { c.respondAndRelease(ref, Response{Status: StatusFailed}) }

// StartHealthCheck sends a request for a server's load report, with the dial timeout as its timeout. The router is notified of the result
// by HealthCheckFinished.
func (c *Core) StartHealthCheck(server int) {
	a := NewHealthCheck(healthCheckStatement)
	a.server, a.startedAt, a.deadline = server, c.now, c.now+c.catalog.limits.DialTimeout
	a.generation = c.servers.at(server).generation
	c.metrics.healthChecks++
	c.send(a)
}

// HealthCheckRequested is the event that the fleet requests a health check of a server, for the router of another front.
type HealthCheckRequested struct{ Server string }

// apply starts a health check of the server. It ignores a server that is not on this front's endpoint list.
func (h HealthCheckRequested) apply(c *Core, _ time.Duration) {
	if server, ok := c.servers.names.Lookup(h.Server); ok {
		c.StartHealthCheck(server)
	}
}

// ReleaseServer closes a server's connections and frees its index, which may be assigned to another server from then on.
func (c *Core) ReleaseServer(server int) {
	slog.Info("server released", "server", c.servers.names.Key(server))
	c.servers.release(server)
	c.pools.Remove(server)
}

// WatchEndpoints subscribes to the endpoint list, or ends the subscription.
func (c *Core) WatchEndpoints(on bool) { c.endpoints.Watch(on) }

// FetchEndpoints requests the whole endpoint list once.
func (c *Core) FetchEndpoints() { c.endpoints.Fetch() }

// SendGossip does nothing: fronts have no protocol for messages between their routers.
func (c *Core) SendGossip(int, []byte) {}

// SetTimer schedules a call of the router's TimerFired after the given time. It does not replace timers that were set before.
func (c *Core) SetTimer(after time.Duration) {
	c.timers.add(timer{at: c.now + after, kind: timerRouter})
}

// Log writes a message of the router to the log.
func (c *Core) Log(message string) { slog.Info("router", "message", message) }
