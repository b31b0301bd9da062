package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"dapplerouter/discovery"
	"dapplerouter/routing"
)

const epochMillis = 1_000_000 // Unix time in milliseconds at 0 of the core's clock in these tests

func newTestClock() *wallClock { return &wallClock{epoch: time.UnixMilli(epochMillis)} }

func TestWallClockFirstObservation(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		clock := newTestClock()
		observed := int64(epochMillis) + (off + 40*ms).Milliseconds()
		assert.Equal(t, -off-10*ms, clock.observePresent(observed, 30*ms, 50*ms), "the result uses the earliest possible time")
		assert.True(t, clock.confirmed)
		assert.Equal(t, 30*ms, clock.at(observed))
		assert.Zero(t, clock.observePresent(observed+100, 120*ms, 150*ms), "a consistent observation causes no shift")
	}
}

func TestWallClockConsistentObservation(t *testing.T) {
	clock := newTestClock()
	assert.Zero(t, clock.observePresent(epochMillis+40, 30*ms, 50*ms))
	assert.Zero(t, clock.observePresent(epochMillis+35, 45*ms, 50*ms), "the difference is within clockSlack")
	assert.True(t, clock.confirmed)
}

func TestWallClockContradictionNeedsQuorum(t *testing.T) {
	clock := newTestClock()
	clock.observePresent(epochMillis+40, 30*ms, 50*ms)
	assert.Zero(t, clock.observePresent(epochMillis+90_000, 60*ms, 70*ms), "a single contradicting response may be corrupt")
	assert.Zero(t, clock.observePresent(epochMillis+90, 80*ms, 100*ms))
	assert.Zero(t, clock.observePresent(epochMillis+90_000, 100*ms, 110*ms), "the consistent response in between resets the count")
	assert.Zero(t, clock.observePresent(epochMillis-90_000, 110*ms, 120*ms), "the two contradicting responses disagree with each other")
	assert.Zero(t, clock.observePresent(epochMillis+90_000, 120*ms, 130*ms))
	assert.Zero(t, clock.observePresent(epochMillis+90_010, 130*ms, 140*ms))
	assert.NotZero(t, clock.observePresent(epochMillis+90_020, 140*ms, 150*ms))
	assert.InDelta(t, float64(140*ms), float64(clock.at(epochMillis+90_020)), float64(20*ms))
}

func TestWallClockStartTimeInFuture(t *testing.T) {
	clock := newTestClock()
	assert.Zero(t, clock.observePast(epochMillis-100, 5*ms))
	assert.Equal(t, 5*ms-time.Hour, clock.observePast(epochMillis+time.Hour.Milliseconds(), 5*ms))
	assert.Equal(t, 5*ms, clock.at(epochMillis+time.Hour.Milliseconds()))
	clock.observePresent(epochMillis+time.Hour.Milliseconds()+20, 20*ms, 30*ms)
	assert.Zero(t, clock.observePast(epochMillis+2*time.Hour.Milliseconds(), 40*ms), "no shift by a start time once the clock is confirmed")
}

// For any sequence of observations, the returned shift equals the change of the conversion. After a shift, the observed time lies between
// the bounds of its observation.
func TestWallClockShiftMatchesMovement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newTestClock()
		for range rapid.IntRange(1, 20).Draw(t, "observations") {
			from := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "from")) * ms
			until := from + time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*ms
			observed := int64(epochMillis + rapid.IntRange(-7_200_000, 7_200_000).Draw(t, "observed"))
			before := clock.at(epochMillis)
			shift := clock.observePresent(observed, from, until)
			assert.Equal(t, clock.at(epochMillis), before+shift)
			if shift != 0 {
				assert.GreaterOrEqual(t, clock.at(observed), from-clockSlack)
				assert.LessOrEqual(t, clock.at(observed), until+clockSlack)
			}
		}
	})
}

// A correction of the wall clock must reach the router and the pools. Until a primary's response has confirmed the clock, the positions of
// replicas are ignored.
func TestClockCorrectionReachesRouterAndPools(t *testing.T) {
	c, router, network := newTestCore(t)
	c.wall.confirmed = false
	receiveAndStart(t, c, router, network)
	network.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: network.sent[0], Result: successResult()})
	c.batch(30 * ms)
	assert.False(t, router.outcomes[0].HasPosition, "a replica's position is ignored until the clock is confirmed")
	router.requests = nil
	r := receive(t, c, network, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=100,cluster=9 */")
	router.onReconcile = func(router *fakeRouter) { router.StartAttempt(r.ref, 0, 0) }
	c.batch(40 * ms)
	network.begin(t, 1)
	result := successResult()
	result.Role, result.AppliedMillis = "primary", 1_000_045+time.Hour.Milliseconds()
	c.Post(&AttemptFinished{Attempt: network.sent[1], Result: result})
	c.batch(50 * ms)
	assert.Equal(t, -time.Hour-5*ms, router.clockShift)
	assert.Equal(t, 40*ms, router.outcomes[1].Position)
	assert.Equal(t, time.Duration(0), c.uptime(1_000_055+time.Hour.Milliseconds()))
	assert.Equal(t, time.Hour+555*ms, c.uptime(999_500))
	c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: "x", Zone: "a", Group: 9, StartedAtMillis: 1_000_000 + time.Hour.Milliseconds()}}}})
	c.batch(60 * ms)
	assert.Equal(t, -5*ms, router.endpoints[len(router.endpoints)-1].StartedAt)
}

func TestReplicaPositionInFutureIsIgnored(t *testing.T) {
	c, router, network := newTestCore(t)
	receiveAndStart(t, c, router, network)
	network.begin(t, 0)
	result := successResult()
	result.AppliedMillis += 3_600_000
	c.Post(&AttemptFinished{Attempt: network.sent[0], Result: result})
	c.batch(30 * ms)
	assert.False(t, router.outcomes[0].HasPosition)
}

// If the servers' clocks are stepped forward by less than the lag of a replica, the replica's position looks more recent by the step but
// still lies in the past. The step is trusted only after the third response of a primary that contradicts the known clock. If replicas'
// positions were trusted until then, a read could return data that exceeds its maximum staleness by the step.
func TestReplicaPositionsDoNotCountWhilePrimariesContradictTheClock(t *testing.T) {
	clock := newTestClock()
	clock.observePresent(epochMillis+40, 30*ms, 50*ms)
	const replica, primary = 100 * ms, 150 * ms
	assert.True(t, clock.trusts(routing.Replica, replica, 150*ms))
	for n := range correctionQuorum {
		at := time.Duration(200+10*n) * ms
		shift := clock.observePresent(epochMillis+500+at.Milliseconds(), at-5*ms, at)
		if n < correctionQuorum-1 {
			assert.Zero(t, shift)
			assert.False(t, clock.trusts(routing.Replica, replica, at), "after %d contradicting responses", n+1)
			assert.True(t, clock.trusts(routing.Primary, primary, at))
		}
	}
	assert.True(t, clock.trusts(routing.Replica, replica, 300*ms), "the clock has been corrected by the step")
	clock.observePresent(epochMillis+90_000, 300*ms, 310*ms)
	assert.False(t, clock.trusts(routing.Replica, replica, 310*ms))
	at := clock.at(epochMillis + 500 + 320)
	clock.observePresent(epochMillis+500+320, at-5*ms, at+5*ms)
	assert.True(t, clock.trusts(routing.Replica, replica, at), "after one corrupt response, the next consistent one restores trust")
}

func TestRepeatedWritesDoNotCorrectWallClock(t *testing.T) {
	const window = 2 * time.Second
	for _, confirmed := range []bool{true, false} {
		clock := newTestClock()
		clock.confirmed = confirmed
		for i := range 5 * correctionQuorum {
			sent := time.Minute + time.Duration(i)*10*ms
			first := epochMillis + (sent - 600*ms).Milliseconds() // position of the commit that the repeat gets
			assert.Zero(t, clock.observeCommit(first, sent, sent+5*ms, window))
		}
		assert.Equal(t, time.Minute, clock.at(epochMillis+time.Minute.Milliseconds()))
		assert.Equal(t, confirmed, clock.trusts(routing.Replica, time.Minute, time.Minute))
	}
}

func TestCommitsBeyondDedupWindowCorrectWallClock(t *testing.T) {
	clock := newTestClock()
	assert.Zero(t, clock.observeCommit(epochMillis+45, 40*ms, 50*ms, time.Second), "a commit of the present")
	assert.True(t, clock.confirmed)
	for range correctionQuorum {
		clock.observeCommit(epochMillis-2000, 60*ms, 70*ms, time.Second)
	}
	assert.Equal(t, 60*ms, clock.at(epochMillis-2000))
}
