package proxysim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
	"dapplerouter/front"
)

func rolling(seed uint64, fronts int, stop bool) *Town {
	w := New(Options{Seed: seed, Fronts: fronts, Voters: 3, Groups: 3, PerGroup: 3, Servers: 4, Service: 2 * time.Millisecond, Rate: 20, Writes: 0.25,
		Span: 3 * time.Second, Fleet: true, Right: 6 * time.Second, Stop: stop})
	w.StartAll()
	w.Run(10 * time.Second)
	return w
}

func wish(text string, waves ...uint16) rollout.Action {
	if len(waves) == 0 {
		waves = []uint16{10, 500, 1000}
	}
	return rollout.Action{Type: rollout.ActionPublish, Text: []byte(text), Stages: waves, ObservationTime: 2 * time.Second, MaxFenced: 200}
}

// publish makes a wish at the first front and waits for its outcome.
func publish(t *testing.T, w *Town, x rollout.Action) (fault string) {
	fault = "nothing came"
	w.Publish(w.Fronts[0], x, func(f string) { fault = f })
	for range 100 {
		w.Run(300 * time.Millisecond)
		if fault != "nothing came" {
			break
		}
	}
	return fault
}

func settled(t *testing.T, w *Town, within time.Duration) rollout.State {
	end := w.Now + within
	for w.Now < end && (w.State().Phase != rollout.PhaseSteady || w.State().LastVersion == 0) {
		w.Run(250 * time.Millisecond)
	}
	require.Empty(t, w.Wrong)
	require.Equal(t, rollout.PhaseSteady, w.State().Phase, w.State().Reason)
	return w.State()
}

func acting(w *Town) (all []uint64) {
	for _, f := range w.Fronts {
		all = append(all, f.Core.ConfigVersion())
	}
	return all
}

func TestAVersionComesToAllInWaves(t *testing.T) {
	w := rolling(1, 5, true)
	require.Empty(t, publish(t, w, wish("(rules (given-up 2))")))
	s := settled(t, w, time.Minute)
	assert.EqualValues(t, 1, s.Base)
	assert.Equal(t, []uint64{1, 1, 1, 1, 1}, acting(w))
	var waves []int
	for _, x := range w.Turns {
		waves = append(waves, x.Stage)
	}
	assert.Contains(t, waves, 1)
	assert.Contains(t, waves, 2)
	before := len(w.Members[6].Seen) + len(w.Members[7].Seen) + len(w.Members[8].Seen)
	w.Run(5 * time.Second)
	assert.Equal(t, before, len(w.Members[6].Seen)+len(w.Members[7].Seen)+len(w.Members[8].Seen), "the group is given up")
	require.Empty(t, publish(t, w, func() rollout.Action { x := wish("(rules)"); x.Base = 1; return x }()))
	assert.EqualValues(t, 2, settled(t, w, time.Minute).Base)
	assert.Empty(t, w.Wrong)
}

func TestAnOperatorWhoSeesAStaleStateIsRefused(t *testing.T) {
	w := rolling(2, 5, true)
	var faults [2]string
	for i := range faults { // two at once, each having seen version 0
		faults[i] = "nothing came"
		x := wish([]string{"(rules (given-up 1))", "(rules (given-up 2))"}[i])
		w.Publish(w.Fronts[i], x, func(f string) { faults[i] = f })
	}
	w.Run(3 * time.Second)
	if faults[0] == "" {
		assert.Contains(t, faults[1], "on its way")
	} else {
		assert.Empty(t, faults[1])
		assert.Contains(t, faults[0], "on its way")
	}
	settled(t, w, time.Minute)
	x := wish("(rules (given-up 0))")
	assert.Contains(t, publish(t, w, x), "version 1 is in force, and the wish was made on version 0")
}

func TestAFileThatSomeFrontsCannotUseIsTakenBackWithTheReason(t *testing.T) {
	w := rolling(3, 6, true)
	for i, f := range w.Fronts {
		f.Bad = func(uint64) bool { return i%2 == 1 }
	}
	require.Empty(t, publish(t, w, wish("(rules (given-up 2))", 400, 1000)))
	s := settled(t, w, time.Minute)
	assert.EqualValues(t, 0, s.Base)
	assert.Contains(t, s.Reason, "can't use version 1: its limits are others")
	assert.Equal(t, make([]uint64, 6), acting(w))
}

func TestAVersionThatCrashesWhoeverTakesItUpGoesBack(t *testing.T) {
	w := rolling(4, 6, true)
	for _, f := range w.Fronts {
		f.Crashes = func(v uint64) bool { return v == 1 }
	}
	require.Empty(t, publish(t, w, wish("(rules (given-up 2))")))
	s := settled(t, w, time.Minute)
	assert.EqualValues(t, 0, s.Base)
	assert.Contains(t, s.Reason, "version 1")
	w.Run(5 * time.Second)
	assert.Equal(t, make([]uint64, 6), acting(w))
	assert.Empty(t, w.Wrong)
}

// A version may take its time to bring a front down: it is watched, and a process that is another is evidence too.
func TestAVersionOnWhichAFrontGoesDownLaterGoesBack(t *testing.T) {
	w := rolling(13, 6, true)
	x := wish("(rules (given-up 2))", 1, 1000)
	x.ObservationTime = 25 * time.Second
	require.Empty(t, publish(t, w, x))
	w.Run(12 * time.Second)
	for _, f := range w.Fronts {
		if f.Core.ConfigVersion() == 1 {
			f.host.Crash()
			w.After(time.Second, f.host.Start)
		}
	}
	s := settled(t, w, time.Minute)
	assert.EqualValues(t, 0, s.Base)
	assert.Contains(t, s.Reason, "went down behind taking up version 1")
}

// All fronts go down by a version before the one in force was confirmed on their disks: they come back on an older one, which is ruled
// out, refuse the new one, and take up the one in force, so that somebody can take the new one back.
func TestAFleetThatWentDownAsAWholeComesBackOnWhatIsInForce(t *testing.T) {
	w := rolling(10, 6, true)
	for _, f := range w.Fronts {
		f.Crashes = func(v uint64) bool { return v == 2 }
	}
	require.Empty(t, publish(t, w, wish("(rules (given-up 2))", 1000)))
	settled(t, w, time.Minute)
	x := wish("(rules (given-up 1))", 1000)
	x.Base = 1
	w.Publish(w.Fronts[0], x, func(string) {})
	w.Run(5 * time.Second)
	s := settled(t, w, time.Minute)
	assert.EqualValues(t, 1, s.Base)
	assert.Contains(t, s.Reason, "version 2")
	w.Run(5 * time.Second)
	assert.Equal(t, []uint64{1, 1, 1, 1, 1, 1}, acting(w))
}

// What was being tried stands on the front's disk: while nobody takes the version back, who went down by it does not try again.
func TestAFrontThatWentDownByAVersionDoesNotTryItAgain(t *testing.T) {
	w := rolling(9, 6, true)
	crashes := map[string]int{}
	for _, f := range w.Fronts {
		f.Crashes = func(v uint64) bool {
			if v == 1 {
				crashes[f.Name]++
				if h := w.Holder(rollout.Lease); h != nil && h != f.host {
					h.Stop() // and whoever drives the roll stands still for long
				}
			}
			return v == 1
		}
	}
	require.Empty(t, publish(t, w, wish("(rules (given-up 2))", 1, 1000)))
	w.Run(2 * time.Second)
	for _, h := range w.Hosts {
		w.After(25*time.Second, h.Continue)
	}
	w.Run(20 * time.Second)
	for name, n := range crashes {
		assert.Equal(t, 1, n, name)
	}
	assert.NotEmpty(t, crashes)
	settled(t, w, 2*time.Minute)
	assert.Equal(t, make([]uint64, 6), acting(w))
}

func TestAVersionThatServesWorseIsTakenBackOnItsEvidence(t *testing.T) {
	w := rolling(5, 8, true)
	for _, f := range w.Fronts {
		f.Spoils = func(v uint64) float64 { return 0.005 + 0.1*float64(v) }
	}
	x := wish("(rules (given-up 2))", 250, 1000)
	x.ObservationTime = 20 * time.Second
	from := w.Now
	require.Empty(t, publish(t, w, x))
	s := settled(t, w, time.Minute)
	assert.EqualValues(t, 0, s.Base)
	assert.Contains(t, s.Reason, "serves worse")
	bad := 0
	for _, x := range w.Requests {
		if x.At > from && x.Answers == 1 && (x.Word == front.StatusRejected || x.Word == front.StatusFailed) {
			bad++
		}
	}
	assert.Less(t, bad, 60, "what it cost")
}

func TestTheHolderDyingInEachWaveOnlySlowsARoll(t *testing.T) {
	w := rolling(6, 7, true)
	require.Empty(t, publish(t, w, wish("(rules (given-up 2))", 150, 400, 700, 1000)))
	seen := map[int]bool{}
	for end := w.Now + 4*time.Minute; w.Now < end && w.State().Phase != rollout.PhaseSteady; {
		w.Run(250 * time.Millisecond)
		if s := w.State(); s.Phase == rollout.PhaseRolling && !seen[s.Stage] {
			if h := w.Holder(rollout.Lease); h != nil {
				seen[s.Stage] = true
				w.Run(500 * time.Millisecond)
				// It is no fault of the version: where its holder is on it already, the roll goes back, and says so.
				h.Stop()
				w.After(9*time.Second, h.Continue)
			}
		}
	}
	s := settled(t, w, 2*time.Minute)
	assert.EqualValues(t, 1, s.Base, s.Reason)
	assert.Len(t, seen, 4)
}

// A front that stands still for a minute in the middle of its requests, over a must version, begins nothing on the old one when it
// goes on: by the members' own logs.
func TestAFrontThatStoodStillOverAMustVersionBeginsNothingOnTheOldOne(t *testing.T) {
	for seed := range uint64(8) {
		w := rolling(20+seed, 6, true)
		f := w.Fronts[5]
		h := w.Hosts[5]
		for range 20 {
			f.Ask(2, true)
			f.Ask(2, false)
		}
		w.Run(time.Duration(seed) * 300 * time.Microsecond)
		h.Stop()
		w.After(time.Minute, h.Continue)
		x := wish("(rules (given-up 2))", 1000)
		x.Mandatory = true
		require.Empty(t, publish(t, w, x))
		s := settled(t, w, 50*time.Second)
		assert.EqualValues(t, 1, s.Base)
		inForce := w.Turns[len(w.Turns)-1].At
		require.True(t, h.Stopped(), "it stands still over all of it")
		w.Run(90 * time.Second)
		require.Empty(t, w.Wrong)
		for _, m := range w.Members[6:] {
			for _, c := range m.Seen {
				assert.LessOrEqual(t, c.At, inForce, "seed %d: %s of %s reached %s", seed, c.ID, c.Front, m.Name)
			}
		}
		for _, x := range w.Requests {
			assert.LessOrEqual(t, x.Answers, 1)
			assert.False(t, x.Answers == 0 && x.At < w.Now-10*time.Second, "%s of %s has its one answer", x.ID, x.Front)
		}
		assert.EqualValues(t, 1, f.Core.ConfigVersion(), "it is brought up")
		assert.False(t, f.Core.Standby(), "and serves again")
	}
}

func TestWithoutAMajorityFrontsGoOnWithWhatTheyHaveOrStopAsTheyAreTold(t *testing.T) {
	for _, stop := range []bool{false, true} {
		w := rolling(31, 6, stop)
		w.Hosts[0].Crash()
		w.Hosts[1].Crash()
		w.Run(15 * time.Second)
		require.Empty(t, w.Wrong)
		for _, f := range w.Fronts[2:] {
			assert.Equal(t, stop, f.Core.Standby(), "%s, stop %v", f.Name, stop)
		}
		w.Hosts[0].Start()
		w.Hosts[1].Start()
		w.Run(15 * time.Second)
		for _, f := range w.Fronts {
			assert.False(t, f.Core.Standby(), f.Name)
		}
		require.Empty(t, publish(t, w, wish("(rules (given-up 2))", 1000)))
		settled(t, w, time.Minute)
	}
}

func TestAMustVersionDoesNotComeIntoForceWithoutAMajority(t *testing.T) {
	w := rolling(32, 5, false)
	x := wish("(rules (given-up 2))", 400, 1000)
	x.Mandatory, x.ObservationTime = true, 8*time.Second
	require.Empty(t, publish(t, w, x))
	w.Hosts[1].Crash()
	w.Hosts[2].Crash()
	w.Run(30 * time.Second)
	assert.Equal(t, rollout.PhaseRolling, w.State().Phase)
	on := 0
	for _, f := range w.Fronts {
		if f.host.Up() && f.Core.ConfigVersion() == 1 {
			on++
		}
	}
	assert.Less(t, on, 3)
	w.Hosts[1].Start()
	w.Hosts[2].Start()
	s := settled(t, w, time.Minute)
	assert.Contains(t, []uint64{0, 1}, s.Base)
	assert.Empty(t, w.Wrong)
}

func TestOneThatIsCutOffIsShutOutAndComesBackUpToDate(t *testing.T) {
	w := rolling(33, 6, true)
	out := w.Fronts[5]
	for _, h := range w.Hosts {
		w.Cut(h.Name, out.Name)
		w.Cut(out.Name, h.Name)
	}
	require.Empty(t, publish(t, w, wish("(rules (given-up 2))", 1000)))
	s := settled(t, w, 2*time.Minute)
	assert.EqualValues(t, 1, s.Base)
	assert.True(t, out.Core.Standby())
	assert.EqualValues(t, 0, out.Core.ConfigVersion())
	w.Heal()
	w.Run(15 * time.Second)
	assert.EqualValues(t, 1, out.Core.ConfigVersion())
	assert.False(t, out.Core.Standby())
	assert.Empty(t, w.Wrong)
}

func TestNoMoreThanATheToldShareIsShutOut(t *testing.T) {
	w := rolling(34, 6, true)
	for _, out := range []string{"f004", "f005"} {
		for _, h := range w.Hosts {
			if h.Name != out {
				w.Cut(h.Name, out)
				w.Cut(out, h.Name)
			}
		}
	}
	require.Empty(t, publish(t, w, wish("(rules (given-up 2))", 1000)))
	w.Run(40 * time.Second)
	assert.Equal(t, rollout.PhaseRolling, w.State().Phase)
	assert.Contains(t, w.State().Reason, "2 fronts lag (f004, f005), and 1 may be shut out at once")
	w.Heal()
	settled(t, w, time.Minute)
	assert.Equal(t, []uint64{1, 1, 1, 1, 1, 1}, acting(w))
}

func TestRoughRollsEndAllNewOrAllOld(t *testing.T) {
	seeds := uint64(120)
	if n, err := strconv.ParseUint(os.Getenv("ROLL_SEEDS"), 10, 64); err == nil { // make roll-soak
		seeds = n
	} else if testing.Short() || raceOn {
		seeds = 2 // nothing runs side by side in virtual time
	}
	first, _ := strconv.ParseUint(os.Getenv("ROLL_FIRST"), 10, 64)
	for part := range uint64(6) {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for seed := first + 1 + part; seed <= first+seeds; seed += 6 {
				_, wrong := RoughRolls(seed, 4+int(seed%4), seed%2 == 0, nil)
				require.Empty(t, wrong, "seed %d", seed)
			}
		})
	}
}

func TestOneSeed(t *testing.T) {
	s, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if s == 0 {
		t.Skip()
	}
	w, wrong := RoughRolls(s, 4+int(s%4), s%2 == 0, func(l string) { fmt.Println(l) })
	for _, x := range w.Turns {
		fmt.Println(x.At, x.Phase, x.Base, x.Next, x.Stage, x.Paused, x.Reason)
	}
	require.Empty(t, wrong)
}

// Who has no right to act does no duty either: it lets go of what it holds and is given none until it has one.
func TestAFrontWithoutARightHoldsNoDuty(t *testing.T) {
	w := rolling(41, 5, true)
	h := w.Holder("list")
	require.NotNil(t, h)
	h.Do(func(n *fleet.Node, now time.Duration) { n.SetIdle(now, true) })
	w.Run(500 * time.Millisecond)
	next := w.Holder("list")
	require.NotNil(t, next, "handed on, without waiting out a span")
	assert.NotEqual(t, h.Name, next.Name)
	w.Run(200 * time.Millisecond) // the seat sees that it has its right, and calls it off
	for _, h := range w.Hosts {
		h.Do(func(n *fleet.Node, now time.Duration) {
			d := n.State().Leases["list"]
			assert.Equal(t, next.Name, d.Leaseholder)
		})
	}
	assert.Empty(t, w.Wrong)
}
