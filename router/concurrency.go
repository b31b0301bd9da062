package router

import "time"

// How many attempts may be in flight at a server? Inputs: how late its answers are, and which never came. Invariant: one is always
// allowed, and all instances together raise the limit by one for a round of fast answers (docs/design.md, concurrency limits and load).
//
// Queues that outlast their cause are the worst part of an overload: work is done for clients that have left. So requests
// wait here, in order of weight. There is a limit for each server; and since limits of one at many instances add up to a
// long queue, requests are also shed by a load estimate that all instances see alike.

const (
	lateLoad         = 1.75    // of an answer that is late: a quarter of the way to the latency objective
	lateReduction    = 0.75    // of the limit, for an answer that is late
	failureReduction = 1.0 / 2 // of the limit, for an attempt without an answer, or with an error
	normalLoad       = 1.3     // load up to which everything is sent: chance alone makes means of this size
	overloadedLoad   = 2.5     // load from which next to nothing is sent
	objectiveLoad    = 4.0     // of an answer that took its latency objective
	maxLoad          = 5.0     // of one answer at most
	priorWeight      = 5.0     // answers that weigh as much as what is known of all servers
	minFleetLimit    = 4.0     // attempts that all instances together may always have at a server: a slow one must not idle
	initialLimit     = 4
)

// concurrency is a server's limit and its attempts in flight.
type concurrency struct {
	load             decayingMean  // of its answers by their latency, and of those that never came
	inFlight         int           // attempts of this instance
	limit            float64       // of attempts in flight; one is always allowed
	fastAnswerSentAt time.Duration // when the latest attempt was sent that was answered fast
}

var unknownConcurrency = concurrency{limit: initialLimit, fastAnswerSentAt: never}

// fleetLoad is what is known of all servers together.
type fleetLoad struct {
	overallLoad decayingMean
	limitGrowth float64 // of a limit for a round of fast answers; all instances together grow it by 1
}

// reduceLimit multiplies the limit by a factor below 1.
func (r *Router) reduceLimit(s *server, factor float64) {
	s.limit = max(s.limit*factor, r.limitGrowth/10)
}

// growLimit follows a fast answer of that latency. An answer to a limit that is not used proves nothing.
func (c *concurrency) growLimit(now, latency time.Duration, growth float64) {
	c.fastAnswerSentAt = max(c.fastAnswerSentAt, now-latency)
	if float64(c.inFlight+1) >= c.limit/2 {
		c.limit += growth / max(c.limit, 1)
	}
}

// resetLimit has the limit grow from one again.
func (c *concurrency) resetLimit() { c.limit = min(c.limit, 1) }

// saturated reports whether a server has as many attempts in flight as it may.
func (r *Router) saturated(s *server) bool {
	return float64(s.inFlight) >= max(s.limit, 1, minFleetLimit*r.limitGrowth)
}

// observeLoad counts an answer's load for its server, its group and all servers.
func (r *Router) observeLoad(now time.Duration, s *server, load float64) {
	for _, mean := range [...]*decayingMean{&s.load, &r.group(s.group).load, &r.overallLoad} {
		mean.add(now, min(load, maxLoad), &r.latencies)
	}
}

// observeUnanswered counts an attempt that was given up without an answer. How long it would have taken is not known, only that
// it would have taken longer: so it counts as an answer of that moment, and not at all where that would not have been late.
func (r *Router) observeUnanswered(now time.Duration, s *server, requestType int, waited time.Duration) {
	load := r.loadFromLatency(requestType, waited)
	if load <= lateLoad {
		return
	}
	r.reduceLimit(s, failureReduction)
	r.observeLoad(now, s, load)
}

// loadFromLatency is a latency as load: 1 for the type's minimum latency, rising evenly to objectiveLoad at its objective.
func (r *Router) loadFromLatency(requestType int, latency time.Duration) float64 {
	minimum, objective := r.minimumLatency[requestType], r.requestTypes[requestType].LatencyObjective
	return 1 + (objectiveLoad-1)*float64(latency-minimum)/float64(max(objective-minimum, objective/4))
}

// loadEstimate is a server's load, drawn towards its group's.
func (r *Router) loadEstimate(now time.Duration, s *server) float64 {
	return s.load.mean(now, priorWeight, r.groupLoad(now, r.group(s.group)), &r.latencies)
}

// groupLoad is the load of a group's servers, drawn towards the load of all servers.
func (r *Router) groupLoad(now time.Duration, g *group) float64 {
	all := r.overallLoad.mean(now, 3*priorWeight, 1, &r.latencies)
	return g.load.mean(now, 2*priorWeight, all, &r.latencies)
}
