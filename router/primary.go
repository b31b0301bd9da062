package router

import (
	"time"

	"dapplerouter/routing"
)

// Who is the primary of a group? Inputs: what members claim in answers, refusals and probes, with their positions; the list where no
// claim is known. Invariant: the claim further on in the log is the newer, so an old report, or a member that came back, can't win
// (docs/design.md, finding the primary).

// group follows its primary by claims. A claim carries the log position of the one that makes it.
type group struct {
	load              decayingMean // of all its members
	servers           []int
	primary           int           // none: unknown, or in doubt
	claimant          int           // who made the newest claim
	claimPosition     time.Duration // its log position
	term              int
	termStart         time.Duration // first position known of this term
	healthCheckWanted bool          // something is held or sent to the primary for want of knowledge
	mayHaveEjected    bool          // some member may be ejected
	forgottenTarget   sessionTarget // of the sessions that are forgotten
	partitioned       bool          // the way to its primary's site is cut
}

// inCurrentTerm raises a target of an older term to the start of this one: a member that has applied the
// start has applied all that the new primary kept. So a replica's wait goes on working after a primary change.
func (g *group) inCurrentTerm(pos time.Duration, term int) time.Duration {
	if term < g.term {
		return max(pos, g.termStart)
	}
	return pos
}

func (r *Router) group(g int) *group {
	for len(r.groups) <= g {
		r.groups = append(r.groups, group{primary: none, claimant: none, claimPosition: never, termStart: never,
			forgottenTarget: sessionTarget{pos: never}})
	}
	return &r.groups[g]
}

// observeRole takes a member's word on its own role.
func (r *Router) observeRole(now time.Duration, i int, role routing.Role, pos time.Duration, placed bool) {
	m := &r.servers[i]
	g := r.group(m.group)
	if !placed {
		pos = now
	}
	switch {
	case role == routing.Primary && (g.claimant == i || pos >= g.claimPosition):
		if g.claimant != i {
			if g.claimant != none {
				r.servers[g.claimant].role = routing.Replica
			}
			g.beginTerm(i, pos)
		}
		r.primaryPositionSeen = r.primaryPositionSeen || placed
		g.claimPosition, m.role = max(g.claimPosition, pos), routing.Primary
		if !m.draining {
			g.primary = i
		}
	case role == routing.Replica && (g.claimant != i || pos >= g.claimPosition):
		m.role = routing.Replica
		g.clearPrimary(i)
	}
}

// beginTerm is a change of primary.
func (g *group) beginTerm(claimant int, pos time.Duration) {
	g.claimant, g.termStart = claimant, pos
	g.term++
}

// clearPrimary takes the role from a member, which may be anybody's then.
func (g *group) clearPrimary(i int) {
	if g.primary == i {
		g.primary = none
	}
}

// observeListedPrimary takes the list's word on a primary, which counts only where no claim is known or the primary is lost.
func (g *group) observeListedPrimary(i int) {
	if g.claimant == none || g.primary == none && g.claimant != i {
		g.primary = i
	}
}

// restorePrimary takes the newest claimant for the primary again: the way to it is open, and nobody else has claimed the role.
func (g *group) restorePrimary(i int) (restored bool) {
	if restored = g.claimant == i; restored {
		g.primary = i
	}
	return restored
}

// removeServer forgets a member that is gone: it may have shown as primary while it was ejected.
func (g *group) removeServer(i int) {
	if g.claimant == i || g.primary == i {
		g.claimant, g.primary = none, none
	}
}
