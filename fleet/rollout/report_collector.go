package rollout

import (
	"maps"
	"time"

	"dapplerouter/fleet"
)

// reportCollector requests all fronts' reports from the fleet's leader, and holds its latest answer.
type reportCollector struct {
	latest      map[string]fleet.MemberReport // by front
	receivedAt  time.Duration                 // 0 before the first answer
	unevaluated bool                          // the latest answer has not been evaluated yet
	proof       *leaseProof

	pending     uint64 // id of the request that waits for its answer, 0 for none
	requestedAt time.Duration
}

// request requests reports, at most once in an interval and one request at a time.
func (c *reportCollector) request(now time.Duration, n *fleet.Node, interval time.Duration) {
	if c.pending == 0 && now-c.requestedAt >= interval {
		c.pending, c.requestedAt = n.CollectDigests(now, Subsystem), now
	}
}

// requestDone handles the answer. If the request failed, the previous answer is kept.
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
	c.proof.add(digestResponse{term: e.LeaderTerm, requestedAt: c.requestedAt, receivedAt: now, reports: maps.Clone(c.latest)})
}

// recent reports whether there is an answer that is not older than maxAge.
func (c *reportCollector) recent(now, maxAge time.Duration) bool {
	return c.receivedAt != 0 && now-c.receivedAt <= maxAge
}
