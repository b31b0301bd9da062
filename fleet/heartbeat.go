package fleet

import "time"

// heartbeatState is the newest heartbeat that a Node received.
type heartbeatState struct {
	upstream      string // the peer that delivered the newest heartbeat first: the next hop to the leader
	heartbeat     fence
	heartbeatAt   time.Duration
	heartbeatFrom string // the leader that sent it
	isolated      bool
}

func newHeartbeatState(timing Timing) heartbeatState {
	return heartbeatState{isolated: true, heartbeatAt: -timing.isolationTimeout() - 1}
}

// Isolated reports whether no heartbeat was received for a while, or this front is displaced.
func (n *Node) Isolated() bool { return n.isolated || n.isDisplaced }

// LastHeartbeat returns the leader whose heartbeat was received last, and how long ago.
func (n *Node) LastHeartbeat(now time.Duration) (name string, ago time.Duration) {
	return n.heartbeatFrom, now - n.heartbeatAt
}

// LeaderTerm returns the highest term of a leader whose heartbeat was received, 0 for none.
func (n *Node) LeaderTerm() uint64 { return n.heartbeat.term }

// onHeartbeat forwards a heartbeat where it is the newest; the peer that delivered it first is the next hop to the leader.
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

// endIsolation notes that a heartbeat came.
func (n *Node) endIsolation() {
	if n.isolated {
		n.isolated = false
		n.emit(FleetReached{Term: n.heartbeat.term})
	}
}

// checkIsolation notes that no heartbeat came for a while. An isolated front tries other links: it may be in a partition of
// followers only.
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
