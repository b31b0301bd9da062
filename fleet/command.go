package fleet

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Operations of a Command.
const (
	opNone         uint8 = iota // the entry that a leader starts its term with
	opDeclareLease              // Lease exists; its leaseholder must report progress within Bound
	opGrantLease                // Target becomes the leaseholder, in the term after Term; without effect in any other term
	opVacateLease               // nobody holds Lease, which was in Term
	opJoin                      // Front joins the fleet
	opLeave                     // Target, in Incarnation, leaves the fleet
	opAddVoter                  // Target at Address becomes a voter
	opRemoveVoter               // Target becomes a follower
	opPutValue                  // Value under Key, by the holder of Lease in Term; Prev is the value's index before, 0 for none
)

// Command is one change of the replicated state. It is one flat array for all operations, each of which uses the fields that are its
// own: the log holds that encoding, so the fields can't be grouped.
type Command struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format      uint32
	Op          uint8
	Lease       string
	Term        uint64
	Target      string
	Incarnation uint64
	RequestSeq  uint64 // Seq of the leaseholder's report that was granted: its lease counts from when it sent that
	Bound       time.Duration
	LostBy      string // the front that lost the lease, and its recent losses
	LossCount   uint32
	Reason      string
	Address     string
	Front       *Front
	Key         string
	PrevIndex   uint64
	Value       []byte
	Requester   string // the front whose request this is, and the request's ID
	RequestID   uint64
}

// Encode encodes the command for the log.
func (c *Command) Encode() []byte {
	if c.Format == 0 {
		c.Format = 1
	}
	b, err := msgpack.Marshal(c)
	if err != nil {
		panic(fmt.Sprint("encode a command: ", err)) // our own types always encode
	}
	return b
}
