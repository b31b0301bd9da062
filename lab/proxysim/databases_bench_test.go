package proxysim

import (
	"fmt"
	"testing"
	"time"
)

// statementsPerPair is the number of statements per second that one front sends to one database at the planned size: 490,000 statements
// over 540 fronts x 650 databases.
const statementsPerPair = 490_000.0 / (540 * 650)

// BenchmarkDatabases measures how many databases a front is connected to, how many fronts a database is connected to, and how many
// probes are sent. Each group has three servers, one in each zone. A front and a database count as connected if the front sent the
// database something within the time after which an idle connection is closed (30 s). Run it with -benchtime 1x: one run is one
// measurement.
func BenchmarkDatabases(b *testing.B) {
	for _, size := range []struct{ fronts, databases int }{
		{12, 30}, {12, 90}, {12, 210}, {12, 420}, {12, 651},
		{24, 210}, {48, 210}, {96, 210},
	} {
		for _, withFleet := range []bool{false, true} {
			b.Run(fmt.Sprintf("fronts=%d/databases=%d/fleet=%v", size.fronts, size.databases, withFleet), func(b *testing.B) {
				for b.Loop() {
					cluster := New(Options{
						Seed:            1,
						Fronts:          size.fronts,
						Voters:          3,
						Fleet:           withFleet,
						LeaseDuration:   3 * time.Second,
						Servers:         ServerOptions{Groups: size.databases / 3, PerGroup: 3, Concurrency: 8, ServiceTime: 2 * time.Millisecond},
						Load:            LoadOptions{Rate: statementsPerPair * float64(size.databases), WriteFraction: 0.2},
						DiscardRequests: true,
						SparseChecks:    true,
					})
					cluster.StartAll()
					cluster.Run(warmUpTime)
					probes := cluster.Probes()
					for _, server := range cluster.Servers {
						server.Attempts = nil
					}
					const duration = 30 * time.Second
					cluster.Run(duration)
					if len(cluster.Violations) > 0 {
						b.Fatal(cluster.Violations)
					}
					pairs, maxFronts := 0, 0
					for _, server := range cluster.Servers {
						fronts := map[string]bool{}
						for _, attempt := range server.Attempts {
							fronts[attempt.Front] = true
						}
						pairs += len(fronts)
						maxFronts = max(maxFronts, len(fronts))
					}
					b.ReportMetric(float64(pairs)/float64(size.fronts), "databases/front")
					b.ReportMetric(float64(pairs)/float64(len(cluster.Servers)), "fronts/database")
					b.ReportMetric(float64(maxFronts), "fronts/database-most")
					b.ReportMetric(float64(cluster.Probes()-probes)/duration.Seconds()/float64(size.fronts), "probes/s/front")
					b.ReportMetric(float64(cluster.Probes()-probes)/duration.Seconds()/float64(len(cluster.Servers)), "probes/s/database")
				}
			})
		}
	}
}
