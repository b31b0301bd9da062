package fleetsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

func TestVoterWithOldDiskCopyStopsVoting(t *testing.T) {
	sim := started(t, 4, 5)
	k := sim.Hosts[1]
	old := k.CopyDisk()
	sim.Leader().Crash() // so that the voters vote in another term
	sim.Run(5 * time.Second)
	sim.StartAll()
	sim.Run(5 * time.Second)
	k.Crash()
	k.Disk = old
	k.Start()
	sim.Run(5 * time.Second)
	require.Empty(t, sim.Violations)
	assert.Contains(t, k.Node.VoterHaltReason(), "an old copy")
	assert.False(t, k.Node.Isolated(), "the front continues as a follower")
	assert.Equal(t, sim.Leader().Node.State().Index, k.Node.State().Index)
	assert.NotNil(t, sim.Leaseholder("list"), "the other two are a majority")
}

func TestVoterWithLostDiskStopsVoting(t *testing.T) {
	sim := started(t, 5, 4)
	k := sim.Hosts[2]
	k.Crash()
	sim.Run(time.Second)
	k.Disk = &Disk{}
	k.Start()
	sim.Run(5 * time.Second)
	assert.Contains(t, k.Node.VoterHaltReason(), "an old copy")
	require.Empty(t, sim.Violations)
}

func TestVoterIsReplacedWhileAnotherIsDown(t *testing.T) {
	sim := startedWithVoters(t, Options{Seed: 6, Fronts: 7, Voters: 5})
	sim.Hosts[3].Crash() // restarted below
	lost := sim.Hosts[4]
	if sim.Leader() == lost {
		lost = sim.Hosts[2]
	}
	lost.Crash()
	sim.Run(3 * time.Second)
	n := sim.AddHost(HostConfig{Name: "new", Zone: "a", Disk: &Disk{}, JoinsExistingFleet: true})
	n.Start()
	sim.Run(3 * time.Second)
	ask := func(call func(n *fleet.Node, now time.Duration)) {
		sim.Hosts[6].Do(call)
		sim.Run(4 * time.Second)
	}
	ask(func(n *fleet.Node, now time.Duration) { n.AddVoter(now, "new", "new") })
	ask(func(n *fleet.Node, now time.Duration) { n.RemoveVoter(now, lost.Name) })
	sim.Hosts[3].Start()
	sim.Run(6 * time.Second)
	require.Empty(t, sim.Violations)
	g := sim.Leader().Node.State()
	assert.Len(t, g.Voters, 5)
	assert.Contains(t, g.Voters, "new")
	assert.Equal(t, g.Index, n.Node.State().Index)
	// With the new voter the others are a majority without two more.
	gone := 0
	for _, h := range sim.Hosts[:5] {
		if h != lost && h.Node != nil && !h.Node.IsLeader() && gone < 2 {
			h.Crash()
			gone++
		}
	}
	sim.Run(10 * time.Second)
	require.Empty(t, sim.Violations)
	assert.NotNil(t, sim.Leaseholder("list"))
}

func TestFrontsAreIsolatedWithoutMajorityForTenMinutesAndRecover(t *testing.T) {
	sim := started(t, 7, 6)
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
	sim := started(t, 14, 6)
	g := sim.Leader()
	for _, o := range sim.Hosts {
		if o != g {
			sim.Cut(o.Name, g.Name)
		}
	}
	sim.Run(12 * time.Second) // its heartbeats alone would keep the others from an election for ever
	other := false
	for _, h := range sim.Hosts {
		other = other || h != g && h.Node.IsLeader()
	}
	assert.True(t, other, "another leads")
	assert.NotNil(t, sim.Leaseholder("list"))
	sim.Heal()
	sim.Run(10 * time.Second)
	requireRecovered(t, sim)
}
