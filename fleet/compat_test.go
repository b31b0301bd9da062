package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// oldPresence is the membership record of the program before versions were published.
type oldMembershipRecord struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Name        string
	Incarnation uint64
	Seq         uint64
	Zone        string
	Address     string
	Version     string
	Index       uint64
	Willing     bool
	Leaving     bool
	Claims      []LeaseRenewal
}

// Programs of two versions in one fleet: each reads what it knows of the other's words, and nothing is taken for something else.
func TestMessagesOfOlderAndNewerProgramsAreRead(t *testing.T) {
	now := MembershipRecord{Name: "n1", Incarnation: 7, Seq: 9, Zone: "a", Address: "x:1", Version: "0.4.0", Index: 12, AcceptsLeases: true,
		Renewals: []LeaseRenewal{{Lease: "list", Term: 3}}, ActiveVersion: 5, WantsConfigLease: true, PendingVersion: 6, HasPending: true, Digests: []Digest{{Subsystem: "roll", Data: []byte("x")}}}
	b, err := msgpack.Marshal(&now)
	require.NoError(t, err)
	var same MembershipRecord
	require.NoError(t, msgpack.Unmarshal(b, &same))
	assert.Equal(t, now, same)

	b, err = msgpack.Marshal(&oldMembershipRecord{Name: "n1", Incarnation: 7, Seq: 9, Zone: "a", Address: "x:1", Version: "0.4.0", Index: 12, Willing: true, Claims: now.Renewals})
	require.NoError(t, err)
	var back MembershipRecord
	require.NoError(t, msgpack.Unmarshal(b, &back))
	assert.Equal(t, MembershipRecord{Name: "n1", Incarnation: 7, Seq: 9, Zone: "a", Address: "x:1", Version: "0.4.0", Index: 12, AcceptsLeases: true, Renewals: now.Renewals}, back)
	assert.False(t, back.WantsConfigLease, "it asks for no right")

	b, err = msgpack.Marshal([]any{"n1", 7, 9, "a", "x:1", "0.9", 12, true, false, []any{[]any{"list", 3, 0, "news"}}, 5, true, 6, true, nil, "more", 17})
	require.NoError(t, err)
	var next MembershipRecord
	require.NoError(t, msgpack.Unmarshal(b, &next), "what a newer program adds is passed over")
	assert.Equal(t, now.Renewals, next.Renewals)
	assert.EqualValues(t, 6, next.PendingVersion)
	_, err = decodeReplicatedState([]byte{0x93, 1, 2, 3})
	assert.Error(t, err, "a replicated state is read whole or not")

	m := Message{Kind: kindCount, From: "n9"} // of a newer program
	assert.Error(t, m.check())
}

func TestReplicatedStateSaysWhichVersionsAreAllowed(t *testing.T) {
	state := newReplicatedState()
	assert.True(t, state.allowsVersion(0) && state.allowsVersion(9), "all, where nothing is said")
	state.Values[AllowedVersionsKey] = &StoredValue{Index: 3, Value: AllowedVersions{Min: 2, Max: 3}.Encode()}
	assert.Equal(t, []bool{false, true, true, false}, []bool{state.allowsVersion(1), state.allowsVersion(2), state.allowsVersion(3), state.allowsVersion(4)})
	state.Values[AllowedVersionsKey].Value = AllowedVersions{Min: 0, Max: 2}.Encode()
	assert.False(t, state.allowsVersion(1), "a version between them was taken back")
}

// A word that was long on its way gives no more than one that came at once; a word for another start, or for a version that
// this front does not ask for, gives nothing.
func TestConfigLeaseCountsFromItsRequest(t *testing.T) {
	n, err := New(Options{Name: "n1", Incarnation: 7, Timing: Timing{LeaseDuration: 3 * time.Second}, ConfigLease: 12 * time.Second}, nil)
	require.NoError(t, err)
	n.Tick(1600 * time.Millisecond)
	asked := n.reportSeq
	require.Equal(t, 1600*time.Millisecond, n.sentAt[asked])
	n.Tick(3 * time.Second)
	for _, nothing := range []Position{{Name: "n1", Term: 6, Index: asked}, {Name: "n1", Term: 7, Index: asked, Version: 3}, {Name: "n1", Term: 7, Index: asked + 1}} {
		n.onConfigLeases([]Position{nothing})
		assert.Zero(t, n.ConfigLeaseExpiry(nothing.Version))
	}
	n.onConfigLeases([]Position{{Name: "n1", Term: 7, Index: asked}})
	assert.Equal(t, 1600*time.Millisecond+10500*time.Millisecond, n.ConfigLeaseExpiry(0))
	n.SetPendingVersion(3100*time.Millisecond, 3)
	n.onConfigLeases([]Position{{Name: "n1", Term: 7, Index: n.reportSeq, Version: 3}})
	assert.Equal(t, 3100*time.Millisecond+10500*time.Millisecond, n.ConfigLeaseExpiry(3))
	n.SetActiveVersion(3200*time.Millisecond, 3)
	n.onConfigLeases([]Position{{Name: "n1", Term: 7, Index: n.reportSeq, Version: 3}})
	assert.Zero(t, n.ConfigLeaseExpiry(0), "what it acts on no more")
}

// A configuration lease on a version that is not allowed is not renewed, though a majority confirms the leader.
func TestLeaderRenewsNoConfigLeaseOnAVersionThatIsNotAllowed(t *testing.T) {
	n, err := New(Options{Name: "k1", Incarnation: 1, Timing: Timing{LeaseDuration: 3 * time.Second}, InitialVoters: []Voter{{"k1", "x"}}}, &DiskState{OpenCount: 1})
	require.NoError(t, err)
	l := newLeader(n, n.voter, 0)
	l.ready = true
	n.routes["n2"] = route{via: "p"}
	n.peers["p"] = &peer{}
	ask := func(acts uint64) []OutgoingMessage {
		l.onMembership(time.Second, MembershipRecord{Name: "n2", Incarnation: 4, Seq: acts + 1, ActiveVersion: acts, WantsConfigLease: true})
		l.renewConfigLeases(n.voter.readRounds)
		require.Empty(t, n.Outgoing(), "not before a round that began behind the word")
		l.renewConfigLeases(n.voter.readRounds + 1)
		return n.Outgoing()
	}
	n.state.Values[AllowedVersionsKey] = &StoredValue{Index: 3, Value: AllowedVersions{Min: 2, Max: 3}.Encode()}
	assert.Empty(t, ask(1))
	require.Len(t, ask(2), 1)
	assert.Empty(t, ask(4))
}

// oldRequest is a request of the program before a request declared several leases.
type oldRequest struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	ID      uint64
	Type    uint8
	Lease   string
	Term    uint64
	To      string
	Command []byte
}

func (q *oldRequest) DecodeMsgpack(d *msgpack.Decoder) error { // as that program did
	return decodeLenient(d, &q.ID, &q.Type, &q.Lease, &q.Term, &q.To, &q.Command)
}

// requestsOf returns the requests that a front sends to its one peer.
func requestsOf(n *Node) (all []*Request) {
	for _, out := range n.Outgoing() {
		if out.Message.Kind == KindRequest {
			all = append(all, out.Message.Request)
		}
	}
	return all
}

// A leader of an older program reads the first lease of a request and proposes it with its asker; the front asks for the others
// then. A newer leader answers an older front, whose declarations enter the log without its name, once they are there.
func TestDeclarationsPassBetweenOlderAndNewerPrograms(t *testing.T) {
	n, err := New(Options{Name: "n2", Incarnation: 7, Timing: Timing{LeaseDuration: 3 * time.Second}}, nil)
	require.NoError(t, err)
	n.peers["k1"], n.upstream, n.isolated = &peer{}, "k1", false
	n.state.Index = 1
	leases := []string{"a", "b", "c"}
	for _, name := range leases {
		n.DeclareLease(name, 0)
	}
	for i, name := range leases {
		n.retryRequests(time.Second)
		asked := requestsOf(n)
		require.Len(t, asked, 1)
		require.Len(t, asked[0].Declarations, len(leases)-i-1)
		b, err := msgpack.Marshal(asked[0])
		require.NoError(t, err)
		var same Request
		require.NoError(t, msgpack.Unmarshal(b, &same))
		assert.Equal(t, asked[0], &same)
		var old oldRequest
		require.NoError(t, msgpack.Unmarshal(b, &old))
		assert.Equal(t, oldRequest{ID: asked[0].ID, Type: RequestProposal, Lease: name, Command: asked[0].Command}, old)
		var c Command
		require.NoError(t, msgpack.Unmarshal(old.Command, &c))
		assert.Equal(t, []any{opDeclareLease, name, "n2", old.ID}, []any{c.Op, c.Lease, c.Requester, c.RequestID})
		n.apply(time.Second, LogEntry{Index: n.state.Index + 1, Data: old.Command})
	}
	n.retryRequests(time.Second)
	assert.Empty(t, requestsOf(n))
	assert.Empty(t, n.pendingRequests)

	k, err := New(Options{Name: "k1", Incarnation: 1, InitialVoters: []Voter{{"k1", "x"}}}, &DiskState{OpenCount: 1})
	require.NoError(t, err)
	l := newLeader(k, k.voter, 0)
	l.ready = true
	k.routes["n2"], k.peers["p"] = route{via: "p"}, &peer{}
	b, err := msgpack.Marshal(&oldRequest{ID: 9, Type: RequestProposal, Lease: "a",
		Command: (&Command{Op: opDeclareLease, Lease: "a", Requester: "n2", RequestID: 9}).Encode()})
	require.NoError(t, err)
	var q Request
	require.NoError(t, msgpack.Unmarshal(b, &q))
	l.onRequest(0, &Message{From: "n2", Request: &q})
	require.Empty(t, k.Outgoing(), "it is not declared yet")
	k.state.declareLease(&Command{Lease: "a"})
	l.onRequest(0, &Message{From: "n2", Request: &q})
	out := k.Outgoing()
	require.Len(t, out, 1)
	assert.Equal(t, &LeaderReply{RequestID: 9}, out[0].Message.Reply)
}

func TestARequestWithTooManyDeclarationsIsRefused(t *testing.T) {
	m := Message{Kind: KindRequest, From: "n2", Request: &Request{Declarations: make([]Declaration, maxDeclarations)}}
	assert.Error(t, m.check(), "without names")
	for i := range m.Request.Declarations {
		m.Request.Declarations[i].Lease = "a"
	}
	assert.NoError(t, m.check())
	m.Request.Declarations = append(m.Request.Declarations, Declaration{Lease: "a"})
	assert.Error(t, m.check())
}

// What is asked in one lease duration is remembered through the next; a front that asks without end waits until there is room.
func TestProposalsAreRememberedWhileTheyMayBeRepeated(t *testing.T) {
	m := newProposalMemory(0)
	for id := range uint64(maxRememberedProposals) {
		require.True(t, m.admit("n2", id))
		m.add("n2", id)
	}
	assert.False(t, m.admit("n2", maxRememberedProposals), "there is no room")
	assert.True(t, m.admit("n3", 0), "for another there is")
	m.rotate(3*time.Second, 3*time.Second)
	assert.False(t, m.admit("n2", 5), "repeated, and so remembered for longer")
	m.rotate(6*time.Second, 3*time.Second)
	assert.False(t, m.admit("n2", 5))
	assert.True(t, m.admit("n2", 6), "not repeated for a lease duration")
}
