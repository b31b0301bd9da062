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

// zoneCount is the number of zones of a fleet in BenchmarkFailures. The first half of them is one region, the rest is the other.
const zoneCount = 8

// failure is a failure that docs/CAPACITY.md plans for, with the way in which its cost is measured.
type failure struct {
	name        string
	inject      func(sim *Simulation)        // called when the measurement starts; may be nil
	repair      func(sim *Simulation)        // ends the failure; nil if nothing is repaired
	repairAfter time.Duration                // the time of the repair, from the start of the measurement
	duration    time.Duration                // the length of the measurement
	everySecond func(sim *Simulation, n int) // called in each second n of the measurement; may be nil
}

// failures are the failures that BenchmarkFailures measures.
var failures = []failure{
	{name: "nothing", duration: time.Minute},
	{name: "machine", inject: func(sim *Simulation) { sim.Hosts[len(sim.Hosts)-1].Crash() }, repair: (*Simulation).StartAll, repairAfter: 20 * time.Second, duration: time.Minute},
	{name: "zone", inject: func(sim *Simulation) { crashZone(sim, sim.zoneWithoutVoter()) }, repair: (*Simulation).StartAll, repairAfter: 20 * time.Second, duration: time.Minute},
	{name: "zone-of-the-leader", inject: func(sim *Simulation) { crashZone(sim, sim.Leader().Zone) }, repair: (*Simulation).StartAll, repairAfter: 20 * time.Second, duration: time.Minute},
	{name: "rack", inject: crashRack, repair: (*Simulation).StartAll, repairAfter: 20 * time.Second, duration: time.Minute},
	{name: "regions", inject: partitionRegions, repair: (*Simulation).Heal, repairAfter: 5 * time.Minute, duration: 6 * time.Minute},
	{name: "replaced-410-an-hour", everySecond: replaceFollower, duration: 2 * time.Minute},
}

// crashZone crashes all hosts of a zone.
func crashZone(sim *Simulation, zone string) {
	for _, h := range sim.Hosts {
		if h.Zone == zone {
			h.Crash()
		}
	}
}

// zoneWithoutVoter returns the last zone. The voters are in other zones.
func (sim *Simulation) zoneWithoutVoter() string { return zoneName(zoneCount - 1) }

// zoneName returns the zone of the host with index i. The zones take turns.
func zoneName(i int) string { return fmt.Sprint("z", i%zoneCount) }

// crashRack crashes twelve hosts, or a tenth of a small fleet. Among them are a voter that is not the leader, the holder of the
// endpoint list's lease unless it is the leader, and followers.
func crashRack(sim *Simulation) {
	leader, holder := sim.Leader(), sim.Leaseholder(fleet.EndpointListLease)
	remaining := min(12, max(2, len(sim.Hosts)/10))
	crash := func(h *Host) {
		if h != nil && h.Up() && remaining > 0 {
			h.Crash()
			remaining--
		}
	}
	for i := range sim.initialVoters {
		if h := sim.Hosts[i]; h != leader {
			crash(h)
			break
		}
	}
	if holder != leader {
		crash(holder)
	}
	for i := len(sim.Hosts) - 1; i >= len(sim.initialVoters); i-- {
		crash(sim.Hosts[i])
	}
}

// partitionRegions cuts all links between the two regions.
func partitionRegions(sim *Simulation) {
	inSecondRegion := func(h *Host) bool { return h.Zone >= zoneName(zoneCount/2) }
	for _, a := range sim.Hosts {
		for _, b := range sim.Hosts {
			if inSecondRegion(a) != inSecondRegion(b) {
				sim.Cut(a.Name, b.Name)
			}
		}
	}
}

// replaceFollower shuts a follower down gracefully every 9 s and restarts it 2 s later, which makes 400 restarts an hour. The fronts
// are replaced one after another.
func replaceFollower(sim *Simulation, second int) {
	if second%9 != 0 {
		return
	}
	h := sim.Hosts[len(sim.initialVoters)+second/9]
	h.WithNode(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
	sim.After(time.Second, h.Crash)
	sim.After(3*time.Second, h.Start)
}

// roles are the names of the roles that usage is measured for, in the order of failureRun.usage.
var roles = [2]string{"voter", "follower"}

// usage is the resource usage of all hosts of one role.
type usage struct {
	hosts          int
	worst          HostUsage     // the maximum of each value, of any host in any second
	bytes          int64         // bytes sent by all hosts
	cpu            time.Duration // processor time of all hosts
	secondsPerHost float64       // the length of the measurement
}

// add adds what one host used in one second.
func (u *usage) add(h HostUsage) {
	u.worst = HostUsage{BytesSent: max(u.worst.BytesSent, h.BytesSent), MessagesSent: max(u.worst.MessagesSent, h.MessagesSent), CPU: max(u.worst.CPU, h.CPU)}
	u.bytes += h.BytesSent
	u.cpu += h.CPU
}

// report reports the maximum usage of a host in a second, and the average usage of a host per second, as metrics of a role.
func (u *usage) report(b *testing.B, role string) {
	b.ReportMetric(float64(u.worst.BytesSent), role+"-worst-B/s")
	b.ReportMetric(float64(u.worst.MessagesSent), role+"-worst-msg/s")
	b.ReportMetric(u.worst.CPU.Seconds()*1e3, role+"-worst-cpu-ms/s")
	b.ReportMetric(float64(u.bytes)/float64(u.hosts)/u.secondsPerHost, role+"-B/s")
	b.ReportMetric(u.cpu.Seconds()*1e3/float64(u.hosts)/u.secondsPerHost, role+"-cpu-ms/s")
}

// newMeasuredFleet makes a fleet with three voters whose bytes sent and processor time are measured. The calling goroutine must be
// locked to its thread.
func newMeasuredFleet(seed uint64, fronts int, leases map[string]time.Duration) *Simulation {
	sim := New(Options{Seed: seed, Fronts: fronts, Voters: 3, Timing: testTiming, Leases: leases})
	sim.MessageSize = func(m *fleet.Message) int {
		data, _ := msgpack.Marshal(m) // tests of package fleet find messages that can't be encoded
		return len(data) + 8
	}
	sim.CPUClock = threadCPU
	return sim
}

// resetUsage sets the usage of all hosts to zero.
func (sim *Simulation) resetUsage() {
	for _, h := range sim.Hosts {
		h.HostUsage = HostUsage{}
	}
}

// failureRun is one measurement of a failure.
type failureRun struct {
	failure
	*Simulation
	began          time.Duration // virtual time
	withoutHolder  time.Duration // the time without a holder, summed over the leases
	recoveredAfter time.Duration // from the repair until allFrontsCurrent; 0 if that was not reached
	usage          [len(roles)]usage
}

// run measures the failure in a fleet of the given size and reports the metrics.
func (f failure) run(b *testing.B, fronts int) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	sim := newMeasuredFleet(1, fronts, leasesFor(11))
	for i, h := range sim.Hosts {
		h.ConfigLease, h.Zone = 12*time.Second, zoneName(i)
	}
	sim.Hosts[2].Zone = zoneName(zoneCount / 2) // two voters are in one region and the third is in the other
	sim.StartAll()
	sim.Run(20 * time.Second)
	index := sim.Leader().Node.State().Index
	if f.inject != nil {
		f.inject(sim)
	}
	r := &failureRun{failure: f, Simulation: sim, began: sim.Now}
	for n := 0; sim.Now < r.began+f.duration; n++ {
		r.runSecond(n)
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
	b.ReportMetric(r.withoutHolder.Seconds(), "s-leases-unheld")
	b.ReportMetric(r.recoveredAfter.Seconds(), "s-whole-again")
	if leader := sim.Leader(); leader != nil {
		b.ReportMetric(float64(leader.Node.State().Index-index), "log-entries")
	}
}

// runSecond runs the nth runSecond of the measurement.
func (r *failureRun) runSecond(n int) {
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
				r.withoutHolder += time.Second / parts
			}
		}
		if r.repair != nil && r.Now > r.began+r.repairAfter && r.recoveredAfter == 0 && r.allFrontsCurrent() {
			r.recoveredAfter = r.Now - r.began - r.repairAfter
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

// allFrontsCurrent reports whether all fronts are connected to the fleet and have the leader's state, and whether that state has their
// present incarnations.
func (sim *Simulation) allFrontsCurrent() bool {
	leader := sim.Leader()
	if leader == nil || len(leader.Node.State().Fronts) != len(sim.Hosts) {
		return false
	}
	for _, h := range sim.Hosts {
		record := leader.Node.State().Fronts[h.Name]
		if h.Node == nil || h.Node.Isolated() || record == nil || record.Incarnation != h.Node.Incarnation() ||
			h.Node.State().Index != leader.Node.State().Index {
			return false
		}
	}
	return true
}

// fleetSizes returns the numbers of fronts that a capacity benchmark runs with: those of the environment variable CAPACITY_FRONTS, such
// as "150,300", or else the defaults.
func fleetSizes(defaults ...int) (all []int) {
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

// BenchmarkFailures measures the resource usage during each failure, at a voter and at a follower, in the worst second and on average.
// It also measures how long leases have no holder, summed over the leases. Run it with -benchtime 1x: one run is one measurement.
func BenchmarkFailures(b *testing.B) {
	for _, f := range failures {
		for _, fronts := range fleetSizes(50, 150, 300, 540) {
			b.Run(fmt.Sprintf("%s/fronts=%d", f.name, fronts), func(b *testing.B) {
				for b.Loop() {
					f.run(b, fronts)
				}
			})
		}
	}
}
