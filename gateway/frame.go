package gateway

import (
	"time"
)

// FrameKind is the kind of a frame. The values are those of the wire protocol.
type FrameKind uint8

// The kinds of frames; docs/gateway-wire.md says which fields each has.
const (
	FrameHello          FrameKind = iota + 1 // the first frame on a connection, in each direction
	FrameForward                             // execute a request
	FrameResult                              // the result of a request
	FrameCancel                              // cancels a request that the sender no longer waits for
	FrameOutcomeRequest                      // asks for the outcome of a request
	FrameStillRunning                        // the request is executing; a FrameResult will follow
	FrameNotExecuted                         // the request was not received and can no longer be
	FrameCredit                              // allows the receiver to send more bytes
	FramePing                                // a heartbeat; also confirms that a connection works in both directions
	FrameReject                              // rejects a FrameHello, with the reason
)

// ResultStatus says how a request ended at the remote site. The values are those of the wire protocol.
type ResultStatus uint8

// The statuses of a FrameResult.
const (
	StatusSucceeded ResultStatus = iota + 1
	StatusRejected               // nothing was executed
	StatusUnknown                // the request may have been executed: it failed, for example, or its outcome was evicted
	StatusInvalid                // the statement is invalid, as the frame's Code says; nothing was executed
)

// MaxDataBytes is the maximum size of the statement or the rows that a frame carries, in bytes.
const MaxDataBytes = 512 << 10

// Frame is a message between the two ends of a link. Its kind determines which fields are used; docs/gateway-wire.md has the
// table. A frame of any kind is encoded as an array of all fields in this order. This is the wire format, so the
// fields must not be reordered or grouped.
type Frame struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // package msgpack reads the tag: fields by place, not by name

	Kind          FrameKind
	ID            uint64 // of the request, unique at the instance that forwards it
	AttemptNumber uint32
	Serial        uint64 // Forward, OutcomeRequest: number of the forwarded request, increasing over all requests of its sender; Hello: features
	Group         int64
	Timeout       time.Duration // Forward: time that the sender still waits for the result
	MaxAttempts   uint32        // Forward: maximum number of attempts at the remote site
	Write         bool          // Forward: the request writes
	MinPosition   int64         // Forward: replication position that a read must see, Unix milliseconds; 0 for none
	Data          []byte        // Forward: the statement; Result: the rows
	Status        ResultStatus
	Code          string        // Result: SQLSTATE
	Reason        string        // Result, Reject: the reason of the error
	RetryAfter    time.Duration // Result with StatusRejected: time after which a retry makes sense
	Role          uint8         // Result: role of the server that answered: 1 primary, 2 replica
	// ReplicaPosition is the replication position that a Result reports, Unix milliseconds; 0 for none.
	ReplicaPosition  int64
	Age              time.Duration // Result: maximum age of the data when the frame was sent
	AgeKnown         bool          // Result: Age is known
	CreditBytes      int64         // Hello: bytes that the receiver may have in flight; Credit: bytes that it may send in addition
	Epoch            uint64        // Hello: identifies this start of the sender's instance
	ConnectionNumber uint64        // Hello: increasing within an epoch
	Site             string        // Hello: name of the sender's site
}

// frameOverhead is added to the size of a frame's data when the frame is counted against the credit, in bytes.
const frameOverhead = 64

// creditCost returns the bytes of credit that a frame uses. Frames without data use none: the limit on requests in flight
// bounds their number.
func (f *Frame) creditCost() int64 {
	if f.Kind != FrameForward && f.Kind != FrameResult || len(f.Data)+len(f.Reason) == 0 {
		return 0
	}
	return int64(len(f.Data)) + int64(len(f.Reason)) + frameOverhead
}
