package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a change of the encoding that older programs can't read. An action without a deadline is encoded as older programs do,
// and each program reads the other's encoding.
func TestActionsOfOlderAndNewerPrograms(t *testing.T) {
	action := Action{ID: 5, Type: ActionPublish, Base: 2, Text: []byte("(rules)"), RulesHash: "m", Stages: []uint16{1000}, ObservationTime: time.Second, Mandatory: true, MaxFenced: 200, Reason: "w"}
	var old legacyAction
	require.NoError(t, msgpack.Unmarshal(action.Encode(), &old))
	assert.Equal(t, action.Stages, old.Stages)
	assert.Equal(t, action.Reason, old.Reason)
	got, ok := DecodeAction(encode(&old))
	require.True(t, ok)
	assert.Equal(t, action, got)
	action.InForceWithin, action.OnUndecided = 20*time.Second, UndecidedPause
	got, ok = DecodeAction(action.Encode())
	require.True(t, ok)
	assert.Equal(t, action, got)
	_, ok = DecodeAction(Action{ID: 5, InForceWithin: -1}.Encode())
	assert.False(t, ok)
}

func TestMalformedActionsAreNotDecoded(t *testing.T) {
	for _, b := range [][]byte{nil, {0xc1}, Action{}.Encode(), Action{ID: 1, Type: 9}.Encode(), Action{ID: 1, Text: make([]byte, MaxTextBytes+1)}.Encode()} {
		_, ok := DecodeAction(b)
		assert.False(t, ok)
	}
	action, ok := DecodeAction(Action{ID: 7, Type: ActionPause, Reason: "x"}.Encode())
	assert.True(t, ok)
	assert.Equal(t, "x", action.Reason)
}
