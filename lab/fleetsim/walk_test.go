package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// TestEveryPairOfFaultsInASmallFleet walks all pairs of faults at all fronts and moments of a small case: three keepers and
// a follower, two duties. Each world must keep the invariants and come back.
func TestEveryPairOfFaultsInASmallFleet(t *testing.T) {
	type fault struct {
		name string
		do   func(w *World, h *Host)
	}
	others := func(w *World, h *Host, call func(o *Host)) {
		for _, o := range w.Hosts {
			if o != h {
				call(o)
			}
		}
	}
	kinds := []fault{
		{"crash", func(w *World, h *Host) { h.Crash(); w.After(2*time.Second, func() { start(h) }) }},
		{"stop", func(w *World, h *Host) { h.Stop(); w.After(4500*time.Millisecond, h.Continue) }},
		{"mute", func(w *World, h *Host) {
			others(w, h, func(o *Host) { w.Cut(h.Name, o.Name) })
			w.After(4*time.Second, w.Heal)
		}},
		{"deaf", func(w *World, h *Host) {
			others(w, h, func(o *Host) { w.Cut(o.Name, h.Name) })
			w.After(4*time.Second, w.Heal)
		}},
		{"leave", func(w *World, h *Host) {
			h.Do(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
			w.After(300*time.Millisecond, func() { h.Crash(); start(h) })
		}},
		{"hand", func(w *World, h *Host) {
			h.Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
		}},
	}
	moments := []time.Duration{0, 700 * time.Millisecond, 3400 * time.Millisecond}
	type at struct {
		f    fault
		host int
		when time.Duration
	}
	var all []at
	for _, f := range kinds {
		for host := range 4 {
			for _, when := range moments {
				all = append(all, at{f, host, when})
			}
		}
	}
	step := 1
	if raceOn || testing.Short() {
		step = 37
	}
	const parts = 6
	for part := range parts {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for i := part; i < len(all); i += parts {
				for j := i; j < len(all); j += step {
					w := New(uint64(i*1000+j), 4, 3, fleet.Timing{LeaseDuration: 3 * time.Second}, two)
					w.StartAll()
					w.Run(5 * time.Second)
					for _, x := range []at{all[i], all[j]} {
						w.After(x.when, func() { x.f.do(w, w.Hosts[x.host]) })
					}
					w.Run(10 * time.Second)
					w.Heal()
					for _, h := range w.Hosts {
						h.Continue()
						start(h)
					}
					w.Run(14 * time.Second)
					w.rested(two)
					require.Empty(t, w.Wrong, "%s of %d at %v, %s of %d at %v", all[i].f.name, all[i].host, all[i].when, all[j].f.name, all[j].host, all[j].when)
				}
			}
		})
	}
}

func start(h *Host) {
	if h.Node == nil {
		h.Start()
	}
}
