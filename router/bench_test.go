package router

import (
	"fmt"
	"testing"

	"dapplerouter/routing"
)

// What an instance's beat and its settling cost, by how many members the list has: a fleet may grow by sixteen times.
func BenchmarkAQuietSecondByMembers(b *testing.B) {
	for _, members := range []int{200, 3200} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			y := newHarness(nil, testDeployment())
			var list []routing.Endpoint
			for i := range members {
				list = append(list, routing.Endpoint{Server: i, Group: i / 5, Zone: i % 2, Primary: i%5 == 0})
			}
			y.EndpointsChanged(0, routing.CachedSnapshot, 1, list)
			for b.Loop() {
				for range 50 { // beats
					y.now += 20 * ms
					y.TimerFired(y.now)
					y.Reconcile(y.now)
				}
				for range 60 { // what comes in of 20 requests
					y.Reconcile(y.now)
				}
			}
		})
	}
}

// What the module takes for four requests of the ordinary path: their arrival, their attempt and their answer.
func BenchmarkFourRequestsOfTheOrdinaryPath(b *testing.B) {
	round := ordinaryPath()
	b.ReportAllocs()
	for b.Loop() {
		round()
	}
}
