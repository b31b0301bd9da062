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
		y := tell(t, littleSite()).group(3)
		y.now = time.Minute
		y.list(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, HasStartTime: true, StartedAt: y.now + off - time.Second})
		y.claims(y.now, 0, routing.Primary, y.now+off, true)
		y.members[2].observe(y.now, y.now+off-50*ms, 0)
		y.recordWrite(77, y.Router.group(0), y.now+off-20*ms)
		y.ClockCorrected(y.now, -off)
		assert.Equal(t, y.now-time.Second, y.members[1].started)
		assert.True(t, y.members[1].cold, "it has just started")
		assert.Equal(t, y.now-50*ms+min(off, 0), y.members[2].pos, "never taken to be newer")
		assert.Equal(t, min(y.now, y.now-20*ms+max(off, 0)), y.needs(y.now, &routing.Request{Session: 77}, y.Router.group(0)), "never to need less")
		y.claims(y.now+ms, 1, routing.Primary, y.now+ms, true)
		assert.Equal(t, 1, y.Router.group(0).primary, "the next claim is the newer one")
		assert.Equal(t, never, y.members[1].pos, "what is not known stays so")
	}
}

// What this instance measured by its own clock stays, and a member that is warm becomes no cold one by a start long ago.
func TestWhatWasMeasuredHereStaysWhenTimesMove(t *testing.T) {
	y := tell(t, littleSite()).group(2)
	y.now = time.Minute
	y.beginSlowStart(y.now, &y.members[0], y.now-time.Second)
	y.list(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, HasStartTime: true, StartedAt: y.now - 30*time.Second})
	y.ClockCorrected(y.now, -time.Hour)
	assert.Equal(t, y.now-time.Second, y.members[0].started)
	assert.True(t, y.members[0].cold)
	assert.False(t, y.members[1].cold)
	y.list(routing.Delta, routing.Endpoint{Server: 1, Zone: 1, HasStartTime: true, StartedAt: y.now + time.Hour})
	assert.Equal(t, 0.2, y.capacityShare(y.now, &y.members[1]), "a start ahead of the clock has come no further than its beginning")
}

// Where the list tells of starts, one primary is asked for the present until one has told it; nobody is asked for nothing.
func TestAPrimaryIsAskedForThePresentWhereStartsAreTold(t *testing.T) {
	y := tell(t, littleSite()).group(3)
	assert.Zero(t, y.count("probe"), "no start is told")
	start := routing.Endpoint{Server: 2, HasStartTime: true, StartedAt: y.now}
	y.list(routing.Delta, start)
	assert.Equal(t, "probe 0", y.last("probe"))
	y.list(routing.Delta, start)
	assert.Equal(t, 1, y.count("probe"), "one at a time")
	y.HealthCheckFinished(y.now, 0, routing.NotSent, ms, routing.LoadReport{})
	y.list(routing.Delta, start)
	assert.Equal(t, 2, y.count("probe"), "it is asked again")
	y.knows(0, routing.Primary, y.now)
	y.list(routing.Delta, start)
	assert.Equal(t, 2, y.count("probe"), "it has told")
}
