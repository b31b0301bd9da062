package router

import (
	"math"
	"time"

	"dapplerouter/routing"
)

// How long do things take here? Inputs: the latencies of answers, the types' target latencies. Invariant: every span of the other files
// is a multiple of the shortest target latency, so that no figure is fitted to a deployment.

const (
	decayObjectives        = 10                    // shortest target latencies that running sums look back over: a few dozen answers
	minimumDecayObjectives = 300 * decayObjectives // in which a least latency is forgotten: longer than any trouble lasts

	priorAnswers   = 10 // of a type, as which its first estimate counts
	maxAnswerCount = 40 // more do not count
)

// latencies knows the usual latency of each request type, and the least that it has been; the least is slowly
// forgotten, so that it means a member with little to do.
type latencies struct {
	typical, minimum        []time.Duration
	answeredAt, answerCount []time.Duration // when one was answered last, and how many were, up to where it counts
	shortestObjective       time.Duration   // target latency of the most pressing type: the scale of every span
	tickInterval            time.Duration   // how often held requests and silent members are looked at
}

func newLatencies(types []routing.RequestType, tick time.Duration) latencies {
	p := latencies{shortestObjective: time.Hour}
	for _, ty := range types {
		p.shortestObjective = min(p.shortestObjective, ty.LatencyObjective)
		p.typical, p.minimum = append(p.typical, ty.LatencyObjective/4), append(p.minimum, ty.LatencyObjective/4)
		p.answeredAt, p.answerCount = append(p.answeredAt, 0), append(p.answerCount, 0)
	}
	p.tickInterval = max(tick, p.shortestObjective/10)
	return p
}

// observeLatency takes that of an answer.
func (p *latencies) observeLatency(now time.Duration, ty int, latency time.Duration) {
	p.answerCount[ty] = min(p.answerCount[ty]+1, maxAnswerCount)
	p.typical[ty] += (latency - p.typical[ty]) / (priorAnswers + p.answerCount[ty])
	p.minimum[ty] += time.Duration(float64(p.minimum[ty]) * float64(now-p.answeredAt[ty]) / float64(minimumDecayObjectives*p.shortestObjective))
	p.minimum[ty], p.answeredAt[ty] = min(p.typical[ty], p.minimum[ty]), now
}

// decay is what is left of a running sum after a span.
func (p *latencies) decay(span time.Duration) float64 {
	return math.Exp(-float64(span) / float64(decayObjectives*p.shortestObjective))
}

// decayingMean is a running sum and its count; what is older counts less and less.
type decayingMean struct {
	sum, n float64
	at     time.Duration
}

func (l *decayingMean) add(now time.Duration, x float64, p *latencies) {
	f := p.decay(now - l.at)
	l.sum, l.n, l.at = l.sum*f+x, l.n*f+1, now
}

// mean is drawn to what is known at large, as if so many answers had said it: one of its own is no verdict.
func (l *decayingMean) mean(now time.Duration, many, large float64, p *latencies) float64 {
	f := p.decay(now - l.at)
	return (l.sum*f + many*large) / (l.n*f + many)
}
