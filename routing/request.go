package routing

import "time"

// RequestRef identifies a request in flight: the index of its slot, and the slot's generation, which distinguishes its uses.
type RequestRef struct {
	Slot, Generation uint32
}

// Request is a request as it was received.
type Request struct {
	Ref          RequestRef
	Type         int
	Customer     int    // None where there are no customers
	Session      uint64 // hash of the session's name, 0 for none
	Group        int
	Timeout      time.Duration // from its receipt until the client gives it up
	ExpectedWork time.Duration // rough estimate by the client, 0 for none
	TokenAge     time.Duration // time since the session's last write was committed, where clients carry that; 0 for none
	MaxStaleness time.Duration // its type's, or a shorter one that was in force when it was received
	DedupWindow  time.Duration // its type's, or a shorter one
	Retry        bool          // the client marked it as a retry
	Write        bool
}

// RequestType has the settings that the requests of a type share.
type RequestType struct {
	LatencyObjective time.Duration
	Deadline         time.Duration // from when the client sent the request
	WorkMultiple     float64       // the latency objective grows by this multiple of a request's ExpectedWork
	PriorityWeight   float64       // value of an answer within the latency objective
	LateFraction     float64       // fraction of that value which a later answer has, 0 to 1
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      time.Duration // how long the DedupScope remembers an idempotency key
	Consistency      Consistency
	MaxStaleness     time.Duration // of BoundedStaleness
}

// Consistency says how recent the data must be that a request of a type reads.
type Consistency uint8

// Levels of consistency; the last two need the primary.
const (
	Eventual         Consistency = iota // every server will do
	BoundedStaleness                    // no older than MaxStaleness when the request was received
	ReadYourWrites                      // all that the request's session has written
	Strong                              // all that was written before the request was received
	Write                               // a write: only the primary takes it
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
	ScopeGroup DedupScope = iota // those of the request's group
	ScopeZone                    // those of the zone in which it ran
	ScopeAll                     // all
)

// Customer has the settings of one customer.
type Customer struct {
	RequestsPerSecond float64
	Quota             float64 // share of the capacity, 0 to 1
}
