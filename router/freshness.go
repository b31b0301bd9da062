package router

import (
	"time"

	"dapplerouter/routing"
)

// This file estimates how far each server has applied the log, and decides whether data is recent enough. Inputs: positions
// in answers and load reports. Invariants: a position once known stays valid, since a position never regresses, but for a
// server that answers with a lower one and doesn't check staleness; an estimate is never later than now.

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

// maxSendDelay is how long a host may be held up between reading its clock and writing a request.
const maxSendDelay = 150 * time.Millisecond

// maxSendDelayShare is the part of a staleness bound that maxSendDelay may take at most.
const maxSendDelayShare = 1.0 / 4

// isChecked reports whether servers check themselves that their data is recent enough for a read. They know the bound of
// its type, so they don't enforce a shorter one.
func (r *Router) isChecked(req *request) bool {
	t := &r.requestTypes[req.Type]
	tighter := t.Consistency == routing.BoundedStaleness && req.MaxStaleness < t.MaxStaleness
	return r.stalenessCheck != routing.NoStalenessCheck && !tighter
}

// positionToServe returns the log position that a server must have to be sent a read now. If the read has no such
// requirement, the result is the constant never.
func (r *Router) positionToServe(now time.Duration, req *request) time.Duration {
	if r.requestTypes[req.Type].Consistency == routing.BoundedStaleness {
		return now - r.usableStaleness(req)
	}
	return req.requiredPosition
}

// usableStaleness returns how old the data for a read with a staleness bound may be when the read is started. Where servers
// don't check that, it is less than the bound by the host's delay, since the bound counts from the sending.
func (r *Router) usableStaleness(req *request) time.Duration {
	if r.isChecked(req) {
		return req.MaxStaleness
	}
	return req.MaxStaleness - min(maxSendDelay, time.Duration(maxSendDelayShare*float64(req.MaxStaleness)))
}

// FreshUntil returns the time until which the attempt in flight of a read may be sent to its server. It reports false if the
// attempt may be sent at any time: the server checks the position itself, the server is the primary, or the read has no staleness bound.
func (r *Router) FreshUntil(ref routing.RequestRef) (time.Duration, bool) {
	req := &r.slots[ref.Slot]
	if req.Ref != ref || req.sentTo == none || r.isChecked(req) || r.requestTypes[req.Type].Consistency != routing.BoundedStaleness {
		return 0, false
	}
	s := &r.servers[req.sentTo]
	if req.sentTo == r.group(req.Group).primary && r.servesUnchecked(req, s) {
		return 0, false
	}
	return s.appliedPosition + r.usableStaleness(req), true
}

// positionAsReplica returns the known position of a server that now answers as a replica. It is unknown if the server was
// the primary until then, since a former primary may lose the end of its log.
func (s *server) positionAsReplica() time.Duration {
	if s.claimedAt > s.deniedAt {
		return never
	}
	return s.appliedPosition
}

// positionRounding is how much lower a server's position may be reported than it is.
const positionRounding = time.Millisecond

// MayServe reports whether the result of the attempt in flight may be passed to the client. Where servers check the staleness
// of the read themselves, it always may. Otherwise the server must be the primary, or the position that came with the result
// must have sufficed when the attempt was sent; without one, the known position.
func (r *Router) MayServe(ref routing.RequestRef, result routing.ReadResult) bool {
	req := &r.slots[ref.Slot]
	if req.Ref != ref || req.sentTo == none || r.isChecked(req) || result.Role != routing.Replica {
		return true
	}
	position := r.servers[req.sentTo].positionAsReplica()
	if result.HasPosition {
		position = result.Position
	}
	position += positionRounding
	switch r.requestTypes[req.Type].Consistency {
	case routing.BoundedStaleness:
		return position >= result.SentAt-req.MaxStaleness
	case routing.ReadYourWrites:
		return position >= req.requiredPosition
	case routing.Strong:
		return position >= req.receivedAt
	}
	return true
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
		if o.Role == routing.Replica && r.stalenessCheck == routing.NoStalenessCheck {
			s.appliedPosition = min(s.appliedPosition, o.Position) // the server may have lost the end of its log
		}
		s.observe(now, o.Position, 0)
	case r.positionsInReports && l.HasPosition:
		if l.Role == routing.Primary && s.role == routing.Primary { // a primary has no lag, so this is the age of the report
			r.reportAge += (now - l.Position - r.reportAge) / 4
		}
		s.observe(now, l.Position, r.reportAge)
	}
}
