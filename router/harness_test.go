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
	boundedRead
	sessionRead
	strongRead
	write
	nonIdempotentWrite
)

func testDeployment() routing.Options {
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

// harness drives one instance and writes down what it asks for.
type harness struct {
	*Router
	now      time.Duration
	actions  []string
	nextSlot uint32
	attempts map[routing.RequestRef]int
	sentTo   map[routing.RequestRef]int
}

func newHarness(_ *testing.T, s routing.Options) *harness {
	y := &harness{attempts: map[routing.RequestRef]int{}, sentTo: map[routing.RequestRef]int{}}
	y.Router = New(y, s).(*Router)
	return y
}

// withGroup lists members 0..n-1 of group 0, member 0 as primary; odd ones stand in the other zone.
func (y *harness) withGroup(n int) *harness {
	var list []routing.Endpoint
	for i := range n {
		list = append(list, routing.Endpoint{Server: i, Zone: i % 2, Primary: i == 0})
	}
	y.updateEndpoints(routing.CachedSnapshot, list...)
	return y
}

func (y *harness) updateEndpoints(kind routing.UpdateKind, entries ...routing.Endpoint) {
	y.EndpointsChanged(y.now, kind, 1, entries)
	y.reconcile()
}

func (y *harness) reconcile() { y.Reconcile(y.now) }

// advance lets time go by, with its beats.
func (y *harness) advance(d time.Duration) {
	for end := y.now + d; y.now < end; {
		y.now = min(end, y.now+y.tickInterval)
		y.TimerFired(y.now)
		y.reconcile()
	}
}

func (y *harness) receive(ty int, change ...func(*routing.Request)) routing.RequestRef {
	y.nextSlot++
	t := routing.Request{Ref: routing.RequestRef{Slot: y.nextSlot, Generation: y.nextSlot}, Type: ty, Customer: routing.None, Session: 9,
		Timeout: y.types[ty].Deadline, MaxStaleness: y.types[ty].MaxStaleness, DedupWindow: y.types[ty].DedupWindow}
	for _, c := range change {
		c(&t)
	}
	y.RequestReceived(y.now, t)
	y.reconcile()
	return t.Ref
}

// finish gives the last attempt of a request an ending; pos 0 leaves the position out.
func (y *harness) finish(r routing.RequestRef, e routing.AttemptResult, role routing.Role, pos time.Duration) {
	y.AttemptFinished(y.now, routing.AttemptOutcome{Ref: r, AttemptNumber: y.attempts[r] - 1, Server: y.sentTo[r], Result: e, Role: role,
		RequestFinished: e == routing.Succeeded, Latency: 30 * ms, Position: pos, HasPosition: pos != 0})
	y.reconcile()
}

// fail ends an attempt by a failure, and the next one of its request at the same member by being refused.
func (y *harness) fail(r routing.RequestRef, e routing.AttemptResult) {
	member := y.sentTo[r]
	n := y.attempts[r]
	y.finish(r, e, routing.UnknownRole, 0)
	y.advance(2 * y.tickInterval) // a new link is not tried at once
	if y.attempts[r] > n && y.sentTo[r] == member {
		y.finish(r, routing.Unreachable, routing.UnknownRole, 0)
	}
}

// reportRole tells the instance what a member says of itself, as a probe would.
func (y *harness) reportRole(i int, role routing.Role, pos time.Duration) {
	y.HealthCheckFinished(y.now, i, routing.Succeeded, ms, routing.LoadReport{InFlight: 0, Role: role, Position: pos, HasPosition: true})
	y.reconcile()
}

// lastAction is the last thing asked for of a kind, or nothing.
func (y *harness) lastAction(kind string) string {
	for i := len(y.actions) - 1; i >= 0; i-- {
		if len(y.actions[i]) >= len(kind) && y.actions[i][:len(kind)] == kind {
			return y.actions[i]
		}
	}
	return ""
}

func (y *harness) countActions(kind string) (n int) {
	for _, a := range y.actions {
		if len(a) >= len(kind) && a[:len(kind)] == kind {
			n++
		}
	}
	return n
}

func (y *harness) record(format string, args ...any) {
	y.actions = append(y.actions, fmt.Sprintf(format, args...))
}

func (y *harness) StartAttempt(r routing.RequestRef, m int, _ time.Duration) {
	y.attempts[r]++
	y.sentTo[r] = m
	y.record("submit %d to %d", r.Slot, m)
}
func (y *harness) CancelAttempt(r routing.RequestRef, hop int) { y.record("revoke %d.%d", r.Slot, hop) }
func (y *harness) Reject(r routing.RequestRef, back time.Duration) {
	y.record("decline %d, back in %v", r.Slot, back)
}
func (y *harness) Fail(r routing.RequestRef)     { y.record("roll back %d", r.Slot) }
func (y *harness) StartHealthCheck(m int)        { y.record("probe %d", m) }
func (y *harness) ReleaseServer(m int)           { y.record("forget %d", m) }
func (y *harness) WatchEndpoints(on bool)        { y.record("watch %v", on) }
func (y *harness) FetchEndpoints()               { y.record("fetch") }
func (y *harness) SendGossip(peer int, _ []byte) { y.record("tell %d", peer) }
func (y *harness) SetTimer(time.Duration)        {}
func (y *harness) Log(message string)            { y.record("log %s", message) }
