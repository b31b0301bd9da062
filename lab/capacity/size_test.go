package capacity

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func smallSize(hollow int) Size {
	return Size{Fronts: realFronts + hollow, SimulatedPerProcess: 12, Databases: 12, Zones: 3, ChangesPerHour: 1800, Duration: 4 * time.Second,
		LeaseDuration: 3 * time.Second}
}

func TestSizesThatMakeNoSenseOrDoNotFitAreRefusedWithWhatWould(t *testing.T) {
	machine := Machine{Memory: 24 << 30, Descriptors: 20_000}
	assert.NoError(t, smallSize(12).Check(machine))
	full := Size{Fronts: 540, SimulatedPerProcess: 48, Databases: 650, Zones: 8, ChangesPerHour: 50, Duration: time.Minute, LeaseDuration: 3 * time.Second}
	assert.NoError(t, full.Check(machine), "the size that is designed for fits such a machine")
	for name, x := range map[string]struct {
		change  func(*Size)
		machine Machine
		want    string
	}{
		"fronts":      {func(s *Size) { s.Fronts = 8 }, machine, "--fronts 8: 8 are real processes (3 voters, two leaseholders, followers); 9 at least"},
		"per process": {func(s *Size) { s.SimulatedPerProcess = 0 }, machine, "--hollow-per-process 0: 1 at least"},
		"databases":   {func(s *Size) { s.Databases = 0 }, machine, "--databases 0: 1 at least"},
		"zones":       {func(s *Size) { s.Zones = 65 }, machine, "--zones 65: between 1 and 64"},
		"changes":     {func(s *Size) { s.ChangesPerHour = 0 }, machine, "--changes-per-hour 0: above 0"},
		"duration":    {func(s *Size) { s.Duration = 0 }, machine, "--duration 0s: 1s at least"},
		"span":        {func(s *Size) { s.LeaseDuration = 0 }, machine, "--span 0s: between 1s and 1m0s"},
		"cut off":     {func(s *Size) { s.PausedOneIn = 1 }, machine, "--cut-off 1: 0 for none"},
		"processes":   {func(s *Size) { s.SimulatedPerProcess = 1 }, machine, "532 processes, and 300 are the most: --hollow-per-process 2 would fit"},
		"memory":      {func(*Size) {}, Machine{Memory: 4 << 30, Descriptors: 20_000}, "half of the machine's memory is 2048 MiB: --fronts"},
		"descriptors": {func(*Size) {}, Machine{Memory: 24 << 30, Descriptors: 1500}, "1500 are allowed: --hollow-per-process 42 would fit"},
	} {
		t.Run(name, func(t *testing.T) {
			s := full
			x.change(&s)
			err := s.Check(x.machine)
			assert.IsType(t, SizeError{}, err)
			assert.ErrorContains(t, err, x.want)
		})
	}
}

func TestWhatWouldFitFits(t *testing.T) {
	s := smallSize(12)
	s.Fronts, s.SimulatedPerProcess, s.Databases = 540, 48, 650
	var m Machine
	for m = (Machine{Memory: 4 << 30, Descriptors: 20_000}); s.Check(m) != nil; s.Fronts-- {
		require.Greater(t, s.Fronts, realFronts)
	}
	assert.Contains(t, Size{Fronts: 540, SimulatedPerProcess: 48, Databases: 650}.largestFit(func(t Size) bool { return t.memory() <= m.Memory/2 }),
		"--fronts "+itoa(s.Fronts)+" would fit")
}

func TestNothingIsStartedOfASizeThatIsRefused(t *testing.T) {
	dir := t.TempDir()
	s := smallSize(12)
	s.SimulatedPerProcess = 0
	_, err := Run(context.Background(), Options{Size: s, Program: "/nothing/of/that/name", Dir: dir, Worker: func(string) []string {
		t.Error("a worker was started")
		return nil
	}})
	assert.IsType(t, SizeError{}, err)
	left, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Empty(t, left)
}

func TestFrontsThatAreCutOffHaveAProcessOfTheirOwn(t *testing.T) {
	s := Size{Fronts: 100, SimulatedPerProcess: 30, PausedOneIn: 20}
	var sizes []int
	next := realFronts
	for _, ordinals := range s.ordinalsByProcess() {
		sizes = append(sizes, len(ordinals))
		assert.Equal(t, next, ordinals[0], "each front once, in order")
		next += len(ordinals)
	}
	assert.Equal(t, []int{30, 30, 27, 5}, sizes)
	assert.Equal(t, s.Fronts, next)
}

func TestTheWitnessTellsEndsOfRolloutsApart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history")
	write := func(text string) {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		require.NoError(t, err)
		_, err = f.WriteString(text)
		require.NoError(t, err)
		require.NoError(t, f.Close())
	}
	w := &historyReader{path: path}
	steady := func(version uint64) int64 {
		at, err := w.finished(version)
		require.NoError(t, err)
		return at
	}
	write(`{"at":5,"what":"turned","term":1,"name":"rolling"}` + "\n" + `{"at":9,"what":"turned","name":"steady","num`)
	assert.Zero(t, steady(1), "half a line says nothing yet")
	write(`ber":1}` + "\n" + `{"at":11,"what":"came","duty":"list"}` + "\n")
	assert.Equal(t, int64(9), steady(1))
	write(`{"at":12,"what":"turned","number":1,"term":2,"name":"rolling"}` + "\n" +
		`{"at":13,"what":"turned","number":1,"term":2,"name":"going back","why":"n7 can't use it"}` + "\n")
	assert.Zero(t, steady(2))
	write(`{"at":14,"what":"turned","number":1,"name":"steady"}` + "\n")
	assert.Equal(t, int64(rolledBack), steady(2), "an end, but not in force")
	assert.Equal(t, "n7 can't use it", w.rollbackReasons[2])
	assert.Equal(t, int64(9), steady(1), "the first time stands")
}

func TestARoleThatChangedHandsIsPartial(t *testing.T) {
	was := roles{leader: "n1", endpoints: "n4", rollouts: "n5"}
	assert.Empty(t, roleChanges(was, was))
	is := roles{leader: "n2", endpoints: "n4", rollouts: "n6"}
	why := roleChanges(was, is)
	assert.Equal(t, "the leader was n1 and is n2", why[RoleLeader])
	assert.Contains(t, why, RoleVoter)
	assert.NotContains(t, why, RoleEndpointsLeaseholder)
	assert.Equal(t, "the lease was n5's and is n6's", why[RoleRolloutsLeaseholder])
	assert.Equal(t, noRole, is.of(historyOrdinal), "it keeps a history, and counts in no role")
}

func TestAProcessWithoutAFirstSampleIsNotCountedAsZero(t *testing.T) {
	before := []sample{{process: "hollow-1", real: -1, role: RoleSimulatedFollower, Counters: Counters{SampledAt: 1e6, Fronts: 4, Sent: 10}}}
	after := []sample{
		{process: "hollow-1", real: -1, role: RoleSimulatedFollower, Counters: Counters{SampledAt: 3e6, Fronts: 4, Sent: 90}},
		{process: "hollow-2", real: -1, role: RoleSimulatedFollower, Counters: Counters{SampledAt: 3e6, Fronts: 4, Sent: 500}}}
	s := usageBetween(before, after, roles{})[RoleSimulatedFollower]
	assert.Equal(t, 4, s.fronts)
	assert.Equal(t, 80.0, s.sent)
	assert.Equal(t, 8.0, s.frontSeconds, "two seconds of four fronts")
}
