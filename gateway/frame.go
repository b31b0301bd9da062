package gateway

import (
	"time"
)

// FrameKind is the kind of a frame. The values are those of the wire protocol.
type FrameKind uint8

// The kinds of frames; docs/gateway-wire.md says which fields each has.
const (
	FrameHello          FrameKind = iota + 1 // the first frame on a connection, both ways
	FrameForward                             // execute a request
	FrameResult                              // the result of a request
	FrameCancel                              // the sender no longer waits for a request
	FrameOutcomeRequest                      // what became of a request?
	FrameStillRunning                        // the request is executing: a FrameResult will follow
	FrameNotExecuted                         // the request never arrived and cannot any more
	FrameCredit                              // so many more bytes may be sent
	FramePing
	FrameReject // in place of a FrameHello, with the reason
)

// ResultStatus says how a request ended at the remote site. The values are those of the wire protocol.
type ResultStatus uint8

// The statuses of a FrameResult.
const (
	StatusServed   ResultStatus = iota + 1
	StatusRejected              // nothing was executed
	StatusUnknown               // it failed after it may have been executed, or its outcome was forgotten
	StatusInvalid               // the statement is invalid, as the frame's Code says; nothing was executed
)

// MaxDataBytes is the longest statement or value that a frame carries, in bytes.
const MaxDataBytes = 512 << 10

// Frame is what goes over the link. Which fields count depends on its kind; docs/gateway-wire.md has the table. Frames
// are encoded as arrays of all fields, in this order, whatever the kind: that is the wire format, so the fields are not
// grouped.
type Frame struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // package msgpack reads the tag: fields by place, not by name

	Kind          FrameKind
	ID            uint64 // of the request, unique at its sender
	AttemptNumber uint32
	Serial        uint64 // Forward, OutcomeRequest: number of the forwarded request, rising over all of its sender's
	Group         int64
	Timeout       time.Duration // Forward: how long its sender will wait
	MaxAttempts   uint32        // Forward: attempts that may be made at the remote site
	Write         bool          // Forward
	After         int64         // Forward: replication position that a read must see, Unix milliseconds; 0 for none
	Data          []byte        // Forward: the statement; Result: the rows
	Status        ResultStatus
	Code          string // Result: SQLSTATE
	Reason        string
	RetryAfter    time.Duration // Result, rejected: when to retry
	Role          uint8         // Result: of the server that answered, 1 primary, 2 replica
	// ReplicaPosition is the replication position that a Result reports, Unix milliseconds; 0 for none.
	ReplicaPosition  int64
	Age              time.Duration // Result: how old the answer may have been when it was sent
	AgeKnown         bool          // Result: Age is known
	CreditBytes      int64         // Credit, Hello
	Epoch            uint64        // Hello: of this start of the instance
	ConnectionNumber uint64        // Hello: rising
	Site             string        // Hello
}

// frameOverhead is what a frame with data counts for in the credit beside its data, in bytes.
const frameOverhead = 64

// creditCost returns what a frame takes of the credit, in bytes. Frames without data are free: the limit on requests in
// flight bounds their number.
func (f *Frame) creditCost() int64 {
	if f.Kind != FrameForward && f.Kind != FrameResult || len(f.Data)+len(f.Reason) == 0 {
		return 0
	}
	return int64(len(f.Data)) + int64(len(f.Reason)) + frameOverhead
}
