package proxysim

import (
	"fmt"
	"testing"
	"time"
)

// perPair are the statements a second that a front sends a database at the size of the plan: 490,000 over 540 x 650 pairs.
const perPair = 490_000.0 / (540 * 650)

// BenchmarkDatabases tells how many databases a front is connected with and how many fronts a database, and how many probes pass,
// with three servers to a group, one of them in each zone. A pair counts as connected where something was sent within the time
// after which an idle connection is closed (30 s). One run is one measurement: -benchtime 1x.
func BenchmarkDatabases(b *testing.B) {
	for _, x := range []struct{ fronts, databases int }{
		{12, 30}, {12, 90}, {12, 210}, {12, 420}, {12, 651},
		{24, 210}, {48, 210}, {96, 210},
	} {
		for _, on := range []bool{false, true} {
			b.Run(fmt.Sprintf("fronts=%d/databases=%d/fleet=%v", x.fronts, x.databases, on), func(b *testing.B) {
				for b.Loop() {
					w := New(Options{SparseChecks: true, Seed: 1, Fronts: x.fronts, Voters: 3, Groups: x.databases / 3, PerGroup: 3, Servers: 8, Service: 2 * time.Millisecond,
						Rate: perPair * float64(x.databases), Writes: 0.2, Span: 3 * time.Second, Fleet: on, Unwatched: true})
					w.StartAll()
					w.Run(warm)
					probes := w.Probes()
					for _, m := range w.Members {
						m.Seen = nil
					}
					const long = 30 * time.Second
					w.Run(long)
					if len(w.Wrong) > 0 {
						b.Fatal(w.Wrong)
					}
					pairs, most := 0, 0
					for _, m := range w.Members {
						by := map[string]bool{}
						for _, s := range m.Seen {
							by[s.Front] = true
						}
						pairs += len(by)
						most = max(most, len(by))
					}
					b.ReportMetric(float64(pairs)/float64(x.fronts), "databases/front")
					b.ReportMetric(float64(pairs)/float64(len(w.Members)), "fronts/database")
					b.ReportMetric(float64(most), "fronts/database-most")
					b.ReportMetric(float64(w.Probes()-probes)/long.Seconds()/float64(x.fronts), "probes/s/front")
					b.ReportMetric(float64(w.Probes()-probes)/long.Seconds()/float64(len(w.Members)), "probes/s/database")
				}
			})
		}
	}
}
