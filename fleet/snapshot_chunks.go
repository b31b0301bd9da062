package fleet

import (
	"maps"
	"slices"
	"time"
)

// A large state is sent in chunks and at a limited rate. So the state for a front that reconnects does not delay other messages on the
// link, and a front that updates many others is not overloaded.
const (
	chunkBytes          = 32 << 10 // bytes of state in a chunk
	defaultSnapshotRate = 1 << 20  // bytes per second to all peers together
)

// outgoingSnapshot is an encoded state that is being sent to a peer.
type outgoingSnapshot struct {
	index uint64 // the index of the state
	data  []byte
	sent  int // the number of bytes sent so far
}

// incomingSnapshot is the part of an encoded state that a peer has sent so far, in chunks that follow each other. It is discarded where a
// chunk does not follow the last one, and once it is complete and decoded.
type incomingSnapshot struct {
	index uint64 // the index of the state
	data  []byte
}

// snapshotState holds the snapshots that a Node sends and receives in chunks.
type snapshotState struct {
	outgoingSnapshots map[string]*outgoingSnapshot // by peer
	incomingSnapshots map[string]*incomingSnapshot // by peer
	chunkBudget       float64                      // the number of bytes that may be sent, as of chunkBudgetAt
	chunkBudgetAt     time.Duration
	stateTransferAt   time.Duration // when this front last requested the state, or received a chunk of it
}

func newSnapshotState() snapshotState {
	return snapshotState{outgoingSnapshots: map[string]*outgoingSnapshot{}, incomingSnapshots: map[string]*incomingSnapshot{}}
}

// startSnapshot starts to send the encoded state data to a peer in chunks. It does nothing while another state is being sent to the
// peer.
func (n *Node) startSnapshot(name string, data []byte) {
	if n.outgoingSnapshots[name] != nil {
		return // later changes follow as log entries
	}
	n.outgoingSnapshots[name] = &outgoingSnapshot{index: n.state.Index, data: data}
}

// sendChunks sends as many chunks as the rate allows since the last tick, one chunk to each peer in turn.
func (n *Node) sendChunks(now time.Duration) {
	if len(n.outgoingSnapshots) == 0 {
		n.chunkBudgetAt = now
		return
	}
	budget := n.options.SnapshotRate
	if budget == 0 {
		budget = defaultSnapshotRate
	}
	n.chunkBudget += float64(budget) * (now - n.chunkBudgetAt).Seconds()
	n.chunkBudget = min(n.chunkBudget, float64(max(budget/4, chunkBytes)))
	n.chunkBudgetAt = now
	for n.chunkBudget >= chunkBytes && len(n.outgoingSnapshots) > 0 {
		for _, name := range slices.Sorted(maps.Keys(n.outgoingSnapshots)) {
			snapshot, p := n.outgoingSnapshots[name], n.peers[name]
			if p == nil || p.index >= n.state.Index {
				delete(n.outgoingSnapshots, name)
				continue
			}
			if n.chunkBudget < chunkBytes {
				break
			}
			n.chunkBudget -= chunkBytes
			end := min(snapshot.sent+chunkBytes, len(snapshot.data))
			n.send(name, &Message{
				Kind:   KindSnapshotChunk,
				From:   n.options.Name,
				Index:  snapshot.index,
				Number: uint64(snapshot.sent),
				Term:   uint64(len(snapshot.data)),
				Data:   snapshot.data[snapshot.sent:end],
			})
			if snapshot.sent = end; snapshot.sent == len(snapshot.data) {
				delete(n.outgoingSnapshots, name)
				p.index = max(p.index, snapshot.index)
			}
		}
	}
}

// requestMissingState requests the state from one peer, where peers are known to be ahead and no chunk of the state arrived within a
// heartbeat interval. It prefers the next hop to the leader if that is ahead.
func (n *Node) requestMissingState(now time.Duration) {
	if n.isActiveVoter() || now-n.stateTransferAt < n.options.Timing.HeartbeatInterval() {
		return
	}
	best := ""
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if n.peers[name].index > n.state.Index && (best == "" || name == n.upstream) {
			best = name
		}
	}
	if best != "" {
		n.stateTransferAt = now
		n.send(best, &Message{Kind: KindEntriesRequest, Index: n.state.Index, Number: 1})
	}
}

// onChunk handles a chunk of the state from a peer. After the last chunk it replaces the replicated state if the received one is newer.
func (n *Node) onChunk(now time.Duration, from string, p *peer, m *Message) error {
	if m.Term > MaxMessageBytes*4 || m.Number > m.Term || len(m.Data) > chunkBytes {
		return errInvalidChunk
	}
	if n.isActiveVoter() || m.Index <= n.state.Index {
		delete(n.incomingSnapshots, from)
		return nil
	}
	n.stateTransferAt = now
	snapshot := n.incomingSnapshots[from]
	if m.Number == 0 {
		snapshot = &incomingSnapshot{index: m.Index}
		n.incomingSnapshots[from] = snapshot
	}
	if snapshot == nil || snapshot.index != m.Index || int(m.Number) != len(snapshot.data) {
		delete(n.incomingSnapshots, from)
		return nil // the chunk does not follow the last one; requestMissingState requests the state again
	}
	if snapshot.data = append(snapshot.data, m.Data...); uint64(len(snapshot.data)) < m.Term {
		return nil
	}
	delete(n.incomingSnapshots, from)
	p.index = max(p.index, m.Index)
	state, err := decodeReplicatedState(snapshot.data)
	if err != nil {
		return ProtocolError(err.Error())
	}
	if state.Index > n.state.Index {
		n.restore(now, state)
	}
	return nil
}
