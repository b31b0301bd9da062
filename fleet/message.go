package fleet

import "time"

// Kind is the type of a message.
type Kind uint8

// Kinds of messages. Their numbers are part of the protocol: new kinds are added at the end.
const (
	KindHello           Kind = iota // the first message on a link, in both directions
	KindReject                      // rejects a link; Reason says why
	KindPing                        // keeps an idle link alive; between voters it also reports their Floors
	KindConsensus                   // a raft message between voters
	KindHeartbeat                   // says that the leader is alive and has a majority; flooded
	KindEntries                     // log entries in the order of their indices
	KindSnapshot                    // the complete replicated state
	KindEntriesRequest              // requests the log entries after an index
	KindMembership                  // membership records, forwarded to the leader
	KindRequest                     // a Request, forwarded to the leader
	KindReply                       // a LeaderReply, forwarded to a front
	KindBroadcast                   // a leaseholder's data for all fronts; flooded
	KindMirrorPositions             // the positions of the sender's mirrors; the receiver sends its newer mirrors
	KindDatagram                    // data from one front to another; unreliable
	KindConfigLeases                // configuration leases that the leader renewed, forwarded to their fronts
	KindSnapshotChunk               // a part of the replicated state, where the state is large
	kindCount
)

// kindNames has the name of each Kind at its number.
var kindNames = [...]string{"hello", "reject", "ping", "consensus", "heartbeat", "entries", "snapshot", "entries request",
	"membership", "request", "reply", "broadcast", "mirror positions", "datagram", "config leases", "snapshot chunk"}

// String returns the kind's name, for errors and logs.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "unknown"
}

// Message is a message on a link. Each kind of message uses only some of the fields. The method check validates a message that was
// received. A message is encoded as an array: new fields are only added at its end.
type Message struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Kind Kind
	From string // the front that created the message, not the one that forwarded it

	// Index is the index of a replicated state: the one that a snapshot message carries, otherwise that of the forwarder.
	Index uint64

	// Term is the leader's term (KindHeartbeat, KindReply; 0 in replies of older programs), the term of a lease (KindBroadcast),
	// or the size of the complete state in bytes (KindSnapshotChunk).
	Term uint64

	// Number is the number of a heartbeat or a broadcast within its term, how often a message was forwarded (KindRequest, KindReply,
	// KindDatagram), or the offset of a chunk in bytes (KindSnapshotChunk). In a KindEntriesRequest, a value other than 0 allows the
	// receiver to send the complete state in chunks, where the missing entries are no longer cached and the state is large.
	Number uint64

	Name      string // the receiver (KindReply, KindDatagram) or the lease (KindBroadcast)
	Reason    string // the reason of a rejection (KindReject), or the subsystem that a datagram is for (KindDatagram)
	Data      []byte
	Hello     *Handshake
	Members   []MembershipRecord
	Entries   []LogEntry
	Request   *Request
	Reply     *LeaderReply
	Positions []Position
}

// Handshake is a front's description of itself on a new link.
type Handshake struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Fleet       string // the id of its fleet; fronts of other fleets are rejected
	Name        string
	Incarnation uint64
	Zone        string
	Address     string
	Format      uint32 // the newest format of the replicated state that the sender can read
	Voter       bool
	Dialled     bool  // the sender dialled the link
	Floor       Floor // what the disk of the sender holds, where the sender is a voter
	KnownFloor  Floor // what the sender knows of the disk of the receiver
}

// MembershipRecord is a front's periodic report that it is alive, with the leases that it renews. Seq rises by one with each report.
// The record is encoded as one flat array, so its fields can't be grouped.
type MembershipRecord struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name             string
	Incarnation      uint64
	Seq              uint64
	Zone             string
	Address          string
	Version          string // the version of the program
	Index            uint64 // the index of the front's replicated state
	AcceptsLeases    bool   // the front may be granted leases
	Leaving          bool   // the front is shutting down
	Renewals         []LeaseRenewal
	ActiveVersion    uint64 // the configuration version that the front uses, 0 where none are published
	WantsConfigLease bool   // the front requests a configuration lease on ActiveVersion
	PendingVersion   uint64 // a second version on which the front requests a lease, valid where HasPending
	HasPending       bool
	Digests          []Digest // the digests of the subsystems on top of the fleet
}

// Digest is a subsystem's summary of the state of its front, for the holder of the subsystem's lease. It must be small, because each
// membership record carries it.
type Digest struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Subsystem string
	Data      []byte
}

// MemberReport is a front's latest digest of one subsystem, with the rest of the membership record that carried it.
type MemberReport struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Front            string
	Incarnation      uint64
	Zone             string
	Age              time.Duration // the time since the leader received the record, on the leader's clock
	ActiveVersion    uint64
	WantsConfigLease bool
	Leaving          bool
	Index            uint64 // the index of the front's replicated state when it sent the record
	Data             []byte // the data of the digest
}

// LeaseRenewal requests the renewal of a lease, and reports the progress of its holder.
type LeaseRenewal struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Lease    string
	Term     uint64
	Progress uint64 // a counter that rises when the leaseholder makes progress
}

// Request is a request to the leader. The requester sends it again with the same ID until it is answered.
type Request struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	ID      uint64
	Type    uint8
	Lease   string
	Term    uint64
	To      string
	Command []byte

	Declarations []Declaration // more leases to declare, where Command declares one
}

// Declaration declares a lease that one of the fronts should hold, see Node.DeclareLease.
type Declaration struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Lease string
	Bound time.Duration // the time within which the leaseholder must report progress, 0 for no bound
}

// Types of a Request.
const (
	RequestProposal uint8 = iota // proposes Command for the log
	RequestRelease               // says that the holder of Lease in Term stopped using it; To is the successor that it proposes
	RequestTransfer              // asks for the transfer of Lease to To, or to a front that the leader chooses where To is ""
	RequestDigests               // asks for all fronts' digests of the subsystem named by Lease
)

// LeaderReply is a message from the leader to one front.
type LeaderReply struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	RenewedSeq           uint64         // the Seq of the membership record whose leases are renewed
	Renewed              []LeaseRenewal // the leases that are renewed
	Release              string         // a lease that the front is asked to release, "" for none
	Term                 uint64         // the term of the lease Release
	TransferTo           string         // the front to which Release is to be transferred, "" for one that the leader chooses
	RequestID            uint64         // the request that is answered
	Error                string         // the error of the request, "" where it succeeded
	DisplacedIncarnation uint64         // an incarnation of the front that was displaced by another process with its name, 0 for none
	Reports              []MemberReport // the answer to RequestDigests
}

// LogEntry is an entry of the replicated log: an encoded Command and its index.
type LogEntry struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Index uint64
	Data  []byte
}

// Position is the position of a mirror (KindMirrorPositions) or a configuration lease that was renewed (KindConfigLeases).
type Position struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name    string // the lease of the mirror, or the front of the configuration lease
	Term    uint64 // the term of the mirror, or the incarnation of the front
	Index   uint64 // the index of the mirror, or the Seq of the record that requested the configuration lease
	Version uint64 // the version of the configuration lease
}

// Limits on what a peer may send.
const (
	MaxMessageBytes = 4 << 20 // bytes of an encoded message
	maxMembers      = 512     // membership records, or positions, in a message
	maxReasonBytes  = 1 << 10 // bytes of a rejection's reason
	maxNameBytes    = 120     // bytes of a name or an address
	maxRenewals     = 256     // lease renewals in a membership record
	maxDigests      = 8       // digests in a membership record
	maxDigestBytes  = 2 << 10 // bytes of one digest
	maxDeclarations = 512     // declarations in a request, besides that in its Command
)

// check validates a message from a peer before any part of it is stored. The error is a ProtocolError.
func (m *Message) check() error {
	if m.Kind >= kindCount {
		return errUnknownKind
	}
	tooLong := len(m.From) > maxNameBytes || len(m.Name) > maxNameBytes || len(m.Reason) > maxReasonBytes
	if tooLong || len(m.Members) > maxMembers || len(m.Positions) > maxMembers {
		return errMessageTooLarge
	}
	for i := range m.Members {
		if err := m.Members[i].check(); err != nil {
			return err
		}
	}
	if !m.hasRequiredFields() {
		return missingField(m.Kind)
	}
	return nil
}

// check validates a membership record. The error is a ProtocolError.
func (report *MembershipRecord) check() error {
	if report.Name == "" || len(report.Name) > maxNameBytes || len(report.Zone) > maxNameBytes || len(report.Address) > maxNameBytes ||
		len(report.Version) > maxNameBytes || len(report.Renewals) > maxRenewals || len(report.Digests) > maxDigests {
		return errInvalidRecord
	}
	for _, d := range report.Digests {
		if len(d.Subsystem) > maxNameBytes || len(d.Data) > maxDigestBytes {
			return errDigestTooLong
		}
	}
	return nil
}

// hasRequiredFields reports whether a message has the fields that its kind requires, within their limits.
func (m *Message) hasRequiredFields() bool {
	switch m.Kind {
	case KindHello:
		return m.Hello != nil && m.Hello.Name != "" && len(m.Hello.Name) <= maxNameBytes && len(m.Hello.Address) <= maxNameBytes
	case KindRequest:
		return m.Request != nil && m.From != "" && m.Request.validDeclarations()
	case KindReply:
		return m.Reply != nil && m.Name != ""
	case KindDatagram:
		return m.Name != "" && m.From != "" && len(m.Reason) <= maxNameBytes
	case KindBroadcast:
		return m.Name != "" && m.From != ""
	}
	return true
}

// validDeclarations reports whether a request's declarations are within the limits on their number and their names.
func (q *Request) validDeclarations() bool {
	if len(q.Declarations) > maxDeclarations {
		return false
	}
	for _, d := range q.Declarations {
		if d.Lease == "" || len(d.Lease) > maxNameBytes {
			return false
		}
	}
	return true
}
