package proxysim

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// deadlineRun is changes of configuration that come at given times, with a time to be in force and without. Without one, a change that
// is refused is asked for again each half second.
type deadlineRun struct {
	name       string
	count      int           // of changes
	every      time.Duration // between them
	stages     []uint16
	watch      time.Duration
	cutOff     bool // one in twenty is cut off for good when the first change comes
	leaderZone bool // the leader's zone, an eighth of the fleet, is lost for good then
	lease      time.Duration
}

// trackedChange is a change from its coming until it is in force.
type trackedChange struct {
	came, inForce time.Duration
	asked         bool
	version       uint64 // that it became part of
}

func (c deadlineRun) run(b *testing.B, fronts int, within time.Duration) {
	w := New(Options{Seed: 3, Fronts: fronts, Voters: 3, Groups: 2, PerGroup: 3, Servers: 8, Service: 2 * time.Millisecond,
		Span: 3 * time.Second, Fleet: true, Right: c.lease, Stop: true, Within: within})
	w.StartAll()
	w.Run(20 * time.Second)
	first := rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (given-up 1))"), Stages: []uint16{1000}, MaxFenced: 300}
	w.Publish(w.Fronts[0], first, func(string) {}) // a fleet that has published before
	w.Run(20 * time.Second)
	operator := c.harm(w, fronts)
	changes := make([]*trackedChange, c.count)
	for i := range changes {
		changes[i] = &trackedChange{came: w.Now + time.Duration(i)*c.every}
	}
	for end := changes[c.count-1].came + 8*time.Minute; w.Now < end; {
		for i, x := range changes {
			if !x.asked && w.Now >= x.came {
				c.ask(w, operator, i, x)
			}
		}
		w.Run(50 * time.Millisecond)
		if c.note(w, changes) {
			break
		}
	}
	if len(w.Wrong) > 0 {
		b.Fatal(w.Wrong)
	}
	var took []float64
	for _, x := range changes {
		if x.inForce > 0 {
			took = append(took, (x.inForce - x.came).Seconds())
		}
	}
	b.ReportMetric(float64(c.count-len(took)), "never")
	if len(took) > 0 {
		slices.Sort(took)
		b.ReportMetric(took[len(took)/2], "s-p50")
		b.ReportMetric(took[len(took)-1], "s-max")
	}
}

// harm does to the fleet what the run is about, and returns the front that the operator asks.
func (c deadlineRun) harm(w *Town, fronts int) *Front {
	switch {
	case c.cutOff:
		for i := range max(1, fronts/20) {
			w.apart(w.Hosts[fronts-1-i], true, true)
		}
	case c.leaderZone:
		leader := w.Leader()
		leader.Crash()
		for i := range fronts/8 - 1 {
			w.Hosts[fronts-1-i].Crash()
		}
		if w.Hosts[0] == leader {
			return w.Fronts[1]
		}
	}
	return w.Fronts[0]
}

// ask publishes a change on top of what its operator sees.
func (c deadlineRun) ask(w *Town, operator *Front, i int, x *trackedChange) {
	x.asked = true
	var action rollout.Action
	operator.host.Do(func(n *fleet.Node, _ time.Duration) {
		s, _ := rollout.ReadState(n.State())
		rules, _ := deployment.RulesText{}.Split(rollout.VersionText(n.State(), s.Base))
		rules[fmt.Sprint(i)] = fmt.Sprintf("(given-up %d)", 100+i)
		action = rollout.Action{Type: rollout.ActionPublish, Base: s.Base, Text: deployment.RulesText{}.Join(rules), Stages: c.stages, ObservationTime: c.watch, MaxFenced: 300}
	})
	w.Publish(operator, action, func(fault string) {
		if fault != "" {
			w.After(500*time.Millisecond, func() { x.asked = false })
			return
		}
		s, _ := rollout.ReadState(operator.host.Node.State())
		x.version = s.LastVersion
	})
}

// note notes which changes are in force, and reports whether all are.
func (c deadlineRun) note(w *Town, changes []*trackedChange) bool {
	s, all := w.State(), true
	for _, x := range changes {
		if x.inForce == 0 && x.version > 0 && s.Base >= x.version {
			x.inForce = w.Now
		}
		all = all && x.inForce > 0
	}
	return all
}

// BenchmarkInForce tells in how many seconds of virtual time changes of configuration are in force everywhere, with a time of 20 s and
// without one, span 3 s. One run is one measurement: -benchtime 1x. MODEL_FRONTS names one size.
func BenchmarkInForce(b *testing.B) {
	one, four := []uint16{1000}, []uint16{10, 100, 500, 1000}
	for _, c := range []deadlineRun{
		{name: "heard", count: 1, stages: one, lease: 12 * time.Second},
		{name: "cut-off", count: 1, stages: one, lease: 12 * time.Second, cutOff: true},
		{name: "leaders-zone", count: 1, stages: one, lease: 12 * time.Second, leaderZone: true},
		{name: "burst", count: 12, every: 5 * time.Second, stages: one, lease: 12 * time.Second},
		{name: "burst-cut-off", count: 12, every: 5 * time.Second, stages: one, lease: 12 * time.Second, cutOff: true},
		{name: "staged", count: 1, stages: four, watch: 30 * time.Second, lease: 6 * time.Second},
		{name: "staged-cut-off", count: 1, stages: four, watch: 30 * time.Second, lease: 6 * time.Second, cutOff: true},
		{name: "staged-each-72s", count: 5, every: 72 * time.Second, stages: four, watch: 30 * time.Second, lease: 6 * time.Second},
	} {
		for _, fronts := range []int{50, 150, 300, 540} {
			if only := os.Getenv("MODEL_FRONTS"); only != "" && only != fmt.Sprint(fronts) {
				continue
			}
			for _, within := range []time.Duration{0, 20 * time.Second} {
				b.Run(fmt.Sprintf("%s/fronts=%d/within=%v", c.name, fronts, within), func(b *testing.B) {
					for b.Loop() {
						c.run(b, fronts, within)
					}
				})
			}
		}
	}
}
