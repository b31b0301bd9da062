package router

import (
	"time"

	"dapplerouter/routing"
)

// Which servers are sent a health check? Inputs: what requests wait for because it is not known, which servers are ejected. Invariant:
// health checks have a cause, one at a time is in flight to a server, and there are none where the deployment allows none (BRIEF;
// docs/design.md, health checks).

// checkState is a server's.
type checkState struct {
	checkInFlight bool
	checkedAt     time.Duration
}

var neverChecked = checkState{checkedAt: never}

// emptyQueueThreshold is a number of requests in flight below two: with one at most, nothing is queued.
const emptyQueueThreshold = 1.5

// checkPrimaryClock sends a health check to the first known primary, while the endpoint list has start times and no primary
// has reported its position. Until one has, the offset of the other processes' clock is not known, and a server that has
// just started may look as if it had started long ago (front/wallclock.go). Reads alone need not bring such an answer.
func (r *Router) checkPrimaryClock(now time.Duration) {
	if r.primaryPositionSeen || !r.startTimesListed {
		return
	}
	for k := range r.groups {
		if primary := r.groups[k].primary; primary != none {
			r.startHealthCheck(now, primary)
			return
		}
	}
}

// HealthCheckFinished takes a server's load report, or a failure.
func (r *Router) HealthCheckFinished(now time.Duration, i int, result routing.AttemptResult, _ time.Duration, load routing.LoadReport) {
	s := &r.servers[i]
	s.checkInFlight = false
	if result != routing.Succeeded {
		r.healthCheckFailed(now, i, result)
		return
	}
	if load.InFlight >= 0 && load.InFlight < emptyQueueThreshold { // an attempt that stays unanswered is lost, not queued
		s.fastAnswerSentAt = now
	}
	if load.HasPosition {
		s.observe(now, load.Position, 0)
	}
	if load.Role != routing.UnknownRole {
		r.observeRole(now, i, load.Role, load.Position, load.HasPosition)
	}
	s.trialAt = min(s.trialAt, now)
	s.answered(now)
	if !s.ejected {
		s.consecutiveFailures = 0
	}
}

// healthCheckFailed ejects a server that can't be reached. One that is overloaded, or that was not sent the check, can.
func (r *Router) healthCheckFailed(now time.Duration, i int, result routing.AttemptResult) {
	if result == routing.Overloaded || result == routing.NotSent {
		return
	}
	s := &r.servers[i]
	s.unreachableAt = now
	if now-s.answeredAt > r.shortestObjective {
		r.eject(now, i)
	}
}

// startHealthChecks sends them to the servers of groups about which something must be known, and to ejected servers with a
// backoff.
func (r *Router) startHealthChecks(now time.Duration) {
	for k := range r.groups {
		g := &r.groups[k]
		if !g.healthCheckWanted && !g.mayHaveEjected { // most groups, of a list that may be long
			continue
		}
		anyEjected := false
		for _, i := range g.servers {
			s := &r.servers[i]
			anyEjected = anyEjected || s.ejected
			if g.healthCheckWanted && now-s.checkedAt >= 2*r.shortestObjective || s.ejected && now-s.checkedAt >= r.ejectionTime(s) {
				r.startHealthCheck(now, i)
			}
		}
		g.healthCheckWanted, g.mayHaveEjected = false, anyEjected
	}
}

// startHealthCheck sends a health check to a server, where one may be sent.
func (r *Router) startHealthCheck(now time.Duration, i int) {
	if s := &r.servers[i]; r.healthChecksAllowed && !s.draining && !s.checkInFlight {
		s.checkInFlight, s.checkedAt = true, now
		r.host.StartHealthCheck(i)
	}
}
