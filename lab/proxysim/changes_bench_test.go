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

// changeRun is a run in which configuration changes are requested at given times and published one at a time, the next one once the
// last is in force.
type changeRun struct {
	name            string
	interval        time.Duration // between changes; 0 for one change
	duration        time.Duration // for which they are requested
	stages          []uint16      // thousandths of the fleet
	observationTime time.Duration // of each stage
	mandatory       bool
	lostOneIn       int           // one front in lostOneIn is cut off from the first change on; 0 for none
	lostFor         time.Duration // until it is connected again
	configLease     time.Duration
	restart         func(cluster *Cluster, f *Front) // of one front on the new version; nil for none
	restartAfter    time.Duration                    // from the first change
	loseOne         bool                             // exactly one front is lost, whatever lostOneIn
}

var (
	oneStage   = []uint16{1000}
	fourStages = []uint16{10, 100, 500, 1000}
)

// changeResult is when one change reached each step, from the start of the measurement.
type changeResult struct{ requestedAt, publishedAt, onReachable, inForce time.Duration }

const (
	warmUpTime   = 20 * time.Second // until the fleet is started
	maxRunTime   = 10 * time.Minute // after the first change
	pollInterval = 10 * time.Millisecond
)

// benchmarkOptions are thirty servers in ten groups, with the service's default ratio of lease durations.
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

// changePublisher publishes the changes of a run, and keeps what became of them.
type changePublisher struct {
	changeRun
	*Cluster
	began     time.Duration
	reachable int // fronts that are not cut off

	changes    []changeResult
	done       int // changes in force
	base       uint64
	busy       bool // a change is submitted or being rolled out
	rejected   int
	mostQueued int
}

func (c changeRun) run(b *testing.B, fronts int) {
	o := benchmarkOptions(fronts)
	if c.configLease > 0 {
		o.Rollout.ConfigLease = c.configLease
	}
	cluster := New(o)
	cluster.StartAll()
	cluster.Run(warmUpTime)
	p := &changePublisher{changeRun: c, Cluster: cluster, began: cluster.Now, reachable: fronts - c.injectFailures(cluster), base: cluster.State().Base}
	for at := time.Duration(0); at == 0 || at < c.duration; at += c.interval {
		p.changes = append(p.changes, changeResult{requestedAt: at})
		if c.interval == 0 {
			break
		}
	}
	firstVersion := cluster.State().LastVersion
	for cluster.Now < p.began+maxRunTime && p.done < len(p.changes) {
		if s := cluster.State(); c.restart != nil && s.LastVersion > firstVersion && s.Next == 0 && s.Base == p.base {
			break // it was rolled back
		}
		p.step()
	}
	if len(cluster.Violations) > 0 {
		b.Fatal(cluster.Violations)
	}
	if p.done < len(p.changes) {
		b.Logf("%s, %d fronts: %d of %d in force; the last rollout change: %s", c.name, fronts, p.done, len(p.changes), cluster.State().Reason)
	}
	p.report(b)
}

// injectFailures schedules the run's failures, and returns the number of fronts that are cut off now.
func (c changeRun) injectFailures(cluster *Cluster) (lost int) {
	if c.restart != nil {
		cluster.After(c.restartAfter, func() {
			for _, f := range cluster.Fronts[cluster.Options.Voters:] {
				if f.Core.ConfigVersion() == cluster.State().Next {
					c.restart(cluster, f)
					return
				}
			}
		})
	}
	fronts := len(cluster.Fronts)
	switch {
	case c.loseOne:
		lost = 1
	case c.lostOneIn > 0:
		lost = fronts / c.lostOneIn
	default:
		return 0
	}
	for i := range lost {
		cluster.partition(cluster.Hosts[fronts-1-i], bothDirections)
	}
	cluster.After(c.lostFor, cluster.Heal)
	return lost
}

// step publishes the next change if it is due, and runs the cluster for a poll interval.
func (p *changePublisher) step() {
	x := &p.changes[p.done]
	if now := p.Now - p.began; !p.busy && now >= x.requestedAt {
		p.busy = true
		if x.publishedAt == 0 {
			x.publishedAt = now
		}
		p.publish()
	}
	p.Run(pollInterval)
	now, s := p.Now-p.began, p.State()
	if p.busy && x.onReachable == 0 && p.frontsOn(p.base+1) >= p.reachable {
		x.onReachable = now
	}
	if s.Base > p.base {
		x.inForce, p.base, p.busy = now, s.Base, false
		p.done++
	}
	if !p.busy && p.rejected > 0 && s.Base == p.base {
		p.Run(500 * time.Millisecond) // before it is submitted again
	}
	queued := 0
	for _, y := range p.changes[p.done:] {
		if y.requestedAt <= now {
			queued++
		}
	}
	p.mostQueued = max(p.mostQueued, queued)
}

func (p *changePublisher) publish() {
	a := rollout.Action{
		Type:            rollout.ActionPublish,
		Base:            p.base,
		Text:            fmt.Appendf(nil, "(rules (window book %dms))", 1000+p.done),
		Stages:          p.stages,
		ObservationTime: p.observationTime,
		Mandatory:       p.mandatory,
		MaxFenced:       300,
	}
	p.Publish(p.Fronts[0], a, func(rejectedReason string) {
		if rejectedReason != "" {
			p.rejected++
			p.busy = false
		}
	})
}

func (p *changePublisher) report(b *testing.B) {
	all, done := p.changes, p.done
	b.ReportMetric(float64(done), "in-force")
	b.ReportMetric(float64(len(all)-done), "never")
	b.ReportMetric(float64(p.mostQueued), "most-waiting")
	b.ReportMetric(float64(p.rejected), "refused")
	if done == 0 {
		return
	}
	var took, service []float64
	for _, x := range all[:done] {
		took = append(took, (x.inForce - x.requestedAt).Seconds())
		service = append(service, (x.inForce - x.publishedAt).Seconds())
	}
	b.ReportMetric(all[0].onReachable.Seconds(), "s-first-on-heard")
	b.ReportMetric(took[0], "s-first-in-force")
	b.ReportMetric(took[done-1], "s-last-in-force")
	b.ReportMetric(slices.Max(service), "s-alone-max")
}

// restartGracefully restarts a front as after SIGTERM; crashAndRestart as after SIGKILL.
func restartGracefully(cluster *Cluster, f *Front) {
	f.host.Do(func(n *fleet.Node, now time.Duration) {
		f.disk = savedVersions{version: f.version, text: rollout.VersionText(n.State(), f.version)} // a graceful shutdown saves the version that it acts on
		n.Leave(now)
	})
	cluster.After(time.Second, func() { crashAndRestart(cluster, f) })
}

func crashAndRestart(cluster *Cluster, f *Front) {
	f.host.Crash()
	cluster.After(2*time.Second, f.host.Start)
}

// frontsOn counts the fronts that act on a version.
func (c *Cluster) frontsOn(version uint64) (n int) {
	for _, f := range c.Fronts {
		if f.Core.ConfigVersion() == version {
			n++
		}
	}
	return n
}

// BenchmarkChanges measures in how many seconds of virtual time a configuration change is in force everywhere, by the number of
// fronts, and whether changes that are requested one after another queue. One run is one measurement: -benchtime 1x.
func BenchmarkChanges(b *testing.B) {
	for _, c := range []changeRun{
		{name: "one-stage", stages: oneStage},
		{name: "one-stage/lost=5s", stages: oneStage, lostOneIn: 20, lostFor: 5 * time.Second},
		{name: "one-stage/lost=20s", stages: oneStage, lostOneIn: 20, lostFor: 20 * time.Second},
		{name: "one-stage/lost=5m", stages: oneStage, lostOneIn: 20, lostFor: 5 * time.Minute},
		{name: "one-stage/lost=5m/mandatory", stages: oneStage, lostOneIn: 20, lostFor: 5 * time.Minute, mandatory: true},
		{name: "one-stage/lost=5m/mandatory/config-lease=6s", stages: oneStage, lostOneIn: 20, lostFor: 5 * time.Minute, mandatory: true, configLease: 6 * time.Second},
		{name: "four-stages-of-30s", stages: fourStages, observationTime: 30 * time.Second},
		{name: "one-stage/one-machine=5m", stages: oneStage, loseOne: true, lostFor: 5 * time.Minute},
		{name: "four-stages-of-30s/a-front-is-restarted", stages: fourStages, observationTime: 30 * time.Second, restart: restartGracefully, restartAfter: 5 * time.Second},
		{name: "four-stages-of-30s/a-front-is-killed", stages: fourStages, observationTime: 30 * time.Second, restart: crashAndRestart, restartAfter: 5 * time.Second},
		{name: "four-stages-of-30s/a-front-is-killed-at-60s", stages: fourStages, observationTime: 30 * time.Second, restart: crashAndRestart, restartAfter: time.Minute},
		{name: "one-stage/each=5s", stages: oneStage, interval: 5 * time.Second, duration: time.Minute},
		{name: "one-stage/each=30s", stages: oneStage, interval: 30 * time.Second, duration: 2 * time.Minute},
		{name: "four-stages-of-30s/each=72s", stages: fourStages, observationTime: 30 * time.Second, interval: 72 * time.Second, duration: 8 * time.Minute},
		{name: "four-stages-of-30s/each=30s", stages: fourStages, observationTime: 30 * time.Second, interval: 30 * time.Second, duration: 8 * time.Minute},
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
