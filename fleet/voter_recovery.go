package fleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// RecoveryState is the state of a recovery of the voters.
type RecoveryState string

// States of a Recovery.
const (
	RecoveryWaiting RecoveryState = "waiting" // it waits until all leases that the lost voters may have granted have expired
	RecoveryWriting RecoveryState = "writing" // the recovered state is being written to the disk
	RecoveryDone    RecoveryState = "done"    // this voter is the only one
	RecoveryRefused RecoveryState = "refused" // it ended without a change
)

// Recovery is a recovery of the voters that an operator requested, see Node.RecoverVoters.
type Recovery struct {
	State  RecoveryState
	Reason string        // the reason that the operator gave
	Err    error         // why the recovery was refused, nil in any other state
	DueAt  time.Duration // when the wait ends, on this front's clock
	Lost   []string      // the voters that the recovery removes
}

// A recovered state skips this many indices and terms, so that it uses no index or term that the lost voters may have used for
// something else. Fronts that have entries beyond the surviving copy receive the complete recovered state, and reject messages
// under older terms.
const (
	recoveryIndexGap = 1 << 20
	recoveryTermGap  = 1 << 20
)

// RecoverVoters starts a recovery, which makes this voter the only voter, with the state of its own disk. It is for the case that a
// majority of the voters has lost its disks, so that no leader can be elected. Log entries that the lost voters acknowledged and that
// are not on this disk are lost. Leases that the lost voters granted may still be in use, so nothing changes until the longest
// of them has expired. The error says why the recovery is refused. Recovery returns its progress.
func (n *Node) RecoverVoters(now time.Duration, reason string) error {
	if strings.TrimSpace(reason) == "" {
		return ErrRecoveryWithoutReason
	}
	if err := n.checkRecovery(); err != nil {
		return err
	}
	if r := n.recovery; r != nil && (r.State == RecoveryWaiting || r.State == RecoveryWriting) {
		return ErrRecoveryUnderWay
	}
	n.recovery = &Recovery{State: RecoveryWaiting, Reason: reason, DueAt: now + n.recoveryWait(), Lost: n.voter.otherVoters()}
	return nil
}

// Recovery returns the last recovery that was requested at this front, nil for none since this front started.
func (n *Node) Recovery() *Recovery { return n.recovery }

// DiskPosition says how new a voter's disk is. Of two disks, the one with the higher LastTerm is newer, or the one with the
// higher LastIndex where the terms are equal.
type DiskPosition struct {
	LastTerm, LastIndex uint64 // the term and the index of the last log entry
}

// VoterDiskPosition returns the position of this voter's disk. ok is false at a front that has no voter's disk.
func (n *Node) VoterDiskPosition() (p DiskPosition, ok bool) {
	if n.voter == nil {
		return p, false
	}
	last, err := n.voter.storage.LastIndex()
	if err != nil {
		return p, false
	}
	term, err := n.voter.storage.Term(last)
	return DiskPosition{LastTerm: term, LastIndex: last}, err == nil
}

// recoveryWait returns how long a lease that was granted just now may be in use.
func (n *Node) recoveryWait() time.Duration {
	return max(n.options.Timing.leaderLease(), upperBound(n.options.ConfigLease))
}

// checkRecovery returns why the voters must not or need not be recovered from this front's disk, nil where they may be.
func (n *Node) checkRecovery() error {
	switch {
	case n.voter == nil:
		return ErrNoVoter
	case n.voter.haltReason != "":
		return fmt.Errorf("%w (%s): recover at the voter that knows more", ErrVoterHalted, n.voter.haltReason)
	case !n.voter.floor.usedByConsensus():
		return ErrEmptyDisk
	case !n.Isolated():
		return fmt.Errorf("%w, %s: nothing is to be recovered", ErrLeaderPresent, n.heartbeatFrom)
	case n.voter.hasMajority(n.knowsFleet):
		return ErrMajorityPresent
	}
	return nil
}

// knowsFleet reports whether this front is linked to a voter that has taken part in consensus and vouches for this voter's disk.
func (n *Node) knowsFleet(name string) bool {
	p := n.peers[name]
	return p != nil && p.Voter && n.voter.vouchedBy[name]
}

// otherVoters returns the names of the other voters, sorted.
func (v *voter) otherVoters() (names []string) {
	for id, name := range v.nameByID {
		if id != v.id {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// continueRecovery prepares the write of the recovered state once the wait is over. Until then it refuses the recovery as soon as
// checkRecovery returns an error.
func (v *voter) continueRecovery(now time.Duration) {
	r := v.node.recovery
	if r == nil || r.State != RecoveryWaiting || v.pendingWrite != nil {
		return
	}
	err := v.node.checkRecovery()
	if err == nil && now < r.DueAt {
		return
	}
	var write *DiskWrite
	if err == nil {
		write, err = v.recoveredDisk()
	}
	if err != nil {
		v.node.refuseRecovery(err)
		return
	}
	r.State = RecoveryWriting
	v.ready, v.pendingWrite = nil, write
}

// refuseRecovery ends a recovery that is in progress without changing the voters. It does nothing where there is none.
func (n *Node) refuseRecovery(err error) {
	r := n.recovery
	if r == nil || r.State != RecoveryWaiting && r.State != RecoveryWriting {
		return
	}
	r.State, r.Err = RecoveryRefused, err
	n.emit(VotersRecovered{Reason: r.Reason, Err: err})
}

// recoveredDisk returns the contents of this voter's disk after the recovery, where it is the only voter. The replicated state
// includes all entries of its log, also the entries that may not have been committed.
func (v *voter) recoveredDisk() (*DiskWrite, error) {
	state, err := decodeReplicatedState(v.node.state.encode())
	if err != nil {
		return nil, err
	}
	last, err := v.storage.LastIndex()
	if err == nil && last > v.applied {
		err = v.applyUncommitted(state, last)
	}
	if err != nil {
		return nil, err
	}
	state.Index = last + recoveryIndexGap
	state.Voters = map[string]string{v.node.options.Name: v.node.options.Address}
	for _, lease := range state.Leases {
		lease.Term += recoveryTermGap
		lease.Leaseholder, lease.Incarnation, lease.GrantIndex = "", 0, state.Index
		lease.Reason = reasonVotersRecovered
	}
	term := max(v.term, v.node.heartbeat.term)
	floors := v.copyFloors()
	for _, f := range floors {
		if f != excludedFloor {
			term = max(term, f.Term)
		}
	}
	term += recoveryTermGap
	for _, name := range v.otherVoters() {
		floors[name] = excludedFloor
	}
	conf := &pb.ConfState{Voters: []uint64{v.id}}
	return &DiskWrite{
		Hard:     &pb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(v.id), Commit: proto.Uint64(state.Index)},
		Snapshot: &pb.Snapshot{Data: state.encode(), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(state.Index), Term: proto.Uint64(term)}},
		Floors:   floors,
	}, nil
}

// applyUncommitted applies the entries of the log up to index last that are not known to be committed.
func (v *voter) applyUncommitted(state *ReplicatedState, last uint64) error {
	entries, err := v.storage.Entries(v.applied+1, last+1, math.MaxUint64)
	if err != nil {
		return err
	}
	for _, e := range entries {
		data := e.GetData()
		if e.GetType() == pb.EntryConfChange {
			var change pb.ConfChange
			if err := proto.Unmarshal(data, &change); err != nil {
				return err
			}
			data = change.GetContext()
		}
		_, _ = state.apply(e.GetIndex(), data) // the error says that the command had no effect, which is no failure of the recovery
	}
	return nil
}

// finishRecovery starts to use the recovered state after it was written to disk: a new voter object replaces this one. All links are
// closed and dialled again, so that the former voters learn that they are excluded.
func (v *voter) finishRecovery(now time.Duration, written *DiskWrite) {
	n := v.node
	fresh, err := newVoter(n, &DiskState{Hard: written.Hard, Snapshot: written.Snapshot, Floors: maps.Clone(written.Floors), OpenCount: v.floor.OpenCount})
	if err != nil {
		v.halt("the recovered state can't be used: " + err.Error())
		return
	}
	fresh.leaderContactAt = now
	n.voter = fresh
	n.restore(now, n.state)
	n.linksToClose = append(n.linksToClose, n.Peers()...)
	n.recovery.State = RecoveryDone
	n.emit(VotersRecovered{Lost: n.recovery.Lost, Index: n.state.Index, Term: fresh.term, Reason: n.recovery.Reason})
}
