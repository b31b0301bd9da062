package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// damagedLogs copies testdata/audit, applies damage to the files of n1's segment, and returns the copy's folder.
func damagedLogs(t *testing.T, damage func(t *testing.T, logPath, indexPath string)) (dir string) {
	t.Helper()
	dir = t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS("testdata/audit")))
	damage(t, filepath.Join(dir, "n1.00000001.audit"), filepath.Join(dir, "n1.00000001.ids"))
	return dir
}

// makeUnreadable replaces a file by a symbolic link to itself, which not even root can open.
func makeUnreadable(t *testing.T, path string) {
	t.Helper()
	require.NoError(t, os.Remove(path))
	require.NoError(t, os.Symlink(filepath.Base(path), path))
}

// Guards against audit commands that ignore a segment they could not read. fleet audit at, front and versions dropped the findings of the
// read. fleet audit request continued after any error, and took a missing or damaged index for one without the request. The commands then
// exited with 0, or with 1 and the unproven claim that the logs had no match.
func TestUnreadableAuditSegmentIsReportedWithExitCode(t *testing.T) {
	for name, damage := range map[string]func(t *testing.T, logPath, indexPath string){
		"lines": func(t *testing.T, logPath, _ string) { t.Helper(); makeUnreadable(t, logPath) },
		"index": func(t *testing.T, _, indexPath string) { t.Helper(); makeUnreadable(t, indexPath) },
		"index missing": func(t *testing.T, _, indexPath string) {
			t.Helper()
			require.NoError(t, os.Remove(indexPath))
		},
		"index damaged": func(t *testing.T, _, indexPath string) {
			t.Helper()
			require.NoError(t, os.Truncate(indexPath, 20))
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := damagedLogs(t, damage)
			commands := [][]string{{"request", "t1-1"}, {"request", "no-such-request"}}
			if name == "lines" {
				commands = append(commands, []string{"at", "2026-12-01T18:00:02Z"}, []string{"front", "n1"}, []string{"front", "n2"}, []string{"versions"})
			}
			for _, command := range commands {
				var exit int
				stderr := standardErrorOf(t, func() {
					exit, _ = standardOutputOf(t, append(append([]string{"fleet", "audit"}, command...), "--dir", dir), os.Stderr)
				})
				assert.Equal(t, exitNegative, exit, "%v", command)
				assert.Contains(t, stderr, "n1.00000001", "%v", command)
				assert.NotContains(t, stderr, "in these logs", "%v claims that there is no match, though a segment was not read", command)
			}
		})
	}
}

func TestReadableAuditLogsLeaveExitCode(t *testing.T) {
	dir := damagedLogs(t, func(*testing.T, string, string) {})
	for _, command := range [][]string{{"request", "t1-1"}, {"at", "2026-12-01T18:00:02Z"}, {"front", "n1"}, {"versions"}} {
		var exit int
		stderr := standardErrorOf(t, func() {
			exit, _ = standardOutputOf(t, append(append([]string{"fleet", "audit"}, command...), "--dir", dir), os.Stderr)
		})
		assert.Equal(t, exitOK, exit, "%v", command)
		assert.Empty(t, stderr, "%v", command)
	}
}

// standardErrorOf runs a function and returns what it writes to standard error.
func standardErrorOf(t *testing.T, call func()) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "stderr")
	f, err := os.Create(path)
	require.NoError(t, err)
	previous := os.Stderr
	os.Stderr = f
	call()
	os.Stderr = previous
	require.NoError(t, f.Close())
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}
