package agent

import (
	"log/slog"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
)

// onEvent handles an event of the fleet's node. The mesh calls it for one event after the other, in order.
func (a *Agent) onEvent(at time.Duration, e fleet.Event) {
	a.history.record(a.mesh, at, e.Fields())
	logEvent(e)
	a.auditEvent(e)
	switch e.(type) {
	case fleet.LeaseAcquired, fleet.LeaseEnded, fleet.DatagramReceived, fleet.RequestDone:
		if a.rollout != nil {
			a.mesh.Do(func(n *fleet.Node, now time.Duration) { a.rollout.participant.OnEvent(now, e) })
		}
	}
	a.Prober.OnFleetEvent(e, a.name)
	switch e := e.(type) {
	case fleet.LeaseAcquired:
		if e.Lease == fleet.EndpointListLease {
			a.endpoints.startFollowing()
		}
	case fleet.LeaseEnded:
		if e.Lease == fleet.EndpointListLease {
			a.endpoints.stopFollowing()
		}
	case fleet.BroadcastReceived:
		a.onBroadcast(e)
	case fleet.DatagramReceived:
		a.onDatagram(e)
	case fleet.RequestDone:
		a.requests.finish(e)
	}
}

// onDroppedEvents recovers from dropped events. This front may have missed changes of the endpoint list, so it passes on the whole list
// again. Probe results and datagrams need no recovery, since they are repeated.
func (a *Agent) onDroppedEvents(events uint64) {
	slog.Warn("fleet: events dropped; this front's disk or processor did not keep up", "events", events)
	a.endpoints.resync()
}

// onBroadcast passes a broadcast on: updates of the endpoint list, and probe results of other fronts.
func (a *Agent) onBroadcast(e fleet.BroadcastReceived) {
	switch {
	case e.Lease == fleet.EndpointListLease:
		a.endpoints.onUpdate(e.Data)
	case fleet.LeaseKind(e.Lease) == "scout" && e.From != a.name:
		a.Prober.OnProbeResult(e.Term, e.Data)
	}
}

// onDatagram passes a datagram on to the subsystem that it is addressed to.
func (a *Agent) onDatagram(e fleet.DatagramReceived) {
	switch {
	case e.Subsystem == probeSubsystem:
		a.Prober.OnProbeRequest(string(e.Data))
	case e.Subsystem == audit.Subsystem && a.audit != nil:
		a.audit.collector.onDatagram(e)
	}
}

// logEvent logs the events that an operator may have to act on. The prefix of the messages names the component, as in all log messages of
// the agent.
func logEvent(e fleet.Event) {
	switch e := e.(type) {
	case fleet.LeaseAcquired:
		slog.Info("fleet: lease acquired", "lease", e.Lease, "term", e.Term)
	case fleet.LeaseEnded:
		slog.Info("fleet: lease ended", "lease", e.Lease, "term", e.Term, "reason", e.Reason)
	case fleet.LeaseGranted:
		slog.Debug("fleet: lease granted", "lease", e.Lease, "term", e.Term, "leaseholder", e.Leaseholder, "reason", e.Reason)
	case fleet.FleetReached:
		slog.Info("fleet: leader reached", "term", e.Term)
	case fleet.FleetLost:
		slog.Warn("fleet: leader lost; this front is isolated", "reason", e.Reason)
	case fleet.VoterHalted:
		slog.Error("fleet: voter halted; this front continues as a follower", "reason", e.Reason)
	case fleet.VotersRecovered:
		if e.Err != nil {
			slog.Warn("fleet: voter recovery rejected", "reason", e.Reason, "err", e.Err)
		} else {
			slog.Warn("fleet: voters recovered from this front's disk", "removed", e.Lost, "index", e.Index, "term", e.Term, "reason", e.Reason)
		}
	case fleet.FrontDisplaced:
		slog.Error("fleet: front displaced by another process of its name; stop one of them and restart this one", "reason", e.Reason)
	case fleet.StateUnreadable:
		slog.Error("fleet: replicated state has a newer format; upgrade this program", "index", e.Index, "reason", e.Reason)
	case fleet.BroadcastRejected:
		slog.Warn("fleet: broadcast rejected", "lease", e.Lease, "term", e.Term, "from", e.From, "reason", e.Reason)
	case fleet.BecameLeader:
		slog.Info("fleet: became leader", "term", e.Term)
	case fleet.LostLeadership:
		slog.Info("fleet: lost leadership")
	case fleet.FrontJoined:
		slog.Debug("fleet: front joined", "front", e.Name)
	case fleet.FrontLeft:
		slog.Debug("fleet: front left", "front", e.Name)
	case fleet.LinkClosed:
		slog.Info("fleet: link closed", "peer", e.Peer, "reason", e.Reason)
	}
}
