package proxysim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// regionPollInterval is the interval at which the regions' states are read.
const regionPollInterval = 50 * time.Millisecond

// twoRegions is a cluster in two regions. The fronts that are not voters alternate between the regions. All voters but one are in the
// first region.
type twoRegions struct {
	*Cluster
	secondRegionVoter int // index of the voter in the second region
}

// inSecondRegion reports whether the front with index i is in the second region.
func (r twoRegions) inSecondRegion(i int) bool {
	return i == r.secondRegionVoter || i >= r.Options.Voters && i%2 == 1
}

// partitionRegions cuts all links between the regions.
func (r twoRegions) partitionRegions() {
	for i, a := range r.Hosts {
		for j, b := range r.Hosts {
			if r.inSecondRegion(i) != r.inSecondRegion(j) {
				r.Cut(a.Name, b.Name)
			}
		}
	}
}

// retryingPublisher submits one change repeatedly until it is accepted.
type retryingPublisher struct {
	waiting    bool // the last submission has no outcome yet, or its outcome is less than a second old
	accepted   bool
	rejected   int    // the number of rejections
	lastReason string // the end of the last rejection's reason
}

// publish submits the change at a front, unless it waits for the last submission or the change was accepted.
func (p *retryingPublisher) publish(cluster *Cluster, at *Front) {
	if p.waiting || p.accepted {
		return
	}
	p.waiting = true
	cluster.SubmitAction(at, rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 900ms))"), Base: 1, Stages: oneStage, MaxFenced: 300}, func(rejectedReason string) {
		p.accepted = rejectedReason == ""
		if !p.accepted {
			p.rejected, p.lastReason = p.rejected+1, rejectedReason[max(0, len(rejectedReason)-90):]
		}
		cluster.After(time.Second, func() { p.waiting = false })
	})
}

// publishFirst publishes a change before any fault is injected and waits until it is in force, because the first publication of a fleet
// takes longer than later ones.
func (c *Cluster) publishFirst() {
	c.SubmitAction(c.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 1s))"), Stages: oneStage, MaxFenced: 300}, func(string) {})
	for end := c.Now + time.Minute; c.Now < end && c.RolloutState().Base != 1; {
		c.Run(50 * time.Millisecond)
	}
	c.Run(30 * time.Second)
}

// regionState counts the fronts of a region in total, isolated and on standby, and the leases that they hold.
type regionState struct{ fronts, isolated, standby, leases int }

// regionStates returns the present states of the first and the second region.
func (r twoRegions) regionStates() (s [2]regionState) {
	for i, f := range r.Fronts {
		k := 0
		if r.inSecondRegion(i) {
			k = 1
		}
		s[k].fronts++
		if f.host.Node.Isolated() {
			s[k].isolated++
		}
		if f.Core.Standby() {
			s[k].standby++
		}
		for _, lease := range []string{fleet.EndpointListLease, rollout.Lease} {
			if _, ok := f.host.Node.HoldsLease(f.host.Clock(), lease); ok {
				s[k].leases++
			}
		}
	}
	return s
}

// partitionResult holds what was measured during a partition. Times at which something was first seen count from the beginning of the
// partition; 0 means never.
type partitionResult struct {
	withoutHolder time.Duration // total time during which at least one of the two leases had no holder
	changeInForce time.Duration // when the change was in force
	allIsolated   time.Duration // when all fronts of the second region were isolated
	allStandby    time.Duration // when all fronts of the second region were on standby
	publishers    [2]retryingPublisher
}

// runPartitioned runs the partitioned regions for d. After 10 s a change is submitted in each region.
func (r twoRegions) runPartitioned(d time.Duration) (result partitionResult) {
	began := r.Now
	recordFirst := func(at *time.Duration, happened bool) {
		if happened && *at == 0 {
			*at = r.Now - began
		}
	}
	for now := time.Duration(0); now < d; now = r.Now - began {
		if now >= 10*time.Second {
			result.publishers[0].publish(r.Cluster, r.Fronts[(r.secondRegionVoter+1)%r.Options.Voters])
			result.publishers[1].publish(r.Cluster, r.Fronts[r.secondRegionVoter])
		}
		r.Run(regionPollInterval)
		regions := r.regionStates()
		if regions[0].leases+regions[1].leases < 2 {
			result.withoutHolder += regionPollInterval
		}
		recordFirst(&result.allIsolated, regions[1].isolated == regions[1].fronts)
		recordFirst(&result.allStandby, regions[1].standby == regions[1].fronts)
		recordFirst(&result.changeInForce, r.RolloutState().Base == 2)
	}
	return result
}

// healAndConverge ends the partition and returns how long it takes until all fronts act on the change and none of the second region is
// isolated. It waits for two minutes at most.
func (r twoRegions) healAndConverge() time.Duration {
	r.Heal()
	healed := r.Now
	for r.Now < healed+2*time.Minute && (r.frontsOnVersion(2) < len(r.Fronts) || r.regionStates()[1].isolated > 0) {
		r.Run(regionPollInterval)
	}
	return r.Now - healed
}

// regionsRun is a variant of BenchmarkRegionsApart: whether the leader is in the second region, and Options.Rollout.StopWhenIsolated.
type regionsRun struct{ leaderInSecond, stopWhenIsolated bool }

// run performs the variant with the given number of fronts and reports the metrics.
func (v regionsRun) run(b *testing.B, fronts int) {
	o := benchmarkOptions(fronts)
	o.Rollout.StopWhenIsolated = v.stopWhenIsolated
	r := twoRegions{Cluster: New(o)}
	r.StartAll()
	r.Run(warmUpTime)
	r.publishFirst()
	leader := r.Leader()
	r.secondRegionVoter = slices.Index(r.Hosts, leader)
	if !v.leaderInSecond {
		r.secondRegionVoter = (r.secondRegionVoter + 1) % r.Options.Voters
	}
	r.partitionRegions()
	began := r.Now
	result := r.runPartitioned(5 * time.Minute)
	regions := r.regionStates()
	b.Logf("%d fronts, stop %v, the leader was %s, after 5 min: first %+v, second %+v; submitted in the first: %+v, in the second: %+v; rollout changes:", fronts, v.stopWhenIsolated, leader.Name, regions[0], regions[1], result.publishers[0], result.publishers[1])
	for _, change := range r.RolloutChanges {
		if change.LastVersion > 1 {
			b.Logf("  %v %v base %d next %d: %.80s", change.At-began, change.Phase, change.Base, change.Next, change.Reason)
		}
	}
	converged := r.healAndConverge()
	if len(r.Violations) > 0 {
		b.Fatal(r.Violations)
	}
	b.ReportMetric(result.withoutHolder.Seconds(), "s-a-lease-unheld")
	b.ReportMetric(result.allIsolated.Seconds(), "s-until-second-alone")
	b.ReportMetric(result.allStandby.Seconds(), "s-until-second-stops")
	b.ReportMetric(result.changeInForce.Seconds(), "s-change-in-force-on-first")
	b.ReportMetric(converged.Seconds(), "s-whole-again")
	b.ReportMetric(float64(r.frontsOnVersion(2)), "on-the-change")
}

// BenchmarkRegionsApart measures the behavior of two regions while the network between them is cut for five minutes, and how long it
// takes afterwards until all fronts are on the same version again. A change is submitted in each region after 10 s.
func BenchmarkRegionsApart(b *testing.B) {
	for _, v := range []regionsRun{{true, false}, {true, true}, {false, true}} {
		for _, fronts := range fleetSizes(50, 150, 300) {
			b.Run(fmt.Sprintf("leader-in-second=%v/stop=%v/fronts=%d", v.leaderInSecond, v.stopWhenIsolated, fronts), func(b *testing.B) {
				for b.Loop() {
					v.run(b, fronts)
				}
			})
		}
	}
}
