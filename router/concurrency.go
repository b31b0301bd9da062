package router

import "time"

// How much may be out at a member? Inputs: how late its answers are, and what never came. Invariant: one may always be out, and all
// fronts together grow the limit by one for a round of quick answers (docs/design.md, windows and load).
//
// Queues that outlast their cause are the worst of overload, so the waiting is done here, in order of worth:
// a limit a member, and as limits of one at many fronts are together a long queue, shedding by a load
// that all of them see alike. It could harm where a type comes to take far longer, or where few types come.

const (
	lateLoad         = 1.75    // late: over this load, a quarter of the way to the target latency
	lateReduction    = 0.75    // for an answer that came late
	failureReduction = 1.0 / 2 // for an attempt that came to nothing
	normalLoad       = 1.3     // load up to which all goes out: chance alone makes means of this size
	overloadedLoad   = 2.5     // and from which next to nothing does
	objectiveLoad    = 4.0     // of an answer that took its target latency
	maxLoad          = 5.0     // what one answer may count for, and what one does that never came
	priorWeight      = 5.0     // answers that it takes to be believed as much as what is known at large
	minFleetLimit    = 4.0     // what all fronts may always have out at a member: a slow one's cores must not idle
	initialLimit     = 4
)

// concurrency is a member's limit and what is out there.
type concurrency struct {
	load             decayingMean  // of its answers, by their latency and by those that never came
	inFlight         int           // our attempts there without an ending
	limit            float64       // how much may be out there; one always may
	fastAnswerSentAt time.Duration // when the latest attempt went out that was answered quickly
}

var unknownConcurrency = concurrency{limit: initialLimit, fastAnswerSentAt: never}

// fleetLoad are of all members together.
type fleetLoad struct {
	overall     decayingMean
	limitGrowth float64 // what a limit grows by for a round of quick answers; all fronts together grow by 1
}

// reduceLimit makes the limit smaller by a factor.
func (r *Router) reduceLimit(m *server, by float64) { m.limit = max(m.limit*by, r.limitGrowth/10) }

// growLimit follows a quick answer to an attempt of that latency. A limit that is not used proves nothing.
func (c *concurrency) growLimit(now, latency time.Duration, growth float64) {
	c.fastAnswerSentAt = max(c.fastAnswerSentAt, now-latency)
	if float64(c.inFlight+1) >= c.limit/2 {
		c.limit += growth / max(c.limit, 1)
	}
}

// resetLimit has the limit grow from one again.
func (c *concurrency) resetLimit() { c.limit = min(c.limit, 1) }

// saturated tells whether as much is out as may be.
func (r *Router) saturated(m *server) bool {
	return float64(m.inFlight) >= max(m.limit, 1, minFleetLimit*r.limitGrowth)
}

// observeLoad counts an answer for its member, its group and all members.
func (r *Router) observeLoad(now time.Duration, m *server, by float64) {
	for _, s := range [...]*decayingMean{&m.load, &r.group(m.group).load, &r.overall} {
		s.add(now, min(by, maxLoad), &r.latencies)
	}
}

// loadFromLatency is a latency as load: one for the type's least usual latency, rising evenly to its target latency.
func (r *Router) loadFromLatency(ty int, latency time.Duration) float64 {
	least, sla := r.minimum[ty], r.types[ty].LatencyObjective
	return 1 + (objectiveLoad-1)*float64(latency-least)/float64(max(sla-least, sla/4))
}

// loadEstimate is the load of a member, drawn to its group's and that to all members'.
func (r *Router) loadEstimate(now time.Duration, m *server) float64 {
	all := r.overall.mean(now, 3*priorWeight, 1, &r.latencies)
	return m.load.mean(now, priorWeight, r.group(m.group).load.mean(now, 2*priorWeight, all, &r.latencies), &r.latencies)
}
