package router

import (
	"math"
	"time"

	"dapplerouter/routing"
)

// Which server does a read go to? Inputs: each server's attempts in flight, load, position and zone. Invariant: a read goes only where
// its position is known to suffice, or is checked by the server itself; else to the primary (docs/design.md, the mechanism).

// selection is how servers are chosen.
type selection struct {
	zone            int
	idleConnTimeout time.Duration // after which an idle connection is closed
	stalenessCheck  routing.StalenessCheck
	freshnessWait   time.Duration // how long a server waits for a position
	rotation        int           // start of the next search, so that equal servers take turns
}

const (
	crossZoneCost = 2.0 // factor for a server in another zone
	connectCost   = 1.3 // factor for a replica to which a connection has to be opened first
	primaryCost   = 3.0 // factor for the primary: above that of a zone, since it has the writes to do

	minSuccessRate   = 1.0 / 20 // least success rate by which a cost is divided
	initialRotations = 1 << 16
)

func newSelection(seed uint64, topology routing.Topology, replication routing.Replication, limits routing.Limits) selection {
	return selection{zone: topology.Zone, rotation: initialRotation(seed), idleConnTimeout: limits.IdleConnTimeout,
		stalenessCheck: replication.StalenessCheck, freshnessWait: replication.FreshnessWait}
}

// initialRotation has each instance start with another server. It has random numbers of its own, so the Router's are the
// same with and without it.
func initialRotation(seed uint64) int {
	own := randomSource{seed: ^seed}
	return int(own.randomFloat() * initialRotations)
}

// cost compares servers: load and attempts in flight, by the part of its capacity that a server has and by its success rate.
func (r *Router) cost(now time.Duration, s *server) float64 {
	c := r.loadEstimate(now, s) * (1 + float64(s.inFlight)) / r.capacityShare(now, s) / max(1-s.errorRate-s.lossRate, minSuccessRate)
	if s.zone != r.zone {
		c *= crossZoneCost
	}
	return c
}

// replicaCost is the cost of a replica, with that of a connection where none can be open.
func (r *Router) replicaCost(now time.Duration, s *server) float64 {
	c := r.cost(now, s)
	if now-s.answeredAt > r.idleConnTimeout {
		c *= connectCost
	}
	return c
}

// candidates are the servers of a group that may take a read, none where there is none.
type candidates struct {
	fresh               int // cheapest of the replicas that are fresh enough
	freshCost           float64
	leastBehind         int // replica with the latest position
	leastBehindPosition time.Duration
	primary             int
}

// selectServer is the server that a read goes to: the cheapest replica that is fresh enough. Where none is, the one that is
// least behind, whose own check decides; unless even its wait would be too short: with a whole group behind, each read
// would spend that wait and then go to the primary all the same. The primary takes a read that was misrouted, one that
// no replica can take, and some of those for which replicas are far busier than it.
func (r *Router) selectServer(now time.Duration, req *request, t *routing.RequestType) int {
	g := r.group(req.Group)
	required := req.requiredPosition
	if t.Consistency == routing.BoundedStaleness {
		required = now - req.MaxStaleness
	}
	c := r.candidates(now, req, g, required)
	best, cost := c.fresh, c.freshCost
	g.healthCheckWanted = g.healthCheckWanted || best == none && r.stalenessCheck == routing.NoStalenessCheck
	if best == none && c.leastBehind != none && r.stalenessCheck != routing.NoStalenessCheck {
		s := &r.servers[c.leastBehind]
		waitSuffices := s.lagMeasuredAt == never || r.estimatedPosition(s, now)+r.freshnessWait+r.reportAge >= required
		if waitSuffices || g.primary == none && !req.misrouted {
			best, cost = c.leastBehind, r.cost(now, s)
		}
	}
	if c.primary != none && (best == none || req.misrouted || primaryCost*r.cost(now, &r.servers[c.primary]) < cost) {
		return c.primary
	}
	if req.misrouted && g.primary != none {
		return none
	}
	return best
}

// candidates looks at the servers of a group that may take a request, starting with another one each time.
func (r *Router) candidates(now time.Duration, req *request, g *group, required time.Duration) candidates {
	c := candidates{fresh: none, freshCost: math.Inf(1), leastBehind: none, leastBehindPosition: never, primary: none}
	r.rotation++
	for k := range g.servers {
		i := g.servers[(k+r.rotation)%len(g.servers)]
		s := &r.servers[i]
		if i == req.lastServer && len(g.servers) > 1 || s.awaitingTrial(now) || !r.admits(now, s, req) {
			continue
		}
		if i == g.primary {
			c.primary = i
			continue
		}
		pos := r.reliablePosition(now, s)
		if cost := r.replicaCost(now, s); cost < c.freshCost && (required == never || pos >= required) {
			c.fresh, c.freshCost = i, cost
		}
		if pos > c.leastBehindPosition {
			c.leastBehind, c.leastBehindPosition = i, pos
		}
	}
	return c
}

// reliablePosition is the position that a read may rely on: a known one where servers check nothing, else an estimate.
func (r *Router) reliablePosition(now time.Duration, s *server) time.Duration {
	if r.stalenessCheck == routing.NoStalenessCheck {
		return s.appliedPosition
	}
	return r.estimatedPosition(s, now)
}
