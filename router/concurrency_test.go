package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestFewInstancesDoNotLeaveSlowServerIdle(t *testing.T) {
	for fronts, want := range map[int]int{1: 4, 2: 2, 3: 2, 4: 1, 9: 1} {
		p := testDeployment()
		p.Topology.FleetSize = fronts
		h := newHarness(p).withGroup(1)
		h.servers[0].limit = 0.1
		for range 9 {
			h.receive(write)
		}
		assert.Equal(t, want, h.countActions("send"), "%d fronts", fronts)
	}
}

func TestLateAnswersReduceConcurrencyLimit(t *testing.T) {
	p := testDeployment()
	p.Topology.FleetSize = 4
	h := newHarness(p).withGroup(1)
	for range 20 {
		h.advance(100 * ms)
		r := h.receive(write)
		if h.attempts[r] > 0 {
			h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: r, Result: routing.Succeeded, RequestFinished: true, Latency: 500 * ms})
			h.reconcile()
		}
	}
	assert.Less(t, h.servers[0].limit, 1.0)
	h.now += time.Minute // the load has decayed, the limit has not
	h.receive(write)
	n := h.countActions("send")
	h.receive(write)
	assert.Equal(t, n, h.countActions("send"))
}

func TestLoadEstimateIsDrawnTowardsGroupAndFleet(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(4)
	m := &h.servers[2]
	h.observeLoad(0, m, maxLoad)
	assert.Less(t, h.loadEstimate(0, m), overloadedLoad, "one answer says little")
	for range 30 {
		h.observeLoad(0, &h.servers[3], maxLoad)
	}
	assert.Greater(t, h.loadEstimate(0, m), overloadedLoad, "a whole overloaded group counts for the server without answers")
}

func TestClientGoneAndTimeoutCountAsMaximumLoad(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(1)
	h.ClientGone(h.now, h.receive(write))
	assert.Equal(t, maxLoad, h.servers[0].load.sum)
	h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.TimedOut, Latency: ms}, write)
	assert.Equal(t, 2*maxLoad, h.servers[0].load.sum)
}
