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

// zonesOf is the number of zones that a world of failures is spread over; its first half is one region, the rest the other.
const zonesOf = 8

// failure is one that the plan of capacity names.
type failure struct {
	name string
	lose func(w *World)        // at the minute's beginning
	mend func(w *World)        // nil where nothing comes back
	back time.Duration         // when it is mended
	long time.Duration         // until the measurement ends
	each func(w *World, n int) // at each second, nil for nothing
}

var failures = []failure{
	{name: "nothing", long: time.Minute},
	{name: "machine", lose: func(w *World) { w.Hosts[len(w.Hosts)-1].Crash() }, mend: (*World).StartAll, back: 20 * time.Second, long: time.Minute},
	{name: "zone", lose: func(w *World) { crashZone(w, w.zoneWithout()) }, mend: (*World).StartAll, back: 20 * time.Second, long: time.Minute},
	{name: "zone-of-the-leader", lose: func(w *World) { crashZone(w, w.Leader().Zone) }, mend: (*World).StartAll, back: 20 * time.Second, long: time.Minute},
	{name: "rack", lose: crashRack, mend: (*World).StartAll, back: 20 * time.Second, long: time.Minute},
	{name: "regions", lose: partRegions, mend: (*World).Heal, back: 5 * time.Minute, long: 6 * time.Minute},
	{name: "replaced-410-an-hour", each: replace, long: 2 * time.Minute},
}

func crashZone(w *World, zone string) {
	for _, h := range w.Hosts {
		if h.Zone == zone {
			h.Crash()
		}
	}
}

// zoneWithout is a zone without a voter.
func (w *World) zoneWithout() string { return zoneName(zonesOf - 1) }

func zoneName(i int) string { return fmt.Sprint("z", i%zonesOf) }

// crashRack ends twelve machines, or as many as a tenth of a small fleet: a voter that does not lead, the holder of the list's
// lease, and followers.
func crashRack(w *World) {
	leader, holder := w.Leader(), w.Holder(fleet.EndpointListLease)
	left := min(12, max(2, len(w.Hosts)/10))
	lose := func(h *Host) {
		if h != nil && h.Up() && left > 0 {
			h.Crash()
			left--
		}
	}
	for i := range w.voters {
		if h := w.Hosts[i]; h != leader {
			lose(h)
			break
		}
	}
	if holder != leader {
		lose(holder)
	}
	for i := len(w.Hosts) - 1; i >= len(w.voters); i-- {
		lose(w.Hosts[i])
	}
}

func partRegions(w *World) {
	second := func(h *Host) bool { return h.Zone >= zoneName(zonesOf/2) }
	for _, a := range w.Hosts {
		for _, b := range w.Hosts {
			if second(a) != second(b) {
				w.Cut(a.Name, b.Name)
			}
		}
	}
}

// replace ends a follower properly each 9 s, and starts it anew 2 s later: 400 in an hour.
func replace(w *World, second int) {
	if second%9 != 0 {
		return
	}
	h := w.Hosts[len(w.voters)+second/9]
	h.Do(func(n *fleet.Node, now time.Duration) { n.Leave(now) })
	w.After(time.Second, h.Crash)
	w.After(3*time.Second, h.Start)
}

// second is what a host spent within one.
type second struct {
	bytes, messages int64
	cpu             time.Duration
}

func (s *second) most(o second) {
	s.bytes, s.messages, s.cpu = max(s.bytes, o.bytes), max(s.messages, o.messages), max(s.cpu, o.cpu)
}

func (f failure) run(b *testing.B, fronts int) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	w := New(1, fronts, 3, pace, dutiesOf(11))
	for i, h := range w.Hosts {
		h.Right, h.Zone = 12*time.Second, zoneName(i)
	}
	w.Hosts[2].Zone = zoneName(zonesOf / 2) // two voters in one region, the third in the other
	w.Weigh = func(m *fleet.Message) int {
		data, _ := msgpack.Marshal(m)
		return len(data) + 8
	}
	w.Meter = threadCPU
	w.StartAll()
	w.Run(20 * time.Second)
	index := w.Leader().Node.State().Index
	if f.lose != nil {
		f.lose(w)
	}
	began := w.Now
	var unheld, whole time.Duration
	var worst, total [2]second // of a voter, of a follower
	for n := 0; w.Now < began+f.long; n++ {
		if f.each != nil {
			f.each(w, n)
		}
		if f.mend != nil && w.Now-began == f.back {
			f.mend(w)
		}
		for _, h := range w.Hosts {
			h.Sent, h.Bytes, h.CPU = 0, 0, 0
		}
		const parts = 10
		for range parts {
			w.Run(time.Second / parts)
			for d := range w.leases {
				if w.Holder(d) == nil {
					unheld += time.Second / parts
				}
			}
			if f.mend != nil && w.Now > began+f.back && whole == 0 && w.whole() {
				whole = w.Now - began - f.back
			}
		}
		for i, h := range w.Hosts {
			k, s := 1, second{h.Bytes, h.Sent, h.CPU}
			if i < len(w.voters) {
				k = 0
			}
			worst[k].most(s)
			total[k].bytes += s.bytes
			total[k].cpu += s.cpu
		}
	}
	if len(w.Wrong) > 0 {
		b.Fatal(w.Wrong)
	}
	count := [2]float64{float64(len(w.voters)), float64(fronts - len(w.voters))}
	for k, role := range []string{"voter", "follower"} {
		b.ReportMetric(float64(worst[k].bytes), role+"-worst-B/s")
		b.ReportMetric(float64(worst[k].messages), role+"-worst-msg/s")
		b.ReportMetric(worst[k].cpu.Seconds()*1e3, role+"-worst-cpu-ms/s")
		b.ReportMetric(float64(total[k].bytes)/count[k]/f.long.Seconds(), role+"-B/s")
		b.ReportMetric(total[k].cpu.Seconds()*1e3/count[k]/f.long.Seconds(), role+"-cpu-ms/s")
	}
	b.ReportMetric(unheld.Seconds(), "s-leases-unheld")
	b.ReportMetric(whole.Seconds(), "s-whole-again")
	if g := w.Leader(); g != nil {
		b.ReportMetric(float64(g.Node.State().Index-index), "log-entries")
	}
}

// whole tells whether all fronts hear the leader and have its state, all of them in it as they are now.
func (w *World) whole() bool {
	g := w.Leader()
	if g == nil || len(g.Node.State().Fronts) != len(w.Hosts) {
		return false
	}
	for _, h := range w.Hosts {
		f := g.Node.State().Fronts[h.Name]
		if h.Node == nil || h.Node.Isolated() || f == nil || f.Incarnation != h.Node.Incarnation() || h.Node.State().Index != g.Node.State().Index {
			return false
		}
	}
	return true
}

// sizes are the numbers of fronts that a capacity benchmark runs at: CAPACITY_FRONTS="150,300", or the usual.
func sizes(usual ...int) (all []int) {
	for _, word := range strings.FieldsFunc(os.Getenv("CAPACITY_FRONTS"), func(r rune) bool { return r == ',' }) {
		n, err := strconv.Atoi(word)
		if err != nil || n < 1 {
			panic("CAPACITY_FRONTS: numbers of fronts separated by commas, not " + word)
		}
		all = append(all, n)
	}
	if len(all) == 0 {
		return usual
	}
	return all
}

// BenchmarkFailures tells what each failure costs in its worst second and on average, at a voter and a follower, and how long
// leases were held by nobody (their seconds added up). One run is one measurement: -benchtime 1x.
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
