package fleetsim

import (
	"fmt"
	"time"

	"dapplerouter/fleet"
)

// Faults are what a rough run may bring; a test takes some out to see what the others do.
type Faults struct {
	Stops, Crashes, Cuts, Spikes, Paces, Hands, Acts, Disks bool
}

const calm = 300 * time.Microsecond // of jitter, where nothing is wrong

// All of them.
var All = Faults{true, true, true, true, true, true, true, true}

// Rough plays a fleet under faults drawn from a seed, lets it rest, and says what was wrong: with an invariant on the way,
// or that the fleet did not come back to one giver, all duties held and one record at the end.
func Rough(seed uint64, fronts, voters int, f Faults, rough time.Duration, trace func(string)) (*World, []string) {
	leases := map[string]time.Duration{"list": 6 * time.Second, "scout/1": 0, "scout/2": 0}
	w := New(seed, fronts, voters, fleet.Timing{LeaseDuration: 3 * time.Second}, leases)
	w.Trace = trace
	if f.Paces {
		for _, h := range w.Hosts {
			h.Pace = 0.9 + 0.2*w.Rnd.Float64()
		}
	}
	w.StartAll()
	end := w.Now + rough
	var work func()
	work = func() { // holders act now and then
		for _, h := range w.Hosts {
			if h.Node == nil || !f.Acts {
				continue
			}
			for _, d := range []string{"list", "scout/1", "scout/2"} {
				h.Do(func(n *fleet.Node, now time.Duration) {
					if term, ok := n.HoldsLease(now, d); ok && w.Rnd.IntN(20) > 0 { // some get nothing done for a while
						n.ReportProgress(d)
						n.Broadcast(now, d, fmt.Appendf(nil, "%s/%d", d, term))
						if f.Stops && w.Rnd.IntN(30) == 0 && !h.stopped && w.Now < end { // stopped between its check and its act
							w.LateAct(h, d, term, 4*time.Second+time.Duration(w.Rnd.Int64N(int64(4*time.Second))))
						}
					}
				})
			}
		}
		w.After(300*time.Millisecond, work)
	}
	w.After(time.Second, work)
	any := func() *Host { return w.Hosts[w.Rnd.IntN(len(w.Hosts))] }
	down := func() (n int) { // keepers that are away: a majority may well be lost, for a while
		for _, h := range w.Hosts {
			if h.Disk != nil && (h.Node == nil || h.stopped) {
				n++
			}
		}
		return n
	}
	var next func()
	next = func() {
		if w.Now >= end {
			return
		}
		w.After(time.Duration(50+w.Rnd.Int64N(1500))*time.Millisecond, next)
		h := any()
		long := time.Duration(20+w.Rnd.Int64N(6000)) * time.Millisecond
		switch k := w.Rnd.IntN(8); {
		case k == 0 && f.Stops && h.Node != nil && !h.stopped:
			h.Stop()
			w.After(long, h.Continue)
		case k == 1 && f.Crashes && h.Node != nil:
			h.Crash()
			w.After(long/4, func() {
				if h.Node == nil {
					h.Start()
				}
			})
		case k == 2 && f.Cuts:
			o := any()
			if o != h {
				w.Cut(h.Name, o.Name)
				if w.Rnd.IntN(2) == 0 {
					w.Cut(o.Name, h.Name)
				}
				w.After(long, w.Heal)
			}
		case k == 3 && f.Cuts: // hears and is not heard, or the reverse, or neither
			way := w.Rnd.IntN(3)
			for _, o := range w.Hosts {
				if o != h && way != 1 {
					w.Cut(h.Name, o.Name)
				}
				if o != h && way != 0 {
					w.Cut(o.Name, h.Name)
				}
			}
			w.After(long, w.Heal)
		case k == 4 && f.Spikes:
			w.Jitter = time.Duration(1 + w.Rnd.Int64N(int64(time.Second)))
			w.After(long/2, func() { w.Jitter = calm })
		case k == 5 && f.Hands && h.Node != nil:
			d := []string{"list", "scout/1", "scout/2"}[w.Rnd.IntN(3)]
			h.Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, d, "") })
		case k == 6 && f.Crashes && h.Node != nil && !h.stopped: // a planned end
			h.Do(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
			w.After(200*time.Millisecond, func() {
				h.Crash()
				w.After(long/4, func() {
					if h.Node == nil {
						h.Start()
					}
				})
			})
		case k == 7 && f.Disks && h.Disk != nil && h.Node != nil && down() == 0 && w.Rnd.IntN(3) == 0: // full for a while
			h.Disk.Full = true
			w.After(long, func() {
				h.Disk.Full = false
				h.Crash()
				h.Start()
			})
		}
	}
	next()
	w.Run(rough)
	w.Heal()
	w.Jitter = calm
	for _, h := range w.Hosts {
		h.Continue()
		if h.Disk != nil {
			h.Disk.Full = false
			if h.Node != nil && h.Node.VoterHaltReason() != "" {
				h.Crash()
			}
		}
		if h.Node == nil {
			h.Start()
		}
	}
	w.Run(25 * time.Second)
	if len(w.Wrong) > 0 {
		return w, w.Wrong
	}
	w.rested(leases)
	return w, w.Wrong
}

// rested says what a fleet that was left alone should have come to.
func (w *World) rested(leases map[string]time.Duration) {
	if w.Leader() == nil {
		w.wrong("no keeper gives")
		return
	}
	for d := range leases {
		if w.Holder(d) == nil {
			w.wrong("nobody holds %s", d)
		}
	}
	at := w.Leader().Node.State().Index
	for _, h := range w.Hosts {
		if h.Node == nil {
			continue
		}
		if h.Node.Isolated() {
			w.wrong("%s is alone", h.Name)
		}
		if got := h.Node.State().Index; got+3 < at {
			w.wrong("%s stands at %d of the record, the giver at %d", h.Name, got, at)
		}
	}
}
