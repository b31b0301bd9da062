package routing

import "time"

// RequestRef identifies a request in flight. Slot is the index of its slot. Generation distinguishes the uses of the
// slot.
type RequestRef struct {
	Slot, Generation uint32
}

// Request is a request as it was received.
type Request struct {
	Ref          RequestRef
	Type         int
	Customer     int    // None if there are no customers
	Session      uint64 // hash of the session's name, 0 if there is none
	Group        int
	Timeout      time.Duration // time from receipt until the client gives up
	ExpectedWork time.Duration // rough estimate by the client, 0 if there is none
	TokenAge     time.Duration // time since the commit of the session's last write, if clients carry it; otherwise 0
	MaxStaleness time.Duration // the type's, or a shorter one that was in force when the request was received
	DedupWindow  time.Duration // the type's, or a shorter one
	FirstRunAge  time.Duration // time since the start of an earlier attempt that may have run; 0 if there is none
	Retry        bool          // the client marked the request as a retry
	Write        bool
}

// RequestType holds the settings shared by the requests of a type.
type RequestType struct {
	LatencyObjective time.Duration
	Deadline         time.Duration // measured from when the client sent the request
	WorkMultiple     float64       // the latency objective grows by ExpectedWork times this factor
	PriorityWeight   float64       // value of an answer within the latency objective
	LateFraction     float64       // fraction of that value that a later answer has, 0 to 1
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration // time for which the servers of DedupScope remember an idempotency key
	Consistency      Consistency
	MaxStaleness     time.Duration // used with BoundedStaleness
}

// Consistency says how recent the data that a request reads must be.
type Consistency uint8

// Levels of consistency. Strong and Write need the primary.
const (
	Eventual         Consistency = iota // any server may answer
	BoundedStaleness                    // no older than MaxStaleness when the request was received
	ReadYourWrites                      // includes everything that the request's session has written
	Strong                              // includes everything written before the request was received
	Write                               // the request is a write, which only the primary accepts
)

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// Levels of idempotency.
const (
	Idempotent     Idempotency = iota // may run again
	IdempotencyKey                    // carries a key by which the servers of DedupScope drop a repeat within DedupWindow
	NonIdempotent                     // must never run twice
)

// DedupScope is the set of servers that remember an idempotency key.
type DedupScope uint8

// Scopes of deduplication.
const (
	ScopeGroup DedupScope = iota // servers of the request's group
	ScopeZone                    // servers of the zone in which the request ran
	ScopeAll                     // all servers
)

// Customer holds the settings of one customer.
type Customer struct {
	RequestsPerSecond float64
	Quota             float64 // share of the capacity, 0 to 1
}
