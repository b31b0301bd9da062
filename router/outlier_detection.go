package router

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// Does a member work? Inputs: the endings of attempts, and silence. Invariant: what fails everywhere alike, or while others are
// answered, is no member's fault: errors behind all of them, connections that lose answers or can't be set up (docs/design.md, health).

// health is a member's.
type health struct {
	answeredAt          time.Duration // last answer of any kind
	waitingSince        time.Duration // since when something is out and nothing was heard
	errorRate           float64       // part of what is sent there that fails
	lossRate            float64       // and that is lost while the rest is answered
	consecutiveFailures int           // in a row
	ejected             bool          // to be used for trials only
	trialAt             time.Duration // earliest next trial
	unreachableAt       time.Duration // last time that it could not be reached
	nextDialAt          time.Duration // when a new connection may be tried, after one failed
}

var unknownHealth = health{answeredAt: never, unreachableAt: never}

// maxEjectionDoublings is how often the shortest ejection is doubled at most.
const maxEjectionDoublings = 4

// lossThreshold is the part of attempts lost over which what takes long looks lost.
const lossThreshold = 1.0 / 20

// ejectionTime is how long a member that is ejected is left alone.
func (r *Router) ejectionTime(m *server) time.Duration {
	return r.shortestObjective << min(m.consecutiveFailures, maxEjectionDoublings)
}

// eject keeps traffic off a member that can't be reached or is silent. Trials come sparingly, one at
// a time; its limit starts again from one, and a primary in doubt is looked for anew.
func (r *Router) eject(now time.Duration, i int) {
	m := &r.servers[i]
	m.consecutiveFailures++
	m.ejected = true
	m.resetLimit()
	m.trialAt = now + r.ejectionTime(m)
	g := r.group(m.group)
	g.mayHaveEjected = true
	g.clearPrimary(i)
}

// clearFailures forgets what failed.
func (h *health) clearFailures() { h.ejected, h.consecutiveFailures = false, 0 }

// awaitingTrial tells of an ejected member whose next trial is not due, or is out.
func (m *server) awaitingTrial(now time.Duration) bool {
	return m.ejected && (now < m.trialAt || m.inFlight > 0)
}

// attemptStarted begins an attempt at a member, ended ends it.
func (m *server) attemptStarted(now time.Duration) {
	if m.inFlight == 0 {
		m.waitingSince = now
	}
	m.inFlight++
}

func (m *server) attemptFinished(now time.Duration) {
	m.inFlight--
	m.waitingSince = now
}

// unresponsive tells of a member that takes work and answers nothing. A saturated one is slow, not silent: so
// patience is counted in the latency last seen there. One request without an answer may be lost or long.
func (r *Router) unresponsive(now time.Duration, m *server) bool {
	if m.inFlight < 2 || m.ejected || r.stalled(now) || now-max(m.waitingSince, r.resumedAt) <= 2*r.shortestObjective {
		return false
	}
	patience := time.Duration(4 * r.loadEstimate(now, m) * float64(slices.Max(r.typical)))
	return now-max(m.waitingSince, r.resumedAt) > patience
}

// probablyLost tells of an attempt that may be sent elsewhere: its member is silent, or loses some and has answered later ones.
func (r *Router) probablyLost(now time.Duration, t *request) bool {
	if t.state != pending || t.sentTo == none || r.types[t.Type].Idempotency == routing.NonIdempotent {
		return false
	}
	m := &r.servers[t.sentTo]
	lost := m.lossRate > lossThreshold && t.attempts == 1 && m.fastAnswerSentAt > t.sentAt && now-t.sentAt > 4*r.minimum[t.Type]
	return lost || r.unresponsive(now, m)
}

// observeOutcome draws on an ending for the member's limit and health; ty is none for one that no longer counts for its request.
func (r *Router) observeOutcome(now time.Duration, o routing.AttemptOutcome, ty int) {
	m := &r.servers[o.Server]
	switch o.Result {
	case routing.Succeeded, routing.Misrouted:
		r.observeResponse(now, m, &o, ty)
	case routing.ServerError: // quick, but no reason to send more
		r.observeError(now, m)
	case routing.Overloaded:
		m.answeredAt = now
		m.consecutiveFailures++
		r.reduceLimit(m, failureReduction)
		r.observeLoad(now, m, overloadedLoad)
	case routing.Unreachable, routing.ConnectionLost:
		r.observeConnectionFailure(now, m, &o)
	case routing.TimedOut:
		r.observeTimeout(now, m, &o)
	}
}

func (r *Router) observeResponse(now time.Duration, m *server, o *routing.AttemptOutcome, ty int) {
	m.answeredAt = now
	if m.ejected && m.unreachableAt > m.startedAt { // what could not be reached may have started meanwhile
		r.beginSlowStart(now, m, now)
	}
	m.clearFailures()
	if o.Result == routing.Misrouted || ty == none || r.stalled(now) {
		return
	}
	by := r.loadFromLatency(ty, o.Latency)
	if by > lateLoad {
		r.reduceLimit(m, lateReduction)
	} else {
		m.growLimit(now, o.Latency, r.limitGrowth)
	}
	r.observeLoad(now, m, by)
	r.servedWork.add(now, r.typical[ty].Seconds(), &r.latencies) // what failed was no work, but a cold one falls of it
	r.observeFaults(m, 0, 0)
	r.observeLatency(now, ty, o.Latency)
}

func (r *Router) observeError(now time.Duration, m *server) {
	m.answeredAt = now
	r.observeFaults(m, 1, 0)
	if m.errorRate > 2*r.errorRate {
		m.consecutiveFailures++
		r.reduceLimit(m, failureReduction)
	}
}

func (r *Router) observeConnectionFailure(now time.Duration, m *server, o *routing.AttemptOutcome) {
	m.nextDialAt = now + time.Duration(r.randomFloat()*float64(2*r.tickInterval))
	if m.answeredAt > now-max(o.Latency, r.shortestObjective) { // it answers: the connection failed, or it takes no more of them
		r.observeFaults(m, 0, 1)
		return
	}
	r.startHealthCheck(now, o.Server)
	if !r.healthChecksAllowed { // else the probe tells whether it was down
		m.unreachableAt = now
	}
	refusedAtOnce := m.checkInFlight && o.Latency < r.tickInterval
	if m.consecutiveFailures++; m.consecutiveFailures > 1 && !refusedAtOnce { // one connection may break, or be refused
		r.eject(now, o.Server)
	}
}

func (r *Router) observeTimeout(now time.Duration, m *server, o *routing.AttemptOutcome) {
	if r.stalled(now) {
		return
	}
	if m.fastAnswerSentAt > now-o.Latency {
		r.observeFaults(m, 0, 1)
		return // later ones came back quickly: this one was lost, not queued
	}
	r.reduceLimit(m, failureReduction)
	r.observeLoad(now, m, maxLoad)
	if now-m.answeredAt <= o.Latency {
		return
	}
	if m.consecutiveFailures++; m.consecutiveFailures > 1 { // one may be lost or long
		r.eject(now, o.Server)
	} else {
		r.startHealthCheck(now, o.Server)
	}
}

// observeFaults moves the rates of errors and losses, the former of all members too.
func (r *Router) observeFaults(m *server, erred, lost float64) {
	m.errorRate += (erred - m.errorRate) / 20
	r.errorRate += (erred - r.errorRate) / 40
	m.lossRate += (lost - m.lossRate) / 20
}
