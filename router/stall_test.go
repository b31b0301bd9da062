package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestOutcomesAfterStallAreHeldAgainstNoServer(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(1)
	for range 3 {
		h.advance(100 * ms)
		h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, anyRead)
	}
	a, b := h.receive(anyRead), h.receive(anyRead)
	limit, answers := h.servers[0].limit, h.servers[0].load.n
	h.now += 5 * time.Second // without a tick
	h.TimerFired(h.now)      // the timer comes before the outcomes of the meantime
	assert.False(t, h.servers[0].ejected, "the server was not unresponsive")
	h.finish(a, routing.TimedOut, routing.UnknownRole, 0)
	h.ClientGone(h.now, b)
	h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 5 * time.Second}, anyRead)
	assert.Equal(t, limit, h.servers[0].limit)
	assert.Equal(t, answers, h.servers[0].load.n)
	h.advance(100 * ms)
	h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 600 * ms}, anyRead)
	assert.Less(t, h.servers[0].limit, limit, "later outcomes count again")
}
