package router

import (
	"math"
	"time"

	"dapplerouter/routing"
)

// How long do things take here? Inputs: the latencies of answers, the types' target latencies. Invariant: every span of the other files
// is a multiple of the shortest target latency, so that no figure is fitted to a deployment.

const (
	recent = 10           // shortest target latencies that running sums look back over: a few dozen answers
	slow   = 300 * recent // in which a least latency is forgotten: longer than any trouble lasts

	firstAnswers  = 10 // of a type, as which its first estimate counts
	answersCapped = 40 // more do not count
)

// latencies knows the usual latency of each request type, and the least that it has been; the least is slowly
// forgotten, so that it means a member with little to do.
type latencies struct {
	usual, least []time.Duration
	seen, many   []time.Duration // when one was answered last, and how many were, up to where it counts
	shortest     time.Duration   // target latency of the most pressing type: the scale of every span
	tick         time.Duration   // how often held requests and silent members are looked at
}

func newLatencies(types []routing.RequestType, tick time.Duration) latencies {
	p := latencies{shortest: time.Hour}
	for _, ty := range types {
		p.shortest = min(p.shortest, ty.LatencyObjective)
		p.usual, p.least = append(p.usual, ty.LatencyObjective/4), append(p.least, ty.LatencyObjective/4)
		p.seen, p.many = append(p.seen, 0), append(p.many, 0)
	}
	p.tick = max(tick, p.shortest/10)
	return p
}

// observeLatency takes that of an answer.
func (p *latencies) observeLatency(now time.Duration, ty int, latency time.Duration) {
	p.many[ty] = min(p.many[ty]+1, answersCapped)
	p.usual[ty] += (latency - p.usual[ty]) / (firstAnswers + p.many[ty])
	p.least[ty] += time.Duration(float64(p.least[ty]) * float64(now-p.seen[ty]) / float64(slow*p.shortest))
	p.least[ty], p.seen[ty] = min(p.usual[ty], p.least[ty]), now
}

// fade is what is left of a running sum after a span.
func (p *latencies) fade(span time.Duration) float64 {
	return math.Exp(-float64(span) / float64(recent*p.shortest))
}

// decayingMean is a running sum and its count; what is older counts less and less.
type decayingMean struct {
	sum, n float64
	at     time.Duration
}

func (l *decayingMean) add(now time.Duration, x float64, p *latencies) {
	f := p.fade(now - l.at)
	l.sum, l.n, l.at = l.sum*f+x, l.n*f+1, now
}

// mean is drawn to what is known at large, as if so many answers had said it: one of its own is no verdict.
func (l *decayingMean) mean(now time.Duration, many, large float64, p *latencies) float64 {
	f := p.fade(now - l.at)
	return (l.sum*f + many*large) / (l.n*f + many)
}
