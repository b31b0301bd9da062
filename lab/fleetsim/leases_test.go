package fleetsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

func TestBroadcastAfterPauseIsRejectedByFrontsThatKnowTheNextTerm(t *testing.T) {
	sim := startFleet(t, 3, 6)
	h := sim.Leaseholder("list")
	term, _ := h.Node.HoldsLease(h.Clock(), "list")
	sim.BroadcastAfterPause(h, "list", term, 10*time.Second)
	sim.Run(9 * time.Second)
	require.NotNil(t, sim.Leaseholder("list"))
	require.NotEqual(t, h, sim.Leaseholder("list"))
	sim.Run(3 * time.Second)
	require.Empty(t, sim.Violations)
	rejected := 0
	for _, o := range sim.Hosts {
		rejected += countEvents[fleet.BroadcastRejected](o)
	}
	assert.Positive(t, rejected)
}

func TestLeaseholderWithoutProgressLosesItsLease(t *testing.T) {
	sim := New(Options{Seed: 9, Fronts: 5, Voters: 3, Timing: testTiming, Leases: map[string]time.Duration{"list": 4 * time.Second}})
	sim.StartAll()
	var report func()
	stuck := ""
	report = func() {
		for _, h := range sim.Hosts {
			if h.Name != stuck {
				h.WithNode(func(n *fleet.Node, now time.Duration) { n.ReportProgress("list") })
			}
		}
		sim.After(500*time.Millisecond, report)
	}
	report()
	sim.Run(20 * time.Second)
	h := sim.Leaseholder("list")
	term, _ := h.Node.HoldsLease(h.Clock(), "list")
	require.EqualValues(t, 1, term, "a holder that reports progress keeps its lease")
	stuck = h.Name
	sim.Run(8 * time.Second)
	require.NotNil(t, sim.Leaseholder("list"))
	assert.NotEqual(t, stuck, sim.Leaseholder("list").Name)
	assert.Equal(t, "it got nothing done", sim.Leader().Node.State().Leases["list"].Reason)
	require.Empty(t, sim.Violations)
}

func TestLeaseDoesNotFlapBetweenTwoDegradedFronts(t *testing.T) {
	sim := New(Options{Seed: 10, Fronts: 5, Voters: 3, Timing: testTiming, Leases: map[string]time.Duration{"list": 4 * time.Second}})
	for _, h := range sim.Hosts[:3] {
		h.DeclinesLeases = true
	}
	sim.StartAll()
	sim.Run(20 * time.Minute) // no front ever reports progress
	require.Empty(t, sim.Violations)
	term := sim.Leader().Node.State().Leases["list"].Term
	assert.Greater(t, term, uint64(4))
	assert.Less(t, term, uint64(30), "without a backoff the lease would change its holder every five seconds, 240 times")
}

// Guards against a lease that no front uses for good: its holder released it while it reached no leader, and it is the only front that
// accepts leases.
func TestLeaseReleasedWhileIsolatedIsHeldAgain(t *testing.T) {
	sim := New(Options{Seed: 11, Fronts: 4, Voters: 3, Timing: testTiming, Leases: twoLeases})
	for _, h := range sim.Hosts[:3] {
		h.DeclinesLeases = true
	}
	sim.StartAll()
	sim.Run(8 * time.Second)
	h := sim.Leaseholder("list")
	require.Equal(t, sim.Hosts[3], h)
	for _, voter := range sim.Hosts[:3] {
		sim.cutBothDirections(h, voter)
	}
	h.WithNode(func(n *fleet.Node, now time.Duration) { n.SetLeasesSuspended(now, true) })
	sim.Run(30 * time.Second)
	h.WithNode(func(n *fleet.Node, now time.Duration) { n.SetLeasesSuspended(now, false) })
	sim.Heal()
	sim.Run(30 * time.Second)
	require.NotNil(t, sim.Leaseholder("list"))
	assert.Equal(t, h.Name, sim.Leaseholder("list").Name)
	require.Empty(t, sim.Violations)
}
