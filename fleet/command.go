package fleet

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Operations of a Command.
const (
	opNone         uint8 = iota // no operation: the first entry of a leader's term
	opDeclareLease              // declares Lease, whose leaseholder must report progress within Bound
	opGrantLease                // makes Target the holder of Lease in the term after Term; no effect if Lease is not in Term
	opVacateLease               // records that no front holds Lease; no effect if Lease is not in Term
	opJoin                      // adds Front to the fleet, or updates it
	opLeave                     // removes the front Target from the fleet, unless it has another incarnation than Incarnation
	opAddVoter                  // makes Target, at Address, a voter
	opRemoveVoter               // makes the voter Target a follower
	opPutValue                  // stores Value under Key for the holder of Lease in Term; PrevIndex is the stored value's index, 0 for none
)

// Command is one change of the replicated state. All operations use the same struct, and each uses only some of its fields. The log
// holds the struct as one flat array, so the fields can't be grouped.
type Command struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format      uint32
	Op          uint8
	Lease       string
	Term        uint64
	Target      string
	Incarnation uint64
	RequestSeq  uint64 // the Seq of the new leaseholder's latest report: the lease counts from when the holder sent it
	Bound       time.Duration
	LostBy      string // the front that let the lease expire or made no progress, "" for none
	LossCount   uint32 // how often LostBy recently lost the lease
	Reason      string
	Address     string
	Front       *Front
	Key         string
	PrevIndex   uint64
	Value       []byte
	Requester   string // the front that requested the command, "" for the leader
	RequestID   uint64 // the ID of that request
}

// Encode encodes the command for the log. It sets Format where that is 0.
func (c *Command) Encode() []byte {
	if c.Format == 0 {
		c.Format = 1
	}
	b, err := msgpack.Marshal(c)
	if err != nil {
		panic(fmt.Sprint("encode a command: ", err)) // the type is always encodable
	}
	return b
}
