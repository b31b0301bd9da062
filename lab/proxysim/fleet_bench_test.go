package proxysim

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// BenchmarkFleet measures the calls to the endpoint service and the probes per minute, with a fleet and without one, while a server of
// the first group hangs. The environment variable MODEL_FRONTS selects one size.
func BenchmarkFleet(b *testing.B) {
	for _, fronts := range []int{10, 50, 300} {
		for _, withFleet := range []bool{false, true} {
			if only := os.Getenv("MODEL_FRONTS"); only != "" && only != fmt.Sprint(fronts) {
				continue
			}
			b.Run(fmt.Sprintf("%d/fleet=%v", fronts, withFleet), func(b *testing.B) {
				for b.Loop() {
					cluster := New(Options{
						Seed:            1,
						Fronts:          fronts,
						Voters:          3,
						Fleet:           withFleet,
						LeaseDuration:   3 * time.Second,
						Servers:         ServerOptions{Groups: 10, PerGroup: 3, Concurrency: 8, ServiceTime: 2 * time.Millisecond},
						Load:            LoadOptions{Rate: 10, WriteFraction: 0.2},
						DiscardRequests: true,
					})
					cluster.StartAll()
					cluster.Run(20 * time.Second)
					calls, probes := cluster.EndpointService.Calls, cluster.Probes()
					cluster.Servers[2].Hangs = true
					cluster.Run(time.Minute)
					if len(cluster.Violations) > 0 {
						b.Fatal(cluster.Violations)
					}
					received, succeeded := 0, 0
					for _, f := range cluster.Fronts {
						received, succeeded = received+f.Received[Browse]+f.Received[Book], succeeded+f.Succeeded[Browse]+f.Succeeded[Book]
					}
					b.ReportMetric(float64(calls), "calls-at-start")
					b.ReportMetric(float64(cluster.EndpointService.Calls-calls), "calls/min")
					b.ReportMetric(float64(cluster.EndpointService.OpenWatches), "watches")
					b.ReportMetric(float64(cluster.Probes()-probes), "probes/min")
					b.ReportMetric(100*float64(succeeded)/float64(received), "%served")
				}
			})
		}
	}
}
