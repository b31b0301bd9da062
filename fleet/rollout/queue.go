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

// queueKey is the key of the publications that wait, for operators. The queue itself is the controller's: the fronts at which
// publications were made repeat them until their outcome stands in the state, so that the next leaseholder takes them up too.
const queueKey = "roll/queue"

// maxWaiting is the most publications that wait; it is less than the outcomes that are kept, so that each is seen by its front.
const maxWaiting = maxOutcomes / 2

// publication is a publication that waits.
type publication struct {
	action  Action
	from    string            // the front at which it was made
	changes map[string]string // against the version that it was made on
	within  time.Duration
	since   time.Duration
}

// QueuedPublication is a publication that waits, as stored for operators.
type QueuedPublication struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Front   string // at which it was made
	Base    uint64 // the version that it was made on
	Changes string // the rules that it changes
}

// DecodeMsgpack decodes a Waiting of this or another version of the program.
func (w *QueuedPublication) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeLenient(d, &w.Front, &w.Base, &w.Changes)
}

// QueuedPublications returns the publications that wait for the next version, in their order.
func QueuedPublications(r *fleet.ReplicatedState) (all []QueuedPublication) {
	if e := r.Values[queueKey]; e != nil && msgpack.Unmarshal(e.Value, &all) != nil {
		return nil
	}
	return all
}

// queues reports whether publications wait for a version that is on its way, rather than being refused.
func (c *Controller) queues() bool { return c.options.InForceWithin > 0 && c.options.Rules != nil }

// putQueue returns the queue's value; changed is false where it is stored already.
func (c *Controller) putQueue(r *fleet.ReplicatedState) (p put, changed bool) {
	var all []QueuedPublication
	for _, w := range c.waiting {
		all = append(all, QueuedPublication{Front: w.from, Base: w.action.Base, Changes: describe(w.changes)})
	}
	p.key = queueKey
	if len(all) > 0 {
		p.value = encode(all)
	}
	var stored []byte
	if e := r.Values[queueKey]; e != nil {
		stored = e.Value
	}
	return p, !bytes.Equal(stored, p.value)
}

// admit takes a publication into the queue, or says why not. One that was made on an older version than the newest, and changes a
// rule that this changes otherwise, is in conflict: its operator has not seen the newest.
func (c *Controller) admit(now time.Duration, r *fleet.ReplicatedState, s State, action Action, from string) (fault string) {
	if slices.ContainsFunc(c.waiting, func(p publication) bool { return p.action.ID == action.ID }) {
		return ""
	}
	within := cmp.Or(action.InForceWithin, c.options.InForceWithin)
	if why, remedy := CheckInForceWithin(c.options.Timing, c.options.ConfigLease, within); why != "" {
		return why + ": " + remedy
	}
	if why := c.unfitForGood(r); why != "" {
		return why
	}
	switch {
	case len(c.waiting) >= maxWaiting:
		return fmt.Sprintf("%d publications wait, and no more can: try again when version %d is in force", len(c.waiting), s.Next)
	case !validStages(action.Stages):
		return stagesRise
	case action.Base != s.Base && (s.Next == 0 || action.Base != s.Next || s.Phase == PhaseRollingBack):
		return outdated(s, action)
	}
	changes, fault := c.changesOf(r, s, action)
	if fault != "" {
		return fault
	}
	c.waiting = append(c.waiting, publication{action: action, from: from, changes: changes, within: within, since: now})
	return ""
}

// changesOf returns what a publication changes, or why it is in conflict.
func (c *Controller) changesOf(r *fleet.ReplicatedState, s State, action Action) (changes map[string]string, fault string) {
	madeOn, err := c.options.Rules.Split(VersionText(r, action.Base))
	if err != nil {
		return nil, err.Error()
	}
	theirs, err := c.options.Rules.Split(action.Text)
	if err != nil {
		return nil, err.Error()
	}
	changes = changesBetween(madeOn, theirs)
	if s.Next == 0 || action.Base == s.Next || s.Phase == PhaseRollingBack {
		return changes, ""
	}
	newest, err := c.options.Rules.Split(VersionText(r, s.Next))
	if err != nil {
		return nil, err.Error()
	}
	if keys := conflict(changes, changesBetween(madeOn, newest)); len(keys) > 0 {
		return nil, fmt.Sprintf("it was made on version %d, and version %d, which is on its way, changes %s as well: look again", action.Base, s.Next, listNames(keys))
	}
	return changes, ""
}

// serveQueue begins the next version out of the publications that wait, and refuses those that waited for too long. It returns false
// where nothing was to be done.
func (c *Controller) serveQueue(now time.Duration, r *fleet.ReplicatedState, s State) bool {
	c.waiting = slices.DeleteFunc(c.waiting, func(p publication) bool {
		_, done := s.Outcome(p.action.ID)
		return done
	})
	if p, changed := c.putQueue(r); changed {
		c.queue = []put{p}
		return true
	}
	if len(c.waiting) == 0 {
		return false
	}
	if s.Phase == PhaseSteady && len(c.unknownFronts(r, s)) == 0 {
		c.beginCoalesced(r, s)
		return true
	}
	return c.refuseOverdue(now, r, s)
}

// refuseOverdue refuses publications that waited for their time: their operators shall not wait without an answer.
func (c *Controller) refuseOverdue(now time.Duration, r *fleet.ReplicatedState, s State) bool {
	why := fmt.Sprintf("version %d is on its way still (%v): wait for it, or take it back first", s.Next, s.Phase)
	if s.Phase == PhaseSteady {
		why = c.unfitForDeadline(r, s)
	}
	var outcomes []Outcome
	for _, p := range c.waiting {
		if now-p.since > max(p.within, 6*c.options.Timing.LeaseDuration) {
			outcomes = append(outcomes, Outcome{ID: p.action.ID, RejectedReason: why})
		}
	}
	if len(outcomes) == 0 {
		return false
	}
	c.queue = []put{c.putState(s.withOutcomes(outcomes...), "")}
	return true
}

// beginCoalesced begins a version that consists of all publications that wait.
func (c *Controller) beginCoalesced(r *fleet.ReplicatedState, s State) {
	next, err := coalesce(c.waiting, c.options.Rules, s.Base, VersionText(r, s.Base), s.RulesHashes[0])
	if err != nil {
		for _, p := range c.waiting {
			next.refuse(p, err.Error())
		}
	}
	s = s.withOutcomes(next.outcomes...)
	if next.merged == 0 {
		c.queue = []put{c.putState(s, "")}
		return
	}
	why := fmt.Sprintf("version %d is published", s.LastVersion+1)
	if next.merged > 1 {
		why += fmt.Sprintf(", of %d publications", next.merged)
	}
	c.begin(r, s, next.action, next.within, why)
}
