package fleet

import "time"

// Voter is a voter's name and the address on which its mesh listens.
type Voter struct{ Name, Address string }

// Options configure a Node.
type Options struct {
	Fleet              string // the fleet's id
	Name               string
	Incarnation        uint64 // identifies this start of the front; it must differ at each start
	Zone               string
	Address            string  // the address at which other fronts reach this front's mesh
	Version            string  // the version of the program
	InitialVoters      []Voter // the voters that the fleet started with, or some of its present voters
	JoinsExistingFleet bool    // this voter was added later: it starts empty and receives the log
	Timing             Timing
	Seed               uint64        // of the random numbers of the election timeouts
	AcceptsLeases      bool          // the leader may grant leases to this front
	MaxFollowers       int           // the number of followers that may dial a link to this front; 0 for the default
	ConfigLease        time.Duration // how long a front may use a configuration version without contact; 0 where none are published
	SnapshotRate       int           // the rate at which snapshots are sent, in bytes per second; 0 for the default
}

const (
	defaultMaxFollowers = 16
	followerLinks       = 3    // links that a follower keeps open: one to a voter where that has room, the others to followers
	maxForwards         = 16   // how often a message may be forwarded, which ends routing loops
	maxKnownFronts      = 4096 // bound of each table of fronts, leases or servers that peers can fill
	maxRecentEntries    = 1024 // log entries cached for peers that are a few entries behind
	rememberedSendTimes = 64   // the number of this front's latest reports whose sending times are stored
	maxPendingRequests  = 256  // this front's requests that are not answered yet, other than releases
)
