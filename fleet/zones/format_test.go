package zones

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Encodings that were written by version 0.3.0. They must not be regenerated.
const (
	stateOf030  = "92ce00000001919aa161cc04cf0000000000000004cd03b6d300000002cb417800cf0000000000000003cc02c3d30000034630b8a000a5776f726b73"
	reportOf030 = "9392a161a1629294ce00000064ce00000002ce00000003ce0001117094ce00000000ce00000000ce00000000ce00000000c3"
)

func TestStateAndReportAreThoseOfVersion030(t *testing.T) {
	s := State{Format: format, Zones: []ZoneStatus{{Zone: "a", State: Recovering, Epoch: 4, EvacuatedPermille: 950, Deadline: 12 * time.Second, Renewals: 3, FlapCount: 2, Pinned: true,
		PinDuration: time.Hour, Reason: "works"}}}
	w := Report{Zones: []string{"a", "b"}, Observations: []Observation{{Succeeded: 100, Failed: 2, ConnectFailed: 3, Slow: 70_000}, {}}, Unreliable: true}
	assert.Equal(t, stateOf030, hex.EncodeToString(s.Encode()))
	assert.Equal(t, reportOf030, hex.EncodeToString(w.Encode()))
	assert.Equal(t, "zones zones zones", stateKey+" "+Lease+" "+Subsystem)
	b, err := hex.DecodeString(reportOf030)
	require.NoError(t, err)
	got, ok := DecodeReport(b)
	assert.True(t, ok)
	assert.Equal(t, w, got)
	moved := ""
	for session := range uint64(40) { // the choice of sessions must be the same at each front
		if SessionMoves(session, "a", 0.5) {
			moved += "1"
		} else {
			moved += "0"
		}
	}
	assert.Equal(t, "1010111100101011100000101101110010000110", moved)
}
