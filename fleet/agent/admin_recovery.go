package agent

import (
	"log/slog"
	"net/url"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/fleet"
)

// RecoveryStatus is the state of a recovery of the voters as the admin API reports it.
type RecoveryStatus struct {
	State           fleet.RecoveryState `json:"state"`
	Reason          string              `json:"reason"`
	RejectionReason string              `json:"fault,omitempty"` // why the recovery was rejected
	WaitSeconds     float64             `json:"wait_s"`          // time until all leases of the lost voters have expired
	Lost            []string            `json:"lost"`            // the voters that are removed
	Index           uint64              `json:"index"`           // index of this front's replicated state
}

// registerRecovery registers the handlers for a recovery of the voters from this front's disk.
func (a *Agent) registerRecovery(s *adminapi.Server) {
	s.HandlePost("/v1/fleet/voters/recover", a.startRecovery)
	s.HandleGet("/v1/fleet/voters/recovery", func(url.Values) (any, error) { return a.recoveryStatus() })
}

// startRecovery starts a recovery if the request confirms it, and returns its status.
func (a *Agent) startRecovery(q url.Values) (any, error) {
	if q.Get("confirm") != "yes" {
		return nil, adminapi.RejectedError("a recovery needs confirm=yes: it may lose what the lost voters acknowledged")
	}
	reason := q.Get("reason")
	var err error
	a.mesh.Do(func(n *fleet.Node, now time.Duration) { err = n.RecoverVoters(now, reason) })
	if err != nil {
		slog.Warn("fleet: voter recovery rejected", "reason", reason, "err", err)
		return nil, adminapi.RejectedError(err.Error())
	}
	slog.Warn("fleet: voter recovery started from this front's disk", "reason", reason)
	return a.recoveryStatus()
}

// recoveryStatus returns the present status of the last recovery of the voters that was requested at this front since it started, whether
// it has ended or not. WaitSeconds is 0 once the wait for the leases is over. The error is a RejectedError if no recovery was requested.
func (a *Agent) recoveryStatus() (s RecoveryStatus, err error) {
	err = adminapi.RejectedError("no recovery was asked for since this front started")
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		if r := n.Recovery(); r != nil {
			wait := max(0, r.DueAt-now)
			s = RecoveryStatus{State: r.State, Reason: r.Reason, WaitSeconds: wait.Seconds(), Lost: r.Lost, Index: n.State().Index}
			if r.Err != nil {
				s.RejectionReason = r.Err.Error()
			}
			err = nil
		}
	})
	return s, err
}
