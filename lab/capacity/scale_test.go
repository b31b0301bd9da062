package capacity

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// workerVariable makes the test's own program a worker.
const workerVariable = "SCALE_TEST_WORKER"

func TestMain(m *testing.M) {
	if kind := os.Getenv(workerVariable); kind != "" {
		if err := Work(kind, os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func itoa(n int) string { return strconv.Itoa(n) }

// options are those of a run on a program that is built once.
func options(t *testing.T, size Size) Options {
	if testing.Short() {
		t.Skip("processes are started")
	}
	if raceOn {
		t.Skip("the same processes are started without the race detector")
	}
	self, err := os.Executable()
	require.NoError(t, err)
	dir, err := os.MkdirTemp("", "scale") // short: control sockets are in it
	require.NoError(t, err)
	t.Cleanup(func() { os.RemoveAll(dir) })
	return Options{Size: size, Program: program(t), Dir: dir, Progress: t.Logf, Worker: func(kind string) []string {
		return []string{"env", workerVariable + "=" + kind, self}
	}}
}

var build struct {
	sync.Once
	dir string
	err error
}

// program builds the front once, as it is run.
func program(t *testing.T) string {
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

// value finds one measured value.
func value(t *testing.T, all []Record, phase, role, resource string) Record {
	for _, r := range all {
		if r.Phase == phase && r.Role == role && r.Resource == resource {
			return r
		}
	}
	require.Fail(t, "not measured", "%s, %s: %s", phase, role, resource)
	return Record{}
}

// Slopes are asserted as counts, which a loaded machine does not change: messages, bytes and objects, for each front, database
// and change.
func TestSlopesAreThoseOfTheDesign(t *testing.T) {
	sizes := []Size{small(12), small(24), small(48), small(12)}
	sizes[3].Databases *= 4
	runs := make([][]Record, len(sizes))
	t.Run("runs", func(t *testing.T) {
		for i, size := range sizes {
			t.Run(fmt.Sprintf("%d fronts, %d databases", size.Fronts, size.Databases), func(t *testing.T) {
				t.Parallel()
				all, err := Run(context.Background(), options(t, size))
				require.NoError(t, err)
				runs[i] = all
				holds(t, size, all)
			})
		}
	})
	if t.Failed() || t.Skipped() || runs[0] == nil {
		return
	}
	act := func(run int, phase, resource string) float64 {
		return value(t, runs[run], phase, HollowFollower, resource+fleet.KindBroadcast.String()).Value
	}
	per := (act(3, WholeList, kindBytes) - act(0, WholeList, kindBytes)) / float64(sizes[3].Databases-sizes[0].Databases)
	assert.InDelta(t, 300, per, 250, "bytes of a whole list at a front for each database: an entry on each of its links but one")
	assert.Less(t, act(2, EntryChange, kindMessages), 3*act(0, EntryChange, kindMessages), "a front's messages for a change don't grow with fronts")
	links := func(run int) float64 { return value(t, runs[run], Rest, HollowFollower, "links").Value }
	assert.Less(t, links(2), 2*links(0), "its links neither")
}

// holds checks what is so at every size.
func holds(t *testing.T, size Size, all []Record) {
	hollow, changes := size.hollow(), size.changes()
	for _, role := range roleOrder {
		r := value(t, all, Rest, role, "processor")
		assert.Positive(t, r.Fronts, role)
		assert.Positive(t, value(t, all, Rest, role, "resident memory").Value, role)
	}
	assert.Equal(t, 1.0, value(t, all, Rest, Discovery, "watches").Value, "one front watches for all")
	assert.Less(t, value(t, all, EntryChange, Discovery, "bytes sent").Value, 400.0, "an entry goes to one watch")
	for _, phase := range []string{EntryChange, WholeList} {
		r := value(t, all, phase, wholeFleet, "from discovery to a hollow front")
		assert.Zero(t, r.Missing, phase)
		assert.Equal(t, int64(hollow*changes), r.Quantiles.Count, "each change came to each front")
		links := value(t, all, Rest, HollowFollower, "links").Value
		assert.LessOrEqual(t, value(t, all, phase, HollowFollower, kindMessages+fleet.KindBroadcast.String()).Value, 3*links,
			"a change passes a link once or twice; the beats that it is told from are one more or less")
	}
	r := value(t, all, Configuration, wholeFleet, "from the publish to a hollow front")
	assert.Equal(t, int64(hollow*changes), r.Quantiles.Count+int64(r.Missing), "%s", r.Note)
	assert.Equal(t, HollowFollower, value(t, all, Rest, HollowFollower, "processor").Role)
	assert.Equal(t, hollowNote, value(t, all, Rest, HollowFollower, "processor").Note)
}

func TestAHollowProcessThatDiesIsNamedAndNotCounted(t *testing.T) {
	o := options(t, small(24))
	o.settled = func(b *bench) { b.hollow[1].cmd.Process.Kill() }
	all, err := Run(context.Background(), o)
	var death *Death
	require.ErrorAs(t, err, &death)
	assert.Equal(t, "hollow-2 (n21 to n32)", death.Process)
	assert.Contains(t, err.Error(), "signal: killed")
	for _, r := range all {
		assert.Equal(t, Start, r.Phase, "nothing of a phase in which it died is told")
	}
}

func TestAnInterruptEndsEveryProcess(t *testing.T) {
	o := options(t, small(12))
	ctx, interrupt := context.WithCancelCause(context.Background())
	var pids []int
	stop := errors.New("interrupted")
	o.settled = func(b *bench) {
		for _, p := range b.processes() {
			pids = append(pids, p.cmd.Process.Pid)
		}
		interrupt(stop)
	}
	began := time.Now()
	_, err := Run(ctx, o)
	assert.ErrorIs(t, err, stop)
	assert.Len(t, pids, realFronts+1+2)
	for _, pid := range pids {
		assert.ErrorIs(t, syscall.Kill(pid, 0), syscall.ESRCH, "process %d is there still, %v behind the start", pid, time.Since(began))
	}
}
