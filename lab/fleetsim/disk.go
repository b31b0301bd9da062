package fleetsim

import (
	"errors"
	"maps"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"dapplerouter/fleet"
)

// A host's disk: what is saved stays over a crash.

// Disk is what a keeper's disk holds.
type Disk struct {
	state fleet.DiskState
	Full  bool
}

func (d *Disk) copied() *Disk {
	c := *d
	c.state.Entries = slices.Clone(d.state.Entries)
	c.state.Floors = maps.Clone(d.state.Floors)
	return &c
}

var errFull = errors.New("no space left on device")

func (d *Disk) save(s *fleet.DiskWrite) error {
	if d.Full {
		return errFull
	}
	if s.Snapshot != nil {
		d.state.Snapshot = s.Snapshot
		at := s.Snapshot.GetMetadata().GetIndex()
		d.state.Entries = slices.DeleteFunc(slices.Clone(d.state.Entries), func(e *pb.Entry) bool { return e.GetIndex() <= at })
	}
	if len(s.Entries) > 0 {
		first := s.Entries[0].GetIndex()
		d.state.Entries = slices.DeleteFunc(slices.Clone(d.state.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= first })
		d.state.Entries = append(d.state.Entries, s.Entries...)
	}
	if s.Hard != nil {
		d.state.Hard = s.Hard
	}
	if s.Floors != nil {
		d.state.Floors = maps.Clone(s.Floors)
	}
	return nil
}
