package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
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

// rolloutHost runs a front's part in rollouts: it carries between the participant, the front's core and the disk.
type rolloutHost struct {
	agent       *Agent
	config      *rollout.Config
	participant *rollout.Participant
	kinds       uint32
	renewals    chan configLeaseRenewal // the latest one only
	lastTurn    uint64                  // index of the rollout's state that was noted last
	mu          sync.Mutex
	current     storedVersion // the version in use
	trying      uint64        // a version that is being adopted, or was and is not confirmed yet
}

// configLeaseRenewal is until when the front may use a version, on the mesh's clock.
type configLeaseRenewal struct {
	version uint64
	until   time.Duration
}

// storedVersion is what a front stores of versions over its restarts.
type storedVersion struct {
	Version uint64 `json:"version"`
	Text    string `json:"text,omitempty"`
	Tried   uint64 `json:"tried,omitempty"` // a version that was being adopted when this was written, and was not confirmed yet
}

func (h *rolloutHost) path() string { return filepath.Join(h.config.Dir, "version.json") }

// load reads the stored version. A file that can't be read is logged, moved aside and skipped.
func (h *rolloutHost) load() (k storedVersion, err error) {
	if err := os.MkdirAll(h.config.Dir, 0o700); err != nil {
		return k, fmt.Errorf("the folder of versions: %w", err)
	}
	b, err := os.ReadFile(h.path())
	if errors.Is(err, os.ErrNotExist) {
		return storedVersion{}, nil
	}
	if err == nil {
		err = json.Unmarshal(b, &k)
	}
	if err == nil && k.Version != 0 {
		_, err = deployment.ParseRules(h.path(), []byte(k.Text))
	}
	if err != nil {
		slog.Warn("fleet: the version that was kept can't be read; this front begins with its own file", "file", h.path(), "why", err)
		os.Rename(h.path(), h.path()+".unreadable")
		return storedVersion{}, nil
	}
	return k, nil
}

func (h *rolloutHost) save(k storedVersion) {
	b, err := json.Marshal(k)
	if err == nil {
		err = disk.ReplaceFile(h.path(), b)
	}
	if err != nil {
		slog.Warn("fleet: the version that is acted on can't be kept; after a restart this front begins with an older one", "why", err)
	}
}

// newRolloutHost makes the host; initial is the version that the front used last.
func newRolloutHost(a *Agent, c *rollout.Config, configLease time.Duration) (h *rolloutHost, begins front.AdoptConfig, err error) {
	h = &rolloutHost{agent: a, config: c, renewals: make(chan configLeaseRenewal, 1), kinds: crc32.ChecksumIEEE([]byte(strings.Join(a.site.TypeNames, ",")))}
	k, err := h.load()
	if err != nil {
		return nil, begins, err
	}
	h.current = storedVersion{Version: k.Version, Text: k.Text}
	begins = front.AdoptConfig{Version: k.Version, Rules: a.ownRules}
	if k.Version != 0 {
		rules, err := deployment.ParseRules(h.path(), []byte(k.Text))
		if err == nil {
			err = rules.Validate(a.site)
		}
		if err != nil { // the site's own settings have changed
			slog.Warn("fleet: the version that was kept does not fit; this front begins with its own file", "version", k.Version, "why", err)
			k.Version, h.current = 0, storedVersion{}
		} else {
			begins.Rules = rules
		}
	}
	options := rollout.Options{
		Name:               a.name,
		Timing:             a.timing(),
		ConfigLease:        configLease,
		StopWhenIsolated:   c.StopWhenIsolated,
		InForceWithin:      c.InForceWithin,
		Rules:              deployment.RulesText{},
		InitialVersion:     k.Version,
		UnconfirmedVersion: k.Tried,
	}
	h.participant = rollout.NewParticipant(options, rollout.Hooks{
		Adopt:     func(adoption rollout.Adoption) { go h.adopt(adoption) },
		Renew:     h.onRenewal,
		Counts:    h.counts,
		WallClock: a.wallNow,
	})
	return h, begins, nil
}

// counts returns the front's counts on its version, and a checksum of its request types.
func (h *rolloutHost) counts() (kinds uint32, counts []rollout.Counts) {
	h.agent.auditLog.Totals(func(_ int, ended, served uint64) {
		counts = append(counts, rollout.Counts{Finished: ended, Succeeded: served})
	})
	return h.kinds, counts
}

// onRenewal replaces the renewal that waits for the core; the caller holds the mesh's lock.
func (h *rolloutHost) onRenewal(version uint64, until time.Duration) {
	for {
		select {
		case h.renewals <- configLeaseRenewal{version, until}:
			return
		default:
		}
		select {
		case <-h.renewals:
		default:
		}
	}
}

// run calls the participant's ticks, and hands renewals to the core.
func (h *rolloutHost) run() {
	t := time.NewTicker(h.agent.timing().TickInterval())
	defer t.Stop()
	for {
		select {
		case <-h.agent.ctx.Done():
			return
		case <-t.C:
			h.agent.mesh.Do(func(n *fleet.Node, now time.Duration) {
				h.participant.Tick(now, n)
				h.noteTurn(n)
				h.agent.noteIndex(n)
			})
		case x := <-h.renewals:
			if until, left := h.coreTime(x.until); left {
				h.agent.Post(front.RenewLease{Version: x.version, Expiry: until})
			} else {
				h.agent.Post(front.ExpireLease{Version: x.version})
			}
		}
	}
}

// coreTime converts a time of the mesh's clock to the core's; left reports whether it is still to come.
func (h *rolloutHost) coreTime(until time.Duration) (at time.Duration, left bool) {
	now := h.agent.Clock() // read first: a pause between the two readings makes the lease shorter, never longer
	ahead := until - h.agent.mesh.Now()
	return now + ahead, ahead > 0
}

// noteTurn logs a change of the rollout's state, once.
func (h *rolloutHost) noteTurn(n *fleet.Node) {
	e := n.State().Values["roll"]
	if e == nil || e.Index <= h.lastTurn {
		return
	}
	h.lastTurn = e.Index
	if s, ok := rollout.ReadState(n.State()); ok {
		slog.Info("fleet: rolls", "phase", s.Phase, "base", s.Base, "next", s.Next, "wave", s.Stage+1, "of", len(s.Stages), "held", s.Paused, "why", s.Reason)
		h.agent.writeAudit(&audit.Line{Event: audit.EventRolloutChanged, Version: s.Next, Reason: fmt.Sprintf("%v of %d to %d: %s", s.Phase, s.Base, s.Next, s.Reason)})
		h.agent.history.noteTurn(h.agent.mesh, s, e.Index)
	}
}

// adopt adopts a version, or refuses it. The version being tried is stored first: a front that crashes on it does not try it again
// when it comes back.
func (h *rolloutHost) adopt(adoption rollout.Adoption) {
	a := h.agent
	rules := a.ownRules
	if adoption.Text != nil {
		var err error
		if rules, err = deployment.ParseRules("published", adoption.Text); err == nil {
			err = rules.Validate(a.site)
		}
		if err != nil {
			slog.Error("fleet: a published version can't be used here", "version", adoption.Version, "why", err)
			a.writeAudit(&audit.Line{Event: audit.EventVersionRejected, Version: adoption.Version, Reason: err.Error()})
			a.mesh.Do(func(n *fleet.Node, now time.Duration) { h.participant.Rejected(now, n, adoption.Version, err.Error()) })
			return
		}
	}
	h.mu.Lock()
	h.trying = adoption.Version
	h.save(storedVersion{Version: h.current.Version, Text: h.current.Text, Tried: h.trying})
	h.mu.Unlock()
	until, _ := h.coreTime(adoption.Until)
	adopted := make(chan struct{})
	a.Post(front.AdoptConfig{Version: adoption.Version, Rules: rules, LeaseExpiry: until, OnAdopted: func(at time.Duration) {
		a.writeAudit(&audit.Line{Event: audit.EventVersionAdopted, At: a.wallMicros(at), Version: adoption.Version, RulesHash: rules.Digest()})
		go func() { // the core must not wait; the audit line comes before any span of the version
			a.syncAudit()
			h.mu.Lock()
			h.current = storedVersion{Version: adoption.Version, Text: string(adoption.Text)}
			h.mu.Unlock()
			a.mesh.Do(func(*fleet.Node, time.Duration) { h.participant.Adopted(adoption.Version) })
			a.history.noteVersion(a.mesh, "adopted", adoption.Version)
			close(adopted)
			select { // then it is confirmed
			case <-time.After(2 * a.config.LeaseDuration):
				h.confirm(adoption.Version)
			case <-a.ctx.Done():
			}
		}()
	}, OnOlderFinished: func() { // acknowledged once no request goes on under another version
		go func() {
			<-adopted
			a.mesh.Do(func(n *fleet.Node, now time.Duration) {
				h.participant.Acknowledge(now, n, adoption.Version)
				a.history.noteVersion(a.mesh, "acts", adoption.Version)
			})
		}()
	}})
}

// confirm stores a version over restarts: it was in use for a while, or the front shuts down cleanly. Until then a new process
// begins with the version before, and does not try this one.
func (h *rolloutHost) confirm(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current.Version != version {
		return
	}
	if h.trying == version {
		h.trying = 0
	}
	h.save(storedVersion{Version: version, Text: h.current.Text, Tried: h.trying})
}

// onStandby is called by the core when the front's standby begins or ends.
func (a *Agent) onStandby(on bool) {
	if a.OnStandby != nil {
		a.OnStandby(on)
	}
	what, historyName := audit.EventConfigLeaseAcquired, "acts again"
	if on {
		what, historyName = audit.EventConfigLeaseExpired, "stands by"
	}
	go func() { // the core must not wait
		a.writeAudit(&audit.Line{Event: what})
		a.history.noteVersion(a.mesh, historyName, 0)
	}()
}
