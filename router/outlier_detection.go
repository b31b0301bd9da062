package router

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// This file detects servers that don't work. Inputs: the results of attempts, and the lack of results. Invariant:
// failures that occur at all servers alike, or while the server answers other attempts, are not held against a server.
// Examples are errors at all servers and connections that lose answers or can't be opened (docs/design.md, outlier
// detection).

// health is the evidence of whether a server works.
type health struct {
	answeredAt          time.Duration // time of the latest answer of any kind
	waitingSince        time.Duration // time since which attempts are in flight without an answer
	errorRate           float64       // fraction of the server's attempts that fail
	lossRate            float64       // fraction of the server's attempts that are lost while others are answered
	consecutiveFailures int
	timeoutEvidence     float64       // sum of evidence from timeouts since the latest answer; 1 counts as a failure
	ejected             bool          // the server gets one trial request at a time
	trialAt             time.Duration // earliest time of the next trial request
	unreachableAt       time.Duration // time when the server was last found unreachable
	nextDialAt          time.Duration // earliest time of the next connection, after one failed
}

var unknownHealth = health{answeredAt: never, unreachableAt: never}

// maxEjectionDoublings limits how often the shortest ejection time is doubled.
const maxEjectionDoublings = 4

// lossThreshold is the loss rate above which an attempt that takes long is presumed lost.
const lossThreshold = 1.0 / 20

// conclusiveLatencies is the wait without an answer, in typical latencies, that counts as a full failure.
const conclusiveLatencies = 2

// ejectionTime returns the time between trial requests to an ejected server. It doubles with each consecutive failure.
func (r *Router) ejectionTime(s *server) time.Duration {
	return r.shortestObjective << min(s.consecutiveFailures, maxEjectionDoublings)
}

// eject keeps traffic away from a server that is unreachable or unresponsive, except for one trial request at a time.
// The server's concurrency limit restarts at one. If the server is the primary, the group's primary becomes unknown.
func (r *Router) eject(now time.Duration, i int) {
	s := &r.servers[i]
	s.consecutiveFailures++
	s.ejected = true
	s.resetLimit()
	s.trialAt = now + r.ejectionTime(s)
	g := r.group(s.group)
	g.mayHaveEjected = true
	g.clearPrimary(i)
}

// answered records an answer of any kind.
func (h *health) answered(now time.Duration) { h.answeredAt, h.timeoutEvidence = now, 0 }

// clearFailures ends an ejection.
func (h *health) clearFailures() { h.ejected, h.consecutiveFailures = false, 0 }

// awaitingTrial reports whether an ejected server may not be sent a trial request now, because none is due yet or one
// is in flight.
func (s *server) awaitingTrial(now time.Duration) bool {
	return s.ejected && (now < s.trialAt || s.inFlight > 0)
}

// attemptStarted counts an attempt as in flight until attemptFinished is called.
func (s *server) attemptStarted(now time.Duration) {
	if s.inFlight == 0 {
		s.waitingSince = now
	}
	s.inFlight++
}

// attemptFinished ends the count of an attempt. The time without an answer starts anew for the remaining ones.
func (s *server) attemptFinished(now time.Duration) {
	s.inFlight--
	s.waitingSince = now
}

// unresponsive reports whether a server accepts attempts but answers none of them. A saturated server is slow rather
// than unresponsive, so the time allowed grows with its load estimate. One attempt in flight is not enough evidence: it
// may be lost or long.
func (r *Router) unresponsive(now time.Duration, s *server) bool {
	if s.inFlight < 2 || s.ejected || r.stalled(now) || now-max(s.waitingSince, r.resumedAt) <= 2*r.shortestObjective {
		return false
	}
	allowedWait := time.Duration(4 * r.loadEstimate(now, s) * float64(slices.Max(r.typicalLatency)))
	return now-max(s.waitingSince, r.resumedAt) > allowedWait
}

// probablyLost reports whether an attempt may be cancelled and the request sent elsewhere. This holds if the server is
// unresponsive, or if the server loses some attempts and has quickly answered one that was sent later.
func (r *Router) probablyLost(now time.Duration, req *request) bool {
	if req.state != pending || req.sentTo == none || r.requestTypes[req.Type].Idempotency == routing.NonIdempotent {
		return false
	}
	s := &r.servers[req.sentTo]
	lost := s.lossRate > lossThreshold && req.attempts == 1 && s.fastAnswerSentAt > req.sentAt && now-req.sentAt > 4*r.minimumLatency[req.Type]
	return lost || r.unresponsive(now, s)
}

// observeOutcome updates a server's concurrency limit, load and health with the outcome of an attempt. requestType is
// none if the attempt no longer counts for its request, in which case its latency is not used.
func (r *Router) observeOutcome(now time.Duration, o routing.AttemptOutcome, requestType int) {
	s := &r.servers[o.Server]
	switch o.Result {
	case routing.Succeeded, routing.Misrouted, routing.Stale:
		r.observeResponse(now, s, &o, requestType)
	case routing.ServerError: // fast, but no reason to raise the limit
		r.observeError(now, s)
	case routing.Overloaded:
		s.answered(now)
		s.consecutiveFailures++
		r.reduceLimit(s, failureReduction)
		r.observeLoad(now, s, overloadedLoad)
	case routing.Unreachable, routing.ConnectionLost:
		r.observeConnectionFailure(now, s, &o)
	case routing.TimedOut:
		r.observeTimeout(now, s, &o, requestType)
	case routing.Cancelled, routing.NotSent: // caused by this instance: the outcome shows nothing about the server
	}
}

// observeResponse records an answer. It ends an ejection and adjusts the limit and the load by the answer's latency.
func (r *Router) observeResponse(now time.Duration, s *server, o *routing.AttemptOutcome, requestType int) {
	s.answered(now)
	if s.ejected && s.unreachableAt > s.startedAt { // it may have restarted while it was unreachable
		r.beginSlowStart(now, s, now)
	}
	s.clearFailures()
	if o.Result == routing.Misrouted || requestType == none || r.stalled(now) {
		return
	}
	load := r.loadFromLatency(requestType, o.Latency)
	if load > lateLoad {
		r.reduceLimit(s, lateReduction)
	} else {
		s.growLimit(now, o.Latency, r.limitGrowth)
	}
	r.observeLoad(now, s, load)
	// Only successful attempts count. A failed attempt is no work for a warm server, but it does count against the
	// budget of one that is warming up.
	r.servedWork.add(now, r.typicalLatency[requestType].Seconds(), &r.latencies)
	r.observeFaults(s, 0, 0)
	r.observeLatency(now, requestType, o.Latency)
}

// observeError records an answer that is an error. It counts as a failure of the server only if the server's error rate
// is more than twice that of all servers.
func (r *Router) observeError(now time.Duration, s *server) {
	s.answered(now)
	r.observeFaults(s, 1, 0)
	if s.errorRate > 2*r.errorRate {
		s.consecutiveFailures++
		r.reduceLimit(s, failureReduction)
	}
}

// observeConnectionFailure records a connection that could not be opened or was lost. It ejects the server after a
// second failure in a row without an answer in between, unless the connection was refused at once while a health check
// is in flight.
func (r *Router) observeConnectionFailure(now time.Duration, s *server, o *routing.AttemptOutcome) {
	s.nextDialAt = now + time.Duration(r.randomFloat()*float64(2*r.tickInterval))
	if s.answeredAt > now-max(o.Latency, r.shortestObjective) { // only this connection failed, or the server accepts no more
		r.observeFaults(s, 0, 1)
		return
	}
	r.startHealthCheck(now, o.Server)
	if !r.healthChecksAllowed { // otherwise the health check finds out
		s.unreachableAt = now
	}
	refusedAtOnce := s.checkInFlight && o.Latency < r.tickInterval
	if s.consecutiveFailures++; s.consecutiveFailures > 1 && !refusedAtOnce { // a single connection may fail or be refused
		r.eject(now, o.Server)
	}
}

// observeTimeout records an attempt that reached its deadline without an answer. What the timeout shows depends on how
// long the attempt had waited: the answer might have come later.
func (r *Router) observeTimeout(now time.Duration, s *server, o *routing.AttemptOutcome, requestType int) {
	if r.stalled(now) {
		return
	}
	if s.fastAnswerSentAt > now-o.Latency { // later attempts were answered quickly: this one was lost, not queued
		r.observeFaults(s, 0, 1)
		return
	}
	evidence := r.evidenceFromTimeout(requestType, o.Latency)
	if evidence > 0 {
		r.reduceLimit(s, failureReduction)
		r.observeLoad(now, s, maxLoad)
	} else {
		r.observeUnanswered(now, s, requestType, o.Latency)
	}
	if now-s.answeredAt <= o.Latency {
		return
	}
	if s.addTimeoutEvidence(evidence) && s.consecutiveFailures > 1 { // a single attempt may be lost or long
		r.eject(now, o.Server)
	} else {
		r.startHealthCheck(now, o.Server)
	}
}

// addTimeoutEvidence adds evidence from a timeout, and reports whether the sum has reached another failure.
func (h *health) addTimeoutEvidence(evidence float64) (failure bool) {
	if h.timeoutEvidence += evidence; h.timeoutEvidence < 1 {
		return false
	}
	h.timeoutEvidence--
	h.consecutiveFailures++
	return true
}

// evidenceFromTimeout returns how strongly an attempt without an answer indicates that its server does not answer, from
// 0 to 1. It is 0 up to the type's typical latency. It is 1 from the latency objective or conclusiveLatencies typical
// latencies on, whichever is less. A wait in between is a censored observation and counts in proportion. If the type is
// not known, it is 1.
func (r *Router) evidenceFromTimeout(requestType int, waited time.Duration) float64 {
	if requestType == none {
		return 1
	}
	typical := r.typicalLatency[requestType]
	conclusiveWait := min(conclusiveLatencies*typical, r.requestTypes[requestType].LatencyObjective)
	switch {
	case waited >= conclusiveWait:
		return 1
	case waited <= typical:
		return 0
	}
	return float64(waited-typical) / float64(conclusiveWait-typical)
}

// observeFaults updates the error rate of the server, the error rate of all servers, and the loss rate of the server.
// failed and lost are each 0 or 1.
func (r *Router) observeFaults(s *server, failed, lost float64) {
	s.errorRate += (failed - s.errorRate) / 20
	r.errorRate += (failed - r.errorRate) / 40
	s.lossRate += (lost - s.lossRate) / 20
}
