package fleet

import (
	"encoding/json"
	"strings"
	"time"
)

// Names of events in the history. Operators' tools and the checkers of lab/processtest read them, so they change only with a format
// version.
const (
	historyLeaseAcquired      = "held"
	historyLeaseRenewed       = "kept"
	historyLeaseEnded         = "ended"
	historyLeaseGranted       = "granted"
	historyBroadcastReceived  = "came"
	historyBroadcastRejected  = "refused"
	historyFrontJoined        = "joined"
	historyFrontLeft          = "parted"
	historyFleetReached       = "heard"
	historyFleetLost          = "alone"
	historyBecameLeader       = "gives"
	historyLostLeadership     = "gives no more"
	historyVoterHalted        = "keeper halted"
	historyFrontDisplaced     = "displaced"
	historyRequestDone        = "answered"
	historyLinkClosed         = "shed"
	historyStateUnreadable    = "stuck"
	historyDatagramReceived   = "posted"
	historyConfigLeaseRenewed = "righted"
	historyVotersRecovered    = "voters recovered"
	historyRecoveryRefused    = "recovery refused"
)

// HistoryEntry is a line of the history file. At, Since and Until are wall-clock times in Unix microseconds. The differences between
// them are durations of the monotonic clock.
//
// Operators' tools and the checkers of lab/processtest read the JSON names, so they change only with a format version.
type HistoryEntry struct {
	At          int64  `json:"at"`
	Front       string `json:"front"`
	Incarnation uint64 `json:"incarnation"`
	Kind        string `json:"what"`
	Lease       string `json:"duty,omitempty"`
	Term        uint64 `json:"term,omitempty"`
	Name        string `json:"name,omitempty"`
	Since       int64  `json:"since,omitempty"`
	Until       int64  `json:"until,omitempty"`
	Number      uint64 `json:"number,omitempty"`
	Index       uint64 `json:"index,omitempty"`
	Reason      string `json:"why,omitempty"`
}

// String returns the entry as JSON, as it is written to the history file.
func (e HistoryEntry) String() string {
	b, _ := json.Marshal(e) // strings and numbers are always encodable
	return string(b)
}

// EventFields is an event in the flat form of the history, with times of the front's own clock. Fields that an event's kind does not
// use are zero. See HistoryEntry.
type EventFields struct {
	Kind, Lease  string
	Term         uint64
	Name         string
	Since, Until time.Duration
	Number       uint64
	Index        uint64
	Reason       string
}

// Fields implements Event.
func (e LeaseAcquired) Fields() EventFields {
	return EventFields{Kind: historyLeaseAcquired, Lease: e.Lease, Term: e.Term, Until: e.Until, Since: e.Since}
}

// Fields implements Event.
func (e LeaseRenewed) Fields() EventFields {
	return EventFields{Kind: historyLeaseRenewed, Lease: e.Lease, Term: e.Term, Until: e.Until, Since: e.Since}
}

// Fields implements Event.
func (e LeaseEnded) Fields() EventFields {
	return EventFields{Kind: historyLeaseEnded, Lease: e.Lease, Term: e.Term, Until: e.Until, Number: e.Broadcasts, Reason: e.Reason}
}

// Fields implements Event.
func (e LeaseGranted) Fields() EventFields {
	return EventFields{Kind: historyLeaseGranted, Lease: e.Lease, Term: e.Term, Name: e.Leaseholder, Index: e.Index, Reason: e.Reason}
}

// Fields implements Event.
func (e BroadcastReceived) Fields() EventFields {
	return EventFields{Kind: historyBroadcastReceived, Lease: e.Lease, Term: e.Term, Name: e.From, Number: e.Number}
}

// Fields implements Event.
func (e BroadcastRejected) Fields() EventFields {
	return EventFields{Kind: historyBroadcastRejected, Lease: e.Lease, Term: e.Term, Name: e.From, Reason: e.Reason}
}

// Fields implements Event.
func (e FrontJoined) Fields() EventFields {
	return EventFields{Kind: historyFrontJoined, Name: e.Name, Number: e.Incarnation, Index: e.Index}
}

// Fields implements Event.
func (e FrontLeft) Fields() EventFields {
	return EventFields{Kind: historyFrontLeft, Name: e.Name, Index: e.Index}
}

// Fields implements Event.
func (e FleetReached) Fields() EventFields {
	return EventFields{Kind: historyFleetReached, Term: e.Term}
}

// Fields implements Event.
func (e FleetLost) Fields() EventFields {
	return EventFields{Kind: historyFleetLost, Reason: e.Reason}
}

// Fields implements Event.
func (e BecameLeader) Fields() EventFields {
	return EventFields{Kind: historyBecameLeader, Term: e.Term}
}

// Fields implements Event.
func (e LostLeadership) Fields() EventFields {
	return EventFields{Kind: historyLostLeadership}
}

// Fields implements Event.
func (e VoterHalted) Fields() EventFields {
	return EventFields{Kind: historyVoterHalted, Reason: e.Reason}
}

// Fields implements Event.
func (e VotersRecovered) Fields() EventFields {
	if e.Err != nil {
		return EventFields{Kind: historyRecoveryRefused, Reason: e.Err.Error()}
	}
	return EventFields{Kind: historyVotersRecovered, Name: strings.Join(e.Lost, " "), Term: e.Term, Index: e.Index, Reason: e.Reason}
}

// Fields implements Event.
func (e FrontDisplaced) Fields() EventFields {
	return EventFields{Kind: historyFrontDisplaced, Name: e.Name, Reason: e.Reason}
}

// Fields implements Event.
func (e RequestDone) Fields() EventFields {
	return EventFields{Kind: historyRequestDone, Number: e.ID, Reason: e.Error}
}

// Fields implements Event.
func (e LinkClosed) Fields() EventFields {
	return EventFields{Kind: historyLinkClosed, Name: e.Peer, Reason: e.Reason}
}

// Fields implements Event.
func (e StateUnreadable) Fields() EventFields {
	return EventFields{Kind: historyStateUnreadable, Index: e.Index, Reason: e.Reason}
}

// Fields implements Event.
func (e DatagramReceived) Fields() EventFields {
	return EventFields{Kind: historyDatagramReceived, Lease: e.Subsystem, Name: e.From}
}

// Fields implements Event.
func (e ConfigLeaseRenewed) Fields() EventFields {
	return EventFields{Kind: historyConfigLeaseRenewed, Number: e.Version, Until: e.Until, Since: e.Since}
}
