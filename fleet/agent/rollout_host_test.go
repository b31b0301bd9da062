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
	"dapplerouter/fleet/disk"
	"dapplerouter/fleet/rollout"
)

// Guards against a front that uses the operator's own rules under the number of a stored version that is no longer valid.
//
// The settings of the deployment change between two starts, so that a request type in the stored rules no longer exists. The front logged
// that it starts with the operator's file, but its core started with the stored version number. Audit and load reports then named rules
// that the front did not use, and a lease for version 0, which the front really used, renewed nothing.
func TestInvalidStoredVersionIsNotReportedAsActive(t *testing.T) {
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
			a := &Agent{identity: identity{name: "n1"}, calls: disk.SystemCalls(), settings: &deployment.Settings{}, config: &fleet.Config{LeaseDuration: time.Second}}
			h := newRolloutHost(a, &rollout.Config{Dir: t.TempDir()}, own)
			require.NoError(t, os.WriteFile(filepath.Join(h.config.Dir, "version.json"), []byte(`{"version":5,"text":`+quote(t, test.text)+`,"tried":6}`), 0o600))
			initial, err := h.restore(time.Second)
			require.NoError(t, err)
			assert.Equal(t, test.version, initial.Version, "version of the core")
			assert.Equal(t, test.version, h.participant.Adopter.Active(), "version of the participant")
			assert.Equal(t, test.version, h.current.Version, "version that is stored together with the next one")
			assert.Equal(t, test.rules.RejectedGroups, initial.Rules.RejectedGroups)
			assert.Equal(t, test.rules.Digest(), initial.Rules.Digest())
		})
	}
}

// quote returns text as a JSON string.
func quote(t *testing.T, text string) string {
	t.Helper()
	b, err := json.Marshal(text)
	require.NoError(t, err)
	return string(b)
}
