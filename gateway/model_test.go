package gateway

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var smallSettings = Settings{HeartbeatInterval: 100 * ms, PeerTimeout: 300 * ms, RecoveryTimeout: 500 * ms, OutcomeRetention: 1500 * ms, MaxInFlight: 8,
	CreditBytes: MaxDataBytes + frameOverhead, MaxRetainedBytes: 8 * MaxDataBytes}

// connection has the frames that are in flight on a connection, in each direction.
type connection struct{ toFar, toNear []Frame }

// serverExecution is an execution at a server of the far site. It continues when the far instance restarts.
type serverExecution struct {
	request   uint64
	execution uint64
	epoch     uint64 // of the far instance
	committed bool
	reported  bool // its result was reported to the far instance
}

// model consists of two instances, near and far, the connections between them, and the servers of the far site. The near instance
// behaves like the router with non-idempotent requests: it retries a request only if it is proven not to have been executed.
type model struct {
	now               time.Duration
	near, far         *Endpoint
	nearConn, farConn *connection // the connection that each instance regards as the current one
	connectionNumber  uint64
	epoch             uint64 // of the far instance
	nearEpoch         uint64
	numberedFrom      uint64 // the near instance's request IDs are the numbers of requests less this: they begin anew with each restart
	executions        []*serverExecution
	effects           map[uint64]int    // by request: number of commits
	finished          map[uint64]int    // by request: number of final outcomes
	rejected          map[uint64]bool   // by request: it finally ended as not executed
	attempts          map[uint64]uint32 // by request: number of its current attempt
	lastRequest       uint64
	disconnects       int
	restarts          int
	nearRestarts      int
	violations        []string
}

func newModel() *model {
	return &model{near: New(smallSettings, 1), nearEpoch: 1, far: New(smallSettings, 100), epoch: 100, effects: map[uint64]int{}, finished: map[uint64]int{},
		rejected: map[uint64]bool{}, attempts: map[uint64]uint32{}}
}

// addViolation records a violation of an invariant.
func (m *model) addViolation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// pump puts the frames of both endpoints on their connections, starts the requested executions and handles the outcomes.
func (m *model) pump() {
	for again := true; again; {
		again = false
		for f, ok := m.near.NextFrame(m.now); ok && m.nearConn != nil; f, ok = m.near.NextFrame(m.now) {
			m.nearConn.toFar = append(m.nearConn.toFar, f)
		}
		for f, ok := m.far.NextFrame(m.now); ok && m.farConn != nil; f, ok = m.far.NextFrame(m.now) {
			m.farConn.toNear = append(m.farConn.toNear, f)
		}
		for _, s := range m.far.TakePeerRequests() {
			if s.IsCancel {
				continue // an execution at a server may commit even if it is canceled
			}
			m.executions = append(m.executions, &serverExecution{request: uint64(s.Data[0]), execution: s.Execution, epoch: m.epoch})
		}
		for _, e := range m.near.TakeOutcomes() {
			again = true
			m.handleOutcome(e)
		}
	}
}

// handleOutcome checks an outcome against the executions, and retries the request if it was not executed.
func (m *model) handleOutcome(e Outcome) {
	e.ID += m.numberedFrom
	switch {
	case e.NotExecuted:
		for _, x := range m.executions {
			if x.request == e.ID && e.Result == nil {
				m.addViolation("request %d ended as not executed, and was executed", e.ID)
			}
		}
		m.attempts[e.ID]++
		if m.attempts[e.ID] < 3 && m.near.State() == Up {
			m.near.Forward(m.now, m.request(e.ID))
			return
		}
		m.finished[e.ID]++
		m.rejected[e.ID] = true
	case e.Result != nil && e.Result.Status == StatusSucceeded:
		if m.effects[e.ID] != 1 {
			m.addViolation("request %d served with %d effects", e.ID, m.effects[e.ID])
		}
		if row := string(e.Result.Data); row != rowOf(e.ID) {
			m.addViolation("request %d served with %q", e.ID, row)
		}
		m.finished[e.ID]++
	default:
		m.finished[e.ID]++ // failed or unknown
	}
	if m.finished[e.ID] > 1 {
		m.addViolation("request %d ended twice", e.ID)
	}
}

// rowOf returns the row that the servers return for a request.
func rowOf(id uint64) string { return fmt.Sprint("row ", id) }

// request returns the current attempt of a request.
func (m *model) request(id uint64) ForwardedRequest {
	return ForwardedRequest{ID: id - m.numberedFrom, AttemptNumber: m.attempts[id], Group: int64(id % 2), Deadline: m.now + 3*time.Second, MaxAttempts: 1, Write: true,
		Message: []byte{byte(id)}}
}

// event is a step of the model.
type event int

const (
	requestArrives event = iota
	farReceives
	nearReceives
	nearLosesConnection // the far instance still receives the frames in flight
	farLosesConnection
	sitesConnect
	serverCommits
	farReceivesResult
	farRestarts  // executions at its servers continue
	nearRestarts // its requests get no outcome
	timePasses
	eventCount
)

// limits bound the number of requests, lost connections and restarts.
type limits struct{ requests, disconnects, restarts, nearRestarts int }

// step performs an event. It returns false if the event is not possible in the current state or exceeds the bounds.
func (m *model) step(e event, bounds limits) bool {
	switch e {
	case requestArrives:
		if int(m.lastRequest) >= bounds.requests {
			return false
		}
		m.lastRequest++
		m.near.Forward(m.now, m.request(m.lastRequest))
	case farReceives:
		if m.farConn == nil || len(m.farConn.toFar) == 0 {
			return false
		}
		f := m.farConn.toFar[0]
		m.farConn.toFar = m.farConn.toFar[1:]
		if err := m.far.Receive(m.now, &f); err != nil {
			m.addViolation("far endpoint: %v", err)
		}
	case nearReceives:
		if m.nearConn == nil || len(m.nearConn.toNear) == 0 {
			return false
		}
		f := m.nearConn.toNear[0]
		m.nearConn.toNear = m.nearConn.toNear[1:]
		if err := m.near.Receive(m.now, &f); err != nil {
			m.addViolation("near endpoint: %v", err)
		}
	case nearLosesConnection:
		if m.nearConn == nil || m.disconnects >= bounds.disconnects {
			return false
		}
		m.disconnects++
		m.nearConn = nil
		m.near.ConnectionLost(m.now)
	case farLosesConnection:
		if m.farConn == nil || m.disconnects >= bounds.disconnects {
			return false
		}
		m.disconnects++
		m.farConn = nil
		m.far.ConnectionLost(m.now)
	case sitesConnect:
		if m.nearConn != nil && m.nearConn == m.farConn {
			return false
		}
		m.connectionNumber++
		p := &connection{}
		nh, fh := m.near.Hello("n", m.connectionNumber), m.far.Hello("f", m.connectionNumber)
		if m.far.AcceptHello(m.now, &nh, m.connectionNumber, false) != nil || m.near.AcceptHello(m.now, &fh, m.connectionNumber, true) != nil {
			m.addViolation("hello rejected")
		}
		m.nearConn, m.farConn = p, p
	case serverCommits:
		for _, x := range m.executions {
			if !x.committed && !x.reported {
				x.committed = true
				m.effects[x.request]++
				if m.rejected[x.request] {
					m.addViolation("request %d was rejected, and took effect", x.request)
				}
				if m.effects[x.request] > 1 {
					m.addViolation("request %d took effect twice", x.request)
				}
				m.pump()
				return true
			}
		}
		return false
	case farReceivesResult:
		for _, x := range m.executions {
			if x.committed && !x.reported && x.epoch == m.epoch {
				x.reported = true
				m.far.ExecutionFinished(m.now, x.execution, Frame{Status: StatusSucceeded, Data: []byte(rowOf(x.request))})
				m.pump()
				return true
			}
		}
		return false
	case nearRestarts:
		if m.nearRestarts >= bounds.nearRestarts {
			return false
		}
		m.nearRestarts++
		m.restartNear()
	case farRestarts:
		if m.restarts >= bounds.restarts {
			return false
		}
		m.restarts++
		m.epoch++
		m.far, m.farConn = New(smallSettings, m.epoch), nil
	case timePasses:
		m.now += 300 * ms
		if m.near.Tick(m.now) != nil {
			m.nearConn = nil
		}
		if m.far.Tick(m.now) != nil {
			m.farConn = nil
		}
	}
	m.pump()
	return true
}

// restartNear replaces the near instance by a new process. The clients of its requests are lost with it.
func (m *model) restartNear() {
	for id := m.numberedFrom + 1; id <= m.lastRequest; id++ {
		m.finished[id] = 1
	}
	m.nearEpoch++
	m.near, m.nearConn, m.numberedFrom = New(smallSettings, m.nearEpoch), nil, m.lastRequest
}

// finish lets time pass until every request must have an outcome, and checks that each has exactly one.
func (m *model) finish() {
	for range 20 {
		m.step(timePasses, limits{})
	}
	for id := uint64(1); id <= m.lastRequest; id++ {
		if m.finished[id] != 1 {
			m.addViolation("request %d ended %d times", id, m.finished[id])
		}
	}
}

// stateKey returns a key for the state. States with equal keys are treated as equal by explore.
func (m *model) stateKey() string {
	var b strings.Builder
	fmt.Fprint(&b, m.now/(300*ms), m.disconnects, m.restarts, m.nearRestarts, m.numberedFrom, m.lastRequest, m.nearConn == nil, m.farConn == nil, m.nearConn == m.farConn,
		m.effects, m.finished, m.attempts)
	for _, p := range []*connection{m.nearConn, m.farConn} {
		if p != nil {
			for _, f := range append(append([]Frame{}, p.toFar...), p.toNear...) {
				fmt.Fprint(&b, "|", f.Kind, f.ID, f.AttemptNumber, f.Status)
			}
		}
	}
	for _, s := range []*Endpoint{m.near, m.far} {
		var lines []string
		for _, x := range s.forwards.pending {
			lines = append(lines, fmt.Sprint(x.ID, x.AttemptNumber, x.state, x.peerEpoch, (m.now-x.unknownSince)/(300*ms)))
		}
		for _, r := range s.execs.byRequest {
			lines = append(lines, fmt.Sprint("r", r.id, r.attemptNumber, r.result == nil))
		}
		sort.Strings(lines)
		fmt.Fprint(&b, s.state, lines, s.execs.evictedSerial, len(s.unsentResults), len(s.controlFrames))
	}
	for _, x := range m.executions {
		fmt.Fprint(&b, x.request, x.committed, x.reported, x.epoch == m.epoch)
	}
	return b.String()
}

// replay performs a sequence of events on a new model. It returns false if one of them is not possible.
func replay(path []event, bounds limits) (*model, bool) {
	m := newModel()
	m.step(sitesConnect, limits{})
	for _, e := range path {
		if !m.step(e, bounds) {
			return m, false
		}
	}
	return m, true
}

// explore performs every sequence of events up to a depth, breadth first, and checks the invariants in each state that it reaches.
// It visits each state once and at most maxStates states.
func explore(t *testing.T, depth, maxStates int, bounds limits) (states int) {
	seen := map[string]bool{}
	level := [][]event{nil}
	for d := 0; d < depth && len(level) > 0; d++ {
		var next [][]event
		for _, path := range level {
			for e := range eventCount {
				to := append(append([]event{}, path...), e)
				m, ok := replay(to, bounds)
				if !ok {
					continue
				}
				key := m.stateKey()
				if seen[key] {
					continue
				}
				seen[key] = true
				next = append(next, to)
				m.finish()
				require.Empty(t, m.violations, "after %v", to)
				if len(seen) >= maxStates {
					return len(seen)
				}
			}
		}
		level = next
	}
	return len(seen)
}

func TestInvariantsHoldForEveryOrderOfEventsInSmallCases(t *testing.T) {
	depth, maxStates := 12, 30_000
	if testing.Short() {
		maxStates = 5_000
	}
	for _, bounds := range []limits{{1, 2, 1, 0}, {2, 1, 1, 0}, {2, 2, 0, 0}, {3, 1, 0, 0}, {2, 0, 0, 1}, {2, 1, 1, 1}} {
		n := explore(t, depth, maxStates, bounds)
		t.Logf("%d requests, %d disconnects, %d and %d restarts: %d states", bounds.requests, bounds.disconnects, bounds.restarts, bounds.nearRestarts, n)
	}
}

func TestInvariantsHoldInLongRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range 150 {
			m.step(event(rapid.IntRange(0, int(eventCount)-1).Draw(t, "event")), limits{requests: 12, disconnects: 20, restarts: 3, nearRestarts: 4})
			if len(m.violations) > 0 {
				t.Fatalf("%v", m.violations)
			}
		}
		m.finish()
		if len(m.violations) > 0 {
			t.Fatalf("%v", m.violations)
		}
	})
}
