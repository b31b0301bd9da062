package fleet

import (
	"maps"
	"slices"
	"time"
)

// pendingRequest is a request that is repeated until it is answered.
type pendingRequest struct {
	message   *Message
	startedAt time.Duration
	sentAt    time.Duration
	declares  bool // leases: its answer is that the replicated state has them
}

// requestState is a Node's own requests that are not answered yet.
type requestState struct {
	pendingRequests map[uint64]*pendingRequest
	lastRequestID   uint64
}

func newRequestState(incarnation uint64) requestState {
	return requestState{pendingRequests: map[uint64]*pendingRequest{}, lastRequestID: incarnation << 20}
}

// Request sends a request to the leader. A RequestDone event with the returned number follows, after four lease durations at
// the latest.
func (n *Node) Request(now time.Duration, q Request) (id uint64) {
	n.lastRequestID++
	q.ID = n.lastRequestID
	if len(n.pendingRequests) >= maxPendingRequests {
		n.emit(RequestDone{ID: q.ID, Error: errTooManyRequests.Error()})
		return q.ID
	}
	m := &Message{Kind: KindRequest, From: n.options.Name, Request: &q}
	n.pendingRequests[q.ID] = &pendingRequest{message: m, startedAt: now, sentAt: now}
	n.toLeader(now, m)
	return q.ID
}

// PutValue asks for a value to be stored under a lease that this front holds; prev is the value's index as known, 0 for none. ok
// is false where the lease is not held.
func (n *Node) PutValue(now time.Duration, leaseName, key string, prev uint64, value []byte) (id uint64, ok bool) {
	term, ok := n.HoldsLease(now, leaseName)
	if !ok {
		return 0, false
	}
	return n.proposeCommand(now, Command{Op: opPutValue, Lease: leaseName, Term: term, Key: key, PrevIndex: prev, Value: value}), true
}

// AddVoter asks for a front to become a voter.
func (n *Node) AddVoter(now time.Duration, name, address string) uint64 {
	return n.proposeCommand(now, Command{Op: opAddVoter, Target: name, Address: address})
}

// RemoveVoter asks for a voter to become a follower.
func (n *Node) RemoveVoter(now time.Duration, name string) uint64 {
	return n.proposeCommand(now, Command{Op: opRemoveVoter, Target: name})
}

// proposeCommand asks for a command in the log.
func (n *Node) proposeCommand(now time.Duration, c Command) uint64 {
	c.Requester, c.RequestID = n.options.Name, n.lastRequestID+1
	return n.Request(now, Request{Type: RequestProposal, Lease: c.Lease, Command: c.Encode()})
}

// TransferLease asks for a lease to be transferred to a front; for "" the leader chooses one.
func (n *Node) TransferLease(now time.Duration, leaseName, to string) uint64 {
	return n.Request(now, Request{Type: RequestTransfer, Lease: leaseName, To: to})
}

// CollectDigests asks the leader for all fronts' digests of a subsystem; a RequestDone event with them follows.
func (n *Node) CollectDigests(now time.Duration, subsystem string) uint64 {
	return n.Request(now, Request{Type: RequestDigests, Lease: subsystem})
}

// onReply handles a reply of the leader to this front; leaderTerm is 0 where an older program leads.
func (n *Node) onReply(now time.Duration, reply *LeaderReply, leaderTerm uint64) {
	if reply.Displaced == n.options.Incarnation && reply.Displaced != 0 {
		n.markDisplaced(reasonNameTaken)
		return
	}
	pending := n.pendingRequests[reply.RequestID]
	if pending != nil && (reply.Error != "" || !pending.declares) {
		n.completeRequest(RequestDone{ID: reply.RequestID, Error: reply.Error, LeaderTerm: leaderTerm, Reports: reply.Reports})
	}
	if reply.Release != "" {
		if own := n.ownLeases[reply.Release]; own != nil && own.term == reply.Term {
			n.releaseLease(now, reply.Release, reply.TransferTo, reasonTransferRequested)
		}
	}
	for _, renewal := range reply.Renewed {
		if own := n.ownLeases[renewal.Lease]; own != nil && own.term == renewal.Term {
			n.extendLease(now, renewal.Lease, reply.RenewedSeq, leaderTerm)
		}
	}
}

// completeRequest ends a request.
func (n *Node) completeRequest(done RequestDone) {
	delete(n.pendingRequests, done.ID)
	n.emit(done)
}

// retryRequests repeats requests without an answer, and declares leases that the replicated state lacks.
func (n *Node) retryRequests(now time.Duration) {
	timing := n.options.Timing
	n.completeDeclarations()
	for _, id := range slices.Sorted(maps.Keys(n.pendingRequests)) {
		pending := n.pendingRequests[id]
		if request := pending.message.Request; request.Type == RequestRelease {
			if own := n.ownLeases[request.Lease]; own == nil || own.term != request.Term {
				delete(n.pendingRequests, id)
				continue
			}
		}
		if now-pending.startedAt > 4*timing.LeaseDuration {
			n.completeRequest(RequestDone{ID: id, Error: errNoAnswer.Error()})
			continue
		}
		if now-pending.sentAt >= timing.HeartbeatInterval() {
			pending.sentAt = now
			pending.message.Number = 0
			n.toLeader(now, pending.message)
		}
	}
	n.declareMissingLeases(now)
}

// declareMissingLeases declares leases that the replicated state lacks, or has with another bound: all of them in one request. A
// leader of an older program declares the first alone; the others follow in further requests.
func (n *Node) declareMissingLeases(now time.Duration) {
	if n.isolated || n.state.Index == 0 || len(n.missingLeases) == 0 {
		return
	}
	var unasked []Declaration
	for _, name := range slices.Sorted(maps.Keys(n.missingLeases)) {
		if n.pendingRequests[n.missingLeases[name]] == nil {
			unasked = append(unasked, Declaration{Lease: name, Bound: n.declaredLeases[name]})
		}
	}
	for batch := range slices.Chunk(unasked, maxDeclarations) {
		id := n.requestDeclarations(now, batch)
		if pending := n.pendingRequests[id]; pending != nil {
			pending.declares = true
		}
		for _, d := range batch {
			n.missingLeases[d.Lease] = id
		}
	}
}

// requestDeclarations asks for leases to be declared.
func (n *Node) requestDeclarations(now time.Duration, all []Declaration) uint64 {
	first := Command{
		Op:        opDeclareLease,
		Lease:     all[0].Lease,
		Bound:     all[0].Bound,
		Requester: n.options.Name,
		RequestID: n.lastRequestID + 1,
	}
	return n.Request(now, Request{Type: RequestProposal, Lease: first.Lease, Command: first.Encode(), Declarations: all[1:]})
}

// completeDeclarations ends requests whose leases the replicated state has by now.
func (n *Node) completeDeclarations() {
	if len(n.pendingRequests) == 0 {
		return
	}
	unanswered := map[uint64]bool{}
	for _, id := range n.missingLeases {
		unanswered[id] = true
	}
	for _, id := range slices.Sorted(maps.Keys(n.pendingRequests)) {
		if n.pendingRequests[id].declares && !unanswered[id] {
			n.completeRequest(RequestDone{ID: id})
		}
	}
}
