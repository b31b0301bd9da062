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

// queueKey is the key of the queued publications, for operators. The queue itself is the controller's: the fronts at which
// publications were made repeat them until their outcome stands in the state, so that the next leaseholder queues them too.
const queueKey = "roll/queue"

// maxQueued is the most publications that are queued; it is less than the outcomes that are stored, so that each is seen by its front.
const maxQueued = maxOutcomes / 2

// minOverdue is the shortest time, in lease durations, for which a publication is queued.
const minOverdue = 6

// publication is a queued publication.
type publication struct {
	action  Action
	from    string            // the front at which it was made
	changes map[string]string // against the version that it was made on
	within  time.Duration
	since   time.Duration
}

// QueuedPublication is a queued publication, as stored for operators.
type QueuedPublication struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Front   string // at which it was made
	Base    uint64 // the version that it was made on
	Changes string // the rules that it changes
}

// DecodeMsgpack decodes a QueuedPublication of this or another version of the program.
func (w *QueuedPublication) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &w.Front, &w.Base, &w.Changes)
}

// QueuedPublications returns the publications that are queued for the next version, in their order.
func QueuedPublications(r *fleet.ReplicatedState) (all []QueuedPublication) {
	if e := r.Values[queueKey]; e != nil && msgpack.Unmarshal(e.Value, &all) != nil {
		return nil
	}
	return all
}

// queuesPublications reports whether publications wait for a version that is being rolled out, rather than being rejected.
func (c *Controller) queuesPublications() bool {
	return c.options.InForceWithin > 0 && c.options.Rules != nil
}

// queueWrite returns the queue's value; changed is false where it is stored already.
func (c *Controller) queueWrite(r *fleet.ReplicatedState) (w valueWrite, changed bool) {
	var all []QueuedPublication
	for _, p := range c.publications {
		all = append(all, QueuedPublication{Front: p.from, Base: p.action.Base, Changes: describe(p.changes)})
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

// admit queues a publication. One that was made on an older version than the newest, and changes a rule that this changes otherwise,
// is in conflict: its operator has not seen the newest. The error is a rejection.
func (c *Controller) admit(in *stepInput, submitted submittedAction) error {
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

// changesOf returns what a publication changes. The error is a conflict, or rules that can't be read.
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
	if keys := conflict(changes, changesBetween(before, newest)); len(keys) > 0 {
		return nil, rejectf(ErrConflict, "it was made on version %d, and version %d, which is on its way, changes %s as well: look again",
			action.Base, s.Next, listNames(keys))
	}
	return changes, nil
}

// serveQueue begins the next version out of the queued publications, and rejects those that waited for too long. It returns false
// where nothing was to be done.
func (c *Controller) serveQueue(in *stepInput) bool {
	c.publications = slices.DeleteFunc(c.publications, func(p publication) bool {
		_, done := in.state.Outcome(p.action.ID)
		return done
	})
	if w, changed := c.queueWrite(in.replicated); changed {
		c.writer.set(w)
		return true
	}
	if len(c.publications) == 0 {
		return false
	}
	if in.state.Phase == PhaseSteady && len(c.unknownFronts(in)) == 0 {
		c.beginMerged(in)
		return true
	}
	return c.rejectOverdue(in)
}

// rejectOverdue rejects publications that waited for their time: no operator waits without an answer.
func (c *Controller) rejectOverdue(in *stepInput) bool {
	s := in.state
	err := rejectf(ErrRolloutInProgress, "version %d is on its way still (%v): wait for it, or take it back first", s.Next, s.Phase)
	if s.Phase == PhaseSteady {
		err = c.checkTimedPublication(in)
	}
	var outcomes []Outcome
	for _, p := range c.publications {
		if in.now-p.since > max(p.within, minOverdue*c.options.Timing.LeaseDuration) {
			outcomes = append(outcomes, outcomeOf(p.action.ID, err))
		}
	}
	if len(outcomes) == 0 {
		return false
	}
	c.writer.set(stateWrite(s.withOutcomes(outcomes...), ""))
	return true
}

// beginMerged begins a version that consists of all queued publications.
func (c *Controller) beginMerged(in *stepInput) {
	base := ruleVersion{number: in.state.Base, text: VersionText(in.replicated, in.state.Base), hash: in.state.RulesHashes[0]}
	merged, err := merge(c.publications, c.options.Rules, base)
	if err != nil {
		for _, p := range c.publications {
			merged.reject(p, err)
		}
	}
	s := in.state.withOutcomes(merged.outcomes...)
	if merged.count == 0 {
		c.writer.set(stateWrite(s, ""))
		return
	}
	reason := fmt.Sprintf("version %d is published", s.LastVersion+1)
	if merged.count > 1 {
		reason += fmt.Sprintf(", of %d publications", merged.count)
	}
	c.begin(in, s, newVersion{merged.action, merged.within, reason})
}
