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
	initialShare  float64 // least part of its capacity with which a member starts
	shareMultiple float64 // what a cold member is sent, as a multiple of its part by warmth
	warmUp        time.Duration
	fallTime      time.Duration
	served        decayingMean // attempts that succeeded, in seconds of usual latency
	warmMembers   int          // members that bear their full part
}

const safeShare = 0.6 // of the multiple of its part at which a cold member falls

func newSlowStartRules(rules routing.Guardrails) slowStartRules {
	return slowStartRules{initialShare: rules.InitialCapacity, shareMultiple: safeShare * rules.OverloadMultiple, warmUp: rules.SlowStartDuration,
		fallTime: rules.OverloadWindow}
}

// slowStart is a member's.
type slowStart struct {
	started     time.Duration // latest start known
	startListed bool          // started is what the list told
	cold        bool
	budget      float64 // what a cold member may still be sent, in seconds of usual latency
	budgetAt    time.Duration
}

var unknownStart = slowStart{started: never}

// beginSlowStart has a member cold from a moment on.
func (r *Router) beginSlowStart(now time.Duration, m *member, at time.Duration) {
	m.started, m.cold, m.startListed = at, now-at < r.warmUp, false
	m.budget, m.budgetAt = r.draw()*slices.Min(r.usual).Seconds(), now
}

// listStart takes a start that the list tells.
func (r *Router) listStart(now time.Duration, m *member, at time.Duration) {
	if at > m.started {
		r.beginSlowStart(now, m, at)
		m.startListed = true
	}
}

// capacityShare is the least part of its capacity that a member has by now.
func (r *Router) capacityShare(now time.Duration, m *member) float64 {
	if m.cold = m.cold && now-m.started < r.warmUp; !m.cold {
		return 1
	}
	return r.initialShare + (1-r.initialShare)*float64(max(0, now-m.started))/float64(r.warmUp)
}

// slowStartAdmits tells whether a cold member can take one more. Its part, by least warmth, of what a warm one bears
// from us keeps all fronts together at what it can do; three fifths of the multiple at which it falls leave
// room for chance. What it turns away counts too. A front that sent little has its part of one request a span.
func (r *Router) slowStartAdmits(now time.Duration, m *member, work float64) bool {
	share := r.capacityShare(now, m)
	if !m.cold {
		return true
	}
	part := r.served.sum * r.fade(now-r.served.at) / float64(max(r.warmMembers, 1)) / (recent * r.shortest).Seconds()
	rate := max(r.shareMultiple*share*part, work*r.growth/r.fallTime.Seconds())
	m.budget = min(m.budget+rate*(now-m.budgetAt).Seconds(), max(work, rate*r.fallTime.Seconds()/4))
	m.budgetAt = now
	return m.budget >= work
}

// spend takes an attempt of a usual latency off the budget.
func (s *slowStart) spend(usual time.Duration) { s.budget -= usual.Seconds() }

// correctStart corrects when a member started; its budget begins anew only where it was taken for a warm one.
func (r *Router) correctStart(now time.Duration, m *member, at time.Duration) {
	if !m.cold && now-at < r.warmUp {
		r.beginSlowStart(now, m, at)
		m.startListed = true
		return
	}
	m.started = at
}
