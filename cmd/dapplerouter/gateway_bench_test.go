package main

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dapplerouter/testsupport/fakeserver"
	"dapplerouter/testsupport/faultproxy"
)

// quantile returns a quantile of the durations in milliseconds. It sorts them.
func quantile(all []time.Duration, q float64) float64 {
	slices.Sort(all)
	return float64(all[min(len(all)-1, int(q*float64(len(all))))]) / float64(time.Millisecond)
}

// BenchmarkForwardedRequest measures the latency of requests that are forwarded over the gateway's link. The baseline is a new connection
// to the remote front for each request. Both go through a fault proxy, without a delay and with one of 5 ms each way. 16 clients have one
// request in flight each.
func BenchmarkForwardedRequest(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, way := range []string{"link", "connection-a-request"} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
			b.Run(fmt.Sprintf("%s/%v", way, delay), func(b *testing.B) {
				s := startSites(b, [2]string{})
				s.remoteGroup.MinDuration = 0
				direct, err := faultproxy.New(s.remote.address, 3)
				if err != nil {
					b.Fatal(err)
				}
				defer direct.Close()
				proxy := s.proxy
				if way != "link" {
					proxy = direct
				}
				proxy.SetConditions(faultproxy.ToTarget, faultproxy.Conditions{Delay: delay})
				proxy.SetConditions(faultproxy.FromTarget, faultproxy.Conditions{Delay: delay})
				time.Sleep(50 * time.Millisecond)
				var n, failed atomic.Int64
				var mu sync.Mutex
				var latencies []time.Duration
				var all sync.WaitGroup
				before, beforeCPU := proxy.BytesRead, cpuTimeOfTest()
				b.ResetTimer()
				for range 16 {
					all.Go(func() {
						c, _ := fakeserver.Dial(s.local.address)
						defer c.Close()
						var own []time.Duration
						for k := n.Add(1); k <= int64(b.N); k = n.Add(1) {
							sql := fmt.Sprintf("SELECT 'x' /* id=b%d,c=browse,d=3000,cluster=1 */", k)
							start := time.Now()
							if way != "link" {
								var err error
								if c, err = fakeserver.Dial(direct.Address()); err != nil {
									failed.Add(1)
									continue
								}
							}
							a, err := c.Query(sql)
							if way != "link" {
								c.Close()
							}
							if err != nil || a.Code != "" {
								failed.Add(1)
								continue
							}
							own = append(own, time.Since(start))
						}
						mu.Lock()
						latencies = append(latencies, own...)
						mu.Unlock()
					})
				}
				all.Wait()
				b.StopTimer()
				if len(latencies) == 0 {
					b.Fatal("no request was served")
				}
				b.ReportMetric(quantile(latencies, 0.5), "p50-ms")
				b.ReportMetric(quantile(latencies, 0.99), "p99-ms")
				b.ReportMetric(float64(len(latencies))/b.Elapsed().Seconds(), "request/s")
				b.ReportMetric(float64(proxy.BytesRead[0]+proxy.BytesRead[1]-before[0]-before[1])/float64(b.N), "bytes/request")
				b.ReportMetric(float64(cpuTimeOfTest()-beforeCPU)/float64(b.N)/1e3, "cpu-us/request")
				b.ReportMetric(float64(failed.Load()), "not-served")
			})
		}
	}
}

// BenchmarkLinkRecovery stalls the link for 10 s under load. It measures the heap during the stall, and the time from its end until nine in
// ten requests are served again. Run it with -benchtime 1x.
func BenchmarkLinkRecovery(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for b.Loop() {
		s := startSites(b, [2]string{})
		s.remoteGroup.MinDuration = 0
		stop := make(chan struct{})
		var all sync.WaitGroup
		var mu sync.Mutex
		type response struct {
			at time.Time
			ok bool
		}
		var responses []response
		var n atomic.Int64
		for range 16 {
			all.Go(func() {
				c, _ := fakeserver.Dial(s.local.address)
				defer c.Close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(2 * time.Millisecond):
					}
					a, err := c.Query(keyedInsert(fmt.Sprintf("z%d", n.Add(1)), 1))
					mu.Lock()
					responses = append(responses, response{time.Now(), err == nil && a.Code == ""})
					mu.Unlock()
				}
			})
		}
		time.Sleep(time.Second)
		heapMiB := func() float64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return float64(m.HeapAlloc) / (1 << 20)
		}
		before := heapMiB()
		s.proxy.SetConditions(faultproxy.ToTarget, faultproxy.Conditions{Stall: true})
		time.Sleep(5 * time.Second)
		at5s := heapMiB()
		time.Sleep(5 * time.Second)
		at10s := heapMiB()
		s.proxy.SetConditions(faultproxy.ToTarget, faultproxy.Conditions{})
		stallEnd := time.Now()
		time.Sleep(3 * time.Second)
		close(stop)
		all.Wait()
		// Find the first window of 100 ms in which nine in ten requests are served.
		recoveryMillis := -1.0
		for w := 0; w < 29 && recoveryMillis < 0; w++ {
			from := stallEnd.Add(time.Duration(w) * 100 * time.Millisecond)
			served, failed := 0, 0
			for _, a := range responses {
				if a.at.After(from) && a.at.Before(from.Add(100*time.Millisecond)) {
					if a.ok {
						served++
					} else {
						failed++
					}
				}
			}
			if served > 9*failed {
				recoveryMillis = float64(w+1) * 100
			}
		}
		b.ReportMetric(recoveryMillis, "ms-to-90%")
		b.ReportMetric(before, "MiB-calm")
		b.ReportMetric(at5s, "MiB-5s")
		b.ReportMetric(at10s, "MiB-10s")
	}
}
