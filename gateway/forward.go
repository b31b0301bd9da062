package gateway

import (
	"slices"
	"time"
)

// ForwardedRequest is one attempt of a request that is forwarded to the remote site.
type ForwardedRequest struct {
	ID            uint64
	AttemptNumber uint32 // increasing within a request
	Group         int64
	Deadline      time.Duration // time at which the request times out; its state is discarded then
	MaxAttempts   uint32        // maximum number of attempts at the remote site
	Write         bool
	MinPosition   int64  // replication position that a read must see, Unix milliseconds; 0 for none
	Message       []byte // the statement
	Repeated      bool   // an earlier attempt, forwarded at FirstRunAt or later, may have run, and the servers drop repeats for a limited time
	FirstRunAt    time.Duration
}

// Outcome says how a forwarded request ended.
type Outcome struct {
	ID            uint64
	AttemptNumber uint32
	NotExecuted   bool          // the request was not executed and never will be
	Overloaded    bool          // the request was not sent because of lack of capacity
	Withheld      bool          // the request was not sent because the peer does not know since when an earlier attempt may have run
	Result        *Frame        // of the remote site; if nil and not NotExecuted, the request may have been executed
	Elapsed       time.Duration // time since the request was sent; the data may have aged by this much in transit
}

// forwardState is the state of a forwarded request that has no outcome yet.
type forwardState uint8

const (
	forwardQueued    forwardState = iota // not sent yet
	forwardSent                          // sent over the current connection
	outcomeUnknown                       // sent over a connection that was lost
	outcomeRequested                     // sent over a lost connection; its outcome was requested on the current one
)

// pendingRequest is a forwarded request that has no outcome yet.
type pendingRequest struct {
	ForwardedRequest
	state        forwardState
	sentAt       time.Duration
	peerEpoch    uint64 // epoch of the peer to which the request was sent
	serial       uint64
	unknownSince time.Duration // time at which its connection was first lost
}

// forwardTable has the forwarded requests without an outcome, and a queue for each group of those that are not sent yet.
type forwardTable struct {
	lastSerial uint64
	pending    map[uint64]*pendingRequest  // by request ID
	queued     map[int64][]*pendingRequest // by group
	groupOrder []int64                     // groups with a queue, in the order in which they are served; the queue may be empty
}

func newForwardTable() forwardTable {
	return forwardTable{pending: map[uint64]*pendingRequest{}, queued: map[int64][]*pendingRequest{}}
}

// enqueue adds a request to the queue of its group.
func (t *forwardTable) enqueue(p *pendingRequest) {
	t.pending[p.ID] = p
	if _, waiting := t.queued[p.Group]; !waiting { // a group keeps its entry as long as it is in groupOrder
		t.groupOrder = append(t.groupOrder, p.Group)
	}
	t.queued[p.Group] = append(t.queued[p.Group], p)
}

// next returns the request that is sent next, or nil if none is queued. Groups are served round-robin.
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

// dequeue removes the request that next returned from its queue and moves its group to the end of groupOrder.
func (t *forwardTable) dequeue(p *pendingRequest) {
	t.queued[p.Group] = t.queued[p.Group][1:]
	t.groupOrder = append(t.groupOrder[1:], p.Group)
}

// remove removes a request from the table, and from its queue if it is queued.
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

// clearQueues removes all queues. The requests stay pending.
func (t *forwardTable) clearQueues() {
	clear(t.queued)
	t.groupOrder = t.groupOrder[:0]
}

// Forward queues a request for the remote site. Its Outcome is NotExecuted at once if the link is not up, if too many requests are
// in flight, or if the request is invalid.
func (e *Endpoint) Forward(now time.Duration, r ForwardedRequest) {
	up := e.state == Up
	if _, pending := e.forwards.pending[r.ID]; !up || pending || len(e.forwards.pending) >= e.settings.MaxInFlight ||
		len(r.Message) > MaxDataBytes || r.MaxAttempts == 0 {
		e.Counters.Rejected++
		e.outcomes = append(e.outcomes, Outcome{ID: r.ID, AttemptNumber: r.AttemptNumber, NotExecuted: true, Overloaded: up})
		return
	}
	e.forwards.enqueue(&pendingRequest{ForwardedRequest: r})
}

// Withdraw reverts the sending of the FrameForward that NextFrame returned last. The caller must not have written the frame. The
// request was canceled, so it gets no Outcome.
func (e *Endpoint) Withdraw(f *Frame) {
	e.credit.bytesInFlight -= f.creditCost()
	e.Counters.Forwarded--
	delete(e.forwards.pending, f.ID)
}

// Cancel cancels an attempt of a request, which then gets no Outcome. If the remote site may have received it, it is canceled
// there too.
func (e *Endpoint) Cancel(id uint64, attempt uint32) {
	p := e.forwards.pending[id]
	if p == nil || p.AttemptNumber != attempt {
		return
	}
	e.sendCancel(p)
	e.forwards.remove(p)
}

// sendCancel queues a FrameCancel for a request if the peer may have received it on the current connection.
func (e *Endpoint) sendCancel(p *pendingRequest) {
	if p.state == forwardSent || p.state == outcomeRequested {
		e.queueControl(Frame{Kind: FrameCancel, ID: p.ID, AttemptNumber: p.AttemptNumber})
	}
}

// finishForward ends a forwarded request with an outcome.
func (e *Endpoint) finishForward(p *pendingRequest, o Outcome) {
	e.forwards.remove(p)
	o.ID, o.AttemptNumber = p.ID, p.AttemptNumber
	e.outcomes = append(e.outcomes, o)
}

// finishUnknown ends a forwarded request whose outcome cannot be recovered.
func (e *Endpoint) finishUnknown(p *pendingRequest) {
	e.Counters.OutcomeLost++
	e.finishForward(p, Outcome{})
}

// suspendForwards handles the loss of the connection for all forwarded requests. Queued requests end as not executed; the outcome
// of the others is unknown.
func (e *Endpoint) suspendForwards(now time.Duration) {
	e.forwards.clearQueues()
	for _, p := range e.forwards.pending {
		switch p.state {
		case forwardQueued:
			e.finishForward(p, Outcome{NotExecuted: true})
		case forwardSent:
			p.state, p.unknownSince = outcomeUnknown, now
			e.Counters.OutcomeUnknown++
		case outcomeRequested:
			p.state = outcomeUnknown // unknownSince is still the time of the first loss
		}
	}
}

// requestOutcomes requests all unknown outcomes from the peer on a new connection. Requests that were sent to an earlier epoch of
// the peer end without a known outcome, since a restarted peer has lost it.
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
		e.queueControl(Frame{Kind: FrameOutcomeRequest, ID: p.ID, AttemptNumber: p.AttemptNumber, Serial: p.serial})
	}
}

// expireForwards ends requests whose deadline has passed, and requests whose outcome was unknown for RecoveryTimeout.
func (e *Endpoint) expireForwards(now time.Duration) {
	for _, p := range e.forwards.pending {
		switch {
		case now >= p.Deadline: // the front has its own timeout; this bounds the lifetime of the state of the link
			e.sendCancel(p)
			e.finishForward(p, Outcome{NotExecuted: p.state == forwardQueued})
		case (p.state == outcomeUnknown || p.state == outcomeRequested) && now-p.unknownSince >= e.settings.RecoveryTimeout:
			e.sendCancel(p)
			e.finishUnknown(p)
		}
	}
}
