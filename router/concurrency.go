package router

import "time"

// This file limits the attempts in flight at each server. Inputs: how late the server's answers are, and which never
// came. Invariant: one attempt is always allowed, and all instances together raise a limit by one per round of fast
// answers (docs/design.md, concurrency limits and load).
//
// Queues that outlast their cause are the worst part of an overload, because servers do work for clients that have
// left. Requests therefore wait in this instance, in order of weight. Each server has a limit. Since limits of one at
// many instances add up to a long queue, requests are also shed by a load estimate that is about the same at all
// instances.

const (
	lateLoad         = 1.75    // load above which an answer is late: a quarter of the way to the latency objective
	lateReduction    = 0.75    // factor for the limit after a late answer
	failureReduction = 1.0 / 2 // factor for the limit after an error or an attempt without an answer
	normalLoad       = 1.3     // load up to which everything is sent; chance alone produces means of this size
	overloadedLoad   = 2.5     // load above which almost nothing is sent
	objectiveLoad    = 4.0     // load of an answer that took as long as its latency objective
	maxLoad          = 5.0     // maximum load of one answer
	priorWeight      = 5.0     // number of answers that weigh as much as the prior from all servers
	minFleetLimit    = 4.0     // attempts that all instances together may always have at a server, so that a slow server is not left idle
	initialLimit     = 4
)

// concurrency is a server's concurrency limit, load and attempts in flight.
type concurrency struct {
	load             decayingMean  // mean load of the server's answers by their latency, and of attempts without an answer
	inFlight         int           // attempts of this instance
	limit            float64       // limit of attempts in flight; one is always allowed
	fastAnswerSentAt time.Duration // time at which the latest attempt with a fast answer was sent
}

var unknownConcurrency = concurrency{limit: initialLimit, fastAnswerSentAt: never}

// fleetLoad is the load of all servers and the growth rate of the limits.
type fleetLoad struct {
	overallLoad decayingMean
	limitGrowth float64 // growth of a limit per round of fast answers; all instances together grow it by 1
}

// reduceLimit multiplies a server's limit by a factor below 1. A lower bound lets the limit recover.
func (r *Router) reduceLimit(s *server, factor float64) {
	s.limit = max(s.limit*factor, r.limitGrowth/10)
}

// growLimit raises the limit after a fast answer with the given latency. A limit that is less than half used does not
// grow, since the answer then shows nothing about it.
func (c *concurrency) growLimit(now, latency time.Duration, growth float64) {
	c.fastAnswerSentAt = max(c.fastAnswerSentAt, now-latency)
	if float64(c.inFlight+1) >= c.limit/2 {
		c.limit += growth / max(c.limit, 1)
	}
}

// resetLimit lowers the limit to at most one, from which it grows again.
func (c *concurrency) resetLimit() { c.limit = min(c.limit, 1) }

// saturated reports whether a server has as many attempts in flight as allowed.
func (r *Router) saturated(s *server) bool {
	return float64(s.inFlight) >= max(s.limit, 1, minFleetLimit*r.limitGrowth)
}

// observeLoad adds a load to the means of a server, its group and all servers. The load isn't reported by the server: it
// is derived from the latency of an answer (loadFromLatency), or is a fixed value for an attempt that failed under load.
// More than maxLoad counts as maxLoad.
func (r *Router) observeLoad(now time.Duration, s *server, load float64) {
	for _, mean := range [...]*decayingMean{&s.load, &r.group(s.group).load, &r.overallLoad} {
		mean.add(now, min(load, maxLoad), &r.latencies)
	}
}

// observeUnanswered records an attempt that was given up without an answer. Its latency is only known to exceed the
// time waited, so the attempt counts as an answer with that latency. It does not count at all if such an answer would
// not have been late.
func (r *Router) observeUnanswered(now time.Duration, s *server, requestType int, waited time.Duration) {
	load := r.loadFromLatency(requestType, waited)
	if load <= lateLoad {
		return
	}
	r.reduceLimit(s, failureReduction)
	r.observeLoad(now, s, load)
}

// loadFromLatency converts a latency to a load. The load is 1 at the type's minimum latency and rises linearly to
// objectiveLoad at its latency objective.
func (r *Router) loadFromLatency(requestType int, latency time.Duration) float64 {
	minimum, objective := r.minimumLatency[requestType], r.requestTypes[requestType].LatencyObjective
	return 1 + (objectiveLoad-1)*float64(latency-minimum)/float64(max(objective-minimum, objective/4))
}

// loadEstimate returns a server's mean load, weighted towards its group's load while the server has few answers.
func (r *Router) loadEstimate(now time.Duration, s *server) float64 {
	return s.load.mean(now, priorWeight, r.groupLoad(now, r.group(s.group)), &r.latencies)
}

// groupLoad returns the mean load of a group's servers, weighted towards the load of all servers.
func (r *Router) groupLoad(now time.Duration, g *group) float64 {
	all := r.overallLoad.mean(now, 3*priorWeight, 1, &r.latencies)
	return g.load.mean(now, 2*priorWeight, all, &r.latencies)
}
