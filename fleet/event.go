package fleet

import "time"

// Event is something that happened at a Node. Events are written to the log and the history, and the subsystems on top of the
// fleet act on them. Each kind of event has its own type. Times are those of this front's own clock.
type Event interface {
	// Fields returns the event as the history stores it.
	Fields() EventFields
}

// LeaseAcquired says that this front holds a lease until Until, or longer after a renewal. The lease counts from Since, when this
// front sent the report that the leader confirmed.
type LeaseAcquired struct {
	Lease        string
	Term         uint64
	Until, Since time.Duration
}

// LeaseRenewed says that this front now holds a lease until Until. The lease counts from Since, when the renewal was requested.
type LeaseRenewed struct {
	Lease        string
	Term         uint64
	Until, Since time.Duration
}

// LeaseEnded says that this front no longer holds a lease. The lease would have expired at Until.
type LeaseEnded struct {
	Lease      string
	Term       uint64
	Until      time.Duration
	Broadcasts uint64 // the number of broadcasts that this front sent under the lease in this term
	Reason     string
}

// LeaseGranted says which leaseholder the replicated state names for a lease.
type LeaseGranted struct {
	Lease       string
	Term        uint64
	Leaseholder string // "" where no front holds the lease
	Index       uint64 // the index of the replicated state
	Reason      string
}

// BroadcastReceived is a broadcast of a leaseholder, which may be this front itself. Where the lease has a Mirror, Data is the part
// of the broadcast that was new to the Mirror.
type BroadcastReceived struct {
	Lease  string
	Term   uint64
	From   string
	Number uint64 // the number of the broadcast within the term; 0 for a neighbour's complete mirror
	Data   []byte
}

// BroadcastRejected says that a broadcast was rejected because this front knows a newer term of its lease.
type BroadcastRejected struct {
	Lease  string
	Term   uint64
	From   string
	Reason string
}

// FrontJoined says that a front joined the fleet, restarted, or reported another address, zone or version.
type FrontJoined struct {
	Name        string
	Incarnation uint64
	Index       uint64 // the index of the replicated state
}

// FrontLeft says that a front left the fleet.
type FrontLeft struct {
	Name  string
	Index uint64 // the index of the replicated state
}

// FleetReached says that this front is no longer isolated.
type FleetReached struct { //nolint:revive // fleet.Reached would not say what was reached
	Term uint64 // the leader's term
}

// FleetLost says that this front is isolated: it received no heartbeat within the isolation timeout.
type FleetLost struct { //nolint:revive // fleet.Lost would not say what was lost
	Reason string
}

// BecameLeader says that this front's voter became the leader.
type BecameLeader struct {
	Term uint64
}

// LostLeadership says that this front's voter is no longer the leader.
type LostLeadership struct{}

// VoterHalted says that this front's voter stopped and does not resume in this process. The front continues as a follower.
type VoterHalted struct {
	Reason string
}

// VotersRecovered says how a recovery of the voters ended at this front, see Node.RecoverVoters.
type VotersRecovered struct {
	Lost        []string // the former voters that are no longer voters
	Index, Term uint64   // the index and the raft term of the recovered state
	Reason      string   // the reason that the operator gave
	Err         error    // why the recovery was refused, nil where it was done
}

// FrontDisplaced says that another process has this front's name, so this front takes no part in the fleet any more.
type FrontDisplaced struct {
	Name   string
	Reason string
}

// RequestDone says how one of this front's requests ended.
type RequestDone struct {
	ID         uint64         // as returned by the call that sent the request
	Error      string         // the error text, "" where the request succeeded
	LeaderTerm uint64         // the term of the leader that answered, 0 where it is not known
	Reports    []MemberReport // the answer to CollectDigests
}

// LinkClosed says that a link is closed because nothing was received from the peer for too long.
type LinkClosed struct {
	Peer   string
	Reason string
}

// StateUnreadable says that this program is too old to read the log from this entry on.
type StateUnreadable struct {
	Index  uint64
	Reason string
}

// DatagramReceived is a datagram to a subsystem of this front, sent by another front or by this front itself.
type DatagramReceived struct {
	From      string
	Subsystem string
	Data      []byte
}

// ConfigLeaseRenewed says that this front may use a configuration version until Until. The lease counts from Since, when this front
// requested it.
type ConfigLeaseRenewed struct {
	Version      uint64
	Until, Since time.Duration
}
