package fleetsim

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// zoneCount is the number of zones of a fleet in BenchmarkFailures; the first half is one region, the rest the other.
const zoneCount = 8

// failure is one that docs/CAPACITY.md plans for, and how it is measured.
type failure struct {
	name        string
	inject      func(sim *Simulation)        // when the measurement starts
	repair      func(sim *Simulation)        // nil where nothing is repaired
	repairAfter time.Duration                // from the start of the measurement
	duration    time.Duration                // of the measurement
	everySecond func(sim *Simulation, n int) // nil for nothing
}

var failures = []failure{
	{name: "nothing", duration: time.Minute},
	{name: "machine", inject: func(sim *Simulation) { sim.Hosts[len(sim.Hosts)-1].Crash() }, repair: (*Simulation).StartAll, repairAfter: 20 * time.Second, duration: time.Minute},
	{name: "zone", inject: func(sim *Simulation) { crashZone(sim, sim.zoneWithoutVoter()) }, repair: (*Simulation).StartAll, repairAfter: 20 * time.Second, duration: time.Minute},
	{name: "zone-of-the-leader", inject: func(sim *Simulation) { crashZone(sim, sim.Leader().Zone) }, repair: (*Simulation).StartAll, repairAfter: 20 * time.Second, duration: time.Minute},
	{name: "rack", inject: crashRack, repair: (*Simulation).StartAll, repairAfter: 20 * time.Second, duration: time.Minute},
	{name: "regions", inject: partitionRegions, repair: (*Simulation).Heal, repairAfter: 5 * time.Minute, duration: 6 * time.Minute},
	{name: "replaced-410-an-hour", everySecond: replaceFollower, duration: 2 * time.Minute},
}

func crashZone(sim *Simulation, zone string) {
	for _, h := range sim.Hosts {
		if h.Zone == zone {
			h.Crash()
		}
	}
}

// zoneWithoutVoter returns the last zone: the voters are in others.
func (sim *Simulation) zoneWithoutVoter() string { return zoneName(zoneCount - 1) }

func zoneName(i int) string { return fmt.Sprint("z", i%zoneCount) }

// crashRack crashes twelve hosts, or a tenth of a small fleet: a voter that is not the leader, the holder of the endpoint list's lease,
// and followers.
func crashRack(sim *Simulation) {
	leader, holder := sim.Leader(), sim.Leaseholder(fleet.EndpointListLease)
	left := min(12, max(2, len(sim.Hosts)/10))
	lose := func(h *Host) {
		if h != nil && h.Up() && left > 0 {
			h.Crash()
			left--
		}
	}
	for i := range sim.initialVoters {
		if h := sim.Hosts[i]; h != leader {
			lose(h)
			break
		}
	}
	if holder != leader {
		lose(holder)
	}
	for i := len(sim.Hosts) - 1; i >= len(sim.initialVoters); i-- {
		lose(sim.Hosts[i])
	}
}

func partitionRegions(sim *Simulation) {
	second := func(h *Host) bool { return h.Zone >= zoneName(zoneCount/2) }
	for _, a := range sim.Hosts {
		for _, b := range sim.Hosts {
			if second(a) != second(b) {
				sim.Cut(a.Name, b.Name)
			}
		}
	}
}

// replaceFollower shuts a follower down gracefully each 9 s and restarts it 2 s later: 400 in an hour.
func replaceFollower(sim *Simulation, second int) {
	if second%9 != 0 {
		return
	}
	h := sim.Hosts[len(sim.initialVoters)+second/9]
	h.Do(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
	sim.After(time.Second, h.Crash)
	sim.After(3*time.Second, h.Start)
}

// roles are the two that a failure is measured at, as indexes of usage.
var roles = [2]string{"voter", "follower"}

// usage is what the hosts of one role used.
type usage struct {
	hosts          int
	worst          HostUsage // the greatest of each, of a host in a second
	bytes          int64     // in total
	cpu            time.Duration
	secondsPerHost float64
}

func (u *usage) add(h HostUsage) {
	u.worst = HostUsage{BytesSent: max(u.worst.BytesSent, h.BytesSent), MessagesSent: max(u.worst.MessagesSent, h.MessagesSent), CPU: max(u.worst.CPU, h.CPU)}
	u.bytes += h.BytesSent
	u.cpu += h.CPU
}

func (u *usage) report(b *testing.B, role string) {
	b.ReportMetric(float64(u.worst.BytesSent), role+"-worst-B/s")
	b.ReportMetric(float64(u.worst.MessagesSent), role+"-worst-msg/s")
	b.ReportMetric(u.worst.CPU.Seconds()*1e3, role+"-worst-cpu-ms/s")
	b.ReportMetric(float64(u.bytes)/float64(u.hosts)/u.secondsPerHost, role+"-B/s")
	b.ReportMetric(u.cpu.Seconds()*1e3/float64(u.hosts)/u.secondsPerHost, role+"-cpu-ms/s")
}

// newMeasuredFleet returns a fleet of three voters whose messages and processor time are measured. The goroutine has to be locked to its
// thread.
func newMeasuredFleet(seed uint64, fronts int, leases map[string]time.Duration) *Simulation {
	sim := New(Options{Seed: seed, Fronts: fronts, Voters: 3, Timing: testTiming, Leases: leases})
	sim.MessageSize = func(m *fleet.Message) int {
		data, _ := msgpack.Marshal(m) // a message that does not encode fails in package fleet
		return len(data) + 8
	}
	sim.CPUClock = threadCPU
	return sim
}

func (sim *Simulation) resetUsage() {
	for _, h := range sim.Hosts {
		h.HostUsage = HostUsage{}
	}
}

// failureRun is the measurement of one failure.
type failureRun struct {
	failure
	*Simulation
	began             time.Duration
	unheld, recovered time.Duration // leases without a holder, summed; from the repair until allFrontsCurrent, 0 for never
	usage             [len(roles)]usage
}

func (f failure) run(b *testing.B, fronts int) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	sim := newMeasuredFleet(1, fronts, leasesFor(11))
	for i, h := range sim.Hosts {
		h.ConfigLease, h.Zone = 12*time.Second, zoneName(i)
	}
	sim.Hosts[2].Zone = zoneName(zoneCount / 2) // two voters in one region, the third in the other
	sim.StartAll()
	sim.Run(20 * time.Second)
	index := sim.Leader().Node.State().Index
	if f.inject != nil {
		f.inject(sim)
	}
	r := &failureRun{failure: f, Simulation: sim, began: sim.Now}
	for n := 0; sim.Now < r.began+f.duration; n++ {
		r.second(n)
	}
	if len(sim.Violations) > 0 {
		b.Fatal(sim.Violations)
	}
	voters := len(sim.initialVoters)
	r.usage[0].hosts, r.usage[1].hosts = voters, fronts-voters
	for i := range r.usage {
		r.usage[i].secondsPerHost = f.duration.Seconds()
		r.usage[i].report(b, roles[i])
	}
	b.ReportMetric(r.unheld.Seconds(), "s-leases-unheld")
	b.ReportMetric(r.recovered.Seconds(), "s-whole-again")
	if leader := sim.Leader(); leader != nil {
		b.ReportMetric(float64(leader.Node.State().Index-index), "log-entries")
	}
}

// second runs the nth second of the measurement.
func (r *failureRun) second(n int) {
	if r.everySecond != nil {
		r.everySecond(r.Simulation, n)
	}
	if r.repair != nil && r.Now-r.began == r.repairAfter {
		r.repair(r.Simulation)
	}
	r.resetUsage()
	const parts = 10
	for range parts {
		r.Run(time.Second / parts)
		for lease := range r.leases {
			if r.Leaseholder(lease) == nil {
				r.unheld += time.Second / parts
			}
		}
		if r.repair != nil && r.Now > r.began+r.repairAfter && r.recovered == 0 && r.allFrontsCurrent() {
			r.recovered = r.Now - r.began - r.repairAfter
		}
	}
	for i, h := range r.Hosts {
		role := 1
		if i < len(r.initialVoters) {
			role = 0
		}
		r.usage[role].add(h.HostUsage)
	}
}

// allFrontsCurrent reports whether all fronts are connected to the fleet and have the leader's state, with their present
// incarnations in it.
func (sim *Simulation) allFrontsCurrent() bool {
	g := sim.Leader()
	if g == nil || len(g.Node.State().Fronts) != len(sim.Hosts) {
		return false
	}
	for _, h := range sim.Hosts {
		f := g.Node.State().Fronts[h.Name]
		if h.Node == nil || h.Node.Isolated() || f == nil || f.Incarnation != h.Node.Incarnation() || h.Node.State().Index != g.Node.State().Index {
			return false
		}
	}
	return true
}

// sizes returns the numbers of fronts that a capacity benchmark runs at: CAPACITY_FRONTS="150,300", or the defaults.
func sizes(defaults ...int) (all []int) {
	for _, word := range strings.FieldsFunc(os.Getenv("CAPACITY_FRONTS"), func(r rune) bool { return r == ',' }) {
		n, err := strconv.Atoi(word)
		if err != nil || n < 1 {
			panic("CAPACITY_FRONTS: want numbers of fronts separated by commas, got " + word)
		}
		all = append(all, n)
	}
	if len(all) == 0 {
		return defaults
	}
	return all
}

// BenchmarkFailures measures what each failure costs in its worst second and on average, at a voter and a follower, and how long
// leases had no holder (summed over the leases). One run is one measurement: -benchtime 1x.
func BenchmarkFailures(b *testing.B) {
	for _, f := range failures {
		for _, fronts := range sizes(50, 150, 300, 540) {
			b.Run(fmt.Sprintf("%s/fronts=%d", f.name, fronts), func(b *testing.B) {
				for b.Loop() {
					f.run(b, fronts)
				}
			})
		}
	}
}
