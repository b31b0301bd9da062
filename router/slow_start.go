package router

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// What may a server be sent that has just started? Inputs: when it started, by the endpoint list or because it was unreachable and
// answers again; the work that warm servers do. Invariant: all instances together send less than it can take by then, and each may send
// the least part (STANDING, slow start: N calls plus 2 x root of N + 2).

// slowStartRules are the deployment's rules, and the work of the warm servers by which they are kept.
type slowStartRules struct {
	initialCapacity   float64       // part of its capacity that a server has when it starts
	trafficMultiple   float64       // what a server that is warming up is sent, as a multiple of its part by that capacity
	slowStartDuration time.Duration // until a server has its full capacity
	overloadWindow    time.Duration
	servedWork        decayingMean // attempts that succeeded, in seconds of typical latency
	warmServers       int          // servers with their full capacity
}

const safetyFactor = 0.6 // of the multiple at which a server that is warming up fails

func newSlowStartRules(rules routing.Guardrails) slowStartRules {
	return slowStartRules{
		initialCapacity:   rules.InitialCapacity,
		trafficMultiple:   safetyFactor * rules.OverloadMultiple,
		slowStartDuration: rules.SlowStartDuration,
		overloadWindow:    rules.OverloadWindow,
	}
}

// slowStart is a server's.
type slowStart struct {
	startedAt       time.Duration // latest start known
	startTimeListed bool          // startedAt is from the endpoint list
	warmingUp       bool
	slowStartBudget float64 // what may still be sent while it is warming up, in seconds of typical latency
	budgetUpdatedAt time.Duration
}

var unknownStart = slowStart{startedAt: never}

// beginSlowStart has a server warm up from startedAt on. Its budget starts at a random part of one request, so that many
// instances together send their part from the start.
func (r *Router) beginSlowStart(now time.Duration, s *server, startedAt time.Duration) {
	s.startedAt, s.warmingUp, s.startTimeListed = startedAt, now-startedAt < r.slowStartDuration, false
	s.slowStartBudget, s.budgetUpdatedAt = r.randomFloat()*slices.Min(r.typicalLatency).Seconds(), now
}

// updateListedStart takes a start time from the endpoint list.
func (r *Router) updateListedStart(now time.Duration, s *server, startedAt time.Duration) {
	if startedAt > s.startedAt {
		r.beginSlowStart(now, s, startedAt)
		s.startTimeListed = true
	}
}

// capacityShare is the least part of its capacity that a server has by now, up to 1.
func (r *Router) capacityShare(now time.Duration, s *server) float64 {
	if s.warmingUp = s.warmingUp && now-s.startedAt < r.slowStartDuration; !s.warmingUp {
		return 1
	}
	return r.initialCapacity + (1-r.initialCapacity)*float64(max(0, now-s.startedAt))/float64(r.slowStartDuration)
}

// slowStartAdmits reports whether a server that is warming up may be sent a request of that much work, in seconds. It is sent
// its part, by capacityShare, of what this instance sends a warm server, so that all instances together keep to what it
// can take; safetyFactor leaves room for chance. What it rejects counts too. An instance that sends little may send one
// request per overloadWindow, divided among the instances.
func (r *Router) slowStartAdmits(now time.Duration, s *server, work float64) bool {
	share := r.capacityShare(now, s)
	if !s.warmingUp {
		return true
	}
	warmRate := r.servedWork.sum * r.decay(now-r.servedWork.at) / float64(max(r.warmServers, 1)) / (decayObjectives * r.shortestObjective).Seconds()
	rate := max(r.trafficMultiple*share*warmRate, work*r.limitGrowth/r.overloadWindow.Seconds())
	s.slowStartBudget = min(s.slowStartBudget+rate*(now-s.budgetUpdatedAt).Seconds(), max(work, rate*r.overloadWindow.Seconds()/4))
	s.budgetUpdatedAt = now
	return s.slowStartBudget >= work
}

// spend takes an attempt of that latency off the budget.
func (s *slowStart) spend(latency time.Duration) { s.slowStartBudget -= latency.Seconds() }

// correctStartTime corrects when a server started. Its budget starts anew only where it was taken for a warm one.
func (r *Router) correctStartTime(now time.Duration, s *server, startedAt time.Duration) {
	if !s.warmingUp && now-startedAt < r.slowStartDuration {
		r.beginSlowStart(now, s, startedAt)
		s.startTimeListed = true
		return
	}
	s.startedAt = startedAt
}
