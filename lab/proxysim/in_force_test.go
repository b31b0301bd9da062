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

// newClusterWithDeadline starts a cluster whose versions must be in force on all fronts within 20 s. The two lease durations have their
// default ratio.
func newClusterWithDeadline(seed uint64, fronts int) *Cluster {
	cluster := New(Options{
		Seed:          seed,
		Fronts:        fronts,
		Voters:        3,
		Fleet:         true,
		LeaseDuration: 3 * time.Second,
		Servers:       ServerOptions{Groups: 3, PerGroup: 3, Concurrency: 4, ServiceTime: 2 * time.Millisecond},
		Load:          LoadOptions{Rate: 4, WriteFraction: 0.25},
		Rollout:       RolloutOptions{ConfigLease: 12 * time.Second, StopWhenIsolated: true, InForceWithin: 20 * time.Second},
	})
	cluster.StartAll()
	cluster.Run(20 * time.Second)
	return cluster
}

// publishAndAwaitInForce publishes rules at a front in one stage, waits until they are in force, and returns how long that took.
func publishAndAwaitInForce(t *testing.T, cluster *Cluster, at *Front, text string) time.Duration {
	t.Helper()
	base, began, rejectedReason := cluster.RolloutState().Base, cluster.Now, noOutcome
	action := newPublishAction(text, 1000)
	action.Base, action.ObservationTime = base, 0
	cluster.SubmitAction(at, action, func(reason string) { rejectedReason = reason })
	for cluster.Now < began+2*time.Minute && (cluster.RolloutState().Base == base || cluster.RolloutState().Phase != rollout.PhaseSteady) {
		cluster.Run(50 * time.Millisecond)
	}
	require.Empty(t, cluster.Violations)
	require.Empty(t, rejectedReason)
	require.Greater(t, cluster.RolloutState().Base, base, cluster.RolloutState().Reason)
	return cluster.Now - began
}

func TestVersionIsInForceWithinItsTimeWhoeverIsCutOff(t *testing.T) {
	for _, cutBefore := range []time.Duration{0, 2 * time.Second, 8 * time.Second, 30 * time.Second} {
		cluster := newClusterWithDeadline(51, 20)
		cluster.partition(cluster.Hosts[19], bothDirections)
		cluster.Run(cutBefore + time.Millisecond)
		took := publishAndAwaitInForce(t, cluster, cluster.Fronts[0], "(rules (given-up 2))")
		t.Logf("cut off %v before: %v", cutBefore, took)
		assert.LessOrEqual(t, took, 20*time.Second, "cut off %v before", cutBefore)
		if cutBefore > 20*time.Second {
			assert.LessOrEqual(t, took, 6*time.Second, "the front's configuration lease has expired, so the rollout does not wait for the front")
		}
		cluster.Heal()
		cluster.Run(10 * time.Second)
		assert.EqualValues(t, 1, cluster.Fronts[19].Core.ConfigVersion(), "the front adopts the version afterwards")
		require.Empty(t, cluster.Violations)
	}
}

// A change is published every 5 s for a minute, and a front is cut off meanwhile. Each change must come into force, and in the end the
// rules must contain all changes.
func TestABurstOfChangesIsCoalescedAndEachIsInForceInItsTime(t *testing.T) {
	cluster := newClusterWithDeadline(53, 20)
	publishAndAwaitInForce(t, cluster, cluster.Fronts[0], "(rules (given-up 1))")
	began, published := cluster.Now, 0
	type change struct{ requestedAt, acceptedAt, inForceAt time.Duration }
	changes := make([]*change, 12)
	rules := map[string]string{"given-up 1": "(given-up 1)"}
	var publishNext func()
	publishNext = func() {
		i := published
		published++
		current := &change{requestedAt: cluster.Now}
		changes[i] = current
		var text []byte
		cluster.Fronts[0].host.WithNode(func(n *fleet.Node, _ time.Duration) {
			s, _ := rollout.ReadState(n.State())
			base := max(s.Base, s.Next) // the operator bases the change on the version that is being rolled out, if there is one
			seen, err := deployment.RulesText{}.Split(rollout.VersionText(n.State(), base))
			require.NoError(t, err)
			key := fmt.Sprintf("given-up %d", 100+i)
			seen[key] = fmt.Sprintf("(given-up %d)", 100+i)
			rules[key] = seen[key]
			text = deployment.RulesText{}.Join(seen)
			action := rollout.Action{Type: rollout.ActionPublish, Base: base, Text: text, Stages: []uint16{1000}, MaxFenced: 300}
			cluster.SubmitAction(cluster.Fronts[0], action, func(rejectedReason string) {
				require.Empty(t, rejectedReason, "change %d", i)
				current.acceptedAt = cluster.Now
			})
		})
		if published < len(changes) {
			cluster.After(5*time.Second, publishNext)
		}
	}
	cluster.After(0, publishNext)
	cluster.After(12*time.Second, func() { cluster.partition(cluster.Hosts[19], bothDirections) })
	maxQueued := 0
	for cluster.Now < began+2*time.Minute {
		cluster.Run(100 * time.Millisecond)
		cluster.Fronts[0].host.WithNode(func(n *fleet.Node, _ time.Duration) {
			maxQueued = max(maxQueued, len(rollout.QueuedPublications(n.State())))
		})
		if s := cluster.RolloutState(); s.Phase == rollout.PhaseSteady {
			for _, x := range changes {
				if x != nil && x.acceptedAt > 0 && x.inForceAt == 0 && x.acceptedAt < cluster.Now-time.Second {
					x.inForceAt = cluster.Now
				}
			}
		}
	}
	require.Empty(t, cluster.Violations)
	var took []time.Duration
	for i, x := range changes {
		require.NotZero(t, x.inForceAt, "change %d", i)
		took = append(took, x.inForceAt-x.requestedAt)
	}
	t.Logf("in force after %v; at most %d queued; versions %d", took, maxQueued, cluster.RolloutState().Base)
	assert.Positive(t, maxQueued, "an operator sees the queue")
	cluster.Fronts[0].host.WithNode(func(n *fleet.Node, _ time.Duration) {
		got, err := deployment.RulesText{}.Split(rollout.VersionText(n.State(), cluster.RolloutState().Base))
		require.NoError(t, err)
		assert.Equal(t, rules, got)
		assert.Empty(t, rollout.QueuedPublications(n.State()))
	})
}

// A zone with the leader in it crashes some time before a version is published. The version must still be in force in time.
func TestVersionIsInForceInTimeAfterTheLeadersZoneIsLost(t *testing.T) {
	for _, after := range []time.Duration{0, 3 * time.Second, 6 * time.Second, 30 * time.Second} {
		cluster := newClusterWithDeadline(52, 24)
		publishAndAwaitInForce(t, cluster, cluster.Fronts[0], "(rules (given-up 1))")
		leader := cluster.Leader()
		require.NotNil(t, leader)
		at := cluster.Fronts[0]
		for i, h := range cluster.Hosts {
			if h == leader || i >= 21 {
				h.Crash()
			} else {
				at = cluster.Fronts[i]
			}
		}
		cluster.Run(after + time.Millisecond)
		took := publishAndAwaitInForce(t, cluster, at, "(rules (given-up 2))")
		t.Logf("published %v after the loss: %v", after, took)
		assert.LessOrEqual(t, took, 20*time.Second, "published %v after the loss", after)
	}
}

// A stage with a time limit must end as soon as its canary analysis has decided, or else when its share of the time is over. In the
// second case the action's OnUndecided says whether the rollout continues, pauses or rolls back.
func TestTimedStageEndsOnItsObservation(t *testing.T) {
	for _, test := range []struct {
		name        string
		failureRate float64 // on both versions
		additional  float64 // added to failureRate on the new version
		onUndecided uint8
		base        uint64
		lastReason  string
	}{
		{"decided", 0.2, 0, rollout.UndecidedPause, 1, "is in force"},
		{"worse", 0.02, 0.3, rollout.UndecidedContinue, 0, "serves worse"},
		{"continue", 0, 0, rollout.UndecidedContinue, 1, "is in force"},
		{"pause", 0, 0, rollout.UndecidedPause, 0, "held: the time of wave 1 is over"},
		{"roll back", 0, 0, rollout.UndecidedRollBack, 0, "the time of wave 1 is over"},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := New(Options{
				Seed:          61,
				Fronts:        12,
				Voters:        3,
				Fleet:         true,
				LeaseDuration: 3 * time.Second,
				Servers:       ServerOptions{Groups: 3, PerGroup: 3, Concurrency: 8, ServiceTime: 2 * time.Millisecond},
				Load:          LoadOptions{Rate: 40, WriteFraction: 0.25},
				Rollout:       RolloutOptions{ConfigLease: 6 * time.Second, StopWhenIsolated: true, InForceWithin: 40 * time.Second},
			})
			for _, f := range cluster.Fronts {
				f.FailureRate = func(v uint64) float64 { return test.failureRate + test.additional*float64(v) }
			}
			cluster.StartAll()
			cluster.Run(10 * time.Second)
			action := newPublishAction("(rules (window book 1s))", 500, 1000)
			action.ObservationTime, action.OnUndecided = 30*time.Second, test.onUndecided
			began := cluster.Now
			require.Empty(t, submitAndWait(t, cluster, action))
			for cluster.Now < began+time.Minute && cluster.RolloutState().Phase != rollout.PhaseSteady && !cluster.RolloutState().Paused {
				cluster.Run(100 * time.Millisecond)
			}
			took := cluster.Now - began
			s := cluster.RolloutState()
			require.Empty(t, cluster.Violations)
			t.Logf("%v: %s", took, s.Reason)
			assert.Equal(t, test.base, s.Base)
			assert.LessOrEqual(t, took, 40*time.Second)
			if test.onUndecided == rollout.UndecidedPause && s.Paused {
				f := cluster.Fronts[0]
				cluster.SubmitAction(f, rollout.Action{Type: rollout.ActionResume}, func(string) {})
				cluster.Run(30 * time.Second)
				assert.EqualValues(t, 1, cluster.RolloutState().Base, "an operator resumes it")
				return
			}
			found := false
			for _, change := range cluster.RolloutChanges {
				found = found || strings.Contains(change.Reason, test.lastReason)
			}
			assert.True(t, found, s.Reason)
		})
	}
}

// The only front of the first stage is paused and sends no reports. The stage must still end when its time is over.
func TestTimedStageOfUnreachableFrontsEndsWithItsTime(t *testing.T) {
	cluster := New(Options{
		Seed:          3,
		Fronts:        12,
		Voters:        3,
		Fleet:         true,
		LeaseDuration: 3 * time.Second,
		Servers:       ServerOptions{Groups: 2, PerGroup: 3, Concurrency: 8, ServiceTime: 2 * time.Millisecond},
		Rollout:       RolloutOptions{ConfigLease: 6 * time.Second, StopWhenIsolated: true, InForceWithin: 20 * time.Second},
	})
	cluster.StartAll()
	cluster.Run(10 * time.Second)
	action := newPublishAction("(rules (given-up 2))", 1, 500, 1000)
	action.ObservationTime = 30 * time.Second
	began := cluster.Now
	cluster.SubmitAction(cluster.Fronts[0], action, func(string) {})
	for cluster.Now < began+5*time.Second && cluster.RolloutState().Next == 0 {
		cluster.Run(10 * time.Millisecond)
	}
	s := cluster.RolloutState()
	for _, f := range cluster.Fronts {
		if s.VersionFor(f.Name) == s.Next {
			f.host.Pause()
		}
	}
	for cluster.Now < began+time.Minute && (cluster.RolloutState().Phase != rollout.PhaseSteady || cluster.RolloutState().LastVersion == 0) {
		cluster.Run(100 * time.Millisecond)
	}
	require.Empty(t, cluster.Violations)
	assert.EqualValues(t, 1, cluster.RolloutState().Base, cluster.RolloutState().Reason)
	assert.LessOrEqual(t, cluster.Now-began, 20*time.Second)
	t.Logf("in force after %v", cluster.Now-began)
}
