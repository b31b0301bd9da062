package fleetsim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFleetStartsAndSpreadsLeases(t *testing.T) {
	sim := startFleet(t, 1, 7)
	require.NotNil(t, sim.Leader())
	a, b := sim.Leaseholder("list"), sim.Leaseholder("scout/1")
	require.NotNil(t, a)
	require.NotNil(t, b)
	assert.NotEqual(t, a, b, "the leases are spread over the fronts")
	for _, h := range sim.Hosts {
		assert.False(t, h.Node.Isolated(), h.Name)
		assert.Len(t, h.Node.State().Fronts, 7, h.Name)
	}
}

// optionsForSeed returns the options of the random run for a seed. The size of the fleet depends on the seed.
func optionsForSeed(seed uint64) RandomFaultOptions {
	return RandomFaultOptions{Seed: seed, Fronts: 5 + int(seed%4), Voters: 3 + 2*int(seed%2), Faults: AllFaults, Duration: 40 * time.Second}
}

func TestRandomFaultsKeepInvariantsAndFleetRecovers(t *testing.T) {
	seeds := uint64(200)
	if n, err := strconv.ParseUint(os.Getenv("FLEET_SEEDS"), 10, 64); err == nil { // make fleet-soak
		seeds = n
	} else if raceEnabled || testing.Short() {
		seeds = 20
	}
	first, _ := strconv.ParseUint(os.Getenv("FLEET_FIRST"), 10, 64)
	for part := range uint64(6) {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for seed := first + 1 + part; seed <= first+seeds; seed += 6 {
				_, violations := RunWithRandomFaults(optionsForSeed(seed))
				require.Empty(t, violations, "seed %d", seed)
			}
		})
	}
}

// A seed that found a violation must find it again, so two runs with the same seed must have the same trace.
func TestSameSeedGivesSameTrace(t *testing.T) {
	var traces [2][]string
	for i := range traces {
		o := optionsForSeed(3)
		o.Trace = func(line string) { traces[i] = append(traces[i], line) }
		_, violations := RunWithRandomFaults(o)
		require.Empty(t, violations)
	}
	assert.NotEmpty(t, traces[0])
	assert.Equal(t, traces[0], traces[1])
}

// TestOneSeed runs the seed in the environment variable SEED and prints its trace.
func TestOneSeed(t *testing.T) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if seed == 0 {
		t.Skip()
	}
	o := optionsForSeed(seed)
	o.Trace = func(line string) { fmt.Println(line) }
	_, violations := RunWithRandomFaults(o)
	require.Empty(t, violations)
}
