package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestUnsentWriteIsRejectedAtHalfItsTimeoutWithRetryAfter(t *testing.T) {
	for name, setUp := range map[string]func(*harness){
		"no primary is known":      func(*harness) {},
		"the primary is saturated": func(h *harness) { h.reportRole(0, routing.Primary, 0); h.servers[0].inFlight = 9 },
	} {
		t.Run(name, func(t *testing.T) {
			o := testDeployment()
			o.Topology.RoleListing = routing.RolesNotListed
			h := newHarness(o).withGroup(3)
			setUp(h)
			n := h.countActions("reject")
			h.receive(write)
			h.advance(950 * ms)
			assert.Equal(t, n, h.countActions("reject"))
			h.advance(50 * ms)
			assert.Contains(t, h.lastAction("reject"), "retry after 200ms")
			h.advance(time.Second)
			assert.Equal(t, n+1, h.countActions("reject"))
		})
	}
}

func TestUnsentRetryIsRejectedAtHalfItsTimeout(t *testing.T) {
	o := testDeployment()
	o.Topology.RetriesMarked, o.RequestTypes[anyRead].LateFraction = true, 0.5
	h := newHarness(o).withGroup(1)
	h.servers[0].inFlight = 9
	h.receive(anyRead, func(in *routing.Request) { in.Retry, in.Timeout = true, 120*ms })
	h.advance(15 * ms)
	assert.Zero(t, h.countActions("reject"))
	h.advance(25 * ms)
	assert.Equal(t, 1, h.countActions("reject"), "long before its latency objective and its deadline")
}

// Guards against rejecting a marked retry without need. The retry has 560 of the 800 ms that clients of its type
// usually allow, so its client has probably waited for 240 ms, longer than the latency objective of 200 ms. Since this
// is an inference, the retry is rejected only if it would add work to loaded servers.
func TestMarkedRetryPastLatencyObjectiveIsRejectedAtOnceByLoadedServers(t *testing.T) {
	for name, load := range map[string]float64{"idle": 1, "loaded": overloadedLoad} {
		t.Run(name, func(t *testing.T) {
			o := testDeployment()
			o.Topology.RetriesMarked = true
			h := newHarness(o).withGroup(2)
			for range 20 {
				h.finish(h.receive(anyRead), routing.Succeeded, routing.Replica, 0)
			}
			for i := range h.servers {
				for range 50 {
					h.observeLoad(h.now, &h.servers[i], load)
				}
			}
			n := h.countActions("send")
			h.receive(anyRead, func(in *routing.Request) { in.Timeout, in.Retry = 560*ms, true })
			if load > normalLoad {
				assert.Equal(t, n, h.countActions("send"))
				assert.Equal(t, 1, h.countActions("reject"))
			} else {
				assert.Equal(t, n+1, h.countActions("send"))
				assert.Zero(t, h.countActions("reject"))
			}
		})
	}
}

func TestUnusualTimeoutAloneRejectsNothingUnderLoad(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(1)
	for range 20 {
		h.finish(h.receive(anyRead), routing.Succeeded, routing.Primary, 0)
	}
	h.servers[0].inFlight = 9
	short := h.receive(anyRead, func(in *routing.Request) { in.Timeout = 560 * ms })
	h.advance(140 * ms)
	assert.Zero(t, h.countActions("reject"), "its latency objective ends in 60 ms and half of its timeout in 140 ms")
	usual := h.receive(anyRead)
	h.servers[0].inFlight = int(h.servers[0].limit)
	h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: routing.RequestRef{Slot: 1, Generation: 1}, Result: routing.Cancelled})
	h.reconcile()
	assert.Equal(t, []int{1, 0}, []int{h.attempts[usual], h.attempts[short]}, "its priority is lower than that of others")
	h.servers[0].inFlight = 0
	h.reconcile()
	assert.Equal(t, 1, h.attempts[short])
}

func TestRequestFoundAfterStallHasWaitedNoLongerThanTheStall(t *testing.T) {
	for name, stall := range map[string]time.Duration{"short": 100 * ms, "long": 300 * ms} { // the servers are loaded
		t.Run(name, func(t *testing.T) {
			h := newHarness(testDeployment()).withGroup(2)
			for range 20 {
				h.finish(h.receive(anyRead), routing.Succeeded, routing.Replica, 0)
			}
			h.advance(100 * ms)
			for i := range h.servers {
				for range 50 {
					h.observeLoad(h.now, &h.servers[i], (normalLoad+overloadedLoad)/2)
				}
			}
			h.now += stall
			h.receive(anyRead, func(in *routing.Request) { in.Timeout = 500 * ms })
			if stall > 200*ms {
				assert.Equal(t, 1, h.countActions("reject"), "it has waited 300 ms, and its latency objective is 200 ms")
			} else {
				assert.Zero(t, h.countActions("reject"), "it has waited 105 ms at most; its client uses a shorter timeout")
			}
		})
	}
}

func TestIdempotencyKeyRetryStaysWithinDedupWindow(t *testing.T) {
	o := testDeployment()
	o.RequestTypes[write].DedupWindow = time.Second
	h := newHarness(o).withGroup(3)
	w := h.receive(write)
	h.fail(w, routing.ConnectionLost)
	h.advance(500 * ms)
	h.reportRole(1, routing.Primary, h.now)
	assert.Equal(t, "send 1 to 1", h.lastAction("send"), "it is retried within the window")
	h.advance(210 * ms)
	h.fail(w, routing.ConnectionLost)
	h.advance(600 * ms)
	h.reportRole(2, routing.Primary, h.now)
	assert.Equal(t, 4, h.countActions("send"), "it is not retried after the window")
	assert.Equal(t, "fail 1", h.lastAction("fail"))
	assert.Zero(t, h.countActions("reject"))
}

// A request that another site forwards again may have run before it came here. Its window counts from then.
func TestRequestThatMayHaveRunBeforeIsSentOnlyWithinItsDedupWindow(t *testing.T) {
	o := testDeployment()
	o.RequestTypes[write].DedupWindow = time.Second
	for age, sends := range map[time.Duration]int{0: 1, 500 * ms: 1, 950 * ms: 0, 2 * time.Second: 0} {
		h := newHarness(o).withGroup(3)
		h.receive(write, func(in *routing.Request) { in.FirstRunAge = age })
		h.advance(100 * ms)
		assert.Equal(t, sends, h.countActions("send"), "%v", age)
		assert.Equal(t, 1-sends, h.countActions("fail"), "%v", age)
	}
}

func TestZoneScopedIdempotencyKeyIsNotRetried(t *testing.T) {
	o := testDeployment()
	o.RequestTypes[write].DedupScope = routing.ScopeZone
	h := newHarness(o).withGroup(3)
	h.finish(h.receive(write), routing.ConnectionLost, routing.UnknownRole, 0)
	h.advance(100 * ms)
	assert.Equal(t, 1, h.countActions("send"))
	assert.Equal(t, "fail 1", h.lastAction("fail"))
}

func TestNonIdempotentRequestIsRetriedOnlyIfItNeverRan(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	a := h.receive(nonIdempotentWrite)
	h.fail(a, routing.Unreachable)
	h.reportRole(1, routing.Primary, h.now)
	assert.Equal(t, "send 1 to 1", h.lastAction("send"))
	h.finish(a, routing.ServerError, routing.Primary, h.now)
	assert.Equal(t, "fail 1", h.lastAction("fail"))
	assert.Zero(t, h.countActions("reject"))
}

func TestUnroutableReadIsRejectedBeforeItsLatencyObjective(t *testing.T) {
	h := newHarness(testDeployment()) // no servers
	h.receive(anyRead)
	h.advance(140 * ms)
	assert.Zero(t, h.countActions("reject"))
	h.advance(40 * ms)
	assert.Equal(t, 1, h.countActions("reject"))
}

func TestSlowPeriodDoesNotShutOutRequestType(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	h.typicalLatency[anyRead] = time.Second
	h.receive(anyRead)
	assert.Equal(t, 1, h.countActions("send"))
}

func TestMisroutedReadDoesNotCircleAmongReplicas(t *testing.T) {
	o := testDeployment()
	o.Topology.RoleListing = routing.RolesNotListed
	h := newHarness(o).withGroup(4)
	h.now = time.Second
	for i := range 4 {
		h.reportRole(i, routing.Replica, 200*ms)
	}
	r := h.receive(boundedRead)
	for range 5 {
		if h.slots[r.Slot].sentTo != none {
			h.finish(r, routing.Misrouted, routing.Replica, 200*ms)
		}
	}
	assert.Equal(t, 1, h.attempts[r])
}

func TestRetriesStayShareOfFirstAttempts(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(5)
	n := 0
	for range 200 {
		h.now += 50 * ms
		r := h.receive(write)
		h.servers[0].ejected = false
		for h.attempts[r] > 0 && h.slots[r.Slot].state == pending && h.slots[r.Slot].sentTo != none {
			h.finish(r, routing.ServerError, routing.Primary, h.now)
			h.servers[0].limit = 4
		}
		n += max(0, h.attempts[r]-1)
	}
	assert.LessOrEqual(t, n, 200/5+20)
}

func TestSecondServerErrorIsRejectedAtOnceWithoutRetryAfter(t *testing.T) {
	o := testDeployment()
	o.Limits.MaxRetryAfter = 0
	h := newHarness(o).withGroup(4)
	r := h.receive(anyRead)
	h.finish(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 2, h.attempts[r], "one error may be the fault of the server")
	h.finish(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 2, h.attempts[r])
	assert.Equal(t, "reject 1, retry after 0s", h.lastAction("reject"))
	h.errorRate = 0.3
	r = h.receive(anyRead)
	h.finish(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 1, h.attempts[r], "one error is enough while errors are common")
}
