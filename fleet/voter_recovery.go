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

// RecoveryState is how far a recovery of the voters has come.
type RecoveryState string

// States of a Recovery.
const (
	RecoveryWaiting RecoveryState = "waiting" // until leases have expired that the lost voters may have granted
	RecoveryWriting RecoveryState = "writing" // the recovered state, to the disk
	RecoveryDone    RecoveryState = "done"
	RecoveryRefused RecoveryState = "refused"
)

// Recovery is a recovery of the voters that an operator requested, see Node.RecoverVoters.
type Recovery struct {
	State  RecoveryState
	Reason string        // the operator's
	Err    error         // why it was refused, nil elsewhere
	DueAt  time.Duration // when the wait ends, on this front's clock
	Lost   []string      // those that are no longer voters
}

// A recovered state skips indices and terms, so that none of its own is one that the lost voters may have used for something else.
// Fronts that have entries beyond the surviving copy receive the complete recovered state, and reject what is sent under older terms.
const (
	recoveryIndexGap = 1 << 20
	recoveryTermGap  = 1 << 20
)

// RecoverVoters makes this voter the only one, from its own disk, where a majority of the voters has lost its disks and no leader can
// be elected any more. Log entries that the lost voters acknowledged and that are not on this disk are lost. Leases that they granted
// may still be in use: nothing is changed until the longest of them has expired. The error says why it is refused; Recovery returns
// its further course.
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
	n.recovery = &Recovery{State: RecoveryWaiting, Reason: reason, DueAt: now + n.recoveryWait(), Lost: n.voter.others()}
	return nil
}

// Recovery returns the last recovery that was requested at this front, nil for none since it started.
func (n *Node) Recovery() *Recovery { return n.recovery }

// DiskPosition is how new a voter's disk is: of two, the one with the higher LastTerm is newer, or with the higher LastIndex where
// their terms are equal.
type DiskPosition struct {
	LastTerm, LastIndex uint64 // of the last log entry
}

// VoterDiskPosition returns how new this voter's disk is; ok is false at a front that has no voter's disk.
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

// recoveryWait is how long a lease that was granted just now may be in use.
func (n *Node) recoveryWait() time.Duration {
	return max(n.options.Timing.leaderLease(), upperBound(n.options.ConfigLease))
}

// checkRecovery returns why the voters must not, or need not, be recovered from this front's disk.
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

// knowsFleet reports whether a voter is linked to this one and has taken part in consensus.
func (n *Node) knowsFleet(name string) bool {
	p := n.peers[name]
	return p != nil && p.Voter && n.voter.vouchedBy[name]
}

// others returns the names of the other voters, sorted.
func (v *voter) others() (names []string) {
	for id, name := range v.nameByID {
		if id != v.id {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// continueRecovery writes the recovered state once the wait is over. What would have refused the recovery at first refuses it still.
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

// refuseRecovery ends a recovery that is under way without a change.
func (n *Node) refuseRecovery(err error) {
	r := n.recovery
	if r == nil || r.State != RecoveryWaiting && r.State != RecoveryWriting {
		return
	}
	r.State, r.Err = RecoveryRefused, err
	n.emit(VotersRecovered{Reason: r.Reason, Err: err})
}

// recoveredDisk returns what this voter's disk holds once it is the only voter: the replicated state with all entries of its log,
// also with those of which it does not know whether a majority had them.
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
	for _, name := range v.others() {
		floors[name] = excludedFloor
	}
	conf := &pb.ConfState{Voters: []uint64{v.id}}
	return &DiskWrite{
		Hard:     &pb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(v.id), Commit: proto.Uint64(state.Index)},
		Snapshot: &pb.Snapshot{Data: state.encode(), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(state.Index), Term: proto.Uint64(term)}},
		Floors:   floors,
	}, nil
}

// applyUncommitted applies the log's entries behind those that are known to be committed.
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
		_, _ = state.apply(e.GetIndex(), data) // a command may be without effect, as where it is applied in order
	}
	return nil
}

// finishRecovery takes the recovered state, which is on disk, into use: a new voter replaces this one. All links are made anew, so
// that those who are no longer voters are notified.
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
	n.closing = append(n.closing, n.Peers()...)
	n.recovery.State = RecoveryDone
	n.emit(VotersRecovered{Lost: n.recovery.Lost, Index: n.state.Index, Term: fresh.term, Reason: n.recovery.Reason})
}
