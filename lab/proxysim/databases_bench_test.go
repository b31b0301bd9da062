package proxysim

import (
	"fmt"
	"testing"
	"time"
)

// perPair is the statements a second that a front sends a database at the planned size: 490,000 over 540 x 650 pairs.
const perPair = 490_000.0 / (540 * 650)

// BenchmarkDatabases measures to how many databases a front is connected and to how many fronts a database, and how many probes are
// sent, with three servers to a group, one in each zone. A pair counts as connected if something was sent within the time after which
// an idle connection is closed (30 s). One run is one measurement: -benchtime 1x.
func BenchmarkDatabases(b *testing.B) {
	for _, x := range []struct{ fronts, databases int }{
		{12, 30}, {12, 90}, {12, 210}, {12, 420}, {12, 651},
		{24, 210}, {48, 210}, {96, 210},
	} {
		for _, withFleet := range []bool{false, true} {
			b.Run(fmt.Sprintf("fronts=%d/databases=%d/fleet=%v", x.fronts, x.databases, withFleet), func(b *testing.B) {
				for b.Loop() {
					cluster := New(Options{
						Seed:            1,
						Fronts:          x.fronts,
						Voters:          3,
						Fleet:           withFleet,
						LeaseDuration:   3 * time.Second,
						Servers:         ServerOptions{Groups: x.databases / 3, PerGroup: 3, Concurrency: 8, ServiceTime: 2 * time.Millisecond},
						Load:            LoadOptions{Rate: perPair * float64(x.databases), WriteFraction: 0.2},
						DiscardRequests: true,
						SparseChecks:    true,
					})
					cluster.StartAll()
					cluster.Run(warmUpTime)
					probes := cluster.Probes()
					for _, m := range cluster.Servers {
						m.Attempts = nil
					}
					const duration = 30 * time.Second
					cluster.Run(duration)
					if len(cluster.Violations) > 0 {
						b.Fatal(cluster.Violations)
					}
					pairs, most := 0, 0
					for _, m := range cluster.Servers {
						by := map[string]bool{}
						for _, s := range m.Attempts {
							by[s.Front] = true
						}
						pairs += len(by)
						most = max(most, len(by))
					}
					b.ReportMetric(float64(pairs)/float64(x.fronts), "databases/front")
					b.ReportMetric(float64(pairs)/float64(len(cluster.Servers)), "fronts/database")
					b.ReportMetric(float64(most), "fronts/database-most")
					b.ReportMetric(float64(cluster.Probes()-probes)/duration.Seconds()/float64(x.fronts), "probes/s/front")
					b.ReportMetric(float64(cluster.Probes()-probes)/duration.Seconds()/float64(len(cluster.Servers)), "probes/s/database")
				}
			})
		}
	}
}
