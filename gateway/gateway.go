// Package gateway is the core of a link between two sites: which requests are forwarded to the peer site, what became of
// them, and what is known of that after the link broke. It has no I/O, no clock and no goroutine: events are passed
// in by calls with the time since the process started; NextFrame, TakeOutcomes and TakePeerRequests return what is to be
// done. It chooses no server and never retries: that is the router's job, which sees the remote site as one
// more server of each remote group.
//
// An Endpoint owns the state of one instance's end of the link. It is not safe for concurrent use; package link guards
// it with a mutex.
//
// A forwarded request is one attempt to the remote site, named by its request ID here and its attempt number. Its
// invariants, asserted by the model in the tests over every loss and crash at each step of small cases:
//
//  1. Each forwarded request has exactly one Outcome, and none after it was canceled.
//  2. One whose Outcome is NotExecuted has not been executed at the remote site and never will be: no frame of it can be
//     accepted there any more.
//  3. One whose Outcome has a Result has that result of the remote site's own execution, of this very attempt.
//  4. A write that was served is not executed again under its request while its outcome is retained.
//  5. Memory is bounded: requests in flight, bytes in flight, outcomes retained.
//
// What makes NotExecuted provable: connections of one instance are numbered; an instance accepts frames only from the
// peer's latest connection, so all that an older one still carries is void once a newer one was greeted. Forwarded
// requests are numbered too, and an instance knows the highest serial whose outcome it has forgotten: of a request up to
// that it says that it may have been executed, whatever the reason that the question came so late (a process stopped for
// ten seconds, say). Both numbers belong to an epoch that changes with each start of an instance.
package gateway

import (
	"time"
)

// Endpoint is one instance's end of a link.
type Endpoint struct {
	set   Settings
	epoch uint64 // of this start of the instance
	state State

	conn     peerConnection
	credit   flowControl
	forwards forwardTable   // requests that we sent to the peer
	execs    executionTable // requests that the peer sent to us

	controlFrames []Frame      // frames without data, which are sent first
	unsentResults []*execution // finished, in the order in which their results are sent
	outcomes      []Outcome
	peerRequests  []PeerRequest

	Counters Counters
}

// Counters count events since the instance started.
type Counters struct {
	Forwarded         int // requests sent to the peer
	Answered          int // results received
	OutcomeUnknown    int // requests in flight when a connection ended
	Recovered         int // of those, outcomes that the peer reported later
	ProvenNotExecuted int // of those, requests that the peer never received
	OutcomeLost       int // of those, requests whose outcome cannot be learned
	Rejected          int // requests for which there was no capacity, or no link
	LateResults       int // results of requests that had ended
	Duplicates        int // requests of the peer that were executing or served already
}

// New returns an Endpoint with no connection. The epoch must differ at each start of the instance and must not be 0.
func New(s Settings, epoch uint64) *Endpoint {
	return &Endpoint{set: s, epoch: epoch, forwards: newForwardTable(), execs: newExecutionTable()}
}

// State returns the state of the link.
func (e *Endpoint) State() State { return e.state }

// InFlight returns how many of our requests have no outcome yet, and how many of the peer's are executing here.
func (e *Endpoint) InFlight() (ours, peers int) { return len(e.forwards.pending), len(e.execs.running) }

// TakeOutcomes returns the outcomes since the last call, in order.
func (e *Endpoint) TakeOutcomes() (all []Outcome) { all, e.outcomes = e.outcomes, nil; return all }

// TakePeerRequests returns the peer's requests, and their cancellations, since the last call, in order.
func (e *Endpoint) TakePeerRequests() (all []PeerRequest) {
	all, e.peerRequests = e.peerRequests, nil
	return all
}

// Tick enforces deadlines and timeouts and schedules heartbeats. The error wraps ErrPeerTimeout: the link went down, and
// its connection must be closed.
func (e *Endpoint) Tick(now time.Duration) error {
	e.execs.evictExpired(now, e.set.OutcomeRetention, e.conn.peerEpoch)
	e.expireForwards(now)
	if e.state != Up {
		return nil
	}
	if err := e.conn.checkTimeout(now, e.set.PeerTimeout); err != nil {
		e.ConnectionLost(now)
		return err
	}
	if now-e.conn.lastSent >= e.set.HeartbeatInterval {
		e.sendControl(Frame{Kind: FramePing})
	}
	return nil
}

func (e *Endpoint) sendControl(f Frame) { e.controlFrames = append(e.controlFrames, f) }
