package rollout

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"dapplerouter/fleet"
)

func TestLaterStageRemovesNoFront(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 1, 40, rapid.ID).Draw(t, "names")
		stages := []uint16{1, 100, 370, 1000}
		s := State{Phase: PhaseRolling, Base: 4, Next: 6}
		on := map[string]bool{}
		for _, permille := range stages {
			s.CutoffRank = cutoffRank(names, s.Next, permille)
			n := 0
			for _, name := range names {
				if s.VersionFor(name) == s.Next {
					on[name] = true
					n++
				} else if on[name] {
					t.Fatalf("a later stage removed %s", name)
				}
			}
			if want := max(1, (len(names)*int(permille)+999)/1000); n < want {
				t.Fatalf("%d of %d fronts are in a stage of %d thousandths", n, len(names), permille)
			}
		}
		if len(on) != len(names) {
			t.Fatal("the last stage does not have all fronts")
		}
	})
}

// A state that can't be read is reported as such, so that the front continues with its present version.
func TestStateOfANewerProgramIsNotRead(t *testing.T) {
	r := &fleet.ReplicatedState{Values: map[string]*fleet.StoredValue{}}
	_, ok := ReadState(r)
	assert.True(t, ok)
	b, err := msgpack.Marshal(&State{Format: format + 1, Base: 9})
	require.NoError(t, err)
	r.Values[stateKey] = &fleet.StoredValue{Index: 4, Value: b}
	s, ok := ReadState(r)
	assert.False(t, ok)
	assert.Zero(t, s.Base)
	r.Values[stateKey].Value = []byte{0xc1}
	_, ok = ReadState(r)
	assert.False(t, ok)
}
