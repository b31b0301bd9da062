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

// voter is this front's member of the consensus group. It runs the raft library, but not the library's election timer, whose
// randomness can't be seeded: a voter campaigns when it has had no contact with a leader for its election timeout.
type voter struct {
	node       *Node
	id         uint64
	nameByID   map[uint64]string
	haltReason string // why the voter stopped, "" while it runs
	consensusLog
	election
	confirmation
	diskOutput
	diskFloors
	admission
}

// consensusLog is the log as the raft library holds it in memory.
type consensusLog struct {
	rawNode   *raft.RawNode
	storage   *raft.MemoryStorage
	confState *pb.ConfState // the voters as of the last applied entry, nil before the first snapshot
	applied   uint64        // the index of the last applied entry
	term      uint64        // the raft term that is on disk
}

// raftLogger discards the raft library's log lines. What an operator needs to know is emitted as events.
var raftLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

func init() { raft.SetLogger(raftLogger) }

// voterID returns the id by which the raft library knows a voter: a checksum of its name, never 0.
func voterID(name string) uint64 {
	id := crc64.Checksum([]byte(name), crc64.MakeTable(crc64.ECMA))
	return max(id, 1)
}

// newVoter returns a node's voter with the state that its disk holds. It also sets the node's replicated state.
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
		ElectionTick:              1 << 20, // too long to be reached: see drawElectionTimeout
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

// load initialises the voter and the node's replicated state from the disk. Where the disk of an initial voter is new, it prepares
// a write of the state before the first entry. So the initial voters are those that were configured at the first start.
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
		_ = v.storage.SetHardState(disk.Hard) // an in-memory write, which cannot fail
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

// initialIndex is the index of the replicated state before the first entry.
const initialIndex = 1

// initialSnapshot returns the state before the first entry. It has the same bytes at each initial voter.
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

// refreshNames updates the map from the raft ids of the voters to their names.
func (v *voter) refreshNames() {
	for _, f := range v.node.options.InitialVoters {
		v.nameByID[voterID(f.Name)] = f.Name
	}
	for name := range v.node.state.Voters {
		v.nameByID[voterID(name)] = name
	}
}

// voterCount returns the size of the consensus group.
func (v *voter) voterCount() int {
	if v.confState == nil {
		return 0
	}
	return len(v.confState.GetVoters())
}

// VoterHaltReason returns why this front's voter stopped. It returns "" where the voter runs or this front has none.
func (n *Node) VoterHaltReason() string {
	if n.voter == nil {
		return ""
	}
	return n.voter.haltReason
}

// isActiveVoter reports whether this front has a voter that has not halted. An active voter receives the log by consensus. Any
// other front receives it from its peers.
func (n *Node) isActiveVoter() bool { return n.voter != nil && n.voter.haltReason == "" }

// halt stops this voter until the process restarts. The front continues as a follower.
func (v *voter) halt(reason string) {
	if v.haltReason == "" {
		v.haltReason = reason
		v.ready, v.pendingWrite, v.leaderID = nil, nil, 0
		v.node.leader = nil
		v.node.emit(VoterHalted{Reason: reason})
		v.node.refuseRecovery(&VoterHaltError{Reason: reason})
		v.node.linksToClose = append(v.node.linksToClose, v.node.Peers()...) // the front connects to its peers again, as a follower
	}
}

// callRaft runs a call of the raft library. The library panics where one of its guarantees is broken, such as by a log that lost
// committed entries. The voter then halts, and the front continues as a follower.
func (v *voter) callRaft(call func()) {
	defer func() {
		if p := recover(); p != nil {
			v.halt(fmt.Sprint("consensus can't go on: ", p))
		}
	}()
	call()
}

// step handles a raft message of another voter.
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
		if v.hasLiveLeader(now) { // a voter that lost only its own link to the leader must not cause an election
			return nil
		}
	}
	v.callRaft(func() { _ = v.rawNode.Step(m) }) // a message that the library rejects counts as lost
	v.processReady(now)
	return nil
}

// tick continues a recovery, keeps the leadership or campaigns, and writes the floors of other voters when they are due.
func (v *voter) tick(now time.Duration) {
	v.continueRecovery(now)
	if !v.mayVote() {
		return
	}
	switch {
	case v.isLeader():
		v.tickLeader(now)
	case now-v.leaderContactAt > v.electionTimeout:
		v.leaderContactAt = now
		v.drawElectionTimeout()
		v.callRaft(func() { _ = v.rawNode.Campaign() }) // after a failure it campaigns again at the next election timeout
	}
	v.processReady(now)
	if v.pendingWrite == nil && v.floorsDue(now, v.node.options.Timing.reportInterval()) {
		v.pendingWrite = &DiskWrite{Floors: v.copyFloors()}
	}
}

// propose proposes a command for the log. It reports whether the library accepted the proposal, which it does only at the leader.
func (v *voter) propose(c *Command) bool {
	ok := false
	data := c.Encode()
	v.callRaft(func() { ok = v.isLeader() && v.rawNode.Propose(data) == nil })
	return ok
}

// proposeVoterChange proposes to add or remove a voter. It reports whether the library accepted the proposal.
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

// onLinkChange reports to the raft library that messages and snapshots sent to another voter may be lost, so that the library sends
// them again. It must be called at the start of a link as well as at its end, because messages sent without a link are lost
// too. Otherwise the library would wait for the answer to a lost snapshot for as long as this voter leads.
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
