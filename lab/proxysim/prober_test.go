package proxysim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
	"dapplerouter/front"
	"dapplerouter/lab/fleetsim"
)

// recordProbeResults records the results of probes that fronts receive from other fronts, except those of pending probes. The slice that
// it returns grows while the cluster runs.
func recordProbeResults(cluster *Cluster) *[]fleet.ProbeResult {
	results, onEvent := new([]fleet.ProbeResult), cluster.OnEvent
	cluster.OnEvent = func(h *fleetsim.Host, e fleet.Event) {
		if b, ok := e.(fleet.BroadcastReceived); ok && fleet.LeaseKind(b.Lease) == probeLeaseKind && b.From != h.Name {
			if result, ok := fleet.DecodeProbeResult(b.Data); ok && !result.Pending {
				*results = append(*results, result)
			}
		}
		onEvent(h, e)
	}
	return results
}

// Guards against a leaseholder that reports answered probes as failed. All fronts then ejected healthy servers.
func TestAnsweredProbesAreReportedHealthy(t *testing.T) {
	cluster := New(smallOptions(7, true))
	results := recordProbeResults(cluster)
	cluster.StartAll()
	cluster.Run(10 * time.Second)
	for range 10 {
		for _, f := range cluster.Fronts {
			for _, s := range cluster.Servers {
				f.prober.OnProbeRequest(s.Name)
			}
		}
		cluster.Run(2 * time.Second)
	}
	require.Empty(t, cluster.Violations)
	assert.NotEmpty(t, *results)
	unhealthy := 0
	for _, result := range *results {
		if !result.Healthy {
			unhealthy++
		}
	}
	assert.Zero(t, unhealthy, "of %d results", len(*results))
}

// Guards against the same failure when requests with too little time trigger the probes. One such request caused primaries to be ejected
// permanently.
func TestRequestsWithTooLittleTimeEjectNoServer(t *testing.T) {
	o := smallOptions(61, true)
	o.Fronts = 12
	cluster := New(o)
	results := recordProbeResults(cluster)
	for _, f := range cluster.Fronts {
		f.FailureRate = func(uint64) float64 { return 0.2 }
	}
	cluster.StartAll()
	cluster.Run(40 * time.Second)
	require.Empty(t, cluster.Violations)
	for _, result := range *results {
		assert.True(t, result.Healthy, "%+v", result)
	}
	writes, succeeded := 0, 0
	for _, request := range cluster.Requests {
		if request.Write && request.ReceivedAt > 10*time.Second && request.Timeout == cluster.Options.Load.Deadline && request.Responses > 0 {
			writes++
			if request.Status == front.StatusSucceeded {
				succeeded++
			}
		}
	}
	assert.Greater(t, succeeded, writes*98/100, "of %d writes with enough time", writes)
}

// Guards against fronts that find no primary after an outage, because the result of another front's probe does not name the primary.
func TestWritesAloneFindThePrimaryAfterAnOutage(t *testing.T) {
	const outage, recovery = 5 * time.Second, 5 * time.Second
	for _, test := range []struct {
		name       string
		newPrimary int
	}{{"the primary returns", 0}, {"another server is primary", 1}} {
		for _, withFleet := range []bool{false, true} {
			t.Run(test.name+map[bool]string{true: ", in a fleet"}[withFleet], func(t *testing.T) {
				o := smallOptions(8, withFleet)
				o.Load.WriteFraction = 1
				cluster := New(o)
				cluster.StartAll()
				cluster.Run(15 * time.Second)
				group := cluster.Servers[:3]
				group[0].Down = true
				cluster.Run(outage)
				for i, s := range group {
					s.Primary, s.Down = i == test.newPrimary, false
				}
				cluster.Run(recovery)
				from := cluster.Now
				cluster.Run(10 * time.Second)
				require.Empty(t, cluster.Violations)
				failed := map[string]int{}
				for _, request := range cluster.Requests {
					if request.ReceivedAt > from && request.Responses > 0 && request.Status != front.StatusSucceeded {
						failed[request.Front]++
					}
				}
				assert.Empty(t, failed, "failed writes by front")
			})
		}
	}
}
