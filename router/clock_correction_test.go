package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

// Guards against positions that stay wrong after a clock error. An instance whose clock was an hour off at its start
// learns this from a primary's answer. The reported times are corrected and still count.
func TestClockCorrectionMovesReportedTimes(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, time.Hour} {
		h := newHarness(testDeployment()).withGroup(3)
		h.now = time.Minute
		h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, HasStartTime: true, StartedAt: h.now + off - time.Second})
		h.observeRole(0, roleStatement{role: routing.Primary, position: h.now + off, hasPosition: true, madeFrom: h.now})
		h.servers[2].observe(h.now, h.now+off-50*ms, 0)
		h.recordWrite(77, h.group(0), h.now+off-20*ms)
		h.ClockCorrected(h.now, -off)
		assert.Equal(t, h.now-time.Second, h.servers[1].startedAt)
		assert.True(t, h.servers[1].warmingUp, "the server has just started")
		assert.Equal(t, h.now-50*ms+min(off, 0), h.servers[2].appliedPosition, "never corrected to be newer")
		assert.Equal(t, min(h.now, h.now-20*ms+max(off, 0)), h.requiredPosition(h.now, &routing.Request{Session: 77}, h.group(0)), "never corrected to require less")
		h.observeRole(1, roleStatement{role: routing.Primary, position: h.now + ms, hasPosition: true, madeFrom: h.now + ms})
		assert.Equal(t, 1, h.group(0).primary, "the next claim is newer")
		assert.Equal(t, never, h.servers[1].appliedPosition, "an unknown position stays unknown")
	}
}

// Guards against a correction of times that this instance measured by its own clock, and against a warm server that
// warms up again because of a start long ago.
func TestClockCorrectionKeepsLocalMeasurements(t *testing.T) {
	h := newHarness(testDeployment()).withGroup(2)
	h.now = time.Minute
	h.beginSlowStart(h.now, &h.servers[0], h.now-time.Second)
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, HasStartTime: true, StartedAt: h.now - 30*time.Second})
	h.ClockCorrected(h.now, -time.Hour)
	assert.Equal(t, h.now-time.Second, h.servers[0].startedAt)
	assert.True(t, h.servers[0].warmingUp)
	assert.False(t, h.servers[1].warmingUp)
	h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, HasStartTime: true, StartedAt: h.now + time.Hour})
	assert.Equal(t, 0.2, h.capacityShare(h.now, &h.servers[1]), "a start in the future counts as a start now")
}
