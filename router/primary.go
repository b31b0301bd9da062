package router

import (
	"time"

	"dapplerouter/routing"
)

// This file determines the primary of each group. Inputs: the roles that servers state in answers, rejections and
// health checks, with their log positions; the endpoint list if no claim is known. Invariants: of two servers' claims, the
// one with the later log position is the newer one, so neither an old report nor a returning server can override it; no
// claim counts that its server made before it answered as a replica, whatever position it answered with (docs/design.md,
// finding the primary).

// roleHistory holds when a server has stated a role.
type roleHistory struct {
	claimedAt time.Duration // earliest time at which it can have made its latest claim to be primary; never if there was none
	deniedAt  time.Duration // when its latest answer as a replica arrived; never if there was none
}

var unknownRoleHistory = roleHistory{claimedAt: never, deniedAt: never}

// roleStatement is a server's statement of its role.
type roleStatement struct {
	role        routing.Role
	position    time.Duration // log position that came with the role; the present if none came
	hasPosition bool
	madeFrom    time.Duration // earliest time at which the server can have made the statement
	inReport    bool          // in a load report, which may be old
}

// statementInAnswer returns the statement of a role in an answer, which describes a moment between the start of the attempt
// and now. The position of a repeated write is older than the answer.
func statementInAnswer(now time.Duration, o *routing.AttemptOutcome) roleStatement {
	made := now - o.Latency
	if !o.HasPosition {
		return roleStatement{role: o.Role, position: now, madeFrom: made}
	}
	return roleStatement{role: o.Role, position: o.Position, hasPosition: true, madeFrom: max(made, min(o.Position, now))}
}

// statementInReport returns the statement of a role in a load report, which may be old: a primary's position was the present
// when the report was made.
func statementInReport(now time.Duration, l *routing.LoadReport) roleStatement {
	if !l.HasPosition {
		return roleStatement{role: l.Role, position: now, madeFrom: now, inReport: true}
	}
	return roleStatement{role: l.Role, position: l.Position, hasPosition: true, madeFrom: l.Position, inReport: true}
}

// group is the state kept for one group. Its primary is determined by the claims of its servers. Each claim carries the
// log position of the server that makes it.
type group struct {
	load              decayingMean // mean over all servers of the group
	servers           []int
	primary           int           // none if not known
	claimant          int           // server with the newest claim to be primary, or none
	claimPosition     time.Duration // log position of the newest claim
	term              int           // number of changes of primary so far
	termStart         time.Duration // first known position of the current term
	healthCheckWanted bool          // a request waits, or was sent to the primary, because something about the group is not known
	mayHaveEjected    bool          // at least one server may be ejected
	evictedTarget     sessionTarget // highest of the session targets evicted from the cache
	partitioned       bool          // the network to the site of the group's primary is cut
}

// inCurrentTerm converts a position of an older term to the start of the current term. A server that has applied the
// start of the term has applied everything that the new primary kept. So servers can still wait for the position after
// a change of primary.
func (g *group) inCurrentTerm(pos time.Duration, term int) time.Duration {
	if term < g.term {
		return max(pos, g.termStart)
	}
	return pos
}

// group returns the group with index g and creates it if necessary.
func (r *Router) group(g int) *group {
	for len(r.groups) <= g {
		r.groups = append(r.groups, &group{primary: none, claimant: none, claimPosition: never, termStart: never,
			evictedTarget: sessionTarget{pos: never}})
	}
	return r.groups[g]
}

// observeAnsweredRole processes the role in an answer of server i.
func (r *Router) observeAnsweredRole(now time.Duration, i int, o *routing.AttemptOutcome) {
	r.observeRole(i, statementInAnswer(now, o))
	if o.Role != routing.Replica {
		return
	}
	s := &r.servers[i]
	if r.stalenessCheck == routing.NoStalenessCheck {
		s.appliedPosition = s.positionAsReplica()
	}
	s.deniedAt = now
}

// observeRole processes the role that a server states.
func (r *Router) observeRole(i int, stated roleStatement) {
	s := &r.servers[i]
	g := r.group(s.group)
	pos := stated.position
	switch {
	case stated.role == routing.Primary && stated.madeFrom > s.deniedAt && (g.claimant == i || pos >= g.claimPosition):
		if g.claimant != i {
			if g.claimant != none {
				r.servers[g.claimant].role = routing.Replica
			}
			g.beginTerm(i, pos)
		}
		r.primaryPositionSeen = r.primaryPositionSeen || stated.hasPosition
		s.claimedAt = max(s.claimedAt, stated.madeFrom)
		g.claimPosition, s.role = max(g.claimPosition, pos), routing.Primary
		if !s.draining {
			g.primary = i
		}
	case stated.role == routing.Replica && (g.claimant != i || pos >= g.claimPosition || !stated.inReport):
		s.role = routing.Replica
		g.clearPrimary(i)
	}
}

// servesUnchecked reports whether a group's primary may be sent a read although nobody checks that its data is recent. Where
// servers check that themselves, it always may. Otherwise it must have claimed the role since it last answered as a
// replica and since it last started: the endpoint list may name a former primary. Without health checks there may be
// no other way to learn the role, so the list counts.
func (r *Router) servesUnchecked(req *request, primary *server) bool {
	if r.isChecked(req) || !r.healthChecksAllowed {
		return true
	}
	doubtedAt := max(primary.deniedAt, primary.startedAt)
	return doubtedAt == never || primary.claimedAt > doubtedAt
}

// beginTerm records a change of primary.
func (g *group) beginTerm(claimant int, pos time.Duration) {
	g.claimant, g.termStart = claimant, pos
	g.term++
}

// clearPrimary makes the primary unknown if it is server i.
func (g *group) clearPrimary(i int) {
	if g.primary == i {
		g.primary = none
	}
}

// observeListedPrimary accepts the primary given by the endpoint list if no claim is known. It also accepts it if the
// primary has become unknown, unless the listed server made the newest claim.
func (g *group) observeListedPrimary(i int) {
	if g.claimant == none || g.primary == none && g.claimant != i {
		g.primary = i
	}
}

// restorePrimary makes server i the primary again once the network to it is restored, if it made the newest claim.
func (g *group) restorePrimary(i int) (restored bool) {
	if restored = g.claimant == i; restored {
		g.primary = i
	}
	return restored
}

// removeServer discards the claims of a removed server, which may have claimed the role while it was ejected.
func (g *group) removeServer(i int) {
	if g.claimant == i || g.primary == i {
		g.claimant, g.primary = none, none
	}
}
