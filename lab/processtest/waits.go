package processtest

import (
	"fmt"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/fleet/agent"
)

// Waits until the fleet stands as a script wants it.

// whole says what a fleet lacks that has settled, "" for nothing.
func (r *Rig) whole() string {
	holders := map[string]bool{}
	leases := map[string]bool{}
	for _, f := range r.fronts {
		s, err := f.seen()
		switch {
		case err != nil:
			return f.Name + " has no control socket"
		case s.Alone:
			return f.Name + " is alone"
		case len(s.Fronts) < len(r.fronts):
			return fmt.Sprintf("%s knows of %d fronts", f.Name, len(s.Fronts))
		case len(s.Leases) == 0:
			return f.Name + " knows of no duty"
		}
		for _, d := range s.Leases {
			leases[d.Lease] = true
			if d.Left > 0 {
				holders[d.Lease] = true
			}
		}
	}
	for d := range leases {
		if !holders[d] {
			return "nobody holds " + d
		}
	}
	return ""
}

// rolled says what versions lack that a fleet at rest has: none on its way, and every front on the one in force.
func (r *Rig) rolled() string {
	if r.Script.Right == 0 {
		return ""
	}
	f := r.fronts[0]
	s, err := f.rolls()
	if err != nil {
		return f.Name + " says nothing of versions"
	}
	if s.Next != 0 {
		return fmt.Sprintf("version %d is on its way: %s, wave %d, %s", s.Next, s.Phase, s.Stage, s.Reason)
	}
	for _, x := range s.Fronts {
		if x.ActiveVersion != s.Base {
			return fmt.Sprintf("%s acts on version %d, and %d is in force", x.Front, x.ActiveVersion, s.Base)
		}
	}
	if len(s.Fronts) < len(r.fronts) {
		return fmt.Sprintf("%d fronts tell their version", len(s.Fronts))
	}
	return ""
}

func (f *Front) rolls() (s agent.RolloutStatus, err error) {
	err = adminapi.Call(f.socket(), "GET", "/v1/fleet/roll", nil, &s)
	return s, err
}

// rest lets the fleet come back after the script, and says what it lacks still.
func (r *Rig) rest() string {
	if r.Script.Off {
		return ""
	}
	bad := ""
	for end := time.Now().Add(12*r.Script.Span + 5*time.Second + 5*r.Script.Right); ; time.Sleep(50 * time.Millisecond) {
		if bad = r.whole(); bad == "" {
			bad = r.rolled()
		}
		if bad == "" || time.Now().After(end) {
			return bad
		}
	}
}

func (r *Rig) status() (all []seen) {
	if r.Script.Off {
		return nil
	}
	for _, f := range r.fronts {
		if s, err := f.seen(); err == nil {
			all = append(all, s)
		}
	}
	return all
}
