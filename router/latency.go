package router

import (
	"math"
	"time"

	"dapplerouter/routing"
)

// How long do requests take? Inputs: the latencies of answers, the types' latency objectives. Invariant: every duration in the other
// files is a multiple of the shortest latency objective, so that no constant is fitted to one deployment.

const (
	decayObjectives        = 10                    // decay time of means, in shortest latency objectives: a few dozen answers
	minimumDecayObjectives = 300 * decayObjectives // decay time of a minimum latency: longer than any fault lasts

	priorAnswers   = 10 // of a type, that its initial estimate counts as
	maxAnswerCount = 40 // more do not count
)

// latencies knows the typical and the minimum latency of each request type. The minimum decays slowly, so that it is the
// latency at a server with little load.
type latencies struct {
	typicalLatency, minimumLatency []time.Duration // by request type
	latestAnswerAt                 []time.Duration // by request type: the latest answer
	answerCount                    []time.Duration // by request type, up to maxAnswerCount; a divisor of durations
	shortestObjective              time.Duration   // of all types: the unit of every duration
	tickInterval                   time.Duration   // at which queued requests and unresponsive servers are looked at
}

func newLatencies(types []routing.RequestType, tick time.Duration) latencies {
	l := latencies{shortestObjective: time.Hour}
	for _, t := range types {
		l.shortestObjective = min(l.shortestObjective, t.LatencyObjective)
		l.typicalLatency, l.minimumLatency = append(l.typicalLatency, t.LatencyObjective/4), append(l.minimumLatency, t.LatencyObjective/4)
		l.latestAnswerAt, l.answerCount = append(l.latestAnswerAt, 0), append(l.answerCount, 0)
	}
	l.tickInterval = max(tick, l.shortestObjective/10)
	return l
}

// observeLatency takes the latency of an answer.
func (l *latencies) observeLatency(now time.Duration, requestType int, latency time.Duration) {
	t := requestType
	l.answerCount[t] = min(l.answerCount[t]+1, maxAnswerCount)
	l.typicalLatency[t] += (latency - l.typicalLatency[t]) / (priorAnswers + l.answerCount[t])
	l.minimumLatency[t] += time.Duration(float64(l.minimumLatency[t]) * float64(now-l.latestAnswerAt[t]) / float64(minimumDecayObjectives*l.shortestObjective))
	l.minimumLatency[t], l.latestAnswerAt[t] = min(l.typicalLatency[t], l.minimumLatency[t]), now
}

// decay is the factor by which a mean's sum and count are multiplied after some time.
func (l *latencies) decay(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(decayObjectives*l.shortestObjective))
}

// decayingMean is a sum and a count in which older values weigh less.
type decayingMean struct {
	sum, n float64
	at     time.Duration // of the last update
}

func (d *decayingMean) add(now time.Duration, x float64, l *latencies) {
	f := l.decay(now - d.at)
	d.sum, d.n, d.at = d.sum*f+x, d.n*f+1, now
}

// mean is drawn towards prior as if priorCount values had been that: a single value says little.
func (d *decayingMean) mean(now time.Duration, priorCount, prior float64, l *latencies) float64 {
	f := l.decay(now - d.at)
	return (d.sum*f + priorCount*prior) / (d.n*f + priorCount)
}
