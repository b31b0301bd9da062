// Package gateway is the core of a link between two sites. It forwards requests to the peer site, determines their outcomes,
// and recovers outcomes that are unknown after a connection was lost. It has no I/O, no clock and no goroutine: the caller
// passes in events together with the time since the process started, and takes the resulting actions from NextFrame,
// TakeOutcomes and TakePeerRequests. It neither chooses a server nor retries a request. The router does both; it treats the
// remote site as one more server of each remote group.
//
// An Endpoint owns the state of one instance's end of the link. It is not safe for concurrent use; package link guards
// it with a mutex.
//
// A forwarded request is one attempt at the remote site. It is identified by the ID of its request at the local site and its
// attempt number. The model in the tests asserts these invariants for lost connections and restarts at every step of small
// cases:
//
//  1. Each forwarded request has exactly one Outcome, and none once it is canceled.
//  2. A request whose Outcome is NotExecuted has not been executed at the remote site and never will be: the remote site
//     accepts no frame of it any more.
//  3. The Result of an Outcome is the result of an execution by the remote site, for this very attempt.
//  4. A write that succeeded is not executed again for the same request while its outcome is retained.
//  5. Memory is bounded: the number of requests in flight, the bytes in flight and the retained outcomes are limited.
//
// NotExecuted can be proven because connections and forwarded requests are numbered. An instance accepts frames only from the
// peer's latest connection, so frames that are still in flight on an older connection are discarded once the hello of a newer
// one was accepted. An instance also records the highest serial whose outcome it has evicted. For a request up to that
// serial it answers that the request may have been executed, even if the outcome request is late for an unrelated reason,
// such as a process that was stopped for ten seconds. Both numbers are valid within an epoch, which changes with each start
// of an instance. Request IDs may begin anew with an epoch: when a hello of another epoch is accepted, all executions are
// abandoned, so that no result reaches another process than the one that asked.
package gateway

import (
	"time"
)

// Endpoint is one instance's end of a link.
type Endpoint struct {
	settings Settings
	epoch    uint64 // identifies this start of the instance
	state    State

	conn     peerConnection
	credit   flowControl
	forwards forwardTable   // requests that this instance forwards to the peer
	execs    executionTable // requests that the peer forwards to this instance

	controlFrames []Frame      // frames without data, which are sent before results and requests
	unsentResults []*execution // finished executions in the order in which their results are sent
	outcomes      []Outcome
	peerRequests  []PeerRequest

	Counters Counters
}

// Counters count events since the instance started.
type Counters struct {
	Forwarded         int // requests that were sent to the peer
	Answered          int // results that were received for requests in flight
	OutcomeUnknown    int // requests that were in flight when their connection was lost
	Recovered         int // of OutcomeUnknown: the peer had received the request and reported its outcome or that it is executing
	ProvenNotExecuted int // of OutcomeUnknown: the peer had not received the request
	OutcomeLost       int // of OutcomeUnknown: the outcome cannot be recovered
	Rejected          int // requests rejected for lack of capacity or of a connection, in either direction
	LateResults       int // results that arrived after the request had ended
	Duplicates        int // requests of the peer that were already executing or had already succeeded
	Abandoned         int // requests of the peer that were executing when another process of the peer connected
}

// New returns an Endpoint without a connection. The epoch must be different for each start of the instance and must not
// be 0.
func New(s Settings, epoch uint64) *Endpoint {
	return &Endpoint{settings: s, epoch: epoch, forwards: newForwardTable(), execs: newExecutionTable()}
}

// State returns the state of the link.
func (e *Endpoint) State() State { return e.state }

// InFlight returns the number of forwarded requests without an outcome, and the number of the peer's requests that are
// executing here.
func (e *Endpoint) InFlight() (ours, peers int) { return len(e.forwards.pending), len(e.execs.running) }

// TakeOutcomes returns the outcomes of forwarded requests since the last call, in order.
func (e *Endpoint) TakeOutcomes() (all []Outcome) { all, e.outcomes = e.outcomes, nil; return all }

// TakePeerRequests returns the peer's requests, and their cancellations, since the last call, in order.
func (e *Endpoint) TakePeerRequests() (all []PeerRequest) {
	all, e.peerRequests = e.peerRequests, nil
	return all
}

// Tick enforces deadlines and timeouts and schedules heartbeats. It must be called regularly. An error wraps ErrPeerTimeout: the
// state of the link is Down, and the caller must close its connection.
func (e *Endpoint) Tick(now time.Duration) error {
	e.execs.evictExpired(now, e.settings.OutcomeRetention)
	e.expireForwards(now)
	if e.state != Up {
		return nil
	}
	if err := e.conn.checkTimeout(now, e.settings.PeerTimeout); err != nil {
		e.ConnectionLost(now)
		return err
	}
	if now-e.conn.lastSent >= e.settings.HeartbeatInterval {
		e.queueControl(Frame{Kind: FramePing})
	}
	return nil
}

// queueControl queues a frame without data for the current connection.
func (e *Endpoint) queueControl(f Frame) { e.controlFrames = append(e.controlFrames, f) }
