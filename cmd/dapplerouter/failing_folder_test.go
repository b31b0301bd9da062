package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet/audit"
)

// A front of a fleet whose folders fail when it starts serves its clients meanwhile. It begins its audit and joins its fleet, which the
// audit records, as soon as the folders work (docs/terms-audit.md, row 102): "writes and syncs to it may fail for a while (ENOSPC, EIO)".
func TestFrontServesWhileItsFoldersFailAtStart(t *testing.T) {
	g, dir := startGroup(t, 2), t.TempDir()
	voterFile, segment := filepath.Join(dir, "fleet.db"), filepath.Join(dir, "n0.00000001"+audit.LogSuffix)
	require.NoError(t, os.Symlink("/dev/full", voterFile))    // writes fail with ENOSPC
	require.NoError(t, os.Symlink("/proc/self/mem", segment)) // reads fail with EIO
	mesh := reserveAddress(t)
	address := startFront(t, g, fmt.Sprintf(`(fleet (id "57f4fae48e0bb236") (listen %q) (plain loopback) (voters (n0 %q)) (voter %q)
  (lease-duration 600ms)) (audit (dir %q) (budget 64MiB) (clock-error 500ms))`, mesh, mesh, voterFile, dir))
	client := dial(t, address)
	query := func(n int) {
		a, err := client.Query("SELECT 'x'" + comment(fmt.Sprintf("f%d", n), ",c=browse"))
		require.NoError(t, err)
		assert.Empty(t, a.Code)
	}
	for n := range 20 {
		query(n)
		time.Sleep(50 * time.Millisecond)
	}
	require.NoError(t, os.Remove(voterFile))
	require.NoError(t, os.Remove(segment))
	require.Eventually(t, func() bool {
		text, err := os.ReadFile(segment)
		return err == nil && strings.Contains(string(text), audit.EventLeaseAcquired)
	}, 20*time.Second, 20*time.Millisecond, "no lease in the audit")
	query(20)
}
