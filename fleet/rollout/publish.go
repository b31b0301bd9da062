package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// applyAction carries out an operator's action, or rejects it. The outcome is stored together with the change of state.
func (c *Controller) applyAction(in *stepInput, action Action) {
	if err := c.checkAction(in, action); err != nil {
		c.writer.replaceQueued(stateWrite(in.state.withOutcomes(outcomeOf(action.ID, err)), ""))
		return
	}
	s := in.state.withOutcomes(outcomeOf(action.ID, nil))
	switch action.Type {
	case ActionRollBack:
		c.rollBack(s, "taken back: "+action.Reason)
	case ActionPause:
		s.Paused = true
		c.writer.replaceQueued(stateWrite(s, "held: "+action.Reason))
	case ActionResume:
		s.Paused = false
		c.writer.replaceQueued(stateWrite(s, "goes on: "+action.Reason))
	case ActionPublish:
		within := cmp.Or(action.InForceWithin, c.options.InForceWithin)
		c.startRollout(in, s, newVersion{action, within, fmt.Sprintf("version %d is published", s.LastVersion+1)})
	}
}

// checkAction checks an action against the state. It returns the reason if the action is rejected.
func (c *Controller) checkAction(in *stepInput, action Action) error {
	s := in.state
	switch {
	case action.Type != ActionPublish && s.Next == 0:
		return rejectf(ErrNoRollout, "no version is on its way")
	case action.Type == ActionRollBack && s.Phase == PhaseFinishing:
		return rejectf(ErrRolloutFinishing, "version %d is being finished: publish the old rules anew", s.Next)
	case action.Type != ActionPublish:
		return nil
	case s.Next != 0:
		return rejectf(ErrRolloutInProgress, "version %d is on its way (%v): wait for it, or take it back first", s.Next, s.Phase)
	case action.Base != s.Base:
		return outdatedError(s, action)
	case action.RulesHash == s.RulesHashes[0] && s.Base > 0:
		return unchangedError(s.Base)
	case !validStages(action.Stages):
		return invalidStagesError()
	}
	if within := cmp.Or(action.InForceWithin, c.options.InForceWithin); within > 0 {
		if err := CheckInForceWithin(c.options.Timing, c.options.ConfigLease, within); err != nil {
			return err
		}
		return c.checkTimedPublication(in)
	}
	return c.checkPublication(in)
}

// newVersion is the action that publishes a version, with the deadline and the reason of the rollout that it starts.
type newVersion struct {
	Action
	within time.Duration // 0 for no deadline
	reason string        // stored in the state
}

// startRollout starts the rollout of a version. The text of the version is stored before the state that names it.
func (c *Controller) startRollout(in *stepInput, s State, v newVersion) {
	s.LastVersion++
	s.Next, s.Mandatory, s.Phase, s.Paused = s.LastVersion, v.Mandatory, PhaseRolling, false
	s.Stages, s.Stage, s.ObservationTime, s.MaxFenced = v.Stages, 0, v.ObservationTime, v.MaxFenced
	s.RulesHashes[1], s.UnconfirmedFronts = v.RulesHash, nil
	s.CutoffRank = cutoffRank(in.fronts(), s.Next, v.Stages[0])
	writes := []valueWrite{{textKey(s.Next), v.Text}}
	if v.within > 0 {
		d := deadline{Version: s.Next, InForceWithin: v.within, OnUndecided: v.OnUndecided}
		writes = append(writes, c.fenceableWrite(in.replicated), valueWrite{deadlineKey, encode(&d)})
	}
	c.writer.replaceQueued(append(writes, allowedWrite(s.Base, s.Next), stateWrite(s, v.reason))...)
}

// invalidStagesError rejects a publication whose stages do not increase to the whole fleet.
func invalidStagesError() error { return rejectf(ErrInvalidStages, "waves rise to 100%%") }

// validStages reports whether the stages increase to the whole fleet, which is 1000 thousandths.
func validStages(stages []uint16) bool {
	return len(stages) > 0 && stages[0] > 0 && stages[len(stages)-1] == 1000 && slices.IsSorted(stages)
}

// outdatedError rejects a publication whose operator has not seen the version in force.
func outdatedError(s State, action Action) error {
	return rejectf(ErrOutdatedBase, "version %d is in force, and the wish was made on version %d: look again", s.Base, action.Base)
}

// unchangedError rejects a publication whose rules mean the same as those of the version in force.
func unchangedError(base uint64) error {
	return rejectf(ErrRulesUnchanged, "the rules mean the same as those of version %d, which is in force", base)
}

// mustDefer reports whether a publication with a deadline has to wait for reports of fronts that a new leader has not received yet. It
// waits no longer than its deadline.
func (c *Controller) mustDefer(in *stepInput, action Action) bool {
	within := cmp.Or(action.InForceWithin, c.options.InForceWithin)
	if action.Type != ActionPublish || within == 0 || in.state.Next != 0 || c.checkFrontSettings(in) != nil ||
		len(c.unconfirmedFronts(in)) == 0 {
		return false
	}
	if c.deferred.id != action.ID {
		c.deferred = deferredAction{action.ID, in.now}
	}
	return in.now-c.deferred.since < within
}
