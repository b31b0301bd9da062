package router

import (
	"time"

	"dapplerouter/routing"
)

// Whom is it worth to ask about itself? Inputs: what is held for want of knowledge, who is ejected. Invariant: probes go out for cause
// only, one at a time to a member, and none where the site allows none (BRIEF; docs/design.md, probes).

// checkState is a member's.
type checkState struct {
	checkInFlight bool
	checkedAt     time.Duration
}

var neverChecked = checkState{checkedAt: never}

// checkPrimaryClock probes the first primary known with each list while starts are told, and no primary has told its position: until one
// has, nobody knows where others' clocks stand, and a server that has just started may look as if it had started long ago
// (front/timeline.go). Reads alone need not bring such an answer.
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

// emptyQueueThreshold is below two that a member holds: one at most, so no queue is there.
const emptyQueueThreshold = 1.5

// HealthCheckFinished takes what a probe brought.
func (r *Router) HealthCheckFinished(now time.Duration, i int, e routing.AttemptResult, _ time.Duration, l routing.LoadReport) {
	m := &r.servers[i]
	m.checkInFlight = false
	if e != routing.Succeeded {
		r.healthCheckFailed(now, i, e)
		return
	}
	if l.InFlight >= 0 && l.InFlight < emptyQueueThreshold { // what does not come back is lost, not queued
		m.fastAnswerSentAt = now
	}
	if l.HasPosition {
		m.observe(now, l.Position, 0)
	}
	if l.Role != routing.UnknownRole {
		r.observeRole(now, i, l.Role, l.Position, l.HasPosition)
	}
	m.trialAt, m.answeredAt = min(m.trialAt, now), now
	if !m.ejected {
		m.consecutiveFailures = 0
	}
}

// healthCheckFailed ejects a member that cannot be reached; one that is full, or was not asked, is none.
func (r *Router) healthCheckFailed(now time.Duration, i int, e routing.AttemptResult) {
	if e == routing.Overloaded || e == routing.NotSent {
		return
	}
	m := &r.servers[i]
	m.unreachableAt = now
	if now-m.answeredAt > r.shortestObjective {
		r.eject(now, i)
	}
}

// startHealthChecks sends them to groups of which something is wanted, ever more rarely to members that are ejected.
func (r *Router) startHealthChecks(now time.Duration) {
	for k := range r.groups {
		g := &r.groups[k]
		if !g.healthCheckWanted && !g.mayHaveEjected { // most groups, of a list that may be long
			continue
		}
		failed := false
		for _, i := range g.servers {
			m := &r.servers[i]
			failed = failed || m.ejected
			if g.healthCheckWanted && now-m.checkedAt >= 2*r.shortestObjective || m.ejected && now-m.checkedAt >= r.ejectionTime(m) {
				r.startHealthCheck(now, i)
			}
		}
		g.healthCheckWanted, g.mayHaveEjected = false, failed
	}
}

func (r *Router) startHealthCheck(now time.Duration, i int) {
	if m := &r.servers[i]; r.healthChecksAllowed && !m.draining && !m.checkInFlight {
		m.checkInFlight, m.checkedAt = true, now
		r.host.StartHealthCheck(i)
	}
}
