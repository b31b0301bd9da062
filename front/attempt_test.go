package front

import (
	"errors"
	"fmt"
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

// newCoreWithPendingRetry receives a write with an idempotency key whose first attempt, started at 10 ms, may have run, and whose retry
// waits for a connection.
func newCoreWithPendingRetry(t *testing.T) (*Core, *fakeRouter, *fakeNetwork) {
	c, m, w := newTestCore(t)
	c.catalog.types[1].Idempotency, c.catalog.types[1].DedupWindow = routing.IdempotencyKey, 300*ms
	receive(t, c, w, order)
	m.onReconcile = start(0)
	c.batch(10 * ms)
	w.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Err: &ConnectionError{Stage: StageRead}})
	m.onReconcile = start(0)
	c.batch(290 * ms)
	require.Len(t, w.sent, 2)
	return c, m, w
}

// The router looks at the window when it decides on the retry. The connection may come up so late that the group has forgotten the
// first attempt by then.
func TestNoRetrySentAfterDedupWindow(t *testing.T) {
	c, m, w := newCoreWithPendingRetry(t)
	c.batch(309 * ms)
	require.Len(t, m.outcomes, 1)
	c.batch(310 * ms)
	assert.False(t, w.sent[1].Begin(func() {}))
	assert.Equal(t, routing.NotSent, m.outcomes[1].Result, "nothing of it was sent")
	c, m, w = newCoreWithPendingRetry(t)
	c.batch(309 * ms)
	w.begin(t, 1)
	c.batch(310 * ms)
	assert.Len(t, m.outcomes, 1, "one that was sent in time is waited for")
	c, _, w = newCoreWithPendingRetry(t)
	w.sent[1].conditions.clock = func() time.Duration { return 310 * ms } // the core has not looked at its timers
	assert.False(t, w.sent[1].Begin(func() {}))
	c.batch(311 * ms)
	assert.Zero(t, w.aborts)
}

// The router cancels nothing here, as where the deployment forbids it.
func TestUnsentAttemptCancelledWhenClientGone(t *testing.T) {
	c, m, w := newTestCore(t)
	r := receiveAndStart(t, c, m, w)
	gone := r.MarkClientGone()
	assert.False(t, w.sent[0].Begin(func() {}), "before the core has handled the event")
	c.Post(gone)
	c.batch(20 * ms)
	assert.Equal(t, routing.NotSent, m.outcomes[0].Result)
	assert.True(t, m.outcomes[0].RequestFinished)
	assert.Zero(t, c.requests.table.Len())
	assert.Empty(t, w.responses)
}

// Nothing of a retry is sent either, though the attempt before may have run.
func TestNoRetrySentAfterClientGone(t *testing.T) {
	c, m, w := newTestCore(t)
	r := receiveAndStart(t, c, m, w)
	w.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Err: &ConnectionError{StageRead, errors.New("reset")}})
	m.onReconcile = start(0)
	c.batch(20 * ms)
	require.Len(t, w.sent, 2)
	gone := r.MarkClientGone()
	assert.False(t, w.sent[1].Begin(func() {}), "before the core has handled the event")
	c.Post(gone)
	c.batch(30 * ms)
	assert.Equal(t, []routing.AttemptResult{routing.ConnectionLost, routing.NotSent}, []routing.AttemptResult{m.outcomes[0].Result, m.outcomes[1].Result})
	assert.Zero(t, c.requests.table.Len())
	assert.Empty(t, w.responses)
}

func TestShutdownRejectsOrFailsEachRequest(t *testing.T) {
	c, m, w := newTestCore(t)
	c.catalog.types[1].Idempotency = routing.NonIdempotent
	for i, text := range []string{browse, strings.Replace(order, "id=1", "id=2", 1), strings.Replace(order, "id=1", "id=3", 1)} {
		receive(t, c, w, text)
		m.onReconcile = start(i)
		c.batch(10 * ms)
	}
	w.begin(t, 0)
	w.begin(t, 1)
	c.Post(Shutdown{})
	receive(t, c, w, strings.Replace(browse, "id=1", "id=4", 1))
	c.batch(20 * ms)
	statuses := []Status{}
	for _, f := range w.responses {
		statuses = append(statuses, f.Status)
	}
	assert.Equal(t, []Status{StatusRejected, StatusFailed, StatusRejected, StatusRejected}, statuses,
		"a read; a write that may have run; one that cannot have; a request after the shutdown")
	assert.Equal(t, 2, w.aborts)
	assert.Len(t, m.requests, 3)
	assert.Zero(t, c.requests.table.Len())
	c.Post(&AttemptFinished{Attempt: w.sent[1], Answer: pgwire.QueryResult{Complete: true}})
	c.batch(30 * ms)
	assert.Len(t, w.responses, 4, "each has one response")
}

// closedClient is a client whose connection is closed, for which no event has come.
type closedClient struct{ fakeNetwork }

func (a closedClient) Connection() ClientConnection { return a }
func (closedClient) Disconnected() bool             { return true }

func TestNothingSentWhenClientConnectionClosed(t *testing.T) {
	c, m, w := newTestCore(t)
	s, err := pgwire.ParseStatement([]byte(browse + "\x00"))
	require.NoError(t, err)
	c.Post(NewRequest(&closedClient{}, s, c.now))
	m.onReconcile = start(0)
	c.batch(10 * ms)
	require.Len(t, w.sent, 1)
	assert.False(t, w.sent[0].Begin(func() {}))
}

// The server is given less than the time that is left, by as long as the request may have lain in the socket.
func TestMessageCarriesRemainingTime(t *testing.T) {
	c, m, w := newTestCore(t)
	c.clock = func() time.Duration { return 10 * ms }
	receiveAndStart(t, c, m, w)
	for now, want := range map[time.Duration]string{10 * ms: "d=81,", 60 * ms: "d=36,", 90 * ms: "d=9,", 100 * ms: "d=1,"} {
		c.clock = func() time.Duration { return now }
		s := &Attempt{query: w.sent[0].query, deadline: w.sent[0].deadline, conditions: sendConditions{clock: c.clock}}
		s.query.Message = slices.Clone(s.query.Message)
		assert.Contains(t, string(s.Message()), want)
	}
}

func TestConnectionErrorHasItsCause(t *testing.T) {
	cause := errors.New("connection refused")
	err := fmt.Errorf("health check of s-1: %w", &ConnectionError{StageDial, cause})
	var failure *ConnectionError
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, StageDial, failure.Stage)
	assert.ErrorIs(t, err, cause)
	assert.EqualError(t, err, "health check of s-1: not connected: connection refused")
}
