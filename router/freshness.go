package router

import (
	"time"

	"dapplerouter/routing"
)

// This file estimates how far each server has applied the log. Inputs: positions in answers and load reports.
// Invariant: a position once known stays valid, since a position never regresses; an estimate is never later than now.

// replicationState is a server's role and its position in the log.
type replicationState struct {
	role            routing.Role
	appliedPosition time.Duration // highest position known to be applied
	lag             time.Duration // time behind the primary when last measured
	lagMeasuredAt   time.Duration // never if no position is known
}

var unknownReplicationState = replicationState{appliedPosition: never, lagMeasuredAt: never}

// estimatedPosition returns the estimated log position of a server. It assumes that the server is as far behind the
// primary as when last measured, and less so as the measurement ages. A primary's position is the present.
func (r *Router) estimatedPosition(s *server, now time.Duration) time.Duration {
	if s.role == routing.Primary {
		return now
	}
	f := r.decay(now - s.lagMeasuredAt)
	return now - time.Duration(float64(s.lag)*f/(f+1/priorWeight))
}

// observe records a position that a server had applied the given age before now. It computes the lag from it. A position
// lower than one that is already known doesn't lower that.
func (p *replicationState) observe(now, applied, age time.Duration) {
	p.appliedPosition = max(p.appliedPosition, applied)
	p.lag, p.lagMeasuredAt = max(now-age-p.appliedPosition, 0), now
}

// reporting holds what this instance knows about the reports of the servers in general: what they contain, how old they
// are and whether health checks may request them. It doesn't hold the reports themselves.
type reporting struct {
	positionsInReports  bool          // positions come only in load reports
	reportAge           time.Duration // age of load reports, measured by the primaries' positions
	healthChecksAllowed bool
	primaryPositionSeen bool // a primary has reported its position, so the offset of the other processes' clock is known
	startTimesListed    bool // the endpoint list has start times
}

// observePosition records the position in an answer, or in the load report that came with the answer.
func (r *Router) observePosition(now time.Duration, s *server, o *routing.AttemptOutcome) {
	switch l := &o.Load; {
	case o.HasPosition:
		s.observe(now, o.Position, 0)
	case r.positionsInReports && l.HasPosition:
		if l.Role == routing.Primary && s.role == routing.Primary { // a primary has no lag, so this is the age of the report
			r.reportAge += (now - l.Position - r.reportAge) / 4
		}
		s.observe(now, l.Position, r.reportAge)
	}
}
