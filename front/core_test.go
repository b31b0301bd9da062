package front

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
)

const ms = time.Millisecond

// fakeRouter records what it is told, and asks the core for what a test has set.
type fakeRouter struct {
	routing.Host
	requests    []routing.Request
	outcomes    []routing.AttemptOutcome
	loadReports []routing.LoadReport
	clientsGone []routing.RequestRef
	endpoints   []routing.Endpoint
	reconciled  int
	clockShift  time.Duration
	onReconcile func(m *fakeRouter) // called once, by the next Reconcile
}

func (m *fakeRouter) EndpointsChanged(_ time.Duration, _ routing.UpdateKind, _ int64, e []routing.Endpoint) {
	m.endpoints = append(m.endpoints, e...)
}
func (m *fakeRouter) RequestReceived(_ time.Duration, t routing.Request) {
	m.requests = append(m.requests, t)
}
func (m *fakeRouter) AttemptFinished(_ time.Duration, o routing.AttemptOutcome) {
	m.outcomes = append(m.outcomes, o)
}
func (m *fakeRouter) ClientGone(_ time.Duration, r routing.RequestRef) {
	m.clientsGone = append(m.clientsGone, r)
}
func (m *fakeRouter) ClockCorrected(_, by time.Duration)        { m.clockShift += by }
func (m *fakeRouter) GossipReceived(time.Duration, int, []byte) {}
func (m *fakeRouter) TimerFired(time.Duration)                  {}
func (m *fakeRouter) HealthCheckFinished(_ time.Duration, _ int, _ routing.AttemptResult, _ time.Duration, l routing.LoadReport) {
	m.loadReports = append(m.loadReports, l)
}
func (m *fakeRouter) RequiredPosition(routing.RequestRef) (time.Duration, bool) { return 0, false }
func (m *fakeRouter) Reconcile(time.Duration) {
	m.reconciled++
	if w := m.onReconcile; w != nil {
		m.onReconcile = nil
		w(m)
	}
}

// start is an onReconcile that starts an attempt of a request, at server 0.
func start(request int) func(*fakeRouter) {
	return func(m *fakeRouter) { m.StartAttempt(m.requests[request].Ref, 0, 0) }
}

// cancel is an onReconcile that cancels an attempt of the first request.
func cancel(attempt int) func(*fakeRouter) {
	return func(m *fakeRouter) { m.CancelAttempt(m.requests[0].Ref, attempt) }
}

// fakeNetwork records what the core sends, aborts and responds.
type fakeNetwork struct {
	sent      []*Attempt
	aborts    int
	removed   []int
	responses []Response
}

func (w *fakeNetwork) SetAddress(int, string, time.Duration) {}
func (w *fakeNetwork) Send(_ int, s *Attempt)                { w.sent = append(w.sent, s) }
func (w *fakeNetwork) Remove(i int)                          { w.removed = append(w.removed, i) }
func (w *fakeNetwork) Respond(f Response)                    { w.responses = append(w.responses, f) }
func (w *fakeNetwork) Watch(bool)                            {}
func (w *fakeNetwork) Fetch()                                {}

// begin has the sender of an attempt begin.
func (w *fakeNetwork) begin(t *testing.T, i int) {
	t.Helper()
	require.True(t, w.sent[i].Begin(func() { w.aborts++ }))
}

var testEpoch = time.UnixMilli(1_000_000)

// newTestCore makes a core of two request types that has received an endpoint list with server 0.
func newTestCore(testing.TB) (*Core, *fakeRouter, *fakeNetwork) {
	w, m := &fakeNetwork{}, &fakeRouter{}
	s := &deployment.Settings{TypeNames: []string{"browse", "order"}, ZoneNames: []string{"a"}, CustomerNames: []string{"acme"},
		RequestTypes: []routing.RequestType{{Consistency: routing.ReadYourWrites, Deadline: time.Second}, {Consistency: routing.Write, Deadline: time.Second}},
		Limits:       routing.Limits{MaxAttempts: 2, DialTimeout: 250 * ms}}
	c := NewCore(Options{StartedAt: testEpoch, Seed: 1, Settings: s, Pools: w, Endpoints: w, NewRouter: func(h routing.Host, _ routing.Options) routing.Router {
		m.Host = h
		return m
	}})
	c.wall.confirmed = true // as by a primary's response; see wallclock_test.go
	c.Post(EndpointsChanged{Kind: routing.CachedSnapshot, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: "x", Zone: "a", Group: 9, StartedAtMillis: 999_500},
		{Name: "s-2", Address: "x", Zone: "nowhere", Group: 9}}}})
	c.batch(0)
	return c, m, w
}

// receive posts a request, whose response goes to w.
func receive(t *testing.T, c *Core, w *fakeNetwork, text string) *Request {
	t.Helper()
	s, err := pgwire.ParseStatement([]byte(text + "\x00"))
	require.NoError(t, err)
	r := NewRequest(w, s, c.now)
	c.Post(r)
	return r
}

const browse = "SELECT data FROM facts WHERE code = 'k' /* id=1,c=browse,t=acme,d=100,cluster=9 */"

// receiveAndStart receives a request and starts its first attempt, at 10 ms.
func receiveAndStart(t *testing.T, c *Core, m *fakeRouter, w *fakeNetwork) *Request {
	t.Helper()
	r := receive(t, c, w, browse)
	m.onReconcile = start(0)
	c.batch(10 * ms)
	require.Len(t, w.sent, 1)
	return r
}

func successResult() pgwire.QueryResult {
	return pgwire.QueryResult{Complete: true, Rows: []byte("rows"), Role: "replica", AppliedMillis: 1_000_030, HasApplied: true}
}

func TestSuccessfulRequest(t *testing.T) {
	c, m, w := newTestCore(t)
	assert.Equal(t, []routing.Endpoint{{Group: 0, StartedAt: -500 * ms, HasStartTime: true}}, m.endpoints, "an endpoint of an unknown zone is ignored")
	receiveAndStart(t, c, m, w)
	assert.Equal(t, 90*ms, m.requests[0].Timeout, "less what it waited since its last byte")
	assert.NotZero(t, m.requests[0].Session)
	assert.Contains(t, string(w.sent[0].Message()), "d=90,")
	w.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: successResult()})
	c.batch(30 * ms)
	assert.Equal(t, []Response{{Status: StatusSucceeded, Rows: []byte("rows"), Position: 1_000_030, DataAge: 20 * ms, DataAgeKnown: true}}, w.responses)
	o := m.outcomes[0]
	assert.Equal(t, routing.Succeeded, o.Result)
	assert.True(t, o.RequestFinished && o.HasPosition && o.Role == routing.Replica)
	assert.Equal(t, 30*ms, o.Position, "Unix milliseconds, on the core's clock")
	assert.Equal(t, 20*ms, o.Latency)
	assert.Zero(t, c.requests.table.Len())
}

func TestAttemptResultOfResponsesAndFailures(t *testing.T) {
	for name, x := range map[string]struct {
		answer pgwire.QueryResult
		err    *ConnectionError
		want   routing.AttemptResult
	}{
		"a row":                      {successResult(), nil, routing.Succeeded},
		"read-only transaction":      {pgwire.QueryResult{Code: "25006"}, nil, routing.Misrouted},
		"too far behind":             {pgwire.QueryResult{Code: "72000"}, nil, routing.Misrouted},
		"too many connections":       {pgwire.QueryResult{Code: "53300"}, nil, routing.Overloaded},
		"internal error":             {pgwire.QueryResult{Code: "XX000"}, nil, routing.ServerError},
		"no row":                     {pgwire.QueryResult{}, nil, routing.ServerError},
		"connection refused":         {successResult(), &ConnectionError{StageDial, errors.New("refused")}, routing.Unreachable},
		"reset before the last byte": {successResult(), &ConnectionError{StageWrite, errors.New("reset")}, routing.Unreachable},
		"reset after the last byte":  {successResult(), &ConnectionError{StageRead, errors.New("reset")}, routing.ConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			c, m, w := newTestCore(t)
			receiveAndStart(t, c, m, w)
			w.begin(t, 0)
			c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: x.answer, Err: x.err})
			c.batch(20 * ms)
			assert.Equal(t, x.want, m.outcomes[0].Result)
			assert.Equal(t, x.want == routing.Succeeded, len(w.responses) == 1)
		})
	}
}

func TestTimedOutAttemptIsAbortedBeforeRouterIsNotified(t *testing.T) {
	c, m, w := newTestCore(t)
	receiveAndStart(t, c, m, w)
	w.begin(t, 0)
	c.batch(99 * ms)
	assert.Zero(t, w.aborts)
	m.onReconcile = func(m *fakeRouter) { m.Fail(m.requests[0].Ref) }
	c.batch(100 * ms)
	assert.Equal(t, 1, w.aborts)
	assert.Equal(t, routing.TimedOut, m.outcomes[0].Result)
	assert.False(t, m.outcomes[0].RequestFinished, "the router has to respond")
	assert.Equal(t, []Response{{Status: StatusFailed}}, w.responses)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: successResult()})
	c.batch(101 * ms)
	assert.Len(t, m.outcomes, 1, "a response that crosses the abort is dropped")
	assert.Len(t, w.responses, 1)
}

func TestCancelWhileDialingEndsAsNotSent(t *testing.T) {
	c, m, w := newTestCore(t)
	receiveAndStart(t, c, m, w)
	m.onReconcile = cancel(0)
	c.batch(20 * ms)
	assert.False(t, w.sent[0].Begin(func() {}), "nothing may be sent any more")
	m.onReconcile = func(m *fakeRouter) { m.StartAttempt(m.requests[0].Ref, 0, 30*ms) }
	c.batch(20 * ms)
	assert.Equal(t, routing.NotSent, m.outcomes[0].Result)
	w.begin(t, 1)
	m.onReconcile = cancel(1)
	c.batch(30 * ms)
	c.batch(30 * ms)
	assert.Equal(t, routing.Cancelled, m.outcomes[1].Result, "something of that one was sent")
	assert.Equal(t, 1, w.aborts)
	m.onReconcile = start(0)
	c.batch(40 * ms)
	c.batch(40 * ms)
	assert.Len(t, w.sent, 2, "the limit is two")
	assert.Equal(t, routing.NotSent, m.outcomes[2].Result)
}

func TestNoResponseAfterClientGone(t *testing.T) {
	c, m, w := newTestCore(t)
	r := receiveAndStart(t, c, m, w)
	w.begin(t, 0)
	c.Post(ClientGone{r})
	m.onReconcile = cancel(0)
	c.batch(20 * ms)
	assert.Equal(t, []routing.RequestRef{m.requests[0].Ref}, m.clientsGone)
	c.batch(20 * ms)
	assert.True(t, m.outcomes[0].RequestFinished)
	assert.Empty(t, w.responses)
	assert.Zero(t, c.requests.table.Len())
}

func TestSlotNotReusedWhileAttemptInFlight(t *testing.T) {
	c, m, w := newTestCore(t)
	receiveAndStart(t, c, m, w)
	w.begin(t, 0)
	m.onReconcile = func(m *fakeRouter) { m.Reject(m.requests[0].Ref, 40*ms) }
	c.batch(20 * ms)
	assert.Equal(t, []Response{{Status: StatusRejected, RetryAfter: 40 * ms}}, w.responses)
	receive(t, c, w, strings.Replace(browse, "id=1", "id=2", 1))
	c.batch(30 * ms)
	assert.NotEqual(t, m.requests[0].Ref.Slot, m.requests[1].Ref.Slot)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: successResult()})
	receive(t, c, w, browse)
	c.batch(40 * ms)
	assert.Equal(t, m.requests[0].Ref.Slot, m.requests[2].Ref.Slot)
	assert.NotEqual(t, m.requests[0].Ref.Generation, m.requests[2].Ref.Generation)
	assert.Len(t, w.responses, 1, "a late response is not taken for the new request's")
}

func TestInvalidRequestsAreNotRouted(t *testing.T) {
	for name, text := range map[string]string{
		"unknown type":     "SELECT 'k' /* id=7,c=unheard,d=1,cluster=9 */",
		"read as a write":  "SELECT 'k' /* id=7,c=order,d=1,cluster=9 */",
		"unknown group":    "SELECT 'k' /* id=7,c=browse,d=1,cluster=8 */",
		"unknown customer": "SELECT 'k' /* id=7,c=browse,d=1,cluster=9,t=nobody */",
		"write as a read":  "INSERT INTO facts (code, data) VALUES ('k', '') /* id=7,c=browse,d=1,cluster=9 */",
	} {
		t.Run(name, func(t *testing.T) {
			c, m, w := newTestCore(t)
			r := receive(t, c, w, text)
			c.Post(ClientGone{r})
			c.batch(ms)
			assert.Equal(t, StatusInvalid, w.responses[0].Status)
			assert.Empty(t, m.requests)
			assert.Empty(t, m.clientsGone)
		})
	}
}

func TestHealthCheckLoadReport(t *testing.T) {
	c, m, w := newTestCore(t)
	m.onReconcile = func(m *fakeRouter) { m.StartHealthCheck(0) }
	c.batch(ms)
	w.begin(t, 0)
	var a pgwire.QueryResult
	for _, part := range []struct {
		typ  byte
		body string
	}{{'T', "\x00\x01"}, {'D', "\x00\x01\x00\x00\x00\x1cx0=1000.0625,x1=1,inflight=2"}, {'C', "SHOW\x00"}} {
		_, err := a.AddMessage(part.typ, []byte(part.body))
		require.NoError(t, err)
	}
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: a})
	m.onReconcile = func(m *fakeRouter) { m.StartHealthCheck(0) }
	c.batch(2 * ms)
	assert.Equal(t, routing.LoadReport{InFlight: 2, Queued: -1, Utilization: -1, LatencyMillis: -1, RequestRate: -1, ErrorRate: -1, Role: routing.Primary,
		HasPosition: true, Position: 62500 * time.Microsecond}, m.loadReports[0])
	c.batch(252 * ms)
	assert.Len(t, m.loadReports, 2, "a health check without a response ends after the dial timeout")
}

func TestEventsAtHandAreOneBatch(t *testing.T) {
	c, m, w := newTestCore(t)
	for _, id := range []string{"id=1", "id=2", "id=3"} {
		receive(t, c, w, strings.Replace(browse, "id=1", id, 1))
	}
	before := m.reconciled
	c.batch(5 * ms)
	assert.Len(t, m.requests, 3)
	assert.Equal(t, before+1, m.reconciled)
}

// Each of ten servers would reject such a statement, and the router would count ten failures for it.
func TestStatementErrorIsFinal(t *testing.T) {
	for _, code := range []string{"42601", "08P01", "22P02"} {
		t.Run(code, func(t *testing.T) {
			c, m, w := newTestCore(t)
			receiveAndStart(t, c, m, w)
			w.begin(t, 0)
			c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: pgwire.QueryResult{Code: code}})
			c.batch(20 * ms)
			assert.Equal(t, StatusInvalid, w.responses[0].Status)
			assert.Equal(t, code, w.responses[0].Code)
			assert.True(t, m.outcomes[0].RequestFinished && m.outcomes[0].Result == routing.Misrouted, "the server is well")
		})
	}
}

func TestDuplicateRequestIDIsInvalid(t *testing.T) {
	c, m, w := newTestCore(t)
	receiveAndStart(t, c, m, w)
	w.begin(t, 0)
	other := &fakeNetwork{}
	receive(t, c, other, browse)
	c.batch(20 * ms)
	assert.Equal(t, StatusInvalid, other.responses[0].Status)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: successResult()})
	receive(t, c, w, browse)
	c.batch(30 * ms)
	assert.Len(t, m.requests, 2, "free again once the request is finished")
	assert.Empty(t, w.responses[1:])
}

// The router does not wait for a health check that the fleet asked for, so it may release the server meanwhile.
func TestHealthCheckOfReleasedServerIsDropped(t *testing.T) {
	c, m, w := newTestCore(t)
	c.Post(HealthCheckRequested{Server: "s-1"})
	c.batch(ms)
	w.begin(t, 0)
	m.onReconcile = func(m *fakeRouter) { m.ReleaseServer(0) }
	c.batch(2 * ms)
	c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{{Name: "s-3", Address: "y", Zone: "a", Group: 9}}}})
	c.batch(3 * ms)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Err: &ConnectionError{Stage: StageDial}})
	c.batch(4 * ms)
	assert.Empty(t, m.loadReports)
	c.Post(HealthCheckRequested{Server: "s-3"})
	c.batch(5 * ms)
	w.begin(t, 1)
	c.batch(time.Second)
	assert.Len(t, m.loadReports, 1, "the new server's own counts")
}

func TestReleasedServerIndexIsReused(t *testing.T) {
	c, m, w := newTestCore(t)
	change := func(name string) {
		c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{
			{Name: name, Address: "y", Zone: "a", Group: 9}}}})
	}
	m.onReconcile = func(m *fakeRouter) { m.ReleaseServer(0) }
	c.batch(ms)
	assert.Equal(t, []int{0}, w.removed)
	change("s-3")
	change("s-4")
	change("s-1") // back again, as one of which nothing is known
	c.batch(2 * ms)
	var indices []int
	for _, e := range m.endpoints[1:] {
		indices = append(indices, e.Server)
	}
	assert.Equal(t, []int{0, 1, 2}, indices)
	assert.Equal(t, "s-3", c.servers.names.Key(0))
}
