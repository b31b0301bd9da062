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

// A voter that lacks so much that it needs a snapshot is sent one; the link breaks before it arrives. The leader must send it anew.
func TestAVoterWhoseSnapshotWasLostCatchesUp(t *testing.T) {
	w := started(t, 9, 5)
	leader := w.Leader()
	var behind *Host
	for _, h := range w.Hosts[:3] {
		if h != leader {
			behind = h
		}
	}
	behind.Crash()
	for i := range 800 { // more than the log keeps
		w.Holder("list").Do(func(n *fleet.Node, _ time.Duration) { n.DeclareLease(fmt.Sprintf("scout/%d", 100+i), 0) })
		if i%200 == 0 {
			w.Run(500 * time.Millisecond)
		}
	}
	w.Run(10 * time.Second)
	require.Same(t, leader, w.Leader())
	require.Greater(t, leader.Node.State().Index, uint64(800))
	lost := 0
	w.Weigh = func(m *fleet.Message) int {
		var x raftpb.Message
		if m.Kind == fleet.KindConsensus && proto.Unmarshal(m.Data, &x) == nil && x.GetType() == raftpb.MsgSnap && lost == 0 {
			lost++
			w.Cut(leader.Name, behind.Name)
			w.Cut(behind.Name, leader.Name)
		}
		return 0
	}
	behind.Start()
	w.Run(5 * time.Second)
	require.Equal(t, 1, lost, "a snapshot was on its way")
	w.Heal()
	w.Run(20 * time.Second)
	require.Empty(t, w.Wrong)
	require.Same(t, leader, w.Leader(), "no new leader begins it anew")
	assert.Equal(t, leader.Node.State().Index, behind.Node.State().Index)
}

// A voter falls behind by more than the log keeps while its link to the leader is cut, so that the leader's snapshot for it finds no
// link at all. It is sent anew once there is one.
func TestAVoterWhoseSnapshotFoundNoLinkCatchesUp(t *testing.T) {
	w := started(t, 9, 5)
	leader := w.Leader()
	var behind *Host
	for _, h := range w.Hosts[:3] {
		if h != leader {
			behind = h
		}
	}
	w.Cut(leader.Name, behind.Name)
	w.Cut(behind.Name, leader.Name)
	sent := 0
	w.Weigh = func(m *fleet.Message) int { // of messages that have a link
		var x raftpb.Message
		if m.Kind == fleet.KindConsensus && proto.Unmarshal(m.Data, &x) == nil && x.GetType() == raftpb.MsgSnap {
			sent++
		}
		return 0
	}
	for range 10 { // more than the log keeps, before the link is given up and after
		w.Holder("list").Do(func(n *fleet.Node, now time.Duration) {
			for i := range 200 {
				n.PutValue(now, "list", fmt.Sprint("key", i), 0, []byte("x"))
			}
		})
		w.Run(500 * time.Millisecond)
	}
	w.Run(5 * time.Second)
	require.Zero(t, sent)
	w.Heal()
	w.Run(20 * time.Second)
	require.Empty(t, w.Wrong)
	require.Same(t, leader, w.Leader(), "no new leader begins it anew")
	assert.Positive(t, sent)
	assert.Equal(t, leader.Node.State().Index, behind.Node.State().Index)
}
