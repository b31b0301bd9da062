package fleet

import (
	"encoding/binary"
	"time"
)

// confirmation is the rounds by which a leader has a majority confirm that it still leads: raft's ReadIndex, which uses no clock.
type confirmation struct {
	readRounds  uint64        // rounds that were started
	readAt      time.Duration // when the last one was started
	confirmedAt time.Duration // when a majority answered last
	silenced    bool          // no majority answered for long: it sends no more heartbeats
}

// lead keeps the consensus group's heartbeats and confirmation rounds going. A leader without a confirmation is silenced: its
// followers may receive its messages, but it receives none of theirs, so they must elect another. It retries a round after six
// election timeouts.
func (v *voter) lead(now time.Duration) {
	timing := v.node.options.Timing
	if now-v.confirmedAt > 2*timing.electionTimeout() {
		v.silenced = true
	}
	if v.silenced {
		if now-v.readAt >= 6*timing.electionTimeout() {
			v.confirm(now)
		}
		return
	}
	v.callRaft(v.rawNode.Tick)
	if now-v.readAt >= timing.HeartbeatInterval() || v.node.leader.hasUnconfirmed() {
		v.confirm(now)
	}
}

// confirm asks a majority whether this voter still leads. The answer confirms renewals that were received before the question.
func (v *voter) confirm(now time.Duration) {
	v.readRounds++
	v.readAt = now
	var mark [8]byte
	binary.BigEndian.PutUint64(mark[:], v.readRounds)
	v.callRaft(func() { v.rawNode.ReadIndex(mark[:]) })
}
