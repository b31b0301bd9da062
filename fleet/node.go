package fleet

import (
	"maps"
	"slices"
	"time"
)

// Node is one front's part of the fleet. Calls must not overlap, and their times must not go back. The state of each of its jobs
// is declared beside the functions that own it.
type Node struct {
	options     Options
	isDisplaced bool // another process has this front's name: it stays out
	voterRole

	linkState
	heartbeatState
	replicationState
	membershipState
	routingState
	requestState
	leaseState
	mirrorState
	configLeaseState

	tickedAt time.Duration
	outbox
}

// voterRole is the part of a front in consensus; a follower has none.
type voterRole struct {
	voter    *voter    // where this front has a voter's disk
	leader   *leader   // where its voter leads
	recovery *Recovery // that was requested at this front
}

// outbox is what the owner of a Node has to carry out.
type outbox struct {
	outgoing []OutgoingMessage
	events   []Event
	closing  []string // peers whose links must be closed
}

// New returns a Node. disk is what a voter's disk holds, nil for a follower; the error says what of it can't be used.
func New(o Options, disk *DiskState) (*Node, error) {
	if o.MaxFollowers == 0 {
		o.MaxFollowers = defaultMaxFollowers
	}
	n := &Node{
		options:          o,
		linkState:        newLinkState(),
		heartbeatState:   newHeartbeatState(o.Timing),
		replicationState: newReplicationState(),
		membershipState:  newMembershipState(),
		routingState:     newRoutingState(),
		requestState:     newRequestState(o.Incarnation),
		leaseState:       newLeaseState(),
		mirrorState:      newMirrorState(),
		configLeaseState: newConfigLeaseState(),
	}
	if disk != nil {
		v, err := newVoter(n, disk)
		if err != nil {
			return nil, err
		}
		n.voter = v
	}
	return n, nil
}

// Incarnation is the number of this start of the front.
func (n *Node) Incarnation() uint64 { return n.options.Incarnation }

// Receive handles a message from a peer. After an error, a ProtocolError, the link to the peer must be closed.
func (n *Node) Receive(now time.Duration, from string, m *Message) error {
	err := n.receive(now, from, m)
	n.updateNeighbours()
	return err
}

func (n *Node) receive(now time.Duration, from string, m *Message) error {
	p := n.peers[from]
	if p == nil || n.isDisplaced {
		return nil
	}
	if err := m.check(); err != nil {
		return err
	}
	p.lastReceivedAt = now
	switch m.Kind {
	case KindHello, KindReject:
		return errSecondHello
	case KindPing:
		if m.Hello != nil && n.voter != nil && p.Voter {
			n.voter.checkPing(now, from, m.Hello)
		}
		n.noteIndex(p, m.Index)
	case KindConsensus:
		if n.voter != nil && p.Voter {
			return n.voter.step(now, from, m.Data)
		}
	case KindHeartbeat:
		n.noteIndex(p, m.Index)
		n.onHeartbeat(now, from, m)
	case KindEntries, KindSnapshot, KindSnapshotChunk, KindEntriesRequest:
		return n.receiveState(now, from, p, m)
	case KindBroadcast:
		n.onBroadcast(from, m)
	case KindMirrorPositions:
		for _, position := range m.Positions {
			n.sendMirror(from, position)
		}
	default:
		n.receiveRouted(now, from, m)
	}
	return nil
}

// receiveState handles the messages by which the replicated state spreads.
func (n *Node) receiveState(now time.Duration, from string, p *peer, m *Message) error {
	switch m.Kind {
	case KindEntries:
		n.noteIndex(p, m.Index)
		n.onEntries(now, from, m)
	case KindSnapshot:
		n.noteIndex(p, m.Index)
		return n.onSnapshot(now, m)
	case KindSnapshotChunk:
		return n.onChunk(now, from, p, m)
	case KindEntriesRequest:
		p.index = m.Index
		if n.catchUp(from); m.Number != 0 && p.index < n.state.Index {
			n.startSnapshot(from, n.state.encode())
		}
	}
	return nil
}

// receiveRouted handles the messages that pass from front to front on their way to the leader or to a receiver.
func (n *Node) receiveRouted(now time.Duration, from string, m *Message) {
	switch m.Kind {
	case KindMembership:
		for i := range m.Members {
			n.forwardMembership(now, from, m.Members[i])
		}
	case KindRequest:
		if m.Number++; m.Number <= maxForwards {
			n.learnRoute(now, m.From, from)
			n.toLeader(now, m)
		}
	case KindReply:
		if m.Number++; m.Number <= maxForwards {
			n.toFront(now, m)
		}
	case KindDatagram:
		if m.Number++; m.Number <= maxForwards {
			n.learnRoute(now, m.From, from)
			n.routeDatagram(from, m)
		}
	case KindConfigLeases:
		n.onConfigLeases(m.Positions)
	}
}

// Tick does what depends on time. Call it about every Timing.TickInterval.
func (n *Node) Tick(now time.Duration) {
	n.tickedAt = now
	if n.isDisplaced {
		return
	}
	n.checkLinks(now)
	n.endExpiredLeases(now)
	if n.isActiveVoter() {
		n.voter.tick(now)
	}
	if n.leader != nil {
		n.leader.tick(now)
	}
	n.reportWhenDue(now)
	n.sendPendingReports()
	n.retryRequests(now)
	n.checkIsolation(now)
	n.sendChunks(now)
	n.requestMissing(now)
	n.forgetSilent(now)
	n.updateNeighbours()
}

// OutgoingMessage is a message to a peer.
type OutgoingMessage struct {
	To      string
	Message *Message
}

// Outgoing returns the messages to be sent since the last call; their order holds for each peer.
func (n *Node) Outgoing() []OutgoingMessage {
	out := n.outgoing
	n.outgoing = nil
	return out
}

// Events returns what happened since the last call.
func (n *Node) Events() []Event {
	events := n.events
	n.events = nil
	return events
}

// LinksToClose returns the peers whose links must be closed.
func (n *Node) LinksToClose() []string {
	closing := n.closing
	n.closing = nil
	return closing
}

func (n *Node) emit(e Event) { n.events = append(n.events, e) }

// send queues a message to a peer; without a link it is lost.
func (n *Node) send(to string, m *Message) {
	p := n.peers[to]
	if p == nil {
		return
	}
	p.lastSentAt = n.tickedAt
	n.outgoing = append(n.outgoing, OutgoingMessage{to, m})
}

// flood queues a message to all peers but one.
func (n *Node) flood(m *Message, except string) {
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if name != except {
			n.send(name, m)
		}
	}
}
