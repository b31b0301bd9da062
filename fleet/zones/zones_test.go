package zones

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dapplerouter/fleet"
)

const span = 3 * time.Second

var all = []string{"a", "b", "c"}

// told is what nine fronts tell, three in each zone; see says how bad a zone looks to a front.
func told(see func(front int, zone string) float64) (out []Told) {
	for i := range 9 {
		t := Told{Front: fmt.Sprint("n", i), Zone: all[i%3], Word: Word{Zones: all}}
		for _, z := range all {
			bad := see(i, z)
			t.Word.Seen = append(t.Word.Seen, Tally{Good: uint32(100 * (1 - bad)), Failed: uint32(100 * bad)})
		}
		out = append(out, t)
	}
	return out
}

func view(w *Weigher, all []Told, zone string) View {
	for _, v := range w.Weigh(all, span) {
		if v.Zone == zone {
			return v
		}
	}
	return View{}
}

func TestOneFrontsWordMovesNothing(t *testing.T) {
	w := NewWeigher()
	liar := told(func(f int, z string) float64 {
		if f == 1 && z == "a" {
			return 1
		}
		return 0.01
	})
	assert.Zero(t, view(w, liar, "a").Bad)
	lost := told(func(_ int, z string) float64 {
		if z == "a" {
			return 0.9
		}
		return 0.01
	})
	v := view(w, lost, "a")
	assert.Greater(t, v.Bad, 0.8)
	assert.Equal(t, 9, v.SeeBad)
	lost[4].Word.Seen[0] = Tally{Good: 100} // one that says all is well changes little
	assert.Greater(t, view(w, lost, "a").Bad, 0.6)
}

func TestAZoneBadFromOneOtherOnlyIsACutBetweenTwo(t *testing.T) {
	v := view(NewWeigher(), told(func(f int, z string) float64 {
		if z == "a" && f%3 == 1 { // fronts of zone b
			return 1
		}
		return 0
	}), "a")
	assert.Equal(t, []string{"b"}, v.CutFrom)
	assert.Zero(t, v.Bad)
}

func TestWhatOnlyBadFrontsSeeIsTheirOwn(t *testing.T) {
	v := NewWeigher().Weigh(told(func(f int, _ string) float64 {
		if f == 0 || f == 4 { // to them everything is bad
			return 1
		}
		return 0
	}), span)
	for _, x := range v {
		assert.Zero(t, x.Bad, x.Zone)
		assert.Equal(t, 7, x.Fronts, x.Zone)
	}
}

func TestASlowZoneIsSeenAndItsUsualIsLearnt(t *testing.T) {
	s := NewSeer(all)
	for range 500 {
		s.Answered(0, 10*time.Millisecond)
	}
	s.Word(false)
	for range 50 {
		s.Answered(0, 60*time.Millisecond) // six times slower, not dead
	}
	w, hurry := s.Word(false)
	assert.True(t, hurry, "it is said at once")
	assert.EqualValues(t, 50, w.Seen[0].Slow)
	assert.Equal(t, 0.5, w.Seen[0].badness())
	back, ok := ReadWord(w.Encode())
	assert.True(t, ok)
	assert.Equal(t, w, back)

	weigher := NewWeigher()
	erring := told(func(int, string) float64 { return 0.12 }) // a site where errors are common
	for range 400 {
		weigher.Calm(erring, "b")
	}
	assert.Zero(t, view(weigher, told(func(int, string) float64 { return 0.24 }), "b").Bad, "within twice the usual")
	assert.Greater(t, view(weigher, told(func(int, string) float64 { return 0.8 }), "b").Bad, doubtful)
}

// whole is a plan that takes all.
func whole(zone string, _ map[string]bool) *Plan { return &Plan{Zone: zone, Share: 1} }

func viewsOf(bad map[string]float64) (out []View) {
	for _, z := range all {
		out = append(out, View{Zone: z, Bad: bad[z], Fronts: 9, SeeBad: 6})
	}
	return out
}

func TestAZoneIsLeftInUnderTwoSecondsAndReturnedToByARamp(t *testing.T) {
	w, s := NewController(ControllerOptions{Span: span, Warm: 10 * time.Second}), State{}
	var at time.Duration
	var seen []ZoneState
	step := func(bad float64, r Returned) Stand {
		s2, changed := w.Step(at, s, viewsOf(map[string]float64{"a": bad}), whole, map[string]Returned{"a": r})
		if changed {
			s = s2
		}
		x := s.Stand("a")
		if len(seen) == 0 || seen[len(seen)-1] != x.ZoneState {
			seen = append(seen, x.ZoneState)
		}
		at += 100 * time.Millisecond
		return x
	}
	step(0, Returned{})
	lost := at
	for step(0.9, Returned{}).Away == 0 {
	}
	assert.Less(t, at-lost, 2*time.Second)
	for at < 20*time.Second {
		assert.LessOrEqual(t, step(0.9, Returned{}).Away, uint16(1000-probe), "a trickle stays")
	}
	mended, last, most := at, uint16(1000-probe), 0.0
	for s.Stand("a").ZoneState != Well && at < 5*time.Minute {
		x := step(0, Returned{Asked: 100, Good: 100})
		if x.Away < last {
			most = max(most, float64(1000-x.Away)/float64(1000-last))
			last = x.Away
		}
	}
	assert.Equal(t, []ZoneState{Well, Doubted, Leaving, Left, Returning, Well}, seen)
	assert.GreaterOrEqual(t, at-mended, 10*time.Second, "no sooner than its members are warm")
	assert.LessOrEqual(t, at-mended, 20*time.Second)
	assert.LessOrEqual(t, most, 1.26, "no step is a flood")
}

func TestStrainHalvesAReturnAndAFlappingZoneIsReturnedToLater(t *testing.T) {
	w := NewController(ControllerOptions{Span: span, Warm: 6 * time.Second})
	s := State{Zones: []Stand{{Zone: "a", ZoneState: Returning, Away: 400, Flaps: 1, Epoch: 4}}}
	now := time.Duration(0)
	s, _ = w.Step(now, s, viewsOf(nil), whole, nil)
	s, changed := w.Step(now+time.Second, s, viewsOf(nil), whole, map[string]Returned{"a": {Asked: 100, Good: 60, Strained: 40}})
	require.True(t, changed)
	assert.EqualValues(t, 700, s.Stand("a").Away)

	delays := []time.Duration{}
	for flaps := range uint8(4) {
		w := NewController(ControllerOptions{Span: span, Warm: 6 * time.Second})
		s := State{Zones: []Stand{{Zone: "a", ZoneState: Left, Away: 950, Flaps: flaps}}}
		at := time.Duration(0)
		for s.Stand("a").ZoneState == Left {
			s, _ = w.Step(at, s, viewsOf(nil), whole, nil)
			at += 50 * time.Millisecond
		}
		delays = append(delays, at)
	}
	for i := 1; i < 4; i++ {
		assert.Greater(t, delays[i], delays[i-1]*3/2)
	}
}

func TestWithNowhereToGoItIsStayedIn(t *testing.T) {
	w, s := NewController(ControllerOptions{Span: span, Warm: 6 * time.Second}), State{}
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond { // all three at once: a burst that looks like a failure
		s, _ = w.Step(at, s, viewsOf(map[string]float64{"a": 0.8, "b": 0.8, "c": 0.8}), whole, nil)
	}
	stays := 0
	for _, z := range all {
		if s.Stand(z).Away == 0 {
			stays++
		}
	}
	assert.GreaterOrEqual(t, stays, 1)

	w, s = NewController(ControllerOptions{Span: span, Warm: 6 * time.Second}), State{}
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		s, _ = w.Step(at, s, viewsOf(map[string]float64{"a": 0.8}), func(string, map[string]bool) *Plan { return &Plan{} }, nil)
	}
	assert.Zero(t, s.Stand("a").Away)
	assert.Contains(t, s.Stand("a").Why, "stayed in")
}

func TestAPinHoldsAgainstTheEvidence(t *testing.T) {
	w := NewController(ControllerOptions{Span: span, Warm: 6 * time.Second})
	s := Pin(State{}, "b", 300, time.Hour, "works")
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		s, _ = w.Step(at, s, viewsOf(map[string]float64{"b": 0.9}), whole, nil)
	}
	assert.EqualValues(t, 300, s.Stand("b").Away)
	s = Unpin(s, "b", "done")
	assert.Equal(t, Returning, s.Stand("b").ZoneState)
}

func TestADecisionThatNobodyRenewsWearsOffAndAnOlderOneDisplacesNothing(t *testing.T) {
	b := NewBelief()
	b.Hear(0, State{Zones: []Stand{{Zone: "a", Away: 800, Epoch: 5, Beat: 2, Deadline: 10 * time.Second}}})
	b.Hear(time.Second, State{Zones: []Stand{{Zone: "a", Away: 100, Epoch: 4, Beat: 9, Deadline: 10 * time.Second}}})
	assert.Equal(t, 0.8, b.Away(10*time.Second, "a"))
	assert.InDelta(t, 0.4, b.Away(15*time.Second, "a"), 0.001, "gradually")
	assert.Zero(t, b.Away(20*time.Second, "a"))
	b.Hear(21*time.Second, State{Zones: []Stand{{Zone: "a", Away: 800, Epoch: 5, Beat: 3, Deadline: 10 * time.Second}}})
	assert.Equal(t, 0.8, b.Away(22*time.Second, "a"), "renewed")
	assert.Zero(t, b.Away(0, "b"))

	r := &fleet.ReplicatedState{Values: map[string]*fleet.StoredValue{stateKey: {Value: State{Zones: []Stand{{Zone: "a", Away: 9}}}.Encode()}}}
	s, ok := Read(r)
	assert.True(t, ok)
	assert.EqualValues(t, 9, s.Stand("a").Away)
	r.Values[stateKey].Value = []byte{0xc1}
	_, ok = Read(r)
	assert.False(t, ok)
}

func TestSessionsMoveWholeAndAGrowingShareTakesNoneBack(t *testing.T) {
	for _, away := range []float64{0, 0.1, 0.5, 0.9, 1} {
		n := 0
		for s := range uint64(20_000) {
			if Moves(s|1, "a", away) {
				n++
				assert.True(t, Moves(s|1, "a", min(1, away+0.07)))
			}
		}
		assert.InDelta(t, away, float64(n)/20_000, 0.02)
	}
}

// The plan's answer against every division of small whole numbers of work.
func TestThePlanIsAsGoodAsAnySearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		types := rapid.IntRange(1, 3).Draw(t, "types")
		var loads []Load
		var rooms []Room
		for i := range types {
			loads = append(loads, Load{Group: 1, Zone: "a", Type: fmt.Sprint("t", i), Work: float64(rapid.IntRange(0, 4).Draw(t, "work")),
				Value: float64(rapid.IntRange(1, 9).Draw(t, "value")), Stays: rapid.IntRange(0, 5).Draw(t, "stays") == 0})
		}
		for _, z := range []string{"b", "c"} {
			rooms = append(rooms, Room{1, z, float64(rapid.IntRange(0, 6).Draw(t, "room"))})
			loads = append(loads, Load{Group: 1, Zone: z, Type: "t0", Work: float64(rapid.IntRange(0, 3).Draw(t, "used")), Value: 1})
		}
		p, err := Leave("a", loads, rooms, nil)
		if err != nil {
			t.Fatal(err)
		}
		got := 0.0
		took := map[string]float64{}
		value := map[string]float64{}
		for _, l := range loads[:types] {
			value[l.Type] = l.Value
		}
		for _, m := range p.Moves {
			got += m.Work * value[m.Type]
			took[m.To] += m.Work
		}
		room := 0.0
		for i, r := range rooms {
			left := max(0, r.Work-loads[types+i].Work)
			room += left
			if took[r.Zone] > left+1e-6 {
				t.Fatalf("zone %s gets %v of %v", r.Zone, took[r.Zone], left)
			}
		}
		best := 0.0
		var search func(i int, left, sum float64)
		search = func(i int, left, sum float64) {
			if best = max(best, sum); i == types {
				return
			}
			for k := 0.0; k <= min(left, loads[i].Work); k++ {
				if loads[i].Stays && k > 0 {
					break
				}
				search(i+1, left-k, sum+k*loads[i].Value)
			}
		}
		search(0, room, 0)
		if math.Abs(got-best) > 1e-6 {
			t.Fatalf("the plan moves a value of %v, and %v can be: %+v", got, best, p)
		}
	})
}

// BenchmarkPlan is the plan for 300 members: 100 groups over three zones, six types.
func BenchmarkPlan(b *testing.B) {
	var loads []Load
	var rooms []Room
	for g := range int64(100) {
		for _, z := range all {
			rooms = append(rooms, Room{g, z, 8})
			for ty := range 6 {
				loads = append(loads, Load{Group: g, Zone: z, Type: fmt.Sprint("t", ty), Work: 0.9, Value: float64(1 + ty), Stays: ty == 5, Farther: 0.1})
			}
		}
	}
	for b.Loop() {
		p, err := Leave("a", loads, rooms, nil)
		if err != nil || p.Share < 0.99 {
			b.Fatal(err, p)
		}
	}
}
