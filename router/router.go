// Package router decides which server each request is sent to, whether it is retried, and when it is rejected.
//
// New makes one instance. Its host calls the methods of routing.Router as events come in, and Reconcile after the last event
// of each batch; what the instance may ask for is routing.Host. The package has no I/O, no clock and no goroutine, and is
// not safe for concurrent use: the host's goroutine owns the instance. Equal seeds and events give equal actions, and the
// ordinary path allocates nothing.
//
// The ordinary path: each session keeps its last write's log position as its target; its reads go to a replica whose own
// check enforces that position, and fall back to the primary when it can't or fails. docs/design.md says where this is
// extended and when that applies.
//
// The life of a request: RequestReceived (request.go) takes it and ranks it (admission.go); Reconcile plans it
// (planning.go): is it to be given up (retry.go), which servers admit it (admission.go, concurrency.go, slow_start.go,
// outlier_detection.go), which replica (selection.go, freshness.go, sessions.go) or primary (primary.go) takes it; emit
// sends it. AttemptFinished (request.go) takes the outcome, from which outlier_detection.go, concurrency.go and latency.go
// learn, and which ends the request or has it planned again. EndpointsChanged (endpoints.go) and health checks
// (health_check.go) tell of servers.
//
// Each file has the state that it changes, as a struct with methods, and opens with the question that it answers. Invariants:
// a request has one attempt in flight at most and ends once; nothing that may have run is sent where a repeat would not be
// dropped; nothing new is sent to a draining server.
package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dapplerouter/routing"
)

const (
	never = time.Duration(math.MinInt64 / 4) // before every time; leaves room for sums
	none  = routing.None
)

// server is what is known of a server.
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

// Router is one instance; it implements routing.Router. Its state is in the embedded structs, each of which is changed by the
// methods of its own file.
type Router struct {
	host routing.Host
	randomSource
	latencies
	servers []server // by the host's index
	groups  []group  // by the host's index
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

// New makes an instance that knows no server yet.
func New(h routing.Host, o routing.Options) routing.Router {
	return &Router{
		host:           h,
		randomSource:   randomSource{seed: o.Seed},
		latencies:      newLatencies(o.RequestTypes, o.Topology.TickInterval),
		sessions:       newSessions(o.Replication.ClientCarriesToken),
		fleetLoad:      fleetLoad{limitGrowth: 1 / float64(max(1, o.Topology.FleetSize))},
		slowStartRules: newSlowStartRules(o.Guardrails),
		selection:      newSelection(o.Seed, o.Topology, o.Replication, o.Limits),
		requestTable:   requestTable{requestTypes: o.RequestTypes, mayCancel: o.Limits.Cancellation},
		admission:      newAdmission(o.RequestTypes, o.Topology, o.Limits),
		retryPolicy:    retryPolicy{maxAttempts: o.Limits.MaxAttempts, retryBudget: retryReserve},
		endpointWatch:  newEndpointWatch(o.Topology, o.Guardrails),
		reporting: reporting{
			positionsInReports:  o.Replication.LoadInResponses && !o.Replication.PositionInResponses,
			healthChecksAllowed: o.Limits.HealthChecks,
		},
		stallDetector: stallDetector{nextTickAt: never, resumedAt: never},
	}
}

// GossipReceived does nothing: instances send no gossip yet.
func (r *Router) GossipReceived(time.Duration, int, []byte) {}

// TimerFired is the tick: attempts at unresponsive servers, and those that are probably lost, are cancelled so that their
// requests are sent elsewhere.
func (r *Router) TimerFired(now time.Duration) {
	for i := range r.slots {
		if req := &r.slots[i]; r.probablyLost(now, req) {
			r.cancel(req)
		}
	}
	r.warmServers = 0
	for i := range r.servers {
		s := &r.servers[i]
		if r.unresponsive(now, s) {
			r.eject(now, i)
		}
		if !s.draining && !s.ejected && r.capacityShare(now, s) == 1 {
			r.warmServers++
		}
		r.releaseIfGone(now, i)
	}
}

// Reconcile plans the queued requests and emits the difference between what is planned and what is in flight.
func (r *Router) Reconcile(now time.Duration) {
	// First the highest weight for the work, among equals the newest: its client waits longest for it yet.
	slices.SortStableFunc(r.queue, func(a, b uint32) int {
		x, y := &r.slots[a], &r.slots[b]
		return cmp.Or(cmp.Compare(r.weightPerWork(y), r.weightPerWork(x)), cmp.Compare(y.receivedAt, x.receivedAt))
	})
	waiting := r.queue[:0]
	for _, slot := range r.queue {
		req := &r.slots[slot]
		r.plan(now, req)
		r.emit(now, req)
		if req.queued = req.state == pending && req.sentTo == none; req.queued {
			waiting = append(waiting, slot)
			r.wakeAtEndOfWait(now, req)
		}
	}
	r.queue = waiting
	for _, slot := range r.toCancel {
		r.emit(now, &r.slots[slot])
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

// wakeAtEndOfWait has the queue looked at when a request that waits is to be given up, where no tick is near enough to that.
func (r *Router) wakeAtEndOfWait(now time.Duration, req *request) {
	if !r.endsBetweenTicks(req) {
		return
	}
	if until := r.waitsUntil(now, req) + 1; r.wakeAt <= now || until < r.wakeAt {
		r.wakeAt = until
		r.host.SetTimer(until - now)
	}
}

// emit calls the host for the difference between a request's planned state and its present one.
func (r *Router) emit(now time.Duration, req *request) {
	if req.sentTo != none && req.planned != req.sentTo && !req.cancelling {
		req.cancelling = true
		r.host.CancelAttempt(req.Ref, req.attempts-1)
	}
	switch {
	case req.state == rejected:
		req.state = finished
		r.host.Reject(req.Ref, r.retryAfter)
	case req.state == failed:
		req.state = finished
		r.host.Fail(req.Ref)
	case req.state == pending && req.sentTo == none && req.planned != none:
		s := &r.servers[req.planned]
		s.attemptStarted(now)
		r.attemptAt = now
		s.spend(r.typicalLatency[req.Type])
		if s.ejected {
			s.trialAt = now + r.ejectionTime(s)
		}
		req.attemptStarted(now, req.planned)
		r.host.StartAttempt(req.Ref, req.sentTo, 0)
	}
}
