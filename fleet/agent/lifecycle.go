package agent

import (
	"log/slog"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
	"dapplerouter/front"
)

// closeAuditTimeout is how long Close waits for the core to pass on its last audit interval.
const closeAuditTimeout = time.Second

// Name returns the agent's name in the front's list of components.
func (a *Agent) Name() string { return "fleet" }

// Start opens the control socket and starts all goroutines. The error names a socket that can't be opened.
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
	if a.awaitsVoterFile() {
		a.joining.Go(a.joinAfterVoterFile)
	} else {
		a.mesh.Run()
	}
	a.goroutines.Go(a.endpoints.watchLeaseholder)
	slog.Info("fleet: agent started", "listen", a.mesh.Addr().String(), "voter", a.config.VoterPath != "", "lease_duration", a.config.LeaseDuration)
	return nil
}

// startSubsystems starts the subsystems whose forms exist. It first posts the initial configuration version to the core.
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

// tickAudit makes the core close audit intervals on time even if no request arrives.
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

// FleetOptions returns the options that connect the front's core with this agent. Call it once, before the core runs. The options are zero
// if neither an audit nor rollouts are configured.
func (a *Agent) FleetOptions() (o front.FleetOptions) {
	if a.recorder == nil {
		return o
	}
	o.Auditor = a.recorder
	if a.rollout != nil {
		o.Clock, o.OnStandby = a.Clock, a.onStandby
	}
	return o
}

// Totals returns counts since the start as key-value pairs for a log line.
func (a *Agent) Totals() []any {
	t := a.mesh.Totals()
	out := []any{"links", t.Links, "sent", t.Sent, "received", t.Received, "sent_bytes", t.SentBytes, "received_bytes", t.ReceivedBytes,
		"shed", t.SlowLinksClosed, "rejected", t.Rejected, "dials", t.Dials, "shared_list", a.endpoints.watcher.UsesSharedList(),
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

// DiscoveryAddressChanged switches to another address of the discovery service.
func (a *Agent) DiscoveryAddressChanged(address string) { a.endpoints.setAddress(address) }

// Drain releases the front's leases so that other fronts take them over. It waits for that for the duration within at most.
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
		a.rollout.confirmVersion(active)
	}
	a.cancel()
	if a.admin != nil {
		a.admin.Close()
	}
	a.joining.Wait() // it may start the goroutines of the mesh
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

// closeAudit writes the last audit lines and closes the audit log. The lines are the request counts of the intervals that the core's
// auditor has not passed on yet, and a line that the process stops. The latter is missing if the core does not answer within
// closeAuditTimeout. closeAudit must run after everything that could adopt a version or hold a lease has stopped.
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

// wallNow returns the current time in Unix microseconds. It advances with the core's clock from the wall-clock time at the start, so a
// step of the machine's clock never makes it go back.
func (a *Agent) wallNow() int64 {
	if a.Clock == nil { // Clock is set before Start
		return time.Now().UnixMicro()
	}
	return a.wallMicros(a.Clock())
}

// wallMicros converts a time of the core's clock to Unix microseconds.
func (a *Agent) wallMicros(at time.Duration) int64 { return a.StartedAt.Add(at).UnixMicro() }
