package fleet

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// DiskState is what a voter's disk holds when it is opened.
type DiskState struct {
	Hard      *pb.HardState // nil for a new disk
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
	Floors    map[string]Floor // by name: what this voter knows of the other voters' disks
	OpenCount uint64           // how often the disk was opened, including this time
}

// DiskWrite is a write that must be on disk before the voter sends any more consensus messages.
type DiskWrite struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot     // replaces all entries up to its index
	Entries  []*pb.Entry      // replace all entries from the index of the first one on
	Floors   map[string]Floor // by name: what this voter knows of the other voters' disks
}

// diskOutput holds the output of the raft library that waits to be written to disk.
type diskOutput struct {
	ready        *raft.Ready // the output that is handled after its disk write
	pendingWrite *DiskWrite  // the write that the owner has to carry out, nil for none
	confChanged  bool        // the voters differ from those in the last snapshot
}

// Limits of log compaction.
const (
	catchUpEntries    = 256 // log entries that are kept before a snapshot, for voters that are a few entries behind
	snapshotThreshold = 512 // log entries since the last snapshot after which a new one is written
)

// PendingWrite returns the write that must be on disk before more consensus messages are sent; ok is false for none. After the write,
// call WriteDone or WriteFailed.
func (n *Node) PendingWrite() (*DiskWrite, bool) {
	if n.voter == nil || n.voter.pendingWrite == nil || n.voter.haltReason != "" {
		return nil, false
	}
	return n.voter.pendingWrite, true
}

// WriteDone reports that the pending write is on disk.
func (n *Node) WriteDone(now time.Duration) { n.voter.writeDone(now) }

// WriteFailed reports that the pending write failed. The voter halts, and the front continues as a follower. Like WriteDone, it may only be
// called after PendingWrite has returned a write.
func (n *Node) WriteFailed(err error) { n.voter.halt("its disk can't be written: " + err.Error()) }

// processReady handles the raft library's output until it has no more, or until some of it must be written to disk first.
func (v *voter) processReady(now time.Duration) {
	for v.haltReason == "" && v.pendingWrite == nil && v.rawNode.HasReady() {
		var rd raft.Ready
		v.callRaft(func() { rd = v.rawNode.Ready() })
		if v.haltReason != "" {
			return
		}
		v.ready = &rd
		if !raft.IsEmptyHardState(rd.HardState) || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot) {
			v.pendingWrite = &DiskWrite{Hard: rd.HardState, Entries: rd.Entries, Floors: v.copyFloors()}
			v.floorsDirty = false
			if raft.IsEmptyHardState(rd.HardState) {
				v.pendingWrite.Hard = nil
			}
			if !raft.IsEmptySnap(rd.Snapshot) {
				v.pendingWrite.Snapshot = rd.Snapshot
			}
			return
		}
		v.handleReady(now)
	}
}

// writeDone handles the end of the pending disk write: it finishes a recovery, or handles the output that waited for the write.
func (v *voter) writeDone(now time.Duration) {
	if v.pendingWrite == nil {
		return
	}
	s := v.pendingWrite
	v.pendingWrite = nil
	if r := v.node.recovery; r != nil && r.State == RecoveryWriting {
		v.finishRecovery(now, s)
		return
	}
	if s.Hard != nil {
		v.floor.Term, v.floor.Vote, v.floor.Commit = s.Hard.GetTerm(), s.Hard.GetVote(), s.Hard.GetCommit()
	}
	if v.ready != nil {
		v.handleReady(now)
	}
	v.processReady(now)
}

// handleReady carries out the library's output in v.ready, after its disk write: it updates the log in memory, sends the messages,
// and applies the committed entries.
func (v *voter) handleReady(now time.Duration) {
	rd := *v.ready
	v.ready = nil
	v.callRaft(func() {
		if !raft.IsEmptySnap(rd.Snapshot) {
			v.restore(now, rd.Snapshot)
		}
		if len(rd.Entries) > 0 {
			_ = v.storage.Append(rd.Entries) // an in-memory write, which succeeds or panics
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			_ = v.storage.SetHardState(rd.HardState) // an in-memory write, which cannot fail
			v.term = rd.GetTerm()
		}
		if rd.SoftState != nil {
			v.onSoftState(now, rd.SoftState)
		}
		for _, m := range rd.Messages {
			if to := v.nameByID[m.GetTo()]; to != "" {
				if data, err := proto.Marshal(m); err == nil {
					v.node.send(to, &Message{Kind: KindConsensus, Data: data})
				}
			}
		}
		for _, e := range rd.CommittedEntries {
			v.apply(now, e)
		}
		for _, r := range rd.ReadStates {
			if len(r.RequestCtx) == 8 && v.isLeader() {
				v.confirmedAt, v.heartbeatsSuspended = now, false
				v.node.leader.onQuorumConfirmed(now, binary.BigEndian.Uint64(r.RequestCtx))
			}
		}
		v.rawNode.Advance(rd)
	})
	v.compact()
}

// apply applies a committed entry to the replicated state, and a change of the voters also to the raft library. The first committed entry
// of this voter's own term as the leader makes the leader ready. now is the present time, from which the timers of leases start; it is
// not part of the replicated state.
func (v *voter) apply(now time.Duration, e *pb.Entry) {
	v.applied = e.GetIndex()
	data := e.GetData()
	if e.GetType() == pb.EntryConfChange {
		var cc pb.ConfChange
		if err := proto.Unmarshal(data, &cc); err != nil {
			panic(err)
		}
		v.confState = v.rawNode.ApplyConfChange(&cc)
		v.confChanged = true // a new voter can only be initialised by a snapshot that includes it
		data = cc.GetContext()
	}
	if v.isLeader() && e.GetTerm() == v.rawNode.BasicStatus().GetTerm() {
		v.node.leader.activate(now)
	}
	v.node.apply(now, LogEntry{Index: e.GetIndex(), Data: data})
	if e.GetType() == pb.EntryConfChange {
		v.refreshNames()
	}
}

// restore replaces the replicated state by a snapshot from another voter. It ignores a snapshot that is older than the present state, and
// halts the voter where the snapshot can't be decoded. now is the present time, at which this front's own leases begin or end according to
// the snapshot.
func (v *voter) restore(now time.Duration, s *pb.Snapshot) {
	if err := v.storage.ApplySnapshot(s); err != nil {
		return // the snapshot is older than the present state
	}
	state, err := decodeReplicatedState(s.GetData())
	if err != nil {
		v.halt(err.Error())
		return
	}
	v.applied, v.confState = s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	v.node.restore(now, state)
	v.refreshNames()
}

// compact prepares a write of a new snapshot, and drops older log entries, where the last snapshot is many entries old or the voters
// have changed since.
func (v *voter) compact() {
	if v.haltReason != "" || v.pendingWrite != nil || v.ready != nil || v.confState == nil {
		return
	}
	old, err := v.storage.Snapshot()
	at := old.GetMetadata().GetIndex()
	due := v.applied >= at+snapshotThreshold || v.confChanged && v.applied > at
	if err != nil || !due {
		return
	}
	v.confChanged = false
	s, err := v.storage.CreateSnapshot(v.applied, v.confState, v.node.state.encode())
	if err != nil {
		return
	}
	if first, err := v.storage.FirstIndex(); err == nil && v.applied > first+catchUpEntries {
		_ = v.storage.Compact(v.applied - catchUpEntries) // it fails only for an index that is compacted already
	}
	v.pendingWrite = &DiskWrite{Snapshot: s}
}
