package fleet

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"hash/crc64"
	"io"
	"log"
	"slices"
	"strconv"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// voter is a member of the consensus group, which is the raft library's. The library's own election clock is not used, since its
// randomness can't be seeded: a voter campaigns by itself when it has heard no leader for its election timeout.
type voter struct {
	node      *Node
	id        uint64
	rawNode   *raft.RawNode
	storage   *raft.MemoryStorage
	confState *pb.ConfState
	nameByID  map[uint64]string
	applied   uint64

	leaderContactAt time.Duration // when a leader's message was received last
	electionTimeout time.Duration
	timeoutDraws    int
	leaderID        uint64
	term            uint64

	floor         Floor // as it is on disk
	peerFloors    map[string]Floor
	floorsSavedAt time.Duration
	floorsDirty   bool
	admission
	haltReason string

	ready        *raft.Ready // waiting for its disk write
	pendingWrite *DiskWrite
	confChanged  bool // the voters differ from those in the last snapshot

	readRounds  uint64 // rounds by which a leader confirms that it still leads
	readAt      time.Duration
	confirmedAt time.Duration
	silenced    bool
}

// raftLogger discards the library's log: what matters of it is emitted as events.
var raftLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

func init() { raft.SetLogger(raftLogger) }

// voterID is the raft library's id of a voter.
func voterID(name string) uint64 {
	id := crc64.Checksum([]byte(name), crc64.MakeTable(crc64.ECMA))
	return max(id, 1)
}

func newVoter(n *Node, s *DiskState) (*voter, error) {
	v := &voter{node: n, id: voterID(n.options.Name), storage: raft.NewMemoryStorage(), nameByID: map[uint64]string{},
		peerFloors: map[string]Floor{}, admission: newAdmission(s.Hard == nil)}
	for name, f := range s.Floors {
		v.peerFloors[name] = f
	}
	first := s.Snapshot
	if s.Hard == nil && first == nil && !n.options.JoinsExistingFleet {
		first = initialSnapshot(n.options.InitialVoters)
		v.pendingWrite = &DiskWrite{Snapshot: first} // the initial voters count as they were named at the first start
	}
	if first != nil {
		if err := v.storage.ApplySnapshot(first); err != nil {
			return nil, err
		}
		state, err := decodeReplicatedState(first.GetData())
		if err != nil {
			return nil, err
		}
		n.state, v.applied = state, first.GetMetadata().GetIndex()
		v.confState = first.GetMetadata().GetConfState()
	}
	if s.Hard != nil {
		v.storage.SetHardState(s.Hard)
		v.term = s.Hard.GetTerm()
		v.floor = Floor{Term: s.Hard.GetTerm(), Vote: s.Hard.GetVote(), Commit: s.Hard.GetCommit()}
	}
	v.floor.OpenCount = s.OpenCount
	if len(s.Entries) > 0 {
		if err := v.storage.Append(s.Entries); err != nil {
			return nil, err
		}
	}
	var err error
	v.rawNode, err = raft.NewRawNode(&raft.Config{ID: v.id, ElectionTick: 1 << 20, HeartbeatTick: 2, Storage: v.storage, Applied: v.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, PreVote: true,
		Logger: raftLogger})
	v.refreshNames()
	v.drawElectionTimeout()
	return v, err
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

// drawElectionTimeout draws the next election timeout, once to twice the minimum, so that voters don't campaign in step.
func (v *voter) drawElectionTimeout() {
	v.timeoutDraws++
	sum := crc32.ChecksumIEEE([]byte(strconv.FormatUint(v.node.options.Seed, 16) + "." + strconv.Itoa(v.timeoutDraws)))
	least := v.node.options.Timing.electionTimeout()
	v.electionTimeout = least + time.Duration(float64(least)*float64(sum)/(1<<32))
}

// voterCount is the size of the consensus group.
func (v *voter) voterCount() int {
	if v.confState == nil {
		return 0
	}
	return len(v.confState.GetVoters())
}

// IsLeader reports whether this front is the leader.
func (n *Node) IsLeader() bool { return n.leader != nil }

// VoterHaltReason returns why this front's voter stopped, "" where it runs or there is none.
func (n *Node) VoterHaltReason() string {
	if n.voter == nil {
		return ""
	}
	return n.voter.haltReason
}

// isActiveVoter reports whether this front takes part in consensus: the log comes by consensus then, and from peers elsewhere.
func (n *Node) isActiveVoter() bool { return n.voter != nil && n.voter.haltReason == "" }

// halt stops this voter for good; the front goes on as a follower.
func (v *voter) halt(reason string) {
	if v.haltReason == "" {
		v.haltReason = reason
		v.ready, v.pendingWrite, v.leaderID = nil, nil, 0
		v.node.leader = nil
		v.node.emit(VoterHalted{Reason: reason})
		v.node.refuseRecovery(reason)
		v.node.closing = append(v.node.closing, v.node.Peers()...) // it greets its peers again, as a follower
	}
}

// callRaft runs a call of the library. The library panics where a guarantee is broken, such as a log that lost committed entries:
// the voter halts, and the front goes on as a follower.
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
	case pb.MsgPreVote: // a voter that lost only its own link to the leader must not unseat it
		lastContact := v.leaderContactAt
		if v.isLeader() {
			lastContact = v.confirmedAt
		}
		if v.leaderID != 0 && now-lastContact < v.node.options.Timing.electionTimeout() {
			return nil
		}
	}
	v.callRaft(func() { v.rawNode.Step(m) })
	v.process(now)
	return nil
}

// isLeader reports whether this voter leads the consensus group.
func (v *voter) isLeader() bool { return v.leaderID == v.id }

// tick does what depends on time.
func (v *voter) tick(now time.Duration) {
	v.continueRecovery(now)
	if !v.mayVote() {
		return
	}
	timing := v.node.options.Timing
	switch {
	case v.isLeader():
		v.lead(now)
	case now-v.leaderContactAt > v.electionTimeout:
		v.leaderContactAt = now
		v.drawElectionTimeout()
		v.callRaft(func() { v.rawNode.Campaign() })
	}
	v.process(now)
	if v.floorsDirty && v.pendingWrite == nil && now-v.floorsSavedAt >= timing.reportInterval() {
		v.floorsSavedAt, v.floorsDirty = now, false
		v.pendingWrite = &DiskWrite{Floors: v.copyFloors()}
	}
}

// lead keeps the consensus group's heartbeats and confirmation rounds going. A leader without a confirmation is silenced: its
// followers may hear it, but it hears none, so they must elect another. It tries a round now and then.
func (v *voter) lead(now time.Duration) {
	timing := v.node.options.Timing
	if now-v.confirmedAt > 2*timing.electionTimeout() {
		v.silenced = true
	}
	if v.silenced {
		if now-v.readAt >= 6*timing.electionTimeout() {
			v.confirm(now)
		}
		return
	}
	v.callRaft(v.rawNode.Tick)
	if now-v.readAt >= timing.HeartbeatInterval() || v.node.leader.hasUnconfirmed() {
		v.confirm(now)
	}
}

// confirm asks a majority whether this voter still leads. The answer confirms renewals that were received before the question.
func (v *voter) confirm(now time.Duration) {
	v.readRounds++
	v.readAt = now
	var mark [8]byte
	binary.BigEndian.PutUint64(mark[:], v.readRounds)
	v.callRaft(func() { v.rawNode.ReadIndex(mark[:]) })
}

// propose proposes a command for the log; it fails unless this voter leads.
func (v *voter) propose(c *Command) bool {
	ok := false
	data := c.Encode()
	v.callRaft(func() { ok = v.isLeader() && v.rawNode.Propose(data) == nil })
	return ok
}

// onSoftState handles a change of leadership.
func (v *voter) onSoftState(now time.Duration, s *raft.SoftState) {
	was := v.isLeader()
	if s.Lead != v.leaderID {
		v.leaderContactAt = now
	}
	v.leaderID = s.Lead
	switch {
	case v.isLeader() && !was:
		v.confirmedAt, v.silenced, v.readAt = now, false, now
		v.node.leader = newLeader(v.node, v, now)
		v.node.emit(BecameLeader{Term: v.rawNode.BasicStatus().HardState.GetTerm()})
	case was && !v.isLeader():
		v.node.leader = nil
		v.node.emit(LostLeadership{})
	}
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

// transferLeadership transfers the leadership to the most advanced linked voter, for a leader that shuts down.
func (v *voter) transferLeadership() {
	if !v.isLeader() {
		return
	}
	best, at := uint64(0), uint64(0)
	v.callRaft(func() {
		for id, pr := range v.rawNode.Status().Progress {
			if name := v.nameByID[id]; id != v.id && v.node.peers[name] != nil && (pr.Match > at || pr.Match == at && (best == 0 || id < best)) {
				best, at = id, pr.Match
			}
		}
		if best != 0 {
			v.rawNode.TransferLeader(best)
		}
	})
}
