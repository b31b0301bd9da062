package router

import (
	"math"
	"time"

	"dapplerouter/routing"
)

// This file decides which requests are sent first, and which wait or are shed. Inputs: each request's priority weight
// and expected work, the load of its server, and whether it is a retry. Invariant: under load, the requests with the
// highest weight per unit of work are sent (docs/design.md, order).

// admission holds the state by which requests are ranked and admitted.
type admission struct {
	workByDensity [64]float64   // recent work in seconds, in buckets by the logarithm of weight per unit of work (density)
	lastAttemptAt time.Duration // start of the latest attempt at any server
	errorRate     float64       // error rate of all servers together
	retryAfter    time.Duration // sent to clients with a rejection
	retriesMarked bool          // clients mark their retries

	typicalTimeouts []time.Duration // by request type
	timeoutSamples  []int           // by request type; number of timeouts seen
}

func newAdmission(types []routing.RequestType, topology routing.Topology, limits routing.Limits) admission {
	return admission{retryAfter: limits.MaxRetryAfter / 2, retriesMarked: topology.RetriesMarked,
		typicalTimeouts: make([]time.Duration, len(types)), timeoutSamples: make([]int, len(types))}
}

const (
	minAdmittedShare    = 1.0 / 20 // share of the work that is sent under any load
	maxTimeoutSamples   = 50       // number of requests after which a typical timeout moves by its smallest step
	minDeviationDivisor = 20       // divisor of a timeout; a larger deviation from the typical timeout indicates a retry
	retryWeightDivisor  = 4        // divisor of a retry's weight

	// After maxTimeWithoutAttempt, one request is sent regardless of its rank. Otherwise an instance with few requests
	// could reject all of them, because no answer arrives to lower its load estimate. No instance may do so for 4 s.
	// Instances that send anything are not affected.
	maxTimeWithoutAttempt = 2 * time.Second
)

// admits reports whether a server may be sent a request now. The server must be able to take an attempt, the request's
// rank must be within the share of the work that its load allows, and slow start must allow it.
func (r *Router) admits(now time.Duration, s *server, req *request) bool {
	if s.draining || now < s.nextDialAt || r.saturated(s) {
		return false
	}
	admittedShare := max((overloadedLoad-r.loadEstimate(now, s))/(overloadedLoad-normalLoad), minAdmittedShare)
	return (req.rank <= admittedShare || now-r.lastAttemptAt >= maxTimeWithoutAttempt) &&
		r.slowStartAdmits(now, s, r.typicalLatency[req.Type].Seconds())
}

// weightPerWork returns a request's weight per second of its type's typical latency. Requests are queued and ranked by it.
func (r *Router) weightPerWork(req *request) float64 {
	return req.weight / r.typicalLatency[req.Type].Seconds()
}

// rankOf returns the share of the recent work that has more weight per unit of work than the request; 0 is the best.
// Requests with equal weight per unit of work are ranked at random. Before it computes the share, it adds the request's
// own work to the recent work. It halves the recent work once it is too much, so that older requests weigh less.
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
	for i := 0; i < len(r.workByDensity) && all > 2*decayTimeInObjectives*r.shortestObjective.Seconds(); i++ {
		r.workByDensity[i] /= 2
	}
	return rank
}

// timeoutDeviation returns the difference between a request's timeout and the typical timeout of its type, or 0 until
// enough timeouts were seen. It also updates the typical timeout. Clients give a first attempt a fixed part of their
// deadline and a retry what is left of it.
func (r *Router) timeoutDeviation(in *routing.Request) time.Duration {
	typical, seen := &r.typicalTimeouts[in.Type], &r.timeoutSamples[in.Type]
	deviation := in.Timeout - *typical
	*seen++
	step := r.requestTypes[in.Type].Deadline / time.Duration(min(*seen+1, maxTimeoutSamples))
	if *typical += max(min(deviation, step), -step); *seen < 2*priorWeight {
		return 0
	}
	return deviation
}

// discountRetry lowers the weight of a retry. Its client already has one rejection, so a second one costs less. It also
// subtracts from probableObjectiveAt the time that the client has probably waited: for a retry since its first attempt,
// for a request found after a stall of this instance since some moment of the stall. The time waited is inferred as the
// difference between the type's typical timeout and the request's, and is at most the duration of the stall after one. A
// client may simply use a shorter timeout, so the inference never keeps a request from a server that is not loaded.
func (r *Router) discountRetry(now time.Duration, req *request) {
	deviation := r.timeoutDeviation(&req.Request)
	waited := max(-deviation, 0)
	markedRetry := r.retriesMarked && req.Retry
	switch {
	case r.stalled(now) && !markedRetry:
		req.probableObjectiveAt -= min(waited, r.stallDuration)
	case markedRetry || !r.retriesMarked:
		req.probableObjectiveAt -= waited
		if markedRetry || max(deviation, -deviation) > req.Timeout/minDeviationDivisor {
			req.weight /= retryWeightDivisor
		}
	}
}
