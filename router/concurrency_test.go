package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestFewInstancesDoNotLeaveSlowServerIdle(t *testing.T) {
	for fronts, want := range map[int]int{1: 4, 2: 2, 3: 2, 4: 1, 9: 1} {
		o := testDeployment()
		o.Topology.FleetSize = fronts
		h := newHarness(o).withGroup(1)
		h.servers[0].limit = 0.1
		for range 9 {
			h.receive(write)
		}
		assert.Equal(t, want, h.countActions("send"), "%d fronts", fronts)
	}
}

func TestLateAnswersReduceConcurrencyLimit(t *testing.T) {
	o := testDeployment()
	o.Topology.FleetSize = 4
	h := newHarness(o).withGroup(1)
	for range 20 {
		h.advance(100 * ms)
		r := h.receive(write)
		if h.attempts[r] > 0 {
			h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: r, Result: routing.Succeeded, RequestFinished: true, Latency: 500 * ms})
			h.reconcile()
		}
	}
	assert.Less(t, h.servers[0].limit, 1.0)
	h.now += time.Minute // the load has decayed, but not the limit
	h.receive(write)
	n := h.countActions("send")
	h.receive(write)
	assert.Equal(t, n, h.countActions("send"))
}

func TestLoadEstimateIsDrawnTowardsGroupAndFleet(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(4)
	s := &h.servers[2]
	h.observeLoad(0, s, maxLoad)
	assert.Less(t, h.loadEstimate(0, s), overloadedLoad, "one answer is little evidence")
	for range 30 {
		h.observeLoad(0, &h.servers[3], maxLoad)
	}
	assert.Greater(t, h.loadEstimate(0, s), overloadedLoad, "the load of the overloaded group counts for a server with few answers")
}

// The latency objective is 600 ms and the minimum latency is a quarter of it. An answer is late from a quarter of the
// way between them.
func TestAbandonedAttemptCountsByItsWaitingTime(t *testing.T) {
	for waited, want := range map[time.Duration]struct{ load, limit float64 }{
		0:               {load: 0, limit: initialLimit},
		260 * ms:        {load: 0, limit: initialLimit},
		270 * ms:        {load: 1.8, limit: initialLimit * failureReduction},
		600 * ms:        {load: objectiveLoad, limit: initialLimit * failureReduction},
		1900 * ms:       {load: maxLoad, limit: initialLimit * failureReduction},
		1 * time.Minute: {load: maxLoad, limit: initialLimit * failureReduction},
	} {
		t.Run(waited.String(), func(t *testing.T) {
			h := newHarness(testDeployment()).withGroup(1)
			ref := h.receive(write)
			h.advance(waited)
			h.ClientGone(h.now, ref)
			assert.InDelta(t, want.load, h.servers[0].load.sum, 1e-9)
			assert.InDelta(t, want.limit, h.servers[0].limit, 1e-9)
		})
	}
}

// The typical latency is 150 ms, a quarter of the latency objective, since nothing has been answered yet.
func TestTimeoutBeyondTypicalLatencyCountsAsMaximumLoad(t *testing.T) {
	for waited, want := range map[time.Duration]struct{ load, limit float64 }{
		ms:              {load: 0, limit: initialLimit},
		150 * ms:        {load: 0, limit: initialLimit},
		151 * ms:        {load: maxLoad, limit: initialLimit * failureReduction},
		600 * ms:        {load: maxLoad, limit: initialLimit * failureReduction},
		1 * time.Minute: {load: maxLoad, limit: initialLimit * failureReduction},
	} {
		t.Run(waited.String(), func(t *testing.T) {
			h := newHarness(testDeployment()).withGroup(1)
			h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.TimedOut, Latency: waited}, write)
			assert.InDelta(t, want.load, h.servers[0].load.sum, 1e-9)
			assert.InDelta(t, want.limit, h.servers[0].limit, 1e-9)
		})
	}
}
