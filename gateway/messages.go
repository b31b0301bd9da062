package gateway

import (
	"time"
)

// What two sites say to each other.

// State is how the link stands.
type State uint8

const (
	Connecting State = iota // never yet up
	Up
	Down
)

var stateNames = [...]string{"joining", "up", "down"}

func (s State) String() string { return stateNames[s] }

// FrameKind is the sort of a frame.
type FrameKind uint8

const (
	FrameHello          FrameKind = iota + 1 // the first on a connection, both ways
	FrameForward                             // run this
	FrameResult                              // what came of it
	FrameCancel                              // nobody waits for it any more
	FrameOutcomeRequest                      // what became of it?
	FrameStillRunning                        // it is in hand: a Result will follow
	FrameNotExecuted                         // it never came, and will not
	FrameCredit                              // so many more bytes may come
	FramePing
	FrameReject // in place of a Hello: why not
)

// ResultStatus is how a crossing ended at the far site.
type ResultStatus uint8

const (
	StatusServed   ResultStatus = iota + 1
	StatusRejected              // nothing ran
	StatusUnknown               // it failed there, or is not known there any more
	StatusInvalid               // its Code says why; nothing ran
)

// Frame is what goes over the link. Which fields count, its Kind says; docs/gateway-wire.md has the table.
type Frame struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // fields by place, not by name

	Kind             FrameKind
	ID               uint64 // of the request, its sender's own
	AttemptNumber    uint32
	Serial           uint64 // Cross, Ask: of the crossing, rising over all of its sender's
	Group            int64
	Timeout          time.Duration // Cross: how long its sender will wait
	MaxAttempts      uint32        // Cross: attempts that it may make there
	Write            bool          // Cross
	After            int64         // Cross: position of the log that a read must see, Unix milliseconds; 0 for none
	Data             []byte        // Cross: the statement; Result: the rows
	Status           ResultStatus
	Code             string
	Reason           string
	RetryAfter       time.Duration // Result, rejected: when to come again
	Role             uint8         // Result: of who answered, 1 primary, 2 replica
	ReplicaPosition  int64         // Result: the position told, Unix milliseconds of the members' log; 0 for none
	Age              time.Duration // Result: how old the answer may have been when it left
	AgeKnown         bool          // Result: Age is known
	CreditBytes      int64         // Credit, Hello
	Epoch            uint64        // Hello: of this start of the instance
	ConnectionNumber uint64        // Hello: of this connection, rising
	Site             string        // Hello
}

// cost is what a frame takes of the credit; frames without data pass always: crossings in hand bound their number.
func (f *Frame) cost() int64 {
	if f.Kind != FrameForward && f.Kind != FrameResult || len(f.Data)+len(f.Reason) == 0 {
		return 0
	}
	return int64(len(f.Data)) + int64(len(f.Reason)) + frameCost
}

const frameCost = 64 // bytes that a frame counts for beside its data

// ForwardedRequest is an attempt to the far site.
type ForwardedRequest struct {
	ID            uint64
	AttemptNumber uint32
	Group         int64
	Deadline      time.Duration // when its request gives it up; nothing is held longer
	MaxAttempts   uint32
	Write         bool
	After         int64 // position that a read must see, 0 for none
	Message       []byte
}

// Outcome is how a crossing ended.
type Outcome struct {
	ID            uint64
	AttemptNumber uint32
	NotExecuted   bool          // it never ran
	Overloaded    bool          // there was no room for it
	Result        *Frame        // what the far site told; nil where it may have run and nothing is known
	Elapsed       time.Duration // since it was sent: the age that an answer may have gained on its way
}

// PeerRequest is a crossing of the peer that is to run here, or is to be called off.
type PeerRequest struct {
	Execution   uint64 // by which Concluded names it
	Canceled    bool
	Group       int64
	Timeout     time.Duration
	MaxAttempts uint32
	After       int64
	Data        []byte
}
