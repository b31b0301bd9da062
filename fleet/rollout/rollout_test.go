package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"dapplerouter/fleet"
)

// play runs trials of a new side beside an old one, and counts verdicts. Both fail with the same chance in an interval, which
// swings; the new one worse times as often.
func play(seed uint64, trials int, base, worse float64) (n [3]int, cost float64) {
	r := rand.New(rand.NewPCG(seed, 1))
	some := func(n int, p float64) (k uint64) {
		for range n {
			if r.Float64() < p {
				k++
			}
		}
		return k
	}
	for range trials {
		var t CanaryAnalysis
		v := Undecided
		for i := 0; i < 200 && v == Undecided; i++ {
			p := base * (0.2 + 1.6*r.Float64()) // a bad moment is bad for both
			var fresh, old []Counts
			for range 3 {
				a, b := 20+r.IntN(20), 60+r.IntN(60)
				fa := some(a, min(p*worse, 1))
				fresh = append(fresh, Counts{Finished: uint64(a), Succeeded: uint64(a) - fa})
				old = append(old, Counts{Finished: uint64(b), Succeeded: uint64(b) - some(b, p)})
				if worse > 1 {
					cost += float64(fa)
				}
			}
			t.add(fresh, old)
			v, _ = t.verdict()
		}
		n[v]++
	}
	return n, cost / float64(trials)
}

// The error rates that the trial states, by its own law and where failures are common.
func TestTrialsErrAsSeldomAsTheySay(t *testing.T) {
	for _, base := range []float64{0.002, 0.02, 0.2} {
		n, _ := play(1, 400, base, 1)
		assert.LessOrEqual(t, n[Worse], 400*2/100, "alike at %v, called worse %d times of 400", base, n[Worse])
	}
	for _, base := range []float64{0.02, 0.2} {
		n, cost := play(2, 400, base, 2)
		assert.LessOrEqual(t, n[Alike], 400*3/100, "twice as bad at %v, called alike %d times of 400", base, n[Alike])
		assert.Greater(t, n[Worse], 400*95/100)
		t.Logf("at %v of failures, twice as bad: found behind %.0f failed requests of the new side", base, cost)
	}
	n, cost := play(3, 400, 0.001, 100)
	assert.Equal(t, 400, n[Worse])
	assert.Less(t, cost, 25.0, "a version that fails one in ten is found by the first failures")
}

func TestAWaveGrowsAndNeverTakesAFrontBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 1, 40, rapid.ID).Draw(t, "names")
		waves := []uint16{1, 100, 370, 1000}
		s := State{Phase: PhaseRolling, Base: 4, Next: 6}
		on := map[string]bool{}
		for _, w := range waves {
			s.CutoffRank = stageCut(names, s.Next, w)
			n := 0
			for _, name := range names {
				if s.VersionFor(name) == s.Next {
					on[name] = true
					n++
				} else if on[name] {
					t.Fatalf("%s was taken back by a larger wave", name)
				}
			}
			if want := max(1, (len(names)*int(w)+999)/1000); n < want {
				t.Fatalf("%d of %d at %d thousandths", n, len(names), w)
			}
		}
		if len(on) != len(names) {
			t.Fatal("the last wave lacks some")
		}
	})
}

// A state of a newer program is not guessed at: the front goes on with what it has.
func TestANewerProgramsStateIsNotGuessedAt(t *testing.T) {
	r := &fleet.ReplicatedState{Values: map[string]*fleet.StoredValue{}}
	_, ok := ReadState(r)
	assert.True(t, ok)
	b, err := msgpack.Marshal(&State{Format: format + 1, Base: 9})
	require.NoError(t, err)
	r.Values[stateKey] = &fleet.StoredValue{Index: 4, Value: b}
	s, ok := ReadState(r)
	assert.False(t, ok)
	assert.Zero(t, s.Base)
	r.Values[stateKey].Value = []byte{0xc1}
	_, ok = ReadState(r)
	assert.False(t, ok)
}

// A front without the form, or of the program before, says nothing of versions: nothing is published over its head.
func TestNothingIsPublishedOverAFrontThatTakesNoPart(t *testing.T) {
	c := NewController(ControllerOptions{Timing: fleet.Timing{LeaseDuration: time.Second}, ConfigLease: 4 * time.Second})
	r := &fleet.ReplicatedState{Fronts: map[string]*fleet.Front{"n1": {}, "n2": {}}}
	c.reports = map[string]fleet.MemberReport{"n1": {Front: "n1", WantsConfigLease: true}, "n2": {Front: "n2"}}
	assert.Contains(t, c.unfitReason(time.Minute, r, State{}), "n2 takes no part in versions")
	c.reports["n2"] = fleet.MemberReport{Front: "n2", WantsConfigLease: true, ActiveVersion: 3}
	assert.Contains(t, c.unfitReason(time.Minute, r, State{}), "n2 may act on another version than 0 still")
	c.reports["n2"] = fleet.MemberReport{Front: "n2", WantsConfigLease: true}
	assert.Empty(t, c.unfitReason(time.Minute, r, State{}))
}

func TestWishesWithoutSenseAreNone(t *testing.T) {
	for _, b := range [][]byte{nil, {0xc1}, Action{}.Encode(), Action{ID: 1, Type: 9}.Encode(), Action{ID: 1, Text: make([]byte, MaxTextBytes+1)}.Encode()} {
		_, ok := DecodeAction(b)
		assert.False(t, ok)
	}
	action, ok := DecodeAction(Action{ID: 7, Type: ActionPause, Reason: "x"}.Encode())
	assert.True(t, ok)
	assert.Equal(t, "x", action.Reason)
}
