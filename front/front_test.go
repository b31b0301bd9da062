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

// module is a Decider that writes down what it hears and does as it is told.
type module struct {
	routing.Host
	begun   []routing.Request
	ended   []routing.AttemptOutcome
	probed  []routing.LoadReport
	left    []routing.RequestRef
	listed  []routing.Endpoint
	settled int
	redated time.Duration
	wish    func(m *module) // at the next settling
}

func (m *module) EndpointsChanged(_ time.Duration, _ routing.UpdateKind, _ int64, e []routing.Endpoint) {
	m.listed = append(m.listed, e...)
}
func (m *module) RequestReceived(_ time.Duration, t routing.Request) { m.begun = append(m.begun, t) }
func (m *module) AttemptFinished(_ time.Duration, o routing.AttemptOutcome) {
	m.ended = append(m.ended, o)
}
func (m *module) ClientGone(_ time.Duration, r routing.RequestRef) { m.left = append(m.left, r) }
func (m *module) ClockCorrected(_, by time.Duration)               { m.redated += by }
func (m *module) GossipReceived(time.Duration, int, []byte)        {}
func (m *module) TimerFired(time.Duration)                         {}
func (m *module) HealthCheckFinished(_ time.Duration, _ int, _ routing.AttemptResult, _ time.Duration, l routing.LoadReport) {
	m.probed = append(m.probed, l)
}
func (m *module) RequiredPosition(routing.RequestRef) (time.Duration, bool) { return 0, false }
func (m *module) Reconcile(time.Duration) {
	m.settled++
	if w := m.wish; w != nil {
		m.wish = nil
		w(m)
	}
}

// wires is the other side of the core: what is sent, cut and answered.
type wires struct {
	sent   []*Attempt
	cuts   int
	forgot []int
	final  []Response
}

func (w *wires) SetAddress(int, string, time.Duration) {}
func (w *wires) Send(_ int, s *Attempt)                { w.sent = append(w.sent, s) }
func (w *wires) Remove(i int)                          { w.forgot = append(w.forgot, i) }
func (w *wires) Respond(f Response)                    { w.final = append(w.final, f) }
func (w *wires) Watch(bool)                            {}
func (w *wires) Fetch()                                {}
func (w *wires) begin(t *testing.T, i int)             { require.True(t, w.sent[i].Begin(func() { w.cuts++ })) }

var born = time.UnixMilli(1_000_000)

func newFront(testing.TB) (*Core, *module, *wires) {
	w, m := &wires{}, &module{}
	s := &deployment.Settings{TypeNames: []string{"browse", "order"}, ZoneNames: []string{"a"}, CustomerNames: []string{"acme"},
		RequestTypes: []routing.RequestType{{Consistency: routing.ReadYourWrites, Deadline: time.Second}, {Consistency: routing.Write, Deadline: time.Second}},
		Limits:       routing.Limits{MaxAttempts: 2, DialTimeout: 250 * ms}}
	c := NewCore(Options{StartedAt: born, Seed: 1, Settings: s, Pools: w, Endpoints: w, NewRouter: func(h routing.Host, _ uint64, _ routing.Topology, _ []routing.RequestType, _ []routing.Customer,
		_ routing.Replication, _ routing.Guardrails, _ routing.Limits, _ routing.CostWeights) routing.Router {
		m.Host = h
		return m
	}})
	c.wall.confirmed = true // as by a primary's answer; timeline_test.go has what comes before
	c.Post(EndpointsChanged{Kind: routing.CachedSnapshot, List: discovery.List{Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: "x", Zone: "a", Group: 9, StartedAtMillis: 999_500},
		{Name: "s-2", Address: "x", Zone: "nowhere", Group: 9}}}})
	c.batch(0)
	return c, m, w
}

func arrive(t *testing.T, c *Core, w *wires, text string) *Request {
	s, err := pgwire.ParseStatement([]byte(text + "\x00"))
	require.NoError(t, err)
	a := NewRequest(w, s, c.now)
	c.Post(a)
	return a
}

const browse = "SELECT data FROM facts WHERE code = 'k' /* id=1,c=browse,t=acme,d=100,cluster=9 */"

// out brings a request to where its first attempt is out.
func out(t *testing.T, c *Core, m *module, w *wires) *Request {
	a := arrive(t, c, w, browse)
	m.wish = func(m *module) { m.StartAttempt(m.begun[0].Ref, 0, 0) }
	c.batch(10 * ms)
	require.Len(t, w.sent, 1)
	return a
}

func row() pgwire.QueryResult {
	return pgwire.QueryResult{Complete: true, Rows: []byte("rows"), Role: "replica", AppliedMillis: 1_000_030, HasApplied: true}
}

func TestATxnIsServedByWhatItsMemberMade(t *testing.T) {
	c, m, w := newFront(t)
	assert.Equal(t, []routing.Endpoint{{Group: 0, StartedAt: -500 * ms, HasStartTime: true}}, m.listed, "a zone that is none is passed over")
	out(t, c, m, w)
	assert.Equal(t, 90*ms, m.begun[0].Timeout, "what it waited since its last byte is off")
	assert.NotZero(t, m.begun[0].Session)
	assert.Contains(t, string(w.sent[0].Message()), "d=90,")
	w.begin(t, 0)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: row()})
	c.batch(30 * ms)
	assert.Equal(t, []Response{{Status: StatusSucceeded, Rows: []byte("rows"), Position: 1_000_030, DataAge: 20 * ms, DataAgeKnown: true}}, w.final)
	o := m.ended[0]
	assert.Equal(t, routing.Succeeded, o.Result)
	assert.True(t, o.RequestFinished && o.HasPosition && o.Role == routing.Replica)
	assert.Equal(t, 30*ms, o.Position, "Unix milliseconds become a span since the start")
	assert.Equal(t, 20*ms, o.Latency)
	assert.Zero(t, c.requests.table.Len())
}

func TestTheLineBetweenNeverRanAndMayHaveRun(t *testing.T) {
	for _, x := range []struct {
		answer  pgwire.QueryResult
		failure *ConnectionError
		want    routing.AttemptResult
	}{
		{row(), nil, routing.Succeeded},
		{pgwire.QueryResult{Code: "25006"}, nil, routing.Misrouted},
		{pgwire.QueryResult{Code: "72000"}, nil, routing.Misrouted},
		{pgwire.QueryResult{Code: "53300"}, nil, routing.Overloaded},
		{pgwire.QueryResult{Code: "XX000"}, nil, routing.ServerError},
		{pgwire.QueryResult{}, nil, routing.ServerError},
		{row(), &ConnectionError{StageDial, errors.New("refused")}, routing.Unreachable},
		{row(), &ConnectionError{StageWrite, errors.New("reset")}, routing.Unreachable},
		{row(), &ConnectionError{StageRead, errors.New("reset")}, routing.ConnectionLost},
	} {
		c, m, w := newFront(t)
		out(t, c, m, w)
		w.begin(t, 0)
		c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: x.answer, Err: x.failure})
		c.batch(20 * ms)
		assert.Equal(t, x.want, m.ended[0].Result)
		assert.Equal(t, x.want == routing.Succeeded, len(w.final) == 1)
	}
}

func TestWhatIsLateIsCutBeforeTheModuleHears(t *testing.T) {
	c, m, w := newFront(t)
	out(t, c, m, w)
	w.begin(t, 0)
	c.batch(99 * ms)
	assert.Zero(t, w.cuts)
	m.wish = func(m *module) { m.Fail(m.begun[0].Ref) }
	c.batch(100 * ms)
	assert.Equal(t, 1, w.cuts)
	assert.Equal(t, routing.TimedOut, m.ended[0].Result)
	assert.False(t, m.ended[0].RequestFinished, "the module still owes the answer")
	assert.Equal(t, []Response{{Status: StatusFailed}}, w.final)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: row()})
	c.batch(101 * ms)
	assert.Len(t, m.ended, 1, "an answer that crosses the cut is nobody's")
	assert.Len(t, w.final, 1)
}

func TestARevokeWhileStillDiallingEndsAsNeverSent(t *testing.T) {
	c, m, w := newFront(t)
	out(t, c, m, w)
	m.wish = func(m *module) { m.CancelAttempt(m.begun[0].Ref, 0) }
	c.batch(20 * ms)
	assert.False(t, w.sent[0].Begin(func() {}), "nothing may go out any more")
	m.wish = func(m *module) { m.StartAttempt(m.begun[0].Ref, 0, 30*ms) }
	c.batch(20 * ms)
	assert.Equal(t, routing.NotSent, m.ended[0].Result)
	w.begin(t, 1)
	m.wish = func(m *module) { m.CancelAttempt(m.begun[0].Ref, 1) }
	c.batch(30 * ms)
	c.batch(30 * ms)
	assert.Equal(t, routing.Cancelled, m.ended[1].Result, "that one was on its way")
	assert.Equal(t, 1, w.cuts)
	m.wish = func(m *module) { m.StartAttempt(m.begun[0].Ref, 0, 0) }
	c.batch(40 * ms)
	c.batch(40 * ms)
	assert.Len(t, w.sent, 2, "the site allows two")
	assert.Equal(t, routing.NotSent, m.ended[2].Result)
}

func TestAClientThatLeavesIsOwedNothing(t *testing.T) {
	c, m, w := newFront(t)
	a := out(t, c, m, w)
	w.begin(t, 0)
	c.Post(ClientGone{a})
	m.wish = func(m *module) { m.CancelAttempt(m.begun[0].Ref, 0) }
	c.batch(20 * ms)
	assert.Equal(t, []routing.RequestRef{m.begun[0].Ref}, m.left)
	c.batch(20 * ms)
	assert.True(t, m.ended[0].RequestFinished)
	assert.Empty(t, w.final)
	assert.Zero(t, c.requests.table.Len())
}

func TestAPlaceIsNotReusedWhileSomethingIsOut(t *testing.T) {
	c, m, w := newFront(t)
	out(t, c, m, w)
	w.begin(t, 0)
	m.wish = func(m *module) { m.Reject(m.begun[0].Ref, 40*ms) }
	c.batch(20 * ms)
	assert.Equal(t, []Response{{Status: StatusRejected, RetryAfter: 40 * ms}}, w.final)
	arrive(t, c, w, strings.Replace(browse, "id=1", "id=2", 1))
	c.batch(30 * ms)
	assert.NotEqual(t, m.begun[0].Ref.Slot, m.begun[1].Ref.Slot)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: row()})
	arrive(t, c, w, browse)
	c.batch(40 * ms)
	assert.Equal(t, m.begun[0].Ref.Slot, m.begun[2].Ref.Slot)
	assert.NotEqual(t, m.begun[0].Ref.Generation, m.begun[2].Ref.Generation)
	assert.Len(t, w.final, 1, "the answer came too late for its request and is not the new one's")
}

func TestAStatementThatNamesNothingKnownGoesNowhere(t *testing.T) {
	for _, text := range []string{
		"SELECT 'k' /* id=7,c=unheard,d=1,cluster=9 */", "SELECT 'k' /* id=7,c=order,d=1,cluster=9 */",
		"SELECT 'k' /* id=7,c=browse,d=1,cluster=8 */", "SELECT 'k' /* id=7,c=browse,d=1,cluster=9,t=nobody */",
		"INSERT INTO facts (code, data) VALUES ('k', '') /* id=7,c=browse,d=1,cluster=9 */",
	} {
		c, m, w := newFront(t)
		a := arrive(t, c, w, text)
		c.Post(ClientGone{a})
		c.batch(ms)
		assert.Equal(t, StatusInvalid, w.final[0].Status, text)
		assert.Empty(t, m.begun)
		assert.Empty(t, m.left)
	}
}

func TestAProbeBringsItsReport(t *testing.T) {
	c, m, w := newFront(t)
	m.wish = func(m *module) { m.StartHealthCheck(0) }
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
	m.wish = func(m *module) { m.StartHealthCheck(0) }
	c.batch(2 * ms)
	assert.Equal(t, routing.LoadReport{InFlight: 2, Queued: -1, Utilization: -1, LatencyMillis: -1, RequestRate: -1, ErrorRate: -1, Role: routing.Primary,
		HasPosition: true, Position: 62500 * time.Microsecond}, m.probed[0])
	c.batch(252 * ms)
	assert.Len(t, m.probed, 2, "a silent member's probe ends with the limit for dialling")
}

func TestAllAtHandIsOneBatch(t *testing.T) {
	c, m, w := newFront(t)
	for _, id := range []string{"id=1", "id=2", "id=3"} {
		arrive(t, c, w, strings.Replace(browse, "id=1", id, 1))
	}
	before := m.settled
	c.batch(5 * ms)
	assert.Len(t, m.begun, 3)
	assert.Equal(t, before+1, m.settled)
}

// Ten members turned each such statement away, and the module counted ten failures for it.
func TestAStatementThatAMemberCannotUseIsAnsweredAtOnce(t *testing.T) {
	for _, code := range []string{"42601", "08P01", "22P02"} {
		c, m, w := newFront(t)
		out(t, c, m, w)
		w.begin(t, 0)
		c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: pgwire.QueryResult{Code: code}})
		c.batch(20 * ms)
		assert.Equal(t, StatusInvalid, w.final[0].Status)
		assert.Equal(t, code, w.final[0].Code)
		assert.True(t, m.ended[0].RequestFinished && m.ended[0].Result == routing.Misrouted, "the member is well")
	}
}

func TestAnIDInHandIsNotTakenTwice(t *testing.T) {
	c, m, w := newFront(t)
	out(t, c, m, w)
	w.begin(t, 0)
	thief := &wires{}
	arrive(t, c, thief, browse)
	c.batch(20 * ms)
	assert.Equal(t, StatusInvalid, thief.final[0].Status)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Answer: row()})
	arrive(t, c, w, browse)
	c.batch(30 * ms)
	assert.Len(t, m.begun, 2, "free again once it is answered")
	assert.Empty(t, w.final[1:])
}

// A probe sent on the fleet's word is none that the module waits for, so it may give the member's place back meanwhile.
func TestAProbeOfAMemberThatIsForgottenSaysNothingOfTheNext(t *testing.T) {
	c, m, w := newFront(t)
	c.Post(HealthCheckRequested{Server: "s-1"})
	c.batch(ms)
	w.begin(t, 0)
	m.wish = func(m *module) { m.ReleaseServer(0) }
	c.batch(2 * ms)
	c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{{Name: "s-3", Address: "y", Zone: "a", Group: 9}}}})
	c.batch(3 * ms)
	c.Post(&AttemptFinished{Attempt: w.sent[0], Err: &ConnectionError{Stage: StageDial}})
	c.batch(4 * ms)
	assert.Empty(t, m.probed)
	c.Post(HealthCheckRequested{Server: "s-3"})
	c.batch(5 * ms)
	w.begin(t, 1)
	c.batch(time.Second)
	assert.Len(t, m.probed, 1, "its own counts")
}

func TestAForgottenMembersPlaceIsAnothers(t *testing.T) {
	c, m, w := newFront(t)
	change := func(name string) {
		c.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Endpoints: []discovery.Endpoint{
			{Name: name, Address: "y", Zone: "a", Group: 9}}}})
	}
	m.wish = func(m *module) { m.ReleaseServer(0) }
	c.batch(ms)
	assert.Equal(t, []int{0}, w.forgot)
	change("s-3")
	change("s-4")
	change("s-1") // back again, as one that nothing is known of
	c.batch(2 * ms)
	var places []int
	for _, e := range m.listed[1:] {
		places = append(places, e.Server)
	}
	assert.Equal(t, []int{0, 1, 2}, places)
	assert.Equal(t, "s-3", c.servers.names.Key(0))
}
