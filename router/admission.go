package router

import (
	"math"
	"time"

	"dapplerouter/routing"
)

// What goes out first, and what is turned away? Inputs: what each request is worth for its work, the load of its member, how its time
// compares with others'. Invariant: under load the work worth most goes out (docs/design.md, order).

// admission ranks what comes.
type admission struct {
	workByDensity   [64]float64   // work that came recently, by the logarithm of what it is worth for its length
	errorRate       float64       // of all members
	retryAfter      time.Duration // what a rejected client is told
	retriesMarked   bool          // clients mark their retries
	typicalTimeouts []time.Duration
	timeoutsSeen    []int // of each type
}

func newAdmission(types []routing.RequestType, at routing.Topology, allowed routing.Limits) admission {
	return admission{retryAfter: allowed.MaxRetryAfter / 2, retriesMarked: at.RetriesMarked,
		typicalTimeouts: make([]time.Duration, len(types)), timeoutsSeen: make([]int, len(types))}
}

const (
	minAdmittedShare = 1.0 / 20 // part of the work that goes out under any load
	timeoutSteps     = 50       // tries after which a usual budget moves by its smallest step
	retryDiscount    = 4        // by which a retry is worth less
)

// admits tells whether a member may be sent a request now.
func (r *Router) admits(now time.Duration, m *server, t *request) bool {
	if m.draining || now < m.nextDialAt || r.saturated(m) {
		return false
	}
	calmer := max((overloadedLoad-r.loadEstimate(now, m))/(overloadedLoad-normalLoad), minAdmittedShare)
	return t.rank <= calmer && r.slowStartAdmits(now, m, r.typical[t.Type].Seconds())
}

// valueDensity is what a request is worth for its length.
func (r *Router) valueDensity(t *request) float64 { return t.weight / r.typical[t.Type].Seconds() }

// rankOf is the part of the work coming here that is worth more for its length; among equals by chance.
func (r *Router) rankOf(t *request) float64 {
	work := r.typical[t.Type].Seconds()
	own := min(max(int(2*math.Log2(r.valueDensity(t)))+len(r.workByDensity)/2, 0), len(r.workByDensity)-1)
	r.workByDensity[own] += work
	above, all := 0.0, 0.0
	for i, w := range r.workByDensity {
		if all += w; i > own {
			above += w
		}
	}
	rank := (above + r.randomFloat()*r.workByDensity[own]) / all
	for i := 0; i < len(r.workByDensity) && all > 2*decayObjectives*r.shortestObjective.Seconds(); i++ {
		r.workByDensity[i] /= 2
	}
	return rank
}

// timeoutDeviation is how far a budget is from that of most. Clients leave a first try after a fixed part of it,
// a later one with what is left: so it tells a retry where clients don't mark them, and how long that waited
// which came while this front stood still. A few tries have to be seen first.
func (r *Router) timeoutDeviation(in *routing.Request) time.Duration {
	most, seen := &r.typicalTimeouts[in.Type], &r.timeoutsSeen[in.Type]
	off := in.Timeout - *most
	*seen++
	step := r.types[in.Type].Deadline / time.Duration(min(*seen+1, timeoutSteps))
	if *most += max(min(off, step), -step); *seen < 2*priorWeight {
		return 0
	}
	return off
}

// discountRetry takes the time that a retry has waited already off its target, and its value down: the first answer was no better.
func (r *Router) discountRetry(now time.Duration, t *request) {
	off := r.timeoutDeviation(&t.Request)
	retry := r.retriesMarked && t.Retry
	if retry || !r.retriesMarked || r.stalled(now) {
		t.objectiveAt += min(off, 0)
	}
	if retry || !r.retriesMarked && !r.stalled(now) && max(off, -off) > t.Timeout/20 {
		t.weight /= retryDiscount
	}
}
