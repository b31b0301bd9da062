package proxysim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// pollRegions is how often the regions' states are looked at.
const pollRegions = 50 * time.Millisecond

// twoRegions is a cluster of two regions, every other front in each; all voters but one are in the first.
type twoRegions struct {
	*Cluster
	secondRegionVoter int // index of the voter in the second region
}

func (r twoRegions) inSecond(i int) bool {
	return i == r.secondRegionVoter || i >= r.Options.Voters && i%2 == 1
}

func (r twoRegions) partitionRegions() {
	for i, a := range r.Hosts {
		for j, b := range r.Hosts {
			if r.inSecond(i) != r.inSecond(j) {
				r.Cut(a.Name, b.Name)
			}
		}
	}
}

// retryingPublisher submits one change again and again until it is accepted.
type retryingPublisher struct {
	waiting, accepted bool
	rejected          int
	lastReason        string // why it was rejected last
}

func (s *retryingPublisher) publish(cluster *Cluster, at *Front) {
	if s.waiting || s.accepted {
		return
	}
	s.waiting = true
	cluster.Publish(at, rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 900ms))"), Base: 1, Stages: oneStage, MaxFenced: 300}, func(rejectedReason string) {
		s.accepted = rejectedReason == ""
		if !s.accepted {
			s.rejected, s.lastReason = s.rejected+1, rejectedReason[max(0, len(rejectedReason)-90):]
		}
		cluster.After(time.Second, func() { s.waiting = false })
	})
}

// publishFirst publishes a change without faults, and waits until it is in force: the first publication ever takes longer.
func (c *Cluster) publishFirst() {
	c.Publish(c.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 1s))"), Stages: oneStage, MaxFenced: 300}, func(string) {})
	for end := c.Now + time.Minute; c.Now < end && c.State().Base != 1; {
		c.Run(50 * time.Millisecond)
	}
	c.Run(30 * time.Second)
}

// regionState counts the fronts of a region, and the leases that they hold.
type regionState struct{ fronts, isolated, standby, leases int }

func (r twoRegions) regionStates() (s [2]regionState) {
	for i, f := range r.Fronts {
		k := 0
		if r.inSecond(i) {
			k = 1
		}
		s[k].fronts++
		if f.host.Node.Isolated() {
			s[k].isolated++
		}
		if f.Core.Standby() {
			s[k].standby++
		}
		for _, d := range []string{fleet.EndpointListLease, rollout.Lease} {
			if _, ok := f.host.Node.HoldsLease(f.host.Clock(), d); ok {
				s[k].leases++
			}
		}
	}
	return s
}

// partitionResult is when what was first seen, from the beginning of the partition; 0 for never.
type partitionResult struct {
	unheld      time.Duration // in total, in which one of the two leases had no holder
	majority    time.Duration // the change was in force
	allIsolated time.Duration // all fronts of the second region were isolated
	allStandby  time.Duration // and on standby
	publishers  [2]retryingPublisher
}

// runPartitioned runs the regions for a time, with a change submitted in each after 10 s.
func (r twoRegions) runPartitioned(d time.Duration) (x partitionResult) {
	began := r.Now
	first := func(at *time.Duration, happened bool) {
		if happened && *at == 0 {
			*at = r.Now - began
		}
	}
	for now := time.Duration(0); now < d; now = r.Now - began {
		if now >= 10*time.Second {
			x.publishers[0].publish(r.Cluster, r.Fronts[(r.secondRegionVoter+1)%r.Options.Voters])
			x.publishers[1].publish(r.Cluster, r.Fronts[r.secondRegionVoter])
		}
		r.Run(pollRegions)
		s := r.regionStates()
		if s[0].leases+s[1].leases < 2 {
			x.unheld += pollRegions
		}
		first(&x.allIsolated, s[1].isolated == s[1].fronts)
		first(&x.allStandby, s[1].standby == s[1].fronts)
		first(&x.majority, r.State().Base == 2)
	}
	return x
}

// healAndConverge ends the partition and returns how long it takes until all fronts act on the change and none is isolated.
func (r twoRegions) healAndConverge() time.Duration {
	r.Heal()
	healed := r.Now
	for r.Now < healed+2*time.Minute && (r.frontsOn(2) < len(r.Fronts) || r.regionStates()[1].isolated > 0) {
		r.Run(pollRegions)
	}
	return r.Now - healed
}

// regionsRun is a variant of BenchmarkRegionsApart.
type regionsRun struct{ leaderSecond, stop bool }

func (v regionsRun) run(b *testing.B, fronts int) {
	o := benchmarkOptions(fronts)
	o.Rollout.StopWhenIsolated = v.stop
	r := twoRegions{Cluster: New(o)}
	r.StartAll()
	r.Run(warmUpTime)
	r.publishFirst()
	leader := r.Leader()
	r.secondRegionVoter = slices.Index(r.Hosts, leader)
	if !v.leaderSecond {
		r.secondRegionVoter = (r.secondRegionVoter + 1) % r.Options.Voters
	}
	r.partitionRegions()
	began := r.Now
	x := r.runPartitioned(5 * time.Minute)
	s := r.regionStates()
	b.Logf("%d fronts, stop %v, the leader was %s, after 5 min: first %+v, second %+v; submitted in the first: %+v, in the second: %+v; rollout changes:", fronts, v.stop, leader.Name, s[0], s[1], x.publishers[0], x.publishers[1])
	for _, change := range r.RolloutChanges {
		if change.LastVersion > 1 {
			b.Logf("  %v %v base %d next %d: %.80s", change.At-began, change.Phase, change.Base, change.Next, change.Reason)
		}
	}
	converged := r.healAndConverge()
	if len(r.Violations) > 0 {
		b.Fatal(r.Violations)
	}
	b.ReportMetric(x.unheld.Seconds(), "s-a-lease-unheld")
	b.ReportMetric(x.allIsolated.Seconds(), "s-until-second-alone")
	b.ReportMetric(x.allStandby.Seconds(), "s-until-second-stops")
	b.ReportMetric(x.majority.Seconds(), "s-change-in-force-on-first")
	b.ReportMetric(converged.Seconds(), "s-whole-again")
	b.ReportMetric(float64(r.frontsOn(2)), "on-the-change")
}

// BenchmarkRegionsApart measures what each of two regions does while the network between them is cut for five minutes, and how soon
// all fronts are on one version again. A change is submitted in each region after 10 s.
func BenchmarkRegionsApart(b *testing.B) {
	for _, v := range []regionsRun{{true, false}, {true, true}, {false, true}} {
		for _, fronts := range sizes(50, 150, 300) {
			b.Run(fmt.Sprintf("leader-in-second=%v/stop=%v/fronts=%d", v.leaderSecond, v.stop, fronts), func(b *testing.B) {
				for b.Loop() {
					v.run(b, fronts)
				}
			})
		}
	}
}
