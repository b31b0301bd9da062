package proxysim

import (
	"fmt"
	"slices"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
	"dapplerouter/front"
)

// seat gives a front that starts its part in rolls, as fleet/agent does.
func (f *Front) participate(s *deployment.Settings) {
	t := f.t
	f.Core.JoinFleet(front.FleetOptions{Clock: f.host.Clock, Auditor: (*tally)(f)})
	f.sums = make([]rollout.Counts, 2)
	o := rollout.Options{Name: f.Name, Timing: t.Pace, ConfigLease: t.O.Right, StopWhenIsolated: t.O.Stop, InForceWithin: t.O.Within, Rules: deployment.RulesText{}, InitialVersion: f.disk.version, UnconfirmedVersion: f.disk.tried}
	f.version = o.InitialVersion
	turn := f.turn
	f.Participant = rollout.NewParticipant(o, rollout.Hooks{
		Adopt: func(a rollout.Adoption) {
			f.host.After(0, func(time.Duration) { f.adopt(a, s) })
		},
		Renew: func(version uint64, until time.Duration) {
			f.host.After(0, func(now time.Duration) {
				if until > now {
					f.post(front.RenewLease{Version: version, Expiry: until})
				} else {
					f.post(front.ExpireLease{Version: version})
				}
			})
		},
		Counts:    func() (uint32, []rollout.Counts) { return 1, slices.Clone(f.sums) },
		WallClock: func() int64 { return t.wall(t.Now) * 1000 },
	})
	if f.disk.version != 0 {
		if r, err := deployment.ParseRules("saved", f.disk.text); err == nil {
			f.post(front.AdoptConfig{Version: f.disk.version, Rules: r})
		}
	}
	f.Participant.DeclareLeases(f.host.Node)
	var tick func(now time.Duration)
	tick = func(now time.Duration) {
		if f.turn != turn || f.host.Node == nil {
			return
		}
		f.host.Do(func(n *fleet.Node, now time.Duration) {
			f.Participant.Tick(now, n)
			f.noted(n)
		})
		t.checkVersions(f)
		f.host.After(t.Pace.TickInterval(), tick)
	}
	f.host.After(t.Pace.TickInterval(), tick)
}

func (f *Front) adopt(a rollout.Adoption, s *deployment.Settings) {
	do := func(call func(n *fleet.Node, now time.Duration)) { f.host.Do(call) }
	var rules *deployment.Rules
	if a.Text != nil {
		var err error
		if rules, err = deployment.ParseRules("published", a.Text); err == nil {
			err = rules.Validate(s)
		}
		if err == nil && f.Bad != nil && f.Bad(a.Version) {
			err = fmt.Errorf("its limits are others")
		}
		if err != nil {
			do(func(n *fleet.Node, now time.Duration) { f.Participant.Rejected(now, n, a.Version, err.Error()) })
			return
		}
	}
	f.disk.tried = a.Version
	if f.Crashes != nil && f.Crashes(a.Version) {
		f.host.After(300*time.Millisecond, func(time.Duration) {
			h := f.host
			h.Crash()
			f.t.After(time.Second, func() {
				if !h.Up() {
					h.Start()
				}
			})
		})
	}
	f.post(front.AdoptConfig{Version: a.Version, Rules: rules, LeaseExpiry: a.Until, OnAdopted: func(time.Duration) {
		f.host.After(0, func(time.Duration) {
			f.version, f.sums = a.Version, make([]rollout.Counts, 2)
			f.Participant.Adopted(a.Version)
			f.host.After(2*f.t.Pace.LeaseDuration, func(time.Duration) {
				if f.version == a.Version { // it has held
					f.disk = saved{version: a.Version, text: a.Text}
				}
			})
		})
	}, OnOlderFinished: func() {
		f.host.After(0, func(time.Duration) {
			do(func(n *fleet.Node, now time.Duration) { f.Participant.Acknowledge(now, n, a.Version) })
		})
	}})
}

// tally counts a front's requests, as the audit does in service.
type tally Front

func (f *tally) RequestAccepted(time.Duration, []byte, int) uint32 { return 0 }
func (f *tally) EndpointsChanged(time.Duration, int64)             {}
func (f *tally) ConfigAdopted(time.Duration, uint64)               {}
func (f *tally) Tick(time.Duration)                                {}
func (f *tally) Close(time.Duration)                               {}
func (f *tally) LeaseChanged(time.Duration, time.Duration, bool)   {}
func (f *tally) RequestFinished(_ time.Duration, _ uint32, typ int, w front.Status) {
	f.sums[typ].Finished++
	if w == front.StatusSucceeded {
		f.sums[typ].Succeeded++
	}
}

// noted keeps the turns of rolls, in the order of the record.
func (f *Front) noted(n *fleet.Node) {
	e := n.State().Values["roll"]
	if e == nil || e.Index <= f.t.turned {
		return
	}
	if s, ok := rollout.ReadState(n.State()); ok {
		f.t.turned = e.Index
		f.t.checkOutcomes(s)
		f.t.Turns = append(f.t.Turns, Turn{f.t.Now, e.Index, s})
	}
}

// checkOutcomes asserts that each action has one outcome, which never changes.
func (t *Town) checkOutcomes(s rollout.State) {
	seen := map[uint64]bool{}
	for _, o := range s.Outcomes {
		fault, known := t.outcomes[o.ID]
		if seen[o.ID] || known && fault != o.RejectedReason {
			t.Wrong = append(t.Wrong, fmt.Sprintf("%v: action %x has the outcomes %q and %q", t.Now, o.ID, fault, o.RejectedReason))
		}
		seen[o.ID], t.outcomes[o.ID] = true, o.RejectedReason
	}
}

// State is the newest of rolls that any front has.
func (t *Town) State() rollout.State {
	if len(t.Turns) == 0 {
		return rollout.State{}
	}
	return t.Turns[len(t.Turns)-1].State
}

// checkVersions asserts invariants 1 to 3 of package roll at a front's tick: who acts, acts on Base or Next, and no other; a
// front that serves alone by its operator's will is told in the record or hears nobody. With SparseChecks a front's tick looks
// at that front alone, and at all of them once a tick and at each new turn: all at each one's tick would be fronts x fronts.
func (t *Town) checkVersions(ticked *Front) {
	s := t.State()
	if t.O.SparseChecks && t.turned == t.checkedTurn && t.Now-t.checkedAt < t.Pace.TickInterval() {
		t.checkFront(ticked, s)
		return
	}
	t.checkedTurn, t.checkedAt = t.turned, t.Now
	for _, f := range t.Fronts {
		t.checkFront(f, s)
	}
}

func (t *Town) checkFront(f *Front, s rollout.State) {
	if !f.host.Up() || f.Participant == nil {
		return
	}
	if f.host.Node.Isolated() || f.host.Stopped() {
		f.aloneAt = t.Now
	}
	for _, v := range f.Core.ActiveVersions() {
		t.checkVersion(f, s, v)
	}
}

func (t *Town) checkVersion(f *Front, s rollout.State, v uint64) {
	if v == s.Base || s.Next != 0 && v == s.Next {
		return
	}
	if !t.O.Stop && t.Now-f.aloneAt <= t.Pace.LeaseDuration*3/2 {
		return // it served alone until a moment ago, and is being brought up
	}
	t.Wrong = append(t.Wrong, fmt.Sprintf("%v: %s acts on version %d, and in force are %d and %d (%v)", t.Now, f.Name, v, s.Base, s.Next, s.Phase))
}

// Publish lets an operator publish a text at a front, and gives the wish's outcome when it is there.
func (t *Town) Publish(f *Front, w rollout.Action, outcome func(fault string)) {
	if r, err := deployment.ParseRules("x", w.Text); err == nil {
		w.RulesHash = r.Digest()
	}
	w.ID = t.Rnd.Uint64() | 1
	f.host.Do(func(n *fleet.Node, now time.Duration) {
		f.Participant.Submit(now, w, 10*t.Pace.LeaseDuration, func(err error) {
			fault := ""
			if err != nil {
				fault = err.Error()
			}
			outcome(fault)
		})
	})
}
