package router

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// Does a server work? Inputs: the results of attempts, and silence. Invariant: what fails everywhere alike, or while others are
// answered, is not held against a server: errors at all of them, connections that lose answers or can't be opened (docs/design.md,
// outlier detection).

// health is a server's.
type health struct {
	answeredAt          time.Duration // when it last answered in any way
	waitingSince        time.Duration // since when attempts are in flight and nothing was answered
	errorRate           float64       // fraction of its attempts that fail
	lossRate            float64       // fraction of its attempts that are lost while others are answered
	consecutiveFailures int
	silence             float64       // evidence that it does not answer, 1 for a failure; since it last answered
	ejected             bool          // it gets one trial request at a time
	trialAt             time.Duration // earliest time of the next trial request
	unreachableAt       time.Duration // when it last could not be reached
	nextDialAt          time.Duration // earliest time of the next connection, after one failed
}

var unknownHealth = health{answeredAt: never, unreachableAt: never}

// maxEjectionDoublings is how often the shortest ejection is doubled at most.
const maxEjectionDoublings = 4

// lossThreshold is the loss rate over which an attempt that takes long is taken for lost.
const lossThreshold = 1.0 / 20

// silenceLatencies is how many typical latencies without an answer count as a failure.
const silenceLatencies = 2

// ejectionTime is the time between trial requests to an ejected server.
func (r *Router) ejectionTime(s *server) time.Duration {
	return r.shortestObjective << min(s.consecutiveFailures, maxEjectionDoublings)
}

// eject keeps traffic off a server that is unreachable or unresponsive, save one trial request at a time. Its limit starts
// again from one; a primary is no longer known as such.
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

// answered notes an answer of any kind.
func (h *health) answered(now time.Duration) { h.answeredAt, h.silence = now, 0 }

// clearFailures ends an ejection.
func (h *health) clearFailures() { h.ejected, h.consecutiveFailures = false, 0 }

// awaitingTrial reports whether a server is ejected and its next trial request is not due, or is in flight.
func (s *server) awaitingTrial(now time.Duration) bool {
	return s.ejected && (now < s.trialAt || s.inFlight > 0)
}

// attemptStarted counts an attempt until attemptFinished.
func (s *server) attemptStarted(now time.Duration) {
	if s.inFlight == 0 {
		s.waitingSince = now
	}
	s.inFlight++
}

func (s *server) attemptFinished(now time.Duration) {
	s.inFlight--
	s.waitingSince = now
}

// unresponsive reports whether a server takes attempts and answers nothing. A saturated server is slow, not unresponsive: so
// it is given time by its load. A single attempt without an answer may be lost, or long.
func (r *Router) unresponsive(now time.Duration, s *server) bool {
	if s.inFlight < 2 || s.ejected || r.stalled(now) || now-max(s.waitingSince, r.resumedAt) <= 2*r.shortestObjective {
		return false
	}
	patience := time.Duration(4 * r.loadEstimate(now, s) * float64(slices.Max(r.typicalLatency)))
	return now-max(s.waitingSince, r.resumedAt) > patience
}

// probablyLost reports whether an attempt may be cancelled and the request sent elsewhere: its server is unresponsive, or
// loses some attempts and has answered later ones.
func (r *Router) probablyLost(now time.Duration, req *request) bool {
	if req.state != pending || req.sentTo == none || r.requestTypes[req.Type].Idempotency == routing.NonIdempotent {
		return false
	}
	s := &r.servers[req.sentTo]
	lost := s.lossRate > lossThreshold && req.attempts == 1 && s.fastAnswerSentAt > req.sentAt && now-req.sentAt > 4*r.minimumLatency[req.Type]
	return lost || r.unresponsive(now, s)
}

// observeOutcome updates the server's limit and health. requestType is none where the attempt no longer counts for its
// request, so that its latency means nothing.
func (r *Router) observeOutcome(now time.Duration, o routing.AttemptOutcome, requestType int) {
	s := &r.servers[o.Server]
	switch o.Result {
	case routing.Succeeded, routing.Misrouted:
		r.observeResponse(now, s, &o, requestType)
	case routing.ServerError: // fast, but no reason to send more
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
	case routing.Cancelled, routing.NotSent: // by this side: nothing is learnt of the server
	}
}

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
	// Failed attempts are left out: they are no work for a warm server, but count against one that is warming up.
	r.servedWork.add(now, r.typicalLatency[requestType].Seconds(), &r.latencies)
	r.observeFaults(s, 0, 0)
	r.observeLatency(now, requestType, o.Latency)
}

func (r *Router) observeError(now time.Duration, s *server) {
	s.answered(now)
	r.observeFaults(s, 1, 0)
	if s.errorRate > 2*r.errorRate {
		s.consecutiveFailures++
		r.reduceLimit(s, failureReduction)
	}
}

func (r *Router) observeConnectionFailure(now time.Duration, s *server, o *routing.AttemptOutcome) {
	s.nextDialAt = now + time.Duration(r.randomFloat()*float64(2*r.tickInterval))
	if s.answeredAt > now-max(o.Latency, r.shortestObjective) { // it answers: the connection failed, or it accepts no more of them
		r.observeFaults(s, 0, 1)
		return
	}
	r.startHealthCheck(now, o.Server)
	if !r.healthChecksAllowed { // else the health check finds out
		s.unreachableAt = now
	}
	refusedAtOnce := s.checkInFlight && o.Latency < r.tickInterval
	if s.consecutiveFailures++; s.consecutiveFailures > 1 && !refusedAtOnce { // a single connection may fail or be refused
		r.eject(now, o.Server)
	}
}

// observeTimeout takes an attempt that ended without an answer at its deadline. What that shows depends on how long
// it had waited: an answer might have come behind it.
func (r *Router) observeTimeout(now time.Duration, s *server, o *routing.AttemptOutcome, requestType int) {
	if r.stalled(now) {
		return
	}
	if s.fastAnswerSentAt > now-o.Latency { // later ones were answered fast: this one was lost, not queued
		r.observeFaults(s, 0, 1)
		return
	}
	evidence := r.silenceEvidence(requestType, o.Latency)
	if evidence > 0 {
		r.reduceLimit(s, failureReduction)
		r.observeLoad(now, s, maxLoad)
	} else {
		r.observeUnanswered(now, s, requestType, o.Latency)
	}
	if now-s.answeredAt <= o.Latency {
		return
	}
	if s.addSilence(evidence) && s.consecutiveFailures > 1 { // a single one may be lost or long
		r.eject(now, o.Server)
	} else {
		r.startHealthCheck(now, o.Server)
	}
}

// addSilence adds evidence of silence, and reports whether it makes another failure.
func (h *health) addSilence(evidence float64) (failure bool) {
	if h.silence += evidence; h.silence < 1 {
		return false
	}
	h.silence--
	h.consecutiveFailures++
	return true
}

// silenceEvidence is how much an attempt without an answer shows that its server does not answer, from 0 to 1: nothing within the type's
// typical latency, and all from its latency objective on, or from twice the typical latency. What lies between is a censored
// observation: it adds to others. All where the type is not known.
func (r *Router) silenceEvidence(requestType int, waited time.Duration) float64 {
	if requestType == none {
		return 1
	}
	typical := r.typicalLatency[requestType]
	proof := min(silenceLatencies*typical, r.requestTypes[requestType].LatencyObjective)
	switch {
	case waited >= proof:
		return 1
	case waited <= typical:
		return 0
	}
	return float64(waited-typical) / float64(proof-typical)
}

// observeFaults updates the error rates of the server and of all servers, and the server's loss rate, by an attempt that
// counts as 0 or 1 for each.
func (r *Router) observeFaults(s *server, failed, lost float64) {
	s.errorRate += (failed - s.errorRate) / 20
	r.errorRate += (failed - r.errorRate) / 40
	s.lossRate += (lost - s.lossRate) / 20
}
