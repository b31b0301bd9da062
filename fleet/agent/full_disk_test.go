package agent

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dapplerouter/deployment"
	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
	"dapplerouter/fleet/rollout"
)

// namespaceVariable is set in the environment of a test that runs again in a mount namespace of its own.
const namespaceVariable = "AGENT_TEST_NAMESPACE"

// inMountNamespace runs the test again in a process with its own mount namespace, and reports whether this is that process. The test is
// skipped where the machine does not permit such namespaces.
func inMountNamespace(t *testing.T) bool {
	t.Helper()
	if os.Getenv(namespaceVariable) != "" {
		return true
	}
	own := []syscall.SysProcIDMap{{ContainerID: 0, HostID: os.Getuid(), Size: 1}}
	groups := []syscall.SysProcIDMap{{ContainerID: 0, HostID: os.Getgid(), Size: 1}}
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
	cmd.Env = append(os.Environ(), namespaceVariable+"=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Cloneflags: syscall.CLONE_NEWUSER | syscall.CLONE_NEWNS, UidMappings: own, GidMappings: groups}
	out, err := cmd.CombinedOutput()
	if len(out) == 0 && err != nil {
		t.Skipf("no mount namespace: %v", err)
	}
	assert.NoError(t, err, "%s", out)
	return false
}

// mountFullDisk mounts a file system on dir that has no room for any file until its size is changed by the result.
func mountFullDisk(t *testing.T, dir string) (makeRoom func()) {
	t.Helper()
	require.NoError(t, unix.Mount("tmpfs", dir, "tmpfs", 0, "size=4m,nr_inodes=1"))
	t.Cleanup(func() { assert.NoError(t, unix.Unmount(dir, unix.MNT_DETACH)) })
	require.ErrorIs(t, os.Mkdir(filepath.Join(dir, "any"), 0o700), syscall.ENOSPC)
	return func() {
		assert.NoError(t, unix.Mount("tmpfs", dir, "tmpfs", unix.MS_REMOUNT, "size=4m,nr_inodes=1000"))
	}
}

// An agent all of whose files are on a full disk starts, and uses each of them once there is room.
func TestAgentStartsOnFullDisk(t *testing.T) {
	if !inMountNamespace(t) {
		return
	}
	dir := t.TempDir()
	makeRoom := mountFullDisk(t, dir)
	logs, collected, versions, history := filepath.Join(dir, "audit"), filepath.Join(dir, "all"), filepath.Join(dir, "roll"), filepath.Join(dir, "history")
	time.AfterFunc(failingTime, makeRoom)
	a := startVoter(t, func(c *Config) {
		c.Fleet.VoterPath, c.Fleet.History = filepath.Join(dir, "fleet.db"), history
		c.Audit = &audit.Config{LogDir: logs, CollectDir: collected, CollectBytesPerSecond: 1 << 20, SegmentBytes: disk.MinSegmentBytes, MaxTotalBytes: 1 << 20}
		c.Rollout, c.Rules = &rollout.Config{Dir: versions}, &deployment.Rules{}
	})
	for _, path := range []string{history, collected} {
		assert.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, 10*time.Second, 20*time.Millisecond, path)
	}
	a.rollout.saveVersion(storedVersion{Tried: 3})
	assert.FileExists(t, filepath.Join(versions, "version.json"))
	assert.Eventually(t, func() bool {
		names, err := disk.ListSegments(logs, "n1")
		return err == nil && len(names) > 0
	}, 10*time.Second, 20*time.Millisecond)
}
