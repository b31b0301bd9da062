package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// testLeaseDuration is the lease duration of the nodes in tests.
const testLeaseDuration = 3 * time.Second

// newTestFollower returns a follower.
func newTestFollower(t *testing.T, name string) *Node {
	t.Helper()
	n, err := New(Options{Name: name, Incarnation: 7, Timing: Timing{LeaseDuration: testLeaseDuration}, ConfigLease: 12 * time.Second}, nil)
	require.NoError(t, err)
	return n
}

// newTestLeader returns the only voter, k1, as a leader that is ready. Its peer p is the next hop to front n2.
func newTestLeader(t *testing.T) (*Node, *leader) {
	t.Helper()
	n, err := New(Options{Name: "k1", Incarnation: 1, Timing: Timing{LeaseDuration: testLeaseDuration}, InitialVoters: []Voter{{"k1", "x"}}}, &DiskState{OpenCount: 1})
	require.NoError(t, err)
	l := newLeader(n, n.voter, 0)
	l.ready = true
	n.routes["n2"], n.peers["p"] = route{via: "p"}, &peer{}
	return n, l
}

// newTestVoter returns one of the voters k1, k2 and k3, with a disk that has been used by consensus.
func newTestVoter(t *testing.T, name string) *Node {
	t.Helper()
	initial := []Voter{{"k1", "k1"}, {"k2", "k2"}, {"k3", "k3"}}
	disk := &DiskState{OpenCount: 2, Snapshot: initialSnapshot(initial), Hard: &pb.HardState{Term: proto.Uint64(3), Commit: proto.Uint64(initialIndex)}}
	n, err := New(Options{Name: name, Incarnation: 1, Timing: Timing{LeaseDuration: testLeaseDuration}, InitialVoters: initial}, disk)
	require.NoError(t, err)
	return n
}
