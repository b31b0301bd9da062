package router

import (
	"time"

	"dapplerouter/routing"
)

// Whom is it worth to ask about itself? Inputs: what is held for want of knowledge, who is ejected. Invariant: probes go out for cause
// only, one at a time to a member, and none where the site allows none (BRIEF; docs/design.md, probes).

// probing is a member's.
type probing struct {
	probeOut bool
	probedAt time.Duration
}

var neverProbed = probing{probedAt: never}

// askForPresent probes the first primary known with each list while starts are told, and no primary has told its position: until one
// has, nobody knows where others' clocks stand, and a server that has just started may look as if it had started long ago
// (front/timeline.go). Reads alone need not bring such an answer.
func (r *Router) askForPresent(now time.Duration) {
	if r.presentTold || !r.startsTold {
		return
	}
	for k := range r.groups {
		if primary := r.groups[k].primary; primary != none {
			r.probe(now, primary)
			return
		}
	}
}

// shortQueue is below two that a member holds: one at most, so no queue is there.
const shortQueue = 1.5

// HealthCheckFinished takes what a probe brought.
func (r *Router) HealthCheckFinished(now time.Duration, i int, e routing.AttemptResult, _ time.Duration, l routing.LoadReport) {
	m := &r.members[i]
	m.probeOut = false
	if e != routing.Succeeded {
		r.probeFailed(now, i, e)
		return
	}
	if l.InFlight >= 0 && l.InFlight < shortQueue { // what does not come back is lost, not queued
		m.quickAt = now
	}
	if l.HasPosition {
		m.observe(now, l.Position, 0)
	}
	if l.Role != routing.UnknownRole {
		r.claims(now, i, l.Role, l.Position, l.HasPosition)
	}
	m.retryAt, m.answeredAt = min(m.retryAt, now), now
	if !m.ejected {
		m.failures = 0
	}
}

// probeFailed ejects a member that cannot be reached; one that is full, or was not asked, is none.
func (r *Router) probeFailed(now time.Duration, i int, e routing.AttemptResult) {
	if e == routing.Overloaded || e == routing.NotSent {
		return
	}
	m := &r.members[i]
	m.unreachableAt = now
	if now-m.answeredAt > r.shortest {
		r.eject(now, i)
	}
}

// sendProbes sends them to groups of which something is wanted, ever more rarely to members that are ejected.
func (r *Router) sendProbes(now time.Duration) {
	for k := range r.groups {
		g := &r.groups[k]
		if !g.probeWanted && !g.mayHaveFailed { // most groups, of a list that may be long
			continue
		}
		failed := false
		for _, i := range g.members {
			m := &r.members[i]
			failed = failed || m.ejected
			if g.probeWanted && now-m.probedAt >= 2*r.shortest || m.ejected && now-m.probedAt >= r.ejectionTime(m) {
				r.probe(now, i)
			}
		}
		g.probeWanted, g.mayHaveFailed = false, failed
	}
}

func (r *Router) probe(now time.Duration, i int) {
	if m := &r.members[i]; r.mayProbe && !m.draining && !m.probeOut {
		m.probeOut, m.probedAt = true, now
		r.host.StartHealthCheck(i)
	}
}
