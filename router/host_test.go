package router

import (
	"fmt"
	"testing"
	"time"

	"dapplerouter/routing"
)

const ms = time.Millisecond

// Request types of the little site that the stories play on.
const (
	anyRead = iota
	bounded
	session
	current
	write
	onceOnly
)

func littleSite() routing.Options {
	read := routing.RequestType{LatencyObjective: 200 * ms, Deadline: 800 * ms, PriorityWeight: 1, Idempotency: routing.Idempotent}
	s := routing.Options{
		Seed:        7,
		Topology:    routing.Topology{ZoneCount: 2, FleetSize: 1, TickInterval: 5 * ms, RoleListing: routing.RolesDelayed},
		Replication: routing.Replication{StalenessCheck: routing.WaitUntilFresh, FreshnessWait: 50 * ms, PositionInResponses: true},
		Guardrails: routing.Guardrails{AnswerSlack: 20 * ms, DrainGrace: time.Second, MaxPollInterval: 10 * time.Second,
			InitialCapacity: 0.2, OverloadMultiple: 2.5, SlowStartDuration: 10 * time.Second, OverloadWindow: 2 * time.Second},
		Limits: routing.Limits{MaxAttempts: 6, HealthChecks: true, Cancellation: true,
			MaxRetryAfter: 400 * ms},
	}
	for _, level := range []routing.Consistency{routing.Eventual, routing.BoundedStaleness, routing.ReadYourWrites, routing.Strong} {
		read.Consistency, read.MaxStaleness = level, 300*ms
		s.RequestTypes = append(s.RequestTypes, read)
	}
	w := routing.RequestType{LatencyObjective: 600 * ms, Deadline: 2 * time.Second, PriorityWeight: 6, LateFraction: 0.3, Consistency: routing.Write,
		Idempotency: routing.IdempotencyKey, DedupScope: routing.ScopeGroup, DedupWindow: 2 * time.Second}
	once := w
	once.Idempotency = routing.NonIdempotent
	s.RequestTypes = append(s.RequestTypes, w, once)
	return s
}

// story drives one instance and writes down what it asks for.
type story struct {
	*Router
	now   time.Duration
	asked []string
	turns uint32
	subs  map[routing.RequestRef]int
	where map[routing.RequestRef]int
}

func tell(_ *testing.T, s routing.Options) *story {
	y := &story{subs: map[routing.RequestRef]int{}, where: map[routing.RequestRef]int{}}
	y.Router = New(y, s).(*Router)
	return y
}

// group lists members 0..n-1 of group 0, member 0 as primary; odd ones stand in the other zone.
func (y *story) group(n int) *story {
	var list []routing.Endpoint
	for i := range n {
		list = append(list, routing.Endpoint{Server: i, Zone: i % 2, Primary: i == 0})
	}
	y.list(routing.CachedSnapshot, list...)
	return y
}

func (y *story) list(kind routing.UpdateKind, entries ...routing.Endpoint) {
	y.EndpointsChanged(y.now, kind, 1, entries)
	y.settle()
}

func (y *story) settle() { y.Reconcile(y.now) }

// pass lets time go by, with its beats.
func (y *story) pass(d time.Duration) {
	for end := y.now + d; y.now < end; {
		y.now = min(end, y.now+y.tick)
		y.TimerFired(y.now)
		y.settle()
	}
}

func (y *story) begin(ty int, change ...func(*routing.Request)) routing.RequestRef {
	y.turns++
	t := routing.Request{Ref: routing.RequestRef{Slot: y.turns, Generation: y.turns}, Type: ty, Customer: routing.None, Session: 9,
		Timeout: y.types[ty].Deadline, MaxStaleness: y.types[ty].MaxStaleness, DedupWindow: y.types[ty].DedupWindow}
	for _, c := range change {
		c(&t)
	}
	y.RequestReceived(y.now, t)
	y.settle()
	return t.Ref
}

// ends gives the last attempt of a request an ending; pos 0 leaves the position out.
func (y *story) ends(r routing.RequestRef, e routing.AttemptResult, role routing.Role, pos time.Duration) {
	y.AttemptFinished(y.now, routing.AttemptOutcome{Ref: r, AttemptNumber: y.subs[r] - 1, Server: y.where[r], Result: e, Role: role,
		RequestFinished: e == routing.Succeeded, Latency: 30 * ms, Position: pos, HasPosition: pos != 0})
	y.settle()
}

// dies ends an attempt by a failure, and the next one of its request at the same member by being refused.
func (y *story) dies(r routing.RequestRef, e routing.AttemptResult) {
	member := y.where[r]
	n := y.subs[r]
	y.ends(r, e, routing.UnknownRole, 0)
	y.pass(2 * y.tick) // a new link is not tried at once
	if y.subs[r] > n && y.where[r] == member {
		y.ends(r, routing.Unreachable, routing.UnknownRole, 0)
	}
}

// knows tells the instance what a member says of itself, as a probe would.
func (y *story) knows(i int, role routing.Role, pos time.Duration) {
	y.HealthCheckFinished(y.now, i, routing.Succeeded, ms, routing.LoadReport{InFlight: 0, Role: role, Position: pos, HasPosition: true})
	y.settle()
}

// last is the last thing asked for of a kind, or nothing.
func (y *story) last(kind string) string {
	for i := len(y.asked) - 1; i >= 0; i-- {
		if len(y.asked[i]) >= len(kind) && y.asked[i][:len(kind)] == kind {
			return y.asked[i]
		}
	}
	return ""
}

func (y *story) count(kind string) (n int) {
	for _, a := range y.asked {
		if len(a) >= len(kind) && a[:len(kind)] == kind {
			n++
		}
	}
	return n
}

func (y *story) ask(format string, args ...any) {
	y.asked = append(y.asked, fmt.Sprintf(format, args...))
}

func (y *story) StartAttempt(r routing.RequestRef, m int, _ time.Duration) {
	y.subs[r]++
	y.where[r] = m
	y.ask("submit %d to %d", r.Slot, m)
}
func (y *story) CancelAttempt(r routing.RequestRef, hop int) { y.ask("revoke %d.%d", r.Slot, hop) }
func (y *story) Reject(r routing.RequestRef, back time.Duration) {
	y.ask("decline %d, back in %v", r.Slot, back)
}
func (y *story) Fail(r routing.RequestRef)     { y.ask("roll back %d", r.Slot) }
func (y *story) StartHealthCheck(m int)        { y.ask("probe %d", m) }
func (y *story) ReleaseServer(m int)           { y.ask("forget %d", m) }
func (y *story) WatchEndpoints(on bool)        { y.ask("watch %v", on) }
func (y *story) FetchEndpoints()               { y.ask("fetch") }
func (y *story) SendGossip(peer int, _ []byte) { y.ask("tell %d", peer) }
func (y *story) SetTimer(time.Duration)        {}
func (y *story) Log(message string)            { y.ask("log %s", message) }
