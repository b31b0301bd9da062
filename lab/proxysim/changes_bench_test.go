package proxysim

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

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

// changes is a run in which configuration changes come at given times to a submitter that publishes one at a time, the next once
// the last is in force.
type changes struct {
	name    string
	every   time.Duration // between changes; one change where 0
	during  time.Duration // for which they come
	stages  []uint16      // thousandths of the fleet
	watch   time.Duration // of each stage
	must    bool
	lost    int           // one front in so many is cut off from the first change on; 0 for none
	lostFor time.Duration // until it is heard again
	right   time.Duration
	restart func(t *Town, f *Front) // what happens to a front on the new version; nil for nothing
	after   time.Duration           // the first change came, it happens
	machine bool                    // one front is lost, and not one in so many
}

var (
	oneStage   = []uint16{1000}
	fourStages = []uint16{10, 100, 500, 1000}
)

// result is what became of one change.
type result struct{ came, published, onHeard, inForce time.Duration }

const (
	warm    = 20 * time.Second // in which the fleet comes up
	runs    = 10 * time.Minute // at the most, behind the first change
	looking = 10 * time.Millisecond
)

func (c changes) run(b *testing.B, fronts int) {
	right := c.right
	if right == 0 {
		right = 12 * time.Second
	}
	w := New(Options{SparseChecks: true, Seed: 3, Fronts: fronts, Voters: 3, Groups: 10, PerGroup: 3, Servers: 8, Service: 2 * time.Millisecond,
		Span: 3 * time.Second, Fleet: true, Right: right, Stop: true})
	w.StartAll()
	w.Run(warm)
	heard := fronts
	if c.machine {
		c.lost = fronts
	}
	if c.restart != nil {
		w.After(c.after, func() {
			for _, f := range w.Fronts[w.O.Voters:] {
				if f.Core.ConfigVersion() == w.State().Next {
					c.restart(w, f)
					return
				}
			}
		})
	}
	if c.lost > 0 {
		for i := range fronts / c.lost {
			w.apart(w.Hosts[fronts-1-i], true, true)
		}
		heard -= fronts / c.lost
		w.After(c.lostFor, w.Heal)
	}
	began := w.Now
	var all []result
	for at := time.Duration(0); at == 0 || at < c.during; at += c.every {
		all = append(all, result{came: at})
		if c.every == 0 {
			break
		}
	}
	done, longest, refused := 0, 0, 0
	busy := false
	base := w.State().Base
	taken := w.State().LastVersion
	for w.Now < began+runs && done < len(all) {
		if c.restart != nil && w.State().LastVersion > taken && w.State().Next == 0 && w.State().Base == base {
			break // it was taken back
		}
		now := w.Now - began
		x := &all[done]
		if !busy && now >= x.came {
			busy = true
			if x.published == 0 {
				x.published = now
			}
			w.Publish(w.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Base: base, Text: fmt.Appendf(nil, "(rules (window book %dms))", 1000+done), Stages: c.stages, ObservationTime: c.watch,
				Mandatory: c.must, MaxFenced: 300}, func(fault string) {
				if fault != "" {
					refused++
					busy = false
				}
			})
		}
		w.Run(looking)
		now = w.Now - began
		s := w.State()
		if busy && x.onHeard == 0 && w.on(base+1) >= heard {
			x.onHeard = now
		}
		if s.Base > base {
			x.inForce, base, busy = now, s.Base, false
			done++
		}
		if !busy && refused > 0 && s.Base == base {
			w.Run(500 * time.Millisecond) // it is asked for again
		}
		waiting := 0
		for _, y := range all[done:] {
			if y.came <= now {
				waiting++
			}
		}
		longest = max(longest, waiting)
	}
	if len(w.Wrong) > 0 {
		b.Fatal(w.Wrong)
	}
	if done < len(all) {
		b.Logf("%s, %d fronts: %d of %d in force; the last turn: %s", c.name, fronts, done, len(all), w.State().Reason)
	}
	c.report(b, all, done, longest, refused)
}

func (c changes) report(b *testing.B, all []result, done, longest, refused int) {
	b.ReportMetric(float64(done), "in-force")
	b.ReportMetric(float64(len(all)-done), "never")
	b.ReportMetric(float64(longest), "most-waiting")
	b.ReportMetric(float64(refused), "refused")
	if done == 0 {
		return
	}
	var took, service []float64
	for _, x := range all[:done] {
		took = append(took, (x.inForce - x.came).Seconds())
		service = append(service, (x.inForce - x.published).Seconds())
	}
	b.ReportMetric(all[0].onHeard.Seconds(), "s-first-on-heard")
	b.ReportMetric(took[0], "s-first-in-force")
	b.ReportMetric(took[done-1], "s-last-in-force")
	b.ReportMetric(slices.Max(service), "s-alone-max")
}

// restartProperly ends a front as SIGTERM does and starts it anew; kill ends it at once.
func restartProperly(t *Town, f *Front) {
	f.host.Do(func(n *fleet.Node, now time.Duration) {
		f.disk = saved{version: f.version, text: rollout.VersionText(n.State(), f.version)} // a proper end keeps what it acts on
		n.Leave(now)
	})
	t.After(time.Second, func() { kill(t, f) })
}

func kill(t *Town, f *Front) {
	f.host.Crash()
	t.After(2*time.Second, f.host.Start)
}

// on counts the fronts that act on a version.
func (t *Town) on(version uint64) (n int) {
	for _, f := range t.Fronts {
		if f.Core.ConfigVersion() == version {
			n++
		}
	}
	return n
}

// BenchmarkChanges tells in how many seconds of virtual time a change of configuration is in force everywhere, by the number of
// fronts, and whether changes that come one after another queue. One run is one measurement: -benchtime 1x.
func BenchmarkChanges(b *testing.B) {
	for _, c := range []changes{
		{name: "one-stage", stages: oneStage},
		{name: "one-stage/lost=5s", stages: oneStage, lost: 20, lostFor: 5 * time.Second},
		{name: "one-stage/lost=20s", stages: oneStage, lost: 20, lostFor: 20 * time.Second},
		{name: "one-stage/lost=5m", stages: oneStage, lost: 20, lostFor: 5 * time.Minute},
		{name: "one-stage/lost=5m/must", stages: oneStage, lost: 20, lostFor: 5 * time.Minute, must: true},
		{name: "one-stage/lost=5m/must/right=6s", stages: oneStage, lost: 20, lostFor: 5 * time.Minute, must: true, right: 6 * time.Second},
		{name: "four-stages-of-30s", stages: fourStages, watch: 30 * time.Second},
		{name: "one-stage/one-machine=5m", stages: oneStage, machine: true, lostFor: 5 * time.Minute},
		{name: "four-stages-of-30s/a-front-is-restarted", stages: fourStages, watch: 30 * time.Second, restart: restartProperly, after: 5 * time.Second},
		{name: "four-stages-of-30s/a-front-is-killed", stages: fourStages, watch: 30 * time.Second, restart: kill, after: 5 * time.Second},
		{name: "four-stages-of-30s/a-front-is-killed-at-60s", stages: fourStages, watch: 30 * time.Second, restart: kill, after: time.Minute},
		{name: "one-stage/each=5s", stages: oneStage, every: 5 * time.Second, during: time.Minute},
		{name: "one-stage/each=30s", stages: oneStage, every: 30 * time.Second, during: 2 * time.Minute},
		{name: "four-stages-of-30s/each=72s", stages: fourStages, watch: 30 * time.Second, every: 72 * time.Second, during: 8 * time.Minute},
		{name: "four-stages-of-30s/each=30s", stages: fourStages, watch: 30 * time.Second, every: 30 * time.Second, during: 8 * time.Minute},
	} {
		for _, fronts := range sizes(50, 150, 300, 540) {
			b.Run(fmt.Sprintf("%s/fronts=%d", c.name, fronts), func(b *testing.B) {
				for b.Loop() {
					c.run(b, fronts)
				}
			})
		}
	}
}
