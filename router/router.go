// Package router decides where each request goes.
//
// New makes one instance; its host calls the methods of port.Decider as things come in, and Reconcile after the
// last event of each batch; what the instance may ask for is port.Host. Equal events give equal actions.
//
// The ordinary path: each session keeps its last write's log position as its target; its reads go to a
// replica whose own hold or refusal enforces that position, and fall back to the primary when the wait
// cannot be enforced or fails. docs/design.md says where this is extended and when that acts.
//
// A request's way: Begin (request.go) takes it and ranks it (admission.go); Reconcile plans it (planning.go): is it
// past hope (retry.go), may its member take it (admission.go, concurrency.go, slow_start.go, health.go), which
// replica (selection.go, freshness.go, sessions.go) or the primary (primary.go); emit sends it. Ended (request.go)
// brings an attempt's outcome, from which health.go, concurrency.go and latency.go learn, and which ends the
// request or lets it be planned again. List (endpoints.go) and probes (probing.go) tell of members.
//
// Each file has the state that it changes, as a struct with methods, and opens with the question it answers.
package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dapplerouter/routing"
)

const (
	never = time.Duration(math.MinInt64 / 4)
	none  = routing.None
)

// server is what is known of a member; all is unknown at birth.
type server struct {
	group, zone int
	endpointState
	position
	concurrency
	health
	slowStart
	checkState
}

var unknownServer = server{group: none, position: unknownPosition, concurrency: unknownConcurrency, health: unknownHealth,
	slowStart: unknownStart, checkState: neverChecked}

// Router is one instance: its parts.
type Router struct {
	host routing.Host
	randomSource
	latencies
	servers []server
	groups  []group
	sessions
	fleetLoad
	slowStartRules
	selection
	requestTable
	admission
	retryPolicy
	endpointWatch
	reporting
	stallDetector
}

// New makes an instance that knows nothing yet.
func New(h routing.Host, o routing.Options) routing.Router {
	return &Router{
		host:           h,
		randomSource:   randomSource{seed: o.Seed},
		latencies:      newLatencies(o.RequestTypes, o.Topology.TickInterval),
		sessions:       newSessions(o.Replication.ClientCarriesToken),
		fleetLoad:      fleetLoad{limitGrowth: 1 / float64(max(1, o.Topology.FleetSize))},
		slowStartRules: newSlowStartRules(o.Guardrails),
		selection:      newSelection(o.Seed, o.Topology, o.Replication, o.Limits),
		requestTable:   requestTable{types: o.RequestTypes, mayCancel: o.Limits.Cancellation},
		admission:      newAdmission(o.RequestTypes, o.Topology, o.Limits),
		retryPolicy:    retryPolicy{maxAttempts: o.Limits.MaxAttempts, retryBudget: retryReserve},
		endpointWatch:  newEndpointWatch(o.Topology, o.Guardrails),
		reporting:      reporting{positionsInReports: o.Replication.LoadInResponses && !o.Replication.PositionInResponses, healthChecksAllowed: o.Limits.HealthChecks},
		stallDetector:  stallDetector{nextTickAt: never, resumedAt: never},
	}
}

// GossipReceived takes a message from a peer; fronts say nothing to each other yet.
func (r *Router) GossipReceived(time.Duration, int, []byte) {}

// TimerFired is the tick: what is out at a member that fell silent is taken back and goes elsewhere; so is,
// once, what looks lost at a member that loses some and answers the rest.
func (r *Router) TimerFired(now time.Duration) {
	for p := range r.slots {
		if t := &r.slots[p]; r.probablyLost(now, t) {
			r.cancel(t)
		}
	}
	r.warmServers = 0
	for i := range r.servers {
		m := &r.servers[i]
		if r.unresponsive(now, m) {
			r.eject(now, i)
		}
		if !m.draining && !m.ejected && r.capacityShare(now, m) == 1 {
			r.warmServers++
		}
		r.releaseIfGone(now, i)
	}
}

// Reconcile plans what came in or is held, and emits the difference between what should be and what is.
func (r *Router) Reconcile(now time.Duration) {
	// First among the held is what is worth most for its work, among equals the newest (most hope).
	slices.SortStableFunc(r.queue, func(a, b uint32) int {
		x, y := &r.slots[a], &r.slots[b]
		return cmp.Or(cmp.Compare(r.valueDensity(y), r.valueDensity(x)), cmp.Compare(y.receivedAt, x.receivedAt))
	})
	kept := r.queue[:0]
	for _, p := range r.queue {
		t := &r.slots[p]
		r.plan(now, t)
		r.emit(now, t)
		if t.queued = t.state == pending && t.sentTo == none; t.queued {
			kept = append(kept, p)
		}
	}
	r.queue = kept
	for _, p := range r.toCancel {
		r.emit(now, &r.slots[p])
	}
	r.toCancel = r.toCancel[:0]
	r.startHealthChecks(now)
	if r.subscriptionDue(now) {
		r.host.WatchEndpoints(true)
	}
	if r.nextTickAt <= now {
		r.nextTickAt = now + r.tickInterval
		r.host.SetTimer(r.tickInterval)
	}
}

// emit brings a request from what is to what should be.
func (r *Router) emit(now time.Duration, t *request) {
	if t.sentTo != none && t.planned != t.sentTo && !t.cancelling {
		t.cancelling = true
		r.host.CancelAttempt(t.Ref, t.attempts-1)
	}
	switch {
	case t.state == rejected:
		t.state = finished
		r.host.Reject(t.Ref, r.retryAfter)
	case t.state == failed:
		t.state = finished
		r.host.Fail(t.Ref)
	case t.state == pending && t.sentTo == none && t.planned != none:
		m := &r.servers[t.planned]
		m.attemptStarted(now)
		m.spend(r.typical[t.Type])
		if m.ejected {
			m.trialAt = now + r.ejectionTime(m)
		}
		t.attemptStarted(now, t.planned)
		r.host.StartAttempt(t.Ref, t.sentTo, 0)
	}
}
