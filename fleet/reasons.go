package fleet

// Reasons in events. The history file keeps them, and the replicated state those of leases: their texts change only with a format
// version.
const (
	reasonVacant            = "nobody held it"             // the leader granted a lease that had no holder
	reasonExpired           = "it ran out"                 // the lease expired
	reasonTransferred       = "handed on"                  // its holder released it to another front
	reasonReleased          = "let go"                     // its holder released it, and no front can take it
	reasonNoProgress        = "it got nothing done"        // its holder made no progress within the bound
	reasonVotersRecovered   = "the voters were recovered"  // see Node.RecoverVoters
	reasonLaterTerm         = "a later term acts"          // a broadcast of a later term came
	reasonGrantedTo         = "it passed to "              // before the name of the new holder
	reasonTransferRequested = "it was asked to hand it on" // by the leader
	reasonAcceptsNoLeases   = "this front takes no duty"   // it leaves or is idle
	reasonShutdown          = "this front ends"
	reasonNoConfigLease     = "this front has no right to act" // see Node.SetIdle
	reasonLeaderOffloads    = "its holder gives as well"       // a leader transfers its own leases, see leader.offload
	reasonFrontDisplaced    = "another front has this one's name"
	reasonNameTaken         = "another front of the fleet has this name"
	reasonVoterNameTaken    = "another front has this keeper's name"
	reasonStaleBroadcast    = "an act of an older term"
	reasonNoHeartbeat       = "no pulse of the fleet"
	reasonSilentLink        = "it was silent"
)
