package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// A voter that is started late does not campaign before an election timeout has passed, since a leader may be present. It continues with
// the state of its disk.
func TestVoterStartedLateCampaignsAfterElectionTimeout(t *testing.T) {
	voters := []Voter{{Name: "n1", Address: "a"}}
	timing := Timing{LeaseDuration: time.Second}
	n, err := New(Options{Fleet: "f", Name: "n1", Incarnation: 1, InitialVoters: voters, Timing: timing}, nil)
	require.NoError(t, err)
	n.DeclareLease("list", 0)
	const start = time.Hour
	hard := &pb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(voterID("n1")), Commit: proto.Uint64(initialIndex)}
	require.NoError(t, n.StartVoter(start, &DiskState{Hard: hard, Snapshot: initialSnapshot(voters), OpenCount: 2}))
	assert.EqualValues(t, initialIndex, n.State().Index)
	leads := func(until time.Duration) bool {
		for now := start; now < until; now += timing.TickInterval() {
			n.Tick(now)
			for _, ok := n.PendingWrite(); ok; _, ok = n.PendingWrite() {
				n.WriteDone(now)
			}
		}
		return n.IsLeader()
	}
	assert.False(t, leads(start+n.voter.electionTimeout))
	assert.True(t, leads(start+10*timing.electionTimeout()))
	assert.True(t, n.State().declares(Declaration{Lease: "list"}))
}
