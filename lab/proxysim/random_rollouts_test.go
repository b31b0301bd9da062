package proxysim

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// optionsForSeed returns the options of the random run for a seed. The number of fronts and StopWhenIsolated depend on the seed.
func optionsForSeed(seed uint64) RandomRolloutOptions {
	return RandomRolloutOptions{Seed: seed, Fronts: 4 + int(seed%4), StopWhenIsolated: seed%2 == 0}
}

func TestRandomFaultsEndRolloutsAllNewOrAllOld(t *testing.T) {
	seeds := uint64(120)
	if n, err := strconv.ParseUint(os.Getenv("ROLL_SEEDS"), 10, 64); err == nil { // make roll-soak
		seeds = n
	} else if testing.Short() || raceEnabled {
		seeds = 2 // a simulation runs on one goroutine, so there is little for the race detector to find
	}
	first, _ := strconv.ParseUint(os.Getenv("ROLL_FIRST"), 10, 64)
	for part := range uint64(6) {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for seed := first + 1 + part; seed <= first+seeds; seed += 6 {
				_, violations := RunRolloutsWithRandomFaults(optionsForSeed(seed))
				require.Empty(t, violations, "seed %d", seed)
			}
		})
	}
}

// TestOneSeed runs the seed in the environment variable SEED and prints its trace and its rollout changes.
func TestOneSeed(t *testing.T) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if seed == 0 {
		t.Skip()
	}
	o := optionsForSeed(seed)
	o.Trace = func(line string) { fmt.Println(line) }
	cluster, violations := RunRolloutsWithRandomFaults(o)
	for _, c := range cluster.RolloutChanges {
		fmt.Println(c.At, c.Phase, c.Base, c.Next, c.Stage, c.Paused, c.Reason)
	}
	require.Empty(t, violations)
}
