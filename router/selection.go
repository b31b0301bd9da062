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
	zone     int
	linkIdle time.Duration // after which an idle connection is closed
	check    routing.StalenessCheck
	hold     time.Duration
	turn     int // rotates among equals
}

const (
	otherZonePrice = 2.0 // what another zone counts for in the cost of a member: a price, not a ban
	connectPrice   = 1.3 // what a replica counts for to which no connection can be open: one has to be opened first
	primaryPrice   = 3.0 // what the primary counts for: over the price of a zone, as it has the writes to do

	leastSuccess = 1.0 / 20 // part of attempts that succeed, for the cost of a member that fails
	firstTurns   = 1 << 16
)

func newSelection(seed uint64, at routing.Topology, copies routing.Replication, allowed routing.Limits) selection {
	return selection{zone: at.Zone, turn: firstTurn(seed), linkIdle: allowed.IdleConnTimeout, check: copies.StalenessCheck, hold: copies.FreshnessWait}
}

// firstTurn lets each front begin with another member; the instance's own draws stay as they are.
func firstTurn(seed uint64) int {
	own := chance{seed: ^seed}
	return int(own.draw() * firstTurns)
}

// cost compares members: load there, by what we have out, by what part of the member is to be used.
func (r *Router) cost(now time.Duration, m *member) float64 {
	c := r.loadAt(now, m) * (1 + float64(m.out)) / r.capacityShare(now, m) / max(1-m.errorRate-m.lossRate, leastSuccess)
	if m.zone != r.zone {
		c *= otherZonePrice
	}
	return c
}

// replicaCost is the cost of a replica, with that of a connection where none can be open.
func (r *Router) replicaCost(now time.Duration, m *member) float64 {
	c := r.cost(now, m)
	if now-m.answeredAt > r.linkIdle {
		c *= connectPrice
	}
	return c
}

// candidates are what a group has for a read.
type candidates struct {
	fresh     int // cheapest that is known to be fresh enough
	cost      float64
	behind    int // least behind
	behindPos time.Duration
	primary   int
}

// pick finds where a read goes: a fresh-enough replica of the zone, else of another, by cost. Where none
// is known fresh enough the least behind, whose own check decides; but not where its hold can't do it:
// a whole group behind would spend a hold on each read and then go to the primary all the same. After a
// miss, and where the wait can't be enforced, the primary; it also relieves replicas that are far busier.
func (r *Router) pick(now time.Duration, t *request, ty *routing.RequestType) int {
	g := r.group(t.Group)
	needs := t.needs
	if ty.Consistency == routing.BoundedStaleness {
		needs = now - t.MaxStaleness
	}
	c := r.candidates(now, t, g, needs)
	best, least := c.fresh, c.cost
	g.probeWanted = g.probeWanted || best == none && r.check == routing.NoStalenessCheck
	if best == none && c.behind != none && r.check != routing.NoStalenessCheck {
		m := &r.members[c.behind]
		if m.lagAt == never || r.estimate(m, now)+r.hold+r.reportAge >= needs || g.primary == none && !t.missed {
			best, least = c.behind, r.cost(now, m)
		}
	}
	if c.primary != none && (best == none || t.missed || primaryPrice*r.cost(now, &r.members[c.primary]) < least) {
		return c.primary
	}
	if t.missed && g.primary != none {
		return none
	}
	return best
}

// candidates looks at the members of a group that may take a request, beginning with another each time.
func (r *Router) candidates(now time.Duration, t *request, g *group, needs time.Duration) candidates {
	c := candidates{fresh: none, cost: math.Inf(1), behind: none, behindPos: never, primary: none}
	r.turn++
	for k := range g.members {
		i := g.members[(k+r.turn)%len(g.members)]
		m := &r.members[i]
		if i == t.lastMember && len(g.members) > 1 || m.resting(now) || !r.admits(now, m, t) {
			continue
		}
		if i == g.primary {
			c.primary = i
			continue
		}
		pos := r.provenPosition(now, m)
		if cost := r.replicaCost(now, m); cost < c.cost && (needs == never || pos >= needs) {
			c.fresh, c.cost = i, cost
		}
		if pos > c.behindPos {
			c.behind, c.behindPos = i, pos
		}
	}
	return c
}

// provenPosition is what may be relied on: where members check nothing, nothing but a proof will do.
func (r *Router) provenPosition(now time.Duration, m *member) time.Duration {
	if r.check == routing.NoStalenessCheck {
		return m.pos
	}
	return r.estimate(m, now)
}
