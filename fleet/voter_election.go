package fleet

import (
	"hash/crc32"
	"strconv"
	"time"

	"go.etcd.io/raft/v3"
)

// election is a voter's state of the present leader, and of the timeout after which the voter campaigns.
type election struct {
	leaderID        uint64        // the leader's raft id, 0 for none
	leaderContactAt time.Duration // when a message of a leader was last received, or campaigning was last postponed
	electionTimeout time.Duration // the time after leaderContactAt when this voter campaigns
	timeoutDraws    int           // how often electionTimeout was drawn
}

// IsLeader reports whether this front is the leader.
func (n *Node) IsLeader() bool { return n.leader != nil }

// isLeader reports whether this voter leads the consensus group.
func (v *voter) isLeader() bool { return v.leaderID == v.id }

// hasLiveLeader reports whether this voter had contact with a leader, or was confirmed as leader, within the minimum election timeout.
func (v *voter) hasLiveLeader(now time.Duration) bool {
	lastContact := v.leaderContactAt
	if v.isLeader() {
		lastContact = v.confirmedAt
	}
	return v.leaderID != 0 && now-lastContact < v.node.options.Timing.electionTimeout()
}

// drawElectionTimeout draws the next election timeout from the seed: between one and two times the minimum, so that voters don't
// campaign at the same time.
func (v *voter) drawElectionTimeout() {
	v.timeoutDraws++
	sum := crc32.ChecksumIEEE([]byte(strconv.FormatUint(v.node.options.Seed, 16) + "." + strconv.Itoa(v.timeoutDraws)))
	least := v.node.options.Timing.electionTimeout()
	v.electionTimeout = least + time.Duration(float64(least)*float64(sum)/(1<<32))
}

// onSoftState handles a change of the leader, as the raft library reports it.
func (v *voter) onSoftState(now time.Duration, s *raft.SoftState) {
	wasLeader := v.isLeader()
	if s.Lead != v.leaderID {
		v.leaderContactAt = now
	}
	v.leaderID = s.Lead
	switch {
	case v.isLeader() && !wasLeader:
		v.confirmedAt, v.heartbeatsSuspended, v.roundStartedAt = now, false, now
		v.node.leader = newLeader(v.node, v, now)
		v.node.emit(BecameLeader{Term: v.rawNode.BasicStatus().GetTerm()})
	case wasLeader && !v.isLeader():
		v.node.leader = nil
		v.node.emit(LostLeadership{})
	}
}

// transferLeadership starts a transfer of the leadership to the linked voter whose log is the most advanced. It does nothing unless
// this voter leads.
func (v *voter) transferLeadership() {
	if !v.isLeader() {
		return
	}
	best, at := uint64(0), uint64(0)
	v.callRaft(func() {
		for id, pr := range v.rawNode.Status().Progress {
			if name := v.nameByID[id]; id != v.id && v.node.peers[name] != nil && (pr.Match > at || pr.Match == at && (best == 0 || id < best)) {
				best, at = id, pr.Match
			}
		}
		if best != 0 {
			v.rawNode.TransferLeader(best)
		}
	})
}
