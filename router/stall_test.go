package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestOutcomesAfterStallPenalizeNoServer(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(1)
	for range 3 {
		h.advance(100 * ms)
		h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, anyRead)
	}
	a, b := h.receive(anyRead), h.receive(anyRead)
	limit, answers := h.servers[0].limit, h.servers[0].load.n
	h.now += 5 * time.Second // no tick
	h.TimerFired(h.now)      // the timer fires before the outcomes that arrived during the stall
	assert.False(t, h.servers[0].ejected, "the instance was stalled, the server was not unresponsive")
	h.finish(a, routing.TimedOut, routing.UnknownRole, 0)
	h.ClientGone(h.now, b)
	h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 5 * time.Second}, anyRead)
	assert.Equal(t, limit, h.servers[0].limit)
	assert.Equal(t, answers, h.servers[0].load.n)
	h.advance(100 * ms)
	h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 600 * ms}, anyRead)
	assert.Less(t, h.servers[0].limit, limit, "outcomes after the stall count again")
}
