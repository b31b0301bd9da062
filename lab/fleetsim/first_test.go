package fleetsim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

var pace = fleet.Timing{LeaseDuration: 3 * time.Second}

var two = map[string]time.Duration{"list": 0, "scout/1": 0}

func started(t *testing.T, seed uint64, fronts int) *World {
	w := New(seed, fronts, 3, pace, two)
	w.Trace = func(s string) { t.Log(s) }
	w.StartAll()
	w.Run(8 * time.Second)
	require.Empty(t, w.Wrong)
	return w
}

func TestAFleetStartsAndItsDutiesAreHeldApart(t *testing.T) {
	w := started(t, 1, 7)
	require.NotNil(t, w.Leader())
	a, b := w.Holder("list"), w.Holder("scout/1")
	require.NotNil(t, a)
	require.NotNil(t, b)
	assert.NotEqual(t, a, b, "duties are spread")
	for _, h := range w.Hosts {
		assert.False(t, h.Node.Isolated(), h.Name)
		assert.Len(t, h.Node.State().Fronts, 7, h.Name)
	}
}

func TestRoughRunsKeepEveryInvariantAndTheFleetComesBack(t *testing.T) {
	seeds := uint64(200)
	if n, err := strconv.ParseUint(os.Getenv("FLEET_SEEDS"), 10, 64); err == nil { // make fleet-soak
		seeds = n
	} else if raceOn || testing.Short() {
		seeds = 20
	}
	first, _ := strconv.ParseUint(os.Getenv("FLEET_FIRST"), 10, 64)
	for part := range uint64(6) {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for seed := first + 1 + part; seed <= first+seeds; seed += 6 {
				_, wrong := Rough(seed, 5+int(seed%4), 3+2*int(seed%2), All, 40*time.Second, nil)
				require.Empty(t, wrong, "seed %d", seed)
			}
		})
	}
}

func TestOneSeed(t *testing.T) {
	s, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if s == 0 {
		t.Skip()
	}
	_, wrong := Rough(s, 5+int(s%4), 3+2*int(s%2), All, 40*time.Second, func(l string) { fmt.Println(l) })
	require.Empty(t, wrong)
}
