package fleet

import (
	"fmt"
	"maps"
	"math"
	"time"
)

// Floor is the least that a voter's disk must hold: a disk with less is an old copy.
type Floor struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Term, Vote, Commit uint64
	OpenCount          uint64 // how often the disk was opened
}

// covers reports whether a disk with f can be the one that was known to hold k: its term, commit index and count of openings
// never go back, and a vote is never forgotten within its term.
func (f Floor) covers(k Floor) bool {
	return f.Term >= k.Term && f.Commit >= k.Commit && f.OpenCount >= k.OpenCount &&
		(f.Term > k.Term || k.Vote == 0 || f.Vote == k.Vote)
}

// or returns the least that a disk must hold which is known to hold both f and k.
func (f Floor) or(k Floor) Floor {
	if k.Term > f.Term || k.Term == f.Term && f.Vote == 0 {
		f.Term, f.Vote = k.Term, k.Vote
	}
	f.Commit, f.OpenCount = max(f.Commit, k.Commit), max(f.OpenCount, k.OpenCount)
	return f
}

// usedByConsensus reports whether a disk with this floor has been used by consensus.
func (f Floor) usedByConsensus() bool { return f.Term > 0 }

// excludedFloor is the Floor that a recovered voter stores of those that are no longer voters. No disk covers it: their disks
// are rejected for good.
var excludedFloor = Floor{Term: math.MaxUint64, Vote: math.MaxUint64, Commit: math.MaxUint64, OpenCount: math.MaxUint64}

// diskFloors is what this voter's disk holds, and what it knows of the others' disks.
type diskFloors struct {
	floor           Floor // as it is on disk
	peerFloors      map[string]Floor
	floorsWrittenAt time.Duration
	floorsDirty     bool // peerFloors differs from what is on disk
}

func newDiskFloors(peerFloors map[string]Floor) diskFloors {
	all := maps.Clone(peerFloors)
	if all == nil {
		all = map[string]Floor{}
	}
	return diskFloors{peerFloors: all}
}

// copyFloors returns the others' floors for a disk write.
func (f *diskFloors) copyFloors() map[string]Floor { return maps.Clone(f.peerFloors) }

// floorsDue reports whether the others' floors should be written to disk now, and notes that they are.
func (f *diskFloors) floorsDue(now, interval time.Duration) bool {
	if !f.floorsDirty || now-f.floorsWrittenAt < interval {
		return false
	}
	f.floorsWrittenAt, f.floorsDirty = now, false
	return true
}

// learnFloor records what another voter's disk holds.
func (f *diskFloors) learnFloor(from string, holds Floor) {
	known := f.peerFloors[from]
	if next := known.or(holds); holds != (Floor{}) && known != next {
		f.peerFloors[from] = next
		f.floorsDirty = true
	}
}

// exclusion returns excludedFloor where a voter was excluded by a recovery, and nothing elsewhere.
func (f *diskFloors) exclusion(name string) Floor {
	if f.peerFloors[name] == excludedFloor {
		return excludedFloor
	}
	return Floor{}
}

// oldCopyReason is why a voter halts whose disk holds less than another voter knows it to have held.
func oldCopyReason(from string, holds, known Floor) string {
	if known == excludedFloor {
		return fmt.Sprintf("the voters were recovered at %s without it: start it again without its file, or add a voter of a new name", from)
	}
	return fmt.Sprintf("its disk is an old copy: %s knows it at term %d, commit %d, opened %d times, and it stands at %d, %d, %d: "+
		"add a keeper of a new name in its place", from, known.Term, known.Commit, known.OpenCount, holds.Term, holds.Commit, holds.OpenCount)
}
