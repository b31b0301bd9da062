package fleet

import "time"

// Voter is a voter's name, and the address on which its mesh listens.
type Voter struct{ Name, Address string }

// Options configure a Node.
type Options struct {
	Fleet              string // its id
	Name               string
	Incarnation        uint64 // must differ at each start
	Zone               string
	Address            string // where others reach this front's mesh
	Version            string
	InitialVoters      []Voter // the voters that the fleet began with, or some of the present ones
	JoinsExistingFleet bool    // a voter that was added later: it begins empty and receives the log
	Timing             Timing
	Seed               uint64
	AcceptsLeases      bool          // it may be granted leases
	MaxFollowers       int           // followers that may link to this front; 0 for the default
	ConfigLease        time.Duration // for which a front may use a version without contact; 0 where none are published
	SnapshotRate       int           // bytes a second for sending snapshots; 0 for the default
}

const (
	defaultMaxFollowers = 16
	followerLinks       = 3 // links that a follower keeps open: one to a voter where there is room, the others to fronts
	maxForwards         = 16
	maxKnownFronts      = 4096 // fronts of which a route or a report version is stored
	maxRecentEntries    = 1024 // log entries cached for peers that are a little behind
	rememberedSendTimes = 64   // own reports of which the sending time is stored
	maxPendingRequests  = 256  // own requests without an answer
)
