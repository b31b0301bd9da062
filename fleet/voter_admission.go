package fleet

import "time"

// admission is what a voter has learned of its own disk, and of the other voters, before it may take part in consensus.
//
// A voter whose disk is an old copy might vote twice, and lose what it had acknowledged. So voters tell each other on each new link
// what they know of the other's disk. A voter takes part once a majority, itself included, has vouched that its disk is not older
// than they know it. A voter whose own disk holds nothing (it is new, or its disk was lost) knows nothing and vouches for no other.
type admission struct {
	vouchedBy    map[string]bool // by voter: it has taken part in consensus, and knows no more of this disk than it holds
	emptyDisks   map[string]bool // by voter: its disk held nothing while this one held nothing either
	startedEmpty bool            // this disk held nothing when it was opened
	fleetBegan   bool            // while this disk held nothing, a front had entries of the log: the fleet has begun without it
}

func newAdmission(startedEmpty bool) admission {
	return admission{vouchedBy: map[string]bool{}, emptyDisks: map[string]bool{}, startedEmpty: startedEmpty}
}

// checkHello compares what another voter knows of this one's disk with what it holds, and records whether the other vouches for it.
func (v *voter) checkHello(now time.Duration, from string, h *Handshake) {
	if !v.floor.covers(h.KnownFloor) {
		v.halt(oldCopyReason(from, v.floor, h.KnownFloor))
		return
	}
	if h.Floor.usedByConsensus() {
		v.vouch(now, from)
	} else if !v.floor.usedByConsensus() {
		v.emptyDisks[from] = true
		v.leaderContactAt = now // followers get time to report that the fleet has begun
	}
	v.learnFloor(from, h.Floor)
}

// vouch records that another voter vouches for this one's disk.
func (v *voter) vouch(now time.Duration, from string) {
	if !v.vouchedBy[from] {
		v.vouchedBy[from] = true
		v.leaderContactAt = now // a present leader gets time to report
	}
}

// checkPing handles another voter's report of its disk, on a link whose first message passed checkHello.
func (v *voter) checkPing(now time.Duration, from string, h *Handshake) {
	if h.KnownFloor == excludedFloor { // its first message was on its way when the voters were recovered
		v.halt(oldCopyReason(from, v.floor, h.KnownFloor))
		return
	}
	v.learnFloor(from, h.Floor)
	if h.Floor.usedByConsensus() {
		v.vouch(now, from)
	}
}

// checkNonVoter handles a new link to a front that is a follower, or has become one.
func (v *voter) checkNonVoter(from string, index uint64) {
	if !v.isLeader() {
		delete(v.vouchedBy, from) // its own disk was refused
	}
	if !v.floor.usedByConsensus() && index > initialIndex {
		v.fleetBegan = true
	}
}

// mayVote reports whether this voter takes part in consensus.
func (v *voter) mayVote() bool {
	if v.haltReason != "" {
		return false
	}
	return v.hasMajority(func(name string) bool { return v.vouchedBy[name] }) || v.mayBootstrap()
}

// hasMajority reports whether the others that count are a majority together with this voter.
func (v *voter) hasMajority(counts func(name string) bool) bool {
	n := 1
	for id, name := range v.nameByID {
		if id != v.id && counts(name) {
			n++
		}
	}
	return n > v.voterCount()/2
}

// mayBootstrap reports whether this voter and all other initial voters begin a new fleet. One of them that is away could be the only
// one that knows that the fleet has begun, and the others could have lost their disks: so all must have been found without
// anything on their disks.
func (v *voter) mayBootstrap() bool {
	if !v.startedEmpty || v.fleetBegan || v.node.options.JoinsExistingFleet {
		return false
	}
	for _, initial := range v.node.options.InitialVoters {
		if initial.Name != v.node.options.Name && !v.emptyDisks[initial.Name] {
			return false
		}
	}
	return true
}
