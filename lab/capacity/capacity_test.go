package capacity

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// workerEnv is an environment variable that turns the test binary into a worker process. Its value is the kind of worker.
const workerEnv = "SCALE_TEST_WORKER"

func TestMain(m *testing.M) {
	if kind := os.Getenv(workerEnv); kind != "" {
		if err := Work(kind, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	code := m.Run()
	if build.dir != "" {
		_ = os.RemoveAll(build.dir) // a temporary directory
	}
	os.Exit(code)
}

// testOptions returns the options of a run, with a new directory and the built program. It skips the test if processes cannot be
// started in this mode.
func testOptions(t *testing.T, size Size) Options {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	if raceEnabled {
		t.Skip("the test without the race detector starts the same processes")
	}
	self, err := os.Executable()
	require.NoError(t, err)
	dir, err := os.MkdirTemp("", "scale") // a short path, because it contains Unix sockets
	require.NoError(t, err)
	t.Cleanup(func() { os.RemoveAll(dir) })
	return Options{Size: size, Program: program(t), Dir: dir, Progress: t.Logf, Worker: func(kind string) []string {
		return []string{"env", workerEnv + "=" + kind, self}
	}}
}

// build holds the program that tests share, which is built once.
var build struct {
	sync.Once
	dir string
	err error
}

// program returns the path of the built program. The first call builds it.
func program(t *testing.T) string {
	t.Helper()
	build.Do(func() {
		if build.dir, build.err = os.MkdirTemp("", "scale-build"); build.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", filepath.Join(build.dir, "dapplerouter"), "../../cmd/dapplerouter").CombinedOutput()
		if build.err = err; err != nil {
			build.err = errors.New(string(out))
		}
	})
	require.NoError(t, build.err)
	return filepath.Join(build.dir, "dapplerouter")
}

// findRecord returns the record of a role's resource in a phase. It fails the test if there is none.
func findRecord(t *testing.T, all []Record, phase, role, resource string) Record {
	t.Helper()
	for _, r := range all {
		if r.Phase == phase && r.Role == role && r.Resource == resource {
			return r
		}
	}
	require.Fail(t, "no such record", "%s, %s: %s", phase, role, resource)
	return Record{}
}

// TestCostsGrowAsDesigned checks how messages, bytes and links grow with fronts and databases. It checks only counts, because the load
// of the machine does not affect them.
func TestCostsGrowAsDesigned(t *testing.T) {
	sizes := []Size{smallSize(12), smallSize(24), smallSize(48), smallSize(12)}
	sizes[3].Databases *= 4
	runs := make([][]Record, len(sizes))
	t.Run("runs", func(t *testing.T) {
		for i, size := range sizes {
			t.Run(fmt.Sprintf("%d fronts, %d databases", size.Fronts, size.Databases), func(t *testing.T) {
				t.Parallel()
				all, err := Run(context.Background(), testOptions(t, size))
				require.NoError(t, err)
				runs[i] = all
				assertInvariants(t, size, all)
			})
		}
	})
	if t.Failed() || t.Skipped() || runs[0] == nil {
		return
	}
	broadcast := func(run int, phase, resource string) float64 {
		return findRecord(t, runs[run], phase, RoleSimulatedFollower, resource+fleet.KindBroadcast.String()).Value
	}
	perDatabase := (broadcast(3, PhaseSnapshot, kindBytes) - broadcast(0, PhaseSnapshot, kindBytes)) / float64(sizes[3].Databases-sizes[0].Databases)
	assert.InDelta(t, 300, perDatabase, 250,
		"bytes that a front sends for each database in a snapshot: one entry on each of its links but one")
	assert.Less(t, broadcast(2, PhaseEntryChange, kindMessages), 3*broadcast(0, PhaseEntryChange, kindMessages),
		"a front's messages for a change don't grow with the number of fronts")
	links := func(run int) float64 {
		return findRecord(t, runs[run], PhaseIdle, RoleSimulatedFollower, "links").Value
	}
	assert.Less(t, links(2), 2*links(0), "a front's links don't grow with the number of fronts")
}

// assertInvariants checks the properties of the records that hold for every size.
func assertInvariants(t *testing.T, size Size, all []Record) {
	t.Helper()
	followers, changes := size.simulated(), size.changes()
	for _, role := range roleOrder {
		r := findRecord(t, all, PhaseIdle, role, "processor")
		assert.Positive(t, r.Fronts, role)
		assert.Positive(t, findRecord(t, all, PhaseIdle, role, "resident memory").Value, role)
	}
	assert.Equal(t, 1.0, findRecord(t, all, PhaseIdle, RoleDiscovery, "watches").Value, "one front watches for all")
	assert.Less(t, findRecord(t, all, PhaseEntryChange, RoleDiscovery, "bytes sent").Value, 400.0, "a change of an entry is sent to one watch")
	for _, phase := range []string{PhaseEntryChange, PhaseSnapshot} {
		r := findRecord(t, all, phase, roleFleet, "from discovery to a hollow front")
		assert.Zero(t, r.Missing, phase)
		assert.Equal(t, int64(followers*changes), r.Quantiles.Count, "each change reached each front")
		links := findRecord(t, all, PhaseIdle, RoleSimulatedFollower, "links").Value
		assert.LessOrEqual(t, findRecord(t, all, phase, RoleSimulatedFollower, kindMessages+fleet.KindBroadcast.String()).Value, 3*links,
			"a change passes a link once or twice, and the number of subtracted heartbeats may be off by one")
	}
	r := findRecord(t, all, PhaseConfiguration, roleFleet, "from the publish to a hollow front")
	assert.Equal(t, int64(followers*changes), r.Quantiles.Count+int64(r.Missing), "%s", r.Note)
	assert.Equal(t, RoleSimulatedFollower, findRecord(t, all, PhaseIdle, RoleSimulatedFollower, "processor").Role)
	assert.Equal(t, simulatedNote, findRecord(t, all, PhaseIdle, RoleSimulatedFollower, "processor").Note)
}

func TestExitedProcessFailsRun(t *testing.T) {
	o := testOptions(t, smallSize(24))
	o.onConverged = func(b *testbed) { b.simulated[1].cmd.Process.Kill() }
	all, err := Run(context.Background(), o)
	var exited *ProcessExitError
	require.ErrorAs(t, err, &exited)
	assert.Equal(t, "hollow-2 (n21 to n32)", exited.Process)
	assert.Contains(t, err.Error(), "signal: killed")
	for _, r := range all {
		assert.Equal(t, PhaseStart, r.Phase, "a phase in which a process ended has no records")
	}
}

func TestInterruptEndsEveryProcess(t *testing.T) {
	o := testOptions(t, smallSize(12))
	ctx, interrupt := context.WithCancelCause(context.Background())
	var pids []int
	stop := errors.New("interrupted")
	o.onConverged = func(b *testbed) {
		for _, p := range b.processes() {
			pids = append(pids, p.cmd.Process.Pid)
		}
		interrupt(stop)
	}
	startedAt := time.Now()
	_, err := Run(ctx, o)
	assert.ErrorIs(t, err, stop)
	assert.Len(t, pids, realFronts+1+2)
	for _, pid := range pids {
		assert.ErrorIs(t, syscall.Kill(pid, 0), syscall.ESRCH, "process %d still runs %v after the start", pid, time.Since(startedAt))
	}
}
