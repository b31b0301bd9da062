package agent

import (
	"fmt"
	"hash/crc32"
	"log/slog"
	"strings"
	"sync"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/fleet/disk"
	"dapplerouter/fleet/rollout"
	"dapplerouter/front"
)

// rolloutHost runs a front's part in rollouts: it connects the rollout participant with the front's core and with the version file.
type rolloutHost struct {
	agent         *Agent
	config        *rollout.Config
	calls         disk.CreateCalls
	ownRules      *deployment.Rules    // rules of the operator's file
	typesChecksum uint32               // checksum of the names of the request types
	participant   *rollout.Participant // guarded by the mesh's lock
	lastIndex     uint64               // index of the rollout state that was logged last; guarded by the mesh's lock
	renewals      chan leaseRenewal    // holds the latest renewal only

	mu      sync.Mutex    // guards the fields below, and the version file
	current storedVersion // the version in use
	trying  uint64        // the last version whose adoption began, until it is confirmed; 0 for none
}

// leaseRenewal says until when, on the mesh's clock, the front may use a version. A time in the past ends the use.
type leaseRenewal struct {
	version uint64
	until   time.Duration
}

// newRolloutHost returns a host without a participant; restore completes it.
func newRolloutHost(a *Agent, c *rollout.Config, ownRules *deployment.Rules) *rolloutHost {
	return &rolloutHost{
		agent:         a,
		config:        c,
		calls:         a.calls,
		ownRules:      ownRules,
		typesChecksum: crc32.ChecksumIEEE([]byte(strings.Join(a.settings.TypeNames, ","))),
		renewals:      make(chan leaseRenewal, 1),
	}
}

// restore creates the participant. It returns the version that the front used last, which is the one that its core starts with.
func (h *rolloutHost) restore(configLease time.Duration) (initial front.AdoptConfig, err error) {
	stored, err := h.loadVersion()
	if err != nil {
		return initial, err
	}
	initial = front.AdoptConfig{Rules: h.ownRules}
	if stored.Version != 0 {
		rules, err := h.parseRules(h.versionPath(), []byte(stored.Text))
		if err != nil { // the settings of the deployment have changed: the front must not report a version whose rules it can't use
			slog.Warn("fleet: stored configuration version does not fit; starting with the operator's file", "version", stored.Version, "err", err)
		} else {
			initial = front.AdoptConfig{Version: stored.Version, Rules: rules}
			h.current = storedVersion{Version: stored.Version, Text: stored.Text}
		}
	}
	h.participant = rollout.NewParticipant(rollout.Options{
		Name:               h.agent.name,
		Timing:             h.agent.timing(),
		ConfigLease:        configLease,
		StopWhenIsolated:   h.config.StopWhenIsolated,
		InForceWithin:      h.config.InForceWithin,
		Rules:              deployment.RulesText{},
		InitialVersion:     initial.Version,
		UnconfirmedVersion: stored.Tried,
	}, rollout.Hooks{
		Adopt:     func(adoption rollout.Adoption) { go h.adopt(adoption) }, // asynchronous, since the mesh's lock is held
		Renew:     h.onRenewal,
		Counts:    h.counts,
		WallClock: h.agent.wallNow,
	})
	return initial, nil
}

// parseRules parses rules, and validates them against the settings of the deployment.
func (h *rolloutHost) parseRules(name string, text []byte) (*deployment.Rules, error) {
	rules, err := deployment.ParseRules(name, text)
	if err != nil {
		return nil, err
	}
	return rules, rules.Validate(h.agent.settings)
}

// counts returns a checksum of the front's request types, and by request type the requests that finished and succeeded on its version.
func (h *rolloutHost) counts() (typesChecksum uint32, counts []rollout.Counts) {
	h.agent.recorder.Totals(func(_ int, finished, succeeded uint64) {
		counts = append(counts, rollout.Counts{Finished: finished, Succeeded: succeeded})
	})
	return h.typesChecksum, counts
}

// onRenewal replaces the renewal that waits for the core. It never blocks, since the caller holds the mesh's lock.
func (h *rolloutHost) onRenewal(version uint64, until time.Duration) {
	for {
		select {
		case h.renewals <- leaseRenewal{version, until}:
			return
		default:
		}
		select {
		case <-h.renewals:
		default:
		}
	}
}

// run drives the participant with ticks and passes lease renewals to the core, until the agent stops.
func (h *rolloutHost) run() {
	a := h.agent
	t := time.NewTicker(a.timing().TickInterval())
	defer t.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
			h.tick()
		case r := <-h.renewals:
			if leaseExpiry, left := h.coreTime(r.until); left {
				a.Post(front.RenewLease{Version: r.version, Expiry: leaseExpiry})
			} else {
				a.Post(front.ExpireLease{Version: r.version})
			}
		}
	}
}

// tick drives the participant, and records a change of the rollout state.
func (h *rolloutHost) tick() {
	a := h.agent
	var changed *rolloutChange
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		h.participant.Tick(now, n)
		changed = h.nextChange(now, n)
		a.recordIndex(n)
	})
	if changed != nil {
		h.logChange(changed)
	}
}

// coreTime converts a time of the mesh's clock to a time of the core's clock. left reports whether it is in the future.
func (h *rolloutHost) coreTime(until time.Duration) (at time.Duration, left bool) {
	now := h.agent.Clock() // read first, so that a pause between the two readings makes the lease shorter, never longer
	ahead := until - h.agent.mesh.Now()
	return now + ahead, ahead > 0
}

// rolloutChange is a change of the state of the rollout.
type rolloutChange struct {
	at    time.Duration // on the mesh's clock
	state rollout.State
	index uint64 // of the replicated state
}

// nextChange returns a change of the rollout state that was not returned yet, nil for none; the caller holds the mesh's lock.
func (h *rolloutHost) nextChange(now time.Duration, n *fleet.Node) *rolloutChange {
	e := n.State().Values["roll"]
	if e == nil || e.Index <= h.lastIndex {
		return nil
	}
	h.lastIndex = e.Index
	s, ok := rollout.ReadState(n.State())
	if !ok {
		return nil
	}
	return &rolloutChange{at: now, state: s, index: e.Index}
}

// logChange writes a change of the rollout state to the log, the audit and the history.
func (h *rolloutHost) logChange(c *rolloutChange) {
	s := c.state
	slog.Info("fleet: rollout changed", "phase", s.Phase, "base", s.Base, "next", s.Next, "stage", s.Stage+1, "of", len(s.Stages), "paused", s.Paused, "reason", s.Reason)
	h.agent.writeAudit(&audit.Line{Event: audit.EventRolloutChanged, Version: s.Next, Reason: fmt.Sprintf("%v of %d to %d: %s", s.Phase, s.Base, s.Next, s.Reason)})
	h.agent.history.recordRollout(h.agent.mesh, c.at, s, c.index)
}

// adopt passes a version to the core, or rejects it if its rules are invalid. It first stores that the version is being tried, so that a
// front that crashes during the adoption does not try it again after a restart.
func (h *rolloutHost) adopt(adoption rollout.Adoption) {
	a := h.agent
	rules := h.ownRules
	if adoption.Text != nil {
		var err error
		if rules, err = h.parseRules("published", adoption.Text); err != nil {
			slog.Error("fleet: published configuration version rejected", "version", adoption.Version, "err", err)
			a.writeAudit(&audit.Line{Event: audit.EventVersionRejected, Version: adoption.Version, Reason: err.Error()})
			a.mesh.Do(func(n *fleet.Node, now time.Duration) { h.participant.Rejected(now, n, adoption.Version, err.Error()) })
			return
		}
	}
	h.mu.Lock()
	h.trying = adoption.Version
	h.saveVersion(storedVersion{Version: h.current.Version, Text: h.current.Text, Tried: h.trying})
	h.mu.Unlock()
	leaseExpiry, _ := h.coreTime(adoption.Until)
	adopted := make(chan struct{})
	a.Post(front.AdoptConfig{
		Version:     adoption.Version,
		Rules:       rules,
		LeaseExpiry: leaseExpiry,
		OnAdopted: func(at time.Duration) {
			a.writeAudit(&audit.Line{Event: audit.EventVersionAdopted, At: a.wallMicros(at), Version: adoption.Version, RulesHash: rules.Digest()})
			go h.onAdopted(adoption, adopted) // asynchronous, since the core must not wait
		},
		OnOlderFinished: func() {
			go h.acknowledge(adoption.Version, adopted)
		},
	})
}

// onAdopted handles the core's switch to a version: it reports it to the participant, closes adopted, and confirms the version after two
// lease durations. It first waits until the audit line of the adoption is on disk, before any interval of the version.
func (h *rolloutHost) onAdopted(adoption rollout.Adoption, adopted chan<- struct{}) {
	a := h.agent
	a.syncAudit()
	h.mu.Lock()
	h.current = storedVersion{Version: adoption.Version, Text: string(adoption.Text)}
	h.mu.Unlock()
	a.mesh.Do(func(*fleet.Node, time.Duration) { h.participant.Adopted(adoption.Version) })
	a.history.recordVersion(a.mesh, versionAdopted, adoption.Version)
	close(adopted)
	select {
	case <-time.After(2 * a.config.LeaseDuration):
		h.confirmVersion(adoption.Version)
	case <-a.ctx.Done():
	}
}

// acknowledge reports to the fleet that all requests in flight use the adopted version. It waits until onAdopted has closed adopted.
func (h *rolloutHost) acknowledge(version uint64, adopted <-chan struct{}) {
	<-adopted
	a := h.agent
	acknowledged, at := false, time.Duration(0)
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		acknowledged, at = true, now
		h.participant.Acknowledge(now, n, version)
	})
	if acknowledged { // not after the mesh was closed
		a.history.recordVersionAt(a.mesh, at, versionInForce, version)
	}
}

// onStandby handles the core's notification that the front enters or leaves standby.
func (a *Agent) onStandby(standby bool) {
	if a.OnStandby != nil {
		a.OnStandby(standby)
	}
	event, change := audit.EventConfigLeaseAcquired, standbyEnded
	if standby {
		event, change = audit.EventConfigLeaseExpired, standbyBegan
	}
	go func() { // asynchronous, since the core must not wait
		a.writeAudit(&audit.Line{Event: event})
		a.history.recordVersion(a.mesh, change, 0)
	}()
}
