package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"dapplerouter/fleet"
)

// apply carries out an operator's action, or refuses it; its outcome is stored with the change of state.
func (c *Controller) apply(now time.Duration, r *fleet.ReplicatedState, s State, action Action) {
	note := func(fault string) State { return s.withOutcomes(Outcome{ID: action.ID, RejectedReason: fault}) }
	refuse := func(format string, args ...any) { c.queue = []put{c.putState(note(fmt.Sprintf(format, args...)), "")} }
	switch {
	case action.Type != ActionPublish && s.Next == 0:
		refuse("no version is on its way")
	case action.Type == ActionRollBack && s.Phase == PhaseFinishing:
		refuse("version %d is being finished: publish the old rules anew", s.Next)
	case action.Type == ActionRollBack:
		c.rollBack(note(""), "taken back: "+action.Reason)
	case action.Type == ActionPause, action.Type == ActionResume:
		x := note("")
		x.Paused = action.Type == ActionPause
		c.queue = []put{c.putState(x, map[bool]string{true: "held: ", false: "goes on: "}[x.Paused]+action.Reason)}
	case s.Next != 0:
		refuse("version %d is on its way (%v): wait for it, or take it back first", s.Next, s.Phase)
	case action.Base != s.Base:
		refuse("%s", outdated(s, action))
	case action.RulesHash == s.RulesHashes[0] && s.Base > 0:
		refuse("the rules mean the same as those of version %d, which is in force", s.Base)
	case !validStages(action.Stages):
		refuse("%s", stagesRise)
	default:
		within := cmp.Or(action.InForceWithin, c.options.InForceWithin)
		why := ""
		if within > 0 {
			why = c.whyNotWithin(r, s, within)
		} else {
			why = c.unfitReason(now, r, s)
		}
		if why != "" {
			refuse("%s", why)
			return
		}
		c.begin(r, note(""), action, within, fmt.Sprintf("version %d is published", s.LastVersion+1))
	}
}

// begin begins to roll a version out; a time of 0 is none.
func (c *Controller) begin(r *fleet.ReplicatedState, s State, action Action, within time.Duration, why string) {
	s.LastVersion++
	s.Next, s.Mandatory, s.Phase, s.Paused = s.LastVersion, action.Mandatory, PhaseRolling, false
	s.Stages, s.Stage, s.ObservationTime, s.MaxFenced, s.RulesHashes[1], s.UnconfirmedFronts = action.Stages, 0, action.ObservationTime, action.MaxFenced, action.RulesHash, nil
	s.CutoffRank = stageCut(c.fronts(r), s.Next, action.Stages[0])
	c.queue = []put{{textKey(s.Next), action.Text}}
	if within > 0 {
		c.queue = append(c.queue, c.putBounded(r), put{deadlineKey, encode(&deadline{Version: s.Next, Within: within, NoEvidence: action.OnUndecided})})
	}
	c.queue = append(c.queue, c.putAllowed(s.Base, s.Next), c.putState(s, why))
}

// stagesRise is what is said of stages that do not.
const stagesRise = "waves rise to 100%"

func validStages(stages []uint16) bool {
	return len(stages) > 0 && stages[0] > 0 && stages[len(stages)-1] == 1000 && slices.IsSorted(stages)
}

// outdated says that an operator has not seen the version in force.
func outdated(s State, action Action) string {
	return fmt.Sprintf("version %d is in force, and the wish was made on version %d: look again", s.Base, action.Base)
}

// mustWait reports whether a publication with a time waits until fronts are known that a new leader has not heard yet. It waits for
// no longer than its time.
func (c *Controller) mustWait(now time.Duration, r *fleet.ReplicatedState, s State, action Action) bool {
	within := cmp.Or(action.InForceWithin, c.options.InForceWithin)
	if action.Type != ActionPublish || within == 0 || s.Next != 0 || c.unfitForGood(r) != "" || len(c.unknownFronts(r, s)) == 0 {
		return false
	}
	if c.waitingFor != action.ID {
		c.waitingFor, c.waitingSince = action.ID, now
	}
	return now-c.waitingSince < within
}

// whyNotWithin says why no version can be published that has to be in force everywhere within a time, "" for nothing.
func (c *Controller) whyNotWithin(r *fleet.ReplicatedState, s State, within time.Duration) string {
	if why, remedy := CheckInForceWithin(c.options.Timing, c.options.ConfigLease, within); why != "" {
		return why + ": " + remedy
	}
	return c.unfitForDeadline(r, s)
}

// takesNoPart is what is said of fronts without the form, or of an older program.
const takesNoPart = " takes no part in versions (no form roll, or an older program): end it, or give it the form"

// unfitReason says why no version can be published now, "" for nothing: a front that does not participate, or one that may still
// use another version than the one in force.
func (c *Controller) unfitReason(now time.Duration, r *fleet.ReplicatedState, s State) string {
	var out, behind []string
	for _, name := range c.fronts(r) {
		t, ok := c.reports[name]
		switch {
		case ok && !t.WantsConfigLease:
			out = append(out, name)
		case ok && t.ActiveVersion == s.Base:
		case !ok || now-c.allowedSince <= c.options.Timing.ExpiredAfter(c.options.ConfigLease) || c.allowedIndex == 0:
			behind = append(behind, name)
		default:
			if report, _ := DecodeReport(t.Data); report.ServesIsolated && t.Age > c.options.Timing.LeaseDuration {
				behind = append(behind, name)
			}
		}
	}
	switch {
	case len(out) > 0:
		return strings.Join(out, ", ") + takesNoPart
	case len(behind) > 0:
		return strings.Join(behind, ", ") + fmt.Sprintf(" may act on another version than %d still: wait, or end it", s.Base)
	}
	return ""
}
