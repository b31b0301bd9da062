package front

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

const order = "INSERT INTO facts (code, data) VALUES ('k', '') /* id=1,c=order,k=5c,d=900,cluster=9 */"

// repeated brings a referenced request to where its repeat waits for a connection: the first was out from 10 ms on and may have run.
func repeated(t *testing.T) (*Core, *module, *wires) {
	c, m, w := newFront(t)
	c.catalog.types[1].Idempotency, c.catalog.types[1].DedupWindow = routing.IdempotencyKey, 300*ms
	arrive(t, c, w, order)
	m.wish = func(m *module) { m.StartAttempt(m.begun[0].Ref, 0, 0) }
	c.batch(10 * ms)
	w.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Err: &ConnectionError{Stage: StageRead}})
	m.wish = func(m *module) { m.StartAttempt(m.begun[0].Ref, 0, 0) }
	c.batch(290 * ms)
	require.Len(t, w.sent, 2)
	return c, m, w
}

// The window was looked at when the repeat was decided on; then it waited for a connection that came up late, and went out
// behind the window's end, where its group has forgotten the first.
func TestARepeatDoesNotBeginBehindItsWindow(t *testing.T) {
	c, m, w := repeated(t)
	c.batch(309 * ms)
	require.Len(t, m.ended, 1)
	c.batch(310 * ms)
	assert.False(t, w.sent[1].Begin(func() {}))
	assert.Equal(t, routing.NotSent, m.ended[1].Result, "nothing of it went out")
	c, m, w = repeated(t)
	c.batch(309 * ms)
	w.begin(t, 1)
	c.batch(310 * ms)
	assert.Len(t, m.ended, 1, "one that began in time is waited for")
	c, _, w = repeated(t)
	w.sent[1].conditions.clock = func() time.Duration { return 310 * ms } // the core is at something else
	assert.False(t, w.sent[1].Begin(func() {}))
	c.batch(311 * ms)
	assert.Zero(t, w.cuts)
}

// The module takes nothing back here, as where the site forbids it.
func TestWhatNeverBeganGoesNowhereOnceItsClientHasLeft(t *testing.T) {
	c, m, w := newFront(t)
	a := out(t, c, m, w)
	gone := a.MarkClientGone()
	assert.False(t, w.sent[0].Begin(func() {}), "before the core has heard of it")
	c.Post(gone)
	c.batch(20 * ms)
	assert.Equal(t, routing.NotSent, m.ended[0].Result)
	assert.True(t, m.ended[0].RequestFinished)
	assert.Zero(t, c.requests.table.Len())
	assert.Empty(t, w.final)
}

// Nor does a further attempt, though an earlier one may have run.
func TestNoFurtherAttemptBeginsOnceTheClientHasLeft(t *testing.T) {
	c, m, w := newFront(t)
	a := out(t, c, m, w)
	w.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Err: &ConnectionError{StageRead, errors.New("reset")}})
	m.wish = func(m *module) { m.StartAttempt(m.begun[0].Ref, 0, 0) }
	c.batch(20 * ms)
	require.Len(t, w.sent, 2)
	gone := a.MarkClientGone()
	assert.False(t, w.sent[1].Begin(func() {}), "before the core has heard of it")
	c.Post(gone)
	c.batch(30 * ms)
	assert.Equal(t, []routing.AttemptResult{routing.ConnectionLost, routing.NotSent}, []routing.AttemptResult{m.ended[0].Result, m.ended[1].Result})
	assert.Zero(t, c.requests.table.Len())
	assert.Empty(t, w.final)
}

func TestAShutdownGivesEachTxnWhatIsTrueOfIt(t *testing.T) {
	c, m, w := newFront(t)
	c.catalog.types[1].Idempotency = routing.NonIdempotent
	for i, text := range []string{browse, strings.Replace(order, "id=1", "id=2", 1), strings.Replace(order, "id=1", "id=3", 1)} {
		arrive(t, c, w, text)
		m.wish = func(m *module) { m.StartAttempt(m.begun[i].Ref, 0, 0) }
		c.batch(10 * ms)
	}
	w.begin(t, 0)
	w.begin(t, 1)
	c.Post(Shutdown{})
	arrive(t, c, w, strings.Replace(browse, "id=1", "id=4", 1))
	c.batch(20 * ms)
	words := []Status{}
	for _, f := range w.final {
		words = append(words, f.Status)
	}
	assert.Equal(t, []Status{StatusRejected, StatusFailed, StatusRejected, StatusRejected}, words,
		"a read; a write that may have run; one that cannot have; one that came behind")
	assert.Equal(t, 2, w.cuts)
	assert.Len(t, m.begun, 3)
	assert.Zero(t, c.requests.table.Len())
	c.Post(&AttemptFinished{Attempt: w.sent[1], Answer: pgwire.QueryResult{Complete: true}})
	c.batch(30 * ms)
	assert.Len(t, w.final, 4, "and only once")
}

// absent is a client that has left, which nobody has noticed.
type absent struct{ wires }

func (a absent) Connection() ClientConnection { return a }
func (absent) Disconnected() bool             { return true }

func TestNothingBeginsForAClientThatHasLeftUnnoticed(t *testing.T) {
	c, m, w := newFront(t)
	s, err := pgwire.ParseStatement([]byte(browse + "\x00"))
	require.NoError(t, err)
	c.Post(NewRequest(&absent{}, s, c.now))
	m.wish = func(m *module) { m.StartAttempt(m.begun[0].Ref, 0, 0) }
	c.batch(10 * ms)
	require.Len(t, w.sent, 1)
	assert.False(t, w.sent[0].Begin(func() {}))
}

// A member is told less than what is left, by as long as the request may have lain here before it was read.
func TestAMemberIsToldWhatIsLeftWhenItIsWrittenTo(t *testing.T) {
	c, m, w := newFront(t)
	c.clock = func() time.Duration { return 10 * ms }
	out(t, c, m, w)
	for now, want := range map[time.Duration]string{10 * ms: "d=81,", 60 * ms: "d=36,", 90 * ms: "d=9,", 100 * ms: "d=1,"} {
		c.clock = func() time.Duration { return now }
		s := &Attempt{query: w.sent[0].query, deadline: w.sent[0].deadline, conditions: sendConditions{clock: c.clock}}
		s.query.Message = slices.Clone(s.query.Message)
		assert.Contains(t, string(s.Message()), want)
	}
}
