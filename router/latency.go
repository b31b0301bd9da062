package router

import (
	"math"
	"time"

	"dapplerouter/routing"
)

// This file measures how long requests take. Inputs: the latencies of answers and the types' latency objectives.
// Invariant: nearly every duration in the package is a multiple of the shortest latency objective, so that no constant
// is fitted to one deployment.

const (
	decayTimeInObjectives        = 10                          // decay time of means, in shortest latency objectives: a few dozen answers
	minimumDecayTimeInObjectives = 300 * decayTimeInObjectives // decay time of minimum latencies: longer than any fault lasts

	priorAnswers   = 10 // number of answers that the initial estimate of a type counts as
	maxAnswerCount = 40 // answers beyond this number don't lower the weight of a new answer
)

// latencies holds the typical and the minimum latency of each request type. The minimum rises only slowly, so that it
// remains the latency at a server with little load.
type latencies struct {
	typicalLatency, minimumLatency []time.Duration // by request type
	latestAnswerAt                 []time.Duration // by request type; time of the latest answer
	answerCount                    []time.Duration // by request type, up to maxAnswerCount; a Duration because durations are divided by it
	shortestObjective              time.Duration   // of all types; other durations are multiples of it
	tickInterval                   time.Duration   // interval at which queued requests and unresponsive servers are examined
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

// observeLatency updates the typical and the minimum latency of a type with the latency of an answer. The typical latency
// is a running mean in which the initial estimate counts as priorAnswers answers.
func (l *latencies) observeLatency(now time.Duration, requestType int, latency time.Duration) {
	t := requestType
	l.answerCount[t] = min(l.answerCount[t]+1, maxAnswerCount)
	l.typicalLatency[t] += (latency - l.typicalLatency[t]) / (priorAnswers + l.answerCount[t])
	l.minimumLatency[t] += time.Duration(float64(l.minimumLatency[t]) * float64(now-l.latestAnswerAt[t]) /
		float64(minimumDecayTimeInObjectives*l.shortestObjective))
	l.minimumLatency[t], l.latestAnswerAt[t] = min(l.typicalLatency[t], l.minimumLatency[t]), now
}

// decay returns the factor, from 1 down to 0, by which a mean's sum and count shrink in the elapsed time. It is 1/e after
// decayTimeInObjectives shortest latency objectives.
func (l *latencies) decay(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(decayTimeInObjectives*l.shortestObjective))
}

// decayingMean is a mean in which older values weigh less. It consists of a decaying sum and count.
type decayingMean struct {
	sum, n float64
	at     time.Duration // time of the last update
}

// add includes the value x at the time now, after the decay of the older values. l gives the rate of the decay.
func (d *decayingMean) add(now time.Duration, x float64, l *latencies) {
	f := l.decay(now - d.at)
	d.sum, d.n, d.at = d.sum*f+x, d.n*f+1, now
}

// mean returns the mean at the time now. It includes priorCount values that equal prior and don't decay, so the mean
// returns to prior when no values are added. The larger priorCount is, the less a single value changes the mean. l gives
// the rate of the decay.
func (d *decayingMean) mean(now time.Duration, priorCount, prior float64, l *latencies) float64 {
	f := l.decay(now - d.at)
	return (d.sum*f + priorCount*prior) / (d.n*f + priorCount)
}
