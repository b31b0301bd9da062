package fleet

import (
	"fmt"
	"maps"
	"math"
	"time"
)

// Floor is the minimum that a voter's disk is known to hold. A disk that holds less is an old copy.
type Floor struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Term, Vote, Commit uint64
	OpenCount          uint64 // how often the disk was opened
}

// covers reports whether a disk with floor f can be the disk that was known to hold k. The term, the commit index and the open
// count of a disk never decrease, and a vote does not change within its term.
func (f Floor) covers(k Floor) bool {
	return f.Term >= k.Term && f.Commit >= k.Commit && f.OpenCount >= k.OpenCount &&
		(f.Term > k.Term || k.Vote == 0 || f.Vote == k.Vote)
}

// merge returns the floor of a disk that is known to hold both f and k.
func (f Floor) merge(k Floor) Floor {
	if k.Term > f.Term || k.Term == f.Term && f.Vote == 0 {
		f.Term, f.Vote = k.Term, k.Vote
	}
	f.Commit, f.OpenCount = max(f.Commit, k.Commit), max(f.OpenCount, k.OpenCount)
	return f
}

// usedByConsensus reports whether a disk with this floor has been used by consensus, so that it is not empty.
func (f Floor) usedByConsensus() bool { return f.Term > 0 }

// excludedFloor is the Floor that a recovered voter stores for each former voter that the recovery removed. No disk covers it, so
// the disks of the former voters are always rejected.
var excludedFloor = Floor{Term: math.MaxUint64, Vote: math.MaxUint64, Commit: math.MaxUint64, OpenCount: math.MaxUint64}

// diskFloors holds the floor of this voter's disk, and the floors that it knows of the other voters' disks.
type diskFloors struct {
	floor           Floor            // what this voter's disk holds
	peerFloors      map[string]Floor // by voter: what its disk is known to hold
	floorsWrittenAt time.Duration
	floorsDirty     bool // peerFloors differs from the copy on disk
}

func newDiskFloors(peerFloors map[string]Floor) diskFloors {
	all := maps.Clone(peerFloors)
	if all == nil {
		all = map[string]Floor{}
	}
	return diskFloors{peerFloors: all}
}

// copyFloors returns a copy of the other voters' floors, for a disk write.
func (f *diskFloors) copyFloors() map[string]Floor { return maps.Clone(f.peerFloors) }

// floorsDue reports whether the other voters' floors should be written to disk now. Where it returns true, it counts them as written.
func (f *diskFloors) floorsDue(now, interval time.Duration) bool {
	if !f.floorsDirty || now-f.floorsWrittenAt < interval {
		return false
	}
	f.floorsWrittenAt, f.floorsDirty = now, false
	return true
}

// learnFloor records what another voter reports of its disk. It ignores a zero Floor.
func (f *diskFloors) learnFloor(from string, holds Floor) {
	known := f.peerFloors[from]
	if next := known.merge(holds); holds != (Floor{}) && known != next {
		f.peerFloors[from] = next
		f.floorsDirty = true
	}
}

// exclusion returns excludedFloor for a voter that was excluded by a recovery, and a zero Floor for any other.
func (f *diskFloors) exclusion(name string) Floor {
	if f.peerFloors[name] == excludedFloor {
		return excludedFloor
	}
	return Floor{}
}

// oldCopyReason returns the text that says why a voter halts where the voter from knows that its disk held more, or that it was
// excluded by a recovery.
func oldCopyReason(from string, holds, known Floor) string {
	if known == excludedFloor {
		return fmt.Sprintf("the voters were recovered at %s without it: start it again without its file, or add a voter of a new name", from)
	}
	return fmt.Sprintf("its disk is an old copy: %s knows it at term %d, commit %d, opened %d times, and it stands at %d, %d, %d: "+
		"add a voter with a new name in its place", from, known.Term, known.Commit, known.OpenCount, holds.Term, holds.Commit, holds.OpenCount)
}
