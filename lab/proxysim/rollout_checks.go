package proxysim

import (
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// rolloutChecks is the state that the checks of the rollouts' invariants keep.
type rolloutChecks struct {
	lastChangeIndex uint64            // log index of the last of Cluster.RolloutChanges
	checkedIndex    uint64            // lastChangeIndex when the versions of all fronts were last checked
	checkedAt       time.Duration     // when the versions of all fronts were last checked
	outcomes        map[uint64]string // outcome of each operator's action, by action ID: the reason of the rejection, or ""
}

// recordRolloutChange records the state of the rollout in a node's replicated state, if no front had it before.
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

// RolloutState returns the latest state of the rollout that any front has had.
func (c *Cluster) RolloutState() rollout.State {
	if len(c.RolloutChanges) == 0 {
		return rollout.State{}
	}
	return c.RolloutChanges[len(c.RolloutChanges)-1].State
}

// checkOutcomes checks the outcomes in a state of the rollout: each operator's action has at most one, and it is the same as in the
// states checked before.
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

// checkVersions checks, at the tick of a front, that all fronts act only on the rollout's Base or Next. Fronts that were isolated until
// recently are exempt unless StopWhenIsolated is set. With SparseChecks a tick checks only its own front; all fronts are checked once
// per tick interval and at each change of the rollout. A check of all fronts at the tick of each would be quadratic in their number.
func (c *Cluster) checkVersions(ticked *Front) {
	s := c.RolloutState()
	if c.Options.SparseChecks && c.lastChangeIndex == c.checkedIndex && c.Now-c.checkedAt < c.Timing.TickInterval() {
		c.checkFront(ticked, s)
		return
	}
	c.checkedIndex, c.checkedAt = c.lastChangeIndex, c.Now
	for _, f := range c.Fronts {
		c.checkFront(f, s)
	}
}

// checkFront checks every version on which a front may start an attempt now, and notes whether the front is isolated or paused.
func (c *Cluster) checkFront(f *Front, s rollout.State) {
	if !f.host.Up() || f.Participant == nil {
		return
	}
	if f.host.Node.Isolated() || f.host.Paused() {
		f.lastIsolatedAt = c.Now
	}
	for _, version := range f.Core.ActiveVersions() {
		c.checkVersion(f, s, version)
	}
}

// checkVersion records a violation if a front must not act on a version in the given state of the rollout.
func (c *Cluster) checkVersion(f *Front, s rollout.State, version uint64) {
	if version == s.Base || s.Next != 0 && version == s.Next {
		return
	}
	if !c.Options.Rollout.StopWhenIsolated && c.Now-f.lastIsolatedAt <= c.Timing.LeaseDuration*3/2 {
		return // the front was isolated until recently and has not adopted the version in force yet
	}
	c.Violationf("%s acts on version %d, but versions %d and %d are in force (%v)", f.Name, version, s.Base, s.Next, s.Phase)
}

// rolloutSteady reports whether the rollout has ended or is paused for an operator, and no front is on standby. Unless it is paused,
// all fronts must also act on the version in force.
func (c *Cluster) rolloutSteady() bool {
	s := c.RolloutState()
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

// AwaitRecovery ends all faults, waits until the rollout has been steady for a while or the timeout has passed, and returns the
// violations. A violation is a broken invariant of the run, a rollout that did not become steady, a front on a wrong version, a request
// without exactly one response, or a write that took effect more than once.
func (c *Cluster) AwaitRecovery(timeout time.Duration) []string {
	c.Heal()
	for _, h := range c.Hosts {
		h.Resume()
		if !h.Up() {
			h.Start()
		}
	}
	// An action that was submitted earlier may still start another rollout, so the rollout must stay steady for this time.
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
		s := c.RolloutState()
		c.Violationf("rollout did not become steady: %v of version %d to %d, %s", s.Phase, s.Base, s.Next, s.Reason)
		for _, f := range c.Fronts {
			c.Violationf("%s acts on version %d, standby %v, isolated %v", f.Name, f.Core.ConfigVersion(), f.Core.Standby(), f.host.Node.Isolated())
		}
	}
	for _, request := range c.Requests {
		c.checkRequest(request)
	}
	return c.Violations
}

// checkRequest checks the number of a request's responses and effects. A request may lack a response if its front has restarted since
// or if its deadline has not clearly passed.
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
