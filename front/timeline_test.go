package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"dapplerouter/discovery"
	"dapplerouter/routing"
)

const zero = 1_000_000 // Unix milliseconds at which timelines of these tests believe to begin

func newTimeline() *wallClock { return &wallClock{epoch: time.UnixMilli(zero)} }

func TestTheFirstPresentIsBelieved(t *testing.T) {
	for _, off := range []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour} {
		l := newTimeline()
		told := int64(zero) + (off + 40*ms).Milliseconds()
		assert.Equal(t, -off-10*ms, l.observePresent(told, 30*ms, 50*ms), "placed at the earliest moment that it can have been")
		assert.True(t, l.confirmed)
		assert.Equal(t, 30*ms, l.at(told))
		assert.Zero(t, l.observePresent(told+100, 120*ms, 150*ms), "what fits moves nothing")
	}
}

func TestAPresentThatFitsMovesNothing(t *testing.T) {
	l := newTimeline()
	assert.Zero(t, l.observePresent(zero+40, 30*ms, 50*ms))
	assert.Zero(t, l.observePresent(zero+35, 45*ms, 50*ms), "a few milliseconds are clocks")
	assert.True(t, l.confirmed)
}

func TestOneContradictionIsNotBelievedThreeThatAgreeAre(t *testing.T) {
	l := newTimeline()
	l.observePresent(zero+40, 30*ms, 50*ms)
	assert.Zero(t, l.observePresent(zero+90_000, 60*ms, 70*ms), "it may be spoilt")
	assert.Zero(t, l.observePresent(zero+90, 80*ms, 100*ms))
	assert.Zero(t, l.observePresent(zero+90_000, 100*ms, 110*ms), "one by one, with others that fit between")
	assert.Zero(t, l.observePresent(zero-90_000, 110*ms, 120*ms), "two that say otherwise")
	assert.Zero(t, l.observePresent(zero+90_000, 120*ms, 130*ms))
	assert.Zero(t, l.observePresent(zero+90_010, 130*ms, 140*ms))
	assert.NotZero(t, l.observePresent(zero+90_020, 140*ms, 150*ms))
	assert.InDelta(t, float64(140*ms), float64(l.at(zero+90_020)), float64(20*ms))
}

func TestAStartInTheFutureTellsThatTheClockIsBehindUntilThePresentIsKnown(t *testing.T) {
	l := newTimeline()
	assert.Zero(t, l.observePast(zero-100, 5*ms))
	assert.Equal(t, 5*ms-time.Hour, l.observePast(zero+time.Hour.Milliseconds(), 5*ms))
	assert.Equal(t, 5*ms, l.at(zero+time.Hour.Milliseconds()))
	l.observePresent(zero+time.Hour.Milliseconds()+20, 20*ms, 30*ms)
	assert.Zero(t, l.observePast(zero+2*time.Hour.Milliseconds(), 40*ms), "one member's list entry moves nothing then")
}

// Whatever is told, a shift is what times move by, and a time that moved them lies where it was heard.
func TestTimesMoveByTheShiftThatIsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTimeline()
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			from := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "from")) * ms
			until := from + time.Duration(rapid.IntRange(0, 500).Draw(t, "took"))*ms
			told := int64(zero + rapid.IntRange(-7_200_000, 7_200_000).Draw(t, "told"))
			before := l.at(zero)
			shift := l.observePresent(told, from, until)
			assert.Equal(t, l.at(zero), before+shift)
			if shift != 0 {
				assert.GreaterOrEqual(t, l.at(told), from-clockSlack)
				assert.LessOrEqual(t, l.at(told), until+clockSlack)
			}
		}
	})
}

// The module and the pools hear of it, and until then no replica's position counts.
func TestWhoKeepsTimesOfOthersHearsThatTheyMoved(t *testing.T) {
	c, m, w := newFront(t)
	c.wall.confirmed = false
	out(t, c, m, w)
	w.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: row()})
	c.batch(30 * ms)
	assert.False(t, m.ended[0].HasPosition, "a replica's says nothing until the present is known")
	m.begun = nil
	out := arrive(t, c, w, "SELECT data FROM facts WHERE code = 'k' /* id=2,c=browse,t=acme,d=100,cluster=9 */")
	m.wish = func(m *module) { m.StartAttempt(out.ref, 0, 0) }
	c.batch(40 * ms)
	w.begin(t, 1)
	a := row()
	a.Role, a.AppliedMillis = "primary", 1_000_045+time.Hour.Milliseconds()
	c.Post(&AttemptFinished{Attempt: w.sent[1], Answer: a})
	c.batch(50 * ms)
	assert.Equal(t, -time.Hour-5*ms, m.redated)
	assert.Equal(t, 40*ms, m.ended[1].Position)
	assert.Equal(t, time.Duration(0), c.uptime(1_000_055+time.Hour.Milliseconds()))
	assert.Equal(t, time.Hour+555*ms, c.uptime(999_500))
	c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{{Name: "s-1", Address: "x", Zone: "a", Group: 9, StartedAtMillis: 1_000_000 + time.Hour.Milliseconds()}}}})
	c.batch(60 * ms)
	assert.Equal(t, -5*ms, m.listed[len(m.listed)-1].StartedAt)
}

func TestAReplicasPositionAheadOfThePresentTellsNothing(t *testing.T) {
	c, m, w := newFront(t)
	out(t, c, m, w)
	w.begin(t, 0)
	a := row()
	a.AppliedMillis += 3_600_000
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: a})
	c.batch(30 * ms)
	assert.False(t, m.ended[0].HasPosition)
}
