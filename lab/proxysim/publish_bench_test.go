package proxysim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"dapplerouter/fleet/rollout"
	"dapplerouter/front"
)

// newBenchmarkCluster starts a cluster of fronts that each receive rate requests a second.
func newBenchmarkCluster(fronts int, rate float64) *Cluster {
	o := benchmarkOptions(fronts)
	o.Load = LoadOptions{Rate: rate, WriteFraction: 0.2}
	cluster := New(o)
	cluster.StartAll()
	cluster.Run(20 * time.Second)
	return cluster
}

// BenchmarkPublish measures how long it takes from an operator's publication until all fronts act on the version, in virtual time: in
// one stage without observation, with a part of the fleet cut off for 20 s, a lease duration of 3 s, configuration leases of 12 s.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{10, 50, 300} {
		for _, lag := range []int{0, 5, 20} {
			if only := os.Getenv("MODEL_FRONTS"); only != "" && only != fmt.Sprint(n) {
				continue
			}
			b.Run(fmt.Sprintf("%d/lag=%d%%", n, lag), func(b *testing.B) {
				for b.Loop() {
					cluster := newBenchmarkCluster(n, 2)
					for i := range n * lag / 100 {
						cluster.partition(cluster.Hosts[n-1-i], bothDirections)
					}
					cluster.After(20*time.Second, cluster.Heal)
					began := cluster.Now
					cluster.Publish(cluster.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 1s))"), Stages: []uint16{1000}, MaxFenced: 300}, func(string) {})
					first, onReachable, steady := time.Duration(0), time.Duration(0), time.Duration(0)
					for cluster.Now < began+3*time.Minute {
						cluster.Run(10 * time.Millisecond)
						on := 0
						for _, f := range cluster.Fronts {
							if f.Core.ConfigVersion() == 1 {
								on++
							}
						}
						if on > 0 && first == 0 {
							first = cluster.Now - began
						}
						if on >= n-n*lag/100 && onReachable == 0 {
							onReachable = cluster.Now - began
						}
						if s := cluster.State(); steady == 0 && s.Phase == rollout.PhaseSteady && s.Base == 1 {
							steady = cluster.Now - began
						}
						if on == n && steady > 0 {
							break
						}
					}
					if len(cluster.Violations) > 0 || steady == 0 {
						b.Fatal(cluster.Violations, cluster.State().Reason)
					}
					b.ReportMetric(first.Seconds(), "s-first")
					b.ReportMetric(onReachable.Seconds(), "s-all-heard")
					b.ReportMetric(steady.Seconds(), "s-in-force")
					b.ReportMetric((cluster.Now - began).Seconds(), "s-all")
				}
			})
		}
	}
}

// BenchmarkBadVersion measures what a bad version costs before it is rolled back, by the size of the first stage: one that fails a
// tenth of its requests, and one that fails all, with 50 fronts of 20 requests a second, observed for 30 s.
func BenchmarkBadVersion(b *testing.B) {
	for _, failureRate := range []float64{0.1, 1} {
		for _, stage := range []uint16{1, 100, 500, 1000} {
			b.Run(fmt.Sprintf("failure-rate=%v/stage=%d", failureRate, stage), func(b *testing.B) {
				for b.Loop() {
					cluster := newBenchmarkCluster(50, 20)
					for _, f := range cluster.Fronts {
						f.FailureRate = func(v uint64) float64 { return 0.002 + failureRate*float64(v) }
					}
					began := cluster.Now
					cluster.Publish(cluster.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 1s))"), Stages: []uint16{stage, 1000}, ObservationTime: 30 * time.Second, MaxFenced: 300}, func(string) {})
					for cluster.Now < began+2*time.Minute && (cluster.State().Phase != rollout.PhaseSteady || cluster.State().LastVersion == 0) {
						cluster.Run(50 * time.Millisecond)
					}
					bad := 0
					for _, x := range cluster.Requests {
						if x.ReceivedAt > began && x.Responses == 1 && x.Status != front.StatusSucceeded {
							bad++
						}
					}
					if len(cluster.Violations) > 0 {
						b.Fatal(cluster.Violations)
					}
					b.ReportMetric(float64(bad), "failed")
					b.ReportMetric(float64(len(cluster.Requests))*0.002*(cluster.Now-began).Seconds()/cluster.Now.Seconds(), "failed-anyway")
					b.ReportMetric((cluster.Now - began).Seconds(), "s-to-rest")
					b.ReportMetric(float64(cluster.State().Base), "base")
				}
			})
		}
	}
}
