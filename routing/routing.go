// Package routing has the types between a router, which makes the decisions, and its host, which carries them out.
//
// A host (package front in service, package adapter under the bench) turns its events into the plain types below and
// calls the methods of Router; the router asks for what it wants through Host. The package knows no protocol, has no
// state and decides nothing.
//
// Conventions: times are durations since the instance started. A log position is given on the same scale: it is the
// time up to which a server has applied every commit. Request types, customers, groups, zones and servers are small
// indices that the host assigns, with None where there is none.
package routing

import "time"

// None is the index of something that is not known or not given.
const None = -1

// Options is what a Router is made with; it doesn't change while the Router lives.
type Options struct {
	Seed         uint64 // of the Router's random numbers: the same seed and the same events give the same actions
	Topology     Topology
	RequestTypes []RequestType // by Request.Type
	Customers    []Customer    // by Request.Customer
	Replication  Replication
	Guardrails   Guardrails
	Limits       Limits
	CostWeights  CostWeights
}

// Router takes events. A host calls Reconcile after the last event of each batch; the Router calls its Host from within
// these methods only. Calls are made one at a time, with a time that never goes back.
type Router interface {
	// EndpointsChanged takes an update of the endpoint list. The Router doesn't keep entries.
	EndpointsChanged(now time.Duration, kind UpdateKind, version int64, entries []Endpoint)
	// RequestReceived takes a new request. Its slot is free or its earlier use has ended.
	RequestReceived(now time.Duration, request Request)
	// AttemptFinished is called once for each StartAttempt, also when the request has ended before.
	AttemptFinished(now time.Duration, outcome AttemptOutcome)
	// ClientGone says that the request's client has left, or that its answer is overdue. It ends the request.
	ClientGone(now time.Duration, request RequestRef)
	// HealthCheckFinished is called once for each StartHealthCheck.
	HealthCheckFinished(now time.Duration, server int, result AttemptResult, latency time.Duration, load LoadReport)
	// GossipReceived takes a message that the peer's Router sent by SendGossip.
	GossipReceived(now time.Duration, peer int, message []byte)
	// TimerFired is called once the time given to SetTimer is over.
	TimerFired(now time.Duration)
	// Reconcile plans what the batch has changed and calls the Host for it.
	Reconcile(now time.Duration)
	// ClockCorrected says that the clock of the other processes was found to differ: log positions and listed start
	// times reported until now are later by so much (earlier where it is negative).
	ClockCorrected(now, by time.Duration)
	// RequiredPosition is the log position that a read in flight must see; ok is false where there is none.
	RequiredPosition(request RequestRef) (position time.Duration, ok bool)
}

// Host carries out what a Router asks for. No method blocks or calls the Router back.
type Host interface {
	// StartAttempt sends the request to a server. Where timeout is 0 the attempt may last as long as the request.
	StartAttempt(request RequestRef, server int, timeout time.Duration)
	// CancelAttempt stops waiting for an attempt; AttemptFinished is still called for it.
	CancelAttempt(request RequestRef, attemptNumber int)
	// Reject ends the request with an answer that says that a retry is safe, after retryAfter where that is not 0.
	Reject(request RequestRef, retryAfter time.Duration)
	// Fail ends the request with an answer that doesn't say whether it has run.
	Fail(request RequestRef)
	// StartHealthCheck asks a server for its load report.
	StartHealthCheck(server int)
	// ReleaseServer gives the server's index back: it may be another server's from now on.
	ReleaseServer(server int)
	// WatchEndpoints subscribes to the endpoint list, or ends the subscription.
	WatchEndpoints(on bool)
	// FetchEndpoints asks for the whole endpoint list once.
	FetchEndpoints()
	// SendGossip sends a message to a peer, to every peer where it is None.
	SendGossip(peer int, message []byte)
	// SetTimer asks for a call of TimerFired.
	SetTimer(after time.Duration)
	// Log writes a message to the host's log.
	Log(message string)
}
