package router

import (
	"fmt"
	"slices"
	"time"

	"dapplerouter/routing"
)

const ms = time.Millisecond

// Request types of testDeployment, by index.
const (
	anyRead = iota
	boundedRead
	sessionRead
	strongRead
	write
	nonIdempotentWrite
)

// testDeployment is a deployment with one instance, two zones and the request types above.
func testDeployment() routing.Options {
	read := routing.RequestType{LatencyObjective: 200 * ms, Deadline: 800 * ms, PriorityWeight: 1, Idempotency: routing.Idempotent}
	o := routing.Options{
		Seed:        7,
		Topology:    routing.Topology{ZoneCount: 2, FleetSize: 1, TickInterval: 5 * ms, RoleListing: routing.RolesDelayed},
		Replication: routing.Replication{StalenessCheck: routing.WaitUntilFresh, FreshnessWait: 50 * ms, PositionInResponses: true},
		DeploymentRules: routing.DeploymentRules{DeadlineGrace: 20 * ms, DrainGrace: time.Second, MaxPollInterval: 10 * time.Second,
			InitialCapacity: 0.2, OverloadMultiple: 2.5, SlowStartDuration: 10 * time.Second, OverloadWindow: 2 * time.Second},
		Limits: routing.Limits{MaxAttempts: 6, HealthChecks: true, Cancellation: true,
			MaxRetryAfter: 400 * ms},
	}
	for _, level := range []routing.Consistency{routing.Eventual, routing.BoundedStaleness, routing.ReadYourWrites, routing.Strong} {
		read.Consistency, read.MaxStaleness = level, 300*ms
		o.RequestTypes = append(o.RequestTypes, read)
	}
	w := routing.RequestType{LatencyObjective: 600 * ms, Deadline: 2 * time.Second, PriorityWeight: 6, LateFraction: 0.3, Consistency: routing.Write,
		Idempotency: routing.IdempotencyKey, DedupScope: routing.ScopeGroup, DedupWindow: 2 * time.Second}
	once := w
	once.Idempotency = routing.NonIdempotent
	o.RequestTypes = append(o.RequestTypes, w, once)
	return o
}

// harness is the host of one instance in a test. It records the actions of the instance, drives the clock, and
// generates requests and outcomes.
type harness struct {
	*Router
	now      time.Duration
	actions  []string
	nextSlot uint32
	attempts map[routing.RequestRef]int
	sentTo   map[routing.RequestRef]int
	timers   []time.Duration // times at which TimerFired is due

	timerResolution time.Duration // delays of timers are rounded down to a multiple of it; 0 for no rounding
}

func newHarness(o routing.Options) *harness {
	h := &harness{attempts: map[routing.RequestRef]int{}, sentTo: map[routing.RequestRef]int{}}
	h.Router = New(h, o).(*Router)
	return h
}

// withGroup lists servers 0 to n-1 as group 0 with server 0 as primary. Odd servers are in the other zone.
func (h *harness) withGroup(n int) *harness {
	var list []routing.Endpoint
	for i := range n {
		list = append(list, routing.Endpoint{Server: i, Zone: i % 2, Primary: i == 0})
	}
	h.updateEndpoints(routing.CachedSnapshot, list...)
	return h
}

// updateEndpoints delivers an update of the endpoint list.
func (h *harness) updateEndpoints(kind routing.UpdateKind, entries ...routing.Endpoint) {
	h.EndpointsChanged(h.now, kind, 1, entries)
	h.reconcile()
}

func (h *harness) reconcile() { h.Reconcile(h.now) }

// advance moves the clock forward by d, with a tick in each tick interval.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+h.tickInterval)
		h.TimerFired(h.now)
		h.reconcile()
	}
}

// advanceToTimers moves the clock forward by d. It fires only the timers that the instance has set.
func (h *harness) advanceToTimers(d time.Duration) {
	end := h.now + d
	for {
		slices.Sort(h.timers)
		if len(h.timers) == 0 || h.timers[0] > end {
			break
		}
		h.now = max(h.now, h.timers[0])
		h.timers = h.timers[1:]
		h.TimerFired(h.now)
		h.reconcile()
	}
	h.now = end
}

// receive delivers a request of the given type with the type's defaults, modified by change, and returns its reference.
func (h *harness) receive(ty int, change ...func(*routing.Request)) routing.RequestRef {
	h.nextSlot++
	in := routing.Request{Ref: routing.RequestRef{Slot: h.nextSlot, Generation: h.nextSlot}, Type: ty, Customer: routing.None, Session: 9,
		Timeout: h.requestTypes[ty].Deadline, MaxStaleness: h.requestTypes[ty].MaxStaleness, DedupWindow: h.requestTypes[ty].DedupWindow}
	for _, c := range change {
		c(&in)
	}
	h.RequestReceived(h.now, in)
	h.reconcile()
	return in.Ref
}

// finish ends the latest attempt of a request. A pos of 0 means no position.
func (h *harness) finish(ref routing.RequestRef, result routing.AttemptResult, role routing.Role, pos time.Duration) {
	h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: ref, AttemptNumber: h.attempts[ref] - 1, Server: h.sentTo[ref], Result: result, Role: role,
		RequestFinished: result == routing.Succeeded, Latency: 30 * ms, Position: pos, HasPosition: pos != 0})
	h.reconcile()
}

// fail ends the latest attempt of a request with the given result. If the request is sent to the same server again, that
// attempt ends as unreachable.
func (h *harness) fail(ref routing.RequestRef, result routing.AttemptResult) {
	server := h.sentTo[ref]
	n := h.attempts[ref]
	h.finish(ref, result, routing.UnknownRole, 0)
	h.advance(2 * h.tickInterval) // the router pauses after a failed connection
	if h.attempts[ref] > n && h.sentTo[ref] == server {
		h.finish(ref, routing.Unreachable, routing.UnknownRole, 0)
	}
}

// reportRole delivers a health check with a server's role and position.
func (h *harness) reportRole(i int, role routing.Role, pos time.Duration) {
	h.HealthCheckFinished(h.now, i, routing.Succeeded, ms, routing.LoadReport{InFlight: 0, Role: role, Position: pos, HasPosition: true})
	h.reconcile()
}

// lastAction returns the latest action that starts with kind, or "".
func (h *harness) lastAction(kind string) string {
	for i := len(h.actions) - 1; i >= 0; i-- {
		if len(h.actions[i]) >= len(kind) && h.actions[i][:len(kind)] == kind {
			return h.actions[i]
		}
	}
	return ""
}

// countActions returns the number of actions that start with kind.
func (h *harness) countActions(kind string) (n int) {
	for _, a := range h.actions {
		if len(a) >= len(kind) && a[:len(kind)] == kind {
			n++
		}
	}
	return n
}

// record adds an action.
func (h *harness) record(format string, args ...any) {
	h.actions = append(h.actions, fmt.Sprintf(format, args...))
}

// StartAttempt implements routing.Host, as do the methods below.
func (h *harness) StartAttempt(ref routing.RequestRef, server int, _ time.Duration) {
	h.attempts[ref]++
	h.sentTo[ref] = server
	h.record("send %d to %d", ref.Slot, server)
}
func (h *harness) CancelAttempt(ref routing.RequestRef, attemptNumber int) {
	h.record("cancel %d.%d", ref.Slot, attemptNumber)
}
func (h *harness) Reject(ref routing.RequestRef, retryAfter time.Duration) {
	h.record("reject %d, retry after %v", ref.Slot, retryAfter)
}
func (h *harness) Fail(ref routing.RequestRef)   { h.record("fail %d", ref.Slot) }
func (h *harness) StartHealthCheck(server int)   { h.record("check %d", server) }
func (h *harness) ReleaseServer(server int)      { h.record("release %d", server) }
func (h *harness) WatchEndpoints(on bool)        { h.record("watch %v", on) }
func (h *harness) FetchEndpoints()               { h.record("fetch") }
func (h *harness) SendGossip(peer int, _ []byte) { h.record("gossip %d", peer) }
func (h *harness) Log(message string)            { h.record("log %s", message) }
func (h *harness) SetTimer(after time.Duration) {
	h.timers = append(h.timers, h.now+after.Truncate(h.timerResolution))
}
