package rollout

import (
	"time"

	"dapplerouter/fleet"
)

// Options configure an Adopter or a Participant.
type Options struct {
	Name               string
	Timing             fleet.Timing
	ConfigLease        time.Duration // as the node's
	StopWhenIsolated   bool          // while isolated it serves only until its configuration lease expires; else it keeps the version that it has
	InForceWithin      time.Duration // for versions that are published without a time; 0 for none
	Rules              RuleSet       // to merge publications that are queued; nil where none may
	InitialVersion     uint64        // the version to start with: the one used last, 0 for the front's own file
	UnconfirmedVersion uint64        // a version during whose adoption the last process ended, 0 for none
}

// Adopter decides which version its front uses, and until when it may.
type Adopter struct {
	options        Options
	active         uint64
	adoptedAt      int64 // Unix microseconds of the front's wall clock
	rejected       uint64
	rejectedReason string

	adopting bool          // a version is being adopted
	retryAt  time.Duration // when a rejected version that all others use is tried again

	started       bool
	startedAt     time.Duration
	reachedFleet  bool          // once since the start
	isolatedUntil time.Duration // until when the front may go on while isolated
}

// NewAdopter makes an Adopter.
func NewAdopter(o Options) *Adopter {
	a := &Adopter{options: o, active: o.InitialVersion}
	if o.UnconfirmedVersion != 0 && o.UnconfirmedVersion != o.InitialVersion {
		a.rejected, a.rejectedReason = o.UnconfirmedVersion, "the front went down when it took it up"
	}
	return a
}

// Adoption is a version to adopt, which the front may use until Until; Adopted or Reject must follow. Text is nil for the front's
// own file.
type Adoption struct {
	Version uint64
	Text    []byte
	Until   time.Duration
}

// Active is the version that the front uses.
func (a *Adopter) Active() uint64 { return a.active }

// Step follows the replicated state. It returns a version to adopt, nil for none, and until when the front may use its present
// version, on its clock; a time that is past means that it may not.
func (a *Adopter) Step(now time.Duration, n *fleet.Node) (adopt *Adoption, until time.Duration) {
	if !a.started {
		a.started, a.startedAt = true, now
	}
	s, readable := ReadState(n.State())
	a.reachedFleet = a.reachedFleet || !n.Isolated() && n.State().Index > 0
	if readable && a.reachedFleet && !n.Isolated() {
		adopt = a.nextAdoption(now, n, s)
	}
	return adopt, a.usableUntil(now, n, s)
}

// nextAdoption returns a version to adopt, nil for none. A version is adopted only with a configuration lease on it: a front with an
// outdated state, such as a voter that has just started, is refused the lease on a version that must not be used.
func (a *Adopter) nextAdoption(now time.Duration, n *fleet.Node, s State) *Adoption {
	r := n.State()
	wanted := s.VersionFor(a.options.Name)
	if allowed, index := r.AllowedVersions(); wanted == a.rejected && index != 0 && !allowed.Allows(a.active) {
		wanted = s.Base // it can use neither: with the one in force it serves, and an operator can roll the rejected one back
	}
	if wanted == a.active || a.adopting {
		return nil
	}
	if wanted == a.rejected && (wanted != s.Base || now < a.retryAt) {
		return nil
	}
	text := VersionText(r, wanted)
	if text == nil && wanted != 0 {
		return nil
	}
	n.SetPendingVersion(now, wanted)
	until := n.ConfigLeaseExpiry(wanted)
	if until <= now {
		return nil
	}
	a.adopting, a.retryAt = true, now+a.options.Timing.LeaseDuration
	return &Adoption{wanted, text, until}
}

// usableUntil returns until when the front may use its present version.
func (a *Adopter) usableUntil(now time.Duration, n *fleet.Node, s State) time.Duration {
	if a.servesIsolated(now, n, s) {
		a.isolatedUntil = now + a.options.Timing.LeaseDuration
	}
	until := max(n.ConfigLeaseExpiry(a.active), a.isolatedUntil)
	if allowed, index := n.State().AllowedVersions(); index != 0 && !allowed.Allows(a.active) {
		until = min(until, now) // the fleet itself ruled it out: no need to wait for the lease to expire
	}
	return until
}

// servesIsolated reports whether the front keeps serving while isolated, unless it knows of a mandatory version that is being rolled
// out.
func (a *Adopter) servesIsolated(now time.Duration, n *fleet.Node, s State) bool {
	if !n.Isolated() || a.options.StopWhenIsolated {
		return false
	}
	if s.Mandatory && s.Next != 0 && a.active != s.Next {
		return false
	}
	return a.reachedFleet || now-a.startedAt > a.options.Timing.LeaseDuration
}

// Adopted reports that the front takes new requests on a version from now on; at is its wall clock in Unix microseconds.
func (a *Adopter) Adopted(version uint64, at int64) {
	a.active, a.adoptedAt, a.adopting = version, at, false
	if a.rejected <= version { // superseded
		a.rejected, a.rejectedReason = 0, ""
	}
}

// Reject reports that the front can't use a version.
func (a *Adopter) Reject(version uint64, reason string) {
	a.rejected, a.rejectedReason, a.adopting = version, reason, false
}

// Report returns the front's digest; counts are by request type, on the version that it uses.
func (a *Adopter) Report(typesChecksum uint32, counts []Counts) Report {
	return Report{
		AdoptedAt:       a.adoptedAt,
		RejectedVersion: a.rejected,
		RejectedReason:  a.rejectedReason,
		ServesIsolated:  !a.options.StopWhenIsolated,
		TypesChecksum:   typesChecksum,
		Counts:          counts,
	}
}
