package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

// A front that started with its clock an hour off learns so by a primary's answer: what it holds moves, and goes on counting.
func TestWhatOthersDatedMovesWithTheirClock(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, time.Hour} {
		y := newHarness(t, testDeployment()).withGroup(3)
		y.now = time.Minute
		y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, HasStartTime: true, StartedAt: y.now + off - time.Second})
		y.observeRole(y.now, 0, routing.Primary, y.now+off, true)
		y.servers[2].observe(y.now, y.now+off-50*ms, 0)
		y.recordWrite(77, y.Router.group(0), y.now+off-20*ms)
		y.ClockCorrected(y.now, -off)
		assert.Equal(t, y.now-time.Second, y.servers[1].startedAt)
		assert.True(t, y.servers[1].warmingUp, "it has just started")
		assert.Equal(t, y.now-50*ms+min(off, 0), y.servers[2].applied, "never taken to be newer")
		assert.Equal(t, min(y.now, y.now-20*ms+max(off, 0)), y.requiredPosition(y.now, &routing.Request{Session: 77}, y.Router.group(0)), "never to need less")
		y.observeRole(y.now+ms, 1, routing.Primary, y.now+ms, true)
		assert.Equal(t, 1, y.Router.group(0).primary, "the next claim is the newer one")
		assert.Equal(t, never, y.servers[1].applied, "what is not known stays so")
	}
}

// What this instance measured by its own clock stays, and a member that is warm becomes no cold one by a start long ago.
func TestWhatWasMeasuredHereStaysWhenTimesMove(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(2)
	y.now = time.Minute
	y.beginSlowStart(y.now, &y.servers[0], y.now-time.Second)
	y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, HasStartTime: true, StartedAt: y.now - 30*time.Second})
	y.ClockCorrected(y.now, -time.Hour)
	assert.Equal(t, y.now-time.Second, y.servers[0].startedAt)
	assert.True(t, y.servers[0].warmingUp)
	assert.False(t, y.servers[1].warmingUp)
	y.updateEndpoints(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, HasStartTime: true, StartedAt: y.now + time.Hour})
	assert.Equal(t, 0.2, y.capacityShare(y.now, &y.servers[1]), "a start ahead of the clock has come no further than its beginning")
}

// Where the list tells of starts, one primary is asked for the present until one has told it; nobody is asked for nothing.
func TestAPrimaryIsAskedForThePresentWhereStartsAreTold(t *testing.T) {
	y := newHarness(t, testDeployment()).withGroup(3)
	assert.Zero(t, y.countActions("probe"), "no start is told")
	start := routing.Endpoint{Server: 2, HasStartTime: true, StartedAt: y.now}
	y.updateEndpoints(routing.Delta, start)
	assert.Equal(t, "probe 0", y.lastAction("probe"))
	y.updateEndpoints(routing.Delta, start)
	assert.Equal(t, 1, y.countActions("probe"), "one at a time")
	y.HealthCheckFinished(y.now, 0, routing.NotSent, ms, routing.LoadReport{})
	y.updateEndpoints(routing.Delta, start)
	assert.Equal(t, 2, y.countActions("probe"), "it is asked again")
	y.reportRole(0, routing.Primary, y.now)
	y.updateEndpoints(routing.Delta, start)
	assert.Equal(t, 2, y.countActions("probe"), "it has told")
}
