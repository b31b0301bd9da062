package agent

import (
	"log/slog"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/front"
)

// closeAuditTimeout is how long Close waits for the core to hand over its last audit interval.
const closeAuditTimeout = time.Second

// Name is the agent's name in the front's list of parts.
func (a *Agent) Name() string { return "fleet" }

// Start listens for other fronts and for the operator, and starts all goroutines. The error is a socket that can't be used.
func (a *Agent) Start() error {
	if a.config.Control != "" {
		s, err := adminapi.Listen(a.config.Control)
		if err != nil {
			return err
		}
		a.admin = s
		a.registerHandlers(s)
		s.Start()
	}
	a.startSubsystems()
	a.mesh.Run()
	a.goroutines.Go(a.endpoints.watchLeaseholder)
	slog.Info("fleet: agent started", "listen", a.mesh.Addr().String(), "voter", a.config.VoterPath != "", "lease_duration", a.config.LeaseDuration)
	return nil
}

// startSubsystems starts those that have a form. The version that the front begins with goes to its core first.
func (a *Agent) startSubsystems() {
	if a.initial.Rules != nil || a.rollout != nil {
		a.Post(a.initial)
	}
	if a.audit != nil {
		a.audit.start()
		a.goroutines.Go(a.tickAudit)
	}
	if a.rollout != nil {
		a.history.recordVersion(a.mesh, versionAdopted, a.initial.Version)
		a.goroutines.Go(a.rollout.run)
	}
}

// tickAudit lets the core close audit intervals in time, also where no request comes.
func (a *Agent) tickAudit() {
	t := time.NewTicker(audit.MaxIntervalDuration / 6)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.Post(front.AuditTick{})
		case <-a.ctx.Done():
			return
		}
	}
}

// CoreHooks is what the front's core needs of this agent: call it once, before the core runs. It is zero where no form needs it.
func (a *Agent) CoreHooks() (o front.FleetOptions) {
	if a.recorder == nil {
		return o
	}
	o.Auditor = a.recorder
	if a.rollout != nil {
		o.Clock, o.OnStandby = a.Clock, a.onStandby
	}
	return o
}

// Totals returns the counts since the start, as attributes of a log line.
func (a *Agent) Totals() []any {
	t := a.mesh.Totals()
	out := []any{"links", t.Links, "sent", t.Sent, "received", t.Received, "sent_bytes", t.SentBytes, "received_bytes", t.ReceivedBytes,
		"shed", t.Shed, "rejected", t.Rejected, "dials", t.Dials, "shared_list", a.endpoints.watcher.UsesSharedList(),
		"probes_avoided", a.Prober.AvoidedProbes()}
	if a.audit != nil {
		out = append(out, "audit_lines", a.audit.written.Load(), "audit_lines_lost", a.audit.lost.Load(), "segments_exported", a.audit.exports.count.Load())
	}
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		if a.rollout != nil {
			v := a.rollout.participant.Adopter.Active()
			out = append(out, "version", v, "config_lease_left", max(0, n.ConfigLeaseExpiry(v)-now))
		}
		out = append(out, "fronts", len(n.State().Fronts), "index", n.State().Index, "isolated", n.Isolated(), "leader", n.IsLeader())
	})
	return out
}

// DiscoveryMoved changes to another address of the discovery service.
func (a *Agent) DiscoveryMoved(address string) { a.endpoints.setAddress(address) }

// Drain transfers the front's leases to other fronts, for a time at most.
func (a *Agent) Drain(within time.Duration) {
	if !a.mesh.Leave(within) {
		slog.Warn("fleet: leases not transferred in time; they expire", "within", within)
	}
}

// Close stops the agent: it closes links and files, and writes the last audit lines.
func (a *Agent) Close() {
	if a.rollout != nil {
		var active uint64
		a.mesh.Do(func(*fleet.Node, time.Duration) { active = a.rollout.participant.Adopter.Active() })
		a.rollout.confirm(active)
	}
	a.cancel()
	if a.admin != nil {
		a.admin.Close()
	}
	a.mesh.Close()
	a.endpoints.stopFollowing()
	a.goroutines.Wait()
	if a.disk != nil {
		if err := a.disk.Close(); err != nil {
			slog.Warn("fleet: voter file not closed", "err", err)
		}
	}
	if a.audit != nil {
		a.closeAudit()
	}
	a.history.close()
}

// closeAudit writes the last audit lines: what the core has counted, and that the process stops. Nothing that could adopt a version, or hold a
// lease, is left by then.
func (a *Agent) closeAudit() {
	closed := make(chan struct{})
	a.Post(front.CloseAudit{OnClosed: func() { close(closed) }})
	select {
	case <-closed:
		a.writeAudit(&audit.Line{Event: audit.EventProcessStopped})
	case <-time.After(closeAuditTimeout):
	}
	a.audit.close()
}

// wallNow is the wall clock as it was at the start, carried on by the core's clock, in Unix microseconds: a step of the machine's
// clock meanwhile dates nothing backwards.
func (a *Agent) wallNow() int64 {
	if a.Clock == nil { // before Start
		return time.Now().UnixMicro()
	}
	return a.wallMicros(a.Clock())
}

// wallMicros is a time of the core's clock as Unix microseconds.
func (a *Agent) wallMicros(at time.Duration) int64 { return a.StartedAt.Add(at).UnixMicro() }
