package fleet

import "time"

// Event is something that happened to a Node, for the log, the history and the subsystems on top of the fleet: one type for each
// kind. Times are those of this front's own clock.
type Event interface {
	// Fields returns the event as the history keeps it.
	Fields() EventFields
}

// LeaseAcquired says that this front holds a lease until Until at least. It counts from Since, when it was requested.
type LeaseAcquired struct {
	Lease        string
	Term         uint64
	Until, Since time.Duration
}

// LeaseRenewed says that this front holds a lease until Until. It counts from Since, when the renewal was requested.
type LeaseRenewed struct {
	Lease        string
	Term         uint64
	Until, Since time.Duration
}

// LeaseEnded says that this front does not hold a lease any more, which was to expire at Until.
type LeaseEnded struct {
	Lease      string
	Term       uint64
	Until      time.Duration
	Broadcasts uint64 // sent under the lease, in that term
	Reason     string
}

// LeaseGranted says that the replicated state names a leaseholder, "" for nobody.
type LeaseGranted struct {
	Lease       string
	Term        uint64
	Leaseholder string
	Index       uint64 // of the replicated state
	Reason      string
}

// BroadcastReceived is a leaseholder's broadcast, this front's own included; with a Mirror, Data is what was new to it.
type BroadcastReceived struct {
	Lease  string
	Term   uint64
	From   string
	Number uint64 // within the term; 0 for a neighbour's complete mirror
	Data   []byte
}

// BroadcastRejected says that a broadcast was of an older term than is known.
type BroadcastRejected struct {
	Lease  string
	Term   uint64
	From   string
	Reason string
}

// FrontJoined says that a front joined the fleet, or started anew.
type FrontJoined struct {
	Name        string
	Incarnation uint64
	Index       uint64 // of the replicated state
}

// FrontLeft says that a front left the fleet.
type FrontLeft struct {
	Name  string
	Index uint64 // of the replicated state
}

// FleetReached says that this front is not isolated any more.
type FleetReached struct { //nolint:revive // fleet.Reached would not say what was reached
	Term uint64 // of the leader
}

// FleetLost says that this front is isolated: no heartbeat came for a while.
type FleetLost struct { //nolint:revive // fleet.Lost would not say what was lost
	Reason string
}

// BecameLeader says that this front's voter leads.
type BecameLeader struct {
	Term uint64
}

// LostLeadership says that this front's voter has lost the leadership.
type LostLeadership struct{}

// VoterHalted says that this front's voter has stopped for good; the front continues as a follower.
type VoterHalted struct {
	Reason string
}

// VotersRecovered is the end of a recovery of the voters at this front, see Node.RecoverVoters.
type VotersRecovered struct {
	Lost        []string // those that are no longer voters
	Index, Term uint64   // of the recovered state
	Reason      string   // the operator's
	Err         error    // why it was refused, nil where it was done
}

// FrontDisplaced says that another process has this front's name: this one stays out of the fleet.
type FrontDisplaced struct {
	Name   string
	Reason string
}

// RequestDone is the end of one of this front's requests.
type RequestDone struct {
	ID         uint64
	Error      string         // as the leader sent it; "" where it succeeded
	LeaderTerm uint64         // term of the leader that answered, 0 where it is not known
	Reports    []MemberReport // answer to CollectDigests
}

// LinkClosed says that a link was closed because the peer was silent.
type LinkClosed struct {
	Peer   string
	Reason string
}

// StateUnreadable says that this program is too old to read the replicated state further.
type StateUnreadable struct {
	Index  uint64
	Reason string
}

// DatagramReceived is a datagram of another front, or of this one, to a part: a subsystem of this front.
type DatagramReceived struct {
	From      string
	Subsystem string
	Data      []byte
}

// ConfigLeaseRenewed says that this front may use a configuration version until Until. It counts from Since, when it was requested.
type ConfigLeaseRenewed struct {
	Version      uint64
	Until, Since time.Duration
}
