package fleet

// Reasons in events. The history file stores them, and the replicated state stores the reasons of lease changes. So their texts
// change only with a format version.
const (
	reasonVacant            = "nobody held it"             // the leader granted a lease that had no holder
	reasonExpired           = "it ran out"                 // the lease expired
	reasonTransferred       = "handed on"                  // the holder released the lease to another front
	reasonReleased          = "let go"                     // the holder released the lease, and no other front was eligible
	reasonNoProgress        = "it got nothing done"        // the holder made no progress within the bound
	reasonVotersRecovered   = "the voters were recovered"  // see Node.RecoverVoters
	reasonLaterTerm         = "a later term acts"          // the holder received a broadcast of a later term
	reasonGrantedTo         = "it passed to "              // followed by the name of the new holder
	reasonTransferRequested = "it was asked to hand it on" // the leader asked the holder to release the lease
	reasonAcceptsNoLeases   = "this front takes no duty"   // the new holder is shutting down, or its leases are suspended
	reasonShutdown          = "this front ends"
	reasonNoConfigLease     = "this front has no right to act" // see Node.SetLeasesSuspended
	reasonLeaderOffloads    = "its holder gives as well"       // the leader transfers its own leases, see leader.offloadOwnLease
	reasonFrontDisplaced    = "another front has this one's name"
	reasonNameTaken         = "another front of the fleet has this name"
	reasonVoterNameTaken    = "another front has this keeper's name"
	reasonStaleBroadcast    = "an act of an older term"
	reasonNoHeartbeat       = "no pulse of the fleet"
	reasonSilentLink        = "it was silent"
)
