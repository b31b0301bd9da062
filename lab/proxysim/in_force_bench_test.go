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

// deadlineRun is a benchmark run in which configuration changes are requested at given times. It is run with and without a time limit
// within which the changes must be in force. A change that is rejected is submitted again after half a second.
type deadlineRun struct {
	name            string
	count           int           // the number of changes
	interval        time.Duration // time between the requests of two changes
	stages          []uint16
	observationTime time.Duration
	cutOff          bool // one front in twenty is cut off for good when the first change is requested
	leaderZoneLost  bool // the leader's zone, an eighth of the fleet, crashes for good at that time
	configLease     time.Duration
}

// trackedChange is the progress of a change from its request until it is in force. Times are virtual.
type trackedChange struct {
	requestedAt, inForce time.Duration
	published            bool
	version              uint64 // the version that the change became part of; 0 before
}

// run performs the run with the given number of fronts and time limit, and reports the metrics.
func (c deadlineRun) run(b *testing.B, fronts int, within time.Duration) {
	cluster := New(Options{
		Seed:          3,
		Fronts:        fronts,
		Voters:        3,
		Fleet:         true,
		LeaseDuration: 3 * time.Second,
		Servers:       ServerOptions{Groups: 2, PerGroup: 3, Concurrency: 8, ServiceTime: 2 * time.Millisecond},
		Rollout:       RolloutOptions{ConfigLease: c.configLease, StopWhenIsolated: true, InForceWithin: within},
	})
	cluster.StartAll()
	cluster.Run(20 * time.Second)
	first := rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (given-up 1))"), Stages: []uint16{1000}, MaxFenced: 300}
	cluster.SubmitAction(cluster.Fronts[0], first, func(string) {}) // the first publication of a fleet takes longer than later ones
	cluster.Run(20 * time.Second)
	operator := c.injectFailure(cluster, fronts)
	changes := make([]*trackedChange, c.count)
	for i := range changes {
		changes[i] = &trackedChange{requestedAt: cluster.Now + time.Duration(i)*c.interval}
	}
	for end := changes[c.count-1].requestedAt + 8*time.Minute; cluster.Now < end; {
		for i, change := range changes {
			if !change.published && cluster.Now >= change.requestedAt {
				c.publish(cluster, operator, i, change)
			}
		}
		cluster.Run(50 * time.Millisecond)
		if c.recordInForce(cluster, changes) {
			break
		}
	}
	if len(cluster.Violations) > 0 {
		b.Fatal(cluster.Violations)
	}
	var took []float64
	for _, change := range changes {
		if change.inForce > 0 {
			took = append(took, (change.inForce - change.requestedAt).Seconds())
		}
	}
	b.ReportMetric(float64(c.count-len(took)), "never")
	if len(took) > 0 {
		slices.Sort(took)
		b.ReportMetric(took[len(took)/2], "s-p50")
		b.ReportMetric(took[len(took)-1], "s-max")
	}
}

// injectFailure injects the failure of the run, if any, and returns a front that still runs, at which the operator submits the changes.
func (c deadlineRun) injectFailure(cluster *Cluster, fronts int) *Front {
	switch {
	case c.cutOff:
		for i := range max(1, fronts/20) {
			cluster.partition(cluster.Hosts[fronts-1-i], bothDirections)
		}
	case c.leaderZoneLost:
		leader := cluster.Leader()
		leader.Crash()
		for i := range fronts/8 - 1 {
			cluster.Hosts[fronts-1-i].Crash()
		}
		if cluster.Hosts[0] == leader {
			return cluster.Fronts[1]
		}
	}
	return cluster.Fronts[0]
}

// publish submits change i, based on the version in force.
func (c deadlineRun) publish(cluster *Cluster, operator *Front, i int, change *trackedChange) {
	change.published = true
	var action rollout.Action
	operator.host.WithNode(func(n *fleet.Node, _ time.Duration) {
		s, _ := rollout.ReadState(n.State())
		rules, _ := deployment.RulesText{}.Split(rollout.VersionText(n.State(), s.Base))
		rules[fmt.Sprint(i)] = fmt.Sprintf("(given-up %d)", 100+i)
		action = rollout.Action{Type: rollout.ActionPublish, Base: s.Base, Text: deployment.RulesText{}.Join(rules), Stages: c.stages, ObservationTime: c.observationTime, MaxFenced: 300}
	})
	cluster.SubmitAction(operator, action, func(rejectedReason string) {
		if rejectedReason != "" {
			cluster.After(500*time.Millisecond, func() { change.published = false })
			return
		}
		s, _ := rollout.ReadState(operator.host.Node.State())
		change.version = s.LastVersion
	})
}

// recordInForce records which changes have come into force, and reports whether all have.
func (c deadlineRun) recordInForce(cluster *Cluster, changes []*trackedChange) bool {
	s, all := cluster.RolloutState(), true
	for _, change := range changes {
		if change.inForce == 0 && change.version > 0 && s.Base >= change.version {
			change.inForce = cluster.Now
		}
		all = all && change.inForce > 0
	}
	return all
}

// BenchmarkInForce measures how many seconds of virtual time it takes until configuration changes are in force on all fronts, with a
// time limit of 20 s and without one. The lease duration is 3 s. Run it with -benchtime 1x: one run is one measurement. The environment
// variable MODEL_FRONTS selects one size.
func BenchmarkInForce(b *testing.B) {
	one, four := []uint16{1000}, []uint16{10, 100, 500, 1000}
	for _, c := range []deadlineRun{
		{name: "heard", count: 1, stages: one, configLease: 12 * time.Second},
		{name: "cut-off", count: 1, stages: one, configLease: 12 * time.Second, cutOff: true},
		{name: "leaders-zone", count: 1, stages: one, configLease: 12 * time.Second, leaderZoneLost: true},
		{name: "burst", count: 12, interval: 5 * time.Second, stages: one, configLease: 12 * time.Second},
		{name: "burst-cut-off", count: 12, interval: 5 * time.Second, stages: one, configLease: 12 * time.Second, cutOff: true},
		{name: "staged", count: 1, stages: four, observationTime: 30 * time.Second, configLease: 6 * time.Second},
		{name: "staged-cut-off", count: 1, stages: four, observationTime: 30 * time.Second, configLease: 6 * time.Second, cutOff: true},
		{name: "staged-each-72s", count: 5, interval: 72 * time.Second, stages: four, observationTime: 30 * time.Second, configLease: 6 * time.Second},
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
