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

var small = Settings{HeartbeatInterval: 100 * ms, PeerTimeout: 300 * ms, RecoveryTimeout: 500 * ms, OutcomeRetention: 1500 * ms, MaxInFlight: 8,
	CreditBytes: MaxDataBytes + frameCost, RetainedBytes: 8 * MaxDataBytes}

// pipe is a connection: what is on its way in each direction.
type pipe struct{ toFar, toNear []Frame }

// job is a run at the far site's stores; it outlives the far instance.
type job struct {
	request   uint64
	run       uint64
	epoch     uint64
	committed bool
	dead      bool // concluded, or its instance is gone and it will not commit any more
}

// world is two instances, the connections between them, and the stores behind the far one. The near one plays the
// module of once-only requests: it sends again only what is proven not to have run.
type world struct {
	now        time.Duration
	near, far  *Endpoint
	cn, cf     *pipe // the connection that each believes in
	number     uint64
	epoch      uint64
	jobs       []*job
	effects    map[uint64]int
	ended      map[uint64]int // by request: final answers
	rejected   map[uint64]bool
	tries      map[uint64]uint32
	next       uint64
	breaks     int
	restarts   int
	violations []string
}

func newWorld() *world {
	return &world{near: New(small, 1), far: New(small, 100), epoch: 100, effects: map[uint64]int{}, ended: map[uint64]int{},
		rejected: map[uint64]bool{}, tries: map[uint64]uint32{}}
}

func (w *world) fail(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// pump moves what each side wants to send, and acts on its wishes.
func (w *world) pump() {
	for again := true; again; {
		again = false
		for f, ok := w.near.NextFrame(w.now); ok && w.cn != nil; f, ok = w.near.NextFrame(w.now) {
			w.cn.toFar = append(w.cn.toFar, f)
		}
		for f, ok := w.far.NextFrame(w.now); ok && w.cf != nil; f, ok = w.far.NextFrame(w.now) {
			w.cf.toNear = append(w.cf.toNear, f)
		}
		for _, s := range w.far.TakePeerRequests() {
			if s.Canceled {
				continue // what went out to a store may commit all the same
			}
			w.jobs = append(w.jobs, &job{request: uint64(s.Data[0]), run: s.Execution, epoch: w.epoch})
		}
		for _, e := range w.near.TakeOutcomes() {
			again = true
			w.took(e)
		}
	}
}

func (w *world) took(e Outcome) {
	switch {
	case e.NotExecuted:
		for _, j := range w.jobs {
			if j.request == e.ID && !(e.Result != nil) {
				w.fail("request %d ended as never run, and ran", e.ID)
			}
		}
		w.tries[e.ID]++
		if w.tries[e.ID] < 3 && w.near.State() == Up {
			w.near.Forward(w.now, w.crossing(e.ID))
			return
		}
		w.ended[e.ID]++
		w.rejected[e.ID] = true
	case e.Result != nil && e.Result.Status == StatusServed:
		if w.effects[e.ID] != 1 {
			w.fail("request %d served with %d effects", e.ID, w.effects[e.ID])
		}
		w.ended[e.ID]++
	default:
		w.ended[e.ID]++ // rolled back
	}
	if w.ended[e.ID] > 1 {
		w.fail("request %d ended twice", e.ID)
	}
}

func (w *world) crossing(id uint64) ForwardedRequest {
	return ForwardedRequest{ID: id, AttemptNumber: w.tries[id], Group: int64(id % 2), Deadline: w.now + 3*time.Second, MaxAttempts: 1, Write: true,
		Message: []byte{byte(id)}}
}

const steps = 9

// step does the k-th thing that may happen; false where it can't now.
func (w *world) step(k int, requests, breaks, restarts int) bool {
	switch k {
	case 0:
		if int(w.next) >= requests {
			return false
		}
		w.next++
		w.near.Forward(w.now, w.crossing(w.next))
	case 1: // a frame reaches the far site, on the connection that it believes in
		if w.cf == nil || len(w.cf.toFar) == 0 {
			return false
		}
		f := w.cf.toFar[0]
		w.cf.toFar = w.cf.toFar[1:]
		if err := w.far.Receive(w.now, &f); err != nil {
			w.fail("the far side: %v", err)
		}
	case 2:
		if w.cn == nil || len(w.cn.toNear) == 0 {
			return false
		}
		f := w.cn.toNear[0]
		w.cn.toNear = w.cn.toNear[1:]
		if err := w.near.Receive(w.now, &f); err != nil {
			w.fail("the near side: %v", err)
		}
	case 3: // the near side sees the link break; the far one goes on reading what is under way
		if w.cn == nil || w.breaks >= breaks {
			return false
		}
		w.breaks++
		w.cn = nil
		w.near.ConnectionLost(w.now)
	case 4: // the far side sees it break
		if w.cf == nil || w.breaks >= breaks {
			return false
		}
		w.breaks++
		w.cf = nil
		w.far.ConnectionLost(w.now)
	case 5:
		if w.cn != nil && w.cn == w.cf {
			return false
		}
		w.number++
		p := &pipe{}
		nh, fh := w.near.Hello("n", w.number), w.far.Hello("f", w.number)
		if w.far.AcceptHello(w.now, &nh, w.number, false) != nil || w.near.AcceptHello(w.now, &fh, w.number, true) != nil {
			w.fail("no greeting")
		}
		w.cn, w.cf = p, p
	case 6: // a store commits
		for _, j := range w.jobs {
			if !j.committed && !j.dead {
				j.committed = true
				w.effects[j.request]++
				if w.rejected[j.request] {
					w.fail("request %d was declined, and took effect", j.request)
				}
				if w.effects[j.request] > 1 {
					w.fail("request %d took effect twice", j.request)
				}
				w.pump()
				return true
			}
		}
		return false
	case 7: // and the far instance hears of it
		for _, j := range w.jobs {
			if j.committed && !j.dead && j.epoch == w.epoch {
				j.dead = true
				w.far.ExecutionFinished(w.now, j.run, Frame{Status: StatusServed, Data: []byte("row")})
				w.pump()
				return true
			}
		}
		return false
	case 8: // the far instance starts anew; what it sent to stores goes on
		if w.restarts >= restarts {
			return false
		}
		w.restarts++
		w.epoch++
		w.far, w.cf = New(small, w.epoch), nil
	default: // time passes
		w.now += 300 * ms
		if w.near.Tick(w.now) != nil {
			w.cn = nil
		}
		if w.far.Tick(w.now) != nil {
			w.cf = nil
		}
	}
	w.pump()
	return true
}

// finish lets time pass until all is ended, and looks whether it is.
func (w *world) finish() {
	for range 20 {
		w.step(steps, 0, 0, 0)
	}
	for id := uint64(1); id <= w.next; id++ {
		if w.ended[id] != 1 {
			w.fail("request %d ended %d times", id, w.ended[id])
		}
	}
}

// key tells worlds apart as far as what may still happen goes.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now/(300*ms), w.breaks, w.restarts, w.next, w.cn == nil, w.cf == nil, w.cn == w.cf, w.effects, w.ended, w.tries)
	for _, p := range []*pipe{w.cn, w.cf} {
		if p != nil {
			for _, f := range append(append([]Frame{}, p.toFar...), p.toNear...) {
				fmt.Fprint(&b, "|", f.Kind, f.ID, f.AttemptNumber, f.Status)
			}
		}
	}
	for _, s := range []*Endpoint{w.near, w.far} {
		var lines []string
		for _, x := range s.ours {
			lines = append(lines, fmt.Sprint(x.ID, x.AttemptNumber, x.stage, x.epoch, (w.now-x.doubted)/(300*ms)))
		}
		for _, r := range s.runs {
			lines = append(lines, fmt.Sprint("r", r.id, r.try, r.outcome == nil))
		}
		sort.Strings(lines)
		fmt.Fprint(&b, s.state, lines, s.forgotten, len(s.results), len(s.control))
	}
	for _, j := range w.jobs {
		fmt.Fprint(&b, j.request, j.committed, j.dead, j.epoch == w.epoch)
	}
	return b.String()
}

func replay(path []byte, requests, breaks, restarts int) (*world, bool) {
	w := newWorld()
	w.step(5, 0, 0, 0)
	for _, k := range path {
		if !w.step(int(k), requests, breaks, restarts) {
			return w, false
		}
	}
	return w, true
}

// explore walks every order of what may happen, up to a depth, each world once.
func explore(t *testing.T, depth, requests, breaks, restarts, most int) (worlds int) {
	seen := map[string]bool{}
	level := [][]byte{nil}
	for d := 0; d < depth && len(level) > 0; d++ {
		var next [][]byte
		for _, path := range level {
			for k := range steps + 1 {
				to := append(append([]byte{}, path...), byte(k))
				w, ok := replay(to, requests, breaks, restarts)
				if !ok {
					continue
				}
				key := w.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				next = append(next, to)
				w.finish()
				require.Empty(t, w.violations, "after %v", to)
				if len(seen) >= most {
					return len(seen)
				}
			}
		}
		level = next
	}
	return len(seen)
}

func TestEveryOrderOfSmallCasesKeepsTheRules(t *testing.T) {
	depth, most := 12, 30_000
	if testing.Short() {
		most = 5_000
	}
	for _, c := range []struct{ requests, breaks, restarts int }{{1, 2, 1}, {2, 1, 1}, {2, 2, 0}, {3, 1, 0}} {
		n := explore(t, depth, c.requests, c.breaks, c.restarts, most)
		t.Logf("%d requests, %d breaks, %d restarts: %d worlds", c.requests, c.breaks, c.restarts, n)
	}
}

func TestLongRunsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range 150 {
			w.step(rapid.IntRange(0, steps).Draw(t, "step"), 12, 20, 3)
			if len(w.violations) > 0 {
				t.Fatalf("%v", w.violations)
			}
		}
		w.finish()
		if len(w.violations) > 0 {
			t.Fatalf("%v", w.violations)
		}
	})
}
