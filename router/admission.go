package router

import (
	"math"
	"time"

	"dapplerouter/routing"
)

// Which requests are sent first, and which wait or are shed? Inputs: each request's priority weight and expected work, the load of its
// server, whether it is a retry. Invariant: under load the requests with the highest weight for their work are sent
// (docs/design.md, order).

// admission ranks requests.
type admission struct {
	workByDensity [64]float64   // recent work in seconds, by the logarithm of its weight for its work
	attemptAt     time.Duration // when the latest attempt began, at any server
	errorRate     float64       // of all servers
	retryAfter    time.Duration // sent to a rejected client
	retriesMarked bool          // clients mark their retries

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
	minDeviationPart = 20       // a retry's timeout differs from the typical one by this part of it at least
	retryDiscount    = 4        // divisor of a retry's weight

	// After maxTimeWithoutAttempt one request of any rank is sent: a load estimate that no answer can lower would have an instance
	// with few requests reject them all (STANDING: none does so for 4 s). Instances that send something need no more than their rank.
	maxTimeWithoutAttempt = 2 * time.Second
)

// admits reports whether a server may be sent a request now.
func (r *Router) admits(now time.Duration, s *server, req *request) bool {
	if s.draining || now < s.nextDialAt || r.saturated(s) {
		return false
	}
	admittedShare := max((overloadedLoad-r.loadEstimate(now, s))/(overloadedLoad-normalLoad), minAdmittedShare)
	return (req.rank <= admittedShare || now-r.attemptAt >= maxTimeWithoutAttempt) && r.slowStartAdmits(now, s, r.typicalLatency[req.Type].Seconds())
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

// timeoutDeviation is how far a timeout is from its type's typical one, 0 until enough were seen. Clients give a first attempt a
// fixed part of their deadline and a retry what is left.
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

// discountRetry lowers the weight of a retry: its client has a rejection already, so a second one costs less. It also notes how
// long the client has probably waited: a retry since its first attempt, a request that was found after a stall since some
// moment of the stall. That is an inference from others' timeouts, since a client may just ask with less time: no server that is
// not loaded is spared a request for it.
func (r *Router) discountRetry(now time.Duration, req *request) {
	deviation := r.timeoutDeviation(&req.Request)
	waited := max(-deviation, 0)
	markedRetry := r.retriesMarked && req.Retry
	switch {
	case r.stalled(now) && !markedRetry:
		req.probableObjectiveAt -= min(waited, r.stallDuration)
	case markedRetry || !r.retriesMarked:
		req.probableObjectiveAt -= waited
		if markedRetry || max(deviation, -deviation) > req.Timeout/minDeviationPart {
			req.weight /= retryDiscount
		}
	}
}
