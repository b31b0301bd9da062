package fleet

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/discovery"
	"dapplerouter/framing"
	"dapplerouter/routing"
)

// encodingsFile has the expected encodings of samples. Other versions of the program read such bytes from links, voters' disks and
// history files. So an encoding may change only by a new field at the end of a message, or with a new Format.
const encodingsFile = "testdata/encodings.txt"

// encodings reads encodingsFile, which has a name and hexadecimal bytes on each line, and returns the bytes by name.
func encodings(t *testing.T) map[string]string {
	t.Helper()
	data, err := os.ReadFile(encodingsFile)
	require.NoError(t, err)
	all := map[string]string{}
	for line := range strings.Lines(string(data)) {
		name, encoded, ok := strings.Cut(strings.TrimSpace(line), "\t")
		require.True(t, ok, line)
		all[name] = encoded
	}
	return all
}

// sampleMessages returns a message of each kind, with a value in each field that this kind uses.
func sampleMessages() []Message {
	floor := Floor{Term: 3, Vote: 1 << 63, Commit: 70000, OpenCount: 2}
	return []Message{
		{Kind: KindHello, From: "n1", Index: 12, Hello: &Handshake{Fleet: "6f0c", Name: "n1", Incarnation: 1790000000000000000, Zone: "a",
			Address: "10.0.0.1:7500", Format: 1, Voter: true, Dialled: true, Floor: floor, KnownFloor: Floor{Term: 2, Vote: 5, Commit: 6, OpenCount: 1}}},
		{Kind: KindReject, Reason: string(errTooManyFollowers), Members: []MembershipRecord{{Name: "n2", Address: "10.0.0.2:7500"}}},
		{Kind: KindPing, Index: 12, Hello: &Handshake{Name: "n1", Floor: floor, KnownFloor: excludedFloor}},
		{Kind: KindConsensus, Data: []byte{8, 1, 16, 2}},
		{Kind: KindHeartbeat, From: "n1", Index: 12, Term: 3, Number: 400},
		{Kind: KindEntries, From: "n1", Index: 13, Entries: []LogEntry{{Index: 12, Data: []byte("x")}, {Index: 13}}},
		{Kind: KindSnapshot, From: "n1", Index: 12, Data: []byte("state")},
		{Kind: KindEntriesRequest, Index: 12, Number: 1},
		{Kind: KindMembership, From: "n2", Members: []MembershipRecord{{Name: "n3", Incarnation: 7, Seq: 9, Zone: "b", Address: "10.0.0.3:7500",
			Version: "0.9.0", Index: 12, AcceptsLeases: true, Leaving: true, Renewals: []LeaseRenewal{{Lease: "list", Term: 3, Progress: 44}},
			ActiveVersion: 5, WantsConfigLease: true, PendingVersion: 6, HasPending: true, Digests: []Digest{{Subsystem: "roll", Data: []byte("x")}}}}},
		{Kind: KindRequest, From: "n3", Number: 2, Request: &Request{ID: 1 << 40, Type: RequestTransfer, Lease: "list", Term: 3, To: "n2",
			Command: []byte("c"), Declarations: []Declaration{{Lease: "scout/1", Bound: 6 * time.Second}}}},
		{Kind: KindReply, From: "n1", Term: 3, Number: 1, Name: "n3", Reply: &LeaderReply{RenewedSeq: 9, Renewed: []LeaseRenewal{{Lease: "list", Term: 3, Progress: 44}},
			Release: "scout/1", Term: 4, TransferTo: "n2", RequestID: 1 << 40, Error: "nobody holds it", DisplacedIncarnation: 6,
			Reports: []MemberReport{{Front: "n2", Incarnation: 8, Zone: "a", Age: 1500 * time.Millisecond, ActiveVersion: 5, WantsConfigLease: true,
				Leaving: true, Index: 11, Data: []byte("d")}}}},
		{Kind: KindBroadcast, From: "n1", Term: 3, Number: 17, Name: "list", Data: []byte("update")},
		{Kind: KindMirrorPositions, From: "n1", Positions: []Position{{Name: "list", Term: 3, Index: 18}}},
		{Kind: KindDatagram, From: "n1", Number: 1, Name: "n3", Reason: "audit", Data: []byte("d")},
		{Kind: KindConfigLeases, Positions: []Position{{Name: "n3", Term: 7, Index: 9, Version: 5}}},
		{Kind: KindSnapshotChunk, From: "n1", Index: 12, Term: 65536, Number: 32768, Data: []byte("chunk")},
	}
}

// sampleCommands returns a command of each operation, by its name in encodingsFile.
func sampleCommands() map[string]Command {
	return map[string]Command{
		"command none":          {Op: opNone},
		"command declare lease": {Op: opDeclareLease, Lease: "list", Bound: 6 * time.Second, Requester: "n2", RequestID: 1 << 40},
		"command grant lease": {Op: opGrantLease, Lease: "list", Term: 3, Target: "n2", Incarnation: 7, RequestSeq: 9, LostBy: "n1", LossCount: 2,
			Reason: "it ran out"},
		"command vacate lease": {Op: opVacateLease, Lease: "list", Term: 4, Reason: "let go"},
		"command join": {Op: opJoin, Front: &Front{Name: "n2", Incarnation: 7, Zone: "a", Address: "10.0.0.2:7500", Version: "0.9.0",
			PastIncarnations: []uint64{5, 6}}},
		"command leave":        {Op: opLeave, Target: "n2", Incarnation: 7},
		"command add voter":    {Op: opAddVoter, Target: "n4", Address: "10.0.0.4:7500", Requester: "n2", RequestID: 1<<40 + 1},
		"command remove voter": {Op: opRemoveVoter, Target: "n4", Requester: "n2", RequestID: 1<<40 + 2},
		"command put value":    {Op: opPutValue, Lease: "roll", Term: 2, Key: "roll/queue", PrevIndex: 11, Value: []byte("v"), Requester: "n2", RequestID: 1<<40 + 3},
	}
}

// sampleState returns a replicated state with a value in each field.
func sampleState() *ReplicatedState {
	state := newReplicatedState()
	state.Index, state.NeededFormat = 70000, 2
	state.Leases["list"] = &Lease{Name: "list", Term: 3, Leaseholder: "n2", Incarnation: 7, RequestSeq: 9, Bound: 6 * time.Second, GrantIndex: 40,
		Reason: "nobody held it", Losses: []Loss{{Front: "n1", Count: 2}}}
	state.Leases["scout/1"] = &Lease{Name: "scout/1"}
	state.Fronts["n2"] = &Front{Name: "n2", Incarnation: 7, Zone: "a", Address: "10.0.0.2:7500", Version: "0.9.0", PastIncarnations: []uint64{5, 6}}
	state.Fronts["n1"] = &Front{Name: "n1", Incarnation: 1}
	state.Voters["n2"], state.Voters["n1"] = "10.0.0.2:7500", "10.0.0.1:7500"
	state.Values["roll"] = &StoredValue{Lease: "roll", Term: 2, Index: 50, Value: []byte("v")}
	state.Values[AllowedVersionsKey] = &StoredValue{Lease: "roll", Term: 2, Index: 49, Value: AllowedVersions{Min: 4, Max: 5}.Encode()}
	return state
}

// sampleFrames returns the frame of each sample message as the mesh sends it, in hexadecimal, by name.
func sampleFrames(t *testing.T) map[string]string {
	t.Helper()
	frames := map[string]string{}
	for _, m := range sampleMessages() {
		var sent bytes.Buffer
		codec := framing.NewCodec[Message](framing.Protocol{MaxFrameBytes: MaxMessageBytes}, &sent)
		require.NoError(t, codec.Append(&m))
		require.NoError(t, codec.Flush())
		frames["message "+m.Kind.String()] = hex.EncodeToString(sent.Bytes())
		var received Message
		require.NoError(t, codec.Read(&received))
		assert.Equal(t, m, received)
	}
	return frames
}

// sampleEncodings returns the encodings of all samples in hexadecimal, by name.
func sampleEncodings(t *testing.T) map[string]string {
	t.Helper()
	all := sampleFrames(t)
	for name, c := range sampleCommands() {
		encoded := c.Encode()
		all[name] = hex.EncodeToString(encoded)
		var read Command
		require.NoError(t, msgpack.Unmarshal(encoded, &read))
		assert.Equal(t, c, read)
	}
	state := sampleState()
	all["snapshot"] = hex.EncodeToString(state.encode())
	read, err := decodeReplicatedState(state.encode())
	require.NoError(t, err)
	assert.Equal(t, state, read)
	all["initial snapshot"] = hex.EncodeToString(initialSnapshot([]Voter{{"n1", "10.0.0.1:7500"}, {"n2", "10.0.0.2:7500"}, {"n3", "10.0.0.3:7500"}}).GetData())
	all["endpoint update"] = hex.EncodeToString(encodeEndpointUpdate(discovery.List{Index: 18, Snapshot: true, Endpoints: []discovery.Endpoint{
		{Name: "s-1", Address: "10.0.1.1:5432", Zone: "a", ServerType: "k", Group: 4, State: routing.Serving, Weight: 0.5, Primary: true, StartedAtMillis: 99}}}, 17))
	all["probe result"] = hex.EncodeToString(ProbeResult{Server: "s-1", Healthy: true, Code: "57P03", ConnectionLost: true, Pending: true, Role: ClaimedPrimary}.Encode())
	all["history entry"] = hex.EncodeToString([]byte(HistoryEntry{At: 1, Front: "n1", Incarnation: 2, Kind: "held", Lease: "list", Term: 3, Name: "n2",
		Since: 4, Until: 5, Number: 6, Index: 7, Reason: "y"}.String()))
	return all
}

func TestEncodingsAreThoseOfTheFile(t *testing.T) {
	want := encodings(t)
	got := sampleEncodings(t)
	for name, encoded := range got {
		assert.Equal(t, want[name], encoded, name)
	}
	assert.Len(t, want, len(got), "each line has a sample")
	for kind := range kindCount {
		assert.Contains(t, got, "message "+kind.String(), "each kind has a sample")
	}
	operations := map[uint8]bool{}
	for _, c := range sampleCommands() {
		operations[c.Op] = true
	}
	for op := opNone; op <= opPutValue; op++ {
		assert.True(t, operations[op], fmt.Sprint("operation ", op, " has a sample"))
	}
}
