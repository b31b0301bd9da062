package router

import (
	"math"
	"time"

	"dapplerouter/routing"
)

// Which requests are sent first, and which wait or are shed? Inputs: each request's priority weight and expected work, the load of its
// server, how its timeout compares with others'. Invariant: under load the requests with the highest weight for their work are sent
// (docs/design.md, order).

// admission ranks requests.
type admission struct {
	workByDensity   [64]float64     // recent work in seconds, by the logarithm of its weight for its work
	errorRate       float64         // of all servers
	retryAfter      time.Duration   // sent to a rejected client
	retriesMarked   bool            // clients mark their retries
	typicalTimeouts []time.Duration // by request type
	timeoutsSeen    []int           // by request type
}

func newAdmission(types []routing.RequestType, topology routing.Topology, limits routing.Limits) admission {
	return admission{retryAfter: limits.MaxRetryAfter / 2, retriesMarked: topology.RetriesMarked,
		typicalTimeouts: make([]time.Duration, len(types)), timeoutsSeen: make([]int, len(types))}
}

const (
	minAdmittedShare = 1.0 / 20 // share of the work that is sent under any load
	timeoutSteps     = 50       // requests after which a typical timeout moves by its smallest step
	retryDiscount    = 4        // divisor of a retry's weight
)

// admits reports whether a server may be sent a request now.
func (r *Router) admits(now time.Duration, s *server, req *request) bool {
	if s.draining || now < s.nextDialAt || r.saturated(s) {
		return false
	}
	admittedShare := max((overloadedLoad-r.loadEstimate(now, s))/(overloadedLoad-normalLoad), minAdmittedShare)
	return req.rank <= admittedShare && r.slowStartAdmits(now, s, r.typicalLatency[req.Type].Seconds())
}

// weightPerWork is a request's weight for each second of its type's typical latency.
func (r *Router) weightPerWork(req *request) float64 {
	return req.weight / r.typicalLatency[req.Type].Seconds()
}

// rankOf is the share of the recent work that has more weight for its work, 0 for the best; equal ones are ranked at random.
func (r *Router) rankOf(req *request) float64 {
	work := r.typicalLatency[req.Type].Seconds()
	own := min(max(int(2*math.Log2(r.weightPerWork(req)))+len(r.workByDensity)/2, 0), len(r.workByDensity)-1)
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

// timeoutDeviation is how far a timeout is from its type's typical one, 0 until enough were seen. Clients give a first
// attempt a fixed part of their deadline and a retry what is left: so the deviation identifies retries that clients don't
// mark, and says how long a request waited that was received while this instance was stalled.
func (r *Router) timeoutDeviation(in *routing.Request) time.Duration {
	typical, seen := &r.typicalTimeouts[in.Type], &r.timeoutsSeen[in.Type]
	deviation := in.Timeout - *typical
	*seen++
	step := r.requestTypes[in.Type].Deadline / time.Duration(min(*seen+1, timeoutSteps))
	if *typical += max(min(deviation, step), -step); *seen < 2*priorWeight {
		return 0
	}
	return deviation
}

// discountRetry counts the time that a retry has already waited against its latency objective, and lowers its weight: its
// client has a rejection already, so a second one costs less.
func (r *Router) discountRetry(now time.Duration, req *request) {
	deviation := r.timeoutDeviation(&req.Request)
	retry := r.retriesMarked && req.Retry
	if retry || !r.retriesMarked || r.stalled(now) {
		req.objectiveAt += min(deviation, 0)
	}
	if retry || !r.retriesMarked && !r.stalled(now) && max(deviation, -deviation) > req.Timeout/20 {
		req.weight /= retryDiscount
	}
}
