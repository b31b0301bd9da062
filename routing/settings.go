package routing

import "time"

// Topology describes the place of the instance in the deployment.
type Topology struct {
	Zone, ZoneCount    int
	FleetSize, Ordinal int           // number of instances, and the index of this one among them
	PullEndpoints      bool          // the endpoint list answers only when asked
	RetriesMarked      bool          // clients mark their retries
	RoleListing        RoleListing   // what the endpoint list says about roles
	TickInterval       time.Duration // shortest interval at which the Router sets its timer
}

// RoleListing says what the endpoint list contains about the roles of servers.
type RoleListing uint8

// Kinds of role listing.
const (
	RolesNotListed RoleListing = iota
	RolesAtStart               // the roles at the start of the deployment
	RolesDelayed               // the present roles, a few seconds late
)

// Replication describes how replicas follow their primary and what servers check.
type Replication struct {
	StalenessCheck      StalenessCheck
	FreshnessWait       time.Duration // with WaitUntilFresh: time that a server waits before it rejects a read
	ClientCarriesToken  bool          // requests carry the age of their session's last write; otherwise the Router remembers it
	PositionInResponses bool          // every response contains the server's log position
	SemiSyncWrites      bool          // a write is answered once a replica has it
	LoadInResponses     bool          // responses contain load reports; otherwise only health checks do, if any
}

// StalenessCheck is what a server does with a read that requires a later position than the server has applied.
type StalenessCheck uint8

// Kinds of staleness check.
const (
	NoStalenessCheck StalenessCheck = iota // answers from the data that it has
	RejectIfStale                          // rejects the read at once
	WaitUntilFresh                         // waits up to FreshnessWait, then rejects the read
)

// DeploymentRules holds the deployment's rules on deadlines, drains, slow start and the endpoint list.
type DeploymentRules struct {
	DeadlineGrace     time.Duration // time after a deadline within which a final answer still counts
	DrainGrace        time.Duration // time within which no more attempts may start at a draining server
	MaxPollInterval   time.Duration // longest interval between polls of the endpoint list, if it is pulled and there is no subscription
	InitialCapacity   float64       // minimum share of its capacity that a server has when it starts, 0 to 1
	OverloadMultiple  float64       // multiple of its present capacity at which a warming-up server fails permanently
	SlowStartDuration time.Duration // time from a server's start to its full capacity
	OverloadWindow    time.Duration // time over which OverloadMultiple is measured
	OnlyDrainingBinds bool          // a server that leaves the endpoint list without having drained may still be sent attempts
}

// Limits says what the deployment allows the Router to do.
type Limits struct {
	MaxAttempts     int           // for one request
	HealthChecks    bool          // Host.StartHealthCheck may be called
	Gossip          bool          // Host.SendGossip may be called
	Cancellation    bool          // Host.CancelAttempt may be called
	HedgedRequests  bool          // a request may have two attempts in flight
	MaxRetryAfter   time.Duration // 0 if a rejection may not say when to retry
	DialTimeout     time.Duration
	IdleConnTimeout time.Duration // time after which an idle connection to a server is closed
}

// CostWeights gives the costs of actions as fractions of the value of all requests.
type CostWeights struct {
	CrossZone, WastedWork, HealthCheck, LateFailure, Gossip float64
	OverQuota                                               float64 // fraction of their value that a customer's requests beyond its quota have
}
