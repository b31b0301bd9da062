package front

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
	"dapplerouter/sqlclass"
)

// script drives a core step by step and records, in order, all that leaves the core: attempts with the bytes that their servers read,
// aborts, addresses, responses, calls of the auditor and of the router.
type script struct {
	t    *testing.T
	core *Core
	host routing.Host
	do   func() // what the router asks for at the next Reconcile
	refs []routing.RequestRef
	sent []*Attempt
	now  time.Duration
	out  strings.Builder
}

func (s *script) line(format string, args ...any) {
	fmt.Fprintf(&s.out, "%v ", s.now)
	fmt.Fprintf(&s.out, format, args...)
	s.out.WriteByte('\n')
}

// newScript makes a core of two request types, with a lease until 10 s.
func newScript(t *testing.T, classing *Classifier) *script {
	s := &script{t: t}
	st := &deployment.Settings{TypeNames: []string{"browse", "order", "cart"}, ZoneNames: []string{"a", "b"}, CustomerNames: []string{"acme"},
		RequestTypes: []routing.RequestType{
			{Consistency: routing.BoundedStaleness, MaxStaleness: 300 * ms, Deadline: time.Second},
			{Consistency: routing.Write, Idempotency: routing.IdempotencyKey, DedupWindow: 400 * ms, Deadline: 2 * time.Second},
			{Consistency: routing.ReadYourWrites, Deadline: time.Second}},
		Limits: routing.Limits{MaxAttempts: 5, DialTimeout: 250 * ms, MaxRetryAfter: 700 * ms}}
	s.core = NewCore(Options{StartedAt: testEpoch, Seed: 1, Settings: st, Pools: scriptPools{s}, Endpoints: scriptPools{s}, Classifier: classing,
		NewRouter: func(h routing.Host, _ routing.Options) routing.Router {
			s.host = h
			return scriptRouter{s}
		}})
	s.core.JoinFleet(FleetOptions{Clock: func() time.Duration { return s.now }, Auditor: scriptAudit{s}, OnStandby: func(on bool) { s.line("standby %v", on) }})
	s.core.clock = func() time.Duration { return s.now }
	s.core.SetStaticEndpoints([]discovery.Endpoint{{Name: "remote", Address: RemoteSitePrefix + "west/9", Zone: "b", ServerType: "site", Group: 9}})
	s.core.Post(RenewLease{Expiry: 10 * time.Second})
	s.core.Post(EndpointsChanged{Kind: routing.Snapshot, List: discovery.List{Index: 7, Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: "10.0.0.1:5432", Zone: "a", ServerType: "large", Group: 9, StartedAtMillis: 999_500, Primary: true, Weight: 1},
		{Name: "s-2", Address: "10.0.0.2:5432", Zone: "b", ServerType: "large", Group: 9, StartedAtMillis: 998_000, Weight: 0.5}}}})
	s.step(ms, nil)
	return s
}

// step runs a batch at a moment, in which the router asks for something.
func (s *script) step(now time.Duration, do func()) {
	s.now, s.do = now, do
	s.core.Step(now)
}

// request posts a statement.
func (s *script) request(text string) *Request {
	st, err := pgwire.ParseStatement([]byte(text + "\x00"))
	require.NoError(s.t, err)
	a := NewRequest(scriptPools{s}, st, s.now)
	s.core.Post(a)
	return a
}

// submit has the router start an attempt of the newest request.
func (s *script) submit(server int, within time.Duration) func() {
	return func() { s.host.StartAttempt(s.refs[len(s.refs)-1], server, within) }
}

// reject has the router reject the newest request, unless it is answered.
func (s *script) reject() func() {
	return func() {
		if ref := s.refs[len(s.refs)-1]; s.core.requests.table.Get(ref) != nil {
			s.host.Reject(ref, 0)
		}
	}
}

// begin writes the last attempt to its server.
func (s *script) begin() *Attempt {
	a := s.sent[len(s.sent)-1]
	n := len(s.sent) - 1
	if !a.Begin(func() { s.line("cut %d", n) }) {
		s.line("not begun %d", n)
		return a
	}
	s.line("wrote %d %q", n, a.Message())
	return a
}

// finish brings what came of the last attempt.
func (s *script) finish(e AttemptFinished) {
	e.Attempt = s.sent[len(s.sent)-1]
	s.core.Post(&e)
}

// answer is a server's result.
func (s *script) answer(role string, applied int64) pgwire.QueryResult {
	return pgwire.QueryResult{Complete: true, Rows: []byte("rows"), Role: role, AppliedMillis: applied, HasApplied: true,
		LoadReport: []byte("x0=1000.5,inflight=3,waiting=1")}
}

type scriptRouter struct{ s *script }

func (m scriptRouter) EndpointsChanged(_ time.Duration, k routing.UpdateKind, index int64, entries []routing.Endpoint) {
	m.s.line("list %d %d", k, index)
	for _, e := range entries {
		m.s.line("  entry %d %d %d %d %d %v %v %v %v", e.Server, e.Zone, e.Kind, e.Group, e.State, e.Weight, e.Primary, e.StartedAt, e.HasStartTime)
	}
}
func (m scriptRouter) RequestReceived(_ time.Duration, t routing.Request) {
	m.s.refs = append(m.s.refs, t.Ref)
	m.s.line("request %d.%d type %d customer %d session %x group %d budget %v hint %v token %v bound %v window %v retry %v write %v", t.Ref.Slot, t.Ref.Generation,
		t.Type, t.Customer, t.Session, t.Group, t.Timeout, t.ExpectedWork.Round(ms), t.TokenAge, t.MaxStaleness, t.DedupWindow, t.Retry, t.Write)
}
func (m scriptRouter) AttemptFinished(_ time.Duration, o routing.AttemptOutcome) {
	m.s.line("ended %d.%d attempt %d server %d ending %d closed %v latency %v position %v %v role %d load %s", o.Ref.Slot, o.Ref.Generation, o.AttemptNumber, o.Server, o.Result,
		o.RequestFinished, o.Latency, o.Position, o.HasPosition, o.Role, loadText(o.Load))
}
func (m scriptRouter) ClientGone(_ time.Duration, r routing.RequestRef) {
	m.s.line("left %d.%d", r.Slot, r.Generation)
}
func (m scriptRouter) ClockCorrected(_, by time.Duration)        { m.s.line("redated by %v", by) }
func (m scriptRouter) GossipReceived(time.Duration, int, []byte) { m.s.line("heard") }
func (m scriptRouter) TimerFired(time.Duration)                  { m.s.line("woken") }
func (m scriptRouter) RequiredPosition(routing.RequestRef) (time.Duration, bool) {
	return 2500 * time.Microsecond, true
}
func (m scriptRouter) HealthCheckFinished(_ time.Duration, server int, e routing.AttemptResult, d time.Duration, l routing.LoadReport) {
	m.s.line("probed %d ending %d latency %v load %s", server, e, d, loadText(l))
}
func (m scriptRouter) Reconcile(time.Duration) {
	if do := m.s.do; do != nil {
		m.s.do = nil
		do()
	}
}

func loadText(l routing.LoadReport) string {
	return fmt.Sprint(l.InFlight, l.Queued, l.Position, l.HasPosition, l.Role, l.Utilization, l.LatencyMillis, l.RequestRate, l.ErrorRate)
}

type scriptPools struct{ s *script }

func (w scriptPools) SetAddress(server int, address string, age time.Duration) {
	w.s.line("address %d %s age %v", server, address, age)
}
func (w scriptPools) Send(server int, a *Attempt) {
	w.s.line("send %d to %d until %v", len(w.s.sent), server, a.deadline)
	if way, probe := a.Forwarded(); way.RequestID != 0 || probe {
		w.s.line("  forwarded %x try %d group %d until %v grant %d write %v after %d probe %v", way.RequestID, way.AttemptNumber, way.Group, way.Deadline, way.MaxAttempts, way.Write, way.MinPosition, probe)
	}
	w.s.sent = append(w.s.sent, a)
}
func (w scriptPools) Remove(server int) { w.s.line("forget %d", server) }
func (w scriptPools) Watch(on bool)     { w.s.line("watch %v", on) }
func (w scriptPools) Fetch()            { w.s.line("fetch") }
func (w scriptPools) Respond(f Response) {
	w.s.line("answer status %d rows %q come %v code %q reason %q mayrun %v primary %v place %d age %v %v", f.Status, f.Rows, f.RetryAfter, f.Code, f.Reason,
		f.MayHaveRun, f.FromPrimary, f.Position, f.DataAge, f.DataAgeKnown)
}

type scriptAudit struct{ s *script }

func (l scriptAudit) RequestAccepted(_ time.Duration, id []byte, typ int) uint32 {
	l.s.line("audit taken %s %d", id, typ)
	return 40 + uint32(len(l.s.refs))
}
func (l scriptAudit) RequestFinished(_ time.Duration, span uint32, typ int, w Status) {
	l.s.line("audit ended %d %d %d", span, typ, w)
}
func (l scriptAudit) EndpointsChanged(_ time.Duration, index int64) {
	l.s.line("audit listed %d", index)
}
func (l scriptAudit) Tick(time.Duration)  { l.s.line("audit tick") }
func (l scriptAudit) Close(time.Duration) { l.s.line("audit close") }
func (l scriptAudit) LeaseChanged(_, until time.Duration, standby bool) {
	l.s.line("audit right %v %v", until, standby)
}
func (l scriptAudit) ConfigAdopted(_ time.Duration, version uint64) {
	l.s.line("audit adopted %d", version)
}

const (
	scriptRead  = "SELECT data FROM facts WHERE code = 'k' /* id=r%d,c=browse,t=acme,d=200,cluster=9 */"
	scriptWrite = "INSERT INTO facts (code, data) VALUES ('k', '') /* id=w%d,c=order,k=5c,d=900,cluster=9 */"
	scriptCart  = "SELECT data FROM facts WHERE code = 'q' /* id=c%d,c=cart,d=500,cluster=9,after=999990 */"
)

// All that leaves the core in a scripted run equals the committed file, byte for byte.
func TestScriptedRun(t *testing.T) {
	s := newScript(t, nil)

	s.line("# a read that a replica serves, whose first server refuses, and that is forwarded")
	s.request(fmt.Sprintf(scriptRead, 1))
	s.step(5*ms, s.submit(1, 0))
	s.now = 30 * ms // the connection comes up late
	s.begin()
	s.finish(AttemptFinished{Answer: pgwire.QueryResult{Code: pgwire.CodeTooManyConnections}})
	s.step(35*ms, s.submit(2, 90*ms))
	s.finish(AttemptFinished{Err: &ConnectionError{StageWrite, errors.New("link down")}})
	s.step(40*ms, s.submit(0, 0))
	s.begin()
	s.finish(AttemptFinished{Answer: s.answer("primary", 1_000_043)})
	s.step(50*ms, nil)

	s.line("# a replica's read, and one of too old data from another site")
	s.request(fmt.Sprintf(scriptRead, 2))
	s.step(60*ms, s.submit(1, 0))
	s.begin()
	s.finish(AttemptFinished{Answer: s.answer("replica", 1_000_020)})
	s.step(64*ms, nil)
	s.request(fmt.Sprintf(scriptRead, 3))
	s.step(70*ms, s.submit(2, 0))
	s.begin()
	s.finish(AttemptFinished{Answer: s.answer("replica", 1_000_020), Remote: true, DataAge: 400 * ms, DataAgeKnown: true})
	s.step(75*ms, s.submit(2, 0))
	s.begin()
	s.finish(AttemptFinished{Answer: s.answer("replica", 1_000_020), Remote: true, DataAge: 100 * ms, DataAgeKnown: true})
	s.step(80*ms, nil)

	s.line("# a write whose connection breaks, is repeated within its window, and rejected")
	s.request(fmt.Sprintf(scriptWrite, 1))
	s.step(100*ms, s.submit(0, 0))
	s.begin()
	s.finish(AttemptFinished{Err: &ConnectionError{StageRead, errors.New("reset")}})
	s.step(150*ms, s.submit(0, 0))
	s.begin()
	s.step(160*ms, func() { s.host.CancelAttempt(s.refs[len(s.refs)-1], 1) })
	s.step(161*ms, s.submit(0, 0))
	s.step(520*ms, nil) // the window ends before the connection is there
	s.begin()
	s.step(530*ms, func() { s.host.Reject(s.refs[len(s.refs)-1], 1500*ms) })

	s.line("# a write that nobody answers in time, and fails")
	s.request(fmt.Sprintf(scriptWrite, 2))
	s.step(600*ms, s.submit(0, 0))
	s.begin()
	s.step(2600*ms, func() { s.host.Fail(s.refs[len(s.refs)-1]) })

	s.line("# errors of servers")
	for i, a := range []pgwire.QueryResult{{Code: "25006"}, {Code: "72000"}, {Code: "XX000"}, {Code: "22P02", ErrorMessage: "bad value"}, {Code: "42601"},
		{TooLong: true, ErrorMessage: "executed"}, {}} {
		s.now = 3*time.Second + time.Duration(i)*100*ms
		s.request(fmt.Sprintf(scriptCart, i))
		s.step(s.now, s.submit(1, 0))
		s.begin()
		s.finish(AttemptFinished{Answer: a})
		s.step(s.now+20*ms, s.reject())
	}
	for i, r := range []FailureStage{StageLocal, StageDial, StageDecode} {
		s.now = 4*time.Second + time.Duration(i)*100*ms
		s.request(fmt.Sprintf(scriptWrite, 10+i))
		s.step(s.now, s.submit(0, 0))
		s.finish(AttemptFinished{Err: &ConnectionError{r, errors.New("cause")}, Release: func() { s.line("released") }})
		s.step(s.now+20*ms, s.reject())
	}

	s.line("# what is answered without the router")
	s.now = 5 * time.Second
	for _, text := range []string{
		"SELECT data FROM facts WHERE code = 'k' /* id=x1,c=other,d=200,cluster=9 */",
		"SELECT data FROM facts WHERE code = 'k' /* id=x2,c=order,d=200,cluster=9 */",
		"SELECT data FROM facts WHERE code = 'k' /* id=x3,c=browse,t=nobody,d=200,cluster=9 */",
		"SELECT data FROM facts WHERE code = 'k' /* id=x4,c=browse,d=200,cluster=10 */",
		fmt.Sprintf(scriptRead, 20), fmt.Sprintf(scriptRead, 20)} {
		s.request(text)
	}
	s.step(5*time.Second, nil)
	s.request(fmt.Sprintf(scriptRead, 21))
	s.step(5*time.Second+200*ms, func() { s.host.Fail(s.refs[len(s.refs)-1]) })

	s.line("# a client that leaves, health checks, a server that drains and one that is released")
	a := s.request(fmt.Sprintf(scriptWrite, 30))
	s.step(5300*ms, s.submit(1, 0))
	s.core.Post(a.MarkClientGone())
	s.core.Post(HealthCheckRequested{Server: "s-2"})
	s.step(5310*ms, func() {
		s.host.StartHealthCheck(0)
		s.host.SetTimer(20 * ms)
		s.host.WatchEndpoints(true)
		s.host.FetchEndpoints()
		s.host.SendGossip(0, nil)
		s.host.Log("said")
	})
	s.begin()
	s.finish(AttemptFinished{Answer: pgwire.SingleValueResult([]byte("x0=1000.5,x1=1,inflight=2"))})
	s.step(5330*ms, nil)
	s.request(fmt.Sprintf(scriptRead, 31))
	s.step(5400*ms, s.submit(1, 0))
	s.core.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Index: 8, Endpoints: []discovery.Endpoint{
		{Name: "s-2", Address: "10.0.0.2:5432", Zone: "b", ServerType: "large", Group: 9, StartedAtMillis: 998_000, State: routing.Draining},
		{Name: "s-3", Address: "10.0.0.3:5432", Zone: "nowhere", Group: 9}}}})
	s.step(5410*ms, func() { s.host.Reject(s.refs[len(s.refs)-1], 10*ms) })
	s.step(5600*ms, func() { s.host.ReleaseServer(1) })

	s.line("# a version is adopted; the lease of the one before runs out; the front shuts down")
	s.request(fmt.Sprintf(scriptWrite, 40))
	s.step(5700*ms, s.submit(0, 0))
	s.begin()
	s.core.Post(AdoptConfig{Version: 2, Rules: &deployment.Rules{MaxStaleness: map[string]time.Duration{"browse": 100 * ms}, DedupWindows: map[string]time.Duration{"order": 200 * ms},
		RejectedGroups: []int64{11}}, LeaseExpiry: 6500 * ms, OnAdopted: func(at time.Duration) { s.line("adopted at %v", at) }, OnOlderFinished: func() { s.line("alone") }})
	s.request(fmt.Sprintf(scriptRead, 41))
	s.request(fmt.Sprintf(scriptWrite, 41))
	s.step(5800*ms, nil)
	s.line("acting on %v", s.core.ActiveVersions())
	s.core.Post(ExpireLease{Version: 0})
	s.step(5900*ms, nil)
	s.line("acting on %v, version %d, lapsed %v", s.core.ActiveVersions(), s.core.ConfigVersion(), s.core.Standby())
	s.step(6500*ms, nil)
	s.request(fmt.Sprintf(scriptRead, 42))
	s.step(6600*ms, nil)
	s.core.Post(RenewLease{Version: 2, Expiry: 20 * time.Second})
	s.step(6700*ms, nil)
	s.request(fmt.Sprintf(scriptRead, 43))
	s.request(fmt.Sprintf(scriptWrite, 43))
	s.step(6800*ms, s.submit(0, 0))
	s.begin()
	s.core.Post(AuditTick{})
	s.core.Post(Shutdown{})
	s.request(fmt.Sprintf(scriptRead, 44))
	s.core.Post(CloseAudit{OnClosed: func() { s.line("closed") }})
	s.step(6900*ms, nil)

	assertScript(t, s, "testdata/scripted_run.txt")
}

// The same where statements are classified: types by rule and by comment, undeclared writes, and invalid requests.
func TestScriptedRunOfClassifiedStatements(t *testing.T) {
	settings := &sqlclass.Settings{CacheBytes: 1 << 20, Rules: []sqlclass.Rule{{Type: "order", Class: sqlclass.Write, Tables: []string{"facts"}},
		{Type: "browse", Class: sqlclass.Read, Tables: []string{"facts"}}}}
	classing := settings.NewClassifier()
	s := newScript(t, &Classifier{Classifier: classing, UndeclaredWriteEffect: routing.IdempotencyKey})
	for i, text := range []string{
		"SELECT data FROM facts /* id=1,d=300,cluster=9 */",
		"UPDATE facts SET data = 'x' WHERE code = 'k' /* id=2,d=300,cluster=9,k=1 */",
		"UPDATE facts SET data = 'x' WHERE code = 'k' /* id=3,c=browse,d=300,cluster=9 */",
		"SELECT data FROM facts WHERE code = 'k' /* id=4,c=order,d=300,cluster=9 */",
		"SELECT data FROM other /* id=5,d=300,cluster=9 */",
		"SELECT data FROM other /* id=6,c=nothing,d=300,cluster=9 */",
		"SELECT count(*) FROM facts /* id=7,c=cart,d=300,cluster=9 */",
		"SELECT data FROM facts WHERE code = 'k' /* id=8,c=cart,d=300,cluster=9 */",
		"DELETE FROM facts /* id=9,c=cart,d=300,cluster=9 */",
	} {
		s.line("# %s", text)
		s.now = time.Duration(10+i) * ms
		st, err := pgwire.ParseClassified([]byte(text+"\x00"), classing)
		require.NoError(t, err)
		s.core.Post(NewRequest(scriptPools{s}, st, s.now))
		s.step(s.now, func() {
			if len(s.refs) > 0 {
				s.submit(0, 0)()
			}
		})
	}
	s.begin()
	s.finish(AttemptFinished{Answer: pgwire.QueryResult{TooLong: true, ErrorMessage: "executed, but its answer is too long"}})
	s.step(30*ms, nil)
	assertScript(t, s, "testdata/scripted_run_classed.txt")
}

func assertScript(t *testing.T, s *script, file string) {
	t.Helper()
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	got := strings.Split(s.out.String(), "\n")
	lines := strings.Split(string(want), "\n")
	for i := range min(len(got), len(lines)) {
		require.Equal(t, lines[i], got[i], "%s:%d", file, i+1)
	}
	assert.True(t, slices.Equal(lines, got), "%d lines, %d in %s", len(got), len(lines), file)
}
