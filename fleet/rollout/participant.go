package rollout

import (
	"time"

	"dapplerouter/fleet"
)

// Hooks are the functions of the host that a Participant calls. None of them may block.
type Hooks struct {
	// Adopt makes the front adopt a version. The host answers with Adopted and, once no request is served under another version, with
	// Acknowledge; or with Rejected.
	Adopt func(a Adoption)
	// Renew extends the front's use of a version until a time on the node's clock. If that time has passed, the use ends.
	Renew func(version uint64, until time.Duration)
	// Counts returns a checksum of the front's request types, and its counts by type for the version that it uses.
	Counts func() (typesChecksum uint32, counts []Counts)
	// WallClock returns the front's wall clock in Unix microseconds.
	WallClock func() int64
}

// Participant runs a front's Adopter beside its node and, while the front holds the lease, a Controller. The caller serializes its calls
// with those of the node.
type Participant struct {
	Adopter    *Adopter
	options    Options
	hooks      Hooks
	controller *Controller // nil while another front holds the lease
	proof      leaseProof  // observes leaders at all times, also without a controller

	started    bool
	renewed    renewal
	reportedAt time.Duration
	actions    []pendingAction
}

// renewal is the last call of Hooks.Renew.
type renewal struct {
	version uint64
	until   time.Duration
}

// pendingAction is an operator's action that has no outcome yet.
type pendingAction struct {
	action   Action
	giveUpAt time.Duration
	sentAt   time.Duration
	outcome  func(error)
}

// NewParticipant makes a Participant.
func NewParticipant(o Options, h Hooks) *Participant {
	return &Participant{
		Adopter: NewAdopter(o),
		options: o,
		hooks:   h,
		proof:   leaseProof{expiredAfter: o.Timing.ConfigLeaseExpiredAfter(o.ConfigLease)},
	}
}

// DeclareLeases declares the lease of the Controller.
func (p *Participant) DeclareLeases(n *fleet.Node) { n.DeclareLease(Lease, 0) }

// Tick does what depends on time. It is called with each tick of the node.
func (p *Participant) Tick(now time.Duration, n *fleet.Node) {
	if !p.started { // a restarted front reports the version that it uses at once
		p.started = true
		n.SetActiveVersion(now, p.Adopter.Active())
	}
	adopt, until := p.Adopter.Step(now, n)
	if adopt != nil {
		p.hooks.Adopt(*adopt)
	}
	n.SetLeasesSuspended(now, until <= now && !n.Isolated()) // a front that may not serve must not hold leases
	p.renew(now, renewal{p.Adopter.Active(), until})
	if now-p.reportedAt >= p.options.Timing.HeartbeatInterval() {
		p.reportedAt = now
		var typesChecksum uint32
		var counts []Counts
		if s, ok := ReadState(n.State()); ok && s.Next != 0 {
			typesChecksum, counts = p.hooks.Counts()
		}
		n.SetDigest(Subsystem, p.Adopter.Report(typesChecksum, counts).Encode())
	}
	p.proof.observeTerm(now, n.LeaderTerm())
	if p.controller != nil {
		p.controller.Step(now, n)
	}
	p.sendActions(now, n)
}

// renew passes the time until which the front may use its version to the host. It does so if the version changed, if the time has passed,
// or if the time is later by more than 1/32 of a configuration lease.
func (p *Participant) renew(now time.Duration, next renewal) {
	later := next.until > p.renewed.until+p.options.ConfigLease/32
	ended := next.until < p.renewed.until && next.until <= now
	if next.version != p.renewed.version || later || ended {
		p.renewed = next
		p.hooks.Renew(next.version, next.until)
	}
}

// OnEvent handles those events of the node that concern the Controller: it starts or ends the Controller when the front acquires or loses
// the lease, and passes the operators' actions that fronts send and the results of the Controller's own requests to it. Other events are
// ignored.
func (p *Participant) OnEvent(now time.Duration, e fleet.Event) {
	switch e := e.(type) {
	case fleet.LeaseAcquired:
		if e.Lease == Lease {
			p.controller = newController(ControllerOptions{
				Timing:        p.options.Timing,
				ConfigLease:   p.options.ConfigLease,
				InForceWithin: p.options.InForceWithin,
				Rules:         p.options.Rules,
			}, &p.proof)
		}
	case fleet.LeaseEnded:
		if e.Lease == Lease {
			p.controller = nil
		}
	case fleet.DatagramReceived:
		if e.Subsystem == Subsystem && p.controller != nil {
			if action, ok := DecodeAction(e.Data); ok {
				p.controller.Submit(e.From, action)
			}
		}
	case fleet.RequestDone:
		if p.controller != nil {
			p.controller.OnRequestDone(now, e)
		}
	}
}

// Adopted records that the front accepts new requests on a version from now on.
func (p *Participant) Adopted(version uint64) { p.Adopter.Adopted(version, p.hooks.WallClock()) }

// Acknowledge records that the front uses a version and has no request under another one. The fleet then counts the front as on it.
func (p *Participant) Acknowledge(now time.Duration, n *fleet.Node, version uint64) {
	if version != p.Adopter.Active() {
		return // another version was adopted meanwhile
	}
	p.reportedAt = now
	n.SetDigest(Subsystem, p.Adopter.Report(0, nil).Encode())
	n.SetActiveVersion(now, version)
}

// Rejected records that the front can't use a version.
func (p *Participant) Rejected(now time.Duration, n *fleet.Node, version uint64, reason string) {
	p.Adopter.Reject(version, reason)
	n.SetDigest(Subsystem, p.Adopter.Report(0, nil).Encode())
}

// Submit sends an operator's action to the leaseholder, repeatedly, until its outcome is known or the timeout is over. It calls outcome
// once: with nil if the action was accepted, else with a RejectedError, ErrNoAnswer or ErrNewerState.
func (p *Participant) Submit(now time.Duration, action Action, timeout time.Duration, outcome func(error)) {
	p.actions = append(p.actions, pendingAction{action, now + timeout, -time.Hour, outcome})
}

// sendActions sends pending actions again, and reports the outcomes that are in the replicated state.
func (p *Participant) sendActions(now time.Duration, n *fleet.Node) {
	if len(p.actions) == 0 {
		return
	}
	s, ok := ReadState(n.State())
	pending := p.actions[:0]
	for _, a := range p.actions {
		reason, done := s.Outcome(a.action.ID)
		switch {
		case !ok:
			a.outcome(ErrNewerState)
		case done && reason != "":
			a.outcome(&RejectedError{Reason: reason})
		case done:
			a.outcome(nil)
		case now > a.giveUpAt:
			a.outcome(ErrNoAnswer)
		default:
			if now-a.sentAt >= p.options.Timing.HeartbeatInterval() {
				a.sentAt = now
				if lease := n.State().Leases[Lease]; lease != nil && lease.Leaseholder != "" {
					n.SendDatagram(now, lease.Leaseholder, Subsystem, a.action.Encode())
				}
			}
			pending = append(pending, a)
		}
	}
	p.actions = pending
}
