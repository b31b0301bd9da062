package fleetsim

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dapplerouter/fleet"
	"dapplerouter/lab/capacity/fit"
)

// idleFleet is the size of a fleet that is measured while nothing happens in it.
type idleFleet struct {
	fronts, leases int
	configLease    time.Duration // the configuration lease that each front renews; 0 if no configuration versions are published
}

// String returns the name of the benchmark's run.
func (r idleFleet) String() string {
	return fmt.Sprintf("fronts=%d/leases=%d/config-lease=%v", r.fronts, r.leases, r.configLease)
}

// leasesFor returns n leases without a progress timeout: that of the endpoint list and n-1 probe leases.
func leasesFor(n int) map[string]time.Duration {
	all := map[string]time.Duration{fleet.EndpointListLease: 0}
	for g := 1; g < n; g++ {
		all[fleet.ProbeLease(int64(g))] = 0
	}
	return all
}

// threadCPU returns the processor time of the calling thread. The goroutine must be locked to the thread.
func threadCPU() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// cost is the average usage of a front in a second: messages, bytes, and milliseconds of processor time.
type cost struct{ messages, bytes, cpu float64 }

// run measures a fleet of this size, reports the metrics and adds them to series, from which the slopes are computed.
func (r idleFleet) run(b *testing.B, seed uint64, series fit.Series) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const seconds = 20
	sim := newMeasuredFleet(seed, r.fronts, leasesFor(r.leases))
	for _, h := range sim.Hosts {
		h.ConfigLease = r.configLease
	}
	sim.StartAll()
	sim.Run(30 * time.Second)
	sim.resetUsage()
	sim.Run(seconds * time.Second)
	if len(sim.Violations) > 0 {
		b.Fatal(sim.Violations)
	}
	leader := sim.Leader()
	var costs [3]cost // of the leader, of the other voters, and of the followers
	var count [3]float64
	for i, h := range sim.Hosts {
		role := 2
		switch {
		case h == leader:
			role = 0
		case i < 3:
			role = 1
		}
		count[role]++
		costs[role].messages += float64(h.MessagesSent) / seconds
		costs[role].bytes += float64(h.BytesSent) / seconds
		costs[role].cpu += h.CPU.Seconds() * 1e3 / seconds
	}
	report := func(value float64, unit string) {
		b.ReportMetric(value, unit)
		series.Add(fmt.Sprintf("%s by fronts, %d leases, config lease %v", unit, r.leases, r.configLease), float64(r.fronts), value)
		series.Add(fmt.Sprintf("%s by leases, %d fronts, config lease %v", unit, r.fronts, r.configLease), float64(r.leases), value)
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
	sim.queue = nil // messages in flight are not part of a front's memory
	all := heap()
	for _, h := range sim.Hosts {
		h.Events = nil // only the simulation keeps the events
	}
	report(float64(leader.Node.State().Index), "log-entries")
	report(all, "KiB/front")
	report(heap(), "core-KiB/front")
	runtime.KeepAlive(sim)
}

// BenchmarkIdleFleet measures the resource usage of a front of each role in an idle fleet, by the number of fronts and of leases:
// messages, bytes and processor time in a second of virtual time. Each run is one measurement with its own seed, so -benchtime 3x
// measures three times. The slopes are printed after the last size.
func BenchmarkIdleFleet(b *testing.B) {
	var all []idleFleet
	for _, fronts := range []int{10, 50, 150, 300, 540, 1080} {
		all = append(all, idleFleet{fronts, 2, 0}, idleFleet{fronts, 2, 12 * time.Second})
	}
	for _, leases := range []int{11, 71, 141, 218} { // one lease for each group of three databases, and that of the endpoint list
		for _, fronts := range []int{50, 150, 300, 540} {
			all = append(all, idleFleet{fronts, leases, 12 * time.Second})
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

// BenchmarkTimeWithoutLeaseholder measures how long a lease has no holder, in virtual time, after its holder has transferred it, has
// shut down, has crashed or has been paused.
func BenchmarkTimeWithoutLeaseholder(b *testing.B) {
	for name, inject := range map[string]func(sim *Simulation, h *Host){
		"transfer": func(sim *Simulation, h *Host) {
			h.WithNode(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, "list", "") })
		},
		"shutdown": func(sim *Simulation, h *Host) {
			h.WithNode(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
		},
		"crash": func(sim *Simulation, h *Host) { h.Crash() },
		"pause": func(sim *Simulation, h *Host) { h.Pause() },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				var gaps []time.Duration
				for seed := range uint64(100) {
					sim := New(Options{Seed: seed, Fronts: 9, Voters: 3, Timing: testTiming, Leases: twoLeases})
					sim.StartAll()
					sim.Run(12*time.Second + time.Duration(seed)*17*time.Millisecond)
					h := sim.Leaseholder("list")
					if h == nil {
						b.Fatal("no leaseholder, seed ", seed)
					}
					acquiredAt := time.Duration(-1)
					sim.OnEvent = func(o *Host, e fleet.Event) {
						if l, ok := e.(fleet.LeaseAcquired); ok && o != h && l.Lease == "list" && acquiredAt < 0 {
							acquiredAt = sim.Now
						}
					}
					injectedAt := sim.Now
					inject(sim, h)
					sim.Run(15 * time.Second)
					if acquiredAt < 0 || len(sim.Violations) > 0 {
						b.Fatal("seed ", seed, sim.Violations)
					}
					gaps = append(gaps, acquiredAt-injectedAt)
				}
				slices.Sort(gaps)
				b.ReportMetric(float64(gaps[len(gaps)/2].Microseconds())/1e3, "p50-ms")
				b.ReportMetric(float64(gaps[len(gaps)*99/100].Microseconds())/1e3, "p99-ms")
			}
		})
	}
}

// BenchmarkIdleFleetByLeases measures the time that the ticks of an idle fleet take, in microseconds for each second of virtual time.
// The absolute times depend on the machine. The benchmark shows how they grow with the number of leases.
func BenchmarkIdleFleetByLeases(b *testing.B) {
	for _, leases := range []int{2, 50, 217} {
		b.Run(fmt.Sprint(leases), func(b *testing.B) {
			for b.Loop() {
				sim := New(Options{Seed: 1, Fronts: 12, Voters: 3, Timing: testTiming, Leases: twoLeases})
				sim.OnStart = func(h *Host) {
					for i := range leases {
						h.Node.DeclareLease(fmt.Sprintf("scout/%d", 100+i), 0)
					}
				}
				sim.StartAll()
				sim.Run(20 * time.Second)
				if len(sim.Violations) > 0 {
					b.Fatal(sim.Violations)
				}
				leader, follower, holder := sim.Leader(), sim.Hosts[11], sim.Leaseholder("list")
				for _, x := range []struct {
					name string
					host *Host
				}{{"leader", leader}, {"holder", holder}, {"follower", follower}} {
					const ticks = 20000 // all at the same time, so that only the first tick finds work that is due
					now := x.host.Clock()
					start := time.Now()
					for range ticks {
						x.host.Node.Tick(now)
					}
					b.ReportMetric(float64(time.Since(start).Nanoseconds())/1e3/ticks*float64(time.Second/testTiming.TickInterval()), x.name+"-us/s")
				}
			}
		})
	}
}
