package fleet

import (
	"hash/crc32"
	"strconv"
	"time"

	"go.etcd.io/raft/v3"
)

// election is what a voter knows of the leader, and when it campaigns itself.
type election struct {
	leaderID        uint64        // raft's id of the leader, 0 for none
	leaderContactAt time.Duration // when a leader's message was received last
	electionTimeout time.Duration // it campaigns so long after the last contact
	timeoutDraws    int
}

// IsLeader reports whether this front is the leader.
func (n *Node) IsLeader() bool { return n.leader != nil }

// isLeader reports whether this voter leads the consensus group.
func (v *voter) isLeader() bool { return v.leaderID == v.id }

// hasLiveLeader reports whether a leader was in contact within the least election timeout.
func (v *voter) hasLiveLeader(now time.Duration) bool {
	lastContact := v.leaderContactAt
	if v.isLeader() {
		lastContact = v.confirmedAt
	}
	return v.leaderID != 0 && now-lastContact < v.node.options.Timing.electionTimeout()
}

// drawElectionTimeout draws the next election timeout, once to twice the minimum, so that voters don't campaign in step.
func (v *voter) drawElectionTimeout() {
	v.timeoutDraws++
	sum := crc32.ChecksumIEEE([]byte(strconv.FormatUint(v.node.options.Seed, 16) + "." + strconv.Itoa(v.timeoutDraws)))
	least := v.node.options.Timing.electionTimeout()
	v.electionTimeout = least + time.Duration(float64(least)*float64(sum)/(1<<32))
}

// onSoftState handles a change of leadership.
func (v *voter) onSoftState(now time.Duration, s *raft.SoftState) {
	was := v.isLeader()
	if s.Lead != v.leaderID {
		v.leaderContactAt = now
	}
	v.leaderID = s.Lead
	switch {
	case v.isLeader() && !was:
		v.confirmedAt, v.silenced, v.readAt = now, false, now
		v.node.leader = newLeader(v.node, v, now)
		v.node.emit(BecameLeader{Term: v.rawNode.BasicStatus().GetTerm()})
	case was && !v.isLeader():
		v.node.leader = nil
		v.node.emit(LostLeadership{})
	}
}

// transferLeadership transfers the leadership to the most advanced linked voter, for a leader that shuts down.
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
