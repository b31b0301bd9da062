package audit

// Events of lines, with the fields that they set.
const (
	EventProcessStarted      = "opened"  // a process started: Program, RequestTypes, MaxClockError, Version, RulesHash
	EventProcessStopped      = "closed"  // the process stopped in an orderly way
	EventInterval            = "span"    // an Interval; the index has the ids of its requests
	EventVersionAdopted      = "adopted" // the front adopted Version: RulesHash
	EventVersionRejected     = "refused" // the front can't use Version: Reason
	EventLeaseAcquired       = "held"    // the front acquired Lease in Term
	EventLeaseEnded          = "let go"  // the front does not hold Lease of Term any more: Reason
	EventConfigLeaseAcquired = "right"   // the front has a configuration lease again, until End
	EventConfigLeaseExpired  = "lapsed"  // the front's configuration lease expired at End
	EventLinesLost           = "gap"     // Lost lines could not be written: Reason
	EventTailTruncated       = "cut"     // an incomplete tail of Lost bytes was truncated when the log was opened
	EventSegmentRemoved      = "dropped" // segment Name was removed to keep the log within its maximum size
	EventRolloutChanged      = "turned"  // the state of the rollout changed: Reason
)

// Line is one line of a front's log. Operators' tools read its JSON keys, and the hashes of the chain depend on the keys and their order.
// Therefore its fields are not grouped into structs.
type Line struct {
	Sequence    uint64 `json:"n"`  // increases by one with each line of the front, also across restarts
	At          int64  `json:"at"` // the front's wall clock, Unix microseconds
	Event       string `json:"what"`
	Front       string `json:"front"`
	Incarnation uint64 `json:"incarnation"`
	Index       uint64 `json:"index"` // of the front's replicated state

	Version       uint64   `json:"version,omitempty"`
	RulesHash     string   `json:"meaning,omitempty"`
	Program       string   `json:"program,omitempty"`
	RequestTypes  []string `json:"kinds,omitempty"` // in the order of Outcomes
	MaxClockError int64    `json:"clock,omitempty"` // by how much the wall clock may be wrong, in microseconds, as the operator configured

	Interval             uint32     `json:"span,omitempty"` // number of the interval
	Start                int64      `json:"from,omitempty"`
	End                  int64      `json:"until,omitempty"`
	ConfigLeaseExpiry    int64      `json:"right,omitempty"`   // at the interval's end; 0 if the front needs no lease
	Standby              bool       `json:"standby,omitempty"` // the front had no configuration lease and accepted no request
	EndpointListVersions []int64    `json:"list,omitempty"`    // first and last of the interval
	Outcomes             [][]uint32 `json:"ended,omitempty"`   // by request type, then by front.Status
	Requests             int        `json:"txns,omitempty"`
	IndexOffset          int64      `json:"ids,omitempty"` // offset of the interval's part of the index, plus one; 0 if there is none
	IndexHash            string     `json:"ids_hash,omitempty"`

	Lease        string `json:"duty,omitempty"`
	Term         uint64 `json:"term,omitempty"`
	LeaseActions uint64 `json:"acts,omitempty"` // number of actions of the leaseholder in that term
	Lost         uint64 `json:"lost,omitempty"`
	Name         string `json:"name,omitempty"`
	Reason       string `json:"why,omitempty"`

	PreviousHash string `json:"prev,omitempty"` // in a segment's first line: the hash of the line before, "none" in the first line of the log
	Hash         string `json:"chain"`
}
