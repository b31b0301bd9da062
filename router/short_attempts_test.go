package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

// newHarnessWithLatency returns a harness with three servers, after reads that took the given latency.
func newHarnessWithLatency(latency time.Duration) *harness {
	o := longDeadlines()
	for i := range o.RequestTypes {
		o.RequestTypes[i].LatencyObjective = 2 * time.Second
	}
	h := withPrimary(o)
	for range 100 {
		ref := h.receive(anyRead)
		h.advance(latency)
		h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: ref, AttemptNumber: h.attempts[ref] - 1, Server: h.sentTo[ref],
			Result: routing.Succeeded, RequestFinished: true, Latency: latency})
		h.reconcile()
	}
	return h
}

// receiveAndTimeOut receives a request with the given timeout and lets its attempt time out. It returns the server that the
// request was sent to, or none.
func (h *harness) receiveAndTimeOut(timeout time.Duration) (server int) {
	server = none
	ref := h.receive(anyRead, func(in *routing.Request) { in.Timeout = timeout })
	h.advance(timeout)
	if h.attempts[ref] > 0 {
		server = h.sentTo[ref]
		h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: ref, AttemptNumber: h.attempts[ref] - 1, Server: h.sentTo[ref],
			Result: routing.TimedOut, Latency: timeout})
	}
	h.reconcile()
	return server
}

// ejectedServers returns the number of ejected servers.
func (h *harness) ejectedServers() (n int) {
	for i := range h.servers {
		if h.servers[i].ejected {
			n++
		}
	}
	return n
}

// Guards against ejecting servers, and rejecting clients with long timeouts, because other clients allow less time than
// answers take.
func TestTimeoutsShorterThanTypicalLatencyDoNotEjectServers(t *testing.T) {
	h := newHarnessWithLatency(1200 * ms)
	for range 50 {
		h.receiveAndTimeOut(600 * ms)
	}
	assert.Zero(t, h.ejectedServers())
	assert.Equal(t, 1, h.attempts[h.receive(anyRead)])
	assert.Positive(t, h.countActions("check"), "health checks detect servers that hang")
}

func TestServersThatHangAreEjectedByShortTimeoutsToo(t *testing.T) {
	h := newHarnessWithLatency(20 * ms)
	timedOut := map[int]int{}
	for range 20 {
		h.now += time.Minute // few requests are sent at the load that these timeouts cause
		if server := h.receiveAndTimeOut(600 * ms); server != none {
			timedOut[server]++
		}
	}
	assert.Positive(t, h.ejectedServers(), "600 ms without an answer, while answers take 20 ms")
	for server, n := range timedOut {
		assert.Equal(t, n > 1, h.servers[server].ejected, "server %d after %d timeouts", server, n)
	}
}

func TestTimeoutAtLatencyObjectiveCountsRegardlessOfTypicalLatency(t *testing.T) {
	h := newHarnessWithLatency(1500 * ms)
	for range 20 {
		h.now += time.Minute // few requests are sent at the load that these timeouts cause
		h.receiveAndTimeOut(2100 * ms)
	}
	assert.Positive(t, h.ejectedServers())
}

// detectionCost is the cost of a server that answers neither requests nor health checks, until it is ejected.
type detectionCost struct {
	requests int           // number sent to the server
	took     time.Duration // time until the server was ejected
}

// ejectHungServer sends requests with a timeout to three servers until the third, which hangs, is ejected, or
// until a minute has passed. The others answer after the given latency, if the timeout allows.
func ejectHungServer(latency, timeout time.Duration) (cost detectionCost) {
	const hung = 2
	h := newHarnessWithLatency(latency)
	began := h.now
	for !h.servers[hung].ejected && h.now-began < time.Minute {
		checked := h.servers[hung].checkInFlight
		ref := h.receive(anyRead, func(in *routing.Request) { in.Timeout = timeout })
		server, sent := h.sentTo[ref], h.attempts[ref] > 0
		answers := sent && server != hung && latency <= timeout
		h.advance(min(timeout, latency))
		switch {
		case answers:
			h.finish(ref, routing.Succeeded, routing.Replica, h.now)
		case sent:
			h.advance(timeout - min(timeout, latency))
			h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: ref, AttemptNumber: h.attempts[ref] - 1, Server: server, Result: routing.TimedOut, Latency: timeout})
		}
		if sent && server == hung {
			cost.requests++
		}
		for i := range h.servers {
			switch {
			case i != hung && h.servers[i].checkInFlight:
				h.reportRole(i, routing.Replica, h.now)
			case i == hung && checked:
				h.HealthCheckFinished(h.now, hung, routing.TimedOut, timeout, routing.LoadReport{})
			}
		}
		h.advance(50 * ms)
	}
	cost.took = h.now - began
	return cost
}

// Guards against a hung server that is never ejected, because no server answers within the short timeouts of the
// requests. The timeouts then trigger health checks, which detect it.
func TestHungServerAmongHealthyOnesIsEjected(t *testing.T) {
	const latency, objective = 200 * ms, 2 * time.Second
	for _, factor := range []float64{0.1, 0.5, 1, 4} {
		cost := ejectHungServer(latency, time.Duration(factor*float64(latency)))
		t.Logf("timeout of %.1f typical latencies: %d requests, %v", factor, cost.requests, cost.took)
		assert.Less(t, cost.took, 2*objective, "timeout of %.1f typical latencies", factor) // as in unresponsive
		if factor > conclusiveLatencies {
			assert.LessOrEqual(t, cost.requests, 3, "a long wait is conclusive: one timeout, one before the last answer, the second in a row")
		}
	}
}
