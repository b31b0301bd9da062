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

// changeRun is a benchmark run in which configuration changes are requested at given times. They are published one at a time: each one
// once the change before it is in force.
type changeRun struct {
	name            string
	interval        time.Duration // time between the requests of two changes; 0 if there is only one change
	duration        time.Duration // how long changes are requested
	stages          []uint16      // in thousandths of the fleet
	observationTime time.Duration // of each stage
	mandatory       bool
	cutOffOneIn     int                              // one front in cutOffOneIn is cut off when the first change is requested; 0 for none
	cutOffFor       time.Duration                    // how long these fronts are cut off
	configLease     time.Duration                    // 0 for the default of benchmarkOptions
	restart         func(cluster *Cluster, f *Front) // restarts one front that is on the new version; nil if none is restarted
	restartAfter    time.Duration                    // the time of the restart, from the first change
	cutOffOne       bool                             // exactly one front is cut off, whatever cutOffOneIn is
}

// Stages of a rollout, in thousandths of the fleet.
var (
	oneStage   = []uint16{1000}
	fourStages = []uint16{10, 100, 500, 1000}
)

// changeResult holds the times at which one change reached each step, counted from the start of the measurement. onReachable is when all
// fronts that are not cut off act on the change.
type changeResult struct{ requestedAt, publishedAt, onReachable, inForce time.Duration }

const (
	warmUpTime   = 20 * time.Second      // how long a fleet runs before a measurement starts
	maxRunTime   = 10 * time.Minute      // the longest run after the first change
	pollInterval = 10 * time.Millisecond // how often the state of the rollout is read
)

// benchmarkOptions returns the options of a cluster with thirty servers in ten groups and the default ratio of the two lease durations.
func benchmarkOptions(fronts int) Options {
	return Options{
		Seed:          3,
		Fronts:        fronts,
		Voters:        3,
		Fleet:         true,
		LeaseDuration: 3 * time.Second,
		Servers:       ServerOptions{Groups: 10, PerGroup: 3, Concurrency: 8, ServiceTime: 2 * time.Millisecond},
		Rollout:       RolloutOptions{ConfigLease: 12 * time.Second, StopWhenIsolated: true},
		SparseChecks:  true,
	}
}

// changePublisher publishes the changes of a run and records their results.
type changePublisher struct {
	changeRun
	*Cluster
	began     time.Duration
	reachable int // the number of fronts that are not cut off

	changes      []changeResult
	inForceCount int // the number of changes in force
	base         uint64
	inProgress   bool // a change is submitted or being rolled out
	rejected     int
	maxQueued    int
}

// run performs the run with the given number of fronts and reports the metrics.
func (c changeRun) run(b *testing.B, fronts int) {
	o := benchmarkOptions(fronts)
	if c.configLease > 0 {
		o.Rollout.ConfigLease = c.configLease
	}
	cluster := New(o)
	cluster.StartAll()
	cluster.Run(warmUpTime)
	p := &changePublisher{changeRun: c, Cluster: cluster, began: cluster.Now, reachable: fronts - c.injectFailures(cluster), base: cluster.RolloutState().Base}
	for at := time.Duration(0); at == 0 || at < c.duration; at += c.interval {
		p.changes = append(p.changes, changeResult{requestedAt: at})
		if c.interval == 0 {
			break
		}
	}
	firstVersion := cluster.RolloutState().LastVersion
	for cluster.Now < p.began+maxRunTime && p.inForceCount < len(p.changes) {
		if s := cluster.RolloutState(); c.restart != nil && s.LastVersion > firstVersion && s.Next == 0 && s.Base == p.base {
			break // the change was rolled back
		}
		p.step()
	}
	if len(cluster.Violations) > 0 {
		b.Fatal(cluster.Violations)
	}
	if p.inForceCount < len(p.changes) {
		b.Logf("%s, %d fronts: %d of %d in force; last rollout change: %s", c.name, fronts, p.inForceCount, len(p.changes), cluster.RolloutState().Reason)
	}
	p.report(b)
}

// injectFailures cuts off fronts and schedules the run's other failures. It returns the number of fronts that it cut off.
func (c changeRun) injectFailures(cluster *Cluster) (cutOff int) {
	if c.restart != nil {
		cluster.After(c.restartAfter, func() {
			for _, f := range cluster.Fronts[cluster.Options.Voters:] {
				if f.Core.ConfigVersion() == cluster.RolloutState().Next {
					c.restart(cluster, f)
					return
				}
			}
		})
	}
	fronts := len(cluster.Fronts)
	switch {
	case c.cutOffOne:
		cutOff = 1
	case c.cutOffOneIn > 0:
		cutOff = fronts / c.cutOffOneIn
	default:
		return 0
	}
	for i := range cutOff {
		cluster.partition(cluster.Hosts[fronts-1-i], bothDirections)
	}
	cluster.After(c.cutOffFor, cluster.Heal)
	return cutOff
}

// step publishes the next change if it is due, runs the cluster for a poll interval and records the progress.
func (p *changePublisher) step() {
	change := &p.changes[p.inForceCount]
	if now := p.Now - p.began; !p.inProgress && now >= change.requestedAt {
		p.inProgress = true
		if change.publishedAt == 0 {
			change.publishedAt = now
		}
		p.publish()
	}
	p.Run(pollInterval)
	now, s := p.Now-p.began, p.RolloutState()
	if p.inProgress && change.onReachable == 0 && p.frontsOnVersion(p.base+1) >= p.reachable {
		change.onReachable = now
	}
	if s.Base > p.base {
		change.inForce, p.base, p.inProgress = now, s.Base, false
		p.inForceCount++
	}
	if !p.inProgress && p.rejected > 0 && s.Base == p.base {
		p.Run(500 * time.Millisecond) // wait before the change is submitted again
	}
	queued := 0
	for _, pending := range p.changes[p.inForceCount:] {
		if pending.requestedAt <= now {
			queued++
		}
	}
	p.maxQueued = max(p.maxQueued, queued)
}

// publish submits the next change at the first front.
func (p *changePublisher) publish() {
	a := rollout.Action{
		Type:            rollout.ActionPublish,
		Base:            p.base,
		Text:            fmt.Appendf(nil, "(rules (window book %dms))", 1000+p.inForceCount),
		Stages:          p.stages,
		ObservationTime: p.observationTime,
		Mandatory:       p.mandatory,
		MaxFenced:       300,
	}
	p.SubmitAction(p.Fronts[0], a, func(rejectedReason string) {
		if rejectedReason != "" {
			p.rejected++
			p.inProgress = false
		}
	})
}

// report reports the run's metrics.
func (p *changePublisher) report(b *testing.B) {
	all, done := p.changes, p.inForceCount
	b.ReportMetric(float64(done), "in-force")
	b.ReportMetric(float64(len(all)-done), "never")
	b.ReportMetric(float64(p.maxQueued), "most-waiting")
	b.ReportMetric(float64(p.rejected), "refused")
	if done == 0 {
		return
	}
	var sinceRequested, sincePublished []float64
	for _, change := range all[:done] {
		sinceRequested = append(sinceRequested, (change.inForce - change.requestedAt).Seconds())
		sincePublished = append(sincePublished, (change.inForce - change.publishedAt).Seconds())
	}
	b.ReportMetric(all[0].onReachable.Seconds(), "s-first-on-heard")
	b.ReportMetric(sinceRequested[0], "s-first-in-force")
	b.ReportMetric(sinceRequested[done-1], "s-last-in-force")
	b.ReportMetric(slices.Max(sincePublished), "s-alone-max")
}

// restartGracefully shuts a front down as SIGTERM does and restarts it.
func restartGracefully(cluster *Cluster, f *Front) {
	f.host.WithNode(func(n *fleet.Node, now time.Duration) {
		// A graceful shutdown saves the version that the front acts on.
		f.disk = savedVersions{version: f.version, text: rollout.VersionText(n.State(), f.version)}
		n.Leave(now)
	})
	cluster.After(time.Second, func() { crashAndRestart(cluster, f) })
}

// crashAndRestart ends a front as SIGKILL does and restarts it after 2 s.
func crashAndRestart(cluster *Cluster, f *Front) {
	f.host.Crash()
	cluster.After(2*time.Second, f.host.Start)
}

// frontsOnVersion counts the fronts that act on a version.
func (c *Cluster) frontsOnVersion(version uint64) (n int) {
	for _, f := range c.Fronts {
		if f.Core.ConfigVersion() == version {
			n++
		}
	}
	return n
}

// BenchmarkChanges measures how many seconds of virtual time it takes until a configuration change is in force on all fronts, by the
// number of fronts. It also measures how many changes queue if they are requested one after another. Run it with -benchtime 1x: one run
// is one measurement.
func BenchmarkChanges(b *testing.B) {
	for _, c := range []changeRun{
		{name: "one-stage", stages: oneStage},
		{name: "one-stage/lost=5s", stages: oneStage, cutOffOneIn: 20, cutOffFor: 5 * time.Second},
		{name: "one-stage/lost=20s", stages: oneStage, cutOffOneIn: 20, cutOffFor: 20 * time.Second},
		{name: "one-stage/lost=5m", stages: oneStage, cutOffOneIn: 20, cutOffFor: 5 * time.Minute},
		{name: "one-stage/lost=5m/mandatory", stages: oneStage, cutOffOneIn: 20, cutOffFor: 5 * time.Minute, mandatory: true},
		{name: "one-stage/lost=5m/mandatory/config-lease=6s", stages: oneStage, cutOffOneIn: 20, cutOffFor: 5 * time.Minute, mandatory: true, configLease: 6 * time.Second},
		{name: "four-stages-of-30s", stages: fourStages, observationTime: 30 * time.Second},
		{name: "one-stage/one-machine=5m", stages: oneStage, cutOffOne: true, cutOffFor: 5 * time.Minute},
		{name: "four-stages-of-30s/a-front-is-restarted", stages: fourStages, observationTime: 30 * time.Second, restart: restartGracefully, restartAfter: 5 * time.Second},
		{name: "four-stages-of-30s/a-front-is-killed", stages: fourStages, observationTime: 30 * time.Second, restart: crashAndRestart, restartAfter: 5 * time.Second},
		{name: "four-stages-of-30s/a-front-is-killed-at-60s", stages: fourStages, observationTime: 30 * time.Second, restart: crashAndRestart, restartAfter: time.Minute},
		{name: "one-stage/each=5s", stages: oneStage, interval: 5 * time.Second, duration: time.Minute},
		{name: "one-stage/each=30s", stages: oneStage, interval: 30 * time.Second, duration: 2 * time.Minute},
		{name: "four-stages-of-30s/each=72s", stages: fourStages, observationTime: 30 * time.Second, interval: 72 * time.Second, duration: 8 * time.Minute},
		{name: "four-stages-of-30s/each=30s", stages: fourStages, observationTime: 30 * time.Second, interval: 30 * time.Second, duration: 8 * time.Minute},
	} {
		for _, fronts := range fleetSizes(50, 150, 300, 540) {
			b.Run(fmt.Sprintf("%s/fronts=%d", c.name, fronts), func(b *testing.B) {
				for b.Loop() {
					c.run(b, fronts)
				}
			})
		}
	}
}
