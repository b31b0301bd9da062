package routing

import "time"

// Topology is the instance's place in the deployment.
type Topology struct {
	Zone, ZoneCount    int
	FleetSize, Ordinal int           // number of instances, and which of them this one is
	PullEndpoints      bool          // the endpoint list answers only when asked
	RetriesMarked      bool          // clients mark their retries
	RoleListing        RoleListing   // what the endpoint list says of roles
	TickInterval       time.Duration // shortest interval at which the Router sets its timer
}

// RoleListing says what the endpoint list says of the servers' roles.
type RoleListing uint8

// What the endpoint list says of roles.
const (
	RolesNotListed RoleListing = iota
	RolesAtStart               // the roles at the start of the deployment
	RolesDelayed               // the present roles, some seconds late
)

// Replication says how replicas follow their primary and what they check.
type Replication struct {
	StalenessCheck      StalenessCheck
	FreshnessWait       time.Duration // how long a server waits before it rejects, with WaitUntilFresh
	ClientCarriesToken  bool          // requests carry the age of their session's last write; else the Router remembers it
	PositionInResponses bool          // every response has the server's log position
	SemiSyncWrites      bool          // a write is answered once a replica has it
	LoadInResponses     bool          // responses carry load reports; else health checks alone do, if any
}

// StalenessCheck is what a server does with a read for which it is too far behind.
type StalenessCheck uint8

// Checks of staleness.
const (
	NoStalenessCheck StalenessCheck = iota // answers from what it has
	RejectIfStale                          // rejects it at once
	WaitUntilFresh                         // waits up to FreshnessWait, then rejects it
)

// Guardrails are the limits of the deployment's rules on drains, slow start and the endpoint list.
type Guardrails struct {
	AnswerSlack       time.Duration // after a deadline, within which a final answer still counts
	DrainGrace        time.Duration // within which attempts at a draining server must cease to start
	MaxPollInterval   time.Duration // of the endpoint list where it is pulled and there is no subscription
	InitialCapacity   float64       // least part of its capacity that a server has when it starts, 0 to 1
	OverloadMultiple  float64       // multiple of its present capacity at which a warming-up server fails for good
	SlowStartDuration time.Duration // from a server's start to its full capacity
	OverloadWindow    time.Duration // over which that multiple is measured
}

// Limits says what the deployment lets the Router do.
type Limits struct {
	MaxAttempts     int           // of one request
	HealthChecks    bool          // Host.StartHealthCheck may be called
	Gossip          bool          // Host.SendGossip may be called
	Cancellation    bool          // Host.CancelAttempt may be called
	HedgedRequests  bool          // a request may have two attempts in flight
	MaxRetryAfter   time.Duration // 0 where a rejection may not say when to retry
	DialTimeout     time.Duration
	IdleConnTimeout time.Duration // after which an idle connection to a server is closed
}

// CostWeights says what actions cost, as a fraction of the value of all requests.
type CostWeights struct {
	CrossZone, WastedWork, HealthCheck, LateFailure, Gossip float64
	OverQuota                                               float64 // value of a customer's requests beyond its quota, as a fraction
}
