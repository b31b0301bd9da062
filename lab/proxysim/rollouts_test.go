package proxysim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/rollout"
	"dapplerouter/front"
)

func TestVersionIsRolledOutInStages(t *testing.T) {
	cluster := newRolloutCluster(1, 5, true)
	require.Empty(t, submitAndWait(t, cluster, newPublishAction("(rules (given-up 2))")))
	s := awaitSteady(t, cluster, time.Minute)
	assert.EqualValues(t, 1, s.Base)
	assert.Equal(t, []uint64{1, 1, 1, 1, 1}, activeVersions(cluster))
	var stages []int
	for _, x := range cluster.RolloutChanges {
		stages = append(stages, x.Stage)
	}
	assert.Contains(t, stages, 1)
	assert.Contains(t, stages, 2)
	before := len(cluster.Servers[6].Attempts) + len(cluster.Servers[7].Attempts) + len(cluster.Servers[8].Attempts)
	cluster.Run(5 * time.Second)
	assert.Equal(t, before, len(cluster.Servers[6].Attempts)+len(cluster.Servers[7].Attempts)+len(cluster.Servers[8].Attempts), "the group's servers receive no attempts")
	require.Empty(t, submitAndWait(t, cluster, func() rollout.Action { x := newPublishAction("(rules)"); x.Base = 1; return x }()))
	assert.EqualValues(t, 2, awaitSteady(t, cluster, time.Minute).Base)
	assert.Empty(t, cluster.Violations)
}

func TestPublishOnAStaleStateIsRejected(t *testing.T) {
	cluster := newRolloutCluster(2, 5, true)
	var reasons [2]string
	for i := range reasons { // two publications at the same time, both based on version 0
		reasons[i] = noOutcome
		action := newPublishAction([]string{"(rules (given-up 1))", "(rules (given-up 2))"}[i])
		cluster.SubmitAction(cluster.Fronts[i], action, func(f string) { reasons[i] = f })
	}
	cluster.Run(3 * time.Second)
	if reasons[0] == "" {
		assert.Contains(t, reasons[1], "on its way")
	} else {
		assert.Empty(t, reasons[1])
		assert.Contains(t, reasons[0], "on its way")
	}
	awaitSteady(t, cluster, time.Minute)
	action := newPublishAction("(rules (given-up 0))")
	assert.Contains(t, submitAndWait(t, cluster, action), "version 1 is in force, and the wish was made on version 0")
}

func TestVersionThatSomeFrontsRejectIsRolledBackWithTheReason(t *testing.T) {
	cluster := newRolloutCluster(3, 6, true)
	for i, f := range cluster.Fronts {
		f.RejectsVersion = func(uint64) bool { return i%2 == 1 }
	}
	require.Empty(t, submitAndWait(t, cluster, newPublishAction("(rules (given-up 2))", 400, 1000)))
	s := awaitSteady(t, cluster, time.Minute)
	assert.EqualValues(t, 0, s.Base)
	assert.Contains(t, s.Reason, "can't use version 1: limits do not fit")
	assert.Equal(t, make([]uint64, 6), activeVersions(cluster))
}

func TestVersionThatCrashesFrontsIsRolledBack(t *testing.T) {
	cluster := newRolloutCluster(4, 6, true)
	for _, f := range cluster.Fronts {
		f.CrashesOnVersion = func(v uint64) bool { return v == 1 }
	}
	require.Empty(t, submitAndWait(t, cluster, newPublishAction("(rules (given-up 2))")))
	s := awaitSteady(t, cluster, time.Minute)
	assert.EqualValues(t, 0, s.Base)
	assert.Contains(t, s.Reason, "version 1")
	cluster.Run(5 * time.Second)
	assert.Equal(t, make([]uint64, 6), activeVersions(cluster))
	assert.Empty(t, cluster.Violations)
}

// A version may crash a front only some time after its adoption. A restart of a front during the observation must count against the
// version.
func TestVersionOnWhichAFrontCrashesLaterIsRolledBack(t *testing.T) {
	cluster := newRolloutCluster(13, 6, true)
	action := newPublishAction("(rules (given-up 2))", 1, 1000)
	action.ObservationTime = 25 * time.Second
	require.Empty(t, submitAndWait(t, cluster, action))
	cluster.Run(12 * time.Second)
	for _, f := range cluster.Fronts {
		if f.Core.ConfigVersion() == 1 {
			f.host.Crash()
			cluster.After(time.Second, f.host.Start)
		}
	}
	s := awaitSteady(t, cluster, time.Minute)
	assert.EqualValues(t, 0, s.Base)
	assert.Contains(t, s.Reason, "went down behind taking up version 1")
}

// All fronts crash on a new version before they have saved the version in force to their disks. They must restart on an older version,
// reject the new one and adopt the one in force, so that one of them can roll the new version back.
func TestFleetThatCrashedAsAWholeRestartsOnTheVersionInForce(t *testing.T) {
	cluster := newRolloutCluster(10, 6, true)
	for _, f := range cluster.Fronts {
		f.CrashesOnVersion = func(v uint64) bool { return v == 2 }
	}
	require.Empty(t, submitAndWait(t, cluster, newPublishAction("(rules (given-up 2))", 1000)))
	awaitSteady(t, cluster, time.Minute)
	action := newPublishAction("(rules (given-up 1))", 1000)
	action.Base = 1
	cluster.SubmitAction(cluster.Fronts[0], action, func(string) {})
	cluster.Run(5 * time.Second)
	s := awaitSteady(t, cluster, time.Minute)
	assert.EqualValues(t, 1, s.Base)
	assert.Contains(t, s.Reason, "version 2")
	cluster.Run(5 * time.Second)
	assert.Equal(t, []uint64{1, 1, 1, 1, 1, 1}, activeVersions(cluster))
}

// A front stores the number of a version on its disk when it begins to adopt it. A front that crashed on a version must therefore reject
// it after the restart, even while the rollout has not been rolled back.
func TestFrontThatCrashedOnAVersionDoesNotAdoptItAgain(t *testing.T) {
	cluster := newRolloutCluster(9, 6, true)
	crashes := map[string]int{}
	for _, f := range cluster.Fronts {
		f.CrashesOnVersion = func(v uint64) bool {
			if v == 1 {
				crashes[f.Name]++
				if h := cluster.Leaseholder(rollout.Lease); h != nil && h != f.host {
					h.Pause() // so that nothing rolls the version back for a while
				}
			}
			return v == 1
		}
	}
	require.Empty(t, submitAndWait(t, cluster, newPublishAction("(rules (given-up 2))", 1, 1000)))
	cluster.Run(2 * time.Second)
	for _, h := range cluster.Hosts {
		cluster.After(25*time.Second, h.Resume)
	}
	cluster.Run(20 * time.Second)
	for name, n := range crashes {
		assert.Equal(t, 1, n, name)
	}
	assert.NotEmpty(t, crashes)
	awaitSteady(t, cluster, 2*time.Minute)
	assert.Equal(t, make([]uint64, 6), activeVersions(cluster))
}

func TestVersionWithMoreFailuresIsRolledBack(t *testing.T) {
	cluster := newRolloutCluster(5, 8, true)
	for _, f := range cluster.Fronts {
		f.FailureRate = func(v uint64) float64 { return 0.005 + 0.1*float64(v) }
	}
	action := newPublishAction("(rules (given-up 2))", 250, 1000)
	action.ObservationTime = 20 * time.Second
	from := cluster.Now
	require.Empty(t, submitAndWait(t, cluster, action))
	s := awaitSteady(t, cluster, time.Minute)
	assert.EqualValues(t, 0, s.Base)
	assert.Contains(t, s.Reason, "serves worse")
	unsuccessful := 0
	for _, x := range cluster.Requests {
		if x.ReceivedAt > from && x.Responses == 1 && (x.Status == front.StatusRejected || x.Status == front.StatusFailed) {
			unsuccessful++
		}
	}
	assert.Less(t, unsuccessful, 60, "requests that did not succeed because of the version")
}

func TestRolloutSurvivesLossOfItsLeaseholderInEachStage(t *testing.T) {
	cluster := newRolloutCluster(6, 7, true)
	require.Empty(t, submitAndWait(t, cluster, newPublishAction("(rules (given-up 2))", 150, 400, 700, 1000)))
	seen := map[int]bool{}
	for end := cluster.Now + 4*time.Minute; cluster.Now < end && cluster.RolloutState().Phase != rollout.PhaseSteady; {
		cluster.Run(250 * time.Millisecond)
		if s := cluster.RolloutState(); s.Phase == rollout.PhaseRolling && !seen[s.Stage] {
			if h := cluster.Leaseholder(rollout.Lease); h != nil {
				seen[s.Stage] = true
				cluster.Run(500 * time.Millisecond)
				// The pause is not caused by the version. If the leaseholder acts on the version already, the rollout is rolled back, with that
				// reason.
				h.Pause()
				cluster.After(9*time.Second, h.Resume)
			}
		}
	}
	s := awaitSteady(t, cluster, 2*time.Minute)
	assert.EqualValues(t, 1, s.Base, s.Reason)
	assert.Len(t, seen, 4)
}
