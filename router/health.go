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
	answeredAt    time.Duration // last answer of any kind
	waitingSince  time.Duration // since when something is out and nothing was heard
	errorRate     float64       // part of what is sent there that fails
	lossRate      float64       // and that is lost while the rest is answered
	failures      int           // in a row
	ejected       bool          // to be used for trials only
	retryAt       time.Duration // earliest next trial
	unreachableAt time.Duration // last time that it could not be reached
	dialAt        time.Duration // when a new connection may be tried, after one failed
}

var unknownHealth = health{answeredAt: never, unreachableAt: never}

// longestEjection is how often the shortest ejection is doubled at most.
const longestEjection = 4

// lossy is the part of attempts lost over which what takes long looks lost.
const lossy = 1.0 / 20

// ejectionTime is how long a member that is ejected is left alone.
func (r *Router) ejectionTime(m *member) time.Duration {
	return r.shortest << min(m.failures, longestEjection)
}

// eject keeps traffic off a member that can't be reached or is silent. Trials come sparingly, one at
// a time; its limit starts again from one, and a primary in doubt is looked for anew.
func (r *Router) eject(now time.Duration, i int) {
	m := &r.members[i]
	m.failures++
	m.ejected = true
	m.restart()
	m.retryAt = now + r.ejectionTime(m)
	g := r.group(m.group)
	g.mayHaveFailed = true
	g.doubt(i)
}

// recovered forgets what failed.
func (h *health) recovered() { h.ejected, h.failures = false, 0 }

// resting tells of an ejected member whose next trial is not due, or is out.
func (m *member) resting(now time.Duration) bool { return m.ejected && (now < m.retryAt || m.out > 0) }

// sent begins an attempt at a member, ended ends it.
func (m *member) sent(now time.Duration) {
	if m.out == 0 {
		m.waitingSince = now
	}
	m.out++
}

func (m *member) ended(now time.Duration) {
	m.out--
	m.waitingSince = now
}

// silent tells of a member that takes work and answers nothing. A saturated one is slow, not silent: so
// patience is counted in the latency last seen there. One request without an answer may be lost or long.
func (r *Router) silent(now time.Duration, m *member) bool {
	if m.out < 2 || m.ejected || r.stalled(now) || now-max(m.waitingSince, r.resumedAt) <= 2*r.shortest {
		return false
	}
	patience := time.Duration(4 * r.loadAt(now, m) * float64(slices.Max(r.usual)))
	return now-max(m.waitingSince, r.resumedAt) > patience
}

// looksLost tells of an attempt that may be sent elsewhere: its member is silent, or loses some and has answered later ones.
func (r *Router) looksLost(now time.Duration, t *request) bool {
	if t.end != open || t.at == none || r.types[t.Type].Idempotency == routing.NonIdempotent {
		return false
	}
	m := &r.members[t.at]
	lost := m.lossRate > lossy && t.attempts == 1 && m.quickAt > t.sentAt && now-t.sentAt > 4*r.least[t.Type]
	return lost || r.silent(now, m)
}

// observeOutcome draws on an ending for the member's limit and health; ty is none for one that no longer counts for its request.
func (r *Router) observeOutcome(now time.Duration, o routing.AttemptOutcome, ty int) {
	m := &r.members[o.Server]
	switch o.Result {
	case routing.Succeeded, routing.Misrouted:
		r.observeAnswer(now, m, &o, ty)
	case routing.ServerError: // quick, but no reason to send more
		r.observeError(now, m)
	case routing.Overloaded:
		m.answeredAt = now
		m.failures++
		r.reduceLimit(m, failureReduction)
		r.observeLoad(now, m, jamLoad)
	case routing.Unreachable, routing.ConnectionLost:
		r.observeConnectionFailure(now, m, &o)
	case routing.TimedOut:
		r.observeTimeout(now, m, &o)
	}
}

func (r *Router) observeAnswer(now time.Duration, m *member, o *routing.AttemptOutcome, ty int) {
	m.answeredAt = now
	if m.ejected && m.unreachableAt > m.started { // what could not be reached may have started meanwhile
		r.beginSlowStart(now, m, now)
	}
	m.recovered()
	if o.Result == routing.Misrouted || ty == none || r.stalled(now) {
		return
	}
	by := r.loadOf(ty, o.Latency)
	if by > lateLoad {
		r.reduceLimit(m, lateReduction)
	} else {
		m.growLimit(now, o.Latency, r.growth)
	}
	r.observeLoad(now, m, by)
	r.served.add(now, r.usual[ty].Seconds(), &r.latencies) // what failed was no work, but a cold one falls of it
	r.observeFaults(m, 0, 0)
	r.observeLatency(now, ty, o.Latency)
}

func (r *Router) observeError(now time.Duration, m *member) {
	m.answeredAt = now
	r.observeFaults(m, 1, 0)
	if m.errorRate > 2*r.errorRate {
		m.failures++
		r.reduceLimit(m, failureReduction)
	}
}

func (r *Router) observeConnectionFailure(now time.Duration, m *member, o *routing.AttemptOutcome) {
	m.dialAt = now + time.Duration(r.draw()*float64(2*r.tick))
	if m.answeredAt > now-max(o.Latency, r.shortest) { // it answers: the connection failed, or it takes no more of them
		r.observeFaults(m, 0, 1)
		return
	}
	r.probe(now, o.Server)
	if !r.mayProbe { // else the probe tells whether it was down
		m.unreachableAt = now
	}
	refusedAtOnce := m.probeOut && o.Latency < r.tick
	if m.failures++; m.failures > 1 && !refusedAtOnce { // one connection may break, or be refused
		r.eject(now, o.Server)
	}
}

func (r *Router) observeTimeout(now time.Duration, m *member, o *routing.AttemptOutcome) {
	if r.stalled(now) {
		return
	}
	if m.quickAt > now-o.Latency {
		r.observeFaults(m, 0, 1)
		return // later ones came back quickly: this one was lost, not queued
	}
	r.reduceLimit(m, failureReduction)
	r.observeLoad(now, m, maxLoad)
	if now-m.answeredAt <= o.Latency {
		return
	}
	if m.failures++; m.failures > 1 { // one may be lost or long
		r.eject(now, o.Server)
	} else {
		r.probe(now, o.Server)
	}
}

// observeFaults moves the rates of errors and losses, the former of all members too.
func (r *Router) observeFaults(m *member, erred, lost float64) {
	m.errorRate += (erred - m.errorRate) / 20
	r.errorRate += (erred - r.errorRate) / 40
	m.lossRate += (lost - m.lossRate) / 20
}
