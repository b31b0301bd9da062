package gateway

import (
	"slices"
	"time"
)

// ForwardedRequest is one attempt of a request, made at the remote site.
type ForwardedRequest struct {
	ID            uint64
	AttemptNumber uint32 // rising within a request
	Group         int64
	Deadline      time.Duration // when its request times out; its state is dropped then
	MaxAttempts   uint32        // that the remote site may make
	Write         bool
	After         int64 // replication position that a read must see, Unix milliseconds; 0 for none
	Message       []byte
}

// Outcome says how a forwarded request ended.
type Outcome struct {
	ID            uint64
	AttemptNumber uint32
	NotExecuted   bool          // it was not executed and will not be
	Overloaded    bool          // it was not sent, since there was no capacity
	Result        *Frame        // of the remote site; nil where it may have been executed and nothing more is known
	Elapsed       time.Duration // since it was sent: the age that a result may have gained on the way
}

type forwardState uint8

const (
	forwardQueued    forwardState = iota // not sent yet: no credit
	forwardSent                          // sent over the present connection
	outcomeUnknown                       // sent over a connection that was lost
	outcomeRequested                     // the peer was asked for its outcome, on the present connection
)

// pendingRequest is a forwarded request that has no outcome yet.
type pendingRequest struct {
	ForwardedRequest
	state        forwardState
	sentAt       time.Duration
	peerEpoch    uint64 // when it was sent
	serial       uint64
	unknownSince time.Duration // when its connection was first lost
}

// forwardTable holds the requests that were forwarded to the peer.
type forwardTable struct {
	lastSerial uint64
	pending    map[uint64]*pendingRequest // by request ID
	queued     map[int64][]*pendingRequest
	groupOrder []int64 // groups that have queued requests, in the order in which they are served
}

func newForwardTable() forwardTable {
	return forwardTable{pending: map[uint64]*pendingRequest{}, queued: map[int64][]*pendingRequest{}}
}

func (t *forwardTable) enqueue(p *pendingRequest) {
	t.pending[p.ID] = p
	if _, waiting := t.queued[p.Group]; !waiting { // a group keeps its entry as long as it is in groupOrder
		t.groupOrder = append(t.groupOrder, p.Group)
	}
	t.queued[p.Group] = append(t.queued[p.Group], p)
}

// next returns the request that is sent next, nil for none. Groups take turns.
func (t *forwardTable) next() *pendingRequest {
	for len(t.groupOrder) > 0 {
		group := t.groupOrder[0]
		if queue := t.queued[group]; len(queue) > 0 {
			return queue[0]
		}
		delete(t.queued, group)
		t.groupOrder = t.groupOrder[1:]
	}
	return nil
}

// dequeue removes the request that next returned and puts its group last.
func (t *forwardTable) dequeue(p *pendingRequest) {
	t.queued[p.Group] = t.queued[p.Group][1:]
	t.groupOrder = append(t.groupOrder[1:], p.Group)
}

func (t *forwardTable) remove(p *pendingRequest) {
	delete(t.pending, p.ID)
	if p.state != forwardQueued {
		return
	}
	queue := t.queued[p.Group]
	if i := slices.Index(queue, p); i >= 0 {
		t.queued[p.Group] = append(queue[:i:i], queue[i+1:]...)
	}
}

// clearQueues forgets all queues; the requests stay pending.
func (t *forwardTable) clearQueues() {
	clear(t.queued)
	t.groupOrder = t.groupOrder[:0]
}

// Forward queues a request for the remote site. Where the link is not up, or too many are in flight, its Outcome is
// NotExecuted at once.
func (e *Endpoint) Forward(now time.Duration, r ForwardedRequest) {
	up := e.state == Up
	if _, pending := e.forwards.pending[r.ID]; !up || pending || len(e.forwards.pending) >= e.set.MaxInFlight ||
		len(r.Message) > MaxDataBytes || r.MaxAttempts == 0 {
		e.Counters.Rejected++
		e.outcomes = append(e.outcomes, Outcome{ID: r.ID, AttemptNumber: r.AttemptNumber, NotExecuted: true, Overloaded: up})
		return
	}
	e.forwards.enqueue(&pendingRequest{ForwardedRequest: r})
}

// Withdraw takes back the FrameForward that NextFrame returned last: it was not written, since its request was canceled.
func (e *Endpoint) Withdraw(f *Frame) {
	e.credit.bytesInFlight -= f.creditCost()
	e.Counters.Forwarded--
	delete(e.forwards.pending, f.ID)
}

// Cancel cancels a request. It gets no Outcome; where the remote site may have it, it is canceled there too.
func (e *Endpoint) Cancel(id uint64, attempt uint32) {
	p := e.forwards.pending[id]
	if p == nil || p.AttemptNumber != attempt {
		return
	}
	e.sendCancel(p)
	e.forwards.remove(p)
}

// sendCancel cancels a request at the peer, where the peer may have it.
func (e *Endpoint) sendCancel(p *pendingRequest) {
	if p.state == forwardSent || p.state == outcomeRequested {
		e.sendControl(Frame{Kind: FrameCancel, ID: p.ID, AttemptNumber: p.AttemptNumber})
	}
}

func (e *Endpoint) finish(p *pendingRequest, o Outcome) {
	e.forwards.remove(p)
	o.ID, o.AttemptNumber = p.ID, p.AttemptNumber
	e.outcomes = append(e.outcomes, o)
}

// finishUnknown ends a request of whose execution nothing can be learned.
func (e *Endpoint) finishUnknown(p *pendingRequest) {
	e.Counters.OutcomeLost++
	e.finish(p, Outcome{})
}

// suspendForwards handles the loss of the connection: queued requests were not executed, the outcome of the others is
// unknown.
func (e *Endpoint) suspendForwards(now time.Duration) {
	e.forwards.clearQueues()
	for _, p := range e.forwards.pending {
		switch p.state {
		case forwardQueued:
			e.finish(p, Outcome{NotExecuted: true})
		case forwardSent:
			p.state, p.unknownSince = outcomeUnknown, now
			e.Counters.OutcomeUnknown++
		case outcomeRequested:
			p.state = outcomeUnknown // unknown since the first loss
		}
	}
}

// requestOutcomes asks the peer, on a new connection, for the outcomes that are unknown. A peer that restarted knows
// none of them.
func (e *Endpoint) requestOutcomes() {
	for _, p := range e.forwards.pending {
		if p.state != outcomeUnknown {
			continue
		}
		if p.peerEpoch != e.conn.peerEpoch {
			e.finishUnknown(p)
			continue
		}
		p.state = outcomeRequested
		e.sendControl(Frame{Kind: FrameOutcomeRequest, ID: p.ID, AttemptNumber: p.AttemptNumber, Serial: p.serial})
	}
}

// expireForwards ends requests whose deadline has passed, or whose outcome was unknown for too long.
func (e *Endpoint) expireForwards(now time.Duration) {
	for _, p := range e.forwards.pending {
		switch {
		case now >= p.Deadline: // its front times out by itself; this bounds how long the link has state for it
			e.sendCancel(p)
			e.finish(p, Outcome{NotExecuted: p.state == forwardQueued})
		case (p.state == outcomeUnknown || p.state == outcomeRequested) && now-p.unknownSince >= e.set.RecoveryTimeout:
			e.sendCancel(p)
			e.finishUnknown(p)
		}
	}
}
