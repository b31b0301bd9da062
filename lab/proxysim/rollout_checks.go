package proxysim

import (
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// rolloutChecks is what the invariants of rollouts are checked against.
type rolloutChecks struct {
	lastChangeIndex uint64 // of RolloutChanges
	checkedIndex    uint64 // lastChangeIndex, and the time, at which all fronts' versions were checked last
	checkedAt       time.Duration
	outcomes        map[uint64]string // of operators' actions, by ID, as they were first replicated
}

// recordRolloutChange notes the rollout's state in a node's replicated state, if no front had it before.
func (f *Front) recordRolloutChange(n *fleet.Node) {
	c := f.cluster
	e := n.State().Values["roll"]
	if e == nil || e.Index <= c.lastChangeIndex {
		return
	}
	if s, ok := rollout.ReadState(n.State()); ok {
		c.lastChangeIndex = e.Index
		c.checkOutcomes(s)
		c.RolloutChanges = append(c.RolloutChanges, RolloutChange{c.Now, e.Index, s})
	}
}

// State returns the newest state of the rollout that any front has.
func (c *Cluster) State() rollout.State {
	if len(c.RolloutChanges) == 0 {
		return rollout.State{}
	}
	return c.RolloutChanges[len(c.RolloutChanges)-1].State
}

// checkOutcomes checks that each action has one outcome, which never changes.
func (c *Cluster) checkOutcomes(s rollout.State) {
	seen := map[uint64]bool{}
	for _, o := range s.Outcomes {
		known, ok := c.outcomes[o.ID]
		if seen[o.ID] || ok && known != o.RejectedReason {
			c.Violationf("action %x has the outcomes %q and %q", o.ID, known, o.RejectedReason)
		}
		seen[o.ID], c.outcomes[o.ID] = true, o.RejectedReason
	}
}

// checkVersions checks, at a front's tick, that fronts act on the rollout's Base or Next and on no other version, unless they were
// isolated and may act on their own. With SparseChecks a tick checks the front itself, and all fronts only once in a tick interval and
// at each change of the rollout: all fronts at the tick of each would be quadratic in their number.
func (c *Cluster) checkVersions(ticked *Front) {
	s := c.State()
	if c.Options.SparseChecks && c.lastChangeIndex == c.checkedIndex && c.Now-c.checkedAt < c.Timing.TickInterval() {
		c.checkFront(ticked, s)
		return
	}
	c.checkedIndex, c.checkedAt = c.lastChangeIndex, c.Now
	for _, f := range c.Fronts {
		c.checkFront(f, s)
	}
}

func (c *Cluster) checkFront(f *Front, s rollout.State) {
	if !f.host.Up() || f.Participant == nil {
		return
	}
	if f.host.Node.Isolated() || f.host.Paused() {
		f.lastIsolated = c.Now
	}
	for _, version := range f.Core.ActiveVersions() {
		c.checkVersion(f, s, version)
	}
}

func (c *Cluster) checkVersion(f *Front, s rollout.State, version uint64) {
	if version == s.Base || s.Next != 0 && version == s.Next {
		return
	}
	if !c.Options.Rollout.StopWhenIsolated && c.Now-f.lastIsolated <= c.Timing.LeaseDuration*3/2 {
		return // it was isolated until a moment ago, and has not adopted the version in force yet
	}
	c.Violationf("%s acts on version %d, and in force are %d and %d (%v)", f.Name, version, s.Base, s.Next, s.Phase)
}

// rolloutSteady reports whether the rollout has ended, or waits for an operator, and no front waits for it.
func (c *Cluster) rolloutSteady() bool {
	s := c.State()
	if s.Phase != rollout.PhaseSteady && !s.Paused {
		return false
	}
	for _, f := range c.Fronts {
		if f.Core.Standby() || !s.Paused && f.Core.ConfigVersion() != s.Base {
			return false
		}
	}
	return true
}

// AwaitRecovery ends all faults, waits until the rollout has been steady for a while, at most for timeout, and returns the violations:
// of an invariant on the way, a rollout that is neither all new nor all old, a front on another version, a request without its one
// response, a write with two effects.
func (c *Cluster) AwaitRecovery(timeout time.Duration) []string {
	c.Heal()
	for _, h := range c.Hosts {
		h.Resume()
		if !h.Up() {
			h.Start()
		}
	}
	// An action submitted before may start another rollout: it is waited for as long as such an action lives.
	settleTime := c.Options.Load.Deadline + 2*c.Timing.LeaseDuration
	steadySince := c.Now
	for end := c.Now + timeout; c.Now < end && len(c.Violations) == 0 && c.Now < steadySince+settleTime; {
		c.Run(250 * time.Millisecond)
		if !c.rolloutSteady() {
			steadySince = c.Now
		}
	}
	if len(c.Violations) > 0 {
		return c.Violations
	}
	if !c.rolloutSteady() {
		s := c.State()
		c.Violationf("rollout did not become steady: %v of version %d to %d, %s", s.Phase, s.Base, s.Next, s.Reason)
		for _, f := range c.Fronts {
			c.Violationf("%s acts on version %d, standby %v, isolated %v", f.Name, f.Core.ConfigVersion(), f.Core.Standby(), f.host.Node.Isolated())
		}
	}
	for _, x := range c.Requests {
		c.checkRequest(x)
	}
	return c.Violations
}

// checkRequest checks a request's responses and effects. One whose front restarted, or whose deadline is not over, may lack a response.
func (c *Cluster) checkRequest(x *Request) {
	lastDue := c.Now - c.Options.Load.Deadline - time.Second
	switch {
	case x.Responses > 1:
		c.Violationf("request %s of %s got %d responses", x.ID, x.Front, x.Responses)
	case x.Responses == 0 && x.ReceivedAt >= c.front(x.Front).startedAt && x.ReceivedAt < lastDue:
		c.Violationf("request %s of %s got no response", x.ID, x.Front)
	}
	for _, s := range c.Servers {
		if s.Effects[x.ID] > 1 {
			c.Violationf("write %s took effect %d times", x.ID, s.Effects[x.ID])
		}
	}
}
