package front

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

const order = "INSERT INTO facts (code, data) VALUES ('k', '') /* id=1,c=order,k=5c,d=900,cluster=9 */"

// newCoreWithPendingRetry creates a core with a write that has an idempotency key. The first attempt, started at 10 ms, may have run. The
// retry, started at 290 ms, waits for a connection. The deduplication window of 300 ms ends at 310 ms.
func newCoreWithPendingRetry(t *testing.T) (*Core, *fakeRouter, *fakeNetwork) {
	c, router, network := newTestCore(t)
	c.catalog.types[1].Idempotency, c.catalog.types[1].DedupWindow = routing.IdempotencyKey, 300*ms
	receive(t, c, network, order)
	router.onReconcile = start(0)
	c.batch(10 * ms)
	network.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: network.sent[0], Err: &ConnectionError{Stage: StageRead}})
	router.onReconcile = start(0)
	c.batch(290 * ms)
	require.Len(t, network.sent, 2)
	return c, router, network
}

// The router checks the deduplication window when it decides on a retry. If the connection for the retry opens late, the group may have
// forgotten the first attempt by then, and the write could run twice.
func TestNoRetrySentAfterDedupWindow(t *testing.T) {
	c, router, network := newCoreWithPendingRetry(t)
	c.batch(309 * ms)
	require.Len(t, router.outcomes, 1)
	c.batch(310 * ms)
	assert.False(t, network.sent[1].Begin(func() {}))
	assert.Equal(t, routing.NotSent, router.outcomes[1].Result, "nothing of it was sent")
	c, router, network = newCoreWithPendingRetry(t)
	c.batch(309 * ms)
	network.begin(t, 1)
	c.batch(310 * ms)
	assert.Len(t, router.outcomes, 1, "a retry that was sent in time stays in flight")
	c, _, network = newCoreWithPendingRetry(t)
	network.sent[1].conditions.clock = func() time.Duration { return 310 * ms } // the core has not handled its timers yet
	assert.False(t, network.sent[1].Begin(func() {}))
	c.batch(311 * ms)
	assert.Zero(t, network.aborts)
}

// A request that may have run before it was received, since another site forwards it again, has what is left of its deduplication window.
func TestNothingSentAfterDedupWindowOfAnEarlierRun(t *testing.T) {
	for beginAt, begins := range map[time.Duration]bool{305 * ms: true, 310 * ms: false} {
		c, router, network := newTestCore(t)
		c.catalog.types[1].Idempotency, c.catalog.types[1].DedupWindow = routing.IdempotencyKey, 300*ms
		c.clock = func() time.Duration { return beginAt }
		statement, err := pgwire.ParseStatement([]byte(order + "\x00"))
		require.NoError(t, err)
		r := NewRequest(network, statement, 250*ms)
		r.SetFirstRun(10 * ms)
		c.Post(r)
		router.onReconcile = start(0)
		c.batch(250 * ms)
		require.Len(t, network.sent, 1)
		assert.Equal(t, 240*ms, router.requests[0].FirstRunAge)
		assert.Equal(t, begins, network.sent[0].Begin(func() {}), "%v", beginAt)
	}
}

// The fake router cancels nothing, like a router in a deployment that forbids cancellation. The core must still not send the attempt.
func TestUnsentAttemptCancelledWhenClientGone(t *testing.T) {
	c, router, network := newTestCore(t)
	r := receiveAndStart(t, c, router, network)
	gone := r.MarkClientGone()
	assert.False(t, network.sent[0].Begin(func() {}), "before the core has handled the event")
	c.Post(gone)
	c.batch(20 * ms)
	assert.Equal(t, routing.NotSent, router.outcomes[0].Result)
	assert.True(t, router.outcomes[0].RequestFinished)
	assert.Zero(t, c.requests.table.Len())
	assert.Empty(t, network.responses)
}

// A retry is not sent after its client has disconnected either, although the previous attempt may have run.
func TestNoRetrySentAfterClientGone(t *testing.T) {
	c, router, network := newTestCore(t)
	r := receiveAndStart(t, c, router, network)
	network.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: network.sent[0], Err: &ConnectionError{StageRead, errors.New("reset")}})
	router.onReconcile = start(0)
	c.batch(20 * ms)
	require.Len(t, network.sent, 2)
	gone := r.MarkClientGone()
	assert.False(t, network.sent[1].Begin(func() {}), "before the core has handled the event")
	c.Post(gone)
	c.batch(30 * ms)
	assert.Equal(t, []routing.AttemptResult{routing.ConnectionLost, routing.NotSent},
		[]routing.AttemptResult{router.outcomes[0].Result, router.outcomes[1].Result})
	assert.Zero(t, c.requests.table.Len())
	assert.Empty(t, network.responses)
}

func TestShutdownRejectsOrFailsEachRequest(t *testing.T) {
	c, router, network := newTestCore(t)
	c.catalog.types[1].Idempotency = routing.NonIdempotent
	for i, text := range []string{browse, strings.Replace(order, "id=1", "id=2", 1), strings.Replace(order, "id=1", "id=3", 1)} {
		receive(t, c, network, text)
		router.onReconcile = start(i)
		c.batch(10 * ms)
	}
	network.begin(t, 0)
	network.begin(t, 1)
	c.Post(Shutdown{})
	receive(t, c, network, strings.Replace(browse, "id=1", "id=4", 1))
	c.batch(20 * ms)
	statuses := []Status{}
	for _, response := range network.responses {
		statuses = append(statuses, response.Status)
	}
	assert.Equal(t, []Status{StatusRejected, StatusFailed, StatusRejected, StatusRejected}, statuses,
		"a read; a write that may have run; a write that was not sent; a request after the shutdown")
	assert.Equal(t, 2, network.aborts)
	assert.Len(t, router.requests, 3)
	assert.Zero(t, c.requests.table.Len())
	c.Post(&AttemptFinished{Attempt: network.sent[1], Result: pgwire.QueryResult{Complete: true}})
	c.batch(30 * ms)
	assert.Len(t, network.responses, 4, "each request has one response")
}

// closedClient is a client whose connection is closed although no ClientGone event was posted.
type closedClient struct{ fakeNetwork }

func (c closedClient) Connection() ClientConnection { return c }
func (closedClient) Disconnected() bool             { return true }

func TestNothingSentWhenClientConnectionClosed(t *testing.T) {
	c, router, network := newTestCore(t)
	s, err := pgwire.ParseStatement([]byte(browse + "\x00"))
	require.NoError(t, err)
	c.Post(NewRequest(&closedClient{}, s, c.now))
	router.onReconcile = start(0)
	c.batch(10 * ms)
	require.Len(t, network.sent, 1)
	assert.False(t, network.sent[0].Begin(func() {}))
}

// The timeout in the message is less than the remaining time, because the request may have waited in the socket buffer.
func TestMessageCarriesRemainingTime(t *testing.T) {
	c, router, network := newTestCore(t)
	c.clock = func() time.Duration { return 10 * ms }
	receiveAndStart(t, c, router, network)
	statement, err := pgwire.ParseStatement([]byte(browse + "\x00"))
	require.NoError(t, err)
	for now, want := range map[time.Duration]string{10 * ms: "d=81,", 60 * ms: "d=36,", 90 * ms: "d=9,", 100 * ms: "d=1,"} {
		c.clock = func() time.Duration { return now }
		for name, message := range map[string]func(*Attempt) []byte{"": (*Attempt).Message, "after an empty query": (*Attempt).MessageAfterEmptyQuery} {
			s := &Attempt{query: statement.QueryWithTimeout(100 * ms), deadline: network.sent[0].deadline, conditions: sendConditions{clock: c.clock}}
			assert.Contains(t, string(message(s)), want, name)
		}
	}
}

func TestConnectionErrorUnwrapsToItsCause(t *testing.T) {
	cause := errors.New("connection refused")
	err := fmt.Errorf("health check of s-1: %w", &ConnectionError{StageDial, cause})
	var failure *ConnectionError
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, StageDial, failure.Stage)
	assert.ErrorIs(t, err, cause)
	assert.EqualError(t, err, "health check of s-1: not connected: connection refused")
}
