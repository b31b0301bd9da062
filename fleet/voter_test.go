package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// voterOfThree is one of the voters k1, k2 and k3, with a disk that has taken part in consensus.
func voterOfThree(t *testing.T, name string) *Node {
	initial := []Voter{{"k1", "k1"}, {"k2", "k2"}, {"k3", "k3"}}
	disk := &DiskState{OpenCount: 2, Snapshot: initialSnapshot(initial), Hard: &pb.HardState{Term: proto.Uint64(3), Commit: proto.Uint64(initialIndex)}}
	n, err := New(Options{Name: name, Incarnation: 1, Timing: Timing{LeaseDuration: 3 * time.Second}, InitialVoters: initial}, disk)
	require.NoError(t, err)
	return n
}

// A voter's first message may be on its way when the voters are recovered without the receiver: the pings behind it tell it.
func TestAPingTellsAVoterThatItWasExcluded(t *testing.T) {
	first, second := voterOfThree(t, "k1"), voterOfThree(t, "k2")
	second.LinkUp(0, first.Hello("k2", true))
	first.LinkUp(0, second.Hello("k1", false))
	ping := func() {
		first.Tick(first.tickedAt + 600*time.Millisecond)
		for _, out := range first.Outgoing() {
			if out.To == "k2" && out.Message.Kind == KindPing {
				require.NoError(t, second.Receive(first.tickedAt, "k1", out.Message))
			}
		}
	}
	ping()
	require.Empty(t, second.VoterHaltReason())
	first.voter.peerFloors["k2"] = excludedFloor
	ping()
	assert.Contains(t, second.VoterHaltReason(), "recovered at k1 without it")
}

// The word of a voter whose disk is empty does not count, nor that of one whose disk was refused.
func TestWhoVouchesForADisk(t *testing.T) {
	n, other := voterOfThree(t, "k1"), voterOfThree(t, "k2")
	blank := other.Hello("k1", true)
	blank.Hello.Floor = Floor{OpenCount: 1}
	n.LinkUp(0, blank)
	assert.False(t, n.voter.mayVote(), "an empty disk knows nothing")
	n.LinkUp(0, other.Hello("k1", true))
	assert.True(t, n.voter.mayVote())
	other.voter.halt("its disk was refused")
	n.LinkUp(0, other.Hello("k1", true))
	assert.False(t, n.voter.mayVote(), "it is a voter no more")
}
