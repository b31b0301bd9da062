package router

import (
	"fmt"
	"testing"

	"dapplerouter/routing"
)

// BenchmarkQuietSecond measures ticks and Reconcile without requests, by the number of servers.
func BenchmarkQuietSecond(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			h := newHarness(testDeployment())
			var list []routing.Endpoint
			for i := range servers {
				list = append(list, routing.Endpoint{Server: i, Group: i / 5, Zone: i % 2, Primary: i%5 == 0})
			}
			h.EndpointsChanged(0, routing.CachedSnapshot, 1, list)
			for b.Loop() {
				for range 50 { // ticks
					h.now += 20 * ms
					h.TimerFired(h.now)
					h.Reconcile(h.now)
				}
				for range 60 { // as many calls as 20 requests cause
					h.Reconcile(h.now)
				}
			}
		})
	}
}

// BenchmarkOrdinaryPathFourRequests measures the receipt, attempt and answer of four requests on the ordinary path.
func BenchmarkOrdinaryPathFourRequests(b *testing.B) {
	round := ordinaryPath()
	b.ReportAllocs()
	for b.Loop() {
		round()
	}
}
