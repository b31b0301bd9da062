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
	CreditBytes: MaxDataBytes + frameOverhead, RetainedBytes: 8 * MaxDataBytes}

// connection holds the frames in flight in each direction.
type connection struct{ toFar, toNear []Frame }

// serverExecution is an execution at the remote site's servers; it outlives the remote instance.
type serverExecution struct {
	request   uint64
	execution uint64
	epoch     uint64
	committed bool
	reported  bool // reported to its instance, or that is gone and it will not commit any more
}

// model is two instances, near and far, the connections between them, and the servers of the far one. The near one acts
// as the router does for non-idempotent requests: it retries only what is proven not to have been executed.
type model struct {
	now               time.Duration
	near, far         *Endpoint
	nearConn, farConn *connection // what each takes for the present connection
	number            uint64
	epoch             uint64
	executions        []*serverExecution
	effects           map[uint64]int
	finished          map[uint64]int // by request: final responses
	rejected          map[uint64]bool
	attempts          map[uint64]uint32
	next              uint64
	disconnects       int
	restarts          int
	violations        []string
}

func newModel() *model {
	return &model{near: New(smallSettings, 1), far: New(smallSettings, 100), epoch: 100, effects: map[uint64]int{}, finished: map[uint64]int{},
		rejected: map[uint64]bool{}, attempts: map[uint64]uint32{}}
}

func (m *model) fail(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// pump sends the frames of both endpoints and carries out what they return.
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
			if s.Canceled {
				continue // what went out to a store may commit all the same
			}
			m.executions = append(m.executions, &serverExecution{request: uint64(s.Data[0]), execution: s.Execution, epoch: m.epoch})
		}
		for _, e := range m.near.TakeOutcomes() {
			again = true
			m.handleOutcome(e)
		}
	}
}

func (m *model) handleOutcome(e Outcome) {
	switch {
	case e.NotExecuted:
		for _, j := range m.executions {
			if j.request == e.ID && e.Result == nil {
				m.fail("request %d ended as not executed, and was executed", e.ID)
			}
		}
		m.attempts[e.ID]++
		if m.attempts[e.ID] < 3 && m.near.State() == Up {
			m.near.Forward(m.now, m.request(e.ID))
			return
		}
		m.finished[e.ID]++
		m.rejected[e.ID] = true
	case e.Result != nil && e.Result.Status == StatusServed:
		if m.effects[e.ID] != 1 {
			m.fail("request %d served with %d effects", e.ID, m.effects[e.ID])
		}
		m.finished[e.ID]++
	default:
		m.finished[e.ID]++ // failed or unknown
	}
	if m.finished[e.ID] > 1 {
		m.fail("request %d ended twice", e.ID)
	}
}

func (m *model) request(id uint64) ForwardedRequest {
	return ForwardedRequest{ID: id, AttemptNumber: m.attempts[id], Group: int64(id % 2), Deadline: m.now + 3*time.Second, MaxAttempts: 1, Write: true,
		Message: []byte{byte(id)}}
}

// event is something that may happen to the two sites.
type event int

const (
	requestArrives event = iota
	farReceives
	nearReceives
	nearLosesConnection // the far site goes on reading what is in flight
	farLosesConnection
	sitesConnect
	serverCommits
	farReceivesResult
	farRestarts // what it sent to servers continues
	timePasses
	eventCount
)

// limits bound how often events happen.
type limits struct{ requests, disconnects, restarts int }

// step makes an event happen; false where it cannot now.
func (m *model) step(e event, most limits) bool {
	switch e {
	case requestArrives:
		if int(m.next) >= most.requests {
			return false
		}
		m.next++
		m.near.Forward(m.now, m.request(m.next))
	case farReceives:
		if m.farConn == nil || len(m.farConn.toFar) == 0 {
			return false
		}
		f := m.farConn.toFar[0]
		m.farConn.toFar = m.farConn.toFar[1:]
		if err := m.far.Receive(m.now, &f); err != nil {
			m.fail("far endpoint: %v", err)
		}
	case nearReceives:
		if m.nearConn == nil || len(m.nearConn.toNear) == 0 {
			return false
		}
		f := m.nearConn.toNear[0]
		m.nearConn.toNear = m.nearConn.toNear[1:]
		if err := m.near.Receive(m.now, &f); err != nil {
			m.fail("near endpoint: %v", err)
		}
	case nearLosesConnection:
		if m.nearConn == nil || m.disconnects >= most.disconnects {
			return false
		}
		m.disconnects++
		m.nearConn = nil
		m.near.ConnectionLost(m.now)
	case farLosesConnection:
		if m.farConn == nil || m.disconnects >= most.disconnects {
			return false
		}
		m.disconnects++
		m.farConn = nil
		m.far.ConnectionLost(m.now)
	case sitesConnect:
		if m.nearConn != nil && m.nearConn == m.farConn {
			return false
		}
		m.number++
		p := &connection{}
		nh, fh := m.near.Hello("n", m.number), m.far.Hello("f", m.number)
		if m.far.AcceptHello(m.now, &nh, m.number, false) != nil || m.near.AcceptHello(m.now, &fh, m.number, true) != nil {
			m.fail("hello rejected")
		}
		m.nearConn, m.farConn = p, p
	case serverCommits:
		for _, j := range m.executions {
			if !j.committed && !j.reported {
				j.committed = true
				m.effects[j.request]++
				if m.rejected[j.request] {
					m.fail("request %d was rejected, and took effect", j.request)
				}
				if m.effects[j.request] > 1 {
					m.fail("request %d took effect twice", j.request)
				}
				m.pump()
				return true
			}
		}
		return false
	case farReceivesResult:
		for _, j := range m.executions {
			if j.committed && !j.reported && j.epoch == m.epoch {
				j.reported = true
				m.far.ExecutionFinished(m.now, j.execution, Frame{Status: StatusServed, Data: []byte("row")})
				m.pump()
				return true
			}
		}
		return false
	case farRestarts:
		if m.restarts >= most.restarts {
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

// finish lets time pass until all requests must have an outcome, and checks that they have.
func (m *model) finish() {
	for range 20 {
		m.step(timePasses, limits{})
	}
	for id := uint64(1); id <= m.next; id++ {
		if m.finished[id] != 1 {
			m.fail("request %d ended %d times", id, m.finished[id])
		}
	}
}

// key distinguishes states as far as what may still happen goes.
func (m *model) key() string {
	var b strings.Builder
	fmt.Fprint(&b, m.now/(300*ms), m.disconnects, m.restarts, m.next, m.nearConn == nil, m.farConn == nil, m.nearConn == m.farConn, m.effects, m.finished, m.attempts)
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
		fmt.Fprint(&b, s.state, lines, s.execs.forgottenSerial, len(s.unsentResults), len(s.controlFrames))
	}
	for _, j := range m.executions {
		fmt.Fprint(&b, j.request, j.committed, j.reported, j.epoch == m.epoch)
	}
	return b.String()
}

func replay(path []event, most limits) (*model, bool) {
	m := newModel()
	m.step(sitesConnect, limits{})
	for _, e := range path {
		if !m.step(e, most) {
			return m, false
		}
	}
	return m, true
}

// explore tries every order of events up to a depth, from each state once.
func explore(t *testing.T, depth, maxStates int, most limits) (states int) {
	seen := map[string]bool{}
	level := [][]event{nil}
	for d := 0; d < depth && len(level) > 0; d++ {
		var next [][]event
		for _, path := range level {
			for e := range eventCount {
				to := append(append([]event{}, path...), e)
				m, ok := replay(to, most)
				if !ok {
					continue
				}
				key := m.key()
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
	for _, most := range []limits{{1, 2, 1}, {2, 1, 1}, {2, 2, 0}, {3, 1, 0}} {
		n := explore(t, depth, maxStates, most)
		t.Logf("%d requests, %d disconnects, %d restarts: %d states", most.requests, most.disconnects, most.restarts, n)
	}
}

func TestInvariantsHoldInLongRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range 150 {
			m.step(event(rapid.IntRange(0, int(eventCount)-1).Draw(t, "event")), limits{requests: 12, disconnects: 20, restarts: 3})
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
