// Package router decides which server each request is sent to, whether a request is retried, and when it is rejected.
//
// New returns one instance. The host calls the methods of routing.Router as events arrive, and Reconcile after the last
// event of each batch. The instance calls back through routing.Host. The package has no I/O, no clock and no goroutine.
// It is not safe for concurrent use: the host's goroutine owns the instance. The same seed and the same events produce
// the same actions. The ordinary path allocates nothing.
//
// The ordinary path: the router remembers the log position of each session's last write as the session's target. The
// session's reads go to a replica that enforces this position itself. They fall back to the primary if the replica
// rejects them or fails. docs/design.md describes the extensions and when they apply.
//
// The life of a request:
//
//   - RequestReceived (request.go) stores the request and ranks it (admission.go).
//   - Reconcile plans it (planning.go). The plan checks whether to give the request up (retry.go) and which servers admit
//     it (admission.go, concurrency.go, slow_start.go, outlier_detection.go). It then chooses a replica (selection.go,
//     freshness.go, sessions.go) or the primary (primary.go). reconcileRequest starts the attempt.
//   - AttemptFinished (request.go) records the outcome for outlier_detection.go, concurrency.go and latency.go. It ends
//     the request or queues it to be planned again.
//
// EndpointsChanged (endpoints.go) and health checks (health_check.go) supply what is known about the servers.
//
// Each file holds the state that it changes, as a struct with methods, and starts with a summary of its purpose, inputs
// and invariant. Invariants of the package: a request has at most one attempt in flight and ends exactly once; a
// request that may have run is sent again only to servers that would drop the repeat; a draining server is sent nothing
// new.
package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dapplerouter/routing"
)

const (
	never = time.Duration(math.MinInt64 / 4) // earlier than every time in use; far enough from the minimum that sums don't overflow
	none  = routing.None

	timerResolution = time.Microsecond // a host may round the delay of a timer down to this resolution
)

// server is the state kept for one server.
type server struct {
	group, zone int
	endpointState
	roleHistory
	replicationState
	concurrency
	health
	slowStart
	healthCheckState
}

// unknownServer is the initial state of a server.
var unknownServer = server{group: none, roleHistory: unknownRoleHistory, replicationState: unknownReplicationState,
	concurrency: unknownConcurrency, health: unknownHealth, slowStart: unknownSlowStart, healthCheckState: neverChecked}

// Router is one instance and implements routing.Router. Its state is in the embedded structs. Each of them is defined
// in the file whose methods maintain it.
type Router struct {
	host routing.Host
	randomSource
	latencies
	servers []server // by the index that the host assigned
	groups  []*group // by the index that the host assigned
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

// New returns an instance that knows no servers yet. It calls h only from within its methods.
func New(h routing.Host, o routing.Options) routing.Router {
	return &Router{
		host:           h,
		randomSource:   randomSource{seed: o.Seed},
		latencies:      newLatencies(o.RequestTypes, o.Topology.TickInterval),
		sessions:       newSessions(o.Replication.ClientCarriesToken),
		fleetLoad:      fleetLoad{limitGrowth: 1 / float64(max(1, o.Topology.FleetSize))},
		slowStartRules: newSlowStartRules(o.DeploymentRules),
		selection:      newSelection(o.Seed, o.Topology, o.Replication, o.Limits),
		requestTable:   requestTable{requestTypes: o.RequestTypes, mayCancel: o.Limits.Cancellation},
		admission:      newAdmission(o.RequestTypes, o.Topology, o.Limits),
		retryPolicy:    retryPolicy{maxAttempts: o.Limits.MaxAttempts, retryBudget: maxRetryBudget},
		endpointWatch:  newEndpointWatch(o.Topology, o.DeploymentRules),
		reporting: reporting{
			positionsInReports:  o.Replication.LoadInResponses && !o.Replication.PositionInResponses,
			healthChecksAllowed: o.Limits.HealthChecks,
		},
		stallDetector: stallDetector{nextTickAt: never, resumedAt: never},
	}
}

// GossipReceived does nothing: instances don't send gossip yet.
func (r *Router) GossipReceived(time.Duration, int, []byte) {}

// TimerFired runs on each tick. It cancels the attempts that are probably lost, including those at unresponsive
// servers, so that their requests are sent elsewhere. It also ejects unresponsive servers and releases the indices of
// servers that are gone.
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

// Reconcile plans the queued requests, and carries out the plans by calls to the host: it starts and cancels attempts
// and ends requests. It also starts health checks, subscribes to the endpoint list, and sets the timer for the next
// tick.
func (r *Router) Reconcile(now time.Duration) {
	// Highest weight per unit of work first. Among equals the newest goes first, since its client will wait the
	// longest.
	slices.SortStableFunc(r.queue, func(a, b uint32) int {
		x, y := &r.slots[a], &r.slots[b]
		return cmp.Or(cmp.Compare(r.weightPerWork(y), r.weightPerWork(x)), cmp.Compare(y.receivedAt, x.receivedAt))
	})
	waiting := r.queue[:0]
	for _, slot := range r.queue {
		req := &r.slots[slot]
		r.plan(now, req)
		r.reconcileRequest(now, req)
		if req.queued = req.state == pending && req.sentTo == none; req.queued {
			waiting = append(waiting, slot)
			r.setTimerForWaitEnd(now, req)
		}
	}
	r.queue = waiting
	for _, slot := range r.toCancel {
		r.reconcileRequest(now, &r.slots[slot])
	}
	r.toCancel = r.toCancel[:0]
	r.startHealthChecks(now)
	if r.subscriptionDue(now) {
		r.host.WatchEndpoints(true)
	}
	if r.nextTickAt <= now {
		r.nextTickAt = now + r.tickInterval
		r.setTimer(r.tickInterval)
	}
}

// setTimer requests a call of TimerFired once the given time has passed. It rounds the time up to timerResolution, since a
// timer that fires early would find that nothing is due, and might be the last one before a deadline.
func (r *Router) setTimer(after time.Duration) {
	r.host.SetTimer((after + timerResolution - 1).Truncate(timerResolution))
}

// setTimerForWaitEnd sets a timer for the end of a queued request's wait, if its timeout is too short to rely on ticks.
// Reconcile then gives the request up in time.
func (r *Router) setTimerForWaitEnd(now time.Duration, req *request) {
	if !r.hasShortTimeout(req) {
		return
	}
	if until := r.waitDeadline(now, req) + 1; r.waitTimerAt <= now || until < r.waitTimerAt {
		r.waitTimerAt = until
		r.setTimer(until - now)
	}
}

// reconcileRequest calls the host for the difference between a request's planned state and its present one.
func (r *Router) reconcileRequest(now time.Duration, req *request) {
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
		r.lastAttemptAt = now
		s.spendBudget(r.typicalLatency[req.Type])
		if s.ejected {
			s.trialAt = now + r.ejectionTime(s)
		}
		req.attemptStarted(now, req.planned)
		r.host.StartAttempt(req.Ref, req.sentTo, 0)
	}
}
