package main

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"dapplerouter/testsupport/fakeserver"
)

// BenchmarkCrowd has clients that ask again once answered before one stand-in member without a limit, a target latency of 250 ms:
// nobody should be refused, and more clients should never bring less service. -benchtime 20000x, say.
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
				address := startFront(b, g, "", `"Aim": 2000000000`, `"Aim": 250000000`, `"sockets": 256`, `"sockets": 1024`)
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
