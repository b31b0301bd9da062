package rollout

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// queueKey is the key under which the queued publications are stored, for operators only. The queue itself is in the Controller. The
// fronts at which publications were made send them again until the state has their outcome, so that the next leaseholder queues them too.
const queueKey = "roll/queue"

// maxQueued is the maximum number of queued publications. It is less than the number of stored outcomes, so that an outcome is not
// dropped before the publication's front has seen it.
const maxQueued = maxOutcomes / 2

// minQueueTime is the shortest time for which a publication stays queued before it is rejected, in lease durations.
const minQueueTime = 6

// publication is an operator's publication that waits in the queue to be merged into the next version.
type publication struct {
	action  Action
	from    string            // the front at which it was made
	changes map[string]string // relative to the version on which it was made
	within  time.Duration     // time within which it has to be in force at all fronts
	since   time.Duration     // when it was queued
}

// QueuedPublication describes a queued publication, as stored for operators.
type QueuedPublication struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Front   string // at which it was made
	Base    uint64 // the version on which it was made
	Changes string // the rules that it changes, as a text
}

// DecodeMsgpack decodes a QueuedPublication that was encoded by this or another version of the program.
func (w *QueuedPublication) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &w.Front, &w.Base, &w.Changes)
}

// QueuedPublications returns the publications that are queued for the next version, in the order in which they arrived.
func QueuedPublications(r *fleet.ReplicatedState) (all []QueuedPublication) {
	if e := r.Values[queueKey]; e != nil && msgpack.Unmarshal(e.Value, &all) != nil {
		return nil
	}
	return all
}

// queuesPublications reports whether publications that arrive during a rollout are queued for the next version. Else they are rejected.
func (c *Controller) queuesPublications() bool {
	return c.options.InForceWithin > 0 && c.options.Rules != nil
}

// queueWrite returns the write that stores the queue. changed is false if the queue is stored already.
func (c *Controller) queueWrite(r *fleet.ReplicatedState) (w valueWrite, changed bool) {
	var all []QueuedPublication
	for _, p := range c.publications {
		all = append(all, QueuedPublication{Front: p.from, Base: p.action.Base, Changes: listChangedRules(p.changes)})
	}
	w.key = queueKey
	if len(all) > 0 {
		w.value = encode(all)
	}
	var stored []byte
	if e := r.Values[queueKey]; e != nil {
		stored = e.Value
	}
	return w, !bytes.Equal(stored, w.value)
}

// enqueue queues a publication, or returns why it is rejected. A publication that was made on an older version than the newest one, and
// sets a rule differently from the newest one, is in conflict, because its operator has not seen the newest version.
func (c *Controller) enqueue(in *stepInput, submitted submittedAction) error {
	action, s := submitted.Action, in.state
	if slices.ContainsFunc(c.publications, func(p publication) bool { return p.action.ID == action.ID }) {
		return nil
	}
	within := cmp.Or(action.InForceWithin, c.options.InForceWithin)
	if err := CheckInForceWithin(c.options.Timing, c.options.ConfigLease, within); err != nil {
		return err
	}
	if err := c.checkFrontSettings(in); err != nil {
		return err
	}
	switch {
	case len(c.publications) >= maxQueued:
		return rejectf(ErrQueueFull, "%d publications wait, and no more can: try again when version %d is in force", len(c.publications), s.Next)
	case !validStages(action.Stages):
		return invalidStagesError()
	case action.Base != s.Base && (s.Next == 0 || action.Base != s.Next || s.Phase == PhaseRollingBack):
		return outdatedError(s, action)
	}
	changes, err := c.changesOf(in, action)
	if err != nil {
		return err
	}
	c.publications = append(c.publications, publication{action: action, from: submitted.from, changes: changes, within: within, since: in.now})
	return nil
}

// changesOf returns the rules that a publication changes. It returns an error if they conflict with the version that is being rolled out,
// or if a version's rules can't be read.
func (c *Controller) changesOf(in *stepInput, action Action) (changes map[string]string, err error) {
	r, s := in.replicated, in.state
	before, err := c.options.Rules.Split(VersionText(r, action.Base))
	if err != nil {
		return nil, err
	}
	after, err := c.options.Rules.Split(action.Text)
	if err != nil {
		return nil, err
	}
	changes = changesBetween(before, after)
	if s.Next == 0 || action.Base == s.Next || s.Phase == PhaseRollingBack {
		return changes, nil
	}
	newest, err := c.options.Rules.Split(VersionText(r, s.Next))
	if err != nil {
		return nil, err
	}
	if keys := conflictingRules(changes, changesBetween(before, newest)); len(keys) > 0 {
		return nil, rejectf(ErrConflict, "it was made on version %d, and version %d, which is on its way, changes %s as well: look again",
			action.Base, s.Next, listNames(keys))
	}
	return changes, nil
}

// processQueue stores the queue for operators if it has changed. Else, if no rollout is in progress and every front is known to use only
// the version in force, it starts the rollout of a version that merges the queued publications; if not, it rejects those that have waited
// for too long. It returns false if there is nothing to do.
func (c *Controller) processQueue(in *stepInput) bool {
	c.publications = slices.DeleteFunc(c.publications, func(p publication) bool {
		_, done := in.state.Outcome(p.action.ID)
		return done
	})
	if w, changed := c.queueWrite(in.replicated); changed {
		c.writer.replaceQueued(w)
		return true
	}
	if len(c.publications) == 0 {
		return false
	}
	if in.state.Phase == PhaseSteady && len(c.unconfirmedFronts(in)) == 0 {
		c.startMergedRollout(in)
		return true
	}
	return c.rejectOverdue(in)
}

// rejectOverdue rejects publications that have waited for too long, so that no operator waits without an answer. It returns false if
// there are none.
func (c *Controller) rejectOverdue(in *stepInput) bool {
	s := in.state
	err := rejectf(ErrRolloutInProgress, "version %d is on its way still (%v): wait for it, or take it back first", s.Next, s.Phase)
	if s.Phase == PhaseSteady {
		err = c.checkTimedPublication(in)
	}
	var outcomes []Outcome
	for _, p := range c.publications {
		if in.now-p.since > max(p.within, minQueueTime*c.options.Timing.LeaseDuration) {
			outcomes = append(outcomes, outcomeOf(p.action.ID, err))
		}
	}
	if len(outcomes) == 0 {
		return false
	}
	c.writer.replaceQueued(stateWrite(s.withOutcomes(outcomes...), ""))
	return true
}

// startMergedRollout starts the rollout of a version that merges all queued publications.
func (c *Controller) startMergedRollout(in *stepInput) {
	base := ruleVersion{number: in.state.Base, text: VersionText(in.replicated, in.state.Base), hash: in.state.RulesHashes[0]}
	merged, err := merge(c.publications, c.options.Rules, base)
	if err != nil {
		for _, p := range c.publications {
			merged.reject(p, err)
		}
	}
	s := in.state.withOutcomes(merged.outcomes...)
	if merged.count == 0 {
		c.writer.replaceQueued(stateWrite(s, ""))
		return
	}
	reason := fmt.Sprintf("version %d is published", s.LastVersion+1)
	if merged.count > 1 {
		reason += fmt.Sprintf(", of %d publications", merged.count)
	}
	c.startRollout(in, s, newVersion{merged.action, merged.within, reason})
}
