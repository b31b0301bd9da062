package rollout

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dapplerouter/fleet"
)

// ControllerOptions configure a Controller.
type ControllerOptions struct {
	Timing        fleet.Timing
	ConfigLease   time.Duration
	InForceWithin time.Duration // for versions that are published without a time; 0 for none
	Rules         RuleSet       // to merge publications that wait; nil where none may
}

// Controller runs rollouts at the leaseholder. What must survive it is in the replicated state; the rest (how long a stage was
// watched, what its fronts served) begins anew with another leaseholder, which only makes a rollout slower.
type Controller struct {
	options        ControllerOptions
	actions        []submitted
	waiting        []publication // in order
	queue          []put         // of one change of state, in order
	pendingPut     uint64
	pendingDigests uint64 // the request for digests
	digestsAskedAt time.Duration
	reports        map[string]fleet.MemberReport
	reportsAt      time.Duration
	fresh          bool // reports came since the last plan

	proof         *leaseProof
	waitingFor    uint64        // the publication that waits until all fronts are known
	waitingSince  time.Duration // since when
	version       uint64        // the version that is being rolled out
	versionAt     time.Duration // when this controller first saw it
	allowedIndex  uint64        // index of the AllowedVersions that is waited for
	allowedSince  time.Duration // when this controller first saw it
	wasPaused     openStage     // the stage that this controller saw paused last: an operator resumed it
	stage         string        // what the times below belong to
	stageAt       time.Duration
	completeSince time.Duration // when all fronts that are heard were first on their version; 0 for not yet
	trial         CanaryAnalysis
	samples       map[string]sample  // by front, of the interval before
	adopters      map[string]adopter // by front: those that were seen on the new version
}

// put is a value to be stored; an empty one deletes its key.
type put struct {
	key   string
	value []byte
}

// sample is a front's counts as of an interval.
type sample struct {
	incarnation, version uint64
	kinds                uint32
	counts               []Counts
}

// adopter is a front that was seen on the new version.
type adopter struct {
	incarnation uint64
	leaving     bool
}

// NewController makes a Controller for a front that has acquired the lease.
func NewController(o ControllerOptions) *Controller {
	return &Controller{options: o, proof: &leaseProof{expiredAfter: o.Timing.ExpiredAfter(o.ConfigLease)}, reports: map[string]fleet.MemberReport{}, samples: map[string]sample{}, adopters: map[string]adopter{}}
}

// submitted is an action and the front that sent it.
type submitted struct {
	Action
	from string
}

// Submit adds an operator's action that a front sent; one that waits already changes nothing.
func (c *Controller) Submit(from string, action Action) {
	if len(c.actions) < maxOutcomes && !slices.ContainsFunc(c.actions, func(o submitted) bool { return o.ID == action.ID }) {
		c.actions = append(c.actions, submitted{action, from})
	}
}

// OnRequestDone handles the end of a request of this controller.
func (c *Controller) OnRequestDone(now time.Duration, e fleet.RequestDone) {
	switch e.ID {
	case c.pendingPut:
		c.pendingPut = 0
		if e.Error != "" { // another controller wrote meanwhile, or there is no leader: plan anew
			c.queue = nil
		}
	case c.pendingDigests:
		c.pendingDigests = 0
		if e.Error == "" {
			clear(c.reports)
			for _, t := range e.Reports {
				c.reports[t.Front] = t
			}
			c.reportsAt, c.fresh = now, true
			c.proof.add(digests{term: e.LeaderTerm, askedAt: c.digestsAskedAt, receivedAt: now, reports: maps.Clone(c.reports)})
		}
	}
}

// Step continues the rollout as the leaseholder. It stores one value at a time.
func (c *Controller) Step(now time.Duration, n *fleet.Node) {
	r := n.State()
	s, ok := ReadState(r)
	if !ok || n.Isolated() {
		return
	}
	if s.Phase != PhaseSteady || len(c.actions) > 0 || len(c.waiting) > 0 {
		if c.pendingDigests == 0 && now-c.digestsAskedAt >= c.options.Timing.HeartbeatInterval() {
			c.pendingDigests, c.digestsAskedAt = n.CollectDigests(now, Part), now
		}
	}
	if _, index := r.AllowedVersions(); index != c.allowedIndex {
		c.allowedIndex, c.allowedSince = index, now
	}
	c.proof.confirm(n.LeaseConfirmed(Lease))
	if s.Next != c.version {
		c.version, c.versionAt = s.Next, now
	}
	if c.pendingPut != 0 {
		return
	}
	if len(c.queue) == 0 {
		c.plan(now, r, s)
	}
	for len(c.queue) > 0 {
		p := c.queue[0]
		e := r.Values[p.key]
		c.queue = c.queue[1:]
		if e == nil && len(p.value) == 0 || e != nil && bytes.Equal(e.Value, p.value) {
			continue
		}
		prev := uint64(0)
		if e != nil {
			prev = e.Index
		}
		if number, ok := n.PutValue(now, Lease, p.key, prev, p.value); ok {
			c.pendingPut = number
			n.ReportProgress(Lease)
		} else {
			c.queue = nil
		}
		return
	}
}

func (c *Controller) putState(s State, why string) put {
	s.Format = format
	if why != "" {
		s.Reason = why
	}
	return put{stateKey, encode(&s)}
}

func (c *Controller) putAllowed(least, most uint64) put {
	return put{fleet.AllowedVersionsKey, fleet.AllowedVersions{Min: least, Max: most}.Encode()}
}

// plan decides what to store next.
func (c *Controller) plan(now time.Duration, r *fleet.ReplicatedState, s State) {
	if s.Paused {
		c.wasPaused = c.stageOf(s)
	}
	stage := fmt.Sprint(s.Phase, s.Next, s.Stage, s.Paused)
	if stage != c.stage {
		c.stage, c.stageAt, c.completeSince, c.trial = stage, now, 0, CanaryAnalysis{}
		clear(c.samples)
	}
	known := c.reportsAt != 0 && now-c.reportsAt <= c.options.Timing.LeaseDuration
	if len(c.actions) > 0 {
		if known { // the fronts must be known first
			c.takeAction(now, r, s)
		}
		return
	}
	if c.queues() && known && c.serveQueue(now, r, s) {
		return
	}
	if s.Phase == PhaseSteady || !c.fresh {
		return
	}
	c.fresh = false
	switch s.Phase {
	case PhaseRolling:
		c.checkStage(now, r, s)
	case PhaseFinishing:
		c.finish(now, r, s)
	case PhaseRollingBack:
		c.finishRollBack(now, r, s)
	}
}

// openStage is a stage of a version.
type openStage struct {
	version uint64
	stage   int
}

func (c *Controller) stageOf(s State) openStage { return openStage{s.Next, s.Stage} }

// takeAction carries out the next action, refuses it, or lets it wait.
func (c *Controller) takeAction(now time.Duration, r *fleet.ReplicatedState, s State) {
	action := c.actions[0]
	queued := c.queues() && action.Type == ActionPublish
	if !queued && c.mustWait(now, r, s, action.Action) {
		return
	}
	c.actions = c.actions[1:]
	if _, done := s.Outcome(action.ID); done {
		return
	}
	if !queued {
		c.apply(now, r, s, action.Action)
		return
	}
	if fault := c.admit(now, r, s, action.Action, action.from); fault != "" {
		c.queue = []put{c.putState(s.withOutcomes(Outcome{ID: action.ID, RejectedReason: fault}), "")}
	}
}

// finish ends a rollout once no front uses the old version.
func (c *Controller) finish(now time.Duration, r *fleet.ReplicatedState, s State) {
	unproven, all := c.onOtherVersions(now, r, s, s.Next)
	if !all {
		return
	}
	next := s
	next.Base, next.Next, next.Phase, next.UnconfirmedFronts = s.Next, 0, PhaseSteady, unproven
	next.RulesHashes = [2]string{s.RulesHashes[1], ""}
	why := fmt.Sprintf("version %d is in force", s.Next)
	if len(unproven) > 0 {
		why += "; but " + strings.Join(unproven, ", ") + " may go on on the old one: it hears nobody and serves alone"
	}
	c.queue = []put{c.putState(next, why), {textKey(s.Base), nil}}
}

// finishRollBack disallows the new version, and ends a rollout that is rolled back once no front uses it. Fronts that are heard
// roll back by themselves first, so that no lease ends under their requests.
func (c *Controller) finishRollBack(now time.Duration, r *fleet.ReplicatedState, s State) {
	if allowed, _ := r.AllowedVersions(); allowed.Max != s.Base {
		if c.countOn(r, s.Next) == 0 || now-c.stageAt > c.options.ConfigLease/2 {
			c.queue = []put{c.putAllowed(s.Base, s.Base)}
		}
		return
	}
	if unproven, all := c.onOtherVersions(now, r, s, s.Base); all {
		next := s
		next.Next, next.Phase, next.UnconfirmedFronts, next.RulesHashes[1] = 0, PhaseSteady, unproven, ""
		c.queue = []put{c.putState(next, ""), {textKey(s.Next), nil}}
	}
}

// onOtherVersions returns the fronts that may use another version than all should; all reports whether the rest provably do not.
// Such a front is on the right version, and said so after this phase began (before it, it may have adopted the other since), or its
// lease on another has expired since that was disallowed.
func (c *Controller) onOtherVersions(now time.Duration, r *fleet.ReplicatedState, s State, version uint64) (unproven []string, all bool) {
	waited := c.allowedIndex != 0 && now-c.allowedSince > c.options.Timing.ExpiredAfter(c.options.ConfigLease)
	timed := readDeadline(r, s).Within > 0
	stored := readBounded(r)
	all = true
	since := uint64(0)
	if e := r.Values[stateKey]; e != nil {
		since = e.Index
	}
	for name := range r.Fronts {
		t, ok := c.reports[name]
		if ok && t.Incarnation == r.Fronts[name].Incarnation && t.ActiveVersion == version && t.Index >= since {
			continue
		}
		all = all && (waited || timed && c.proof.expired(name, c.allowedSince))
		if timed && !ok && !stored.has(name, r.Fronts[name].Incarnation) {
			unproven = append(unproven, name)
			continue
		}
		if report, ok := DecodeReport(t.Data); ok && report.ServesIsolated && t.Age > c.options.Timing.LeaseDuration {
			unproven = append(unproven, name)
		}
	}
	slices.Sort(unproven)
	return unproven, all
}

func (c *Controller) fronts(r *fleet.ReplicatedState) []string {
	return slices.Sorted(maps.Keys(r.Fronts))
}

// rollBack begins to roll the next version back.
func (c *Controller) rollBack(s State, why string) {
	s.Phase, s.Paused = PhaseRollingBack, false
	c.queue = []put{c.putState(s, why)}
}

// countOn counts the fronts that are heard and use a version.
func (c *Controller) countOn(r *fleet.ReplicatedState, version uint64) (n int) {
	for name := range r.Fronts {
		if t, ok := c.reports[name]; ok && t.ActiveVersion == version && t.Age <= c.options.Timing.LeaseDuration {
			n++
		}
	}
	return n
}
