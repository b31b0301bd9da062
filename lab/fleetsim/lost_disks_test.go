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
func disksLost(t *testing.T, seed uint64, firstReturns bool) *World {
	w := started(t, seed, 6)
	old := w.Hosts[1].Copy()
	w.Hosts[5].Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
	w.Run(4 * time.Second)
	for _, h := range w.Hosts[:3] {
		h.Crash()
	}
	w.Hosts[1].Disk, w.Hosts[2].Disk = old, &Disk{}
	w.Hosts[1].Start()
	w.Hosts[2].Start()
	w.Run(4 * time.Second)
	if firstReturns {
		w.Hosts[0].Start()
	}
	w.Run(20 * time.Second)
	require.Empty(t, w.Wrong)
	return w
}

func recoverAt(h *Host, reason string) (err error) {
	h.Do(func(n *fleet.Node, now time.Duration) { err = n.RecoverVoters(now, reason) })
	return err
}

func TestTwoVotersWithoutTheirDisksElectNoLeader(t *testing.T) {
	for _, firstReturns := range []bool{false, true} {
		t.Run(fmt.Sprint("first returns ", firstReturns), func(t *testing.T) {
			w := disksLost(t, 21, firstReturns)
			assert.Nil(t, w.Leader())
			for _, h := range w.Hosts {
				if h.Node != nil {
					assert.True(t, h.Node.Isolated(), "%s serves on alone", h.Name)
				}
			}
			assert.NotEmpty(t, w.Hosts[2].Node.VoterHaltReason(), "its disk was lost, and the old copy knows that")
			if firstReturns {
				assert.NotEmpty(t, w.Hosts[1].Node.VoterHaltReason())
			}
		})
	}
}

// Two voters that lost their disks must not begin a second fleet of the same id while the one that knows is away.
func TestTwoEmptyDisksBeginNoFleetWhileTheThirdVoterIsAway(t *testing.T) {
	w := started(t, 22, 3)
	for _, h := range w.Hosts {
		h.Crash()
	}
	w.Hosts[1].Disk, w.Hosts[2].Disk = &Disk{}, &Disk{}
	w.Hosts[1].Start()
	w.Hosts[2].Start()
	w.Run(20 * time.Second)
	require.Nil(t, w.Leader(), "nobody can tell this from a fleet that has begun")
	w.Hosts[0].Start()
	w.Run(10 * time.Second)
	require.Nil(t, w.Leader())
	require.Empty(t, w.Wrong)
	assert.NotEmpty(t, w.Hosts[1].Node.VoterHaltReason())
	assert.NotEmpty(t, w.Hosts[2].Node.VoterHaltReason())
	assert.Empty(t, w.Hosts[0].Node.VoterHaltReason())
}

// TestWhichDisksMayElectALeader walks all that may become of three voters' disks: kept, an older copy, empty, or away with its
// machine.
func TestWhichDisksMayElectALeader(t *testing.T) {
	const kept, older, empty, away = "kept", "older", "empty", "away"
	fates := []string{kept, older, empty, away}
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
					continue // nobody is there who knows better: see docs/fleet.md, "What is promised"
				}
				seed++
				w := New(seed, 4, 3, pace, two)
				w.StartAll()
				w.Run(8 * time.Second)
				var copies []*Disk
				for _, h := range w.Hosts[:3] {
					copies = append(copies, h.Copy())
				}
				w.Hosts[3].Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
				w.Run(4 * time.Second)
				for i, h := range w.Hosts[:3] {
					h.Crash()
					switch all[i] {
					case older:
						h.Disk = copies[i]
					case empty:
						h.Disk = &Disk{}
					}
				}
				for i, h := range w.Hosts[:3] {
					if all[i] != away {
						h.Start()
					}
				}
				w.Run(15 * time.Second)
				require.Empty(t, w.Wrong, "%v, seed %d", all, seed)
				assert.Equal(t, count[kept] >= 2, w.Leader() != nil, "%v, seed %d: two voters with their own disks elect a leader", all, seed)
			}
		}
	}
}

func TestRecoveredVotersServeTheWholeFleetAgain(t *testing.T) {
	w := disksLost(t, 23, true)
	first := w.Hosts[0]
	disk, ok := first.Node.VoterDiskPosition()
	require.True(t, ok)
	older, _ := w.Hosts[1].Node.VoterDiskPosition()
	require.Greater(t, disk.LastIndex, older.LastIndex, "the operator sees which is newer")
	before := disk.LastIndex
	terms := map[string]uint64{}
	for name, lease := range w.Hosts[5].Node.State().Leases {
		terms[name] = lease.Term
	}
	asked := w.Now
	require.NoError(t, recoverAt(first, "two disks are gone"))
	assert.ErrorContains(t, recoverAt(first, "again"), "under way")
	w.Run(pace.LeaseDuration)
	require.Nil(t, w.Leader(), "leases that were granted may still be in use, by the holder's clock")
	for w.Leader() == nil && w.Now < asked+time.Minute {
		w.Run(50 * time.Millisecond)
	}
	require.NotNil(t, w.Leader())
	assert.GreaterOrEqual(t, w.Now-asked, pace.LeaseDuration*9/8)
	w.Run(20 * time.Second)
	w.rested(two)
	require.Empty(t, w.Wrong)
	assert.Equal(t, fleet.RecoveryDone, first.Node.Recovery().State)
	assert.Greater(t, first.Node.State().Index, before+1000, "no index is used twice")
	assert.Len(t, first.Node.State().Voters, 1)
	for name, term := range terms {
		assert.Greater(t, first.Node.State().Leases[name].Term, term+1000, "no term is used twice")
	}
	first.Crash()
	first.Start()
	w.Run(10 * time.Second)
	w.rested(two)
	require.Empty(t, w.Wrong, "what was recovered is on disk")

	// A voter of a new name replaces each lost one; the lost disks stay refused.
	for i, name := range []string{"new1", "new2"} {
		h := w.Add(name, "b", &Disk{}, true)
		h.Start()
		w.Run(3 * time.Second)
		w.Hosts[5].Do(func(n *fleet.Node, now time.Duration) { n.AddVoter(now, name, name) })
		w.Run(6 * time.Second)
		assert.Len(t, w.Leader().Node.State().Voters, i+2)
	}
	w.Hosts[1].Crash()
	w.Hosts[1].Start()
	w.Run(5 * time.Second)
	assert.Contains(t, w.Hosts[1].Node.VoterHaltReason(), "recovered at f000 without it")
	first.Crash()
	w.Run(12 * time.Second)
	assert.NotNil(t, w.Leader(), "the new voters are a majority")
	require.Empty(t, w.Wrong)
}

// Five voters, of which two keep their disks: the one that is not recovered from is a voter no more.
func TestAVoterThatWasNotRecoveredFromIsRefused(t *testing.T) {
	w := New(24, 7, 5, pace, two)
	w.Trace = func(s string) { t.Log(s) }
	w.StartAll()
	w.Run(8 * time.Second)
	for _, h := range w.Hosts[2:5] {
		h.Crash()
	}
	w.Run(8 * time.Second)
	require.NoError(t, recoverAt(w.Hosts[0], "three machines burnt"))
	w.Run(25 * time.Second)
	require.Empty(t, w.Wrong)
	require.Equal(t, w.Hosts[0], w.Leader())
	assert.Contains(t, w.Hosts[1].Node.VoterHaltReason(), "recovered at f000 without it")
	w.rested(two)
	require.Empty(t, w.Wrong)
}

func TestARecoveryIsRefusedWhereItIsNotNeeded(t *testing.T) {
	w := disksLost(t, 25, true)
	assert.ErrorContains(t, recoverAt(w.Hosts[0], " "), "needs a reason")
	assert.ErrorContains(t, recoverAt(w.Hosts[1], "x"), "has stopped")
	assert.ErrorContains(t, recoverAt(w.Hosts[2], "x"), "has stopped")
	assert.ErrorContains(t, recoverAt(w.Hosts[4], "x"), "no voter")

	w = started(t, 26, 5)
	assert.ErrorContains(t, recoverAt(w.Leader(), "x"), "has a leader")
	for _, h := range w.Hosts[:3] {
		h.Crash()
	}
	w.Hosts[0].Start()
	w.Run(8 * time.Second)
	require.NoError(t, recoverAt(w.Hosts[0], "the others seem gone"))
	w.Run(time.Second)
	w.Hosts[1].Start() // one of them is not: it ends the recovery
	w.Run(20 * time.Second)
	require.Empty(t, w.Wrong)
	assert.Equal(t, fleet.RecoveryRefused, w.Hosts[0].Node.Recovery().State)
	require.NotNil(t, w.Leader())
	assert.Len(t, w.Leader().Node.State().Voters, 3)
}

// Only an older copy is left: the followers know log entries that it lacks, and a lease is held that it knows nothing of.
func TestRecoveryFromAnOlderCopyReusesNoIndexAndNoTerm(t *testing.T) {
	w := started(t, 27, 6)
	old := w.Hosts[1].Copy()
	from := w.Holder("list")
	w.Hosts[5].Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
	w.Run(4 * time.Second)
	require.NotEqual(t, from, w.Holder("list"))
	known := w.Hosts[5].Node.State().Index
	for _, h := range w.Hosts[:3] {
		h.Crash()
	}
	w.Hosts[1].Disk = old
	w.Hosts[1].Start()
	w.Run(5 * time.Second)
	copied, ok := w.Hosts[1].Node.VoterDiskPosition()
	require.True(t, ok)
	require.Less(t, copied.LastIndex, known)
	require.NoError(t, recoverAt(w.Hosts[1], "only a copy is left"))
	w.Run(20 * time.Second)
	w.rested(two)
	require.Empty(t, w.Wrong)
	assert.Equal(t, w.Hosts[1], w.Leader())
}
