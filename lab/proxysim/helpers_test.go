package proxysim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/rollout"
)

// noOutcome is the placeholder for the outcome of an action that has no outcome yet.
const noOutcome = "no outcome"

// newRolloutCluster starts a cluster with nine servers under load, in which configuration versions can be published.
func newRolloutCluster(seed uint64, fronts int, stopWhenIsolated bool) *Cluster {
	cluster := New(Options{
		Seed:          seed,
		Fronts:        fronts,
		Voters:        3,
		Fleet:         true,
		LeaseDuration: 3 * time.Second,
		Servers:       ServerOptions{Groups: 3, PerGroup: 3, Concurrency: 4, ServiceTime: 2 * time.Millisecond},
		Load:          LoadOptions{Rate: 20, WriteFraction: 0.25},
		Rollout:       RolloutOptions{ConfigLease: 6 * time.Second, StopWhenIsolated: stopWhenIsolated},
	})
	cluster.StartAll()
	cluster.Run(10 * time.Second)
	return cluster
}

// newPublishAction returns an action that publishes a text in stages, which are given in thousandths of the fleet. Without stages it
// uses three.
func newPublishAction(text string, stages ...uint16) rollout.Action {
	if len(stages) == 0 {
		stages = []uint16{10, 500, 1000}
	}
	return rollout.Action{Type: rollout.ActionPublish, Text: []byte(text), Stages: stages, ObservationTime: 2 * time.Second, MaxFenced: 200}
}

// submitAndWait submits an action at the first front and waits for its outcome. It returns the reason of the rejection, "" if the action
// was accepted, or noOutcome if there was no outcome within 30 s.
func submitAndWait(t *testing.T, cluster *Cluster, a rollout.Action) (rejectedReason string) {
	t.Helper()
	rejectedReason = noOutcome
	cluster.SubmitAction(cluster.Fronts[0], a, func(reason string) { rejectedReason = reason })
	for range 100 {
		cluster.Run(300 * time.Millisecond)
		if rejectedReason != noOutcome {
			break
		}
	}
	return rejectedReason
}

// awaitSteady waits until a rollout has ended and returns its last state. It fails the test after the timeout or on a violation.
func awaitSteady(t *testing.T, cluster *Cluster, timeout time.Duration) rollout.State {
	t.Helper()
	end := cluster.Now + timeout
	for cluster.Now < end && (cluster.RolloutState().Phase != rollout.PhaseSteady || cluster.RolloutState().LastVersion == 0) {
		cluster.Run(250 * time.Millisecond)
	}
	require.Empty(t, cluster.Violations)
	require.Equal(t, rollout.PhaseSteady, cluster.RolloutState().Phase, cluster.RolloutState().Reason)
	return cluster.RolloutState()
}

// activeVersions returns the configuration version of each front.
func activeVersions(cluster *Cluster) (all []uint64) {
	for _, f := range cluster.Fronts {
		all = append(all, f.Core.ConfigVersion())
	}
	return all
}
