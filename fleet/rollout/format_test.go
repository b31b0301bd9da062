package rollout

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// The lines of testdata/encodings.txt were written by version 0.3.0 and must not be regenerated. They guard against a change of the
// encoding: fronts of two versions read each other's messages and stored values, and agree on the order in which fronts adopt a version.

// encodings reads testdata/encodings.txt, which has a name and its value on each line.
func encodings(t *testing.T) map[string]string {
	t.Helper()
	b, err := os.ReadFile("testdata/encodings.txt")
	require.NoError(t, err)
	all := map[string]string{}
	for line := range strings.Lines(string(b)) {
		name, value, ok := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		require.True(t, ok, line)
		all[name] = value
	}
	return all
}

func sampleAction() Action {
	return Action{ID: 0xfedcba9876543211, Type: ActionPublish, Base: 2, Text: []byte("(rules (given-up 7))"), RulesHash: "00112233aabbccdd",
		Stages: []uint16{1, 100, 500, 1000}, ObservationTime: 30 * time.Second, Mandatory: true, MaxFenced: 200, Reason: "works"}
}

func sampleTimedAction() Action {
	action := sampleAction()
	action.InForceWithin, action.OnUndecided = 20*time.Second, UndecidedRollBack
	return action
}

func sampleState() State {
	return State{Format: format, LastVersion: 9, Base: 7, Next: 9, Mandatory: true, Phase: PhaseRolling, Paused: true, Stages: []uint16{1, 1000}, Stage: 1,
		CutoffRank: 0xdeadbeef, ObservationTime: 30 * time.Second, MaxFenced: 200, Reason: "version 9 is published", RulesHashes: [2]string{"00112233aabbccdd", "8899"},
		Outcomes: []Outcome{{ID: 5}, {ID: 6, RejectedReason: "no version is on its way"}}, UnconfirmedFronts: []string{"n3"}}
}

func sampleReport() Report {
	return Report{AdoptedAt: 1_700_000_000_000_000, RejectedVersion: 8, RejectedReason: "its limits are others", ServesIsolated: true, TypesChecksum: 0xcafe,
		Counts: []Counts{{Finished: 1000, Succeeded: 990}, {Finished: 70_000, Succeeded: 3}}}
}

var (
	sampleDeadline        = deadline{Version: 9, InForceWithin: 20 * time.Second, OnUndecided: UndecidedPause}
	sampleQueue           = []QueuedPublication{{Front: "n1", Base: 7, Changes: "bound browse, window book and 2 more"}, {Front: "n2", Base: 9, Changes: "given-up"}}
	sampleFenceableFronts = fenceableFronts{1, 0xffffffffffffffff}
)

func TestMessagesAndValuesAreEncodedAsByVersion030(t *testing.T) {
	want := encodings(t)
	state, storedDeadline := sampleState(), sampleDeadline
	got := map[string]string{
		"action":       hex.EncodeToString(sampleAction().Encode()),
		"timed action": hex.EncodeToString(sampleTimedAction().Encode()),
		"report":       hex.EncodeToString(sampleReport().Encode()),
		"state":        hex.EncodeToString(encode(&state)),
		"deadline":     hex.EncodeToString(encode(&storedDeadline)),
		"queue":        hex.EncodeToString(encode(sampleQueue)),
		"bounded":      hex.EncodeToString(encode(sampleFenceableFronts)),
		"keys":         strings.Join([]string{stateKey, textKey(9), deadlineKey, fenceableKey, queueKey, Lease, Subsystem}, " "),
		"ranks":        fmt.Sprint(rank("n1", 9), rank("n2", 9), rank("n1", 10)),
		"hashes":       fmt.Sprintf("%x %x", frontHash("n1", 7), frontHash("n2", 7)),
		"cuts":         fmt.Sprint(cutoffRank([]string{"n1", "n2", "n3", "n4"}, 9, 1), cutoffRank([]string{"n1", "n2", "n3", "n4"}, 9, 500)),
		"phases":       fmt.Sprint(PhaseSteady, ", ", PhaseRolling, ", ", PhaseFinishing, ", ", PhaseRollingBack),
	}
	assert.Equal(t, want, got)
}

func TestMessagesAndValuesOfVersion030AreRead(t *testing.T) {
	all := encodings(t)
	data := func(name string) []byte {
		b, err := hex.DecodeString(all[name])
		require.NoError(t, err, name)
		return b
	}
	for name, want := range map[string]Action{"action": sampleAction(), "timed action": sampleTimedAction()} {
		action, ok := DecodeAction(data(name))
		assert.True(t, ok, name)
		assert.Equal(t, want, action, name)
	}
	report, ok := DecodeReport(data("report"))
	assert.True(t, ok)
	assert.Equal(t, sampleReport(), report)
	r := &fleet.ReplicatedState{Values: map[string]*fleet.StoredValue{
		"roll":          {Index: 4, Value: data("state")},
		"roll/file/9":   {Value: []byte("(rules)")},
		"roll/deadline": {Value: data("deadline")},
		"roll/queue":    {Value: data("queue")},
		"roll/bounded":  {Value: data("bounded")},
	}}
	s, ok := ReadState(r)
	assert.True(t, ok)
	assert.Equal(t, sampleState(), s)
	assert.Equal(t, []byte("(rules)"), VersionText(r, 9))
	assert.Equal(t, sampleDeadline, readDeadline(r, s))
	assert.Equal(t, 20*time.Second, InForceWithin(r))
	assert.Equal(t, sampleQueue, QueuedPublications(r))
	assert.Equal(t, sampleFenceableFronts, readFenceableFronts(r))
	var raw []any // the state is encoded as an array, so field names are not part of it
	require.NoError(t, msgpack.Unmarshal(data("state"), &raw))
	assert.Len(t, raw, 16)
}
