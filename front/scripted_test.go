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

// script drives a core step by step and records, in order, all its output: attempts with the bytes that are sent to the servers, aborts,
// addresses, responses, and calls of the auditor and of the router.
type script struct {
	t    *testing.T
	core *Core
	host routing.Host
	do   func() // called at the router's next Reconcile
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

// newScript creates a core with three request types, two servers, a remote site and a lease until 10 s.
func newScript(t *testing.T, classifier *Classifier) *script {
	s := &script{t: t}
	st := &deployment.Settings{TypeNames: []string{"browse", "order", "cart"}, ZoneNames: []string{"a", "b"}, CustomerNames: []string{"acme"},
		RequestTypes: []routing.RequestType{
			{Consistency: routing.BoundedStaleness, MaxStaleness: 300 * ms, Deadline: time.Second},
			{Consistency: routing.Write, Idempotency: routing.IdempotencyKey, DedupWindow: 400 * ms, Deadline: 2 * time.Second},
			{Consistency: routing.ReadYourWrites, Deadline: time.Second}},
		Limits: routing.Limits{MaxAttempts: 5, DialTimeout: 250 * ms, MaxRetryAfter: 700 * ms}}
	s.core = NewCore(Options{StartedAt: testEpoch, Seed: 1, Settings: st, Pools: scriptPools{s}, Endpoints: scriptPools{s},
		Classifier: classifier, NewRouter: func(h routing.Host, _ routing.Options) routing.Router {
			s.host = h
			return scriptRouter{s}
		}})
	s.core.JoinFleet(FleetOptions{Clock: func() time.Duration { return s.now }, Auditor: scriptAudit{s},
		OnStandby: func(on bool) { s.line("standby %v", on) }})
	s.core.clock = func() time.Duration { return s.now }
	s.core.SetStaticEndpoints([]discovery.Endpoint{
		{Name: "remote", Address: RemoteSitePrefix + "west/9", Zone: "b", ServerType: "site", Group: 9}})
	s.core.Post(RenewLease{Expiry: 10 * time.Second})
	s.core.Post(EndpointsChanged{Kind: routing.Snapshot, List: discovery.List{Index: 7, Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: "10.0.0.1:5432", Zone: "a", ServerType: "large", Group: 9, StartedAtMillis: 999_500, Primary: true, Weight: 1},
		{Name: "s-2", Address: "10.0.0.2:5432", Zone: "b", ServerType: "large", Group: 9, StartedAtMillis: 998_000, Weight: 0.5}}}})
	s.step(ms, nil)
	return s
}

// step runs a batch at the given time. The router calls do in Reconcile.
func (s *script) step(now time.Duration, do func()) {
	s.now, s.do = now, do
	s.core.Step(now)
}

// request parses a statement and posts it as a request.
func (s *script) request(text string) *Request {
	st, err := pgwire.ParseStatement([]byte(text + "\x00"))
	require.NoError(s.t, err)
	r := NewRequest(scriptPools{s}, st, s.now)
	s.core.Post(r)
	return r
}

// start returns a function by which the router starts an attempt of the newest request.
func (s *script) start(server int, timeout time.Duration) func() {
	return func() { s.host.StartAttempt(s.refs[len(s.refs)-1], server, timeout) }
}

// reject returns a function by which the router rejects the newest request, unless it was released.
func (s *script) reject() func() {
	return func() {
		if ref := s.refs[len(s.refs)-1]; s.core.requests.table.Get(ref) != nil {
			s.host.Reject(ref, 0)
		}
	}
}

// begin begins to send the last attempt and records the result.
func (s *script) begin() *Attempt {
	a := s.sent[len(s.sent)-1]
	n := len(s.sent) - 1
	if !a.Begin(func() { s.line("abort %d", n) }) {
		s.line("not begun %d", n)
		return a
	}
	s.line("wrote %d %q", n, a.Message())
	return a
}

// finish posts the result of the last attempt.
func (s *script) finish(e AttemptFinished) {
	e.Attempt = s.sent[len(s.sent)-1]
	s.core.Post(&e)
}

// result returns the result of a successful query.
func (s *script) result(role string, applied int64) pgwire.QueryResult {
	return pgwire.QueryResult{Complete: true, Rows: []byte("rows"), Role: role, AppliedMillis: applied, HasApplied: true,
		LoadReport: []byte("x0=1000.5,inflight=3,waiting=1")}
}

// scriptRouter records its calls and calls the script's do function in Reconcile.
type scriptRouter struct{ s *script }

func (r scriptRouter) EndpointsChanged(_ time.Duration, kind routing.UpdateKind, index int64, endpoints []routing.Endpoint) {
	r.s.line("endpoints changed kind %d index %d", kind, index)
	for _, e := range endpoints {
		r.s.line("  endpoint %d %d %d %d %d %v %v %v %v",
			e.Server, e.Zone, e.ServerType, e.Group, e.State, e.Weight, e.Primary, e.StartedAt, e.HasStartTime)
	}
}
func (r scriptRouter) RequestReceived(_ time.Duration, q routing.Request) {
	r.s.refs = append(r.s.refs, q.Ref)
	r.s.line("request %d.%d type %d customer %d session %x group %d timeout %v expected work %v token age %v max staleness %v "+
		"dedup window %v retry %v write %v", q.Ref.Slot, q.Ref.Generation, q.Type, q.Customer, q.Session, q.Group, q.Timeout,
		q.ExpectedWork.Round(ms), q.TokenAge, q.MaxStaleness, q.DedupWindow, q.Retry, q.Write)
}
func (r scriptRouter) AttemptFinished(_ time.Duration, o routing.AttemptOutcome) {
	r.s.line("attempt finished %d.%d attempt %d server %d result %d request finished %v latency %v position %v %v role %d load %s",
		o.Ref.Slot, o.Ref.Generation, o.AttemptNumber, o.Server, o.Result, o.RequestFinished, o.Latency, o.Position, o.HasPosition, o.Role,
		loadText(o.Load))
}
func (r scriptRouter) ClientGone(_ time.Duration, ref routing.RequestRef) {
	r.s.line("client gone %d.%d", ref.Slot, ref.Generation)
}
func (r scriptRouter) ClockCorrected(_, by time.Duration)        { r.s.line("clock corrected by %v", by) }
func (r scriptRouter) GossipReceived(time.Duration, int, []byte) { r.s.line("gossip received") }
func (r scriptRouter) TimerFired(time.Duration)                  { r.s.line("timer fired") }
func (r scriptRouter) RequiredPosition(routing.RequestRef) (time.Duration, bool) {
	return 2500 * time.Microsecond, true
}
func (r scriptRouter) FreshUntil(routing.RequestRef) (time.Duration, bool)  { return 0, false }
func (r scriptRouter) MayServe(routing.RequestRef, routing.ReadResult) bool { return true }
func (r scriptRouter) HealthCheckFinished(_ time.Duration, server int, result routing.AttemptResult, latency time.Duration,
	l routing.LoadReport) {
	r.s.line("health check finished %d result %d latency %v load %s", server, result, latency, loadText(l))
}
func (r scriptRouter) Reconcile(time.Duration) {
	if do := r.s.do; do != nil {
		r.s.do = nil
		do()
	}
}

func loadText(l routing.LoadReport) string {
	return fmt.Sprint(l.InFlight, l.Queued, l.Position, l.HasPosition, l.Role, l.Utilization, l.LatencyMillis, l.RequestRate, l.ErrorRate)
}

// scriptPools stands in for the pools, the endpoint source and the client, and records their calls.
type scriptPools struct{ s *script }

func (p scriptPools) SetAddress(server int, address string, uptime time.Duration) {
	p.s.line("address %d %s uptime %v", server, address, uptime)
}
func (p scriptPools) Send(server int, a *Attempt) {
	p.s.line("send %d to %d until %v", len(p.s.sent), server, a.deadline)
	if f, healthCheck := a.Forwarded(); f.RequestID != 0 || healthCheck {
		p.s.line("  forwarded %x attempt %d group %d until %v max attempts %d write %v min position %d health check %v",
			f.RequestID, f.AttemptNumber, f.Group, f.Deadline, f.MaxAttempts, f.Write, f.MinPosition, healthCheck)
	}
	p.s.sent = append(p.s.sent, a)
}
func (p scriptPools) Remove(server int) { p.s.line("remove server %d", server) }
func (p scriptPools) Watch(on bool)     { p.s.line("watch %v", on) }
func (p scriptPools) Fetch()            { p.s.line("fetch") }
func (p scriptPools) Respond(r Response) {
	p.s.line("response status %d rows %q retry after %v code %q reason %q may have run %v from primary %v position %d data age %v %v",
		r.Status, r.Rows, r.RetryAfter, r.Code, r.Reason, r.MayHaveRun, r.FromPrimary, r.Position, r.DataAge, r.DataAgeKnown)
}

// scriptAudit is an Auditor that records its calls.
type scriptAudit struct{ s *script }

func (a scriptAudit) RequestAccepted(_ time.Duration, id []byte, typ int) uint32 {
	a.s.line("audit request accepted %s type %d", id, typ)
	return 40 + uint32(len(a.s.refs))
}
func (a scriptAudit) RequestFinished(_ time.Duration, interval uint32, typ int, status Status) {
	a.s.line("audit request finished interval %d type %d status %d", interval, typ, status)
}
func (a scriptAudit) EndpointsChanged(_ time.Duration, index int64) {
	a.s.line("audit endpoints changed index %d", index)
}
func (a scriptAudit) Tick(time.Duration)  { a.s.line("audit tick") }
func (a scriptAudit) Close(time.Duration) { a.s.line("audit close") }
func (a scriptAudit) LeaseChanged(_, until time.Duration, standby bool) {
	a.s.line("audit lease until %v standby %v", until, standby)
}
func (a scriptAudit) ConfigAdopted(_ time.Duration, version uint64) {
	a.s.line("audit adopted version %d", version)
}

// Statements of the three request types, with the request's number in place of %d.
const (
	scriptRead  = "SELECT data FROM facts WHERE code = 'k' /* id=r%d,c=browse,t=acme,d=200,cluster=9 */"
	scriptWrite = "INSERT INTO facts (code, data) VALUES ('k', '') /* id=w%d,c=order,k=5c,d=900,cluster=9 */"
	scriptCart  = "SELECT data FROM facts WHERE code = 'q' /* id=c%d,c=cart,d=500,cluster=9,after=999990 */"
)

// The recorded output of the core must equal the committed file byte for byte.
func TestScriptedRun(t *testing.T) {
	s := newScript(t, nil)

	s.line("# a read: overloaded at a replica, a write failure at a remote site, then served by the primary")
	s.request(fmt.Sprintf(scriptRead, 1))
	s.step(5*ms, s.start(1, 0))
	s.now = 30 * ms // the connection opens late
	s.begin()
	s.finish(AttemptFinished{Result: pgwire.QueryResult{Code: pgwire.CodeTooManyConnections}})
	s.step(35*ms, s.start(2, 90*ms))
	s.finish(AttemptFinished{Err: &ConnectionError{StageWrite, errors.New("link down")}})
	s.step(40*ms, s.start(0, 0))
	s.begin()
	s.finish(AttemptFinished{Result: s.result("primary", 1_000_043)})
	s.step(50*ms, nil)

	s.line("# a read served by a replica, and one for which a remote site first returns data that is too old")
	s.request(fmt.Sprintf(scriptRead, 2))
	s.step(60*ms, s.start(1, 0))
	s.begin()
	s.finish(AttemptFinished{Result: s.result("replica", 1_000_020)})
	s.step(64*ms, nil)
	s.request(fmt.Sprintf(scriptRead, 3))
	s.step(70*ms, s.start(2, 0))
	s.begin()
	s.finish(AttemptFinished{Result: s.result("replica", 1_000_020), Remote: true, DataAge: 400 * ms, DataAgeKnown: true})
	s.step(75*ms, s.start(2, 0))
	s.begin()
	s.finish(AttemptFinished{Result: s.result("replica", 1_000_020), Remote: true, DataAge: 100 * ms, DataAgeKnown: true})
	s.step(80*ms, nil)

	s.line("# a write whose connection is lost; it is retried within its deduplication window, and rejected")
	s.request(fmt.Sprintf(scriptWrite, 1))
	s.step(100*ms, s.start(0, 0))
	s.begin()
	s.finish(AttemptFinished{Err: &ConnectionError{StageRead, errors.New("reset")}})
	s.step(150*ms, s.start(0, 0))
	s.begin()
	s.step(160*ms, func() { s.host.CancelAttempt(s.refs[len(s.refs)-1], 1) })
	s.step(161*ms, s.start(0, 0))
	s.step(520*ms, nil) // the deduplication window ends before the connection opens
	s.begin()
	s.step(530*ms, func() { s.host.Reject(s.refs[len(s.refs)-1], 1500*ms) })

	s.line("# a write that times out and fails")
	s.request(fmt.Sprintf(scriptWrite, 2))
	s.step(600*ms, s.start(0, 0))
	s.begin()
	s.step(2600*ms, func() { s.host.Fail(s.refs[len(s.refs)-1]) })

	s.line("# errors of servers and of connections")
	for i, result := range []pgwire.QueryResult{{Code: "25006"}, {Code: "72000"}, {Code: "XX000"},
		{Code: "22P02", ErrorMessage: "bad value"}, {Code: "42601"}, {TooLong: true, ErrorMessage: "executed"}, {}} {
		s.now = 3*time.Second + time.Duration(i)*100*ms
		s.request(fmt.Sprintf(scriptCart, i))
		s.step(s.now, s.start(1, 0))
		s.begin()
		s.finish(AttemptFinished{Result: result})
		s.step(s.now+20*ms, s.reject())
	}
	for i, stage := range []FailureStage{StageLocal, StageDial, StageDecode} {
		s.now = 4*time.Second + time.Duration(i)*100*ms
		s.request(fmt.Sprintf(scriptWrite, 10+i))
		s.step(s.now, s.start(0, 0))
		s.finish(AttemptFinished{Err: &ConnectionError{stage, errors.New("cause")}, Release: func() { s.line("released") }})
		s.step(s.now+20*ms, s.reject())
	}

	s.line("# requests that are answered without the router")
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

	s.line("# a client that disconnects, health checks, a draining server and a released one")
	r := s.request(fmt.Sprintf(scriptWrite, 30))
	s.step(5300*ms, s.start(1, 0))
	s.core.Post(r.MarkClientGone())
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
	s.finish(AttemptFinished{Result: pgwire.SingleValueResult([]byte("x0=1000.5,x1=1,inflight=2"))})
	s.step(5330*ms, nil)
	s.request(fmt.Sprintf(scriptRead, 31))
	s.step(5400*ms, s.start(1, 0))
	s.core.Post(EndpointsChanged{Kind: routing.Delta, List: discovery.List{Index: 8, Endpoints: []discovery.Endpoint{
		{Name: "s-2", Address: "10.0.0.2:5432", Zone: "b", ServerType: "large", Group: 9, StartedAtMillis: 998_000, State: routing.Draining},
		{Name: "s-3", Address: "10.0.0.3:5432", Zone: "nowhere", Group: 9}}}})
	s.step(5410*ms, func() { s.host.Reject(s.refs[len(s.refs)-1], 10*ms) })
	s.step(5600*ms, func() { s.host.ReleaseServer(1) })

	s.line("# a version is adopted; the lease of the previous one expires; the front shuts down")
	s.request(fmt.Sprintf(scriptWrite, 40))
	s.step(5700*ms, s.start(0, 0))
	s.begin()
	rules := &deployment.Rules{MaxStaleness: map[string]time.Duration{"browse": 100 * ms},
		DedupWindows: map[string]time.Duration{"order": 200 * ms}, RejectedGroups: []int64{11}}
	s.core.Post(AdoptConfig{Version: 2, Rules: rules, LeaseExpiry: 6500 * ms,
		OnAdopted:       func(at time.Duration) { s.line("adopted at %v", at) },
		OnOlderFinished: func() { s.line("older versions finished") }})
	s.request(fmt.Sprintf(scriptRead, 41))
	s.request(fmt.Sprintf(scriptWrite, 41))
	s.step(5800*ms, nil)
	s.line("active versions %v", s.core.ActiveVersions())
	s.core.Post(ExpireLease{Version: 0})
	s.step(5900*ms, nil)
	s.line("active versions %v, version %d, standby %v", s.core.ActiveVersions(), s.core.ConfigVersion(), s.core.Standby())
	s.step(6500*ms, nil)
	s.request(fmt.Sprintf(scriptRead, 42))
	s.step(6600*ms, nil)
	s.core.Post(RenewLease{Version: 2, Expiry: 20 * time.Second})
	s.step(6700*ms, nil)
	s.request(fmt.Sprintf(scriptRead, 43))
	s.request(fmt.Sprintf(scriptWrite, 43))
	s.step(6800*ms, s.start(0, 0))
	s.begin()
	s.core.Post(AuditTick{})
	s.core.Post(Shutdown{})
	s.request(fmt.Sprintf(scriptRead, 44))
	s.core.Post(CloseAudit{OnClosed: func() { s.line("audit log closed") }})
	s.step(6900*ms, nil)

	assertScript(t, s, "testdata/scripted_run.txt")
}

// The output of a core that classifies statements: request types by rule and by comment, undeclared writes, and invalid requests.
func TestScriptedRunOfClassifiedStatements(t *testing.T) {
	settings := &sqlclass.Settings{CacheBytes: 1 << 20, Rules: []sqlclass.Rule{{RequestType: "order", Class: sqlclass.Write, Tables: []string{"facts"}},
		{RequestType: "browse", Class: sqlclass.Read, Tables: []string{"facts"}}}}
	classifier := settings.NewClassifier()
	s := newScript(t, &Classifier{Classifier: classifier, UndeclaredWriteEffect: routing.IdempotencyKey})
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
		st, err := pgwire.ParseClassified([]byte(text+"\x00"), classifier)
		require.NoError(t, err)
		s.core.Post(NewRequest(scriptPools{s}, st, s.now))
		s.step(s.now, func() {
			if len(s.refs) > 0 {
				s.start(0, 0)()
			}
		})
	}
	s.begin()
	s.finish(AttemptFinished{Result: pgwire.QueryResult{TooLong: true, ErrorMessage: "executed, but its answer is too long"}})
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
