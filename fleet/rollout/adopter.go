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
	StopWhenIsolated   bool          // while isolated it serves only until its configuration lease expires; else it goes on with the version it has
	InForceWithin      time.Duration // for versions that are published without a time; 0 for none
	Rules              RuleSet       // to merge publications that wait; nil where none may
	InitialVersion     uint64        // the version to start with: the one used last, 0 for the front's own file
	UnconfirmedVersion uint64        // a version during whose adoption the last process ended, 0 for none
}

// Adopter decides which version its front uses, and until when it may.
type Adopter struct {
	options       Options
	active        uint64
	adoptedAt     int64
	refused       uint64
	refusedWhy    string
	adopting      uint64 // the version being adopted, where busy
	busy          bool
	retryAt       time.Duration
	reachedFleet  bool // once since the start
	startedAt     time.Duration
	started       bool
	isolatedUntil time.Duration // until when the front may go on while isolated
}

// NewAdopter makes an Adopter.
func NewAdopter(o Options) *Adopter {
	a := &Adopter{options: o, active: o.InitialVersion}
	if o.UnconfirmedVersion != 0 && o.UnconfirmedVersion != o.InitialVersion {
		a.refused, a.refusedWhy = o.UnconfirmedVersion, "the front went down when it took it up"
	}
	return a
}

// Adoption is a version to adopt, which the front may use until Until; Adopted or Refuse must follow. Text is nil for the front's
// own file.
type Adoption struct {
	Version uint64
	Text    []byte
	Until   time.Duration
}

// Active is the version that the front uses.
func (a *Adopter) Active() uint64 { return a.active }

// Step follows the replicated state. It returns a version to adopt, nil for none, and until when the front may use its present
// version, on its clock; a time that is past means that it may not. A version is adopted only with a configuration lease on it: a
// front with an outdated state, such as a voter that has just started, is refused the lease on a version that must not be used.
func (a *Adopter) Step(now time.Duration, n *fleet.Node) (adopt *Adoption, until time.Duration) {
	if !a.started {
		a.started, a.startedAt = true, now
	}
	r := n.State()
	s, ok := ReadState(r)
	isolated := n.Isolated()
	a.reachedFleet = a.reachedFleet || !isolated && r.Index > 0
	if ok && a.reachedFleet && !isolated {
		want := s.VersionFor(a.options.Name)
		if allowed, index := r.AllowedVersions(); want == a.refused && index != 0 && !allowed.Allows(a.active) {
			want = s.Base // it can use neither: with the one in force it serves, and somebody can roll the refused one back
		}
		again := want != a.refused || want == s.Base && now >= a.retryAt // a refused version that all others use is tried again now and then
		if text := VersionText(r, want); want != a.active && again && !a.busy && (text != nil || want == 0) {
			n.SetPendingVersion(now, want)
			if until := n.ConfigLeaseExpiry(want); until > now {
				a.adopting, a.busy, a.retryAt = want, true, now+a.options.Timing.LeaseDuration
				adopt = &Adoption{want, text, until}
			}
		}
	}
	until = n.ConfigLeaseExpiry(a.active)
	if isolated && !a.options.StopWhenIsolated && (a.reachedFleet || now-a.startedAt > a.options.Timing.LeaseDuration) && !(s.Mandatory && s.Next != 0 && a.active != s.Next) {
		// Nobody can be asked: it goes on with what it has, unless it knows of a mandatory version that is being rolled out.
		a.isolatedUntil = now + a.options.Timing.LeaseDuration
	}
	until = max(until, a.isolatedUntil)
	if x, index := r.AllowedVersions(); index != 0 && !x.Allows(a.active) {
		until = min(until, now) // the fleet itself ruled it out: no need to wait for the lease to expire
	}
	return adopt, until
}

// Adopted reports that the front takes new requests on a version from now on; at is its wall clock in Unix microseconds.
func (a *Adopter) Adopted(version uint64, at int64) {
	a.active, a.adoptedAt, a.busy = version, at, false
	if a.refused <= version { // superseded
		a.refused, a.refusedWhy = 0, ""
	}
}

// Reject reports that the front can't use a version.
func (a *Adopter) Reject(version uint64, why string) {
	a.refused, a.refusedWhy, a.busy = version, why, false
}

// Report returns the front's digest; sums are its counts by request type on the version that it uses.
func (a *Adopter) Report(kinds uint32, sums []Counts) Report {
	return Report{AdoptedAt: a.adoptedAt, RejectedVersion: a.refused, RejectedReason: a.refusedWhy, ServesIsolated: !a.options.StopWhenIsolated, TypesChecksum: kinds, Counts: sums}
}
