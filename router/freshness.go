package router

import (
	"time"

	"dapplerouter/routing"
)

// How far has a server applied the log? Inputs: positions in answers and load reports. Invariant: a position once known stays valid
// (BRIEF, a position never regresses); an estimate is never later than now.

// position is a server's role and its position in the log.
type position struct {
	role            routing.Role
	appliedPosition time.Duration // highest log position known to be applied
	lag             time.Duration // behind the primary, when last measured
	lagMeasuredAt   time.Duration // never: no position is known
}

var unknownPosition = position{appliedPosition: never, lagMeasuredAt: never}

// estimatedPosition assumes that a server is as far behind as when last measured, and less as that measurement gets older.
func (r *Router) estimatedPosition(s *server, now time.Duration) time.Duration {
	if s.role == routing.Primary {
		return now
	}
	f := r.decay(now - s.lagMeasuredAt)
	return now - time.Duration(float64(s.lag)*f/(f+1/priorWeight))
}

// observe takes a position that was measured an age ago.
func (p *position) observe(now, applied, age time.Duration) {
	p.appliedPosition = max(p.appliedPosition, applied)
	p.lag, p.lagMeasuredAt = max(now-age-p.appliedPosition, 0), now
}

// reporting is what servers report of themselves and how old it is.
type reporting struct {
	positionsInReports  bool          // positions come in load reports only
	reportAge           time.Duration // of load reports, as measured by the primaries' positions
	healthChecksAllowed bool
	primaryPositionSeen bool // a primary has reported its position, so the clock of the others is known
	startTimesListed    bool // the endpoint list has start times
}

// observePosition takes the position of an answer, or of the load report that came with it.
func (r *Router) observePosition(now time.Duration, s *server, o *routing.AttemptOutcome) {
	switch l := &o.Load; {
	case o.HasPosition:
		s.observe(now, o.Position, 0)
	case r.positionsInReports && l.HasPosition:
		if l.Role == routing.Primary && s.role == routing.Primary { // its position is the present, so its lag is the report's age
			r.reportAge += (now - l.Position - r.reportAge) / 4
		}
		s.observe(now, l.Position, r.reportAge)
	}
}
