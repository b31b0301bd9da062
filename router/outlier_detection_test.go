package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestUnresponsiveServerIsEjectedAndItsRequestsRetried(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(2)
	w := h.receive(write)
	h.advance(900 * ms)
	assert.Zero(t, h.countActions("cancel"), "a single attempt may be lost or long")
	h.receive(write)
	h.receive(write)
	h.advance(900 * ms)
	assert.Equal(t, 3, h.countActions("cancel"))
	assert.Equal(t, 3, h.countActions("send"), "no second attempt while the first is in flight")
	h.finish(w, routing.Cancelled, routing.UnknownRole, 0)
	h.reportRole(1, routing.Primary, h.now)
	assert.Equal(t, "send 1 to 1", h.lastAction("send"))
}

func TestSaturatedServerIsNotUnresponsive(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(2)
	h.receive(write)
	h.receive(write)
	for range 20 {
		h.servers[0].load.add(h.now, maxLoad, &h.latencies)
	}
	h.advance(900 * ms)
	assert.Equal(t, 2, h.servers[0].inFlight)
	assert.Zero(t, h.countActions("cancel"))
}

func TestFastFailingServerDrawsNoTraffic(t *testing.T) {
	for _, result := range []routing.AttemptResult{routing.Overloaded, routing.ServerError, routing.Unreachable} {
		h := newHarness(testDeployment()).withGroup(3)
		n := 0
		for range 200 {
			h.now += 5 * ms
			r := h.receive(anyRead)
			for h.attempts[r] > 0 && h.slots[r.Slot].sentTo != none {
				if h.sentTo[r] == 2 {
					n++
					h.finish(r, result, routing.UnknownRole, 0)
				} else {
					h.finish(r, routing.Succeeded, routing.Replica, 0)
				}
			}
		}
		assert.Less(t, n, 40, "%v", result)
	}
}

func TestErrorsAtAllServersPenalizeNone(t *testing.T) {
	for _, faulty := range []int{none, 2} { // none: half of all attempts fail; 2: all attempts at server 2 fail
		h := newHarness(testDeployment()).withGroup(4)
		for k := range 400 {
			result := routing.Succeeded
			if faulty == none && k/4%2 == 0 || k%4 == faulty {
				result = routing.ServerError
			}
			h.observeOutcome(h.now, routing.AttemptOutcome{Server: k % 4, Result: result, Latency: 10 * ms}, anyRead)
		}
		assert.Equal(t, faulty == 2, h.servers[2].limit < 1)
		if faulty == 2 {
			assert.Zero(t, h.servers[2].load.n, "a fast failure is no load: the server is still used if there is no other")
			assert.Greater(t, h.cost(h.now, &h.servers[2]), 10*h.cost(h.now, &h.servers[0]), "another server is preferred")
		}
		assert.GreaterOrEqual(t, h.servers[1].limit, 1.0)
	}
}

func TestConnectionFailureWhileAnsweringDoesNotEject(t *testing.T) {
	for _, result := range []routing.AttemptResult{routing.ConnectionLost, routing.Unreachable} {
		h := newHarness(testDeployment()).withGroup(2)
		h.now = time.Minute
		h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, write)
		h.observeOutcome(h.now+100*ms, routing.AttemptOutcome{Result: result, Latency: 250 * ms}, write)
		assert.False(t, h.servers[0].ejected, "the server answered during this attempt")
		h.now += time.Second
		h.observeOutcome(h.now, routing.AttemptOutcome{Result: result, Latency: 250 * ms}, write)
		assert.False(t, h.servers[0].ejected, "a single connection to a healthy server may fail")
		assert.Equal(t, "check 0", h.lastAction("check"))
		h.observeOutcome(h.now, routing.AttemptOutcome{Result: result, Latency: 250 * ms}, write)
		assert.True(t, h.servers[0].ejected, "the second failure in a row")
		h.reportRole(0, routing.Primary, h.now)
		h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, write)
		assert.False(t, h.servers[0].warmingUp, "the health check found the server running, so it did not restart")
	}
}

func TestSecondConsecutiveTimeoutEjects(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(1)
	out := routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}
	h.advance(time.Second)
	h.observeOutcome(h.now, out, anyRead)
	assert.False(t, h.servers[0].ejected)
	assert.Equal(t, 1, h.countActions("check"))
	h.advance(time.Second)
	h.observeOutcome(h.now, out, anyRead)
	assert.True(t, h.servers[0].ejected)
}

func TestLostAnswerDoesNotReduceConcurrencyLimit(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(1)
	h.advance(time.Second)
	h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.Succeeded, Latency: 20 * ms}, anyRead)
	limit := h.servers[0].limit
	h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}, anyRead)
	assert.Equal(t, limit, h.servers[0].limit, "a later attempt was answered quickly")
	h.advance(time.Second)
	h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}, anyRead)
	assert.Less(t, h.servers[0].limit, limit)
	limit = h.servers[0].limit
	h.advance(10 * time.Second)
	h.reportRole(0, routing.Primary, h.now)
	h.observeOutcome(h.now+100*ms, routing.AttemptOutcome{Result: routing.TimedOut, Latency: 800 * ms}, anyRead)
	assert.Equal(t, limit, h.servers[0].limit, "by the server's own report nothing is in flight")
}

func TestProbablyLostAttemptIsRetriedOnceAtLossyServer(t *testing.T) {
	for _, lossRate := range []float64{0, 0.2} {
		h := newHarness(testDeployment()).withGroup(2)
		w := h.receive(write)
		h.servers[0].lossRate, h.servers[0].fastAnswerSentAt = lossRate, 10*ms
		h.servers[0].waitingSince = time.Hour // the server answers others
		h.advance(700 * ms)
		if lossRate == 0 {
			assert.Zero(t, h.countActions("cancel"))
			continue
		}
		assert.Equal(t, "cancel 1.0", h.lastAction("cancel"))
		h.finish(w, routing.Cancelled, routing.UnknownRole, 0)
		assert.Equal(t, 2, h.countActions("send"))
		h.servers[0].waitingSince, h.servers[0].fastAnswerSentAt = time.Hour, time.Hour
		h.advance(700 * ms)
		assert.Equal(t, 1, h.countActions("cancel"), "cancelled only once")
	}
}

func TestServerErrorsDoNotCountAsLost(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(1)
	for range 50 {
		h.observeOutcome(h.now, routing.AttemptOutcome{Result: routing.ServerError, Latency: ms}, anyRead)
	}
	assert.Zero(t, h.servers[0].lossRate, "otherwise attempts of four times the minimum latency would be cancelled")
}

func TestServerThatAnswersHealthChecksButRefusesConnectionsIsNotEjected(t *testing.T) {
	o := testDeployment()
	o.Topology.TickInterval = 50 * ms
	h := newHarness(o).withGroup(1)
	h.advance(time.Second)
	budgetBefore := h.retryBudget
	for range 20 {
		w := h.receive(write)
		h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: w, AttemptNumber: h.attempts[w] - 1, Result: routing.Unreachable, Latency: 2 * ms})
		h.reconcile()
		h.reportRole(0, routing.Primary, h.now)
		h.advance(2 * h.tickInterval)
		h.finish(w, routing.Succeeded, routing.Primary, h.now)
	}
	assert.False(t, h.servers[0].ejected)
	assert.LessOrEqual(t, h.countActions("check"), 8, "a server that answered within a latency objective is not checked again")
	assert.Equal(t, 40, h.countActions("send"), "each request is retried after a pause")
	assert.GreaterOrEqual(t, h.retryBudget, budgetBefore, "a refused connection was no work for the server")
}
