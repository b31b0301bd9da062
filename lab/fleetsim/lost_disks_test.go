package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// startFleetWithLostDisks starts a fleet and crashes all three voters. It restarts the second voter with an older copy of its disk and
// the third with an empty disk. It restarts the first voter, whose disk is intact, only if firstReturns is set. A lease is transferred
// between the copy and the crash, so the copy lacks log entries.
func startFleetWithLostDisks(t *testing.T, seed uint64, firstReturns bool) *Simulation {
	sim := startFleet(t, seed, 6)
	old := sim.Hosts[1].CopyDisk()
	sim.Hosts[5].WithNode(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
	sim.Run(4 * time.Second)
	for _, h := range sim.Hosts[:3] {
		h.Crash()
	}
	sim.Hosts[1].Disk, sim.Hosts[2].Disk = old, &Disk{}
	sim.Hosts[1].Start()
	sim.Hosts[2].Start()
	sim.Run(4 * time.Second)
	if firstReturns {
		sim.Hosts[0].Start()
	}
	sim.Run(20 * time.Second)
	require.Empty(t, sim.Violations)
	return sim
}

// recoverAt starts the recovery of the voters at a host, as an operator does.
func recoverAt(h *Host, reason string) (err error) {
	h.WithNode(func(n *fleet.Node, now time.Duration) { err = n.RecoverVoters(now, reason) })
	return err
}

func TestTwoVotersWithoutTheirDisksElectNoLeader(t *testing.T) {
	for _, firstReturns := range []bool{false, true} {
		t.Run(fmt.Sprint("first returns ", firstReturns), func(t *testing.T) {
			sim := startFleetWithLostDisks(t, 21, firstReturns)
			assert.Nil(t, sim.Leader())
			for _, h := range sim.Hosts {
				if h.Node != nil {
					assert.True(t, h.Node.Isolated(), "%s continues to run, but isolated", h.Name)
				}
			}
			assert.NotEmpty(t, sim.Hosts[2].Node.VoterHaltReason(), "the voter with the old copy detects that this voter's disk was lost")
			if firstReturns {
				assert.NotEmpty(t, sim.Hosts[1].Node.VoterHaltReason())
			}
		})
	}
}

// Two voters that lost their disks must not start a second fleet of the same name while the third voter is down. Only the third
// voter's disk shows that the fleet existed before.
func TestTwoEmptyDisksBeginNoFleetWhileTheThirdVoterIsAway(t *testing.T) {
	sim := startFleet(t, 22, 3)
	for _, h := range sim.Hosts {
		h.Crash()
	}
	sim.Hosts[1].Disk, sim.Hosts[2].Disk = &Disk{}, &Disk{}
	sim.Hosts[1].Start()
	sim.Hosts[2].Start()
	sim.Run(20 * time.Second)
	require.Nil(t, sim.Leader(), "two voters with empty disks cannot rule out that the fleet exists")
	sim.Hosts[0].Start()
	sim.Run(10 * time.Second)
	require.Nil(t, sim.Leader())
	require.Empty(t, sim.Violations)
	assert.NotEmpty(t, sim.Hosts[1].Node.VoterHaltReason())
	assert.NotEmpty(t, sim.Hosts[2].Node.VoterHaltReason())
	assert.Empty(t, sim.Hosts[0].Node.VoterHaltReason())
}

// TestWhichDisksMayElectALeader runs the combinations of states of three voters' disks: kept, replaced by an older copy, empty, or
// unavailable because the host is down. A leader must be elected if at least two disks were kept, and not otherwise. Combinations in
// which no disk shows the loss are left out.
func TestWhichDisksMayElectALeader(t *testing.T) {
	const kept, older, empty, down = "kept", "older", "empty", "down"
	diskStates := []string{kept, older, empty, down}
	seed := uint64(100)
	for _, a := range diskStates {
		for _, b := range diskStates {
			for _, c := range diskStates {
				combination := []string{a, b, c}
				count := map[string]int{}
				for _, state := range combination {
					count[state]++
				}
				if count[kept] == 0 && count[older] >= 2 || count[empty] == 3 {
					continue // no remaining disk shows the loss: see docs/fleet.md, "What is promised"
				}
				seed++
				sim := New(Options{Seed: seed, Fronts: 4, Voters: 3, Timing: testTiming, Leases: twoLeases})
				sim.StartAll()
				sim.Run(8 * time.Second)
				var copies []*Disk
				for _, h := range sim.Hosts[:3] {
					copies = append(copies, h.CopyDisk())
				}
				sim.Hosts[3].WithNode(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
				sim.Run(4 * time.Second)
				for i, h := range sim.Hosts[:3] {
					h.Crash()
					switch combination[i] {
					case older:
						h.Disk = copies[i]
					case empty:
						h.Disk = &Disk{}
					}
				}
				for i, h := range sim.Hosts[:3] {
					if combination[i] != down {
						h.Start()
					}
				}
				sim.Run(15 * time.Second)
				require.Empty(t, sim.Violations, "%v, seed %d", combination, seed)
				assert.Equal(t, count[kept] >= 2, sim.Leader() != nil, "%v, seed %d: two voters with kept disks elect a leader", combination, seed)
			}
		}
	}
}

func TestRecoveredVotersServeTheWholeFleetAgain(t *testing.T) {
	sim := startFleetWithLostDisks(t, 23, true)
	first := sim.Hosts[0]
	disk, ok := first.Node.VoterDiskPosition()
	require.True(t, ok)
	older, _ := sim.Hosts[1].Node.VoterDiskPosition()
	require.Greater(t, disk.LastIndex, older.LastIndex, "the operator sees which disk is newer")
	before := disk.LastIndex
	terms := map[string]uint64{}
	for name, lease := range sim.Hosts[5].Node.State().Leases {
		terms[name] = lease.Term
	}
	requestedAt := sim.Now
	require.NoError(t, recoverAt(first, "two disks are gone"))
	assert.ErrorContains(t, recoverAt(first, "again"), "under way")
	sim.Run(testTiming.LeaseDuration)
	require.Nil(t, sim.Leader(), "leases that were granted before may not have expired yet on their holders' clocks")
	for sim.Leader() == nil && sim.Now < requestedAt+time.Minute {
		sim.Run(50 * time.Millisecond)
	}
	require.NotNil(t, sim.Leader())
	assert.GreaterOrEqual(t, sim.Now-requestedAt, testTiming.LeaseDuration*9/8)
	sim.Run(20 * time.Second)
	requireRecovered(t, sim)
	assert.Equal(t, fleet.RecoveryDone, first.Node.Recovery().State)
	assert.Greater(t, first.Node.State().Index, before+1000, "no index is used twice")
	assert.Len(t, first.Node.State().Voters, 1)
	for name, term := range terms {
		assert.Greater(t, first.Node.State().Leases[name].Term, term+1000, "no term is used twice")
	}
	first.Crash()
	first.Start()
	sim.Run(10 * time.Second)
	sim.checkRecovered()
	require.Empty(t, sim.Violations, "the recovered state is stored on disk")

	// A voter with a new name replaces each lost voter. The disks of the lost voters stay rejected.
	for i, name := range []string{"new1", "new2"} {
		h := sim.AddHost(HostConfig{Name: name, Zone: "b", Disk: &Disk{}, JoinsExistingFleet: true})
		h.Start()
		sim.Run(3 * time.Second)
		sim.Hosts[5].WithNode(func(n *fleet.Node, now time.Duration) { n.AddVoter(now, name, name) })
		sim.Run(6 * time.Second)
		assert.Len(t, sim.Leader().Node.State().Voters, i+2)
	}
	sim.Hosts[1].Crash()
	sim.Hosts[1].Start()
	sim.Run(5 * time.Second)
	assert.Contains(t, sim.Hosts[1].Node.VoterHaltReason(), "recovered at f000 without it")
	first.Crash()
	sim.Run(12 * time.Second)
	assert.NotNil(t, sim.Leader(), "the new voters are a majority")
	require.Empty(t, sim.Violations)
}

// Two of five voters keep their disks, and the recovery is run at one of them. The other one must no longer be accepted as a voter.
func TestVoterLeftOutOfRecoveryIsRejected(t *testing.T) {
	sim := startFleetWithOptions(t, Options{Seed: 24, Fronts: 7, Voters: 5})
	for _, h := range sim.Hosts[2:5] {
		h.Crash()
	}
	sim.Run(8 * time.Second)
	require.NoError(t, recoverAt(sim.Hosts[0], "three machines burnt"))
	sim.Run(25 * time.Second)
	require.Empty(t, sim.Violations)
	require.Equal(t, sim.Hosts[0], sim.Leader())
	assert.Contains(t, sim.Hosts[1].Node.VoterHaltReason(), "recovered at f000 without it")
	requireRecovered(t, sim)
}

func TestRecoveryIsRejectedWhereItIsNotNeeded(t *testing.T) {
	sim := startFleetWithLostDisks(t, 25, true)
	assert.ErrorContains(t, recoverAt(sim.Hosts[0], " "), "needs a reason")
	assert.ErrorContains(t, recoverAt(sim.Hosts[1], "x"), "has stopped")
	assert.ErrorContains(t, recoverAt(sim.Hosts[2], "x"), "has stopped")
	assert.ErrorContains(t, recoverAt(sim.Hosts[4], "x"), "no voter")

	sim = startFleet(t, 26, 5)
	assert.ErrorContains(t, recoverAt(sim.Leader(), "x"), "has a leader")
	for _, h := range sim.Hosts[:3] {
		h.Crash()
	}
	sim.Hosts[0].Start()
	sim.Run(8 * time.Second)
	require.NoError(t, recoverAt(sim.Hosts[0], "the others seem gone"))
	sim.Run(time.Second)
	sim.Hosts[1].Start() // one of the other voters returns, which ends the recovery
	sim.Run(20 * time.Second)
	require.Empty(t, sim.Violations)
	assert.Equal(t, fleet.RecoveryRefused, sim.Hosts[0].Node.Recovery().State)
	require.NotNil(t, sim.Leader())
	assert.Len(t, sim.Leader().Node.State().Voters, 3)
}

// Only an older copy of one voter's disk is left. The followers have log entries that the copy lacks, among them the grant of a lease.
// The recovered voter must not use the indexes and terms of those entries again.
func TestRecoveryFromAnOlderCopyReusesNoIndexAndNoTerm(t *testing.T) {
	sim := startFleet(t, 27, 6)
	old := sim.Hosts[1].CopyDisk()
	from := sim.Leaseholder("list")
	sim.Hosts[5].WithNode(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
	sim.Run(4 * time.Second)
	require.NotEqual(t, from, sim.Leaseholder("list"))
	known := sim.Hosts[5].Node.State().Index
	for _, h := range sim.Hosts[:3] {
		h.Crash()
	}
	sim.Hosts[1].Disk = old
	sim.Hosts[1].Start()
	sim.Run(5 * time.Second)
	copied, ok := sim.Hosts[1].Node.VoterDiskPosition()
	require.True(t, ok)
	require.Less(t, copied.LastIndex, known)
	require.NoError(t, recoverAt(sim.Hosts[1], "only a copy is left"))
	sim.Run(20 * time.Second)
	requireRecovered(t, sim)
	assert.Equal(t, sim.Hosts[1], sim.Leader())
}
