package proxysim

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
)

// init discards the log output of the fronts.
func init() { slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil))) }

// smallOptions returns the options of a cluster with two groups of three servers and five fronts under load.
func smallOptions(seed uint64, fleet bool) Options {
	return Options{
		Seed:          seed,
		Fronts:        5,
		Voters:        3,
		Fleet:         fleet,
		LeaseDuration: 3 * time.Second,
		Servers:       ServerOptions{Groups: 2, PerGroup: 3, Concurrency: 4, ServiceTime: 2 * time.Millisecond},
		Load:          LoadOptions{Rate: 20, WriteFraction: 0.25},
	}
}

func TestFrontsServeInVirtualTimeAndASeedReplays(t *testing.T) {
	for _, on := range []bool{false, true} {
		var runs [2]string
		for i := range runs {
			cluster := New(smallOptions(4, on))
			cluster.StartAll()
			cluster.Run(10 * time.Second)
			require.Empty(t, cluster.Violations)
			succeeded := 0
			for _, request := range cluster.Requests {
				assert.LessOrEqual(t, request.Responses, 1, request.ID)
				if request.Responses == 1 && request.Status == front.StatusSucceeded {
					succeeded++
				}
				runs[i] += fmt.Sprintln(request.ID, request.Front, request.FinishedAt, request.Status)
			}
			assert.Greater(t, len(cluster.Requests), 800)
			assert.Greater(t, succeeded, len(cluster.Requests)*98/100)
		}
		assert.Equal(t, runs[0], runs[1], "the same seed gives the same run")
	}
}

func TestOneFrontWatchesTheEndpointListForAll(t *testing.T) {
	cluster := New(smallOptions(5, true))
	cluster.StartAll()
	cluster.Run(15 * time.Second)
	require.Empty(t, cluster.Violations)
	assert.Equal(t, 1, cluster.EndpointService.OpenWatches, "one watch for the whole fleet")
	cluster.Leaseholder("list").Crash()
	cluster.Run(12 * time.Second)
	assert.LessOrEqual(t, cluster.EndpointService.OpenWatches, 3, "another front watches it")
}
