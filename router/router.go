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

// member is what is known of a member; all is unknown at birth.
type member struct {
	group, zone int
	endpoint
	position
	concurrency
	health
	slowStart
	probing
}

var unknownMember = member{group: none, position: unknownPosition, concurrency: unknownConcurrency, health: unknownHealth,
	slowStart: unknownStart, probing: neverProbed}

// Router is one instance: its parts.
type Router struct {
	host routing.Host
	chance
	latencies
	members []member
	groups  []group
	sessions
	loads
	slowStartRules
	selection
	requestTable
	admission
	retries
	endpointList
	reports
	clock
}

// New makes an instance that knows nothing yet.
func New(h routing.Host, o routing.Options) routing.Router {
	return &Router{
		host:           h,
		chance:         chance{seed: o.Seed},
		latencies:      newLatencies(o.RequestTypes, o.Topology.TickInterval),
		sessions:       newSessions(o.Replication.ClientCarriesToken),
		loads:          loads{growth: 1 / float64(max(1, o.Topology.FleetSize))},
		slowStartRules: newSlowStartRules(o.Guardrails),
		selection:      newSelection(o.Seed, o.Topology, o.Replication, o.Limits),
		requestTable:   requestTable{types: o.RequestTypes, mayCancel: o.Limits.Cancellation},
		admission:      newAdmission(o.RequestTypes, o.Topology, o.Limits),
		retries:        retries{maxAttempts: o.Limits.MaxAttempts, retryBudget: retryReserve},
		endpointList:   newEndpointList(o.Topology, o.Guardrails),
		reports:        reports{positionsByReport: o.Replication.LoadInResponses && !o.Replication.PositionInResponses, mayProbe: o.Limits.HealthChecks},
		clock:          clock{wakeAt: never, resumedAt: never},
	}
}

// GossipReceived takes a message from a peer; fronts say nothing to each other yet.
func (r *Router) GossipReceived(time.Duration, int, []byte) {}

// TimerFired is the tick: what is out at a member that fell silent is taken back and goes elsewhere; so is,
// once, what looks lost at a member that loses some and answers the rest.
func (r *Router) TimerFired(now time.Duration) {
	for p := range r.slab {
		if t := &r.slab[p]; r.looksLost(now, t) {
			r.cancel(t)
		}
	}
	r.warmMembers = 0
	for i := range r.members {
		m := &r.members[i]
		if r.silent(now, m) {
			r.eject(now, i)
		}
		if !m.draining && !m.ejected && r.capacityShare(now, m) == 1 {
			r.warmMembers++
		}
		r.forget(now, i)
	}
}

// Reconcile plans what came in or is held, and emits the difference between what should be and what is.
func (r *Router) Reconcile(now time.Duration) {
	// First among the held is what is worth most for its work, among equals the newest (most hope).
	slices.SortStableFunc(r.held, func(a, b uint32) int {
		x, y := &r.slab[a], &r.slab[b]
		return cmp.Or(cmp.Compare(r.valueDensity(y), r.valueDensity(x)), cmp.Compare(y.begun, x.begun))
	})
	kept := r.held[:0]
	for _, p := range r.held {
		t := &r.slab[p]
		r.plan(now, t)
		r.emit(now, t)
		if t.held = t.end == open && t.at == none; t.held {
			kept = append(kept, p)
		}
	}
	r.held = kept
	for _, p := range r.cancelled {
		r.emit(now, &r.slab[p])
	}
	r.cancelled = r.cancelled[:0]
	r.sendProbes(now)
	if r.subscriptionDue(now) {
		r.host.WatchEndpoints(true)
	}
	if r.wakeAt <= now {
		r.wakeAt = now + r.tick
		r.host.SetTimer(r.tick)
	}
}

// emit brings a request from what is to what should be.
func (r *Router) emit(now time.Duration, t *request) {
	if t.at != none && t.want != t.at && !t.cancelling {
		t.cancelling = true
		r.host.CancelAttempt(t.Ref, t.attempts-1)
	}
	switch {
	case t.end == rejected:
		t.end = closed
		r.host.Reject(t.Ref, r.retryAfter)
	case t.end == failed:
		t.end = closed
		r.host.Fail(t.Ref)
	case t.end == open && t.at == none && t.want != none:
		m := &r.members[t.want]
		m.sent(now)
		m.spend(r.usual[t.Type])
		if m.ejected {
			m.retryAt = now + r.ejectionTime(m)
		}
		t.sentTo(now, t.want)
		r.host.StartAttempt(t.Ref, t.at, 0)
	}
}
