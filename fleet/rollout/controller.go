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
	InForceWithin time.Duration // default for versions that are published without a time; 0 for none
	Rules         RuleSet       // merges queued publications; nil disables the queue
}

// Controller runs rollouts at the leaseholder. Everything that must survive a change of leaseholder is in the replicated state. The rest,
// such as for how long a stage was observed and what its fronts served, starts anew with another leaseholder. That only makes a rollout
// slower.
type Controller struct {
	options      ControllerOptions
	actions      []submittedAction // not carried out yet, in the order in which they arrived
	publications []publication     // queued for the next version, in the order in which they arrived
	deferred     deferredAction
	writer       valueWriter
	reports      reportCollector
	allowed      allowedVersions
	rollout      rolloutStart
	stage        stageObservation
}

// submittedAction is an action together with the front that sent it.
type submittedAction struct {
	Action
	from string
}

// deferredAction identifies the publication that waits for the reports of all fronts.
type deferredAction struct {
	id    uint64
	since time.Duration
}

// allowedVersions records since when the value of fleet.AllowedVersionsKey is the one that the controller saw last.
type allowedVersions struct {
	index uint64 // of the value, 0 for none
	since time.Duration
}

// rolloutStart records when this controller first saw the version that is being rolled out.
type rolloutStart struct {
	version uint64
	at      time.Duration
}

// stepInput is the input of one step of the controller.
type stepInput struct {
	now        time.Duration
	replicated *fleet.ReplicatedState
	state      State
}

// deadline returns the deadline of the version that is being rolled out, or the zero value if it has none.
func (in *stepInput) deadline() deadline { return readDeadline(in.replicated, in.state) }

// fronts returns the names of all fronts, sorted.
func (in *stepInput) fronts() []string { return sortedFronts(in.replicated) }

// sortedFronts returns the names of all fronts in the replicated state, sorted.
func sortedFronts(r *fleet.ReplicatedState) []string { return slices.Sorted(maps.Keys(r.Fronts)) }

// NewController makes a Controller for a front that has acquired the lease.
func NewController(o ControllerOptions) *Controller {
	return newController(o, &leaseProof{expiredAfter: o.Timing.ConfigLeaseExpiredAfter(o.ConfigLease)})
}

// newController makes a Controller with a proof that may know already for how long the present leader has led.
func newController(o ControllerOptions, proof *leaseProof) *Controller {
	return &Controller{
		options: o,
		reports: reportCollector{latest: map[string]fleet.MemberReport{}, proof: proof},
		stage:   stageObservation{samples: map[string]sample{}, adopted: map[string]adoptedFront{}},
	}
}

// Submit adds an operator's action that was sent by a front. It ignores an action that waits already, and any action while maxOutcomes
// actions wait; the front sends it again.
func (c *Controller) Submit(from string, action Action) {
	submitted := func(other submittedAction) bool { return other.ID == action.ID }
	if len(c.actions) < maxOutcomes && !slices.ContainsFunc(c.actions, submitted) {
		c.actions = append(c.actions, submittedAction{action, from})
	}
}

// OnRequestDone handles the result of one of this controller's requests to the fleet.
func (c *Controller) OnRequestDone(now time.Duration, e fleet.RequestDone) {
	switch e.ID {
	case c.writer.pending:
		c.writer.requestDone(e.Error == "")
	case c.reports.pending:
		c.reports.requestDone(now, e)
	}
}

// Step continues the rollout. It stores at most one value at a time.
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
		c.planWrites(&stepInput{now, r, s})
	}
	c.writer.writeNext(now, n)
}

// planWrites decides what the Controller does next, and queues the values of the replicated state that this changes: it carries out the
// action that waits longest; else it processes the queue of publications; else, once for each new answer with the fronts' reports, it
// continues the phase of the rollout in progress. It is called while no write is queued or in progress.
func (c *Controller) planWrites(in *stepInput) {
	c.stage.resetIfStageChanged(in)
	known := c.reports.recent(in.now, c.options.Timing.LeaseDuration)
	if len(c.actions) > 0 {
		if known { // the checks of an action need recent reports of the fronts
			c.takeAction(in)
		}
		return
	}
	if c.queuesPublications() && known && c.processQueue(in) {
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

// takeAction carries out, queues, rejects or defers the action that waits longest.
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
		c.applyAction(in, action.Action)
		return
	}
	if err := c.enqueue(in, action); err != nil {
		c.writer.replaceQueued(stateWrite(in.state.withOutcomes(outcomeOf(action.ID, err)), ""))
	}
}

// rollBack starts to roll back the version that is being rolled out.
func (c *Controller) rollBack(s State, reason string) {
	s.Phase, s.Paused = PhaseRollingBack, false
	c.writer.replaceQueued(stateWrite(s, reason))
}
