package proxysim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"dapplerouter/fleet/rollout"
	"dapplerouter/front"
)

func sized(n int, rate float64, stop bool) *Town {
	w := New(Options{SparseChecks: true, Seed: 3, Fronts: n, Voters: 3, Groups: 10, PerGroup: 3, Servers: 8, Service: 2 * time.Millisecond, Rate: rate, Writes: 0.2,
		Span: 3 * time.Second, Fleet: true, Right: 12 * time.Second, Stop: stop})
	w.StartAll()
	w.Run(20 * time.Second)
	return w
}

// BenchmarkPublish tells how long it takes from an operator's word until all fronts act on a version, in virtual time: in one
// wave that is not watched, with a part of the fleet cut off for 20 s, span 3 s, right 12 s.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{10, 50, 300} {
		for _, lag := range []int{0, 5, 20} {
			if only := os.Getenv("MODEL_FRONTS"); only != "" && only != fmt.Sprint(n) {
				continue
			}
			b.Run(fmt.Sprintf("%d/lag=%d%%", n, lag), func(b *testing.B) {
				for b.Loop() {
					w := sized(n, 2, true)
					for i := range n * lag / 100 {
						w.apart(w.Hosts[n-1-i], true, true)
					}
					w.After(20*time.Second, w.Heal)
					began := w.Now
					w.Publish(w.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 1s))"), Stages: []uint16{1000}, MaxFenced: 300}, func(string) {})
					first, heard, steady := time.Duration(0), time.Duration(0), time.Duration(0)
					for w.Now < began+3*time.Minute {
						w.Run(10 * time.Millisecond)
						on := 0
						for _, f := range w.Fronts {
							if f.Core.ConfigVersion() == 1 {
								on++
							}
						}
						if on > 0 && first == 0 {
							first = w.Now - began
						}
						if on >= n-n*lag/100 && heard == 0 {
							heard = w.Now - began
						}
						if s := w.State(); steady == 0 && s.Phase == rollout.PhaseSteady && s.Base == 1 {
							steady = w.Now - began
						}
						if on == n && steady > 0 {
							break
						}
					}
					if len(w.Wrong) > 0 || steady == 0 {
						b.Fatal(w.Wrong, w.State().Reason)
					}
					b.ReportMetric(first.Seconds(), "s-first")
					b.ReportMetric(heard.Seconds(), "s-all-heard")
					b.ReportMetric(steady.Seconds(), "s-in-force")
					b.ReportMetric((w.Now - began).Seconds(), "s-all")
				}
			})
		}
	}
}

// BenchmarkBadVersion tells what a bad version costs before it is taken back, by the size of the first wave: one that fails a
// tenth of its requests, and one that fails all, 50 fronts of 20 requests a second, watched for 30 s.
func BenchmarkBadVersion(b *testing.B) {
	for _, harm := range []float64{0.1, 1} {
		for _, wave := range []uint16{1, 100, 500, 1000} {
			b.Run(fmt.Sprintf("harm=%v/wave=%d", harm, wave), func(b *testing.B) {
				for b.Loop() {
					w := sized(50, 20, true)
					for _, f := range w.Fronts {
						f.Spoils = func(v uint64) float64 { return 0.002 + harm*float64(v) }
					}
					began := w.Now
					w.Publish(w.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 1s))"), Stages: []uint16{wave, 1000}, ObservationTime: 30 * time.Second, MaxFenced: 300}, func(string) {})
					for w.Now < began+2*time.Minute && (w.State().Phase != rollout.PhaseSteady || w.State().LastVersion == 0) {
						w.Run(50 * time.Millisecond)
					}
					bad := 0
					for _, x := range w.Requests {
						if x.At > began && x.Answers == 1 && x.Word != front.StatusSucceeded {
							bad++
						}
					}
					if len(w.Wrong) > 0 {
						b.Fatal(w.Wrong)
					}
					b.ReportMetric(float64(bad), "failed")
					b.ReportMetric(float64(len(w.Requests))*0.002*(w.Now-began).Seconds()/w.Now.Seconds(), "failed-anyway")
					b.ReportMetric((w.Now - began).Seconds(), "s-to-rest")
					b.ReportMetric(float64(w.State().Base), "base")
				}
			})
		}
	}
}
