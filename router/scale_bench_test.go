package router

import (
	"fmt"
	"testing"
	"time"

	"dapplerouter/port"
)

// What an instance's beat and its settling cost, by how many members the list has: a fleet may grow by sixteen times.
func BenchmarkAQuietSecondByMembers(b *testing.B) {
	for _, members := range []int{200, 3200} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			y := tell(nil, littleSite())
			var list []port.Entry
			for i := range members {
				list = append(list, port.Entry{Member: i, Group: i / 5, Zone: i % 2, Primary: i%5 == 0})
			}
			y.List(0, port.Cached, 1, list)
			for b.Loop() {
				for range 50 { // beats
					y.now += 20 * ms
					y.Woken(y.now)
					y.Reconcile(y.now)
				}
				for range 60 { // what comes in of 20 requests
					y.Reconcile(y.now)
				}
			}
		})
	}
}

// What the module takes for a request of the ordinary path: its arrival, its attempt and its answer.
func BenchmarkARequestOfTheOrdinaryPath(b *testing.B) {
	q := quiet{}
	p := littleSite()
	r := New(&q, 7, p.at, p.types, nil, p.copies, p.rules, p.allowed, port.Tariff{})
	var entries []port.Entry
	for i := range 4 {
		entries = append(entries, port.Entry{Member: i, Primary: i == 0})
	}
	r.List(0, port.Cached, 1, entries)
	now, turn := time.Duration(0), uint32(0)
	b.ReportAllocs()
	for b.Loop() {
		for _, ty := range []int{write, session, anyRead, bounded} {
			now, turn = now+5*ms, turn+1
			ref := port.Ref{Place: turn % 8, Turn: turn}
			r.Begin(now, port.Request{Ref: ref, Type: ty, Customer: port.None, Session: uint64(turn), Budget: time.Second})
			r.Reconcile(now)
			r.Ended(now, port.Outcome{Ref: ref, Member: q.to, Ending: port.Succeeded, Closed: true, Latency: 20 * ms,
				Role: port.Replica, Position: now, HasPosition: true})
			r.Reconcile(now)
		}
	}
}
