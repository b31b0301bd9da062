package agent

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// A front whose stored version no longer fits acted on the operator's own rules under that version's number.
//
// The deployment's settings change between two starts: a request type that the stored rules name is gone. The front logged that
// it starts with the operator's file, yet its core began with the stored number: the audit and the load reports named rules on
// which it did not act, and a lease for the version that it really had, 0, renewed nothing.
func TestStoredVersionThatDoesNotFitLeavesNoNumber(t *testing.T) {
	own := &deployment.Rules{RejectedGroups: []int64{3}}
	for name, test := range map[string]struct {
		text    string
		version uint64
		rules   *deployment.Rules
	}{
		"fits":         {"(rules (given-up 7 12))\n", 5, &deployment.Rules{RejectedGroups: []int64{7, 12}}},
		"does not fit": {"(rules (bound no-such-type 2s))\n", 0, own},
	} {
		t.Run(name, func(t *testing.T) {
			a := &Agent{identity: identity{name: "n1"}, settings: &deployment.Settings{}, config: &fleet.Config{LeaseDuration: time.Second}}
			h := newRolloutHost(a, &rollout.Config{Dir: t.TempDir()}, own)
			require.NoError(t, os.WriteFile(filepath.Join(h.config.Dir, "version.json"), []byte(`{"version":5,"text":`+quote(t, test.text)+`,"tried":6}`), 0o600))
			initial, err := h.restore(time.Second)
			require.NoError(t, err)
			assert.Equal(t, test.version, initial.Version, "of the core")
			assert.Equal(t, test.version, h.participant.Adopter.Active(), "of the participant")
			assert.Equal(t, test.version, h.current.Version, "that is stored with the next one")
			assert.Equal(t, test.rules.RejectedGroups, initial.Rules.RejectedGroups)
			assert.Equal(t, test.rules.Digest(), initial.Rules.Digest())
		})
	}
}

func quote(t *testing.T, text string) string {
	t.Helper()
	b, err := json.Marshal(text)
	require.NoError(t, err)
	return string(b)
}
