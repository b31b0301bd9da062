package fleet

import (
	"fmt"
	"hash/crc64"
	"io"
	"log"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// voter is a member of the consensus group, which is the raft library's. The library's own election clock is not used, since its
// randomness can't be seeded: a voter campaigns by itself when it had no contact with a leader for its election timeout.
type voter struct {
	node       *Node
	id         uint64
	nameByID   map[uint64]string
	haltReason string // "" while it runs
	consensusLog
	election
	confirmation
	diskOutput
	diskFloors
	admission
}

// consensusLog is the raft library's state of the log.
type consensusLog struct {
	rawNode   *raft.RawNode
	storage   *raft.MemoryStorage
	confState *pb.ConfState // the voters as of the last applied entry, nil before a first snapshot
	applied   uint64        // index of the last applied entry
	term      uint64        // as it is on disk
}

// raftLogger discards the library's log: what matters of it is emitted as events.
var raftLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

func init() { raft.SetLogger(raftLogger) }

// voterID is the raft library's id of a voter.
func voterID(name string) uint64 {
	id := crc64.Checksum([]byte(name), crc64.MakeTable(crc64.ECMA))
	return max(id, 1)
}

// newVoter returns the voter of a node, with what its disk holds. It sets the node's replicated state.
func newVoter(n *Node, disk *DiskState) (*voter, error) {
	v := &voter{
		node:         n,
		id:           voterID(n.options.Name),
		nameByID:     map[uint64]string{},
		consensusLog: consensusLog{storage: raft.NewMemoryStorage()},
		diskFloors:   newDiskFloors(disk.Floors),
		admission:    newAdmission(disk.Hard == nil),
	}
	if err := v.load(disk); err != nil {
		return nil, err
	}
	rawNode, err := raft.NewRawNode(&raft.Config{
		ID:                        v.id,
		ElectionTick:              1 << 20, // never: see drawElectionTimeout
		HeartbeatTick:             2,
		Storage:                   v.storage,
		Applied:                   v.applied,
		MaxSizePerMsg:             256 << 10,
		MaxInflightMsgs:           64,
		MaxUncommittedEntriesSize: 4 << 20,
		PreVote:                   true,
		Logger:                    raftLogger,
	})
	if err != nil {
		return nil, fmt.Errorf("start raft: %w", err)
	}
	v.rawNode = rawNode
	v.refreshNames()
	v.drawElectionTimeout()
	return v, nil
}

// load takes over what the disk holds. The disk of a new initial voter is written with the state before the first entry: the initial
// voters count as they were named at the first start.
func (v *voter) load(disk *DiskState) error {
	first := disk.Snapshot
	if disk.Hard == nil && first == nil && !v.node.options.JoinsExistingFleet {
		first = initialSnapshot(v.node.options.InitialVoters)
		v.pendingWrite = &DiskWrite{Snapshot: first}
	}
	if first != nil {
		if err := v.storage.ApplySnapshot(first); err != nil {
			return fmt.Errorf("apply the disk's snapshot: %w", err)
		}
		state, err := decodeReplicatedState(first.GetData())
		if err != nil {
			return fmt.Errorf("decode the disk's snapshot: %w", err)
		}
		v.node.state, v.applied = state, first.GetMetadata().GetIndex()
		v.confState = first.GetMetadata().GetConfState()
	}
	if disk.Hard != nil {
		_ = v.storage.SetHardState(disk.Hard) // in memory: it cannot fail
		v.term = disk.Hard.GetTerm()
		v.floor = Floor{Term: disk.Hard.GetTerm(), Vote: disk.Hard.GetVote(), Commit: disk.Hard.GetCommit()}
	}
	v.floor.OpenCount = disk.OpenCount
	if len(disk.Entries) > 0 {
		if err := v.storage.Append(disk.Entries); err != nil {
			return fmt.Errorf("append the disk's log entries: %w", err)
		}
	}
	return nil
}

// initialIndex is the index of the state before the first entry.
const initialIndex = 1

// initialSnapshot is the state before the first entry: the same at each initial voter.
func initialSnapshot(voters []Voter) *pb.Snapshot {
	state := newReplicatedState()
	state.Index = initialIndex
	conf := &pb.ConfState{}
	for _, f := range voters {
		state.Voters[f.Name] = f.Address
		conf.Voters = append(conf.Voters, voterID(f.Name))
	}
	slices.Sort(conf.Voters)
	return &pb.Snapshot{Data: state.encode(), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(initialIndex), Term: proto.Uint64(1)}}
}

// refreshNames updates the names behind the consensus group's ids.
func (v *voter) refreshNames() {
	for _, f := range v.node.options.InitialVoters {
		v.nameByID[voterID(f.Name)] = f.Name
	}
	for name := range v.node.state.Voters {
		v.nameByID[voterID(name)] = name
	}
}

// voterCount is the size of the consensus group.
func (v *voter) voterCount() int {
	if v.confState == nil {
		return 0
	}
	return len(v.confState.GetVoters())
}

// VoterHaltReason returns why this front's voter stopped, "" where it runs or there is none.
func (n *Node) VoterHaltReason() string {
	if n.voter == nil {
		return ""
	}
	return n.voter.haltReason
}

// isActiveVoter reports whether this front takes part in consensus: the log comes by consensus then, and from peers elsewhere.
func (n *Node) isActiveVoter() bool { return n.voter != nil && n.voter.haltReason == "" }

// halt stops this voter for good; the front continues as a follower.
func (v *voter) halt(reason string) {
	if v.haltReason == "" {
		v.haltReason = reason
		v.ready, v.pendingWrite, v.leaderID = nil, nil, 0
		v.node.leader = nil
		v.node.emit(VoterHalted{Reason: reason})
		v.node.refuseRecovery(&VoterHaltError{Reason: reason})
		v.node.closing = append(v.node.closing, v.node.Peers()...) // it connects to its peers again, as a follower
	}
}

// callRaft runs a call of the library. The library panics where a guarantee is broken, such as a log that lost committed entries:
// the voter halts, and the front continues as a follower.
func (v *voter) callRaft(call func()) {
	defer func() {
		if p := recover(); p != nil {
			v.halt(fmt.Sprint("consensus can't go on: ", p))
		}
	}()
	call()
}

// step handles another voter's message.
func (v *voter) step(now time.Duration, from string, data []byte) error {
	m := &pb.Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		return errInvalidConsensus
	}
	if m.GetFrom() != voterID(from) {
		return errForeignConsensus
	}
	if !v.mayVote() || m.GetTo() != v.id {
		return nil
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= v.term {
			v.leaderContactAt = now
		}
	case pb.MsgPreVote:
		if v.hasLiveLeader(now) { // a voter that lost only its own link to the leader must not unseat it
			return nil
		}
	}
	v.callRaft(func() { _ = v.rawNode.Step(m) }) // a message that raft does not take counts as lost
	v.process(now)
	return nil
}

// tick does what depends on time.
func (v *voter) tick(now time.Duration) {
	v.continueRecovery(now)
	if !v.mayVote() {
		return
	}
	switch {
	case v.isLeader():
		v.lead(now)
	case now-v.leaderContactAt > v.electionTimeout:
		v.leaderContactAt = now
		v.drawElectionTimeout()
		v.callRaft(func() { _ = v.rawNode.Campaign() }) // it is repeated after the next election timeout
	}
	v.process(now)
	if v.pendingWrite == nil && v.floorsDue(now, v.node.options.Timing.reportInterval()) {
		v.pendingWrite = &DiskWrite{Floors: v.copyFloors()}
	}
}

// propose proposes a command for the log; it fails unless this voter leads.
func (v *voter) propose(c *Command) bool {
	ok := false
	data := c.Encode()
	v.callRaft(func() { ok = v.isLeader() && v.rawNode.Propose(data) == nil })
	return ok
}

// proposeVoterChange proposes to add or remove a voter.
func (v *voter) proposeVoterChange(c *Command) bool {
	typ := pb.ConfChangeAddNode
	if c.Op == opRemoveVoter {
		typ = pb.ConfChangeRemoveNode
	}
	ok := false
	cc := &pb.ConfChange{Type: typ.Enum(), NodeId: proto.Uint64(voterID(c.Target)), Context: c.Encode()}
	v.callRaft(func() { ok = v.isLeader() && v.rawNode.ProposeConfChange(cc) == nil })
	return ok
}

// onLinkChange reports to the library that what was sent to another voter may be lost, a snapshot among it: it is sent anew. What is
// sent without a link is lost as well, so this is for a link's start and for its end. Without it the library waits for
// the voter's answer to the snapshot for as long as this voter leads.
func (v *voter) onLinkChange(name string) {
	id := voterID(name)
	if v.haltReason != "" || v.nameByID[id] != name {
		return
	}
	v.callRaft(func() {
		v.rawNode.ReportUnreachable(id)
		v.rawNode.ReportSnapshot(id, raft.SnapshotFailure)
	})
}
