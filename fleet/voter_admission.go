package fleet

import "time"

// admission decides whether a voter may take part in consensus, by what the other voters know of its disk.
//
// A voter whose disk is an old copy might vote twice in a term, and lose entries that it had acknowledged. So on each new link, voters
// send each other what they know of the other's disk. A voter takes part once a majority, itself included, vouches that its disk
// is not older than they know it to be. A voter whose disk is empty, because it is new or was lost, vouches for no other voter.
type admission struct {
	vouchedBy    map[string]bool // by voter: it has taken part in consensus, and it knows of nothing that this disk lacks
	emptyDisks   map[string]bool // by voter: its disk was empty at a time when this voter's disk was empty too
	startedEmpty bool            // this voter's disk was empty when it was opened
	fleetBegan   bool            // a front had log entries at a time when this disk was empty: the fleet was formed without this disk
}

func newAdmission(startedEmpty bool) admission {
	return admission{vouchedBy: map[string]bool{}, emptyDisks: map[string]bool{}, startedEmpty: startedEmpty}
}

// checkHello handles the first message of another voter. It halts this voter where the other voter knows of something that this disk
// lacks. Otherwise it records whether the other voter vouches for this disk.
func (v *voter) checkHello(now time.Duration, from string, h *Handshake) {
	if !v.floor.covers(h.KnownFloor) {
		v.halt(oldCopyReason(from, v.floor, h.KnownFloor))
		return
	}
	if h.Floor.usedByConsensus() {
		v.vouch(now, from)
	} else if !v.floor.usedByConsensus() {
		v.emptyDisks[from] = true
		v.leaderContactAt = now // delays campaigning, so that followers can report that the fleet was formed already
	}
	v.learnFloor(from, h.Floor)
}

// vouch records that another voter vouches for this voter's disk.
func (v *voter) vouch(now time.Duration, from string) {
	if !v.vouchedBy[from] {
		v.vouchedBy[from] = true
		v.leaderContactAt = now // delays campaigning, so that a present leader can send its messages first
	}
}

// checkPing handles a ping of another voter, which reports its disk, on a link whose first message passed checkHello.
func (v *voter) checkPing(now time.Duration, from string, h *Handshake) {
	if h.KnownFloor == excludedFloor { // the other voter sent its first message before it recovered the voters
		v.halt(oldCopyReason(from, v.floor, h.KnownFloor))
		return
	}
	v.learnFloor(from, h.Floor)
	if h.Floor.usedByConsensus() {
		v.vouch(now, from)
	}
}

// checkNonVoter handles a new link to a front that is a follower, or a voter that halted.
func (v *voter) checkNonVoter(from string, index uint64) {
	if !v.isLeader() {
		delete(v.vouchedBy, from) // a voter that halted no longer vouches
	}
	if !v.floor.usedByConsensus() && index > initialIndex {
		v.fleetBegan = true
	}
}

// mayVote reports whether this voter may take part in consensus: it runs, and a majority vouches for its disk or it may bootstrap.
func (v *voter) mayVote() bool {
	if v.haltReason != "" {
		return false
	}
	return v.hasMajority(func(name string) bool { return v.vouchedBy[name] }) || v.mayBootstrap()
}

// hasMajority reports whether this voter and the other voters for which counts is true are a majority.
func (v *voter) hasMajority(counts func(name string) bool) bool {
	n := 1
	for id, name := range v.nameByID {
		if id != v.id && counts(name) {
			n++
		}
	}
	return n > v.voterCount()/2
}

// mayBootstrap reports whether this voter may form a new fleet with the other initial voters. It requires that the disks of all
// initial voters were found empty. A voter that is not linked could be the only one that still knows of an existing fleet, while the
// others lost their disks.
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
