package fleet

import (
	"maps"
	"slices"
	"time"
)

// replicationState holds a Node's copy of the replicated state, and the newest log entries for neighbours that are a few entries
// behind.
type replicationState struct {
	state         *ReplicatedState
	recentEntries []LogEntry // the last entries that were applied
	updatedTo     uint64     // the index of the state when updateNeighbours last updated the neighbours
	snapshotState
}

func newReplicationState() replicationState {
	return replicationState{state: newReplicatedState(), snapshotState: newSnapshotState()}
}

// State returns this front's copy of the replicated state. It belongs to the Node: read it only between calls of the Node's methods.
func (n *Node) State() *ReplicatedState { return n.state }

// recordPeerIndex records that a peer has the replicated state up to an index.
func (n *Node) recordPeerIndex(p *peer, index uint64) { p.index = max(p.index, index) }

// catchUp sends a peer the log entries that it lacks, or a snapshot where they are no longer cached. It does nothing where the snapshot has
// more than chunkBytes bytes: such a snapshot is sent in chunks, and only to a peer that requests it. It also does nothing for a peer that
// is up to date or that receives the log by consensus.
func (n *Node) catchUp(name string) {
	p := n.peers[name]
	if p == nil || p.index >= n.state.Index || p.Voter && n.isActiveVoter() {
		return // the peer is up to date, or receives the log by consensus
	}
	if len(n.recentEntries) == 0 || n.recentEntries[0].Index > p.index+1 || p.index == 0 {
		data := n.state.encode()
		if len(data) > chunkBytes {
			return // the peer requests the state from one of its neighbours, which sends it in chunks
		}
		n.send(name, &Message{Kind: KindSnapshot, From: n.options.Name, Index: n.state.Index, Data: data})
	} else {
		missing := n.recentEntries[p.index+1-n.recentEntries[0].Index:]
		n.send(name, &Message{Kind: KindEntries, From: n.options.Name, Index: n.state.Index, Entries: slices.Clone(missing)})
	}
	p.index = n.state.Index
}

// onEntries applies the log entries that a peer sent, except those that this front has already. Where entries before them are missing, it
// requests those instead.
func (n *Node) onEntries(now time.Duration, from string, m *Message) {
	if n.isActiveVoter() {
		return
	}
	for _, entry := range m.Entries {
		switch {
		case entry.Index <= n.state.Index:
		case entry.Index > n.state.Index+1 || n.state.Index == 0:
			n.send(from, &Message{Kind: KindEntriesRequest, Index: n.state.Index})
			return
		default:
			n.apply(now, entry)
		}
	}
}

// onSnapshot replaces the replicated state by the snapshot that a peer sent, if that is newer.
func (n *Node) onSnapshot(now time.Duration, m *Message) error {
	if n.isActiveVoter() || m.Index <= n.state.Index {
		return nil
	}
	state, err := decodeReplicatedState(m.Data)
	if err != nil {
		return ProtocolError(err.Error())
	}
	if state.Index > n.state.Index {
		n.restore(now, state)
	}
	return nil
}

// updateNeighbours sends the log entries that are new since its last call to all neighbours.
func (n *Node) updateNeighbours() {
	if n.updatedTo == n.state.Index {
		return
	}
	n.updatedTo = n.state.Index
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		n.catchUp(name)
	}
}

// apply applies a log entry to the replicated state. It then completes the request that led to the entry, updates this front's own
// leases and emits events, as the entry requires.
func (n *Node) apply(now time.Duration, entry LogEntry) {
	if n.state.NeededFormat != 0 {
		n.state.Index = entry.Index // this program can't read this entry
		return
	}
	c, err := n.state.apply(entry.Index, entry.Data)
	n.recentEntries = append(n.recentEntries, entry)
	if len(n.recentEntries) > 2*maxRecentEntries {
		n.recentEntries = append([]LogEntry{}, n.recentEntries[len(n.recentEntries)-maxRecentEntries:]...)
	}
	if n.state.NeededFormat != 0 {
		n.emit(StateUnreadable{Index: entry.Index, Reason: err.Error()})
		return
	}
	if c.Requester == n.options.Name && n.pendingRequests[c.RequestID] != nil {
		n.completeRequest(RequestDone{ID: c.RequestID, Error: errorText(err)})
	}
	if n.leader != nil {
		n.leader.onApplied(now, &c, err)
	}
	if err != nil {
		return
	}
	switch c.Op {
	case opDeclareLease:
		n.updateMissingLease(c.Lease)
	case opGrantLease, opVacateLease:
		lease := n.state.Leases[c.Lease]
		n.emit(LeaseGranted{Lease: lease.Name, Term: lease.Term, Leaseholder: lease.Leaseholder, Index: entry.Index, Reason: lease.Reason})
		n.onLeaseChanged(now, lease)
	case opJoin:
		n.emit(FrontJoined{Name: c.Front.Name, Incarnation: c.Front.Incarnation, Index: entry.Index})
		n.checkName()
	case opLeave:
		n.emit(FrontLeft{Name: c.Target, Index: entry.Index})
	}
}

// restore replaces the replicated state, and updates this front by the leases and the fronts of the new state.
func (n *Node) restore(now time.Duration, state *ReplicatedState) {
	n.state, n.recentEntries = state, nil
	for name := range n.declaredLeases {
		n.updateMissingLease(name)
	}
	for _, name := range slices.Sorted(maps.Keys(state.Leases)) {
		if lease := state.Leases[name]; lease.Term > 0 {
			n.emit(LeaseGranted{Lease: name, Term: lease.Term, Leaseholder: lease.Leaseholder, Index: state.Index, Reason: lease.Reason})
		}
		n.onLeaseChanged(now, state.Leases[name])
	}
	n.checkName()
}

// checkName marks this front as displaced where another process has its name.
func (n *Node) checkName() {
	if front := n.state.Fronts[n.options.Name]; front != nil && front.isPast(n.options.Incarnation) {
		n.markDisplaced(reasonNameTaken)
	}
}
