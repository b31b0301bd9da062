package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestUnsentWriteIsRejectedAtHalfItsTimeoutWithRetryAfter(t *testing.T) {
	for name, why := range map[string]func(*harness){
		"no primary is known":      func(*harness) {},
		"the primary is saturated": func(h *harness) { h.reportRole(0, routing.Primary, 0); h.servers[0].inFlight = 9 },
	} {
		t.Run(name, func(t *testing.T) {
			p := testDeployment()
			p.Topology.RoleListing = routing.RolesNotListed
			h := newHarness(p).withGroup(3)
			why(h)
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
	p := testDeployment()
	p.Topology.RetriesMarked, p.RequestTypes[anyRead].LateFraction = true, 0.5
	h := newHarness(p).withGroup(1)
	h.servers[0].inFlight = 9
	h.receive(anyRead, func(in *routing.Request) { in.Retry, in.Timeout = true, 120*ms })
	h.advance(15 * ms)
	assert.Zero(t, h.countActions("reject"))
	h.advance(25 * ms)
	assert.Equal(t, 1, h.countActions("reject"), "long before its latency objective or its deadline")
}

func TestRequestPastLatencyObjectiveIsRejectedAtOnceWhenLateIsWorthNothing(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(2)
	for range 20 {
		h.finish(h.receive(anyRead), routing.Succeeded, routing.Replica, 0)
	}
	n := h.countActions("send")
	h.receive(anyRead, func(in *routing.Request) { in.Timeout = 560 * ms })
	assert.Equal(t, n, h.countActions("send"), "240 ms of its deadline have passed, and its latency objective is 200 ms")
	assert.Equal(t, 1, h.countActions("reject"))
}

func TestIdempotencyKeyRetryStaysWithinDedupWindow(t *testing.T) {
	p := testDeployment()
	p.RequestTypes[write].DedupWindow = time.Second
	h := newHarness(p).withGroup(3)
	w := h.receive(write)
	h.fail(w, routing.ConnectionLost)
	h.advance(500 * ms)
	h.reportRole(1, routing.Primary, h.now)
	assert.Equal(t, "send 1 to 1", h.lastAction("send"), "within the window it goes on")
	h.advance(210 * ms)
	h.fail(w, routing.ConnectionLost)
	h.advance(600 * ms)
	h.reportRole(2, routing.Primary, h.now)
	assert.Equal(t, 4, h.countActions("send"), "past it there is none")
	assert.Equal(t, "fail 1", h.lastAction("fail"))
	assert.Zero(t, h.countActions("reject"))
}

func TestZoneScopedIdempotencyKeyIsNotRetried(t *testing.T) {
	p := testDeployment()
	p.RequestTypes[write].DedupScope = routing.ScopeZone
	h := newHarness(p).withGroup(3)
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
	h := newHarness(testDeployment()) // no server at all
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
	p := testDeployment()
	p.Topology.RoleListing = routing.RolesNotListed
	h := newHarness(p).withGroup(4)
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
	p := testDeployment()
	p.Limits.MaxRetryAfter = 0
	h := newHarness(p).withGroup(4)
	r := h.receive(anyRead)
	h.finish(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 2, h.attempts[r], "one error may be the server's fault")
	h.finish(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 2, h.attempts[r])
	assert.Equal(t, "reject 1, retry after 0s", h.lastAction("reject"))
	h.errorRate = 0.3
	r = h.receive(anyRead)
	h.finish(r, routing.ServerError, routing.Replica, 0)
	assert.Equal(t, 1, h.attempts[r], "where errors are common the first is enough")
}
