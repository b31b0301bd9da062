package main

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"dapplerouter/testsupport/fakeserver"
)

// BenchmarkCrowd measures the throughput of many clients, each with one request in flight, at one fake server without a concurrency limit.
// The latency objective is 250 ms. No request should be rejected, and more clients should not reduce the throughput. Run it with
// -benchtime 20000x, for example.
func BenchmarkCrowd(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, duration := range []time.Duration{0, 5 * time.Millisecond, 40 * time.Millisecond} {
		for _, clients := range []int{64, 200} {
			b.Run(fmt.Sprintf("%v/%d", duration, clients), func(b *testing.B) {
				g, err := fakeserver.Start(fakeserver.NewBookingData(20, 60, 500), 1, 1000, duration, 0)
				if err != nil {
					b.Fatal(err)
				}
				defer g.Close()
				address := startFront(b, g, "", setting{"Aim", 250 * time.Millisecond}, setting{"sockets", 1024})
				b.ResetTimer()
				failed := queryConcurrently(b, address, clients, func(n int64) string {
					return fmt.Sprintf("SELECT data FROM facts WHERE code = 'k%d' /* id=%d,c=browse,d=1000,cluster=0 */", n%100, n)
				})
				b.StopTimer()
				b.ReportMetric(float64(int64(b.N)-failed)/b.Elapsed().Seconds(), "request/s")
				b.ReportMetric(float64(failed), "refused")
			})
		}
	}
}
