package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

// An instance whose clock was an hour off at its start learns so by a primary's answer: reported times are corrected and still count.
func TestClockCorrectionMovesReportedTimes(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, time.Hour} {
		h := newHarness(testDeployment()).withGroup(3)
		h.now = time.Minute
		h.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, HasStartTime: true, StartedAt: h.now + off - time.Second})
		h.observeRole(h.now, 0, routing.Primary, h.now+off, true)
		h.servers[2].observe(h.now, h.now+off-50*ms, 0)
		h.recordWrite(77, h.group(0), h.now+off-20*ms)
		h.ClockCorrected(h.now, -off)
		assert.Equal(t, h.now-time.Second, h.servers[1].startedAt)
		assert.True(t, h.servers[1].warmingUp, "it has just started")
		assert.Equal(t, h.now-50*ms+min(off, 0), h.servers[2].appliedPosition, "never corrected to be newer")
		assert.Equal(t, min(h.now, h.now-20*ms+max(off, 0)), h.requiredPosition(h.now, &routing.Request{Session: 77}, h.group(0)), "never corrected to require less")
		h.observeRole(h.now+ms, 1, routing.Primary, h.now+ms, true)
		assert.Equal(t, 1, h.group(0).primary, "the next claim is the newer one")
		assert.Equal(t, never, h.servers[1].appliedPosition, "what is not known stays unknown")
	}
}

// What this instance measured by its own clock stays, and a warm server does not warm up again by a start long ago.
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
	assert.Equal(t, 0.2, h.capacityShare(h.now, &h.servers[1]), "a start in the future counts as one that is now")
}
