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

// fakeRouter is a Router that records its calls. Its Reconcile calls the function that a test has set.
type fakeRouter struct {
	routing.Host
	requests    []routing.Request
	outcomes    []routing.AttemptOutcome
	loadReports []routing.LoadReport
	clientsGone []routing.RequestRef
	endpoints   []routing.Endpoint
	reconciled  int
	clockShift  time.Duration
	onReconcile func(router *fakeRouter) // called once, by the next Reconcile
}

func (f *fakeRouter) EndpointsChanged(_ time.Duration, _ routing.UpdateKind, _ int64, e []routing.Endpoint) {
	f.endpoints = append(f.endpoints, e...)
}
func (f *fakeRouter) RequestReceived(_ time.Duration, t routing.Request) {
	f.requests = append(f.requests, t)
}
func (f *fakeRouter) AttemptFinished(_ time.Duration, o routing.AttemptOutcome) {
	f.outcomes = append(f.outcomes, o)
}
func (f *fakeRouter) ClientGone(_ time.Duration, r routing.RequestRef) {
	f.clientsGone = append(f.clientsGone, r)
}
func (f *fakeRouter) ClockCorrected(_, by time.Duration)        { f.clockShift += by }
func (f *fakeRouter) GossipReceived(time.Duration, int, []byte) {}
func (f *fakeRouter) TimerFired(time.Duration)                  {}
func (f *fakeRouter) HealthCheckFinished(_ time.Duration, _ int, _ routing.AttemptResult, _ time.Duration, l routing.LoadReport) {
	f.loadReports = append(f.loadReports, l)
}
func (f *fakeRouter) RequiredPosition(routing.RequestRef) (time.Duration, bool) { return 0, false }
func (f *fakeRouter) FreshUntil(routing.RequestRef) (time.Duration, bool)       { return 0, false }
func (f *fakeRouter) MayServe(routing.RequestRef, routing.ReadResult) bool      { return true }
func (f *fakeRouter) Reconcile(time.Duration) {
	f.reconciled++
	if act := f.onReconcile; act != nil {
		f.onReconcile = nil
		act(f)
	}
}

// start returns an onReconcile function that starts an attempt of a request at server 0.
func start(request int) func(*fakeRouter) {
	return func(router *fakeRouter) { router.StartAttempt(router.requests[request].Ref, 0, 0) }
}

// cancel returns an onReconcile function that cancels an attempt of the first request.
func cancel(attempt int) func(*fakeRouter) {
	return func(router *fakeRouter) { router.CancelAttempt(router.requests[0].Ref, attempt) }
}

// fakeNetwork stands in for the pools, the endpoint source and the client. It records what the core sends, aborts and responds.
type fakeNetwork struct {
	sent      []*Attempt
	aborts    int
	removed   []int
	responses []Response
}

func (f *fakeNetwork) SetAddress(int, string, time.Duration) {}
func (f *fakeNetwork) Send(_ int, a *Attempt)                { f.sent = append(f.sent, a) }
func (f *fakeNetwork) Remove(server int)                     { f.removed = append(f.removed, server) }
func (f *fakeNetwork) Respond(r Response)                    { f.responses = append(f.responses, r) }
func (f *fakeNetwork) Watch(bool)                            {}
func (f *fakeNetwork) Fetch()                                {}

// begin calls Begin of an attempt as its sender does, and requires that it returns true.
func (f *fakeNetwork) begin(t *testing.T, i int) {
	t.Helper()
	require.True(t, f.sent[i].Begin(func() { f.aborts++ }))
}

var testEpoch = time.UnixMilli(1_000_000)

// newTestCore creates a core with two request types, a read and a write, that has received an endpoint list with server 0.
func newTestCore(testing.TB) (*Core, *fakeRouter, *fakeNetwork) {
	network, router := &fakeNetwork{}, &fakeRouter{}
	s := &deployment.Settings{TypeNames: []string{"browse", "order"}, ZoneNames: []string{"a"}, CustomerNames: []string{"acme"},
		RequestTypes: []routing.RequestType{
			{Consistency: routing.ReadYourWrites, Deadline: time.Second},
			{Consistency: routing.Write, Deadline: time.Second}},
		Limits: routing.Limits{MaxAttempts: 2, DialTimeout: 250 * ms}}
	newRouter := func(h routing.Host, _ routing.Options) routing.Router {
		router.Host = h
		return router
	}
	c := NewCore(Options{StartedAt: testEpoch, Seed: 1, Settings: s, Pools: network, Endpoints: network, NewRouter: newRouter})
	c.wall.confirmed = true // as after a primary's response; see wallclock_test.go
	c.Post(EndpointsChanged{Kind: routing.CachedSnapshot, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: "x", Zone: "a", Group: 9, StartedAtMillis: 999_500},
		{Name: "s-2", Address: "x", Zone: "nowhere", Group: 9}}}})
	c.batch(0)
	return c, router, network
}

// receive posts a request whose response goes to network.
func receive(t *testing.T, c *Core, network *fakeNetwork, text string) *Request {
	t.Helper()
	s, err := pgwire.ParseStatement([]byte(text + "\x00"))
	require.NoError(t, err)
	r := NewRequest(network, s, c.now)
	c.Post(r)
	return r
}

const browse = "SELECT data FROM facts WHERE code = 'k' /* id=1,c=browse,t=acme,d=100,cluster=9 */"

// receiveAndStart posts a request and starts its first attempt at 10 ms.
func receiveAndStart(t *testing.T, c *Core, router *fakeRouter, network *fakeNetwork) *Request {
	t.Helper()
	r := receive(t, c, network, browse)
	router.onReconcile = start(0)
	c.batch(10 * ms)
	require.Len(t, network.sent, 1)
	return r
}

// An attempt that waits for a connection is held back by the list in the same cases in which the router may not choose the server.
func TestUnsentAttemptToServerThatLeftTheListIsCancelledUnlessOnlyDrainingBinds(t *testing.T) {
	removed := discovery.Endpoint{Name: "s-1", Address: "x", Zone: "a", Group: 9, State: routing.Removed}
	draining := removed
	draining.State = routing.Draining
	for name, update := range map[string]EndpointsChanged{
		"missing from a snapshot": {Kind: routing.Snapshot},
		"removed by a delta":      {Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{removed}}},
		"draining":                {Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{draining}}},
	} {
		for _, onlyDrainingBinds := range []bool{false, true} {
			c, router, network := newTestCore(t)
			c.servers.onlyDrainingBinds = onlyDrainingBinds
			receiveAndStart(t, c, router, network)
			c.Post(update)
			c.batch(20 * ms)
			c.Post(EndpointsChanged{Kind: routing.Snapshot})
			c.batch(30 * ms)
			cancelled := !onlyDrainingBinds || name == "draining"
			assert.Equal(t, !cancelled, network.sent[0].Begin(func() {}), "%s, only draining binds: %v", name, onlyDrainingBinds)
		}
	}
}

func successResult() pgwire.QueryResult {
	return pgwire.QueryResult{Complete: true, Rows: []byte("rows"), Role: "replica", AppliedMillis: 1_000_030, HasApplied: true}
}

func TestSuccessfulRequest(t *testing.T) {
	c, router, network := newTestCore(t)
	assert.Equal(t, []routing.Endpoint{{Group: 0, StartedAt: -500 * ms, HasStartTime: true}}, router.endpoints,
		"an endpoint of an unknown zone is ignored")
	receiveAndStart(t, c, router, network)
	assert.Equal(t, 90*ms, router.requests[0].Timeout, "the time since the last byte is deducted")
	assert.NotZero(t, router.requests[0].Session)
	assert.Contains(t, string(network.sent[0].Message()), "d=90,")
	network.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: network.sent[0], Result: successResult()})
	c.batch(30 * ms)
	assert.Equal(t, []Response{{Status: StatusSucceeded, Rows: []byte("rows"), Position: 1_000_030, DataAge: 20 * ms, DataAgeKnown: true}},
		network.responses)
	o := router.outcomes[0]
	assert.Equal(t, routing.Succeeded, o.Result)
	assert.True(t, o.RequestFinished && o.HasPosition && o.Role == routing.Replica)
	assert.Equal(t, 30*ms, o.Position, "converted from Unix milliseconds to the core's clock")
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
		"replica too far behind":     {pgwire.QueryResult{Code: "72000"}, nil, routing.Misrouted},
		"too many connections":       {pgwire.QueryResult{Code: "53300"}, nil, routing.Overloaded},
		"internal error":             {pgwire.QueryResult{Code: "XX000"}, nil, routing.ServerError},
		"no row":                     {pgwire.QueryResult{}, nil, routing.ServerError},
		"connection refused":         {successResult(), &ConnectionError{StageDial, errors.New("refused")}, routing.Unreachable},
		"reset before the last byte": {successResult(), &ConnectionError{StageWrite, errors.New("reset")}, routing.Unreachable},
		"reset after the last byte":  {successResult(), &ConnectionError{StageRead, errors.New("reset")}, routing.ConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			c, router, network := newTestCore(t)
			receiveAndStart(t, c, router, network)
			network.begin(t, 0)
			c.Post(&AttemptFinished{Attempt: network.sent[0], Result: x.answer, Err: x.err})
			c.batch(20 * ms)
			assert.Equal(t, x.want, router.outcomes[0].Result)
			assert.Equal(t, x.want == routing.Succeeded, len(network.responses) == 1)
		})
	}
}

func TestTimedOutAttemptIsAbortedBeforeRouterIsNotified(t *testing.T) {
	c, router, network := newTestCore(t)
	receiveAndStart(t, c, router, network)
	network.begin(t, 0)
	c.batch(99 * ms)
	assert.Zero(t, network.aborts)
	router.onReconcile = func(router *fakeRouter) { router.Fail(router.requests[0].Ref) }
	c.batch(100 * ms)
	assert.Equal(t, 1, network.aborts)
	assert.Equal(t, routing.TimedOut, router.outcomes[0].Result)
	assert.False(t, router.outcomes[0].RequestFinished, "the response is left to the router")
	assert.Equal(t, []Response{{Status: StatusFailed}}, network.responses)
	c.Post(&AttemptFinished{Attempt: network.sent[0], Result: successResult()})
	c.batch(101 * ms)
	assert.Len(t, router.outcomes, 1, "a response that arrives after the abort is dropped")
	assert.Len(t, network.responses, 1)
}

func TestCancelWhileDialingEndsAsNotSent(t *testing.T) {
	c, router, network := newTestCore(t)
	receiveAndStart(t, c, router, network)
	router.onReconcile = cancel(0)
	c.batch(20 * ms)
	assert.False(t, network.sent[0].Begin(func() {}), "a cancelled attempt must not be sent")
	router.onReconcile = func(router *fakeRouter) { router.StartAttempt(router.requests[0].Ref, 0, 30*ms) }
	c.batch(20 * ms)
	assert.Equal(t, routing.NotSent, router.outcomes[0].Result)
	network.begin(t, 1)
	router.onReconcile = cancel(1)
	c.batch(30 * ms)
	c.batch(30 * ms)
	assert.Equal(t, routing.Cancelled, router.outcomes[1].Result, "the second attempt had begun to be sent")
	assert.Equal(t, 1, network.aborts)
	router.onReconcile = start(0)
	c.batch(40 * ms)
	c.batch(40 * ms)
	assert.Len(t, network.sent, 2, "the limit is two attempts")
	assert.Equal(t, routing.NotSent, router.outcomes[2].Result)
}

func TestNoResponseAfterClientGone(t *testing.T) {
	c, router, network := newTestCore(t)
	r := receiveAndStart(t, c, router, network)
	network.begin(t, 0)
	c.Post(ClientGone{r})
	router.onReconcile = cancel(0)
	c.batch(20 * ms)
	assert.Equal(t, []routing.RequestRef{router.requests[0].Ref}, router.clientsGone)
	c.batch(20 * ms)
	assert.True(t, router.outcomes[0].RequestFinished)
	assert.Empty(t, network.responses)
	assert.Zero(t, c.requests.table.Len())
}

func TestSlotNotReusedWhileAttemptInFlight(t *testing.T) {
	c, router, network := newTestCore(t)
	receiveAndStart(t, c, router, network)
	network.begin(t, 0)
	router.onReconcile = func(router *fakeRouter) { router.Reject(router.requests[0].Ref, 40*ms) }
	c.batch(20 * ms)
	assert.Equal(t, []Response{{Status: StatusRejected, RetryAfter: 40 * ms}}, network.responses)
	receive(t, c, network, strings.Replace(browse, "id=1", "id=2", 1))
	c.batch(30 * ms)
	assert.NotEqual(t, router.requests[0].Ref.Slot, router.requests[1].Ref.Slot)
	c.Post(&AttemptFinished{Attempt: network.sent[0], Result: successResult()})
	receive(t, c, network, browse)
	c.batch(40 * ms)
	assert.Equal(t, router.requests[0].Ref.Slot, router.requests[2].Ref.Slot)
	assert.NotEqual(t, router.requests[0].Ref.Generation, router.requests[2].Ref.Generation)
	assert.Len(t, network.responses, 1, "a late response is not delivered to the new request in the same slot")
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
			c, router, network := newTestCore(t)
			r := receive(t, c, network, text)
			c.Post(ClientGone{r})
			c.batch(ms)
			assert.Equal(t, StatusInvalid, network.responses[0].Status)
			assert.Empty(t, router.requests)
			assert.Empty(t, router.clientsGone)
		})
	}
}

func TestHealthCheckLoadReport(t *testing.T) {
	c, router, network := newTestCore(t)
	router.onReconcile = func(router *fakeRouter) { router.StartHealthCheck(0) }
	c.batch(ms)
	network.begin(t, 0)
	var a pgwire.QueryResult
	for _, part := range []struct {
		typ  byte
		body string
	}{{'T', "\x00\x01"}, {'D', "\x00\x01\x00\x00\x00\x1cx0=1000.0625,x1=1,inflight=2"}, {'C', "SHOW\x00"}} {
		_, err := a.AddMessage(part.typ, []byte(part.body))
		require.NoError(t, err)
	}
	c.Post(&AttemptFinished{Attempt: network.sent[0], Result: a})
	router.onReconcile = func(router *fakeRouter) { router.StartHealthCheck(0) }
	c.batch(2 * ms)
	assert.Equal(t, routing.LoadReport{InFlight: 2, Queued: -1, Utilization: -1, LatencyMillis: -1, RequestRate: -1, ErrorRate: -1, Role: routing.Primary,
		HasPosition: true, Position: 62500 * time.Microsecond}, router.loadReports[0])
	c.batch(252 * ms)
	assert.Len(t, router.loadReports, 2, "a health check without a response ends after the dial timeout")
}

func TestEventsAtHandAreOneBatch(t *testing.T) {
	c, router, network := newTestCore(t)
	for _, id := range []string{"id=1", "id=2", "id=3"} {
		receive(t, c, network, strings.Replace(browse, "id=1", id, 1))
	}
	before := router.reconciled
	c.batch(5 * ms)
	assert.Len(t, router.requests, 3)
	assert.Equal(t, before+1, router.reconciled)
}

// Every server returns the same error for such a statement. If it were retried at ten servers, the router would count ten failures.
func TestStatementErrorIsFinal(t *testing.T) {
	for _, code := range []string{"42601", "08P01", "22P02"} {
		t.Run(code, func(t *testing.T) {
			c, router, network := newTestCore(t)
			receiveAndStart(t, c, router, network)
			network.begin(t, 0)
			c.Post(&AttemptFinished{Attempt: network.sent[0], Result: pgwire.QueryResult{Code: code}})
			c.batch(20 * ms)
			assert.Equal(t, StatusInvalid, network.responses[0].Status)
			assert.Equal(t, code, network.responses[0].Code)
			assert.True(t, router.outcomes[0].RequestFinished && router.outcomes[0].Result == routing.Misrouted, "the server is healthy")
		})
	}
}

func TestDuplicateRequestIDIsInvalid(t *testing.T) {
	c, router, network := newTestCore(t)
	receiveAndStart(t, c, router, network)
	network.begin(t, 0)
	other := &fakeNetwork{}
	receive(t, c, other, browse)
	c.batch(20 * ms)
	assert.Equal(t, StatusInvalid, other.responses[0].Status)
	c.Post(&AttemptFinished{Attempt: network.sent[0], Result: successResult()})
	receive(t, c, network, browse)
	c.batch(30 * ms)
	assert.Len(t, router.requests, 2, "the id can be used again once the request is finished")
	assert.Empty(t, network.responses[1:])
}

// The router does not wait for health checks that the fleet requested, so it may release the server before such a check has finished. Its
// result must not be attributed to the next server with the same index.
func TestHealthCheckOfReleasedServerIsDropped(t *testing.T) {
	c, router, network := newTestCore(t)
	c.Post(HealthCheckRequested{Server: "s-1"})
	c.batch(ms)
	network.begin(t, 0)
	router.onReconcile = func(router *fakeRouter) { router.ReleaseServer(0) }
	c.batch(2 * ms)
	c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{{Name: "s-3", Address: "y", Zone: "a", Group: 9}}}})
	c.batch(3 * ms)
	c.Post(&AttemptFinished{Attempt: network.sent[0], Err: &ConnectionError{Stage: StageDial}})
	c.batch(4 * ms)
	assert.Empty(t, router.loadReports)
	c.Post(HealthCheckRequested{Server: "s-3"})
	c.batch(5 * ms)
	network.begin(t, 1)
	c.batch(time.Second)
	assert.Len(t, router.loadReports, 1, "the health check of the new server is reported")
}

func TestReleasedServerIndexIsReused(t *testing.T) {
	c, router, network := newTestCore(t)
	change := func(name string) {
		c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{
			{Name: name, Address: "y", Zone: "a", Group: 9}}}})
	}
	router.onReconcile = func(router *fakeRouter) { router.ReleaseServer(0) }
	c.batch(ms)
	assert.Equal(t, []int{0}, network.removed)
	change("s-3")
	change("s-4")
	change("s-1") // listed again, as a new server
	c.batch(2 * ms)
	var indices []int
	for _, e := range router.endpoints[1:] {
		indices = append(indices, e.Server)
	}
	assert.Equal(t, []int{0, 1, 2}, indices)
	assert.Equal(t, "s-3", c.servers.names.Key(0))
}
