// Package routing defines the types exchanged between a router, which makes the decisions, and its host, which carries
// them out.
//
// A host translates its events into the plain types below and calls the methods of Router. The host is package front in
// production and package adapter in benchmarks. The router calls back through Host. The package is independent of
// protocols, has no state and decides nothing.
//
// Conventions: times are durations since the instance started. Log positions use the same scale: a position is the time
// up to which a server has applied every commit. Request types, customers, groups, zones and servers are small indices
// assigned by the host, and None if there is none.
package routing

import "time"

// None is the index of something that is unknown or absent.
const None = -1

// Options configures a Router. It doesn't change during the Router's lifetime.
type Options struct {
	Seed            uint64 // seed of the Router's random numbers: the same seed and the same events produce the same actions
	Topology        Topology
	RequestTypes    []RequestType // indexed by Request.Type
	Customers       []Customer    // indexed by Request.Customer
	Replication     Replication
	DeploymentRules DeploymentRules
	Limits          Limits
	CostWeights     CostWeights
}

// Router receives events and decides. A host calls Reconcile after the last event of each batch. The Router calls its
// Host only from within these methods. The methods are called one at a time, with a time that never decreases.
type Router interface {
	// EndpointsChanged applies an update of the endpoint list. The Router doesn't keep the entries slice.
	EndpointsChanged(now time.Duration, kind UpdateKind, version int64, entries []Endpoint)
	// RequestReceived adds a new request. Its slot is free, or the earlier use of the slot has ended.
	RequestReceived(now time.Duration, request Request)
	// AttemptFinished is called once for each StartAttempt, even if the request ended before.
	AttemptFinished(now time.Duration, outcome AttemptOutcome)
	// ClientGone ends a request whose client has left or whose answer is overdue.
	ClientGone(now time.Duration, request RequestRef)
	// HealthCheckFinished is called once for each StartHealthCheck.
	HealthCheckFinished(now time.Duration, server int, result AttemptResult, latency time.Duration, load LoadReport)
	// GossipReceived delivers a message that a peer's Router sent with SendGossip.
	GossipReceived(now time.Duration, peer int, message []byte)
	// TimerFired is called when the time given to SetTimer has passed.
	TimerFired(now time.Duration)
	// Reconcile plans what the batch has changed and calls the Host to carry it out.
	Reconcile(now time.Duration)
	// ClockCorrected reports that the clock of the other processes differs from what was assumed. Log positions and
	// listed start times reported until now are later by the given duration, or earlier if it is negative.
	ClockCorrected(now, by time.Duration)
	// RequiredPosition returns the log position that a read in flight must see. ok is false if there is none.
	RequiredPosition(request RequestRef) (position time.Duration, ok bool)
	// FreshUntil returns the time until which the attempt in flight of a read may be sent: from then on, its server's data
	// may be older than the read allows, and nobody would notice. ok is false if there is no such limit.
	FreshUntil(request RequestRef) (until time.Duration, ok bool)
	// MayServe reports whether the result of an attempt may be passed to the client, by the role and the log position that came
	// with it. If not, the Host drops it, and the attempt has the result Stale.
	MayServe(request RequestRef, result ReadResult) bool
}

// ReadResult describes the data of a read's result.
type ReadResult struct {
	SentAt      time.Duration // when the attempt was sent
	Role        Role          // of the server
	Position    time.Duration // of the server's log; valid if HasPosition
	HasPosition bool
}

// Host carries out what a Router decides. No method blocks or calls the Router.
type Host interface {
	// StartAttempt sends the request to a server. If timeout is 0, the attempt may last as long as the request.
	StartAttempt(request RequestRef, server int, timeout time.Duration)
	// CancelAttempt stops waiting for an attempt. AttemptFinished is still called for the attempt.
	CancelAttempt(request RequestRef, attemptNumber int)
	// Reject ends the request with an answer that says that a retry is safe. If retryAfter is not 0, the answer asks
	// the client to wait that long before the retry.
	Reject(request RequestRef, retryAfter time.Duration)
	// Fail ends the request with an answer that doesn't say whether the request has run.
	Fail(request RequestRef)
	// StartHealthCheck asks a server for its load report.
	StartHealthCheck(server int)
	// ReleaseServer releases the server's index, which the host may then assign to another server.
	ReleaseServer(server int)
	// WatchEndpoints starts or ends the subscription to the endpoint list.
	WatchEndpoints(on bool)
	// FetchEndpoints requests the whole endpoint list once.
	FetchEndpoints()
	// SendGossip sends a message to a peer, or to every peer if peer is None.
	SendGossip(peer int, message []byte)
	// SetTimer requests a call of TimerFired after the given time.
	SetTimer(after time.Duration)
	// Log writes a message to the host's log.
	Log(message string)
}
