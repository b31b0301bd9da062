package fleet

import (
	"maps"
	"slices"
	"time"
)

// Node is the state machine of one front of the fleet. Calls of its methods must not overlap, and the times passed to them must not
// decrease. The types of its embedded state are declared beside the functions that use them.
type Node struct {
	options     Options
	isDisplaced bool // another process has this front's name, so this front takes no part in the fleet
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

	lastTickAt time.Duration
	outbox
}

// voterRole is a front's state in consensus. All fields are nil at a front without a voter's disk.
type voterRole struct {
	voter    *voter    // nil where this front has no voter's disk
	leader   *leader   // nil unless this front's voter leads
	recovery *Recovery // the last recovery that was requested at this front, nil for none
}

// outbox holds what the owner of a Node has to carry out.
type outbox struct {
	outgoing     []OutgoingMessage
	events       []Event
	linksToClose []string // peers whose links must be closed
}

// New returns a Node. disk is what a voter's disk holds, nil for a follower. The error says which part of disk can't be used.
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

// StartVoter makes a front without links a voter, as New does; disk is what the voter's disk holds. The voter campaigns no earlier than an
// election timeout from now. The error says which part of disk can't be used; the front is then still a follower.
func (n *Node) StartVoter(now time.Duration, disk *DiskState) error {
	v, err := newVoter(n, disk)
	if err != nil {
		return err
	}
	v.leaderContactAt = now
	n.voter = v
	for leaseName := range n.declaredLeases {
		n.updateMissingLease(leaseName)
	}
	return nil
}

// Incarnation returns the number that identifies this start of the front.
func (n *Node) Incarnation() uint64 { return n.options.Incarnation }

// Receive handles a message from a peer. An error is a ProtocolError: the owner must then close the link to the peer. A message from a
// front to which there is no link is ignored, without an error.
func (n *Node) Receive(now time.Duration, from string, m *Message) error {
	err := n.receive(now, from, m)
	n.updateNeighbours()
	return err
}

// receive handles a message like Receive, without updating the neighbours afterwards. It drops messages of peers without a link.
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
		n.recordPeerIndex(p, m.Index)
	case KindConsensus:
		if n.voter != nil && p.Voter {
			return n.voter.step(now, from, m.Data)
		}
	case KindHeartbeat:
		n.recordPeerIndex(p, m.Index)
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

// receiveState handles the messages that carry or request the replicated state.
func (n *Node) receiveState(now time.Duration, from string, p *peer, m *Message) error {
	switch m.Kind {
	case KindEntries:
		n.recordPeerIndex(p, m.Index)
		n.onEntries(now, from, m)
	case KindSnapshot:
		n.recordPeerIndex(p, m.Index)
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

// receiveRouted handles the messages that fronts forward to the leader or to a receiver.
func (n *Node) receiveRouted(now time.Duration, from string, m *Message) {
	switch m.Kind {
	case KindMembership:
		for i := range m.Members {
			n.forwardMembership(now, from, m.Members[i])
		}
	case KindRequest:
		if m.Number++; m.Number <= maxForwards {
			n.learnRoute(now, m.From, from)
			n.routeToLeader(now, m)
		}
	case KindReply:
		if m.Number++; m.Number <= maxForwards {
			n.routeToFront(now, m)
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

// Tick runs all timers: timeouts, retries and periodic messages. Call it about once in each Timing.TickInterval.
func (n *Node) Tick(now time.Duration) {
	n.lastTickAt = now
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
	n.requestMissingState(now)
	n.removeSilentFronts(now)
	n.updateNeighbours()
}

// OutgoingMessage is a message to a peer.
type OutgoingMessage struct {
	To      string
	Message *Message
}

// Outgoing removes and returns the messages that were queued since the last call. The messages to one peer must be sent in this order.
func (n *Node) Outgoing() []OutgoingMessage {
	out := n.outgoing
	n.outgoing = nil
	return out
}

// Events removes and returns the events since the last call, in the order in which they happened.
func (n *Node) Events() []Event {
	events := n.events
	n.events = nil
	return events
}

// LinksToClose returns the names of the peers whose links must be closed, as queued since the last call. The owner closes them and then
// calls LinkDown for each.
func (n *Node) LinksToClose() []string {
	closing := n.linksToClose
	n.linksToClose = nil
	return closing
}

// emit queues an event for the owner of this Node, who takes it by Events.
func (n *Node) emit(e Event) { n.events = append(n.events, e) }

// send queues a message to a peer. It drops the message where there is no link to the peer.
func (n *Node) send(to string, m *Message) {
	p := n.peers[to]
	if p == nil {
		return
	}
	p.lastSentAt = n.lastTickAt
	n.outgoing = append(n.outgoing, OutgoingMessage{to, m})
}

// flood queues a message to all peers except the named one; "" excepts none.
func (n *Node) flood(m *Message, except string) {
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if name != except {
			n.send(name, m)
		}
	}
}
