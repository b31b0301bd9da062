package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dapplerouter/fleet"
)

// A voter is so far behind that the leader sends it a snapshot, and the link breaks before the snapshot arrives. The leader must send
// the snapshot again.
func TestAVoterWhoseSnapshotWasLostCatchesUp(t *testing.T) {
	sim := startFleet(t, 9, 5)
	leader := sim.Leader()
	var behind *Host
	for _, h := range sim.Hosts[:3] {
		if h != leader {
			behind = h
		}
	}
	behind.Crash()
	for i := range 800 { // more entries than the log keeps
		sim.Leaseholder("list").WithNode(func(n *fleet.Node, _ time.Duration) { n.DeclareLease(fmt.Sprintf("scout/%d", 100+i), 0) })
		if i%200 == 0 {
			sim.Run(500 * time.Millisecond)
		}
	}
	sim.Run(10 * time.Second)
	require.Same(t, leader, sim.Leader())
	require.Greater(t, leader.Node.State().Index, uint64(800))
	lost := 0
	sim.MessageSize = func(m *fleet.Message) int {
		var x raftpb.Message
		if m.Kind == fleet.KindConsensus && proto.Unmarshal(m.Data, &x) == nil && x.GetType() == raftpb.MsgSnap && lost == 0 {
			lost++
			sim.cutBothDirections(leader, behind)
		}
		return 0
	}
	behind.Start()
	sim.Run(5 * time.Second)
	require.Equal(t, 1, lost, "a snapshot was in flight")
	sim.Heal()
	sim.Run(20 * time.Second)
	require.Empty(t, sim.Violations)
	require.Same(t, leader, sim.Leader(), "no new leader starts over")
	assert.Equal(t, leader.Node.State().Index, behind.Node.State().Index)
}

// A voter falls behind by more entries than the log keeps while its link to the leader is cut, so that the leader has no link to send
// the snapshot over. The leader must send the snapshot once there is a link again.
func TestAVoterWhoseSnapshotFoundNoLinkCatchesUp(t *testing.T) {
	sim := startFleet(t, 9, 5)
	leader := sim.Leader()
	var behind *Host
	for _, h := range sim.Hosts[:3] {
		if h != leader {
			behind = h
		}
	}
	sim.cutBothDirections(leader, behind)
	sent := 0
	sim.MessageSize = func(m *fleet.Message) int { // called only for messages to a peer that is linked
		var x raftpb.Message
		if m.Kind == fleet.KindConsensus && proto.Unmarshal(m.Data, &x) == nil && x.GetType() == raftpb.MsgSnap {
			sent++
		}
		return 0
	}
	for range 10 { // more entries than the log keeps, some before the leader gives the link up and some after
		sim.Leaseholder("list").WithNode(func(n *fleet.Node, now time.Duration) {
			for i := range 200 {
				n.PutValue(now, "list", fmt.Sprint("key", i), 0, []byte("x"))
			}
		})
		sim.Run(500 * time.Millisecond)
	}
	sim.Run(5 * time.Second)
	require.Zero(t, sent)
	sim.Heal()
	sim.Run(20 * time.Second)
	require.Empty(t, sim.Violations)
	require.Same(t, leader, sim.Leader(), "no new leader starts over")
	assert.Positive(t, sent)
	assert.Equal(t, leader.Node.State().Index, behind.Node.State().Index)
}
