package agent

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/disk"
	"dapplerouter/fleet/rollout"
)

// testdata/version.json was written by version 0.3.0 and must not be regenerated: a front that is upgraded continues with the version
// that it adopted before.
func TestVersionFileIsThatOfVersion030(t *testing.T) {
	want, err := os.ReadFile("testdata/version.json")
	require.NoError(t, err)
	h := &rolloutHost{config: &rollout.Config{Dir: t.TempDir()}, calls: disk.SystemCalls()}
	path := filepath.Join(h.config.Dir, "version.json")
	require.NoError(t, os.WriteFile(path, want, 0o600))
	stored, err := h.loadVersion()
	require.NoError(t, err)
	assert.Equal(t, storedVersion{Version: 5, Text: "(rules\n  (bound browse 2s)\n  (given-up 7 12))\n", Tried: 6}, stored)
	require.NoError(t, os.Remove(path))
	h.saveVersion(stored)
	got, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got))
}

// A version file that can't be read for a moment is kept for the next start.
func TestVersionFileIsKeptAfterTransientReadError(t *testing.T) {
	h := &rolloutHost{config: &rollout.Config{Dir: t.TempDir()}, calls: disk.SystemCalls()}
	require.NoError(t, os.Symlink(unreadableFile, h.versionPath()))
	stored, err := h.loadVersion()
	require.NoError(t, err)
	assert.Zero(t, stored)
	_, err = os.Lstat(h.versionPath())
	assert.NoError(t, err, "the file was renamed")
}
