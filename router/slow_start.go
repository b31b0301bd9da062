package router

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// This file limits what a server that has just started is sent. Inputs: the server's start time, from the endpoint list
// or because the server was unreachable and answers again; the successful work at all servers and the number of warm
// servers among them. Invariant: all instances together send less than the server can take at its present capacity. The
// deployment's slow-start rule allows them N + 2 x sqrt(N) + 2 requests within the overload window. N is the number of
// requests of mean work that the rules allow the server in that time at its present capacity. Even if N is small, all
// instances together may therefore send a minimum, which is one request per overload window.

// slowStartRules holds the deployment's slow-start rules. It also holds the recent work of the successful attempts at
// all servers and the number of warm servers. Divided by each other, they give the mean rate of work of a warm server. The
// traffic to a warming-up server is limited to a share of that rate.
type slowStartRules struct {
	initialCapacity   float64       // share of its capacity that a server has when it starts
	trafficMultiple   float64       // traffic to a warming-up server, as a multiple of what its share of the capacity entitles it to
	slowStartDuration time.Duration // time from a server's start to its full capacity
	overloadWindow    time.Duration // time over which the deployment measures an overload
	servedWork        decayingMean  // successful attempts, in seconds of typical latency
	warmServers       int           // number of servers with full capacity
}

// safetyFactor keeps the traffic to a warming-up server below the multiple of its capacity at which it fails. The margin
// allows for chance.
const safetyFactor = 0.6

// newSlowStartRules converts the deployment's rules. No work has been counted yet.
func newSlowStartRules(rules routing.DeploymentRules) slowStartRules {
	return slowStartRules{
		initialCapacity:   rules.InitialCapacity,
		trafficMultiple:   safetyFactor * rules.OverloadMultiple,
		slowStartDuration: rules.SlowStartDuration,
		overloadWindow:    rules.OverloadWindow,
	}
}

// slowStart is the slow-start state of one server.
type slowStart struct {
	startedAt       time.Duration // latest known start
	startTimeListed bool          // startedAt comes from the endpoint list
	warmingUp       bool
	slowStartBudget float64 // work that may still be sent during warm-up, in seconds of typical latency
	budgetUpdatedAt time.Duration
}

var unknownSlowStart = slowStart{startedAt: never}

// beginSlowStart starts a server's warm-up at startedAt. The initial budget is a random fraction of one request, so
// that many instances together send their share from the start.
func (r *Router) beginSlowStart(now time.Duration, s *server, startedAt time.Duration) {
	s.startedAt, s.warmingUp, s.startTimeListed = startedAt, now-startedAt < r.slowStartDuration, false
	s.slowStartBudget, s.budgetUpdatedAt = r.randomFloat()*slices.Min(r.typicalLatency).Seconds(), now
}

// updateListedStart applies a start time from the endpoint list if it is later than the known start.
func (r *Router) updateListedStart(now time.Duration, s *server, startedAt time.Duration) {
	if startedAt > s.startedAt {
		r.beginSlowStart(now, s, startedAt)
		s.startTimeListed = true
	}
}

// capacityShare returns the share of its capacity that a server has at least reached, up to 1.
func (r *Router) capacityShare(now time.Duration, s *server) float64 {
	if s.warmingUp = s.warmingUp && now-s.startedAt < r.slowStartDuration; !s.warmingUp {
		return 1
	}
	return r.initialCapacity + (1-r.initialCapacity)*float64(max(0, now-s.startedAt))/float64(r.slowStartDuration)
}

// slowStartAdmits reports whether a server may be sent a request with the given work, in seconds, under the slow-start
// rules. A warming-up server gets the share given by capacityShare of what this instance sends a warm server, so that
// all instances together stay within the server's capacity. safetyFactor leaves a margin for chance. Requests that the
// server rejects count too. An instance that sends little may send one request per overloadWindow, divided by the
// number of instances.
func (r *Router) slowStartAdmits(now time.Duration, s *server, work float64) bool {
	share := r.capacityShare(now, s)
	if !s.warmingUp {
		return true
	}
	warmRate := r.servedWork.sum * r.decay(now-r.servedWork.at) / float64(max(r.warmServers, 1)) /
		(decayTimeInObjectives * r.shortestObjective).Seconds()
	rate := max(r.trafficMultiple*share*warmRate, work*r.limitGrowth/r.overloadWindow.Seconds())
	s.slowStartBudget = min(s.slowStartBudget+rate*(now-s.budgetUpdatedAt).Seconds(), max(work, rate*r.overloadWindow.Seconds()/4))
	s.budgetUpdatedAt = now
	return s.slowStartBudget >= work
}

// spendBudget deducts an attempt with the given typical latency from the budget.
func (s *slowStart) spendBudget(latency time.Duration) { s.slowStartBudget -= latency.Seconds() }

// correctStartTime corrects the start time of a server. The warm-up restarts only if the server was considered warm and
// the corrected start is recent.
func (r *Router) correctStartTime(now time.Duration, s *server, startedAt time.Duration) {
	if !s.warmingUp && now-startedAt < r.slowStartDuration {
		r.beginSlowStart(now, s, startedAt)
		s.startTimeListed = true
		return
	}
	s.startedAt = startedAt
}
