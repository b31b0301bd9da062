package agent

import (
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
	"dapplerouter/fleet/rollout"
)

// failingCalls makes the calls that create directories and files. They fail until repair is called.
type failingCalls struct {
	mu     sync.Mutex
	errno  syscall.Errno  // the error of the calls; 0 once they work
	failed map[string]int // failed calls by path; by directory for a temporary file
}

// failingCreateCalls returns calls that fail with an error.
func failingCreateCalls(errno syscall.Errno) *failingCalls {
	return &failingCalls{errno: errno, failed: map[string]int{}}
}

// repair lets the calls succeed from now on.
func (f *failingCalls) repair() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.errno = 0
}

// fail returns the error of a call, nil if it works.
func (f *failingCalls) fail(operation, path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.errno == 0 {
		return nil
	}
	f.failed[path]++
	return &fs.PathError{Op: operation, Path: path, Err: f.errno}
}

// failures returns how many calls failed for a path.
func (f *failingCalls) failures(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed[path]
}

// calls returns the calls.
func (f *failingCalls) calls() *disk.CreateCalls {
	return &disk.CreateCalls{
		MkdirAll: func(path string, mode os.FileMode) error {
			if err := f.fail("mkdir", path); err != nil {
				return err
			}
			return os.MkdirAll(path, mode)
		},
		OpenFile: func(path string, flag int, mode os.FileMode) (*os.File, error) {
			if err := f.fail("open", path); err != nil {
				return nil, err
			}
			return os.OpenFile(path, flag, mode)
		},
		CreateTemp: func(dir, pattern string) (*os.File, error) {
			if err := f.fail("open", dir); err != nil {
				return nil, err
			}
			return os.CreateTemp(dir, pattern)
		},
	}
}

// diskPaths are the files and directories of an agent, all in one directory of a test.
type diskPaths struct{ voterDir, voter, audit, collected, versions, history string }

// newDiskPaths returns paths that don't exist, except for the directory of the voter's file.
func newDiskPaths(t *testing.T) diskPaths {
	t.Helper()
	dir := t.TempDir()
	p := diskPaths{voterDir: filepath.Join(dir, "voter")}
	p.voter = filepath.Join(p.voterDir, "fleet.db")
	p.audit, p.collected = filepath.Join(dir, "audit"), filepath.Join(dir, "all")
	p.versions, p.history = filepath.Join(dir, "roll"), filepath.Join(dir, "history")
	require.NoError(t, os.Mkdir(p.voterDir, 0o700))
	return p
}

// testSegmentBytes is the size of a segment that some lines fill.
const testSegmentBytes = 2 << 10

// configure sets the paths in the forms of an agent.
func (p diskPaths) configure(c *Config) {
	c.Fleet.VoterPath, c.Fleet.History = p.voter, p.history
	c.Audit = &audit.Config{LogDir: p.audit, CollectDir: p.collected, CollectBytesPerSecond: 1 << 20, SegmentBytes: testSegmentBytes, MaxTotalBytes: 1 << 20}
	c.Rollout, c.Rules = &rollout.Config{Dir: p.versions}, &deployment.Rules{}
}

// saveVersion stores a configuration version.
func saveVersion(a *Agent, stored storedVersion) {
	a.rollout.mu.Lock()
	defer a.rollout.mu.Unlock()
	a.rollout.saveVersion(stored)
}

// An agent none of whose files and directories can be created starts, answers the admin API and holds no lease. It uses each of them once
// the calls succeed.
func TestAgentStartsOnFullDisk(t *testing.T) {
	for name, errno := range map[string]syscall.Errno{"ENOSPC": syscall.ENOSPC, "EIO": syscall.EIO} {
		t.Run(name, func(t *testing.T) {
			paths, failing := newDiskPaths(t), failingCreateCalls(errno)
			a := newVoterAgent(t, paths.configure, func(c *Config) { c.Calls = failing.calls() })
			require.NoError(t, a.Start())
			t.Cleanup(a.Close)
			for end := time.Now().Add(failingTime); time.Now().Before(end); time.Sleep(failingTime / 10) {
				assertServesWithoutFiles(t, a, paths)
			}
			for _, path := range []string{paths.voterDir, paths.audit, paths.collected} {
				assert.Greater(t, failing.failures(path), 1, "attempts for %s", path)
			}
			for _, path := range []string{paths.versions, paths.history} {
				assert.NotZero(t, failing.failures(path), "attempts for %s", path)
			}
			failing.repair()
			assertFilesInUse(t, a, paths)
		})
	}
}

// assertServesWithoutFiles checks that an agent answers while it has no file, and that it takes no part in its fleet.
func assertServesWithoutFiles(t *testing.T, a *Agent, paths diskPaths) {
	t.Helper()
	status, _ := requestAdminAPI(t, a, http.MethodGet, "/v1/fleet", nil)
	assert.Equal(t, http.StatusOK, status)
	assert.False(t, holdsListLease(a))
	assert.True(t, a.status().Isolated)
	saveVersion(a, storedVersion{Tried: 2})
	a.history.recordVersion(a.mesh, versionAdopted, 2)
	for _, path := range []string{paths.voter, paths.audit, paths.collected, paths.versions, paths.history} {
		_, err := os.Lstat(path)
		assert.ErrorIs(t, err, os.ErrNotExist)
	}
}

// assertFilesInUse checks that an agent uses each of its files soon.
func assertFilesInUse(t *testing.T, a *Agent, paths diskPaths) {
	t.Helper()
	soon := func(condition func() bool, what string) {
		t.Helper()
		require.Eventually(t, condition, 20*time.Second, 20*time.Millisecond, what)
	}
	soon(func() bool { return holdsListLease(a) }, "a lease, which needs the voter's file")
	assert.FileExists(t, paths.voter)
	soon(func() bool { info, err := os.Stat(paths.history); return err == nil && info.Size() > 0 }, "a line of the history")
	saveVersion(a, storedVersion{Tried: 3})
	assert.FileExists(t, filepath.Join(paths.versions, "version.json"))
	soon(func() bool { names, err := disk.ListSegments(paths.audit, "n1"); return err == nil && len(names) > 0 }, "a segment of the audit")
	soon(func() bool { // the front collects its own segments like those of others
		a.writeAudit(&audit.Line{Event: audit.EventLeaseEnded, Lease: "list"})
		names, err := disk.ListSegments(paths.collected, "n1")
		return err == nil && len(names) > 0
	}, "a collected segment")
	a.syncAudit()
	lines := auditLines(t, paths.audit, "n1")
	require.NotEmpty(t, lines)
	assert.Equal(t, audit.EventProcessStarted, lines[0].Event)
	assert.False(t, slices.ContainsFunc(lines, func(l audit.Line) bool { return l.Event == audit.EventLinesLost }), "lost lines")
}

// holdsListLease reports whether an agent holds the lease of the endpoint list.
func holdsListLease(a *Agent) (held bool) {
	a.mesh.Do(func(n *fleet.Node, now time.Duration) { _, held = n.HoldsLease(now, fleet.EndpointListLease) })
	return held
}
