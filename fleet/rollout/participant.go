package rollout

import (
	"time"

	"dapplerouter/fleet"
)

// Hooks are what a Participant needs of the front that hosts it; none of them may wait.
type Hooks struct {
	Adopt     func(a Adoption)                          // adopts a version: Adopted follows and, once no request goes on under another, Settled; or Refused
	Renew     func(version uint64, until time.Duration) // the front may use it until then, on the node's clock; a time that is past: no more
	Counts    func() (kinds uint32, sums []Counts)      // the front's counts on the version that it uses
	WallClock func() int64                              // the front's wall clock in Unix microseconds
}

// Participant runs a front's Adopter beside its node and, while it holds the lease, the Controller. Calls come with the node's.
type Participant struct {
	Adopter        *Adopter
	options        Options
	hooks          Hooks
	controller     *Controller
	proof          leaseProof
	active         uint64 // that until belongs to
	until          time.Duration
	reportedAt     time.Duration
	pendingActions []pendingAction
	announced      bool
}

type pendingAction struct {
	action  Action
	until   time.Duration
	sentAt  time.Duration
	outcome func(fault string)
}

// NewParticipant makes a Participant.
func NewParticipant(o Options, h Hooks) *Participant {
	return &Participant{
		Adopter: NewAdopter(o),
		options: o,
		hooks:   h,
		proof:   leaseProof{expiredAfter: o.Timing.ExpiredAfter(o.ConfigLease)},
	}
}

// DeclareLeases declares the lease of the Controller.
func (s *Participant) DeclareLeases(n *fleet.Node) { n.DeclareLease(Lease, 0) }

// Tick does what depends on time. Call it with the node's.
func (s *Participant) Tick(now time.Duration, n *fleet.Node) {
	if !s.announced { // a restarted front reports at once what it uses
		s.announced = true
		n.SetActiveVersion(now, s.Adopter.Active())
	}
	adopt, until := s.Adopter.Step(now, n)
	if adopt != nil {
		s.hooks.Adopt(*adopt)
	}
	n.SetIdle(now, until <= now && !n.Isolated()) // a front that may not serve holds no leases either
	active := s.Adopter.Active()
	if active != s.active || until > s.until+s.options.ConfigLease/32 || until < s.until && until <= now {
		s.active, s.until = active, until
		s.hooks.Renew(active, until)
	}
	if now-s.reportedAt >= s.options.Timing.HeartbeatInterval() {
		s.reportedAt = now
		var kinds uint32
		var sums []Counts
		if st, ok := ReadState(n.State()); ok && st.Next != 0 {
			kinds, sums = s.hooks.Counts()
		}
		n.SetDigest(Part, s.Adopter.Report(kinds, sums).Encode())
	}
	s.proof.observeTerm(now, n.LeaderTerm())
	if s.controller != nil {
		s.controller.Step(now, n)
	}
	s.retryActions(now, n)
}

// OnEvent handles an event of the node.
func (s *Participant) OnEvent(now time.Duration, e fleet.Event) {
	switch e := e.(type) {
	case fleet.LeaseAcquired:
		if e.Lease == Lease {
			s.controller = NewController(ControllerOptions{
				Timing:        s.options.Timing,
				ConfigLease:   s.options.ConfigLease,
				InForceWithin: s.options.InForceWithin,
				Rules:         s.options.Rules,
			})
			s.controller.proof = &s.proof
		}
	case fleet.LeaseEnded:
		if e.Lease == Lease {
			s.controller = nil
		}
	case fleet.DatagramReceived:
		if e.Subsystem == Part && s.controller != nil {
			if action, ok := DecodeAction(e.Data); ok {
				s.controller.Submit(e.From, action)
			}
		}
	case fleet.RequestDone:
		if s.controller != nil {
			s.controller.OnRequestDone(now, e)
		}
	}
}

// Adopted reports that the front takes new requests on a version from now on.
func (s *Participant) Adopted(version uint64) { s.Adopter.Adopted(version, s.hooks.WallClock()) }

// Acknowledge reports that the front uses a version and no other any more: this is what it acknowledges.
func (s *Participant) Acknowledge(now time.Duration, n *fleet.Node, version uint64) {
	if version != s.Adopter.Active() {
		return // another was adopted since
	}
	s.reportedAt = now
	n.SetDigest(Part, s.Adopter.Report(0, nil).Encode())
	n.SetActiveVersion(now, version)
}

// Rejected reports that the front can't use a version.
func (s *Participant) Rejected(now time.Duration, n *fleet.Node, version uint64, why string) {
	s.Adopter.Reject(version, why)
	n.SetDigest(Part, s.Adopter.Report(0, nil).Encode())
}

// Submit sends an operator's action to the leaseholder; outcome is called with its fault, "" for none, within a while.
func (s *Participant) Submit(now time.Duration, action Action, within time.Duration, outcome func(fault string)) {
	s.pendingActions = append(s.pendingActions, pendingAction{action, now + within, -time.Hour, outcome})
}

func (s *Participant) retryActions(now time.Duration, n *fleet.Node) {
	if len(s.pendingActions) == 0 {
		return
	}
	st, ok := ReadState(n.State())
	rest := s.pendingActions[:0]
	for _, p := range s.pendingActions {
		fault, done := st.Outcome(p.action.ID)
		switch {
		case !ok:
			p.outcome("the record's rolls are of a newer program: bring this one up to date")
		case done:
			p.outcome(fault)
		case now > p.until:
			p.outcome("no answer of the fleet: nobody holds the duty roll, or no majority of keepers is there")
		default:
			if now-p.sentAt >= s.options.Timing.HeartbeatInterval() {
				p.sentAt = now
				if d := n.State().Leases[Lease]; d != nil && d.Leaseholder != "" {
					n.SendDatagram(now, d.Leaseholder, Part, p.action.Encode())
				}
			}
			rest = append(rest, p)
		}
	}
	s.pendingActions = rest
}
