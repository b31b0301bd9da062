package front

import (
	"log/slog"
	"time"

	"dapplerouter/routing"
)

// The core is the host of its router.
var _ routing.Host = (*Core)(nil)

// StartAttempt sends a request to a server and gives it up after a while, or at the request's deadline where giveUpAfter is 0. An
// attempt that the limits forbid, or for which no time is left, ends as not sent in the next batch.
func (c *Core) StartAttempt(ref routing.RequestRef, server int, giveUpAfter time.Duration) {
	e := c.requests.table.MustGet(ref)
	r := e.Value
	a := &Attempt{ref: ref, server: server, number: e.Attempts, startedAt: c.now, deadline: r.deadline}
	e.InFlight++
	e.Attempts++
	if giveUpAfter != 0 {
		a.deadline = min(a.deadline, c.now+giveUpAfter)
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
	a.query = r.Statement.QueryWithTimeout(a.deadline - c.now)
	if remote {
		c.forward(a, r, used)
	}
	c.send(a)
}

// CancelAttempt gives an attempt up; its result comes in the next batch.
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

// Reject responds that the request may be sent again without harm, after retryAfter where that is not 0.
func (c *Core) Reject(ref routing.RequestRef, retryAfter time.Duration) {
	r := c.requests.table.MustGet(ref).Value
	c.respondTo(ref, Response{Status: StatusRejected, RetryAfter: retryAfter,
		MayHaveRun: r.mayHaveRun && c.catalog.types[r.typeIndex].Idempotency != routing.Idempotent})
}

// Fail responds without a promise of whether the request ran.
func (c *Core) Fail(ref routing.RequestRef) { c.respondTo(ref, Response{Status: StatusFailed}) }

// StartHealthCheck asks a server for its load report.
func (c *Core) StartHealthCheck(server int) {
	a := NewHealthCheck(healthCheckMessage)
	a.server, a.startedAt, a.deadline = server, c.now, c.now+c.catalog.limits.DialTimeout
	a.generation = c.servers.at(server).generation
	c.metrics.healthChecks++
	c.send(a)
}

// HealthCheckRequested is the event that the router of another front in the fleet wants a server checked.
type HealthCheckRequested struct{ Server string }

func (h HealthCheckRequested) apply(c *Core, _ time.Duration) {
	if server, ok := c.servers.names.Lookup(h.Server); ok {
		c.StartHealthCheck(server)
	}
}

// ReleaseServer frees a server's index, which may stand for another from now on, and ends its connections.
func (c *Core) ReleaseServer(server int) {
	slog.Info("server released", "server", c.servers.names.Key(server))
	c.servers.release(server)
	c.pools.Remove(server)
}

// WatchEndpoints turns the watch of the endpoint list on or off.
func (c *Core) WatchEndpoints(on bool) { c.endpoints.Watch(on) }

// FetchEndpoints asks for the whole endpoint list.
func (c *Core) FetchEndpoints() { c.endpoints.Fetch() }

// SendGossip does nothing: the protocol has no way for fronts to send to each other.
func (c *Core) SendGossip(int, []byte) {}

// SetTimer has the router's TimerFired called after a while.
func (c *Core) SetTimer(after time.Duration) {
	c.timers.add(timer{at: c.now + after, kind: timerRouter})
}

// Log writes a message of the router to the log.
func (c *Core) Log(message string) { slog.Info("router", "message", message) }
