package audit

// Events of lines.
const (
	EventProcessStarted      = "opened"  // a process starts: Program, RequestTypes, MaxClockError, Version, RulesHash
	EventProcessStopped      = "closed"  // it stops in an orderly way
	EventInterval            = "span"    // an Interval; the ids of its requests are in the index
	EventVersionAdopted      = "adopted" // Version, RulesHash
	EventVersionRejected     = "refused" // Version can't be used: Reason
	EventLeaseAcquired       = "held"    // Lease in Term
	EventLeaseEnded          = "let go"  // Lease in Term: Reason
	EventConfigLeaseAcquired = "right"   // the front has a configuration lease again, until End
	EventConfigLeaseExpired  = "lapsed"  // its configuration lease expired at End
	EventLinesLost           = "gap"     // Lost lines could not be written: Reason
	EventTailTruncated       = "cut"     // an incomplete tail of Lost bytes was truncated at the start
	EventSegmentRemoved      = "dropped" // segment Name was removed to keep the byte limit
	EventRolloutChanged      = "turned"  // the rollout's state changed: Reason
)

// Line is one line of a front's log. Its JSON keys, and their order, are the format: operators' tools read them, and the chain's hashes
// depend on them. That is why its fields are not grouped.
type Line struct {
	Sequence    uint64 `json:"n"`  // rises by one with each line of the front, over its restarts
	At          int64  `json:"at"` // the front's wall clock, Unix microseconds
	Event       string `json:"what"`
	Front       string `json:"front"`
	Incarnation uint64 `json:"incarnation"`
	Index       uint64 `json:"index"` // of the replicated state, as the front had it

	Version       uint64   `json:"version,omitempty"`
	RulesHash     string   `json:"meaning,omitempty"`
	Program       string   `json:"program,omitempty"`
	RequestTypes  []string `json:"kinds,omitempty"` // in the order of Outcomes
	MaxClockError int64    `json:"clock,omitempty"` // by how much the wall clock may be wrong, microseconds, as the operator configured

	Interval             uint32     `json:"span,omitempty"` // number of the interval
	Start                int64      `json:"from,omitempty"`
	End                  int64      `json:"until,omitempty"`
	ConfigLeaseExpiry    int64      `json:"right,omitempty"`   // as of the interval's end; 0 where the front needs no lease
	Standby              bool       `json:"standby,omitempty"` // an interval without a configuration lease: no request was accepted in it
	EndpointListVersions []int64    `json:"list,omitempty"`    // first and last
	Outcomes             [][]uint32 `json:"ended,omitempty"`   // by request type, then by front.Status
	Requests             int        `json:"txns,omitempty"`
	IndexOffset          int64      `json:"ids,omitempty"` // where the index has their ids, plus one
	IndexHash            string     `json:"ids_hash,omitempty"`

	Lease        string `json:"duty,omitempty"`
	Term         uint64 `json:"term,omitempty"`
	LeaseActions uint64 `json:"acts,omitempty"` // of the leaseholder, in that term
	Lost         uint64 `json:"lost,omitempty"`
	Name         string `json:"name,omitempty"`
	Reason       string `json:"why,omitempty"`

	PreviousHash string `json:"prev,omitempty"` // in a segment's first line: the chain's hash before it, "none" for the first of all
	Hash         string `json:"chain"`
}
