package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/routing"
)

// These tests step wall clocks while a front serves, by less than the lag of a replica: the position that the replica then reports looks
// fresher than it is and still lies in the past. docs/terms-audit.md, row 80: "A machine's wall clock may be stepped, forward or back, by seconds or by an
// hour; its monotonic clock runs on."

// A step of the clock of all machines is seen at this machine at once. Positions of replicas don't count until a primary has confirmed
// the clock.
func TestReplicaPositionsDoNotCountAfterStepOfOwnClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -time.Second, time.Second, time.Hour} {
		clock := newTestClock()
		clock.observePresent(epochMillis+40, 30*ms, 50*ms)
		clock.observeOwnClock(20*ms, 60*ms)
		assert.True(t, clock.trusts(routing.Replica, 50*ms, 60*ms), "a clock that is read late is not stepped")
		clock.observeOwnClock(20*ms+step, 100*ms)
		clock.observeOwnClock(20*ms+step, 110*ms)
		assert.False(t, clock.trusts(routing.Replica, 100*ms, 110*ms))
		assert.True(t, clock.trusts(routing.Primary, 100*ms, 110*ms))
		assert.Zero(t, clock.observePresent(epochMillis+95, 90*ms, 120*ms))
		assert.False(t, clock.trusts(routing.Replica, 100*ms, 120*ms), "this response may have been sent before the step")
		assert.Zero(t, clock.observePresent(epochMillis+125, 120*ms, 130*ms))
		assert.True(t, clock.trusts(routing.Replica, 100*ms, 130*ms), "only this machine's clock was stepped")
	}
}

// steppedClock is a Clock that stands still and whose wall clock was stepped.
type steppedClock struct{ now, offset time.Duration }

func (c steppedClock) Now() time.Duration        { return c.now }
func (c steppedClock) WallOffset() time.Duration { return c.offset }
func (c steppedClock) SetTimer(time.Duration)    {}
func (c steppedClock) TimerC() <-chan time.Time  { return nil }

// Run notices a step of this machine's clock before it handles an event that came after it.
func TestRunNoticesStepOfOwnClock(t *testing.T) {
	for step, counts := range map[time.Duration]bool{0: true, 2 * time.Second: false} {
		c, router, network := newTestCore(t)
		receiveAndStart(t, c, router, network)
		network.begin(t, 0)
		c.Post(&AttemptFinished{Attempt: network.sent[0], Result: successResult()})
		stop := make(chan struct{})
		router.onReconcile = func(*fakeRouter) { close(stop) }
		c.Run(steppedClock{now: 30 * ms, offset: step}, stop)
		assert.Equal(t, counts, router.outcomes[0].HasPosition, "step of %v", step)
	}
}

// A replica can't have applied what lies in the future. Where one reports that for the first time, the servers' clock was stepped, and the
// positions of other replicas don't count either until a primary has confirmed the clock. A replica that goes on reporting it is wrong
// itself and does not suspend the others again.
func TestPositionInFutureSuspendsOtherReplicas(t *testing.T) {
	clock := newTestClock()
	clock.observePresent(epochMillis+40, 30*ms, 50*ms)
	var ahead, behind serverState
	assert.True(t, clock.trustsReport(&behind, routing.Replica, -3*time.Second, 60*ms))
	assert.True(t, clock.trustsReport(&ahead, routing.Replica, 40*ms, 60*ms))
	assert.False(t, clock.trustsReport(&ahead, routing.Replica, 65*ms+100*ms, 65*ms), "in the future, as behind a pause of this process")
	assert.True(t, clock.trustsReport(&behind, routing.Replica, -3*time.Second, 65*ms))
	assert.False(t, clock.trustsReport(&ahead, routing.Replica, 70*ms+2*time.Second, 70*ms))
	assert.False(t, clock.trustsReport(&behind, routing.Replica, -time.Second, 71*ms), "3 s behind, but 2 s fresher by the step")
	assert.Zero(t, clock.observePresent(epochMillis+75, 72*ms, 80*ms))
	assert.False(t, clock.trustsReport(&ahead, routing.Replica, 81*ms+2*time.Second, 81*ms))
	assert.True(t, clock.trustsReport(&behind, routing.Replica, -time.Second, 82*ms), "the primary says that no clock but the replica's was stepped")
}

// A response that a primary may have sent before the step arrives behind the first one that shows the step.
func TestOlderResponseDoesNotRestoreTrustAfterStep(t *testing.T) {
	clock := newTestClock()
	clock.observePresent(epochMillis+40, 30*ms, 50*ms)
	assert.Zero(t, clock.observePresent(epochMillis+105+2000, 100*ms, 110*ms), "a step of 2 s")
	assert.Zero(t, clock.observePresent(epochMillis+98, 95*ms, 115*ms), "sent before the step, by another server")
	assert.False(t, clock.trusts(routing.Replica, 100*ms, 115*ms))
	assert.Zero(t, clock.observePresent(epochMillis+120, 116*ms, 125*ms))
	assert.True(t, clock.trusts(routing.Replica, 100*ms, 125*ms), "the response that showed a step was wrong")
}

// What is left: where the clocks of the servers alone are stepped, and no server reports the future, nothing tells the step before the
// first response of a primary.
func TestStepOfServersClocksAloneIsUnknownUntilPrimaryResponds(t *testing.T) {
	clock := newTestClock()
	clock.observePresent(epochMillis+40, 30*ms, 50*ms)
	clock.observeOwnClock(0, 100*ms)
	var lagging serverState
	const step, lag = 2 * time.Second, 3 * time.Second
	assert.True(t, clock.trustsReport(&lagging, routing.Replica, 100*ms+step-lag, 100*ms))
	assert.Zero(t, clock.observePresent(epochMillis+105+step.Milliseconds(), 100*ms, 110*ms))
	assert.False(t, clock.trustsReport(&lagging, routing.Replica, 110*ms+step-lag, 110*ms))
}
