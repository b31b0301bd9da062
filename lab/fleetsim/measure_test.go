package fleetsim

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"

	"dapplerouter/fleet"
	"dapplerouter/lab/capacity/fit"
)

// rest is a fleet at rest: what it costs follows from these numbers.
type rest struct {
	fronts, leases int
	right          time.Duration // versions are published: each front asks for a right to act; 0 for none
}

func (r rest) String() string {
	return fmt.Sprintf("fronts=%d/duties=%d/right=%v", r.fronts, r.leases, r.right)
}

// dutiesOf are so many: that of the list, and of scouts.
func dutiesOf(n int) map[string]time.Duration {
	all := map[string]time.Duration{fleet.EndpointListLease: 0}
	for g := 1; g < n; g++ {
		all[fleet.ProbeLease(int64(g))] = 0
	}
	return all
}

// threadCPU is the processor time of the calling thread, which has to be locked to its goroutine.
func threadCPU() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// cost is what a second at rest takes of each front of a role, on average.
type cost struct{ messages, bytes, cpu float64 }

func (r rest) run(b *testing.B, seed uint64, series fit.Series) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const long = 20
	w := New(seed, r.fronts, 3, pace, dutiesOf(r.leases))
	for _, h := range w.Hosts {
		h.Right = r.right
	}
	w.Weigh = func(m *fleet.Message) int {
		data, _ := msgpack.Marshal(m)
		return len(data) + 8
	}
	w.Meter = threadCPU
	w.StartAll()
	w.Run(30 * time.Second)
	for _, h := range w.Hosts {
		h.Sent, h.Bytes, h.CPU = 0, 0, 0
	}
	w.Run(long * time.Second)
	if len(w.Wrong) > 0 {
		b.Fatal(w.Wrong)
	}
	leader := w.Leader()
	var costs [3]cost // leader, voters that follow it, followers
	var count [3]float64
	for i, h := range w.Hosts {
		k := 2
		switch {
		case h == leader:
			k = 0
		case i < 3:
			k = 1
		}
		count[k]++
		costs[k].messages += float64(h.Sent) / long
		costs[k].bytes += float64(h.Bytes) / long
		costs[k].cpu += h.CPU.Seconds() * 1e3 / long
	}
	report := func(value float64, unit string) {
		b.ReportMetric(value, unit)
		series.Add(fmt.Sprintf("%s by fronts, %d duties, right %v", unit, r.leases, r.right), float64(r.fronts), value)
		series.Add(fmt.Sprintf("%s by duties, %d fronts, right %v", unit, r.fronts, r.right), float64(r.leases), value)
	}
	for k, role := range []string{"leader", "voter", "follower"} {
		n := max(count[k], 1)
		report(costs[k].messages/n, role+"-msg/s")
		report(costs[k].bytes/n, role+"-B/s")
		report(costs[k].cpu/n, role+"-cpu-ms/s")
	}
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / float64(r.fronts) / 1024
	}
	w.queue = nil // what is on its way is the links', not the fronts'
	all := heap()
	for _, h := range w.Hosts {
		h.Events = nil // which only the simulator keeps
	}
	report(float64(leader.Node.State().Index), "log-entries")
	report(all, "KiB/front")
	report(heap(), "core-KiB/front")
	runtime.KeepAlive(w)
}

// BenchmarkRest tells what a fleet at rest costs a front of each role: messages, bytes and processor time a second, in virtual
// time, by the number of fronts and of duties. One run is one measurement, with a seed of its own: -benchtime 3x measures three
// times. Behind the last size the slopes are printed.
func BenchmarkRest(b *testing.B) {
	var all []rest
	for _, fronts := range []int{10, 50, 150, 300, 540, 1080} {
		all = append(all, rest{fronts, 2, 0}, rest{fronts, 2, 12 * time.Second})
	}
	for _, leases := range []int{11, 71, 141, 218} { // one a group of three databases, and the list's
		for _, fronts := range []int{50, 150, 300, 540} {
			all = append(all, rest{fronts, leases, 12 * time.Second})
		}
	}
	series := fit.Series{}
	for _, r := range all {
		b.Run(r.String(), func(b *testing.B) {
			seed := uint64(0)
			for b.Loop() {
				seed++
				r.run(b, seed, series)
			}
		})
	}
	for _, line := range series.Lines() {
		if !strings.HasSuffix(line, fit.ErrTooFew.Error()) {
			fmt.Println(line)
		}
	}
}

// BenchmarkWithoutAHolder tells how long nobody holds a duty after a hand-over, a crash and a stall, in virtual time.
func BenchmarkWithoutAHolder(b *testing.B) {
	for name, lose := range map[string]func(w *World, h *Host){
		"hand": func(w *World, h *Host) {
			h.Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
		},
		"leave": func(w *World, h *Host) {
			h.Do(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
		},
		"crash": func(w *World, h *Host) { h.Crash() },
		"stall": func(w *World, h *Host) { h.Stop() },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				var gaps []time.Duration
				for seed := range uint64(100) {
					w := New(seed, 9, 3, pace, two)
					w.StartAll()
					w.Run(12*time.Second + time.Duration(seed)*17*time.Millisecond)
					h := w.Holder("list")
					if h == nil {
						b.Fatal("nobody holds it, seed ", seed)
					}
					held := time.Duration(-1)
					w.Watch = func(o *Host, e fleet.Event) {
						if l, ok := e.(fleet.LeaseAcquired); ok && o != h && l.Lease == "list" && held < 0 {
							held = w.Now
						}
					}
					at := w.Now
					lose(w, h)
					w.Run(15 * time.Second)
					if held < 0 || len(w.Wrong) > 0 {
						b.Fatal("seed ", seed, w.Wrong)
					}
					gaps = append(gaps, held-at)
				}
				slices.Sort(gaps)
				b.ReportMetric(float64(gaps[len(gaps)/2].Microseconds())/1e3, "p50-ms")
				b.ReportMetric(float64(gaps[len(gaps)*99/100].Microseconds())/1e3, "p99-ms")
			}
		})
	}
}

// BenchmarkRestWithLeases tells what leases cost a fleet in which nothing happens: the processor time of the fronts' own ticks, in
// microseconds a second of virtual time. Times go with the machine; their growth with leases is what counts.
func BenchmarkRestWithLeases(b *testing.B) {
	for _, leases := range []int{2, 50, 217} {
		b.Run(fmt.Sprint(leases), func(b *testing.B) {
			for b.Loop() {
				w := New(1, 12, 3, pace, two)
				w.Born = func(h *Host) {
					for i := range leases {
						h.Node.DeclareLease(fmt.Sprintf("scout/%d", 100+i), 0)
					}
				}
				w.StartAll()
				w.Run(20 * time.Second)
				if len(w.Wrong) > 0 {
					b.Fatal(w.Wrong)
				}
				leader, follower, holder := w.Leader(), w.Hosts[11], w.Holder("list")
				for _, x := range []struct {
					name string
					host *Host
				}{{"leader", leader}, {"holder", holder}, {"follower", follower}} {
					const ticks = 20000 // at one moment: none is late, and nothing is due but the first time
					now := x.host.Clock()
					start := time.Now()
					for range ticks {
						x.host.Node.Tick(now)
					}
					b.ReportMetric(float64(time.Since(start).Nanoseconds())/1e3/ticks*float64(time.Second/pace.TickInterval()), x.name+"-us/s")
				}
			}
		})
	}
}
