package rollout

import (
	"maps"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// ControllerOptions configure a Controller.
type ControllerOptions struct {
	Timing        fleet.Timing
	ConfigLease   time.Duration
	InForceWithin time.Duration // for versions that are published without a time; 0 for none
	Rules         RuleSet       // to merge publications that are queued; nil where none may
}

// Controller runs rollouts at the leaseholder. What must survive it is in the replicated state; the rest (for how long a stage was
// observed, what its fronts served) begins anew with another leaseholder, which only makes a rollout slower.
type Controller struct {
	options      ControllerOptions
	actions      []submittedAction // not carried out yet, in order
	publications []publication     // accepted for the next version, in order
	deferred     deferredAction
	writer       valueWriter
	reports      reportCollector
	allowed      allowedVersions
	rollout      rolloutStart
	stage        stageObservation
}

// submittedAction is an action and the front that sent it.
type submittedAction struct {
	Action
	from string
}

// deferredAction is the publication that waits until all fronts are known.
type deferredAction struct {
	id    uint64
	since time.Duration
}

// allowedVersions is the value of fleet.AllowedVersionsKey that the controller saw last.
type allowedVersions struct {
	index uint64 // of the value, 0 for none
	since time.Duration
}

// rolloutStart is when this controller first saw the version that is being rolled out.
type rolloutStart struct {
	version uint64
	at      time.Duration
}

// stepInput is what one step of the controller decides on.
type stepInput struct {
	now        time.Duration
	replicated *fleet.ReplicatedState
	state      State
}

// deadline returns the deadline of the version that is being rolled out.
func (in *stepInput) deadline() deadline { return readDeadline(in.replicated, in.state) }

// fronts returns the names of all fronts, sorted.
func (in *stepInput) fronts() []string { return sortedFronts(in.replicated) }

func sortedFronts(r *fleet.ReplicatedState) []string { return slices.Sorted(maps.Keys(r.Fronts)) }

// NewController makes a Controller for a front that has acquired the lease.
func NewController(o ControllerOptions) *Controller {
	return newController(o, &leaseProof{expiredAfter: o.Timing.ExpiredAfter(o.ConfigLease)})
}

// newController makes a Controller whose proof may know for how long the present leader has led.
func newController(o ControllerOptions, proof *leaseProof) *Controller {
	return &Controller{
		options: o,
		reports: reportCollector{latest: map[string]fleet.MemberReport{}, proof: proof},
		stage:   stageObservation{samples: map[string]sample{}, adopted: map[string]adoptedFront{}},
	}
}

// Submit adds an operator's action that a front sent. A repeated one changes nothing.
func (c *Controller) Submit(from string, action Action) {
	submitted := func(other submittedAction) bool { return other.ID == action.ID }
	if len(c.actions) < maxOutcomes && !slices.ContainsFunc(c.actions, submitted) {
		c.actions = append(c.actions, submittedAction{action, from})
	}
}

// OnRequestDone handles the end of a request of this controller.
func (c *Controller) OnRequestDone(now time.Duration, e fleet.RequestDone) {
	switch e.ID {
	case c.writer.pending:
		c.writer.requestDone(e.Error == "")
	case c.reports.pending:
		c.reports.requestDone(now, e)
	}
}

// Step continues the rollout as the leaseholder. It stores one value at a time.
func (c *Controller) Step(now time.Duration, n *fleet.Node) {
	r := n.State()
	s, ok := ReadState(r)
	if !ok || n.Isolated() {
		return
	}
	if s.Phase != PhaseSteady || len(c.actions) > 0 || len(c.publications) > 0 {
		c.reports.request(now, n, c.options.Timing.HeartbeatInterval())
	}
	if _, index := r.AllowedVersions(); index != c.allowed.index {
		c.allowed = allowedVersions{index, now}
	}
	c.reports.proof.confirm(n.LeaseConfirmed(Lease))
	if s.Next != c.rollout.version {
		c.rollout = rolloutStart{s.Next, now}
	}
	if c.writer.pending != 0 {
		return
	}
	if c.writer.idle() {
		c.plan(&stepInput{now, r, s})
	}
	c.writer.writeNext(now, n)
}

// plan decides what to store next.
func (c *Controller) plan(in *stepInput) {
	c.stage.begin(in)
	known := c.reports.recent(in.now, c.options.Timing.LeaseDuration)
	if len(c.actions) > 0 {
		if known { // an action is accepted only where all fronts are known to allow it
			c.takeAction(in)
		}
		return
	}
	if c.queuesPublications() && known && c.serveQueue(in) {
		return
	}
	if in.state.Phase == PhaseSteady || !c.reports.unevaluated {
		return
	}
	c.reports.unevaluated = false
	switch in.state.Phase {
	case PhaseRolling:
		c.checkStage(in)
	case PhaseFinishing:
		c.finish(in)
	case PhaseRollingBack:
		c.finishRollBack(in)
	}
}

// takeAction carries out the next action, rejects it, or defers it.
func (c *Controller) takeAction(in *stepInput) {
	action := c.actions[0]
	queued := c.queuesPublications() && action.Type == ActionPublish
	if !queued && c.mustDefer(in, action.Action) {
		return
	}
	c.actions = c.actions[1:]
	if _, done := in.state.Outcome(action.ID); done {
		return
	}
	if !queued {
		c.apply(in, action.Action)
		return
	}
	if err := c.admit(in, action); err != nil {
		c.writer.set(stateWrite(in.state.withOutcomes(outcomeOf(action.ID, err)), ""))
	}
}

// rollBack begins to roll the next version back.
func (c *Controller) rollBack(s State, reason string) {
	s.Phase, s.Paused = PhaseRollingBack, false
	c.writer.set(stateWrite(s, reason))
}
