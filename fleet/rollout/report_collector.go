package rollout

import (
	"maps"
	"time"

	"dapplerouter/fleet"
)

// reportCollector asks the fleet's leader for all fronts' reports, and has its latest answer.
type reportCollector struct {
	latest      map[string]fleet.MemberReport // by front
	receivedAt  time.Duration                 // 0 for no answer so far
	unevaluated bool                          // received since the stage was evaluated last
	proof       *leaseProof

	pending     uint64 // id of the request that is under way, 0 for none
	requestedAt time.Duration
}

// request asks for reports, once an interval.
func (c *reportCollector) request(now time.Duration, n *fleet.Node, interval time.Duration) {
	if c.pending == 0 && now-c.requestedAt >= interval {
		c.pending, c.requestedAt = n.CollectDigests(now, Part), now
	}
}

// requestDone handles the answer; one that failed leaves the reports before it.
func (c *reportCollector) requestDone(now time.Duration, e fleet.RequestDone) {
	c.pending = 0
	if e.Error != "" {
		return
	}
	clear(c.latest)
	for _, report := range e.Reports {
		c.latest[report.Front] = report
	}
	c.receivedAt, c.unevaluated = now, true
	c.proof.add(digests{term: e.LeaderTerm, requestedAt: c.requestedAt, receivedAt: now, reports: maps.Clone(c.latest)})
}

// recent reports whether the latest answer is not older than maxAge.
func (c *reportCollector) recent(now, maxAge time.Duration) bool {
	return c.receivedAt != 0 && now-c.receivedAt <= maxAge
}
