package front

import (
	"container/heap"
	"log/slog"
	"time"

	"dapplerouter/routing"
)

// StartAttempt and the rest are the module's wishes; each is carried out as it stands.
func (c *Core) StartAttempt(r routing.RequestRef, member int, giveUpAfter time.Duration) {
	d := c.slab.MustGet(r)
	s := &Attempt{ref: r, server: member, number: d.Attempts, startedAt: c.now}
	d.InFlight++
	d.Attempts++
	until := d.Value.deadline
	if giveUpAfter != 0 {
		until = min(until, c.now+giveUpAfter)
	}
	a := d.Value
	most, grant, far := c.most, 1, c.far[member]
	if a.MaxAttempts > 0 {
		most = min(most, a.MaxAttempts)
	}
	if far { // it may make several attempts there: half of what is left, so that a further try has some too
		grant = max(1, (most-a.attemptsUsed)/2)
	}
	a.attemptsUsed += grant
	if d.Finished || until <= c.now || a.attemptsUsed > most {
		c.pending = append(c.pending, deferredResult{s, routing.NotSent})
		return
	}
	s.query = a.Statement.QueryWithTimeout(until - c.now)
	if far {
		s.forwarded = ForwardedAttempt{RequestID: uint64(r.Slot)<<32 | uint64(r.Generation), AttemptNumber: s.number, Group: a.Statement.Group, Deadline: until, MaxAttempts: grant,
			Write: a.Statement.Write, MinPosition: a.Statement.After}
		if pos, ok := c.router.RequiredPosition(r); ok {
			at := c.epoch.Add(pos + time.Millisecond - 1) // rounded up: never too low
			s.forwarded.MinPosition = max(s.forwarded.MinPosition, at.UnixMilli())
		}
	}
	c.send(s, until)
}

// CancelAttempt takes one attempt back.
func (c *Core) CancelAttempt(r routing.RequestRef, hop int) {
	for _, s := range c.slab.MustGet(r).Value.inFlight {
		if s.number == hop && !s.finished {
			ending := routing.NotSent
			if s.cancel() {
				ending = routing.Cancelled
			}
			c.pending = append(c.pending, deferredResult{s, ending})
		}
	}
}

// Reject and Fail are final answers.
func (c *Core) Reject(r routing.RequestRef, comeBackIn time.Duration) {
	a := c.slab.MustGet(r).Value
	c.finishRequest(r, Response{Status: StatusRejected, RetryAfter: comeBackIn, MayHaveRun: a.mayHaveRun && c.types[a.typeIndex].Idempotency != routing.Idempotent})
}

func (c *Core) Fail(r routing.RequestRef) { c.finishRequest(r, Response{Status: StatusFailed}) }

// StartHealthCheck asks a member for its report.
func (c *Core) StartHealthCheck(member int) {
	s := NewHealthCheck(healthCheckMessage)
	s.server, s.startedAt, s.generation = member, c.now, c.turns[member]
	c.metrics.healthChecks++
	c.send(s, c.now+c.patience)
}

// HealthCheckRequested is an event that has a member asked after, since the module of another front in the fleet wanted to know.
type HealthCheckRequested struct{ Server string }

func (l HealthCheckRequested) apply(c *Core, _ time.Duration) {
	if m, ok := c.members.Lookup(l.Server); ok {
		c.StartHealthCheck(m)
	}
}

// ReleaseServer gives a member's place back: its index, its links and what the log says of it.
func (c *Core) ReleaseServer(member int) {
	slog.Info("forgotten", "member", c.members.Key(member))
	c.members.Release(member)
	c.turns[member]++
	c.pools.Remove(member)
	if member < len(c.places) {
		c.places[member] = serverAddress{}
	}
	if member < len(c.metrics.failing) {
		c.metrics.failing[member] = false
	}
}

func (c *Core) WatchEndpoints(on bool) { c.endpointSource.Watch(on) }
func (c *Core) FetchEndpoints()        { c.endpointSource.Fetch() }

// SendGossip has nowhere to go: the protocol gives fronts no way to speak to each other.
func (c *Core) SendGossip(int, []byte) {}

// SetTimer sets the module's alarm.
func (c *Core) SetTimer(after time.Duration) { heap.Push(&c.alarms, timer{at: c.now + after}) }

func (c *Core) Log(message string) { slog.Info("module", "says", message) }
