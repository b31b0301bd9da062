package proxysim

import (
	"errors"
	"slices"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
	"dapplerouter/front"
)

// errVersionRejected is the reason with which a front rejects a version if VersionFaults.RejectsVersion says so.
var errVersionRejected = errors.New("limits do not fit")

// VersionFaults are the faults that configuration versions have on one front. A nil function means that no version has the fault.
type VersionFaults struct {
	RejectsVersion   func(version uint64) bool    // the front rejects the version
	CrashesOnVersion func(version uint64) bool    // the front crashes soon after it adopts the version
	FailureRate      func(version uint64) float64 // the fraction of requests that fail on the version
}

// frontRollout is a front's state as a participant in rollouts.
type frontRollout struct {
	Participant *rollout.Participant

	version        uint64           // the version that was adopted last
	counts         []rollout.Counts // of the requests on that version, by request type
	disk           savedVersions
	lastIsolatedAt time.Duration // virtual time of the last check at which the front was isolated or paused
}

// savedVersions is what a front has stored about versions on its own disk. It survives a crash.
type savedVersions struct {
	version     uint64 // the version to restart on; 0 for the front's own file
	unconfirmed uint64 // a version whose adoption began and which may have crashed the front; 0 for none
	text        []byte // the rules of version
}

// participate makes the front a participant in rollouts, as package fleet/agent does. The front starts on the version saved on its disk.
func (f *Front) participate(s *deployment.Settings) {
	c := f.cluster
	f.Core.JoinFleet(front.FleetOptions{Clock: f.host.Clock, Auditor: &requestCounter{front: f}})
	f.counts = make([]rollout.Counts, len(s.TypeNames))
	f.version = f.disk.version
	o := rollout.Options{
		Name:               f.Name,
		Timing:             c.Timing,
		ConfigLease:        c.Options.Rollout.ConfigLease,
		StopWhenIsolated:   c.Options.Rollout.StopWhenIsolated,
		InForceWithin:      c.Options.Rollout.InForceWithin,
		Rules:              deployment.RulesText{},
		InitialVersion:     f.disk.version,
		UnconfirmedVersion: f.disk.unconfirmed,
	}
	f.Participant = rollout.NewParticipant(o, rollout.Hooks{
		Adopt: func(a rollout.Adoption) {
			f.host.After(0, func(time.Duration) { f.adopt(a, s) })
		},
		Renew: func(version uint64, until time.Duration) {
			f.host.After(0, func(now time.Duration) {
				if until > now {
					f.post(front.RenewLease{Version: version, Expiry: until})
				} else {
					f.post(front.ExpireLease{Version: version})
				}
			})
		},
		Counts:    func() (uint32, []rollout.Counts) { return 1, slices.Clone(f.counts) },
		WallClock: func() int64 { return c.wallMillis(c.Now) * 1000 },
	})
	if f.disk.version != 0 {
		if r, err := deployment.ParseRules("saved", f.disk.text); err == nil {
			f.post(front.AdoptConfig{Version: f.disk.version, Rules: r})
		}
	}
	f.Participant.DeclareLeases(f.host.Node)
	f.scheduleParticipantTicks()
}

// scheduleParticipantTicks ticks the participant until the process ends, and checks the active versions after each tick.
func (f *Front) scheduleParticipantTicks() {
	incarnation, interval := f.incarnation, f.cluster.Timing.TickInterval()
	var tick func(time.Duration)
	tick = func(time.Duration) {
		if f.incarnation != incarnation || f.host.Node == nil {
			return
		}
		f.host.WithNode(func(n *fleet.Node, now time.Duration) {
			f.Participant.Tick(now, n)
			f.recordRolloutChange(n)
		})
		f.cluster.checkVersions(f)
		f.host.After(interval, tick)
	}
	f.host.After(interval, tick)
}

// adopt handles the participant's request to adopt a version. It makes the Core adopt the version, or rejects the version if its rules
// are not valid.
func (f *Front) adopt(a rollout.Adoption, s *deployment.Settings) {
	rules, err := f.parseVersion(a, s)
	if err != nil {
		f.host.WithNode(func(n *fleet.Node, now time.Duration) { f.Participant.Rejected(now, n, a.Version, err.Error()) })
		return
	}
	f.disk.unconfirmed = a.Version
	if f.CrashesOnVersion != nil && f.CrashesOnVersion(a.Version) {
		f.host.After(300*time.Millisecond, func(time.Duration) { f.crashFor(time.Second) })
	}
	f.post(front.AdoptConfig{
		Version:     a.Version,
		Rules:       rules,
		LeaseExpiry: a.Until,
		OnAdopted: func(time.Duration) {
			f.host.After(0, func(time.Duration) { f.onAdopted(a) })
		},
		OnOlderFinished: func() {
			f.host.After(0, func(time.Duration) {
				f.host.WithNode(func(n *fleet.Node, now time.Duration) { f.Participant.Acknowledge(now, n, a.Version) })
			})
		},
	})
}

// parseVersion returns the rules of a version, nil if the adoption has no text. The error is the reason to reject the version.
func (f *Front) parseVersion(a rollout.Adoption, s *deployment.Settings) (*deployment.Rules, error) {
	if a.Text == nil {
		return nil, nil
	}
	rules, err := deployment.ParseRules("published", a.Text)
	if err != nil {
		return nil, err
	}
	if err := rules.Validate(s); err != nil {
		return nil, err
	}
	if f.RejectsVersion != nil && f.RejectsVersion(a.Version) {
		return nil, errVersionRejected
	}
	return rules, nil
}

// onAdopted handles the adoption of a version by the Core. It resets the request counts. After two lease durations it saves the
// version to disk if the version is still the adopted one.
func (f *Front) onAdopted(a rollout.Adoption) {
	f.version, f.counts = a.Version, make([]rollout.Counts, len(f.counts))
	f.Participant.Adopted(a.Version)
	f.host.After(2*f.cluster.Timing.LeaseDuration, func(time.Duration) {
		if f.version == a.Version {
			f.disk = savedVersions{version: a.Version, text: a.Text}
		}
	})
}

// crashFor crashes the front's host and restarts it after d.
func (f *Front) crashFor(d time.Duration) {
	f.host.Crash()
	f.cluster.restartAfter(f.host, d)
}

// requestCounter counts a front's finished requests, as the audit log does in production. It implements front.Auditor.
type requestCounter struct{ front *Front }

// RequestAccepted implements front.Auditor.
func (r *requestCounter) RequestAccepted(time.Duration, []byte, int) uint32 { return 0 }

// EndpointsChanged implements front.Auditor.
func (r *requestCounter) EndpointsChanged(time.Duration, int64) {}

// ConfigAdopted implements front.Auditor.
func (r *requestCounter) ConfigAdopted(time.Duration, uint64) {}

// Tick implements front.Auditor.
func (r *requestCounter) Tick(time.Duration) {}

// Close implements front.Auditor.
func (r *requestCounter) Close(time.Duration) {}

// LeaseChanged implements front.Auditor.
func (r *requestCounter) LeaseChanged(time.Duration, time.Duration, bool) {}

// RequestFinished implements front.Auditor.
func (r *requestCounter) RequestFinished(_ time.Duration, _ uint32, typ int, s front.Status) {
	counts := &r.front.counts[typ]
	counts.Finished++
	if s == front.StatusSucceeded {
		counts.Succeeded++
	}
}

// SubmitAction submits an operator's action at a front. outcome is called once the result is known. It gets "" if the action was accepted,
// or else the reason why the action was rejected or got no answer in time.
func (c *Cluster) SubmitAction(f *Front, a rollout.Action, outcome func(rejectedReason string)) {
	if r, err := deployment.ParseRules("x", a.Text); err == nil {
		a.RulesHash = r.Digest()
	}
	a.ID = c.Rand.Uint64() | 1
	f.host.WithNode(func(n *fleet.Node, now time.Duration) {
		f.Participant.Submit(now, a, 10*c.Timing.LeaseDuration, func(err error) {
			reason := ""
			if err != nil {
				reason = err.Error()
			}
			outcome(reason)
		})
	})
}
