package proxysim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"dapplerouter/fleet/rollout"
	"dapplerouter/front"
)

// newBenchmarkCluster starts a cluster in which each front receives rate requests per second.
func newBenchmarkCluster(fronts int, rate float64) *Cluster {
	o := benchmarkOptions(fronts)
	o.Load = LoadOptions{Rate: rate, WriteFraction: 0.2}
	cluster := New(o)
	cluster.StartAll()
	cluster.Run(20 * time.Second)
	return cluster
}

// BenchmarkPublish measures how much virtual time passes from an operator's publication until all fronts act on the version. The version
// is rolled out in one stage without observation, while a part of the fleet is cut off for 20 s. The lease duration is 3 s, that of
// configuration leases 12 s.
func BenchmarkPublish(b *testing.B) {
	for _, fronts := range []int{10, 50, 300} {
		for _, cutOffPercent := range []int{0, 5, 20} {
			if only := os.Getenv("MODEL_FRONTS"); only != "" && only != fmt.Sprint(fronts) {
				continue
			}
			b.Run(fmt.Sprintf("%d/lag=%d%%", fronts, cutOffPercent), func(b *testing.B) {
				for b.Loop() {
					cluster := newBenchmarkCluster(fronts, 2)
					for i := range fronts * cutOffPercent / 100 {
						cluster.partition(cluster.Hosts[fronts-1-i], bothDirections)
					}
					cluster.After(20*time.Second, cluster.Heal)
					began := cluster.Now
					cluster.SubmitAction(cluster.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 1s))"), Stages: []uint16{1000}, MaxFenced: 300}, func(string) {})
					first, onReachable, steady := time.Duration(0), time.Duration(0), time.Duration(0)
					for cluster.Now < began+3*time.Minute {
						cluster.Run(10 * time.Millisecond)
						onNewVersion := 0
						for _, f := range cluster.Fronts {
							if f.Core.ConfigVersion() == 1 {
								onNewVersion++
							}
						}
						if onNewVersion > 0 && first == 0 {
							first = cluster.Now - began
						}
						if onNewVersion >= fronts-fronts*cutOffPercent/100 && onReachable == 0 {
							onReachable = cluster.Now - began
						}
						if s := cluster.RolloutState(); steady == 0 && s.Phase == rollout.PhaseSteady && s.Base == 1 {
							steady = cluster.Now - began
						}
						if onNewVersion == fronts && steady > 0 {
							break
						}
					}
					if len(cluster.Violations) > 0 || steady == 0 {
						b.Fatal(cluster.Violations, cluster.RolloutState().Reason)
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

// BenchmarkBadVersion measures how many requests fail on a faulty version and how long it takes until the version is rolled back, by the
// size of the first stage. One version fails a tenth of its requests and another fails all of them. 50 fronts receive 20 requests per
// second each, and each stage is observed for 30 s.
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
					cluster.SubmitAction(cluster.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 1s))"), Stages: []uint16{stage, 1000}, ObservationTime: 30 * time.Second, MaxFenced: 300}, func(string) {})
					for cluster.Now < began+2*time.Minute && (cluster.RolloutState().Phase != rollout.PhaseSteady || cluster.RolloutState().LastVersion == 0) {
						cluster.Run(50 * time.Millisecond)
					}
					failed := 0
					for _, request := range cluster.Requests {
						if request.ReceivedAt > began && request.Responses == 1 && request.Status != front.StatusSucceeded {
							failed++
						}
					}
					if len(cluster.Violations) > 0 {
						b.Fatal(cluster.Violations)
					}
					b.ReportMetric(float64(failed), "failed")
					b.ReportMetric(float64(len(cluster.Requests))*0.002*(cluster.Now-began).Seconds()/cluster.Now.Seconds(), "failed-anyway")
					b.ReportMetric((cluster.Now - began).Seconds(), "s-to-rest")
					b.ReportMetric(float64(cluster.RolloutState().Base), "base")
				}
			})
		}
	}
}
