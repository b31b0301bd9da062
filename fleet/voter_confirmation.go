package fleet

import (
	"encoding/binary"
	"time"
)

// confirmation is the state of the rounds in which a majority confirms that the leader still leads. The rounds use raft's ReadIndex,
// which does not depend on clocks.
type confirmation struct {
	roundsStarted       uint64        // the number of rounds that were started
	roundStartedAt      time.Duration // when the last round was started
	confirmedAt         time.Duration // when a majority last confirmed a round
	heartbeatsSuspended bool          // no majority confirmed a round for two election timeouts: the leader sends no raft heartbeats
}

// tickLeader sends the leader's raft heartbeats and starts confirmation rounds when they are due.
//
// A leader without a confirmation for two election timeouts suspends its heartbeats: the other voters may receive its messages while
// it receives none of theirs, so they must elect another leader. It starts another round six election timeouts after the last one.
func (v *voter) tickLeader(now time.Duration) {
	timing := v.node.options.Timing
	if now-v.confirmedAt > 2*timing.electionTimeout() {
		v.heartbeatsSuspended = true
	}
	if v.heartbeatsSuspended {
		if now-v.roundStartedAt >= 6*timing.electionTimeout() {
			v.startRound(now)
		}
		return
	}
	v.callRaft(v.rawNode.Tick)
	if now-v.roundStartedAt >= timing.HeartbeatInterval() || v.node.leader.hasUnconfirmed() {
		v.startRound(now)
	}
}

// startRound starts a confirmation round. Its result confirms the renewals that were received before the round started.
func (v *voter) startRound(now time.Duration) {
	v.roundsStarted++
	v.roundStartedAt = now
	var round [8]byte
	binary.BigEndian.PutUint64(round[:], v.roundsStarted)
	v.callRaft(func() { v.rawNode.ReadIndex(round[:]) })
}
