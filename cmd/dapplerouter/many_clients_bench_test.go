package main

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"dapplerouter/testsupport/fakeserver"
)

// BenchmarkCrowd has many clients, each with one request at a time, before one fake server without a limit, with a latency objective of
// 250 ms: no request should be rejected, and more clients should never bring less throughput. -benchtime 20000x, say.
func BenchmarkCrowd(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, takes := range []time.Duration{0, 5 * time.Millisecond, 40 * time.Millisecond} {
		for _, clients := range []int{64, 200} {
			b.Run(fmt.Sprintf("%v/%d", takes, clients), func(b *testing.B) {
				g, err := fakeserver.Start(fakeserver.Restaurants(20, 60, 500), 1, 1000, takes, 0)
				if err != nil {
					b.Fatal(err)
				}
				defer g.Close()
				address := startFront(b, g, "", setting{"Aim", 250 * time.Millisecond}, setting{"sockets", 1024})
				b.ResetTimer()
				no := queryConcurrently(b, address, clients, func(n int64) string {
					return fmt.Sprintf("SELECT data FROM facts WHERE code = 'k%d' /* id=%d,c=browse,d=1000,cluster=0 */", n%100, n)
				})
				b.StopTimer()
				b.ReportMetric(float64(int64(b.N)-no)/b.Elapsed().Seconds(), "request/s")
				b.ReportMetric(float64(no), "refused")
			})
		}
	}
}
