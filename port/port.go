// Package port is the line between the decisions and whatever carries them.
//
// A host (the bench adapter today, a socket front later) turns what it hears into the plain types
// below and calls a Decider; the Decider asks for what it wants through Host. Nothing here knows a
// protocol, and nothing here decides.
//
// Times are spans since the instance started. A log position is given on the same scale: it is the
// moment up to which a member has applied every commit. Ids are small indices, given out at the door.
package port

import "time"

// None stands for an index that is not known or not given.
const None = -1

// Ref names a request in hand: a place in the slab, reused, and the turn that tells its uses apart.
type Ref struct {
	Place, Turn uint32
}

// ReadLevel says how recent the data of a request type must be.
type ReadLevel uint8

const (
	AnyData ReadLevel = iota // every member will do
	Bounded                  // no older than the type's Bound when submitted
	Session                  // all that its session has written
	Current                  // all that was written before the request came in
	Write                    // only the primary takes it
)

// Effect says whether a request may run again.
type Effect uint8

const (
	Repeatable Effect = iota // may run again
	Referenced               // carries a mark by which Scope knows a repeat, for Window
	OnceOnly                 // must never run twice
)

// Scope is the set of members that drops the repeats of a referenced request.
type Scope uint8

const (
	ScopeGroup Scope = iota
	ScopeZone
	ScopeAll
)

// Check is what a member does with a read for which it lags too far.
type Check uint8

const (
	Unchecked Check = iota // answers from what it has
	Refuses                // turns it away at once
	Holds                  // waits for a while, then turns it away
)

// Listed says what the list tells of roles.
type Listed uint8

const (
	RoleNever   Listed = iota
	RoleAtStart        // as the day began
	RoleLate           // some seconds late
)

// Role is a member's part in its group.
type Role uint8

const (
	Unknown Role = iota
	Primary
	Replica
)

// Ending is how an attempt or a probe ended.
type Ending uint8

const (
	Succeeded   Ending = iota
	Errored            // answered with an error, or lost its role while holding a write: may have run
	Full               // turned away unseen
	TimedOut           // may have run, may still run
	Unreachable        // no connection
	Broken             // the connection failed: may have run
	Cancelled          // revoked: may have run
	Void               // never sent
	Missed             // not the primary for a write, too far behind for a read: nothing ran
)

var endingNames = [...]string{"committed", "errored", "full", "timed out", "unreachable", "broken", "withdrawn",
	"void", "missed"}

func (e Ending) String() string { return endingNames[e] }

// NeverRan tells whether the ending proves that nothing ran.
func (e Ending) NeverRan() bool { return e == Full || e == Unreachable || e == Void || e == Missed }

// Request is a request as it comes in.
type Request struct {
	Ref      Ref
	Type     int
	Customer int    // None where there are none
	Session  uint64 // fingerprint of the session's name, 0 for none
	Group    int
	Budget   time.Duration // until the client gives this try up
	Hint     time.Duration // rough work, 0 where not told
	TokenAge time.Duration // since the session's last write committed, where tokens are carried; 0 for none
	Bound    time.Duration // its type's, or a tighter one that was in force when it came
	Window   time.Duration // its type's, or a shorter one
	Retry    bool          // marked by the client as a repetition
	Write    bool
}

// Load is what a member reports of itself; None (-1) in a field that it did not report.
type Load struct {
	Held, Waiting  float64
	Position       time.Duration
	HasPosition    bool
	Role           Role // Unknown where not reported
	Busy, Service  float64
	Rate, ErrsRate float64
}

// Outcome is the ending of one attempt.
type Outcome struct {
	Ref         Ref
	Hop         int // which attempt of the request, from 0
	Member      int
	Ending      Ending
	Closed      bool // the request is concluded, by this or before
	Latency     time.Duration
	Position    time.Duration
	HasPosition bool
	Role        Role
	Load        Load
}

// State is what the list says of a member.
type State uint8

const (
	Serving State = iota
	Draining
	Removed
	Away // well as far as is known, but the way there is cut: nothing can go there until it is Serving again
)

var stateNames = [...]string{"serving", "draining", "removed", "away"}

func (s State) String() string { return stateNames[s] }

// Entry is a line of the list.
type Entry struct {
	Member, Zone, Kind, Group int
	State                     State
	Weight                    float64
	Primary                   bool
	Started                   time.Duration
	HasStarted                bool // false: in a distant past
}

// ListKind is how a list relates to the one before.
type ListKind uint8

const (
	Changes ListKind = iota
	Whole
	Cached // whole, perhaps out of date
	Failed // no entries: a call failed or the subscription broke
)

// Topology is where the instance stands.
type Topology struct {
	Zone, Zones   int
	Fronts, Front int
	Ask           bool // the list answers only when asked
	RetriesMarked bool // clients mark their retries
	Roles         Listed
	Tick          time.Duration
}

// RequestType is one request type.
type RequestType struct {
	TargetLatency, Deadline time.Duration
	Stretch                 float64 // the target latency grows by this multiple of the request's own work
	Value, Late             float64 // value in time, and the fraction of it that a late answer is worth
	Effect                  Effect
	Scope                   Scope
	Window                  time.Duration // how long the scope remembers a referenced request
	Level                   ReadLevel
	Bound                   time.Duration
}

// Customer is one customer and its share of the service.
type Customer struct {
	PerSecond, Share float64
}

// Replication is how the copies follow and what they check.
type Replication struct {
	Check         Check
	Hold          time.Duration
	Carried       bool // the request brings the age of its session's last write; else the router remembers
	AnswersTell   bool // every answer bears a position
	WritesWaited  bool // a write is answered once a replica holds it
	PiggybackLoad bool // answers carry load reports; else probes alone do, if any
}

// Guardrails are the figures of the rules.
type Guardrails struct {
	AnswerSlack, DrainGrace, AskWithin time.Duration
	ColdShare, FallMultiple            float64
	Cold, Fall                         time.Duration
}

// Allowance is what the site permits.
type Allowance struct {
	Attempts                      int
	Probes, Peers, Cancels, Twice bool
	ComeBackMax                   time.Duration // 0 where no time to come back may be named
	DialTimeout, LinkIdle         time.Duration
}

// Tariff is what things cost, as a fraction of all the value, and what a customer's excess is worth.
type Tariff struct {
	CrossZone, Waste, Probe, LateEnd, Peer, OverShare float64
}

// Decider takes what comes in. Reconcile follows the last event of each batch.
type Decider interface {
	List(now time.Duration, kind ListKind, version int64, entries []Entry)
	Begin(now time.Duration, t Request)
	Ended(now time.Duration, o Outcome)
	Left(now time.Duration, r Ref) // the client is gone, or the answer overdue
	Probed(now time.Duration, member int, e Ending, latency time.Duration, l Load)
	Heard(now time.Duration, peer int, message []byte)
	Woken(now time.Duration)
	Reconcile(now time.Duration)
	Redate(now, by time.Duration)                   // log positions and listed starts told until now lie later by so much, or earlier
	Target(r Ref) (position time.Duration, ok bool) // that a read in hand must see; not ok for none
}

// Host is what a Decider may ask for.
type Host interface {
	Submit(r Ref, member int, giveUpAfter time.Duration)
	Cancel(r Ref, hop int)
	Reject(r Ref, comeBackIn time.Duration) // final: trying again is harmless
	Fail(r Ref)                             // final: promises nothing
	Probe(member int)
	Forget(member int) // its index may stand for another from now on
	Watch(on bool)
	Fetch()
	Tell(peer int, message []byte) // None: every peer
	Wake(after time.Duration)
	Log(message string)
}
