package rollout

import (
	"time"

	"dapplerouter/fleet"
)

// Options configure an Adopter or a Participant.
type Options struct {
	Name               string
	Timing             fleet.Timing
	ConfigLease        time.Duration // duration of configuration leases, as in the node's options
	StopWhenIsolated   bool          // an isolated front stops when its configuration lease expires; else it keeps serving its version
	InForceWithin      time.Duration // default for versions that are published without a time; 0 for none
	Rules              RuleSet       // merges queued publications; nil disables the queue
	InitialVersion     uint64        // the version that was used last; 0 for the rules in the front's own file
	UnconfirmedVersion uint64        // the version that the last process was adopting when it ended; 0 for none
}

// Adopter decides which version its front should use, and until when the front may use it.
type Adopter struct {
	options        Options
	active         uint64
	adoptedAt      int64 // Unix microseconds of the front's wall clock
	rejected       uint64
	rejectedReason string

	adopting bool          // Adopted or Reject is still to follow for an Adoption
	retryAt  time.Duration // when a rejected version that is in force may be tried again

	started       bool
	startedAt     time.Duration
	reachedFleet  bool          // the front has been in contact with the fleet since its start
	isolatedUntil time.Duration // until when the front may serve without a configuration lease because it is isolated
}

// NewAdopter makes an Adopter. A version that the last process was adopting when it ended counts as rejected, so that a front that
// crashed on it does not try it again.
func NewAdopter(o Options) *Adopter {
	a := &Adopter{options: o, active: o.InitialVersion}
	if o.UnconfirmedVersion != 0 && o.UnconfirmedVersion != o.InitialVersion {
		a.rejected, a.rejectedReason = o.UnconfirmedVersion, "the front went down when it took it up"
	}
	return a
}

// Adoption is a version that the front should adopt. The front may use it until Until. The host answers with Adopter.Adopted or
// Adopter.Reject. Text is nil for the rules in the front's own file.
type Adoption struct {
	Version uint64
	Text    []byte
	Until   time.Duration
}

// Active returns the version that the front uses.
func (a *Adopter) Active() uint64 { return a.active }

// Step follows the replicated state. It returns a version to adopt, or nil, and the time until which the front may use its present
// version, on the front's clock. If that time has passed, the front may not use the version.
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

// nextAdoption returns a version to adopt, or nil. A version is adopted only with a configuration lease on it. A front whose replicated
// state is outdated, such as a voter that has just started, does not get a lease on a version that must not be used any more.
func (a *Adopter) nextAdoption(now time.Duration, n *fleet.Node, s State) *Adoption {
	r := n.State()
	wanted := s.VersionFor(a.options.Name)
	if allowed, index := r.AllowedVersions(); wanted == a.rejected && index != 0 && !allowed.Allows(a.active) {
		wanted = s.Base // both are unusable: the one in force lets it serve until an operator rolls back the rejected one
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

// usableUntil returns the time until which the front may use its present version.
func (a *Adopter) usableUntil(now time.Duration, n *fleet.Node, s State) time.Duration {
	if a.servesIsolated(now, n, s) {
		a.isolatedUntil = now + a.options.Timing.LeaseDuration
	}
	until := max(n.ConfigLeaseExpiry(a.active), a.isolatedUntil)
	if allowed, index := n.State().AllowedVersions(); index != 0 && !allowed.Allows(a.active) {
		until = min(until, now) // the fleet disallowed it: do not wait for the lease to expire
	}
	return until
}

// servesIsolated reports whether the front is isolated and keeps serving. A front that knows that a mandatory version is being rolled
// out, and does not use it, does not keep serving.
func (a *Adopter) servesIsolated(now time.Duration, n *fleet.Node, s State) bool {
	if !n.Isolated() || a.options.StopWhenIsolated {
		return false
	}
	if s.Mandatory && s.Next != 0 && a.active != s.Next {
		return false
	}
	return a.reachedFleet || now-a.startedAt > a.options.Timing.LeaseDuration
}

// Adopted records that the front accepts new requests on a version from now on. at is the front's wall clock in Unix microseconds.
func (a *Adopter) Adopted(version uint64, at int64) {
	a.active, a.adoptedAt, a.adopting = version, at, false
	if a.rejected <= version { // the rejection is obsolete
		a.rejected, a.rejectedReason = 0, ""
	}
}

// Reject records that the front can't use a version.
func (a *Adopter) Reject(version uint64, reason string) {
	a.rejected, a.rejectedReason, a.adopting = version, reason, false
}

// Report returns the front's report. counts are by request type, for the version that the front uses.
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
