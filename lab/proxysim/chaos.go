package proxysim

import (
	"fmt"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
	"dapplerouter/lab/fleetsim"
)

// Fault is one thing that goes wrong with a machine of a town, and what mends it.
type Fault struct {
	Name string
	Do   func(t *Town, h *fleetsim.Host)
}

// Faults are those that walks and rough runs take from.
var Faults = []Fault{
	{"crash", func(t *Town, h *fleetsim.Host) {
		h.Crash()
		t.After(2*time.Second, func() {
			if !h.Up() {
				h.Start()
			}
		})
	}},
	{"stop", func(t *Town, h *fleetsim.Host) { h.Stop(); t.After(9*time.Second, h.Continue) }},
	{"blink", func(t *Town, h *fleetsim.Host) { h.Stop(); t.After(700*time.Millisecond, h.Continue) }},
	{"mute", func(t *Town, h *fleetsim.Host) { t.apart(h, true, false); t.After(5*time.Second, t.Heal) }},
	{"deaf", func(t *Town, h *fleetsim.Host) { t.apart(h, false, true); t.After(5*time.Second, t.Heal) }},
	{"apart", func(t *Town, h *fleetsim.Host) { t.apart(h, true, true); t.After(10*time.Second, t.Heal) }},
	{"late", func(t *Town, _ *fleetsim.Host) {
		t.Jitter = 1700 * time.Millisecond
		t.After(7*time.Second, func() { t.Jitter = 300 * time.Microsecond })
	}},
	{"hand", func(t *Town, h *fleetsim.Host) {
		h.Do(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, rollout.Lease, "") })
	}},
}

func (t *Town) apart(h *fleetsim.Host, out, in bool) {
	for _, o := range t.Hosts {
		if o != h && out {
			t.Cut(h.Name, o.Name)
		}
		if o != h && in {
			t.Cut(o.Name, h.Name)
		}
	}
}

// Rest mends everything and lets the town come to rest; then it says what is not as it must be: a roll that is neither all
// new nor all old, a front on another version, a request without its one answer.
func (t *Town) Rest(within time.Duration) []string {
	t.Heal()
	for _, h := range t.Hosts {
		h.Continue()
		if !h.Up() {
			h.Start()
		}
	}
	quiet := func() bool {
		s := t.State()
		if s.Phase != rollout.PhaseSteady && !s.Paused {
			return false
		}
		for _, f := range t.Fronts {
			if f.Core.Standby() || !s.Paused && f.Core.ConfigVersion() != s.Base {
				return false
			}
		}
		return true
	}
	for end, since := t.Now+within, t.Now; t.Now < end && len(t.Wrong) == 0 && t.Now < since+t.O.Deadline+2*t.Pace.LeaseDuration; {
		t.Run(250 * time.Millisecond)
		if !quiet() { // a wish of before may begin another roll
			since = t.Now
		}
	}
	if len(t.Wrong) > 0 {
		return t.Wrong
	}
	if !quiet() {
		s := t.State()
		t.Wrong = append(t.Wrong, fmt.Sprintf("it does not come to rest: %v of %d to %d, %s", s.Phase, s.Base, s.Next, s.Reason))
		for _, f := range t.Fronts {
			t.Wrong = append(t.Wrong, fmt.Sprintf("%s acts on %d, lapsed %v, alone %v", f.Name, f.Core.ConfigVersion(), f.Core.Standby(), f.host.Node.Isolated()))
		}
	}
	for _, x := range t.Requests {
		f := t.Fronts[t.at(x.Front)]
		switch {
		case x.Answers > 1:
			t.Wrong = append(t.Wrong, fmt.Sprintf("%s of %s was answered %d times", x.ID, x.Front, x.Answers))
		case x.Answers == 0 && x.At >= f.startedAt && x.At < t.Now-t.O.Deadline-time.Second:
			t.Wrong = append(t.Wrong, fmt.Sprintf("%s of %s got no answer", x.ID, x.Front))
		}
		for _, m := range t.Members {
			if m.Did[x.ID] > 1 {
				t.Wrong = append(t.Wrong, fmt.Sprintf("%s took effect %d times", x.ID, m.Did[x.ID]))
			}
		}
	}
	return t.Wrong
}

func (t *Town) at(name string) int {
	for i, f := range t.Fronts {
		if f.Name == name {
			return i
		}
	}
	return -1
}

// RoughRolls plays publishes, some of them bad, under faults drawn from a seed, and says what was wrong.
func RoughRolls(seed uint64, fronts int, stop bool, trace func(string)) (*Town, []string) {
	o := Options{Seed: seed, Fronts: fronts, Voters: 3, Groups: 2, PerGroup: 2, Servers: 4, Service: 2 * time.Millisecond, Rate: 8, Writes: 0.3,
		Span: 3 * time.Second, Fleet: true, Right: 6 * time.Second, Stop: stop}
	if stop && seed/2%2 == 0 { // half of the fleets that can have one have a time
		o.Within = 15 * time.Second
	}
	t := New(o)
	t.Trace = trace
	for _, h := range t.Hosts {
		h.Pace = 0.95 + 0.1*t.Rnd.Float64()
	}
	t.StartAll()
	t.Run(8 * time.Second)
	end := t.Now + 60*time.Second
	bad := map[uint64]int{} // versions that crash, are refused, or serve worse
	for _, f := range t.Fronts {
		f.Bad = func(v uint64) bool { return bad[v] == 1 && f.Name > "f001" }
		f.Crashes = func(v uint64) bool { return bad[v] == 2 }
		f.Spoils = func(v uint64) float64 {
			if bad[v] == 3 {
				return 0.3
			}
			return 0
		}
	}
	var faults, wishes func()
	faults = func() {
		if t.Now < end {
			t.After(time.Duration(500+t.Rnd.Int64N(6000))*time.Millisecond, faults)
			f := Faults[t.Rnd.IntN(len(Faults))]
			h := t.Hosts[t.Rnd.IntN(len(t.Hosts))]
			if h.Up() && !h.Stopped() {
				f.Do(t, h)
			}
		}
	}
	wishes = func() {
		if t.Now >= end {
			return
		}
		t.After(time.Duration(1000+t.Rnd.Int64N(9000))*time.Millisecond, wishes)
		f := t.Fronts[t.Rnd.IntN(len(t.Fronts))]
		if !f.host.Up() {
			return
		}
		s := t.State()
		w := rollout.Action{Type: rollout.ActionPublish, Base: s.Base, Text: fmt.Appendf(nil, "(rules (window book %dms))", 1+t.Rnd.IntN(1900)), ObservationTime: time.Second,
			Stages: [][]uint16{{1000}, {1, 1000}, {300, 600, 1000}}[t.Rnd.IntN(3)], MaxFenced: 400, Mandatory: t.Rnd.IntN(2) == 0}
		switch k := t.Rnd.IntN(8); {
		case k == 0:
			w.Type = rollout.ActionRollBack
		case k == 1 && s.Next == 0:
			w.Base++ // an operator who is mistaken
		case k < 5:
			bad[s.LastVersion+1] = k - 1 // 0 to 3
		}
		t.Publish(f, w, func(string) {})
	}
	t.After(time.Second, faults)
	t.After(500*time.Millisecond, wishes)
	t.Run(end - t.Now)
	for v := range bad {
		delete(bad, v)
	}
	return t, t.Rest(3 * time.Minute)
}
