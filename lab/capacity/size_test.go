package capacity

import (
	"context"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// smallSize returns the size of a short run with the given number of simulated followers.
func smallSize(simulated int) Size {
	return Size{Fronts: realFronts + simulated, SimulatedPerProcess: 12, Databases: 12, Zones: 3, ChangesPerHour: 1800,
		Duration: 4 * time.Second, LeaseDuration: 3 * time.Second}
}

func TestCheckRejectsInvalidAndOversizedRuns(t *testing.T) {
	machine := Machine{Memory: 24 << 30, Descriptors: 20_000}
	assert.NoError(t, smallSize(12).Check(machine))
	full := Size{Fronts: 540, SimulatedPerProcess: 48, Databases: 650, Zones: 8, ChangesPerHour: 50, Duration: time.Minute, LeaseDuration: 3 * time.Second}
	assert.NoError(t, full.Check(machine), "the design size fits this machine")
	for name, x := range map[string]struct {
		change  func(*Size)
		machine Machine
		want    string
	}{
		"fronts":         {func(s *Size) { s.Fronts = 8 }, machine, "--fronts 8: 8 are real processes (3 voters, two leaseholders, followers); the minimum is 9"},
		"per process":    {func(s *Size) { s.SimulatedPerProcess = 0 }, machine, "--simulated-per-process 0: the minimum is 1"},
		"databases":      {func(s *Size) { s.Databases = 0 }, machine, "--databases 0: the minimum is 1"},
		"zones":          {func(s *Size) { s.Zones = 65 }, machine, "--zones 65: must be between 1 and 64"},
		"changes":        {func(s *Size) { s.ChangesPerHour = 0 }, machine, "--changes-per-hour 0: must be above 0"},
		"duration":       {func(s *Size) { s.Duration = 0 }, machine, "--duration 0s: the minimum is 1s"},
		"lease duration": {func(s *Size) { s.LeaseDuration = 0 }, machine, "--lease-duration 0s: must be between 1s and 1m0s"},
		"paused":         {func(s *Size) { s.PausedOneIn = 1 }, machine, "--paused-one-in 1: must be 0 for none"},
		"processes":      {func(s *Size) { s.SimulatedPerProcess = 1 }, machine, "532 processes, but the maximum is 300: --simulated-per-process 2 would fit"},
		"memory":         {func(*Size) {}, Machine{Memory: 4 << 30, Descriptors: 20_000}, "half of the machine's memory is 2048 MiB: --fronts"},
		"descriptors":    {func(*Size) {}, Machine{Memory: 24 << 30, Descriptors: 1500}, "1500 are allowed: --simulated-per-process 42 would fit"},
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

func TestSuggestedSizeFits(t *testing.T) {
	s := smallSize(12)
	s.Fronts, s.SimulatedPerProcess, s.Databases = 540, 48, 650
	m := Machine{Memory: 4 << 30, Descriptors: 20_000}
	for ; s.Check(m) != nil; s.Fronts-- {
		require.Greater(t, s.Fronts, realFronts)
	}
	assert.Contains(t, Size{Fronts: 540, SimulatedPerProcess: 48, Databases: 650}.largestSize(func(t Size) bool { return t.memory() <= m.Memory/2 }),
		"--fronts "+strconv.Itoa(s.Fronts)+" would fit")
}

func TestRejectedSizeStartsNothing(t *testing.T) {
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

func TestPausedFollowersHaveTheirOwnProcess(t *testing.T) {
	s := Size{Fronts: 100, SimulatedPerProcess: 30, PausedOneIn: 20}
	var sizes []int
	next := realFronts
	for _, ordinals := range s.ordinalsByProcess() {
		sizes = append(sizes, len(ordinals))
		assert.Equal(t, next, ordinals[0], "each front is hosted once, in order")
		next += len(ordinals)
	}
	assert.Equal(t, []int{30, 30, 27, 5}, sizes)
	assert.Equal(t, s.Fronts, next)
}
