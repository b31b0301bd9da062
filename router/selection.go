package router

import (
	"math"
	"time"

	"dapplerouter/routing"
)

// This file chooses the server for a read. Inputs: each server's attempts in flight, load, position and zone.
// Invariant: a read goes only to a server whose position is known to suffice or that checks the position itself, and
// otherwise to the primary (docs/design.md, the mechanism).

// selection holds the settings and the state by which servers are chosen.
type selection struct {
	zone            int
	idleConnTimeout time.Duration // time after which an idle connection to a server is closed
	stalenessCheck  routing.StalenessCheck
	freshnessWait   time.Duration // how long a server waits to reach a required position
	rotation        int           // start of the next search; it advances so that equal servers take turns
}

const (
	crossZoneCost = 2.0 // cost factor of a server in another zone
	connectCost   = 1.3 // cost factor of a replica to which no connection can be open
	primaryCost   = 3.0 // cost factor of the primary; higher than crossZoneCost, since the primary also runs the writes
	maxBehindCost = 3.0 // highest cost of a replica that is behind, as a multiple of the cheapest replica's, for a long read

	minSuccessRate   = 1.0 / 20 // lower bound of the success rate that a cost is divided by
	initialRotations = 1 << 16
)

func newSelection(seed uint64, topology routing.Topology, replication routing.Replication, limits routing.Limits) selection {
	return selection{zone: topology.Zone, rotation: initialRotation(seed), idleConnTimeout: limits.IdleConnTimeout,
		stalenessCheck: replication.StalenessCheck, freshnessWait: replication.FreshnessWait}
}

// initialRotation returns a random first rotation, so that instances start with different servers. It uses its own
// random numbers and doesn't affect the sequence of the Router's random numbers.
func initialRotation(seed uint64) int {
	own := randomSource{seed: ^seed}
	return int(own.randomFloat() * initialRotations)
}

// cost rates a server for comparison; the cheapest is preferred. It is the server's load times its attempts in flight
// plus one, divided by the available share of the server's capacity and by its success rate, with a factor for another zone.
func (r *Router) cost(now time.Duration, s *server) float64 {
	c := r.loadEstimate(now, s) * (1 + float64(s.inFlight)) / r.capacityShare(now, s) / max(1-s.errorRate-s.lossRate, minSuccessRate)
	if s.zone != r.zone {
		c *= crossZoneCost
	}
	return c
}

// replicaCost returns the cost of a replica. It includes the cost of connecting if the server has not answered within
// the idle timeout, since no connection can be open then.
func (r *Router) replicaCost(now time.Duration, s *server) float64 {
	c := r.cost(now, s)
	if now-s.answeredAt > r.idleConnTimeout {
		c *= connectCost
	}
	return c
}

// candidates are the servers of a group that may take a read. Each is none if there is no such server.
type candidates struct {
	fresh               int // cheapest replica that is fresh enough
	freshCost           float64
	leastBehind         int // replica with the highest position
	leastBehindPosition time.Duration
	primary             int
}

// selectServer returns the server for a read, or none if the read must wait. It applies these rules:
//
//   - The cheapest replica that is fresh enough takes the read. A long read that requires no position goes to the replica
//     that is furthest behind instead (preferBehind).
//   - If no replica is fresh enough, the least-behind replica takes it and checks its position itself. This rule is
//     skipped if the server's wait would be too short: with a whole group behind, each read would use up that wait and
//     then go to the primary anyway.
//   - The primary takes a read that was misrouted, a read that no replica can take, and a read for which the best replica
//     costs far more than the primary.
func (r *Router) selectServer(now time.Duration, req *request) int {
	g := r.group(req.Group)
	required, checked := r.positionToServe(now, req), r.isChecked(req)
	c := r.findCandidates(now, req, g, required)
	best, cost := c.fresh, c.freshCost
	if required == never && best != none && r.typicalLatency[req.Type] > r.shortestObjective {
		best = r.preferBehind(now, req, g, best, maxBehindCost*cost)
	}
	g.healthCheckWanted = g.healthCheckWanted || best == none && !checked
	if best == none && c.leastBehind != none && checked {
		s := &r.servers[c.leastBehind]
		waitSuffices := s.lagMeasuredAt == never || r.estimatedPosition(s, now)+r.freshnessWait+r.reportAge >= required
		if waitSuffices || g.primary == none && !req.misrouted {
			best, cost = c.leastBehind, r.cost(now, s)
		}
	}
	if c.primary != none && (best == none || req.misrouted || primaryCost*r.cost(now, &r.servers[c.primary]) < cost) {
		return c.primary
	}
	if req.misrouted && g.primary != none && r.servesUnchecked(req, &r.servers[g.primary]) {
		return none
	}
	return best
}

// findCandidates examines the servers of a group that admit a request. Each call starts with a different server.
func (r *Router) findCandidates(now time.Duration, req *request, g *group, required time.Duration) candidates {
	c := candidates{fresh: none, freshCost: math.Inf(1), leastBehind: none, leastBehindPosition: never, primary: none}
	r.rotation++
	for k := range g.servers {
		i := g.servers[(k+r.rotation)%len(g.servers)]
		s := &r.servers[i]
		if i == req.lastServer && len(g.servers) > 1 || s.awaitingTrial(now) || !r.admits(now, s, req) {
			continue
		}
		if i == g.primary && r.servesUnchecked(req, s) {
			c.primary = i
			continue
		}
		pos := r.reliablePosition(now, req, s)
		if cost := r.replicaCost(now, s); cost < c.freshCost && (required == never || pos >= required) {
			c.fresh, c.freshCost = i, cost
		}
		if pos > c.leastBehindPosition {
			c.leastBehind, c.leastBehindPosition = i, pos
		}
	}
	return c
}

// preferBehind returns the replica that is furthest behind among those that cost less than maxCost. It returns best if no
// warm replica is behind by more than the shortest latency objective. It is for long reads that require no position: a
// server may apply nothing while it runs such a read. Spread over all replicas, they keep many of them behind. Kept
// together, they leave the others up to date for the reads that require it.
func (r *Router) preferBehind(now time.Duration, req *request, g *group, best int, maxCost float64) int {
	furthest := now - r.shortestObjective
	for _, i := range g.servers {
		s := &r.servers[i]
		if i == g.primary || i == req.lastServer || s.ejected || r.capacityShare(now, s) < 1 || !r.admits(now, s, req) {
			continue
		}
		if pos := r.estimatedPosition(s, now); pos < furthest && r.replicaCost(now, s) < maxCost {
			best, furthest = i, pos
		}
	}
	return best
}

// reliablePosition returns the position of a server that a read may rely on: the known position if servers don't check
// that themselves, and otherwise an estimate.
func (r *Router) reliablePosition(now time.Duration, req *request, s *server) time.Duration {
	if r.isChecked(req) {
		return r.estimatedPosition(s, now)
	}
	return s.appliedPosition
}
