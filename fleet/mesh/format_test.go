package mesh

import (
	"bytes"
	"encoding/hex"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
	"dapplerouter/framing"
)

// wireMessages returns messages that together have a value in each field. testdata/wire.txt holds the greeting and then the frames of
// these messages, as version 0.3.0 sends them.
func wireMessages() []fleet.Message {
	member := fleet.MembershipRecord{Name: "n1", Incarnation: 7, Seq: 9, Zone: "a", Address: "x:1", Version: "0.3.0", Index: 12, AcceptsLeases: true, Leaving: true,
		Renewals: []fleet.LeaseRenewal{{Lease: "list", Term: 3, Progress: 4}}, ActiveVersion: 5, WantsConfigLease: true, PendingVersion: 6, HasPending: true,
		Digests: []fleet.Digest{{Subsystem: "roll", Data: []byte("x")}}}
	return []fleet.Message{
		{Kind: fleet.KindHello, From: "n1", Index: 300, Term: 70000, Hello: &fleet.Handshake{Fleet: "f", Name: "n1", Incarnation: 1 << 39, Zone: "a", Address: "x:1", Format: 1,
			Voter: true, Dialled: true, Floor: fleet.Floor{Term: 1, Vote: 2, Commit: 3, OpenCount: 4}, KnownFloor: fleet.Floor{Term: 5, Vote: 6, Commit: 7, OpenCount: 8}}},
		{Kind: fleet.KindReject, Reason: "another fleet", Members: []fleet.MembershipRecord{member}},
		{Kind: fleet.KindRequest, From: "n1", Number: 1, Request: &fleet.Request{ID: 1 << 33, Type: fleet.RequestTransfer, Lease: "list", Term: 3, To: "n2", Command: []byte{1, 2},
			Declarations: []fleet.Declaration{{Lease: "scout/1", Bound: time.Second}}}},
		{Kind: fleet.KindReply, From: "n2", Name: "n1", Reply: &fleet.LeaderReply{RenewedSeq: 1, Renewed: member.Renewals, Release: "list", Term: 2, TransferTo: "n3", RequestID: 4,
			Error: "no", DisplacedIncarnation: 5, Reports: []fleet.MemberReport{{Front: "n1", Incarnation: 7, Zone: "a", Age: time.Second, ActiveVersion: 1, WantsConfigLease: true, Leaving: true,
				Index: 9, Data: []byte("d")}}}},
		{Kind: fleet.KindBroadcast, From: "n1", Term: 3, Number: 4, Name: "list", Data: bytes.Repeat([]byte{7}, 300), Entries: []fleet.LogEntry{{Index: 9, Data: []byte("e")}},
			Positions: []fleet.Position{{Name: "list", Term: 1, Index: 2, Version: 3}}},
	}
}

func TestWireFormatIsThatOfVersion030(t *testing.T) {
	text, err := os.ReadFile("testdata/wire.txt")
	require.NoError(t, err)
	want := strings.Fields(string(text))
	require.Len(t, want, 1+len(wireMessages()))

	greeting, err := hex.DecodeString(want[0])
	require.NoError(t, err)
	var wire bytes.Buffer
	k := framing.NewCodec[fleet.Message](protocol, struct {
		io.Reader
		io.Writer
	}{bytes.NewReader(greeting), &wire})
	require.NoError(t, k.Greet())
	assert.Equal(t, want[0], hex.EncodeToString(wire.Bytes()), "the greeting")
	for i, m := range wireMessages() {
		wire.Reset()
		require.NoError(t, k.Append(&m))
		require.NoError(t, k.Flush())
		assert.Equal(t, want[i+1], hex.EncodeToString(wire.Bytes()), "frame of %v", m.Kind)
		frame, err := hex.DecodeString(want[i+1])
		require.NoError(t, err)
		var read fleet.Message
		require.NoError(t, framing.NewCodec[fleet.Message](protocol, bytes.NewBuffer(frame)).Read(&read))
		assert.Equal(t, m, read)
	}
}
