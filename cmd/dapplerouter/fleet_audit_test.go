package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A segment that could not be read was passed over in silence, and the commands said that nothing of it is in these logs.
//
// fleet audit at, front and versions threw away what the reading had found, fleet audit request went on behind any error and took
// a missing or damaged index for one without the request: exit code 0, or 1 with a sentence that need not be true.

// spoiltLogs is a copy of testdata/audit in which spoil has changed n1's segment.
func spoiltLogs(t *testing.T, spoil func(t *testing.T, logPath, indexPath string)) (dir string) {
	t.Helper()
	dir = t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS("testdata/audit")))
	spoil(t, filepath.Join(dir, "n1.00000001.audit"), filepath.Join(dir, "n1.00000001.ids"))
	return dir
}

// makeUnreadable replaces a file by a link to itself, which nobody can open, root included.
func makeUnreadable(t *testing.T, path string) {
	t.Helper()
	require.NoError(t, os.Remove(path))
	require.NoError(t, os.Symlink(filepath.Base(path), path))
}

func TestUnreadableAuditSegmentIsReportedWithExitCode(t *testing.T) {
	for name, spoil := range map[string]func(t *testing.T, logPath, indexPath string){
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
			dir := spoiltLogs(t, spoil)
			commands := [][]string{{"request", "t1-1"}, {"request", "no-such-request"}}
			if name == "lines" {
				commands = append(commands, []string{"at", "2026-12-01T18:00:02Z"}, []string{"front", "n1"}, []string{"front", "n2"}, []string{"versions"})
			}
			for _, command := range commands {
				var exit int
				told := standardErrorOf(t, func() {
					exit, _ = standardOutputOf(t, append(append([]string{"fleet", "audit"}, command...), "--dir", dir), os.Stderr)
				})
				assert.Equal(t, exitNegative, exit, "%v", command)
				assert.Contains(t, told, "n1.00000001", "%v", command)
				assert.NotContains(t, told, "in these logs", "%v: nothing is known of what was not read", command)
			}
		})
	}
}

func TestReadableAuditLogsLeaveExitCode(t *testing.T) {
	dir := spoiltLogs(t, func(*testing.T, string, string) {})
	for _, command := range [][]string{{"request", "t1-1"}, {"at", "2026-12-01T18:00:02Z"}, {"front", "n1"}, {"versions"}} {
		var exit int
		told := standardErrorOf(t, func() {
			exit, _ = standardOutputOf(t, append(append([]string{"fleet", "audit"}, command...), "--dir", dir), os.Stderr)
		})
		assert.Equal(t, exitOK, exit, "%v", command)
		assert.Empty(t, told, "%v", command)
	}
}

// standardErrorOf returns what a call writes to standard error.
func standardErrorOf(t *testing.T, call func()) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "stderr")
	f, err := os.Create(path)
	require.NoError(t, err)
	was := os.Stderr
	os.Stderr = f
	call()
	os.Stderr = was
	require.NoError(t, f.Close())
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}
