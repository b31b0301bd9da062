package fleet

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// oldMembershipRecord is the membership record of programs from before configuration versions were published.
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
	Accepts     bool
	Leaving     bool
	Renewals    []LeaseRenewal
}

// Guards against fields that are decoded as other fields when programs of two versions run in one fleet. Each program must decode the
// fields that it knows and skip the rest.
func TestMessagesOfOtherVersionsAreDecoded(t *testing.T) {
	now := MembershipRecord{Name: "n1", Incarnation: 7, Seq: 9, Zone: "a", Address: "x:1", Version: "0.4.0", Index: 12, AcceptsLeases: true,
		Renewals: []LeaseRenewal{{Lease: "list", Term: 3}}, ActiveVersion: 5, WantsConfigLease: true, PendingVersion: 6, HasPending: true, Digests: []Digest{{Subsystem: "roll", Data: []byte("x")}}}
	b, err := msgpack.Marshal(&now)
	require.NoError(t, err)
	var same MembershipRecord
	require.NoError(t, msgpack.Unmarshal(b, &same))
	assert.Equal(t, now, same)

	b, err = msgpack.Marshal(&oldMembershipRecord{Name: "n1", Incarnation: 7, Seq: 9, Zone: "a", Address: "x:1", Version: "0.4.0", Index: 12, Accepts: true, Renewals: now.Renewals})
	require.NoError(t, err)
	var back MembershipRecord
	require.NoError(t, msgpack.Unmarshal(b, &back))
	assert.Equal(t, MembershipRecord{Name: "n1", Incarnation: 7, Seq: 9, Zone: "a", Address: "x:1", Version: "0.4.0", Index: 12, AcceptsLeases: true, Renewals: now.Renewals}, back)
	assert.False(t, back.WantsConfigLease, "an older program requests no configuration lease")

	b, err = msgpack.Marshal([]any{"n1", 7, 9, "a", "x:1", "0.9", 12, true, false, []any{[]any{"list", 3, 0, "news"}}, 5, true, 6, true, nil, "more", 17})
	require.NoError(t, err)
	var next MembershipRecord
	require.NoError(t, msgpack.Unmarshal(b, &next), "fields that a newer program adds are skipped")
	assert.Equal(t, now.Renewals, next.Renewals)
	assert.EqualValues(t, 6, next.PendingVersion)
	_, err = decodeReplicatedState([]byte{0x93, 1, 2, 3})
	assert.Error(t, err, "a replicated state is decoded completely or not at all")

	m := Message{Kind: kindCount, From: "n9"} // a kind that only a newer program knows
	assert.Error(t, m.check())
}

// oldRequest is the request of programs from before a request could declare several leases.
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

// DecodeMsgpack decodes a request as those programs do.
func (q *oldRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &q.ID, &q.Type, &q.Lease, &q.Term, &q.To, &q.Command)
}

// requestsOf returns the requests among the outgoing messages of a front.
func requestsOf(n *Node) (all []*Request) {
	for _, out := range n.Outgoing() {
		if out.Message.Kind == KindRequest {
			all = append(all, out.Message.Request)
		}
	}
	return all
}

// Guards against leases that stay undeclared, and requests that stay unanswered, between programs of two versions. A leader of an older
// program reads only the first lease of a request and proposes it in the requester's name, so the front must request the other leases
// again. A newer leader proposes declarations without the requester's name, so it must answer an older front once they are applied.
func TestDeclarationsBetweenVersions(t *testing.T) {
	n := newTestFollower(t, "n2")
	n.peers["k1"], n.upstream, n.isolated = &peer{}, "k1", false
	n.state.Index = 1
	leases := []string{"a", "b", "c"}
	for _, name := range leases {
		n.DeclareLease(name, 0)
	}
	for i, name := range leases {
		n.retryRequests(time.Second)
		requests := requestsOf(n)
		require.Len(t, requests, 1)
		require.Len(t, requests[0].Declarations, len(leases)-i-1)
		b, err := msgpack.Marshal(requests[0])
		require.NoError(t, err)
		var same Request
		require.NoError(t, msgpack.Unmarshal(b, &same))
		assert.Equal(t, requests[0], &same)
		var old oldRequest
		require.NoError(t, msgpack.Unmarshal(b, &old))
		assert.Equal(t, oldRequest{ID: requests[0].ID, Type: RequestProposal, Lease: name, Command: requests[0].Command}, old)
		var c Command
		require.NoError(t, msgpack.Unmarshal(old.Command, &c))
		assert.Equal(t, []any{opDeclareLease, name, "n2", old.ID}, []any{c.Op, c.Lease, c.Requester, c.RequestID})
		n.apply(time.Second, LogEntry{Index: n.state.Index + 1, Data: old.Command})
	}
	n.retryRequests(time.Second)
	assert.Empty(t, requestsOf(n))
	assert.Empty(t, n.pendingRequests)

	k, l := newTestLeader(t)
	b, err := msgpack.Marshal(&oldRequest{ID: 9, Type: RequestProposal, Lease: "a",
		Command: (&Command{Op: opDeclareLease, Lease: "a", Requester: "n2", RequestID: 9}).Encode()})
	require.NoError(t, err)
	var q Request
	require.NoError(t, msgpack.Unmarshal(b, &q))
	l.onRequest(0, &Message{From: "n2", Request: &q})
	require.Empty(t, k.Outgoing(), "the lease is not declared yet")
	k.state.declareLease(&Command{Lease: "a"})
	l.onRequest(0, &Message{From: "n2", Request: &q})
	out := k.Outgoing()
	require.Len(t, out, 1)
	assert.Equal(t, &LeaderReply{RequestID: 9}, out[0].Message.Reply)
}

// oldProbeResult is the probe result of programs from before results had a role.
type oldProbeResult struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Server         string
	Healthy        bool
	Code           string
	ConnectionLost bool
	Pending        bool
}

// DecodeMsgpack decodes a result as those programs do.
func (result *oldProbeResult) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &result.Server, &result.Healthy, &result.Code, &result.ConnectionLost, &result.Pending)
}

func TestProbeResultsBetweenVersions(t *testing.T) {
	var old oldProbeResult
	newer := ProbeResult{Server: "s-1", Healthy: true, Role: ClaimedPrimary}
	require.NoError(t, msgpack.Unmarshal(newer.Encode(), &old))
	assert.Equal(t, oldProbeResult{Server: "s-1", Healthy: true}, old)
	same, ok := DecodeProbeResult(newer.Encode())
	require.True(t, ok)
	assert.Equal(t, newer, same)

	b, err := hex.DecodeString("95a3732d31c3a53537503033c3c3") // as an older program encodes it
	require.NoError(t, err)
	result, ok := DecodeProbeResult(b)
	require.True(t, ok)
	assert.Equal(t, ProbeResult{Server: "s-1", Healthy: true, Code: "57P03", ConnectionLost: true, Pending: true}, result)
	assert.False(t, result.ReplacesProbe(), "the server may be the primary")
}
