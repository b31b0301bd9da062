package agent

import (
	"log/slog"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/audit"
)

// onEvent handles an event of the fleet's core; events come in their order.
func (a *Agent) onEvent(at time.Duration, e fleet.Event) {
	a.history.note(a.mesh, at, e.Fields())
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
			a.startFollowing()
		}
	case fleet.LeaseEnded:
		if e.Lease == fleet.EndpointListLease {
			a.endFollowing()
		}
	case fleet.BroadcastReceived:
		a.onBroadcast(e)
	case fleet.DatagramReceived:
		a.onDatagram(e)
	case fleet.RequestDone:
		a.onRequestDone(e)
	}
}

func (a *Agent) onBroadcast(e fleet.BroadcastReceived) {
	switch {
	case e.Lease == fleet.EndpointListLease:
		a.onEndpoints(e.Data)
	case fleet.LeaseKind(e.Lease) == "scout" && e.From != a.name:
		a.Prober.OnProbeResult(e.Term, e.Data)
	}
}

func (a *Agent) onDatagram(e fleet.DatagramReceived) {
	switch {
	case e.Subsystem == probePart:
		a.Prober.OnProbeRequest(string(e.Data))
	case e.Subsystem == audit.Part && a.audit != nil:
		a.audit.collector.onDatagram(e)
	}
}

// onRequestDone hands the end of a request to whoever waits for it.
func (a *Agent) onRequestDone(e fleet.RequestDone) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.pendingRequests[e.ID]; c != nil {
		c <- e
		delete(a.pendingRequests, e.ID)
	}
}

// logEvent logs what an operator acts on.
func logEvent(e fleet.Event) {
	switch e := e.(type) {
	case fleet.LeaseAcquired:
		slog.Info("fleet: duty held", "duty", e.Lease, "term", e.Term)
	case fleet.LeaseEnded:
		slog.Info("fleet: duty ended", "duty", e.Lease, "term", e.Term, "why", e.Reason)
	case fleet.LeaseGranted:
		slog.Debug("fleet: duty granted", "duty", e.Lease, "term", e.Term, "to", e.Leaseholder, "why", e.Reason)
	case fleet.FleetReached:
		slog.Info("fleet: heard")
	case fleet.FleetLost:
		slog.Warn("fleet: nothing is heard of it; this front goes on alone", "why", e.Reason)
	case fleet.VoterHalted:
		slog.Error("fleet: this keeper keeps no more", "why", e.Reason)
	case fleet.VotersRecovered:
		if e.Refusal != "" {
			slog.Warn("fleet: the voters were not recovered", "reason", e.Reason, "why", e.Refusal)
		} else {
			slog.Warn("fleet: the voters were recovered from this front's disk", "voters no more", e.Lost, "index", e.Index, "term", e.Term, "reason", e.Reason)
		}
	case fleet.FrontDisplaced:
		slog.Error("fleet: this front stays out of it; end one of the two and start this one again", "why", e.Reason)
	case fleet.StateUnreadable:
		slog.Error("fleet: the record can't be read further; bring the program up to date", "index", e.Index, "why", e.Reason)
	case fleet.BroadcastRejected:
		slog.Warn("fleet: refused", "duty", e.Lease, "term", e.Term, "of", e.From, "why", e.Reason)
	case fleet.BecameLeader, fleet.LostLeadership:
		slog.Info("fleet: this keeper "+e.Fields().Kind, "term", e.Fields().Term)
	case fleet.FrontJoined, fleet.FrontLeft:
		slog.Debug("fleet: "+e.Fields().Kind, "front", e.Fields().Name)
	case fleet.LinkClosed:
		slog.Info("fleet: a link is let go", "peer", e.Peer, "why", e.Reason)
	}
}
