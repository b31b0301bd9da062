package zones

import "time"

// Decisions are the replicated decisions as one front follows them. The deadline of a decision counts from when the front received its
// latest renewal, on the front's own clock. After the deadline the decision expires gradually, over the length of another deadline.
type Decisions struct {
	byZone map[string]decision
}

// decision is the latest entry of a zone, and when the front received it.
type decision struct {
	ZoneStatus
	receivedAt time.Duration
}

// NewDecisions makes Decisions that evacuate nothing.
func NewDecisions() *Decisions { return &Decisions{byZone: map[string]decision{}} }

// Update takes the present replicated state. A decision that is not newer than the known one changes nothing.
func (d *Decisions) Update(now time.Duration, s State) {
	for _, status := range s.Zones {
		known, ok := d.byZone[status.Zone]
		if ok && (status.Epoch < known.Epoch || status.Epoch == known.Epoch && status.Renewals <= known.Renewals) {
			continue
		}
		d.byZone[status.Zone] = decision{status, now}
	}
}

// EvacuatedShare returns the share of a zone's movable traffic that this front sends to other zones at a time, 0 to 1.
func (d *Decisions) EvacuatedShare(now time.Duration, zone string) float64 {
	known, ok := d.byZone[zone]
	if !ok || known.EvacuatedPermille == 0 {
		return 0
	}
	share := float64(known.EvacuatedPermille) / 1000
	if known.Deadline <= 0 {
		return share
	}
	overdue := now - known.receivedAt - known.Deadline
	if overdue <= 0 {
		return share
	}
	return max(0, share*(1-overdue.Seconds()/known.Deadline.Seconds()))
}

// SessionMoves reports whether the traffic of a session goes to other zones. It depends on a hash of the session and the zone, so all
// fronts agree and a session moves as a whole. A larger share moves more sessions, and keeps those that have moved.
func SessionMoves(session uint64, zone string, evacuatedShare float64) bool {
	h := session*0x9e3779b97f4a7c15 + uint64(len(zone))
	for _, c := range []byte(zone) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return float64(h>>11)/(1<<53) < evacuatedShare
}
