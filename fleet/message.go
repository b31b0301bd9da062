package fleet

import "time"

// Kind is the type of a message.
type Kind uint8

// Kinds of messages. Their numbers are part of the protocol: new ones are added at the end.
const (
	KindHello           Kind = iota // the first on a link, in both directions
	KindReject                      // the link is rejected; Reason says why
	KindPing                        // keeps an idle link alive
	KindConsensus                   // a raft message between voters
	KindHeartbeat                   // the leader is alive and has a majority; flooded
	KindEntries                     // log entries, in their order
	KindSnapshot                    // the complete replicated state
	KindEntriesRequest              // asks for entries behind an index
	KindMembership                  // membership records on their way to the leader
	KindRequest                     // a Request on its way to the leader
	KindReply                       // a LeaderReply on its way to a front
	KindBroadcast                   // a leaseholder's data for all fronts; flooded
	KindMirrorPositions             // the sender's mirror positions; the receiver sends what it has beyond them
	KindDatagram                    // from one front to another; unreliable
	KindConfigLeases                // configuration leases that the leader renewed, on their way to the fronts
	KindSnapshotChunk               // a chunk of the replicated state, where it is large
	kindCount
)

var kindNames = [...]string{"hello", "reject", "ping", "consensus", "heartbeat", "entries", "snapshot", "entries request",
	"membership", "request", "reply", "broadcast", "mirror positions", "datagram", "config leases", "snapshot chunk"}

// String returns the kind's name, for errors and logs.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "unknown"
}

// Message is what passes on a link; each kind uses the fields that are its own. Method check bounds what comes from outside. A
// message is encoded as an array: fields are only ever added at its end.
type Message struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Kind      Kind
	From      string // the originator, not the forwarder
	Index     uint64 // of the replicated state, at the forwarder
	Term      uint64 // of the leader (KindHeartbeat, KindReply; 0 from older programs), of a lease (KindBroadcast)
	Number    uint64 // of a heartbeat; of a broadcast within its term; how often it was forwarded (KindRequest, KindReply, KindDatagram)
	Name      string // the receiver (KindReply, KindDatagram), the lease (KindBroadcast)
	Reason    string // of a rejection; the subsystem that a datagram is for
	Data      []byte
	Hello     *Handshake
	Members   []MembershipRecord
	Entries   []LogEntry
	Request   *Request
	Reply     *LeaderReply
	Positions []Position
}

// Handshake is what a front says of itself on a new link.
type Handshake struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Fleet       string // its id; fronts of other fleets are rejected
	Name        string
	Incarnation uint64
	Zone        string
	Address     string
	Format      uint32 // newest format of the replicated state that it can read
	Voter       bool
	Dialled     bool  // the sender dialled the link
	Floor       Floor // of a voter, as on its disk
	KnownFloor  Floor // what the sender knows of the receiver's Floor
}

// MembershipRecord is a front's report that it is alive; Seq rises by one with each report. It is encoded as one flat array, so its fields
// can't be grouped.
type MembershipRecord struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name             string
	Incarnation      uint64
	Seq              uint64
	Zone             string
	Address          string
	Version          string // of the program
	Index            uint64 // of its replicated state
	AcceptsLeases    bool   // it may be granted leases
	Leaving          bool
	Renewals         []LeaseRenewal
	ActiveVersion    uint64 // the configuration version that it uses, 0 where none are published
	WantsConfigLease bool   // it asks for a configuration lease on ActiveVersion
	PendingVersion   uint64 // a second version that it asks for a lease on, where HasPending
	HasPending       bool
	Digests          []Digest // of the subsystems on top of the fleet
}

// Digest is a subsystem's summary of its front, for the holder of its lease. It is small, since each membership record carries it.
type Digest struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Subsystem string
	Data      []byte
}

// MemberReport is a front's digest as the leader has it.
type MemberReport struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Front            string
	Incarnation      uint64
	Zone             string
	Age              time.Duration // since the leader received it, on the leader's clock
	ActiveVersion    uint64
	WantsConfigLease bool
	Leaving          bool
	Index            uint64 // of the front's replicated state then
	Data             []byte
}

// LeaseRenewal asks for a lease to be renewed, and says how far its holder has come.
type LeaseRenewal struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Lease    string
	Term     uint64
	Progress uint64 // rises as the leaseholder makes progress
}

// Request is a request to the leader. The requester repeats it with the same ID until it is answered.
type Request struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	ID      uint64
	Type    uint8
	Lease   string
	Term    uint64
	To      string
	Command []byte

	Declarations []Declaration // further leases to declare, where Command declares one
}

// Declaration is a lease that some front should hold, see Node.DeclareLease.
type Declaration struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Lease string
	Bound time.Duration
}

// Types of a Request.
const (
	RequestProposal uint8 = iota // Command, for the log
	RequestRelease               // the holder of Lease in Term has stopped using it; To is the successor that it proposes
	RequestTransfer              // an operator asks for Lease to be transferred to To, or to whom the leader chooses
	RequestDigests               // all fronts' digests of the part named Lease
)

// LeaderReply is a message of the leader to one front.
type LeaderReply struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	RenewedSeq uint64         // the Seq of the report whose leases are renewed
	Renewed    []LeaseRenewal // those leases
	Release    string         // a lease that the front is asked to release, to TransferTo
	Term       uint64         // of Release
	TransferTo string
	RequestID  uint64         // the request that is answered
	Error      string         // "" where the request succeeded
	Displaced  uint64         // an incarnation that was displaced by another process of its name
	Reports    []MemberReport // answer to RequestDigests
}

// LogEntry is an entry of the replicated log: an encoded Command at its index.
type LogEntry struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Index uint64
	Data  []byte
}

// Position is how far a mirror has come, or a configuration lease that was renewed.
type Position struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name    string
	Term    uint64
	Index   uint64
	Version uint64 // of a configuration lease
}

// Bounds of what a peer may send.
const (
	MaxMessageBytes = 4 << 20 // of an encoded message
	maxMembers      = 512     // membership records in a message
	maxReasonBytes  = 1 << 10 // of a rejection's reason
	maxNameBytes    = 120     // of a name or an address
	maxRenewals     = 256
	maxDigests      = 8       // of a membership record
	maxDigestBytes  = 2 << 10 // of one digest
	maxDeclarations = 512     // leases that a request declares
)

// check bounds what came from outside before any of it is stored.
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

// check bounds a membership record.
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

// hasRequiredFields reports whether a message has the fields of its kind, within their bounds.
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

// validDeclarations reports whether the declarations are within their bounds.
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
