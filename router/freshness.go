package router

import (
	"time"

	"dapplerouter/routing"
)

// How far has a member applied the log? Inputs: positions in answers and reports. Invariant: a position once known stays valid
// (BRIEF, a position never regresses); an estimate is never newer than now.

// position is a member's, in the log.
type position struct {
	role          routing.Role
	applied       time.Duration // highest log position known; it stays valid
	lag           time.Duration // how far it was behind
	lagMeasuredAt time.Duration // never: no position is known
}

var unknownPosition = position{applied: never, lagMeasuredAt: never}

// estimatedPosition is the position as far behind as it was recently, less as that grows old.
func (r *Router) estimatedPosition(m *server, now time.Duration) time.Duration {
	if m.role == routing.Primary {
		return now
	}
	f := r.decay(now - m.lagMeasuredAt)
	return now - time.Duration(float64(m.lag)*f/(f+1/priorWeight))
}

// observe takes a position as old as its report.
func (p *position) observe(now, pos, age time.Duration) {
	p.applied = max(p.applied, pos)
	p.lag, p.lagMeasuredAt = max(now-age-p.applied, 0), now
}

// reporting are what members tell of themselves.
type reporting struct {
	positionsInReports  bool          // positions stand in reports alone
	reportAge           time.Duration // how old those are
	healthChecksAllowed bool
	primaryPositionSeen bool // by some primary's position
	startTimesListed    bool // by the list
}

// observePosition takes the position of an outcome, or of the report that rode on it.
func (r *Router) observePosition(now time.Duration, m *server, o *routing.AttemptOutcome) {
	switch l := &o.Load; {
	case o.HasPosition:
		m.observe(now, o.Position, 0)
	case r.positionsInReports && l.HasPosition: // a primary's position is the present: its report tells how old they are
		if l.Role == routing.Primary && m.role == routing.Primary {
			r.reportAge += (now - l.Position - r.reportAge) / 4
		}
		m.observe(now, l.Position, r.reportAge)
	}
}
