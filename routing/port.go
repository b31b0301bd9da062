// Package routing is the line between the decisions and whatever carries them.
//
// A host (the bench adapter today, a socket front later) turns what it hears into the plain types
// below and calls a Decider; the Decider asks for what it wants through Host. Nothing here knows a
// protocol, and nothing here decides.
//
// Times are spans since the instance started. A log position is given on the same scale: it is the
// moment up to which a member has applied every commit. Ids are small indices, given out at the door.
package routing

import "time"

// None stands for an index that is not known or not given.
const None = -1

// RequestRef names a request in hand: a place in the slab, reused, and the turn that tells its uses apart.
type RequestRef struct {
	Slot, Generation uint32
}

// Consistency says how recent the data of a request type must be.
type Consistency uint8

const (
	Eventual         Consistency = iota // every member will do
	BoundedStaleness                    // no older than the type's Bound when submitted
	ReadYourWrites                      // all that its session has written
	Strong                              // all that was written before the request came in
	Write                               // only the primary takes it
)

// Idempotency says whether a request may run again.
type Idempotency uint8

const (
	Idempotent     Idempotency = iota // may run again
	IdempotencyKey                    // carries a mark by which Scope knows a repeat, for Window
	NonIdempotent                     // must never run twice
)

// DedupScope is the set of members that drops the repeats of a referenced request.
type DedupScope uint8

const (
	ScopeGroup DedupScope = iota
	ScopeZone
	ScopeAll
)

// StalenessCheck is what a member does with a read for which it lags too far.
type StalenessCheck uint8

const (
	NoStalenessCheck StalenessCheck = iota // answers from what it has
	RejectIfStale                          // turns it away at once
	WaitUntilFresh                         // waits for a while, then turns it away
)

// RoleListing says what the list tells of roles.
type RoleListing uint8

const (
	RolesNotListed RoleListing = iota
	RolesAtStart               // as the day began
	RolesDelayed               // some seconds late
)

// Role is a member's part in its group.
type Role uint8

const (
	UnknownRole Role = iota
	Primary
	Replica
)

// AttemptResult is how an attempt or a probe ended.
type AttemptResult uint8

const (
	Succeeded      AttemptResult = iota
	ServerError                  // answered with an error, or lost its role while holding a write: may have run
	Overloaded                   // turned away unseen
	TimedOut                     // may have run, may still run
	Unreachable                  // no connection
	ConnectionLost               // the connection failed: may have run
	Cancelled                    // revoked: may have run
	NotSent                      // never sent
	Misrouted                    // not the primary for a write, too far behind for a read: nothing ran
)

var endingNames = [...]string{"committed", "errored", "full", "timed out", "unreachable", "broken", "withdrawn",
	"void", "missed"}

func (e AttemptResult) String() string { return endingNames[e] }

// NeverRan tells whether the ending proves that nothing ran.
func (e AttemptResult) NeverRan() bool {
	return e == Overloaded || e == Unreachable || e == NotSent || e == Misrouted
}

// Request is a request as it comes in.
type Request struct {
	Ref          RequestRef
	Type         int
	Customer     int    // None where there are none
	Session      uint64 // fingerprint of the session's name, 0 for none
	Group        int
	Timeout      time.Duration // until the client gives this try up
	ExpectedWork time.Duration // rough work, 0 where not told
	TokenAge     time.Duration // since the session's last write committed, where tokens are carried; 0 for none
	MaxStaleness time.Duration // its type's, or a tighter one that was in force when it came
	DedupWindow  time.Duration // its type's, or a shorter one
	Retry        bool          // marked by the client as a repetition
	Write        bool
}

// LoadReport is what a member reports of itself; None (-1) in a field that it did not report.
type LoadReport struct {
	InFlight, Queued           float64
	Position                   time.Duration
	HasPosition                bool
	Role                       Role // Unknown where not reported
	Utilization, LatencyMillis float64
	RequestRate, ErrorRate     float64
}

// AttemptOutcome is the ending of one attempt.
type AttemptOutcome struct {
	Ref             RequestRef
	AttemptNumber   int // which attempt of the request, from 0
	Server          int
	Result          AttemptResult
	RequestFinished bool // the request is concluded, by this or before
	Latency         time.Duration
	Position        time.Duration
	HasPosition     bool
	Role            Role
	Load            LoadReport
}

// ServerState is what the list says of a member.
type ServerState uint8

const (
	Serving ServerState = iota
	Draining
	Removed
	Partitioned // well as far as is known, but the way there is cut: nothing can go there until it is Serving again
)

var stateNames = [...]string{"serving", "draining", "removed", "away"}

func (s ServerState) String() string { return stateNames[s] }

// Endpoint is a line of the list.
type Endpoint struct {
	Server, Zone, Kind, Group int
	State                     ServerState
	Weight                    float64
	Primary                   bool
	StartedAt                 time.Duration
	HasStartTime              bool // false: in a distant past
}

// UpdateKind is how a list relates to the one before.
type UpdateKind uint8

const (
	Delta UpdateKind = iota
	Snapshot
	CachedSnapshot // whole, perhaps out of date
	UpdateFailed   // no entries: a call failed or the subscription broke
)

// Topology is where the instance stands.
type Topology struct {
	Zone, ZoneCount    int
	FleetSize, Ordinal int
	PullEndpoints      bool // the list answers only when asked
	RetriesMarked      bool // clients mark their retries
	RoleListing        RoleListing
	TickInterval       time.Duration
}

// RequestType is one request type.
type RequestType struct {
	LatencyObjective, Deadline   time.Duration
	WorkMultiple                 float64 // the target latency grows by this multiple of the request's own work
	PriorityWeight, LateFraction float64 // value in time, and the fraction of it that a late answer is worth
	Idempotency                  Idempotency
	DedupScope                   DedupScope
	DedupWindow                  time.Duration // how long the scope remembers a referenced request
	Consistency                  Consistency
	MaxStaleness                 time.Duration
}

// Customer is one customer and its share of the service.
type Customer struct {
	RequestsPerSecond, Quota float64
}

// Replication is how the copies follow and what they check.
type Replication struct {
	StalenessCheck      StalenessCheck
	FreshnessWait       time.Duration
	ClientCarriesToken  bool // the request brings the age of its session's last write; else the router remembers
	PositionInResponses bool // every answer bears a position
	SemiSyncWrites      bool // a write is answered once a replica holds it
	LoadInResponses     bool // answers carry load reports; else probes alone do, if any
}

// Guardrails are the figures of the rules.
type Guardrails struct {
	AnswerSlack, DrainGrace, MaxPollInterval time.Duration
	InitialCapacity, OverloadMultiple        float64
	SlowStartDuration, OverloadWindow        time.Duration
}

// Limits is what the site permits.
type Limits struct {
	MaxAttempts                                        int
	HealthChecks, Gossip, Cancellation, HedgedRequests bool
	MaxRetryAfter                                      time.Duration // 0 where no time to come back may be named
	DialTimeout, IdleConnTimeout                       time.Duration
}

// CostWeights is what things cost, as a fraction of all the value, and what a customer's excess is worth.
type CostWeights struct {
	CrossZone, WastedWork, HealthCheck, LateFailure, Gossip, OverQuota float64
}

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

// Router takes what comes in. Reconcile follows the last event of each batch.
type Router interface {
	EndpointsChanged(now time.Duration, kind UpdateKind, version int64, entries []Endpoint)
	RequestReceived(now time.Duration, t Request)
	AttemptFinished(now time.Duration, o AttemptOutcome)
	ClientGone(now time.Duration, r RequestRef) // the client is gone, or the answer overdue
	HealthCheckFinished(now time.Duration, member int, e AttemptResult, latency time.Duration, l LoadReport)
	GossipReceived(now time.Duration, peer int, message []byte)
	TimerFired(now time.Duration)
	Reconcile(now time.Duration)
	ClockCorrected(now, by time.Duration)                            // log positions and listed starts told until now lie later by so much, or earlier
	RequiredPosition(r RequestRef) (position time.Duration, ok bool) // that a read in hand must see; not ok for none
}

// Host is what a Decider may ask for.
type Host interface {
	StartAttempt(r RequestRef, member int, giveUpAfter time.Duration)
	CancelAttempt(r RequestRef, hop int)
	Reject(r RequestRef, comeBackIn time.Duration) // final: trying again is harmless
	Fail(r RequestRef)                             // final: promises nothing
	StartHealthCheck(member int)
	ReleaseServer(member int) // its index may stand for another from now on
	WatchEndpoints(on bool)
	FetchEndpoints()
	SendGossip(peer int, message []byte) // None: every peer
	SetTimer(after time.Duration)
	Log(message string)
}
