package rollout

import (
	"fmt"
	"slices"
	"strings"
)

// finish ends the rollout once no front uses the old version any more, apart from those that State.UnconfirmedFronts names: the new
// version becomes the one in force, and the text of the old one is deleted.
func (c *Controller) finish(in *stepInput) {
	s := in.state
	unconfirmed, othersConfirmed := c.frontsOnOtherVersions(in, s.Next)
	if !othersConfirmed {
		return
	}
	next := s
	next.Base, next.Next, next.Phase, next.UnconfirmedFronts = s.Next, 0, PhaseSteady, unconfirmed
	next.RulesHashes = [2]string{s.RulesHashes[1], ""}
	reason := fmt.Sprintf("version %d is in force", s.Next)
	if len(unconfirmed) > 0 {
		reason += "; but " + strings.Join(unconfirmed, ", ") + " may go on on the old one: it hears nobody and serves alone"
	}
	c.writer.replaceQueued(stateWrite(next, reason), valueWrite{textKey(s.Base), nil})
}

// finishRollBack disallows the new version, and ends the rollback once no front uses that version any more. Reachable fronts first get
// time to return to the old version by themselves, so that no lease expires while they process requests.
func (c *Controller) finishRollBack(in *stepInput) {
	s := in.state
	if allowed, _ := in.replicated.AllowedVersions(); allowed.Max != s.Base {
		if c.countReachableFronts(in, s.Next) == 0 || in.now-c.stage.openedAt > c.options.ConfigLease/2 {
			c.writer.replaceQueued(allowedWrite(s.Base, s.Base))
		}
		return
	}
	if unconfirmed, othersConfirmed := c.frontsOnOtherVersions(in, s.Base); othersConfirmed {
		next := s
		next.Next, next.Phase, next.UnconfirmedFronts, next.RulesHashes[1] = 0, PhaseSteady, unconfirmed, ""
		c.writer.replaceQueued(stateWrite(next, ""), valueWrite{textKey(s.Next), nil})
	}
}

// frontsOnOtherVersions checks which fronts may use another version than the given one. unconfirmed names the fronts that may continue to
// use one. othersConfirmed reports whether all other fronts provably do not. A front is confirmed in one of two ways. It uses the given
// version, and reported so with a replicated state that includes the present phase; before that, it may have adopted the other version
// since. Or its lease on another version has expired since that version was disallowed.
func (c *Controller) frontsOnOtherVersions(in *stepInput, version uint64) (unconfirmed []string, othersConfirmed bool) {
	r := in.replicated
	leasesExpired := c.allowed.index != 0 && in.now-c.allowed.since > c.options.Timing.ConfigLeaseExpiredAfter(c.options.ConfigLease)
	hasDeadline := in.deadline().InForceWithin > 0
	stored := readFenceableFronts(r)
	othersConfirmed = true
	phaseIndex := uint64(0)
	if e := r.Values[stateKey]; e != nil {
		phaseIndex = e.Index
	}
	for name := range r.Fronts {
		t, ok := c.reports.latest[name]
		if ok && t.Incarnation == r.Fronts[name].Incarnation && t.ActiveVersion == version && t.Index >= phaseIndex {
			continue
		}
		othersConfirmed = othersConfirmed && (leasesExpired || hasDeadline && c.reports.proof.expired(name, c.allowed.since))
		if hasDeadline && !ok && !stored.has(name, r.Fronts[name].Incarnation) {
			unconfirmed = append(unconfirmed, name)
			continue
		}
		if report, ok := DecodeReport(t.Data); ok && report.ServesIsolated && t.Age > c.options.Timing.LeaseDuration {
			unconfirmed = append(unconfirmed, name)
		}
	}
	slices.Sort(unconfirmed)
	return unconfirmed, othersConfirmed
}

// countReachableFronts returns the number of reachable fronts that use a version.
func (c *Controller) countReachableFronts(in *stepInput, version uint64) (n int) {
	for name := range in.replicated.Fronts {
		if t, ok := c.reports.latest[name]; ok && t.ActiveVersion == version && t.Age <= c.options.Timing.LeaseDuration {
			n++
		}
	}
	return n
}
