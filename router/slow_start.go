package router

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// What may a member be sent that has just started? Inputs: when it started, by the list or by what could not be reached and answers
// again; the work that warm members bear. Invariant: all fronts together keep below what it can bear by then, and each has the least
// part (STANDING, slow start: N calls plus 2 x root of N + 2).

// slowStartRules are those of the site.
type slowStartRules struct {
	initialCapacity   float64 // least part of its capacity with which a member starts
	trafficMultiple   float64 // what a cold member is sent, as a multiple of its part by warmth
	slowStartDuration time.Duration
	overloadWindow    time.Duration
	servedWork        decayingMean // attempts that succeeded, in seconds of usual latency
	warmServers       int          // members that bear their full part
}

const safetyFactor = 0.6 // of the multiple of its part at which a cold member falls

func newSlowStartRules(rules routing.Guardrails) slowStartRules {
	return slowStartRules{initialCapacity: rules.InitialCapacity, trafficMultiple: safetyFactor * rules.OverloadMultiple, slowStartDuration: rules.SlowStartDuration,
		overloadWindow: rules.OverloadWindow}
}

// slowStart is a member's.
type slowStart struct {
	startedAt       time.Duration // latest start known
	startTimeListed bool          // started is what the list told
	warmingUp       bool
	budget          float64 // what a cold member may still be sent, in seconds of usual latency
	budgetUpdatedAt time.Duration
}

var unknownStart = slowStart{startedAt: never}

// beginSlowStart has a member cold from a moment on.
func (r *Router) beginSlowStart(now time.Duration, m *server, at time.Duration) {
	m.startedAt, m.warmingUp, m.startTimeListed = at, now-at < r.slowStartDuration, false
	m.budget, m.budgetUpdatedAt = r.randomFloat()*slices.Min(r.typical).Seconds(), now
}

// updateListedStart takes a start that the list tells.
func (r *Router) updateListedStart(now time.Duration, m *server, at time.Duration) {
	if at > m.startedAt {
		r.beginSlowStart(now, m, at)
		m.startTimeListed = true
	}
}

// capacityShare is the least part of its capacity that a member has by now.
func (r *Router) capacityShare(now time.Duration, m *server) float64 {
	if m.warmingUp = m.warmingUp && now-m.startedAt < r.slowStartDuration; !m.warmingUp {
		return 1
	}
	return r.initialCapacity + (1-r.initialCapacity)*float64(max(0, now-m.startedAt))/float64(r.slowStartDuration)
}

// slowStartAdmits tells whether a cold member can take one more. Its part, by least warmth, of what a warm one bears
// from us keeps all fronts together at what it can do; three fifths of the multiple at which it falls leave
// room for chance. What it turns away counts too. A front that sent little has its part of one request a span.
func (r *Router) slowStartAdmits(now time.Duration, m *server, work float64) bool {
	share := r.capacityShare(now, m)
	if !m.warmingUp {
		return true
	}
	part := r.servedWork.sum * r.decay(now-r.servedWork.at) / float64(max(r.warmServers, 1)) / (decayObjectives * r.shortestObjective).Seconds()
	rate := max(r.trafficMultiple*share*part, work*r.limitGrowth/r.overloadWindow.Seconds())
	m.budget = min(m.budget+rate*(now-m.budgetUpdatedAt).Seconds(), max(work, rate*r.overloadWindow.Seconds()/4))
	m.budgetUpdatedAt = now
	return m.budget >= work
}

// spend takes an attempt of a usual latency off the budget.
func (s *slowStart) spend(usual time.Duration) { s.budget -= usual.Seconds() }

// correctStartTime corrects when a member started; its budget begins anew only where it was taken for a warm one.
func (r *Router) correctStartTime(now time.Duration, m *server, at time.Duration) {
	if !m.warmingUp && now-at < r.slowStartDuration {
		r.beginSlowStart(now, m, at)
		m.startTimeListed = true
		return
	}
	m.startedAt = at
}
