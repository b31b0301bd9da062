package fleetsim

import (
	"errors"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"dapplerouter/fleet"
)

// Disk is the simulated disk of a voter. Its contents survive a crash of the host.
type Disk struct {
	Full  bool // while set, all writes fail
	state fleet.DiskState
}

// clone returns an independent copy of the disk.
func (d *Disk) clone() *Disk {
	c := *d
	c.state.Entries = slices.Clone(d.state.Entries)
	c.state.Floors = maps.Clone(d.state.Floors)
	return &c
}

// errNoSpace is the error of a write to a full disk.
var errNoSpace = errors.New("no space left on device")

// write applies a node's write atomically. A snapshot replaces the log entries up to its index. New entries replace those from the
// first new index on.
func (d *Disk) write(w *fleet.DiskWrite) error {
	if d.Full {
		return errNoSpace
	}
	if w.Snapshot != nil {
		d.state.Snapshot = w.Snapshot
		index := w.Snapshot.GetMetadata().GetIndex()
		d.state.Entries = slices.DeleteFunc(slices.Clone(d.state.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() <= index })
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].GetIndex()
		d.state.Entries = slices.DeleteFunc(slices.Clone(d.state.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		d.state.Entries = append(d.state.Entries, w.Entries...)
	}
	if w.Hard != nil {
		d.state.Hard = w.Hard
	}
	if w.Floors != nil {
		d.state.Floors = maps.Clone(w.Floors)
	}
	return nil
}
