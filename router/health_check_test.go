package router

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

func TestHealthChecksAreSentForCauseOnly(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(4)
	for range 500 {
		h.now += 10 * ms
		h.finish(h.receive(anyRead), routing.Succeeded, routing.Replica, 0)
	}
	assert.Zero(t, h.countActions("check"), "answers provide enough information")
	h.eject(h.now, 3)
	for range 500 {
		h.advance(20 * ms)
		if h.servers[3].checkInFlight {
			h.HealthCheckFinished(h.now, 3, routing.TimedOut, ms, routing.LoadReport{})
		}
	}
	assert.LessOrEqual(t, h.countActions("check"), 8, "an ejected server is checked with a backoff")
	assert.Positive(t, h.countActions("check 3"))
}

// Guards against an unknown clock offset: if start times are listed, one primary is checked until one has reported its
// position.
func TestPrimaryIsCheckedForItsClockWhenStartTimesAreListed(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(3)
	assert.Zero(t, h.countActions("check"), "no start time is listed")
	start := routing.Endpoint{Server: 2, HasStartTime: true, StartedAt: h.now}
	h.updateEndpoints(routing.Delta, start)
	assert.Equal(t, "check 0", h.lastAction("check"))
	h.updateEndpoints(routing.Delta, start)
	assert.Equal(t, 1, h.countActions("check"), "one check at a time")
	h.HealthCheckFinished(h.now, 0, routing.NotSent, ms, routing.LoadReport{})
	h.updateEndpoints(routing.Delta, start)
	assert.Equal(t, 2, h.countActions("check"), "the primary is checked again")
	h.reportRole(0, routing.Primary, h.now)
	h.updateEndpoints(routing.Delta, start)
	assert.Equal(t, 2, h.countActions("check"), "the primary has reported its position")
}
