package proxysim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// regions is a town of two regions, every other front in each; all keepers but one are in the first.
type regions struct {
	*Town
	lone int // the keeper in the second region
}

func (r regions) second(i int) bool { return i == r.lone || i >= r.O.Voters && i%2 == 1 }

func (r regions) apart() {
	for i, a := range r.Hosts {
		for j, b := range r.Hosts {
			if r.second(i) != r.second(j) {
				r.Cut(a.Name, b.Name)
			}
		}
	}
}

// submitter asks for one change again and again until it is taken up.
type submitter struct {
	waits, taken bool
	refused      int
	last         string // why it was refused last
}

func (s *submitter) goOn(t *Town, at *Front) {
	if s.waits || s.taken {
		return
	}
	s.waits = true
	t.Publish(at, rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 900ms))"), Base: 1, Stages: oneStage, MaxFenced: 300}, func(fault string) {
		s.taken = fault == ""
		if !s.taken {
			s.refused, s.last = s.refused+1, fault[max(0, len(fault)-90):]
		}
		t.After(time.Second, func() { s.waits = false })
	})
}

// first publishes a change while all is well, and waits until it is in force: a fleet that never had one is not the usual case.
func (t *Town) first() {
	t.Publish(t.Fronts[0], rollout.Action{Type: rollout.ActionPublish, Text: []byte("(rules (window book 1s))"), Stages: oneStage, MaxFenced: 300}, func(string) {})
	for end := t.Now + time.Minute; t.Now < end && t.State().Base != 1; {
		t.Run(50 * time.Millisecond)
	}
	t.Run(30 * time.Second)
}

// side is what the fronts of a region may do at a moment.
type side struct{ fronts, alone, lapsed, held int }

func (r regions) sides() (s [2]side) {
	for i, f := range r.Fronts {
		k := 0
		if r.second(i) {
			k = 1
		}
		s[k].fronts++
		if f.host.Node.Isolated() {
			s[k].alone++
		}
		if f.Core.Standby() {
			s[k].lapsed++
		}
		for _, d := range []string{fleet.EndpointListLease, rollout.Lease} {
			if _, ok := f.host.Node.HoldsLease(f.host.Clock(), d); ok {
				s[k].held++
			}
		}
	}
	return s
}

// BenchmarkRegionsApart tells what each of two regions may do while they lose each other for five minutes, and how soon all are
// on one version again: a change is published on the side of the majority at 10 s, and asked for on the other side at 10 s.
func BenchmarkRegionsApart(b *testing.B) {
	const lost = 5 * time.Minute
	for _, x := range []struct{ leaderSecond, stop bool }{{true, false}, {true, true}, {false, true}} {
		for _, fronts := range sizes(50, 150, 300) {
			stop := x.stop
			b.Run(fmt.Sprintf("leader-in-second=%v/stop=%v/fronts=%d", x.leaderSecond, stop, fronts), func(b *testing.B) {
				for b.Loop() {
					r := regions{Town: New(Options{SparseChecks: true, Seed: 3, Fronts: fronts, Voters: 3, Groups: 10, PerGroup: 3, Servers: 8, Service: 2 * time.Millisecond,
						Span: 3 * time.Second, Fleet: true, Right: 12 * time.Second, Stop: stop})}
					r.StartAll()
					r.Run(warm)
					r.first()
					leader := r.Leader()
					r.lone = slices.Index(r.Hosts, leader)
					if !x.leaderSecond {
						r.lone = (r.lone + 1) % r.O.Voters
					}
					r.apart()
					began := r.Now
					var unheld, majority, aloneAll, lapsedAll time.Duration
					var asked [2]submitter
					for now := time.Duration(0); now < lost; now = r.Now - began {
						if now >= 10*time.Second {
							asked[0].goOn(r.Town, r.Fronts[(r.lone+1)%r.O.Voters])
							asked[1].goOn(r.Town, r.Fronts[r.lone])
						}
						r.Run(50 * time.Millisecond)
						s := r.sides()
						if s[0].held+s[1].held < 2 {
							unheld += 50 * time.Millisecond
						}
						if s[1].alone == s[1].fronts && aloneAll == 0 {
							aloneAll = r.Now - began
						}
						if s[1].lapsed == s[1].fronts && lapsedAll == 0 {
							lapsedAll = r.Now - began
						}
						if r.State().Base == 2 && majority == 0 {
							majority = r.Now - began
						}
					}
					s := r.sides()
					b.Logf("%d fronts, stop %v, the leader was %s, after 5 min: first %+v, second %+v; asked for on the first: %+v, on the second: %+v; turns:", fronts, stop, leader.Name, s[0], s[1], asked[0], asked[1])
					for _, t := range r.Turns {
						if t.LastVersion > 1 {
							b.Logf("  %v %v base %d next %d: %.80s", t.At-began, t.Phase, t.Base, t.Next, t.Reason)
						}
					}
					r.Heal()
					healed := r.Now
					for r.Now < healed+2*time.Minute && (r.on(2) < fronts || r.sides()[1].alone > 0) {
						r.Run(50 * time.Millisecond)
					}
					if len(r.Wrong) > 0 {
						b.Fatal(r.Wrong)
					}
					b.ReportMetric(unheld.Seconds(), "s-a-lease-unheld")
					b.ReportMetric(aloneAll.Seconds(), "s-until-second-alone")
					b.ReportMetric(lapsedAll.Seconds(), "s-until-second-stops")
					b.ReportMetric(majority.Seconds(), "s-change-in-force-on-first")
					b.ReportMetric((r.Now - healed).Seconds(), "s-whole-again")
					b.ReportMetric(float64(r.on(2)), "on-the-change")
				}
			})
		}
	}
}
