package proxysim

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
)

// The fronts' own log is not looked at here.
func init() { slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil))) }

func small(seed uint64, fleet bool) Options {
	return Options{Seed: seed, Fronts: 5, Voters: 3, Groups: 2, PerGroup: 3, Servers: 4, Service: 2 * time.Millisecond, Rate: 20, Writes: 0.25,
		Span: 3 * time.Second, Fleet: fleet}
}

func TestRealFrontsServeInVirtualTimeAndOneSeedIsOneRun(t *testing.T) {
	runs := map[bool][2]string{}
	for _, on := range []bool{false, true} {
		var said [2]string
		for i := range said {
			w := New(small(4, on))
			w.StartAll()
			w.Run(10 * time.Second)
			require.Empty(t, w.Wrong)
			served := 0
			for _, x := range w.Requests {
				assert.LessOrEqual(t, x.Answers, 1, x.ID)
				if x.Answers == 1 && x.Word == front.StatusSucceeded {
					served++
				}
				said[i] += fmt.Sprintln(x.ID, x.Front, x.Ended, x.Word)
			}
			assert.Greater(t, len(w.Requests), 800)
			assert.Greater(t, served, len(w.Requests)*98/100)
		}
		assert.Equal(t, said[0], said[1], "one seed, one run")
		runs[on] = said
	}
}

func TestOneFrontFollowsTheListForAllInVirtualTime(t *testing.T) {
	w := New(small(5, true))
	w.StartAll()
	w.Run(15 * time.Second)
	require.Empty(t, w.Wrong)
	assert.Equal(t, 1, w.Lists.Open, "one watch for all")
	w.Holder("list").Crash()
	w.Run(12 * time.Second)
	assert.LessOrEqual(t, w.Lists.Open, 3, "another follows it")
}

// BenchmarkFleet tells of calls to the list's service and probes a minute, with the fleet and without, a member of the first
// group saying nothing. MODEL_FRONTS names one size.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 50, 300} {
		for _, on := range []bool{false, true} {
			if only := os.Getenv("MODEL_FRONTS"); only != "" && only != fmt.Sprint(n) {
				continue
			}
			b.Run(fmt.Sprintf("%d/fleet=%v", n, on), func(b *testing.B) {
				for b.Loop() {
					w := New(Options{Seed: 1, Fronts: n, Voters: 3, Groups: 10, PerGroup: 3, Servers: 8, Service: 2 * time.Millisecond, Rate: 10,
						Writes: 0.2, Span: 3 * time.Second, Fleet: on, Unwatched: true})
					w.StartAll()
					w.Run(20 * time.Second)
					calls, probes := w.Lists.Calls, w.Probes()
					w.Members[2].Hangs = true
					w.Run(time.Minute)
					if len(w.Wrong) > 0 {
						b.Fatal(w.Wrong)
					}
					asked, served := 0, 0
					for _, f := range w.Fronts {
						asked, served = asked+f.Asked[Browse]+f.Asked[Book], served+f.Served[Browse]+f.Served[Book]
					}
					b.ReportMetric(float64(calls), "calls-at-start")
					b.ReportMetric(float64(w.Lists.Calls-calls), "calls/min")
					b.ReportMetric(float64(w.Lists.Open), "watches")
					b.ReportMetric(float64(w.Probes()-probes), "probes/min")
					b.ReportMetric(100*float64(served)/float64(asked), "%served")
				}
			})
		}
	}
}
