package processtest

import (
	"fmt"
	"time"
)

// waitUntilSettled waits after the script until the fleet has settled. It returns "" if the fleet settles in time, and otherwise a
// message that says what is missing.
func (h *Harness) waitUntilSettled() string {
	if h.Script.WithoutFleet {
		return ""
	}
	limit := 12*h.Script.LeaseDuration + 5*time.Second + 5*h.Script.Rollouts.ConfigLease
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		missing := h.unsettledLeases()
		if missing == "" {
			missing = h.unsettledRollout()
		}
		if missing == "" || time.Now().After(deadline) {
			return missing
		}
	}
}

// unsettledLeases returns "" if every front has a leader and knows all other fronts, and every lease has a holder. Otherwise it
// returns a message about the first condition that does not hold.
func (h *Harness) unsettledLeases() string {
	leases, hasHolder := map[string]bool{}, map[string]bool{}
	for _, f := range h.fronts {
		s, err := f.status()
		switch {
		case err != nil:
			return f.Name + " has no control socket"
		case s.Alone:
			return f.Name + " has no leader"
		case len(s.Fronts) < len(h.fronts):
			return fmt.Sprintf("%s knows of %d fronts", f.Name, len(s.Fronts))
		case len(s.Leases) == 0:
			return f.Name + " knows of no lease"
		}
		for _, l := range s.Leases {
			leases[l.Lease] = true
			if l.Left > 0 {
				hasHolder[l.Lease] = true
			}
		}
	}
	for lease := range leases {
		if !hasHolder[lease] {
			return "no front holds " + lease
		}
	}
	return ""
}

// unsettledRollout returns "" if no rollout is in progress and every front acts on the version in force. Otherwise it returns a
// message about the first condition that does not hold.
func (h *Harness) unsettledRollout() string {
	if !h.Script.Rollouts.Enabled() {
		return ""
	}
	f := h.fronts[0]
	s, err := f.rolloutStatus()
	if err != nil {
		return f.Name + " reports no rollout status"
	}
	if s.Next != 0 {
		return fmt.Sprintf("version %d is being rolled out: %s, stage %d, %s", s.Next, s.Phase, s.Stage, s.Reason)
	}
	for _, x := range s.Fronts {
		if x.ActiveVersion != s.Base {
			return fmt.Sprintf("%s acts on version %d, and %d is in force", x.Front, x.ActiveVersion, s.Base)
		}
	}
	if len(s.Fronts) < len(h.fronts) {
		return fmt.Sprintf("%d fronts report their version", len(s.Fronts))
	}
	return ""
}

// statuses returns the status of every front that answers.
func (h *Harness) statuses() (all []frontStatus) {
	if h.Script.WithoutFleet {
		return nil
	}
	for _, f := range h.fronts {
		if s, err := f.status(); err == nil {
			all = append(all, s)
		}
	}
	return all
}
