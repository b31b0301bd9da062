package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"dapplerouter/discovery"
	"dapplerouter/routing"
)

const epochMillis = 1_000_000 // Unix milliseconds at which the clocks of these tests are thought to start

func newTestClock() *wallClock { return &wallClock{epoch: time.UnixMilli(epochMillis)} }

func TestWallClockFirstObservation(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		l := newTestClock()
		observed := int64(epochMillis) + (off + 40*ms).Milliseconds()
		assert.Equal(t, -off-10*ms, l.observePresent(observed, 30*ms, 50*ms), "the earliest moment that it can have been")
		assert.True(t, l.confirmed)
		assert.Equal(t, 30*ms, l.at(observed))
		assert.Zero(t, l.observePresent(observed+100, 120*ms, 150*ms), "a consistent observation moves nothing")
	}
}

func TestWallClockConsistentObservation(t *testing.T) {
	l := newTestClock()
	assert.Zero(t, l.observePresent(epochMillis+40, 30*ms, 50*ms))
	assert.Zero(t, l.observePresent(epochMillis+35, 45*ms, 50*ms), "within the slack of clocks")
	assert.True(t, l.confirmed)
}

func TestWallClockContradictionNeedsQuorum(t *testing.T) {
	l := newTestClock()
	l.observePresent(epochMillis+40, 30*ms, 50*ms)
	assert.Zero(t, l.observePresent(epochMillis+90_000, 60*ms, 70*ms), "it may be corrupt")
	assert.Zero(t, l.observePresent(epochMillis+90, 80*ms, 100*ms))
	assert.Zero(t, l.observePresent(epochMillis+90_000, 100*ms, 110*ms), "not in a row with the one before")
	assert.Zero(t, l.observePresent(epochMillis-90_000, 110*ms, 120*ms), "two that contradict each other")
	assert.Zero(t, l.observePresent(epochMillis+90_000, 120*ms, 130*ms))
	assert.Zero(t, l.observePresent(epochMillis+90_010, 130*ms, 140*ms))
	assert.NotZero(t, l.observePresent(epochMillis+90_020, 140*ms, 150*ms))
	assert.InDelta(t, float64(140*ms), float64(l.at(epochMillis+90_020)), float64(20*ms))
}

func TestWallClockStartTimeInFuture(t *testing.T) {
	l := newTestClock()
	assert.Zero(t, l.observePast(epochMillis-100, 5*ms))
	assert.Equal(t, 5*ms-time.Hour, l.observePast(epochMillis+time.Hour.Milliseconds(), 5*ms))
	assert.Equal(t, 5*ms, l.at(epochMillis+time.Hour.Milliseconds()))
	l.observePresent(epochMillis+time.Hour.Milliseconds()+20, 20*ms, 30*ms)
	assert.Zero(t, l.observePast(epochMillis+2*time.Hour.Milliseconds(), 40*ms), "one endpoint moves nothing then")
}

// Whatever is observed, the shift is what times move by, and the time that moved them lies within its observation.
func TestWallClockShiftMatchesMovement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestClock()
		for range rapid.IntRange(1, 20).Draw(t, "observations") {
			from := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "from")) * ms
			until := from + time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*ms
			observed := int64(epochMillis + rapid.IntRange(-7_200_000, 7_200_000).Draw(t, "observed"))
			before := l.at(epochMillis)
			shift := l.observePresent(observed, from, until)
			assert.Equal(t, l.at(epochMillis), before+shift)
			if shift != 0 {
				assert.GreaterOrEqual(t, l.at(observed), from-clockSlack)
				assert.LessOrEqual(t, l.at(observed), until+clockSlack)
			}
		}
	})
}

// Until the present is confirmed no replica's position counts.
func TestClockCorrectionReachesRouterAndPools(t *testing.T) {
	c, m, w := newTestCore(t)
	c.wall.confirmed = false
	receiveAndStart(t, c, m, w)
	w.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: successResult()})
	c.batch(30 * ms)
	assert.False(t, m.outcomes[0].HasPosition, "a replica's is ignored until the present is confirmed")
	m.requests = nil
	r := receive(t, c, w, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=100,cluster=9 */")
	m.onReconcile = func(m *fakeRouter) { m.StartAttempt(r.ref, 0, 0) }
	c.batch(40 * ms)
	w.begin(t, 1)
	a := successResult()
	a.Role, a.AppliedMillis = "primary", 1_000_045+time.Hour.Milliseconds()
	c.Post(&AttemptFinished{Attempt: w.sent[1], Answer: a})
	c.batch(50 * ms)
	assert.Equal(t, -time.Hour-5*ms, m.clockShift)
	assert.Equal(t, 40*ms, m.outcomes[1].Position)
	assert.Equal(t, time.Duration(0), c.uptime(1_000_055+time.Hour.Milliseconds()))
	assert.Equal(t, time.Hour+555*ms, c.uptime(999_500))
	c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{{Name: "s-1", Address: "x", Zone: "a", Group: 9, StartedAtMillis: 1_000_000 + time.Hour.Milliseconds()}}}})
	c.batch(60 * ms)
	assert.Equal(t, -5*ms, m.endpoints[len(m.endpoints)-1].StartedAt)
}

func TestReplicaPositionInFutureIsIgnored(t *testing.T) {
	c, m, w := newTestCore(t)
	receiveAndStart(t, c, m, w)
	w.begin(t, 0)
	a := successResult()
	a.AppliedMillis += 3_600_000
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: a})
	c.batch(30 * ms)
	assert.False(t, m.outcomes[0].HasPosition)
}

// Where the servers' clocks are stepped by less than a replica lags, its position looks fresher by the step and yet lies in the past. The
// first response of a primary behind the step contradicts what is known; the step is believed behind the third only, and until then
// replicas' positions counted as before: a read with a bound could be as much older than it.
func TestReplicaPositionsDoNotCountWhilePrimariesContradictTheClock(t *testing.T) {
	l := newTestClock()
	l.observePresent(epochMillis+40, 30*ms, 50*ms)
	const replica, primary = 100 * ms, 150 * ms
	assert.True(t, l.trusts(routing.Replica, replica, 150*ms))
	for n := range correctionQuorum {
		at := time.Duration(200+10*n) * ms
		shift := l.observePresent(epochMillis+500+at.Milliseconds(), at-5*ms, at)
		if n < correctionQuorum-1 {
			assert.Zero(t, shift)
			assert.False(t, l.trusts(routing.Replica, replica, at), "behind %d responses that contradict", n+1)
			assert.True(t, l.trusts(routing.Primary, primary, at))
		}
	}
	assert.True(t, l.trusts(routing.Replica, replica, 300*ms), "the step is known")
	l.observePresent(epochMillis+90_000, 300*ms, 310*ms)
	assert.False(t, l.trusts(routing.Replica, replica, 310*ms))
	at := l.at(epochMillis + 500 + 320)
	l.observePresent(epochMillis+500+320, at-5*ms, at+5*ms)
	assert.True(t, l.trusts(routing.Replica, replica, at), "one corrupt response holds nothing up for longer than the next")
}
