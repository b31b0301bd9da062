package router

import (
	"math"
	"time"

	"dapplerouter/routing"
)

// Which member does a read go to? Inputs: what each has out, its load, its position and zone. Invariant: a read goes only where its
// position is known, or is enforced by the member's own check; else to the primary (docs/design.md, the mechanism).

// selection is how members are chosen.
type selection struct {
	zone            int
	idleConnTimeout time.Duration // after which an idle connection is closed
	stalenessCheck  routing.StalenessCheck
	freshnessWait   time.Duration
	rotation        int // rotates among equals
}

const (
	crossZoneCost = 2.0 // what another zone counts for in the cost of a member: a price, not a ban
	connectCost   = 1.3 // what a replica counts for to which no connection can be open: one has to be opened first
	primaryCost   = 3.0 // what the primary counts for: over the price of a zone, as it has the writes to do

	minSuccessRate   = 1.0 / 20 // part of attempts that succeed, for the cost of a member that fails
	initialRotations = 1 << 16
)

func newSelection(seed uint64, at routing.Topology, copies routing.Replication, allowed routing.Limits) selection {
	return selection{zone: at.Zone, rotation: initialRotation(seed), idleConnTimeout: allowed.IdleConnTimeout, stalenessCheck: copies.StalenessCheck, freshnessWait: copies.FreshnessWait}
}

// initialRotation lets each front begin with another member; the instance's own draws stay as they are.
func initialRotation(seed uint64) int {
	own := randomSource{seed: ^seed}
	return int(own.randomFloat() * initialRotations)
}

// cost compares members: load there, by what we have out, by what part of the member is to be used.
func (r *Router) cost(now time.Duration, m *server) float64 {
	c := r.loadEstimate(now, m) * (1 + float64(m.inFlight)) / r.capacityShare(now, m) / max(1-m.errorRate-m.lossRate, minSuccessRate)
	if m.zone != r.zone {
		c *= crossZoneCost
	}
	return c
}

// replicaCost is the cost of a replica, with that of a connection where none can be open.
func (r *Router) replicaCost(now time.Duration, m *server) float64 {
	c := r.cost(now, m)
	if now-m.answeredAt > r.idleConnTimeout {
		c *= connectCost
	}
	return c
}

// candidates are what a group has for a read.
type candidates struct {
	fresh               int // cheapest that is known to be fresh enough
	cost                float64
	leastBehind         int // least behind
	leastBehindPosition time.Duration
	primary             int
}

// selectServer finds where a read goes: a fresh-enough replica of the zone, else of another, by cost. Where none
// is known fresh enough the least behind, whose own check decides; but not where its hold can't do it:
// a whole group behind would spend a hold on each read and then go to the primary all the same. After a
// miss, and where the wait can't be enforced, the primary; it also relieves replicas that are far busier.
func (r *Router) selectServer(now time.Duration, t *request, ty *routing.RequestType) int {
	g := r.group(t.Group)
	needs := t.requiredPosition
	if ty.Consistency == routing.BoundedStaleness {
		needs = now - t.MaxStaleness
	}
	c := r.candidates(now, t, g, needs)
	best, least := c.fresh, c.cost
	g.healthCheckWanted = g.healthCheckWanted || best == none && r.stalenessCheck == routing.NoStalenessCheck
	if best == none && c.leastBehind != none && r.stalenessCheck != routing.NoStalenessCheck {
		m := &r.servers[c.leastBehind]
		if m.lagMeasuredAt == never || r.estimatedPosition(m, now)+r.freshnessWait+r.reportAge >= needs || g.primary == none && !t.misrouted {
			best, least = c.leastBehind, r.cost(now, m)
		}
	}
	if c.primary != none && (best == none || t.misrouted || primaryCost*r.cost(now, &r.servers[c.primary]) < least) {
		return c.primary
	}
	if t.misrouted && g.primary != none {
		return none
	}
	return best
}

// candidates looks at the members of a group that may take a request, beginning with another each time.
func (r *Router) candidates(now time.Duration, t *request, g *group, needs time.Duration) candidates {
	c := candidates{fresh: none, cost: math.Inf(1), leastBehind: none, leastBehindPosition: never, primary: none}
	r.rotation++
	for k := range g.servers {
		i := g.servers[(k+r.rotation)%len(g.servers)]
		m := &r.servers[i]
		if i == t.lastServer && len(g.servers) > 1 || m.awaitingTrial(now) || !r.admits(now, m, t) {
			continue
		}
		if i == g.primary {
			c.primary = i
			continue
		}
		pos := r.reliablePosition(now, m)
		if cost := r.replicaCost(now, m); cost < c.cost && (needs == never || pos >= needs) {
			c.fresh, c.cost = i, cost
		}
		if pos > c.leastBehindPosition {
			c.leastBehind, c.leastBehindPosition = i, pos
		}
	}
	return c
}

// reliablePosition is what may be relied on: where members check nothing, nothing but a proof will do.
func (r *Router) reliablePosition(now time.Duration, m *server) time.Duration {
	if r.stalenessCheck == routing.NoStalenessCheck {
		return m.applied
	}
	return r.estimatedPosition(m, now)
}
