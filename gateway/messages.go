package gateway

import (
	"time"
)

// What two sites say to each other.

// State is how the link stands.
type State uint8

const (
	Joining State = iota // never yet up
	Up
	Down
)

var stateNames = [...]string{"joining", "up", "down"}

func (s State) String() string { return stateNames[s] }

// Kind is the sort of a frame.
type Kind uint8

const (
	Hello  Kind = iota + 1 // the first on a connection, both ways
	Cross                  // run this
	Result                 // what came of it
	Cancel                 // nobody waits for it any more
	Ask                    // what became of it?
	Still                  // it is in hand: a Result will follow
	Never                  // it never came, and will not
	Credit                 // so many more bytes may come
	Ping
	Refuse // in place of a Hello: why not
)

// Word is how a crossing ended at the far site.
type Word uint8

const (
	Served     Word = iota + 1
	Rejected        // nothing ran
	MayHaveRun      // it failed there, or is not known there any more
	Senseless       // its Code says why; nothing ran
)

// Frame is what goes over the link. Which fields count, its Kind says; docs/gateway-wire.md has the table.
type Frame struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // fields by place, not by name

	Kind   Kind
	ID     uint64 // of the request, its sender's own
	Try    uint32
	Serial uint64 // Cross, Ask: of the crossing, rising over all of its sender's
	Group  int64
	Wait   time.Duration // Cross: how long its sender will wait
	Grant  uint32        // Cross: attempts that it may make there
	Write  bool          // Cross
	After  int64         // Cross: position of the log that a read must see, Unix milliseconds; 0 for none
	Data   []byte        // Cross: the statement; Result: the rows
	Word   Word
	Code   string
	Reason string
	Come   time.Duration // Result, rejected: when to come again
	Role   uint8         // Result: of who answered, 1 primary, 2 replica
	Place  int64         // Result: the position told, Unix milliseconds of the members' log; 0 for none
	Age    time.Duration // Result: how old the answer may have been when it left
	Aged   bool          // Result: Age is known
	Bytes  int64         // Credit, Hello
	Epoch  uint64        // Hello: of this start of the instance
	Number uint64        // Hello: of this connection, rising
	Site   string        // Hello
}

// cost is what a frame takes of the credit; frames without data pass always: crossings in hand bound their number.
func (f *Frame) cost() int64 {
	if f.Kind != Cross && f.Kind != Result || len(f.Data)+len(f.Reason) == 0 {
		return 0
	}
	return int64(len(f.Data)) + int64(len(f.Reason)) + frameCost
}

const frameCost = 64 // bytes that a frame counts for beside its data

// Crossing is an attempt to the far site.
type Crossing struct {
	ID      uint64
	Try     uint32
	Group   int64
	Until   time.Duration // when its request gives it up; nothing is held longer
	Grant   uint32
	Write   bool
	After   int64 // position that a read must see, 0 for none
	Message []byte
}

// End is how a crossing ended.
type End struct {
	ID     uint64
	Try    uint32
	Never  bool          // it never ran
	Full   bool          // there was no room for it
	Result *Frame        // what the far site told; nil where it may have run and nothing is known
	Took   time.Duration // since it was sent: the age that an answer may have gained on its way
}

// Start is a crossing of the peer that is to run here, or is to be called off.
type Start struct {
	Run   uint64 // by which Concluded names it
	Abort bool
	Group int64
	Wait  time.Duration
	Grant uint32
	After int64
	Data  []byte
}
