package rollout

import (
	"fmt"
	"slices"
	"strings"
)

// finish ends a rollout once no front uses the old version.
func (c *Controller) finish(in *stepInput) {
	s := in.state
	unconfirmed, othersConfirmed := c.onOtherVersions(in, s.Next)
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
	c.writer.set(stateWrite(next, reason), valueWrite{textKey(s.Base), nil})
}

// finishRollBack disallows the new version, and ends a rollout that is rolled back once no front uses it. Fronts that are reachable
// roll back by themselves first, so that no lease ends under their requests.
func (c *Controller) finishRollBack(in *stepInput) {
	s := in.state
	if allowed, _ := in.replicated.AllowedVersions(); allowed.Max != s.Base {
		if c.countOn(in, s.Next) == 0 || in.now-c.stage.openedAt > c.options.ConfigLease/2 {
			c.writer.set(allowedWrite(s.Base, s.Base))
		}
		return
	}
	if unconfirmed, othersConfirmed := c.onOtherVersions(in, s.Base); othersConfirmed {
		next := s
		next.Next, next.Phase, next.UnconfirmedFronts, next.RulesHashes[1] = 0, PhaseSteady, unconfirmed, ""
		c.writer.set(stateWrite(next, ""), valueWrite{textKey(s.Next), nil})
	}
}

// onOtherVersions returns the fronts that may use another version than all should; othersConfirmed reports whether the others provably do
// not. Such a front is on the right version, and reported so after this phase began (before it, it may have adopted the other since),
// or its lease on another has expired since that was disallowed.
func (c *Controller) onOtherVersions(in *stepInput, version uint64) (unconfirmed []string, othersConfirmed bool) {
	r := in.replicated
	waited := c.allowed.index != 0 && in.now-c.allowed.since > c.options.Timing.ExpiredAfter(c.options.ConfigLease)
	timed := in.deadline().InForceWithin > 0
	stored := readBounded(r)
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
		othersConfirmed = othersConfirmed && (waited || timed && c.reports.proof.expired(name, c.allowed.since))
		if timed && !ok && !stored.has(name, r.Fronts[name].Incarnation) {
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

// countOn counts the fronts that are reachable and use a version.
func (c *Controller) countOn(in *stepInput, version uint64) (n int) {
	for name := range in.replicated.Fronts {
		if t, ok := c.reports.latest[name]; ok && t.ActiveVersion == version && t.Age <= c.options.Timing.LeaseDuration {
			n++
		}
	}
	return n
}
