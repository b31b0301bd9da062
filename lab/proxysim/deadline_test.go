package proxysim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// timed is a fleet whose versions have to be in force everywhere within 20 s, with the default ratio of lease durations.
func timed(seed uint64, fronts int) *Town {
	w := New(Options{Seed: seed, Fronts: fronts, Voters: 3, Groups: 3, PerGroup: 3, Servers: 4, Service: 2 * time.Millisecond, Rate: 4, Writes: 0.25,
		Span: 3 * time.Second, Fleet: true, Right: 12 * time.Second, Stop: true, Within: 20 * time.Second})
	w.StartAll()
	w.Run(20 * time.Second)
	return w
}

// inForce publishes rules at a front and returns how long it takes until they are in force.
func inForce(t *testing.T, w *Town, at *Front, text string) time.Duration {
	t.Helper()
	base, began, fault := w.State().Base, w.Now, "nothing came"
	x := wish(text, 1000)
	x.Base, x.ObservationTime = base, 0
	w.Publish(at, x, func(f string) { fault = f })
	for w.Now < began+2*time.Minute && (w.State().Base == base || w.State().Phase != rollout.PhaseSteady) {
		w.Run(50 * time.Millisecond)
	}
	require.Empty(t, w.Wrong)
	require.Empty(t, fault)
	require.Greater(t, w.State().Base, base, w.State().Reason)
	return w.Now - began
}

func TestAVersionIsInForceWithinItsTimeWhoeverIsCutOff(t *testing.T) {
	for _, cutBefore := range []time.Duration{0, 2 * time.Second, 8 * time.Second, 30 * time.Second} {
		w := timed(51, 20)
		w.apart(w.Hosts[19], true, true)
		w.Run(cutBefore + time.Millisecond)
		took := inForce(t, w, w.Fronts[0], "(rules (given-up 2))")
		t.Logf("cut off %v before: %v", cutBefore, took)
		assert.LessOrEqual(t, took, 20*time.Second, "cut off %v before", cutBefore)
		if cutBefore > 20*time.Second {
			assert.LessOrEqual(t, took, 6*time.Second, "its lease has expired: nobody waits for it")
		}
		w.Heal()
		w.Run(10 * time.Second)
		assert.EqualValues(t, 1, w.Fronts[19].Core.ConfigVersion(), "it is brought up")
		require.Empty(t, w.Wrong)
	}
}

// A change comes each 5 s for a minute, from two operators, while a front is cut off half-way: each is in force in its time, and the
// rules in the end are all of them in order.
func TestABurstOfChangesIsCoalescedAndEachIsInForceInItsTime(t *testing.T) {
	w := timed(53, 20)
	inForce(t, w, w.Fronts[0], "(rules (given-up 1))")
	began, came := w.Now, 0
	type change struct{ came, accepted, inForce time.Duration }
	changes := make([]*change, 12)
	rules := map[string]string{"given-up 1": "(given-up 1)"}
	var publishNext func()
	publishNext = func() {
		i := came
		came++
		x := &change{came: w.Now}
		changes[i] = x
		var text []byte
		w.Fronts[0].host.Do(func(n *fleet.Node, _ time.Duration) {
			s, _ := rollout.ReadState(n.State())
			base := max(s.Base, s.Next) // an operator who looks at what is on its way too
			seen, err := deployment.RulesText{}.Split(rollout.VersionText(n.State(), base))
			require.NoError(t, err)
			key := fmt.Sprintf("given-up %d", 100+i)
			seen[key] = fmt.Sprintf("(given-up %d)", 100+i)
			rules[key] = seen[key]
			text = deployment.RulesText{}.Join(seen)
			action := rollout.Action{Type: rollout.ActionPublish, Base: base, Text: text, Stages: []uint16{1000}, MaxFenced: 300}
			w.Publish(w.Fronts[0], action, func(fault string) {
				require.Empty(t, fault, "change %d", i)
				x.accepted = w.Now
			})
		})
		if came < len(changes) {
			w.After(5*time.Second, publishNext)
		}
	}
	w.After(0, publishNext)
	w.After(12*time.Second, func() { w.apart(w.Hosts[19], true, true) })
	waited := 0
	for w.Now < began+2*time.Minute {
		w.Run(100 * time.Millisecond)
		w.Fronts[0].host.Do(func(n *fleet.Node, _ time.Duration) { waited = max(waited, len(rollout.QueuedPublications(n.State()))) })
		if s := w.State(); s.Phase == rollout.PhaseSteady {
			for _, x := range changes {
				if x != nil && x.accepted > 0 && x.inForce == 0 && x.accepted < w.Now-time.Second {
					x.inForce = w.Now
				}
			}
		}
	}
	require.Empty(t, w.Wrong)
	var took []time.Duration
	for i, x := range changes {
		require.NotZero(t, x.inForce, "change %d", i)
		took = append(took, x.inForce-x.came)
	}
	t.Logf("in force after %v; most waiting %d; versions %d", took, waited, w.State().Base)
	assert.Positive(t, waited, "an operator sees who waits")
	w.Fronts[0].host.Do(func(n *fleet.Node, _ time.Duration) {
		got, err := deployment.RulesText{}.Split(rollout.VersionText(n.State(), w.State().Base))
		require.NoError(t, err)
		assert.Equal(t, rules, got)
		assert.Empty(t, rollout.QueuedPublications(n.State()))
	})
}

// A zone of the fleet is lost with the leader in it, at rest and under a rollout.
func TestAVersionIsInForceInTimeAfterTheLeadersZoneIsLost(t *testing.T) {
	for _, after := range []time.Duration{0, 3 * time.Second, 6 * time.Second, 30 * time.Second} {
		w := timed(52, 24)
		inForce(t, w, w.Fronts[0], "(rules (given-up 1))")
		leader := w.Leader()
		require.NotNil(t, leader)
		at := w.Fronts[0]
		for i, h := range w.Hosts {
			if h == leader || i >= 21 {
				h.Crash()
			} else {
				at = w.Fronts[i]
			}
		}
		w.Run(after + time.Millisecond)
		took := inForce(t, w, at, "(rules (given-up 2))")
		t.Logf("published %v after the loss: %v", after, took)
		assert.LessOrEqual(t, took, 20*time.Second, "published %v after the loss", after)
	}
}

// A stage with a time ends as soon as its trial has decided, or when its share of the time is over; then the publication says what
// happens.
func TestAStageWithATimeEndsOnItsEvidence(t *testing.T) {
	for _, x := range []struct {
		name       string
		fails      float64 // of all requests, on either version
		worse      float64 // on the new one besides
		noEvidence uint8
		base       uint64
		why        string
	}{
		{"decided", 0.2, 0, rollout.UndecidedPause, 1, "is in force"},
		{"worse", 0.02, 0.3, rollout.UndecidedContinue, 0, "serves worse"},
		{"go", 0, 0, rollout.UndecidedContinue, 1, "is in force"},
		{"hold", 0, 0, rollout.UndecidedPause, 0, "held: the time of wave 1 is over"},
		{"back", 0, 0, rollout.UndecidedRollBack, 0, "the time of wave 1 is over"},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := New(Options{Seed: 61, Fronts: 12, Voters: 3, Groups: 3, PerGroup: 3, Servers: 8, Service: 2 * time.Millisecond, Rate: 40, Writes: 0.25,
				Span: 3 * time.Second, Fleet: true, Right: 6 * time.Second, Stop: true, Within: 40 * time.Second})
			for _, f := range w.Fronts {
				f.Spoils = func(v uint64) float64 { return x.fails + x.worse*float64(v) }
			}
			w.StartAll()
			w.Run(10 * time.Second)
			action := wish("(rules (window book 1s))", 500, 1000)
			action.ObservationTime, action.OnUndecided = 30*time.Second, x.noEvidence
			began := w.Now
			require.Empty(t, publish(t, w, action))
			for w.Now < began+time.Minute && w.State().Phase != rollout.PhaseSteady && !w.State().Paused {
				w.Run(100 * time.Millisecond)
			}
			took := w.Now - began
			s := w.State()
			require.Empty(t, w.Wrong)
			t.Logf("%v: %s", took, s.Reason)
			assert.Equal(t, x.base, s.Base)
			assert.LessOrEqual(t, took, 40*time.Second)
			if x.noEvidence == rollout.UndecidedPause && s.Paused {
				f := w.Fronts[0]
				w.Publish(f, rollout.Action{Type: rollout.ActionResume}, func(string) {})
				w.Run(30 * time.Second)
				assert.EqualValues(t, 1, w.State().Base, "an operator lets it go on")
				return
			}
			found := false
			for _, turn := range w.Turns {
				found = found || strings.Contains(turn.Reason, x.why)
			}
			assert.True(t, found, s.Reason)
		})
	}
}

// The only front of the first stage is cut off: the stage's time passes all the same.
func TestAStageWhoseFrontsAreSilentEndsWithItsTime(t *testing.T) {
	w := New(Options{Seed: 3, Fronts: 12, Voters: 3, Groups: 2, PerGroup: 3, Servers: 8, Service: 2 * time.Millisecond, Span: 3 * time.Second,
		Fleet: true, Right: 6 * time.Second, Stop: true, Within: 20 * time.Second})
	w.StartAll()
	w.Run(10 * time.Second)
	x := wish("(rules (given-up 2))", 1, 500, 1000)
	x.ObservationTime = 30 * time.Second
	began := w.Now
	w.Publish(w.Fronts[0], x, func(string) {})
	for w.Now < began+5*time.Second && w.State().Next == 0 {
		w.Run(10 * time.Millisecond)
	}
	s := w.State()
	for _, f := range w.Fronts {
		if s.VersionFor(f.Name) == s.Next {
			f.host.Stop()
		}
	}
	for w.Now < began+time.Minute && (w.State().Phase != rollout.PhaseSteady || w.State().LastVersion == 0) {
		w.Run(100 * time.Millisecond)
	}
	require.Empty(t, w.Wrong)
	assert.EqualValues(t, 1, w.State().Base, w.State().Reason)
	assert.LessOrEqual(t, w.Now-began, 20*time.Second)
	t.Logf("in force after %v", w.Now-began)
}
