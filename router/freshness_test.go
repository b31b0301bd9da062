package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestLoadReportAgeIsSubtractedFromPositions(t *testing.T) {
	o := testDeployment()
	o.Replication = routing.Replication{StalenessCheck: routing.RejectIfStale, LoadInResponses: true}
	h := newHarness(o).withGroup(3)
	h.receive(anyRead)
	answers := func(server int, role routing.Role, reported time.Duration) {
		h.servers[server].inFlight++
		h.AttemptFinished(h.now, routing.AttemptOutcome{Ref: routing.RequestRef{}, Server: server, Result: routing.Succeeded, Role: role, Latency: 30 * ms,
			Load: routing.LoadReport{Role: role, Position: reported, HasPosition: true}})
	}
	for range 20 { // all reports are three seconds old
		h.advance(100 * ms)
		answers(0, routing.Primary, h.now-3*time.Second)
		answers(1, routing.Replica, h.now-3*time.Second)
		answers(2, routing.Replica, h.now-5*time.Second)
	}
	assert.InDelta(t, 3*time.Second, h.reportAge, float64(50*ms))
	assert.Less(t, h.now-h.estimatedPosition(&h.servers[1], h.now), 100*ms, "the report is old, but the server is not behind")
	assert.Greater(t, h.now-h.estimatedPosition(&h.servers[2], h.now), time.Second, "this server is behind")
	h.receive(boundedRead)
	assert.Equal(t, "send 2 to 1", h.lastAction("send"))
}
