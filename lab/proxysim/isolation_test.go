package proxysim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// A front is paused for a minute in the middle of its requests, and a mandatory version comes into force meanwhile. When the front
// resumes, it must start no attempt on the old version. The test checks this by the attempts that the servers received.
func TestFrontPausedDuringAMandatoryRolloutStartsNoAttemptOnTheOldVersion(t *testing.T) {
	for seed := range uint64(8) {
		cluster := newRolloutCluster(20+seed, 6, true)
		f := cluster.Fronts[5]
		h := cluster.Hosts[5]
		for range 20 {
			f.SendRequest(2, true)
			f.SendRequest(2, false)
		}
		cluster.Run(time.Duration(seed) * 300 * time.Microsecond)
		h.Pause()
		cluster.After(time.Minute, h.Resume)
		action := newPublishAction("(rules (given-up 2))", 1000)
		action.Mandatory = true
		require.Empty(t, submitAndWait(t, cluster, action))
		s := awaitSteady(t, cluster, 50*time.Second)
		assert.EqualValues(t, 1, s.Base)
		inForce := cluster.RolloutChanges[len(cluster.RolloutChanges)-1].At
		require.True(t, h.Paused(), "the front is paused during the whole rollout")
		cluster.Run(90 * time.Second)
		require.Empty(t, cluster.Violations)
		for _, server := range cluster.Servers[6:] {
			for _, attempt := range server.Attempts {
				assert.LessOrEqual(t, attempt.At, inForce, "seed %d: %s of %s reached %s", seed, attempt.ID, attempt.Front, server.Name)
			}
		}
		for _, request := range cluster.Requests {
			assert.LessOrEqual(t, request.Responses, 1)
			assert.False(t, request.Responses == 0 && request.ReceivedAt < cluster.Now-10*time.Second,
				"%s of %s has exactly one response", request.ID, request.Front)
		}
		assert.EqualValues(t, 1, f.Core.ConfigVersion(), "the front adopts the version afterwards")
		assert.False(t, f.Core.Standby(), "the front serves again")
	}
}

func TestWithoutAMajorityFrontsContinueOrStopAsConfigured(t *testing.T) {
	for _, stop := range []bool{false, true} {
		cluster := newRolloutCluster(31, 6, stop)
		cluster.Hosts[0].Crash()
		cluster.Hosts[1].Crash()
		cluster.Run(15 * time.Second)
		require.Empty(t, cluster.Violations)
		for _, f := range cluster.Fronts[2:] {
			assert.Equal(t, stop, f.Core.Standby(), "%s, StopWhenIsolated %v", f.Name, stop)
		}
		cluster.Hosts[0].Start()
		cluster.Hosts[1].Start()
		cluster.Run(15 * time.Second)
		for _, f := range cluster.Fronts {
			assert.False(t, f.Core.Standby(), f.Name)
		}
		require.Empty(t, submitAndWait(t, cluster, newPublishAction("(rules (given-up 2))", 1000)))
		awaitSteady(t, cluster, time.Minute)
	}
}

func TestMandatoryVersionIsNotInForceWithoutAMajority(t *testing.T) {
	cluster := newRolloutCluster(32, 5, false)
	action := newPublishAction("(rules (given-up 2))", 400, 1000)
	action.Mandatory, action.ObservationTime = true, 8*time.Second
	require.Empty(t, submitAndWait(t, cluster, action))
	cluster.Hosts[1].Crash()
	cluster.Hosts[2].Crash()
	cluster.Run(30 * time.Second)
	assert.Equal(t, rollout.PhaseRolling, cluster.RolloutState().Phase)
	onNewVersion := 0
	for _, f := range cluster.Fronts {
		if f.host.Up() && f.Core.ConfigVersion() == 1 {
			onNewVersion++
		}
	}
	assert.Less(t, onNewVersion, 3)
	cluster.Hosts[1].Start()
	cluster.Hosts[2].Start()
	s := awaitSteady(t, cluster, time.Minute)
	assert.Contains(t, []uint64{0, 1}, s.Base)
	assert.Empty(t, cluster.Violations)
}

func TestFrontThatIsCutOffIsFencedAndComesBackUpToDate(t *testing.T) {
	cluster := newRolloutCluster(33, 6, true)
	cutOff := cluster.Fronts[5]
	for _, h := range cluster.Hosts {
		cluster.Cut(h.Name, cutOff.Name)
		cluster.Cut(cutOff.Name, h.Name)
	}
	require.Empty(t, submitAndWait(t, cluster, newPublishAction("(rules (given-up 2))", 1000)))
	s := awaitSteady(t, cluster, 2*time.Minute)
	assert.EqualValues(t, 1, s.Base)
	assert.True(t, cutOff.Core.Standby())
	assert.EqualValues(t, 0, cutOff.Core.ConfigVersion())
	cluster.Heal()
	cluster.Run(15 * time.Second)
	assert.EqualValues(t, 1, cutOff.Core.ConfigVersion())
	assert.False(t, cutOff.Core.Standby())
	assert.Empty(t, cluster.Violations)
}

func TestNoMoreThanTheConfiguredShareIsFenced(t *testing.T) {
	cluster := newRolloutCluster(34, 6, true)
	for _, cutOff := range []string{"f004", "f005"} {
		for _, h := range cluster.Hosts {
			if h.Name != cutOff {
				cluster.Cut(h.Name, cutOff)
				cluster.Cut(cutOff, h.Name)
			}
		}
	}
	require.Empty(t, submitAndWait(t, cluster, newPublishAction("(rules (given-up 2))", 1000)))
	cluster.Run(40 * time.Second)
	assert.Equal(t, rollout.PhaseRolling, cluster.RolloutState().Phase)
	assert.Contains(t, cluster.RolloutState().Reason, "2 fronts lag (f004, f005), and 1 may be shut out at once")
	cluster.Heal()
	awaitSteady(t, cluster, time.Minute)
	assert.Equal(t, []uint64{1, 1, 1, 1, 1, 1}, activeVersions(cluster))
}

// A front without a configuration lease must release the leases that it holds, and must be granted none until it has a configuration
// lease again.
func TestFrontWithoutAConfigLeaseHoldsNoLease(t *testing.T) {
	cluster := newRolloutCluster(41, 5, true)
	h := cluster.Leaseholder("list")
	require.NotNil(t, h)
	h.WithNode(func(n *fleet.Node, now time.Duration) { n.SetLeasesSuspended(now, true) })
	cluster.Run(500 * time.Millisecond)
	next := cluster.Leaseholder("list")
	require.NotNil(t, next, "transferred without waiting for the lease to expire")
	assert.NotEqual(t, h.Name, next.Name)
	cluster.Run(200 * time.Millisecond) // the participant sees that the front has its configuration lease, and lets it take leases again
	for _, h := range cluster.Hosts {
		h.WithNode(func(n *fleet.Node, now time.Duration) {
			lease := n.State().Leases["list"]
			assert.Equal(t, next.Name, lease.Leaseholder)
		})
	}
	assert.Empty(t, cluster.Violations)
}
