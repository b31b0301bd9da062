package router

import (
	"time"

	"dapplerouter/routing"
)

// Which server is the primary of a group? Inputs: the roles that servers claim in answers, rejections and health checks, with their log
// positions; the endpoint list where no claim is known. Invariant: the claim with the later log position is the newer one, so an old
// report, or a server that comes back, can't win (docs/design.md, finding the primary).

// group follows its primary by the servers' claims. A claim has the log position of the server that makes it.
type group struct {
	load              decayingMean // of all its servers
	servers           []int
	primary           int           // none: not known
	claimant          int           // server of the newest claim
	claimPosition     time.Duration // its log position
	term              int           // counts changes of primary
	termStart         time.Duration // first position known of this term
	healthCheckWanted bool          // a request waits or was sent to the primary because something is not known
	mayHaveEjected    bool          // some server may be ejected
	forgottenTarget   sessionTarget // the highest of the sessions that were forgotten
	partitioned       bool          // the network to its primary's site is cut
}

// inCurrentTerm raises a position of an older term to the start of this one: a server that has applied the start has
// applied all that the new primary kept. So servers can still wait for it after a change of primary.
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

// observeRole takes the role that a server claims. A claim without a position counts as made now.
func (r *Router) observeRole(now time.Duration, i int, role routing.Role, pos time.Duration, hasPosition bool) {
	s := &r.servers[i]
	g := r.group(s.group)
	if !hasPosition {
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
		r.primaryPositionSeen = r.primaryPositionSeen || hasPosition
		g.claimPosition, s.role = max(g.claimPosition, pos), routing.Primary
		if !s.draining {
			g.primary = i
		}
	case role == routing.Replica && (g.claimant != i || pos >= g.claimPosition):
		s.role = routing.Replica
		g.clearPrimary(i)
	}
}

// beginTerm follows a change of primary.
func (g *group) beginTerm(claimant int, pos time.Duration) {
	g.claimant, g.termStart = claimant, pos
	g.term++
}

// clearPrimary makes the primary unknown where it was server i.
func (g *group) clearPrimary(i int) {
	if g.primary == i {
		g.primary = none
	}
}

// observeListedPrimary takes a primary from the endpoint list, where no claim is known or the primary is no longer known.
func (g *group) observeListedPrimary(i int) {
	if g.claimant == none || g.primary == none && g.claimant != i {
		g.primary = i
	}
}

// restorePrimary makes server i the primary again, where it made the newest claim: the network to it is up again.
func (g *group) restorePrimary(i int) (restored bool) {
	if restored = g.claimant == i; restored {
		g.primary = i
	}
	return restored
}

// removeServer forgets the claims of a server that is gone: it may have claimed the role while it was ejected.
func (g *group) removeServer(i int) {
	if g.claimant == i || g.primary == i {
		g.claimant, g.primary = none, none
	}
}
