package fleetsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

func TestVoterWithOldDiskCopyStopsVoting(t *testing.T) {
	sim := startFleet(t, 4, 5)
	voter := sim.Hosts[1]
	old := voter.CopyDisk()
	sim.Leader().Crash() // so that the voters vote in a new term, which the copy lacks
	sim.Run(5 * time.Second)
	sim.StartAll()
	sim.Run(5 * time.Second)
	voter.Crash()
	voter.Disk = old
	voter.Start()
	sim.Run(5 * time.Second)
	require.Empty(t, sim.Violations)
	assert.Contains(t, voter.Node.VoterHaltReason(), "an old copy")
	assert.False(t, voter.Node.Isolated(), "the front continues as a follower")
	assert.Equal(t, sim.Leader().Node.State().Index, voter.Node.State().Index)
	assert.NotNil(t, sim.Leaseholder("list"), "the other two voters are a majority")
}

func TestVoterWithLostDiskStopsVoting(t *testing.T) {
	sim := startFleet(t, 5, 4)
	voter := sim.Hosts[2]
	voter.Crash()
	sim.Run(time.Second)
	voter.Disk = &Disk{}
	voter.Start()
	sim.Run(5 * time.Second)
	assert.Contains(t, voter.Node.VoterHaltReason(), "an old copy")
	require.Empty(t, sim.Violations)
}

func TestVoterIsReplacedWhileAnotherIsDown(t *testing.T) {
	sim := startFleetWithOptions(t, Options{Seed: 6, Fronts: 7, Voters: 5})
	sim.Hosts[3].Crash() // restarted below
	lost := sim.Hosts[4]
	if sim.Leader() == lost {
		lost = sim.Hosts[2]
	}
	lost.Crash()
	sim.Run(3 * time.Second)
	replacement := sim.AddHost(HostConfig{Name: "new", Zone: "a", Disk: &Disk{}, JoinsExistingFleet: true})
	replacement.Start()
	sim.Run(3 * time.Second)
	requestAndRun := func(call func(n *fleet.Node, now time.Duration)) {
		sim.Hosts[6].WithNode(call)
		sim.Run(4 * time.Second)
	}
	requestAndRun(func(n *fleet.Node, now time.Duration) { n.AddVoter(now, "new", "new") })
	requestAndRun(func(n *fleet.Node, now time.Duration) { n.RemoveVoter(now, lost.Name) })
	sim.Hosts[3].Start()
	sim.Run(6 * time.Second)
	require.Empty(t, sim.Violations)
	state := sim.Leader().Node.State()
	assert.Len(t, state.Voters, 5)
	assert.Contains(t, state.Voters, "new")
	assert.Equal(t, state.Index, replacement.Node.State().Index)
	// Two more voters crash. The remaining ones are a majority only together with the new voter.
	crashed := 0
	for _, h := range sim.Hosts[:5] {
		if h != lost && h.Node != nil && !h.Node.IsLeader() && crashed < 2 {
			h.Crash()
			crashed++
		}
	}
	sim.Run(10 * time.Second)
	require.Empty(t, sim.Violations)
	assert.NotNil(t, sim.Leaseholder("list"))
}

func TestFrontsAreIsolatedWithoutMajorityForTenMinutesAndRecover(t *testing.T) {
	sim := startFleet(t, 7, 6)
	sim.Hosts[0].Crash()
	sim.Hosts[1].Crash()
	sim.Run(10 * time.Minute)
	require.Empty(t, sim.Violations)
	for _, h := range sim.Hosts[2:] {
		assert.True(t, h.Node.Isolated(), h.Name)
	}
	assert.Nil(t, sim.Leaseholder("list"))
	sim.StartAll()
	sim.Run(10 * time.Second)
	requireRecovered(t, sim)
}

func TestLeaderThatReceivesNothingIsReplacedThoughItsHeartbeatsArrive(t *testing.T) {
	sim := startFleet(t, 14, 6)
	leader := sim.Leader()
	for _, o := range sim.Hosts {
		if o != leader {
			sim.Cut(o.Name, leader.Name)
		}
	}
	sim.Run(12 * time.Second) // the others still receive its heartbeats, which alone would prevent an election forever
	replaced := false
	for _, h := range sim.Hosts {
		replaced = replaced || h != leader && h.Node.IsLeader()
	}
	assert.True(t, replaced, "another voter leads")
	assert.NotNil(t, sim.Leaseholder("list"))
	sim.Heal()
	sim.Run(10 * time.Second)
	requireRecovered(t, sim)
}
