package router

import (
	"time"

	"dapplerouter/routing"
)

// This file decides which servers are sent a health check. Inputs: missing knowledge that requests wait for, and which
// servers are ejected. Invariant: each health check has a cause, at most one is in flight to a server, and none is sent
// if the deployment doesn't allow health checks (docs/design.md, health checks).

// healthCheckState is the health-check state of one server.
type healthCheckState struct {
	checkInFlight bool
	checkedAt     time.Duration // start of the latest health check
}

var neverChecked = healthCheckState{checkedAt: never}

// emptyQueueThreshold is a number of requests in flight below two. With at most one in flight, nothing is queued.
const emptyQueueThreshold = 1.5

// checkPrimaryClock sends a health check to the first known primary, if the endpoint list has start times and no
// primary has reported its position yet. Until a primary has, the offset of the other processes' clock is unknown, and
// a server that has just started may seem to have started long ago (front/wallclock.go). Reads alone may never produce
// such a report.
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

// HealthCheckFinished records the result of the health check of server i: the load report if the check succeeded, which
// also makes an ejected server eligible for a trial request now, and otherwise the failure. The latency is not used.
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
		r.observeRole(i, statementInReport(now, &load))
	}
	s.trialAt = min(s.trialAt, now)
	s.answered(now)
	if !s.ejected {
		s.consecutiveFailures = 0
	}
}

// healthCheckFailed ejects a server that can't be reached. A server that is overloaded is reachable, and a check that
// was not sent shows nothing.
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

// startHealthChecks sends health checks to servers of two kinds. Where healthCheckWanted is set, requests lack knowledge
// about the group, so all its servers are checked, each at most once in two shortest latency objectives. In every group,
// ejected servers are checked with a backoff, at intervals of ejectionTime.
func (r *Router) startHealthChecks(now time.Duration) {
	for k := range r.groups {
		g := r.groups[k]
		if !g.healthCheckWanted && !g.mayHaveEjected { // skips most groups of a long list
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

// startHealthCheck sends a health check to a server, if health checks are allowed, the server is not draining and no
// check is in flight.
func (r *Router) startHealthCheck(now time.Duration, i int) {
	if s := &r.servers[i]; r.healthChecksAllowed && !s.draining && !s.checkInFlight {
		s.checkInFlight, s.checkedAt = true, now
		r.host.StartHealthCheck(i)
	}
}
