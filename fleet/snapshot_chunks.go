package fleet

import (
	"maps"
	"slices"
	"time"
)

// A large state is sent in chunks, within a budget of bytes a second: the state for a front that reconnects must not delay other messages
// on the link, and a front that updates many others must not be overloaded.
const (
	chunkBytes          = 32 << 10
	defaultSnapshotRate = 1 << 20 // bytes a second
)

// outgoingSnapshot is a state on its way to a peer.
type outgoingSnapshot struct {
	index uint64
	data  []byte
	sent  int
}

// incomingSnapshot is the part of a state that a peer has sent so far.
type incomingSnapshot struct {
	index uint64
	data  []byte
}

// snapshotState is the snapshots that a Node sends and receives in chunks.
type snapshotState struct {
	outgoingSnapshots  map[string]*outgoingSnapshot // by peer
	incomingSnapshots  map[string]*incomingSnapshot // by peer
	chunkBudget        float64                      // bytes that may be sent, as of chunkBudgetAt
	chunkBudgetAt      time.Duration
	missingRequestedAt time.Duration // the state was requested from a peer, or sent a chunk of it, last
}

func newSnapshotState() snapshotState {
	return snapshotState{outgoingSnapshots: map[string]*outgoingSnapshot{}, incomingSnapshots: map[string]*incomingSnapshot{}}
}

// startSnapshot begins to send a peer the state.
func (n *Node) startSnapshot(name string, data []byte) {
	if n.outgoingSnapshots[name] != nil {
		return // what is new meanwhile follows as entries
	}
	n.outgoingSnapshots[name] = &outgoingSnapshot{index: n.state.Index, data: data}
}

// sendChunks sends what the budget allows for since the last tick, one chunk to each peer in turn.
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

// requestMissing asks one peer for the state, where peers are known to be ahead and nothing of it arrives: the next hop to the
// leader if it is ahead, else any.
func (n *Node) requestMissing(now time.Duration) {
	if n.isActiveVoter() || now-n.missingRequestedAt < n.options.Timing.HeartbeatInterval() {
		return
	}
	best := ""
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if n.peers[name].index > n.state.Index && (best == "" || name == n.upstream) {
			best = name
		}
	}
	if best != "" {
		n.missingRequestedAt = now
		n.send(best, &Message{Kind: KindEntriesRequest, Index: n.state.Index, Number: 1})
	}
}

// onChunk adds a chunk; the last one completes the state.
func (n *Node) onChunk(now time.Duration, from string, p *peer, m *Message) error {
	if m.Term > MaxMessageBytes*4 || m.Number > m.Term || len(m.Data) > chunkBytes {
		return errInvalidChunk
	}
	if n.isActiveVoter() || m.Index <= n.state.Index {
		delete(n.incomingSnapshots, from)
		return nil
	}
	n.missingRequestedAt = now
	snapshot := n.incomingSnapshots[from]
	if m.Number == 0 {
		snapshot = &incomingSnapshot{index: m.Index}
		n.incomingSnapshots[from] = snapshot
	}
	if snapshot == nil || snapshot.index != m.Index || int(m.Number) != len(snapshot.data) {
		delete(n.incomingSnapshots, from)
		return nil // the peer starts again
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
