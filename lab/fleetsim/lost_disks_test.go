package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// disksLost crashes all three voters, and brings the second back with an older copy and the third with an empty disk. The first is
// away unless it returns. Between the copy and the crash a lease was transferred, so the copy lacks entries.
func disksLost(t *testing.T, seed uint64, firstReturns bool) *Simulation {
	sim := started(t, seed, 6)
	old := sim.Hosts[1].CopyDisk()
	sim.Hosts[5].Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
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

// recoverAt runs the operator's recovery of the voters at a host.
func recoverAt(h *Host, reason string) (err error) {
	h.Do(func(n *fleet.Node, now time.Duration) { err = n.RecoverVoters(now, reason) })
	return err
}

func TestTwoVotersWithoutTheirDisksElectNoLeader(t *testing.T) {
	for _, firstReturns := range []bool{false, true} {
		t.Run(fmt.Sprint("first returns ", firstReturns), func(t *testing.T) {
			sim := disksLost(t, 21, firstReturns)
			assert.Nil(t, sim.Leader())
			for _, h := range sim.Hosts {
				if h.Node != nil {
					assert.True(t, h.Node.Isolated(), "%s continues isolated", h.Name)
				}
			}
			assert.NotEmpty(t, sim.Hosts[2].Node.VoterHaltReason(), "its disk was lost, and the voter with the old copy detects that")
			if firstReturns {
				assert.NotEmpty(t, sim.Hosts[1].Node.VoterHaltReason())
			}
		})
	}
}

// Two voters that lost their disks must not found a second fleet of the same name while the third, which could tell, is down.
func TestTwoEmptyDisksBeginNoFleetWhileTheThirdVoterIsAway(t *testing.T) {
	sim := started(t, 22, 3)
	for _, h := range sim.Hosts {
		h.Crash()
	}
	sim.Hosts[1].Disk, sim.Hosts[2].Disk = &Disk{}, &Disk{}
	sim.Hosts[1].Start()
	sim.Hosts[2].Start()
	sim.Run(20 * time.Second)
	require.Nil(t, sim.Leader(), "the two cannot tell this from a running fleet")
	sim.Hosts[0].Start()
	sim.Run(10 * time.Second)
	require.Nil(t, sim.Leader())
	require.Empty(t, sim.Violations)
	assert.NotEmpty(t, sim.Hosts[1].Node.VoterHaltReason())
	assert.NotEmpty(t, sim.Hosts[2].Node.VoterHaltReason())
	assert.Empty(t, sim.Hosts[0].Node.VoterHaltReason())
}

// TestWhichDisksMayElectALeader runs all combinations of three voters' disks: kept, an older copy, empty, or down with its host.
func TestWhichDisksMayElectALeader(t *testing.T) {
	const kept, older, empty, down = "kept", "older", "empty", "down"
	fates := []string{kept, older, empty, down}
	seed := uint64(100)
	for _, a := range fates {
		for _, b := range fates {
			for _, c := range fates {
				all := []string{a, b, c}
				count := map[string]int{}
				for _, fate := range all {
					count[fate]++
				}
				if count[kept] == 0 && count[older] >= 2 || count[empty] == 3 {
					continue // no remaining disk can tell: see docs/fleet.md, "What is promised"
				}
				seed++
				sim := New(Options{Seed: seed, Fronts: 4, Voters: 3, Timing: testTiming, Leases: twoLeases})
				sim.StartAll()
				sim.Run(8 * time.Second)
				var copies []*Disk
				for _, h := range sim.Hosts[:3] {
					copies = append(copies, h.CopyDisk())
				}
				sim.Hosts[3].Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
				sim.Run(4 * time.Second)
				for i, h := range sim.Hosts[:3] {
					h.Crash()
					switch all[i] {
					case older:
						h.Disk = copies[i]
					case empty:
						h.Disk = &Disk{}
					}
				}
				for i, h := range sim.Hosts[:3] {
					if all[i] != down {
						h.Start()
					}
				}
				sim.Run(15 * time.Second)
				require.Empty(t, sim.Violations, "%v, seed %d", all, seed)
				assert.Equal(t, count[kept] >= 2, sim.Leader() != nil, "%v, seed %d: two voters with their own disks elect a leader", all, seed)
			}
		}
	}
}

func TestRecoveredVotersServeTheWholeFleetAgain(t *testing.T) {
	sim := disksLost(t, 23, true)
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
	require.Nil(t, sim.Leader(), "leases granted before may not have expired yet, by the holder's clock")
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
	require.Empty(t, sim.Violations, "the recovered state is on disk")

	// A voter of a new name replaces each lost one; the lost disks stay rejected.
	for i, name := range []string{"new1", "new2"} {
		h := sim.AddHost(HostConfig{Name: name, Zone: "b", Disk: &Disk{}, JoinsExistingFleet: true})
		h.Start()
		sim.Run(3 * time.Second)
		sim.Hosts[5].Do(func(n *fleet.Node, now time.Duration) { n.AddVoter(now, name, name) })
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

// Of five voters two keep their disks: the one that the recovery was not run at is no voter any more.
func TestVoterLeftOutOfRecoveryIsRejected(t *testing.T) {
	sim := startedWithVoters(t, Options{Seed: 24, Fronts: 7, Voters: 5})
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
	sim := disksLost(t, 25, true)
	assert.ErrorContains(t, recoverAt(sim.Hosts[0], " "), "needs a reason")
	assert.ErrorContains(t, recoverAt(sim.Hosts[1], "x"), "has stopped")
	assert.ErrorContains(t, recoverAt(sim.Hosts[2], "x"), "has stopped")
	assert.ErrorContains(t, recoverAt(sim.Hosts[4], "x"), "no voter")

	sim = started(t, 26, 5)
	assert.ErrorContains(t, recoverAt(sim.Leader(), "x"), "has a leader")
	for _, h := range sim.Hosts[:3] {
		h.Crash()
	}
	sim.Hosts[0].Start()
	sim.Run(8 * time.Second)
	require.NoError(t, recoverAt(sim.Hosts[0], "the others seem gone"))
	sim.Run(time.Second)
	sim.Hosts[1].Start() // one of them comes back, which ends the recovery
	sim.Run(20 * time.Second)
	require.Empty(t, sim.Violations)
	assert.Equal(t, fleet.RecoveryRefused, sim.Hosts[0].Node.Recovery().State)
	require.NotNil(t, sim.Leader())
	assert.Len(t, sim.Leader().Node.State().Voters, 3)
}

// Only an older copy is left: the followers have log entries that it lacks, among them a grant of a lease.
func TestRecoveryFromAnOlderCopyReusesNoIndexAndNoTerm(t *testing.T) {
	sim := started(t, 27, 6)
	old := sim.Hosts[1].CopyDisk()
	from := sim.Leaseholder("list")
	sim.Hosts[5].Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
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
