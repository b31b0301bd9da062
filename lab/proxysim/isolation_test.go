package proxysim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// A front that is paused for a minute in the middle of its requests, while a mandatory version comes into force, starts no attempt on
// the old version when it resumes, by what the servers received.
func TestFrontPausedOverAMandatoryVersionStartsNoAttemptOnTheOldOne(t *testing.T) {
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
		x := publishAction("(rules (given-up 2))", 1000)
		x.Mandatory = true
		require.Empty(t, publish(t, cluster, x))
		s := awaitSteady(t, cluster, 50*time.Second)
		assert.EqualValues(t, 1, s.Base)
		inForce := cluster.RolloutChanges[len(cluster.RolloutChanges)-1].At
		require.True(t, h.Paused(), "it is paused during all of it")
		cluster.Run(90 * time.Second)
		require.Empty(t, cluster.Violations)
		for _, m := range cluster.Servers[6:] {
			for _, c := range m.Attempts {
				assert.LessOrEqual(t, c.At, inForce, "seed %d: %s of %s reached %s", seed, c.ID, c.Front, m.Name)
			}
		}
		for _, x := range cluster.Requests {
			assert.LessOrEqual(t, x.Responses, 1)
			assert.False(t, x.Responses == 0 && x.ReceivedAt < cluster.Now-10*time.Second, "%s of %s has its one response", x.ID, x.Front)
		}
		assert.EqualValues(t, 1, f.Core.ConfigVersion(), "it adopts the version afterwards")
		assert.False(t, f.Core.Standby(), "and serves again")
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
		require.Empty(t, publish(t, cluster, publishAction("(rules (given-up 2))", 1000)))
		awaitSteady(t, cluster, time.Minute)
	}
}

func TestMandatoryVersionIsNotInForceWithoutAMajority(t *testing.T) {
	cluster := newRolloutCluster(32, 5, false)
	x := publishAction("(rules (given-up 2))", 400, 1000)
	x.Mandatory, x.ObservationTime = true, 8*time.Second
	require.Empty(t, publish(t, cluster, x))
	cluster.Hosts[1].Crash()
	cluster.Hosts[2].Crash()
	cluster.Run(30 * time.Second)
	assert.Equal(t, rollout.PhaseRolling, cluster.State().Phase)
	on := 0
	for _, f := range cluster.Fronts {
		if f.host.Up() && f.Core.ConfigVersion() == 1 {
			on++
		}
	}
	assert.Less(t, on, 3)
	cluster.Hosts[1].Start()
	cluster.Hosts[2].Start()
	s := awaitSteady(t, cluster, time.Minute)
	assert.Contains(t, []uint64{0, 1}, s.Base)
	assert.Empty(t, cluster.Violations)
}

func TestFrontThatIsCutOffIsFencedAndComesBackUpToDate(t *testing.T) {
	cluster := newRolloutCluster(33, 6, true)
	out := cluster.Fronts[5]
	for _, h := range cluster.Hosts {
		cluster.Cut(h.Name, out.Name)
		cluster.Cut(out.Name, h.Name)
	}
	require.Empty(t, publish(t, cluster, publishAction("(rules (given-up 2))", 1000)))
	s := awaitSteady(t, cluster, 2*time.Minute)
	assert.EqualValues(t, 1, s.Base)
	assert.True(t, out.Core.Standby())
	assert.EqualValues(t, 0, out.Core.ConfigVersion())
	cluster.Heal()
	cluster.Run(15 * time.Second)
	assert.EqualValues(t, 1, out.Core.ConfigVersion())
	assert.False(t, out.Core.Standby())
	assert.Empty(t, cluster.Violations)
}

func TestNoMoreThanTheConfiguredShareIsFenced(t *testing.T) {
	cluster := newRolloutCluster(34, 6, true)
	for _, out := range []string{"f004", "f005"} {
		for _, h := range cluster.Hosts {
			if h.Name != out {
				cluster.Cut(h.Name, out)
				cluster.Cut(out, h.Name)
			}
		}
	}
	require.Empty(t, publish(t, cluster, publishAction("(rules (given-up 2))", 1000)))
	cluster.Run(40 * time.Second)
	assert.Equal(t, rollout.PhaseRolling, cluster.State().Phase)
	assert.Contains(t, cluster.State().Reason, "2 fronts lag (f004, f005), and 1 may be shut out at once")
	cluster.Heal()
	awaitSteady(t, cluster, time.Minute)
	assert.Equal(t, []uint64{1, 1, 1, 1, 1, 1}, activeVersions(cluster))
}

// A front without a configuration lease releases the leases that it holds and is granted none until it has one.
func TestFrontWithoutAConfigLeaseHoldsNoLease(t *testing.T) {
	cluster := newRolloutCluster(41, 5, true)
	h := cluster.Leaseholder("list")
	require.NotNil(t, h)
	h.Do(func(n *fleet.Node, now time.Duration) { n.SetIdle(now, true) })
	cluster.Run(500 * time.Millisecond)
	next := cluster.Leaseholder("list")
	require.NotNil(t, next, "transferred without waiting for the lease to expire")
	assert.NotEqual(t, h.Name, next.Name)
	cluster.Run(200 * time.Millisecond) // the participant sees that it has its configuration lease, and ends the idling
	for _, h := range cluster.Hosts {
		h.Do(func(n *fleet.Node, now time.Duration) {
			d := n.State().Leases["list"]
			assert.Equal(t, next.Name, d.Leaseholder)
		})
	}
	assert.Empty(t, cluster.Violations)
}
