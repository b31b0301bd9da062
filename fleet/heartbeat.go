package fleet

import "time"

// heartbeatState holds the newest heartbeat that a Node received or sent, and the next hop to the leader.
type heartbeatState struct {
	upstream      string        // the next hop to the leader: the peer that first delivered the newest heartbeat, "" for none
	heartbeat     fence         // the term and the number of the newest heartbeat
	heartbeatAt   time.Duration // when it was received or sent
	heartbeatFrom string        // the leader that sent it
	isolated      bool          // no heartbeat was received within the isolation timeout
}

// newHeartbeatState returns the state of a Node that has received no heartbeat. It is isolated from the start, and heartbeatAt lies so far
// in the past that the isolation timeout has passed at time 0.
func newHeartbeatState(timing Timing) heartbeatState {
	return heartbeatState{isolated: true, heartbeatAt: -timing.isolationTimeout() - 1}
}

// Isolated reports whether no heartbeat was received within the isolation timeout, or this front is displaced. It is true at the start,
// until the first heartbeat. An isolated front may still have links.
func (n *Node) Isolated() bool { return n.isolated || n.isDisplaced }

// LastHeartbeat returns the leader whose heartbeat was last received, and how long ago that was. At the leader itself it is the last one
// that it sent. Where no heartbeat was received yet, name is "" and ago means nothing.
func (n *Node) LastHeartbeat(now time.Duration) (name string, ago time.Duration) {
	return n.heartbeatFrom, now - n.heartbeatAt
}

// LeaderTerm returns the highest term of a leader whose heartbeat was received, or sent by this front; 0 for none.
func (n *Node) LeaderTerm() uint64 { return n.heartbeat.term }

// onHeartbeat handles a heartbeat. It floods a heartbeat that is the newest, and makes the peer that delivered it the next hop to the
// leader. It sends that peer the log entries that the peer lacks, and after a new heartbeat requests those that this front lacks.
func (n *Node) onHeartbeat(now time.Duration, from string, m *Message) {
	next := fence{m.Term, m.Number}
	if next.term < n.heartbeat.term || next.term == n.heartbeat.term && next.number <= n.heartbeat.number {
		n.catchUp(from)
		return
	}
	n.heartbeat, n.heartbeatAt, n.upstream, n.heartbeatFrom = next, now, from, m.From
	n.endIsolation()
	n.flood(&Message{Kind: KindHeartbeat, From: m.From, Term: m.Term, Number: m.Number, Index: n.state.Index}, from)
	n.catchUp(from)
	if n.state.Index < m.Index && !n.isActiveVoter() && n.peers[from].index <= n.state.Index {
		n.send(from, &Message{Kind: KindEntriesRequest, Index: n.state.Index})
	}
}

// endIsolation ends the isolation of this front after a heartbeat.
func (n *Node) endIsolation() {
	if n.isolated {
		n.isolated = false
		n.emit(FleetReached{Term: n.heartbeat.term})
	}
}

// checkIsolation marks this front as isolated where no heartbeat was received within the isolation timeout. An isolated front dials
// other fronts after every two lease durations, since its links may connect it only to followers in the same partition.
func (n *Node) checkIsolation(now time.Duration) {
	timing := n.options.Timing
	if !n.isolated && now-n.heartbeatAt > timing.isolationTimeout() {
		n.isolated = true
		n.emit(FleetLost{Reason: reasonNoHeartbeat})
	}
	if n.isolated && now-n.rankSaltedAt > 2*timing.LeaseDuration {
		n.rankSaltedAt = now
		n.rankSalt++
		clear(n.retryAt)
		clear(n.suggested)
	}
}
