package fleet

import (
	"maps"
	"slices"
	"time"
)

// pendingRequest is a request of this front that is not answered yet, and that is sent again until it is.
type pendingRequest struct {
	message   *Message
	startedAt time.Duration
	sentAt    time.Duration
	declares  bool // it declares leases: it is answered once the replicated state has them
}

// requestState holds a Node's own requests that are not answered yet, by ID.
type requestState struct {
	pendingRequests map[uint64]*pendingRequest
	lastRequestID   uint64
}

// newRequestState returns the state of a Node without pending requests. Request IDs start at a number that depends on the incarnation,
// so that they differ from the IDs of earlier starts of the front.
func newRequestState(incarnation uint64) requestState {
	return requestState{pendingRequests: map[uint64]*pendingRequest{}, lastRequestID: incarnation << 20}
}

// Request sends a request to the leader, and assigns its ID. A RequestDone event with this ID follows after at most about four lease
// durations; until then the request is sent again in each heartbeat interval.
//
// A RequestRelease is sent again for as long as this front holds the lease in that term, however many requests are pending, and no event
// follows: until the leader has handled it no front uses the lease.
func (n *Node) Request(now time.Duration, q Request) (id uint64) {
	n.lastRequestID++
	q.ID = n.lastRequestID
	if len(n.pendingRequests) >= maxPendingRequests && q.Type != RequestRelease {
		n.emit(RequestDone{ID: q.ID, Error: errTooManyRequests.Error()})
		return q.ID
	}
	m := &Message{Kind: KindRequest, From: n.options.Name, Request: &q}
	n.pendingRequests[q.ID] = &pendingRequest{message: m, startedAt: now, sentAt: now}
	n.routeToLeader(now, m)
	return q.ID
}

// PutValue requests that the leader store a value under a lease that this front holds. An empty value deletes the key. prev is the index of
// the key's present value, 0 for none; where that has changed meanwhile, the request fails. id is the ID of the request, whose RequestDone
// event says whether it succeeded. ok is false where this front does not hold the lease; nothing is requested then.
func (n *Node) PutValue(now time.Duration, leaseName, key string, prev uint64, value []byte) (id uint64, ok bool) {
	term, ok := n.HoldsLease(now, leaseName)
	if !ok {
		return 0, false
	}
	return n.proposeCommand(now, Command{Op: opPutValue, Lease: leaseName, Term: term, Key: key, PrevIndex: prev, Value: value}), true
}

// AddVoter requests that a front become a voter. address is the address on which its mesh listens. AddVoter returns the ID of the request,
// whose RequestDone event says whether it succeeded.
func (n *Node) AddVoter(now time.Duration, name, address string) uint64 {
	return n.proposeCommand(now, Command{Op: opAddVoter, Target: name, Address: address})
}

// RemoveVoter requests that a voter become a follower. It returns the ID of the request, whose RequestDone event says whether it succeeded.
func (n *Node) RemoveVoter(now time.Duration, name string) uint64 {
	return n.proposeCommand(now, Command{Op: opRemoveVoter, Target: name})
}

// proposeCommand requests that the leader propose a command for the log. It returns the ID of the request.
func (n *Node) proposeCommand(now time.Duration, c Command) uint64 {
	c.Requester, c.RequestID = n.options.Name, n.lastRequestID+1
	return n.Request(now, Request{Type: RequestProposal, Lease: c.Lease, Command: c.Encode()})
}

// TransferLease requests the transfer of a lease to the front to; for "" the leader chooses one. It returns the ID of the request, whose
// RequestDone event follows once another front holds the lease, or says why that failed.
func (n *Node) TransferLease(now time.Duration, leaseName, to string) uint64 {
	return n.Request(now, Request{Type: RequestTransfer, Lease: leaseName, To: to})
}

// CollectDigests requests all fronts' digests of a subsystem from the leader. It returns the ID of the request, whose RequestDone event
// has the digests.
func (n *Node) CollectDigests(now time.Duration, subsystem string) uint64 {
	return n.Request(now, Request{Type: RequestDigests, Lease: subsystem})
}

// onReply handles a reply of the leader to this front. leaderTerm is 0 where the leader is an older program.
func (n *Node) onReply(now time.Duration, reply *LeaderReply, leaderTerm uint64) {
	if reply.DisplacedIncarnation == n.options.Incarnation && reply.DisplacedIncarnation != 0 {
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

// completeRequest removes a pending request and emits its end.
func (n *Node) completeRequest(done RequestDone) {
	delete(n.pendingRequests, done.ID)
	n.emit(done)
}

// retryRequests sends pending requests again once in each heartbeat interval, and ends those that were not answered in time. It also
// declares the leases that the replicated state lacks.
func (n *Node) retryRequests(now time.Duration) {
	timing := n.options.Timing
	n.completeDeclarations()
	for _, id := range slices.Sorted(maps.Keys(n.pendingRequests)) {
		pending := n.pendingRequests[id]
		isRelease := pending.message.Request.Type == RequestRelease
		if isRelease && !n.holdsTerm(pending.message.Request) {
			delete(n.pendingRequests, id)
			continue
		}
		if !isRelease && now-pending.startedAt > 4*timing.LeaseDuration {
			n.completeRequest(RequestDone{ID: id, Error: errNoAnswer.Error()})
			continue
		}
		if now-pending.sentAt >= timing.HeartbeatInterval() {
			pending.sentAt = now
			pending.message.Number = 0
			n.routeToLeader(now, pending.message)
		}
	}
	n.declareMissingLeases(now)
}

// holdsTerm reports whether this front is still the holder of the lease of a RequestRelease in the term of that request.
func (n *Node) holdsTerm(request *Request) bool {
	own := n.ownLeases[request.Lease]
	return own != nil && own.term == request.Term
}

// declareMissingLeases requests the declaration of leases that the replicated state lacks, or has with another bound. It sends as many
// as possible in one request. A leader of an older program declares only the first lease of a request, so the others follow
// in further requests.
func (n *Node) declareMissingLeases(now time.Duration) {
	if n.isolated || n.state.Index == 0 || len(n.missingLeases) == 0 {
		return
	}
	var unrequested []Declaration
	for _, name := range slices.Sorted(maps.Keys(n.missingLeases)) {
		if n.pendingRequests[n.missingLeases[name]] == nil {
			unrequested = append(unrequested, Declaration{Lease: name, Bound: n.declaredLeases[name]})
		}
	}
	for batch := range slices.Chunk(unrequested, maxDeclarations) {
		id := n.requestDeclarations(now, batch)
		if pending := n.pendingRequests[id]; pending != nil {
			pending.declares = true
		}
		for _, d := range batch {
			n.missingLeases[d.Lease] = id
		}
	}
}

// requestDeclarations sends one request to declare leases, at least one. It returns the ID of the request.
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

// completeDeclarations ends the requests to declare leases that the replicated state now has.
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
