package zones

import "time"

// Decisions are the replicated decisions as one front follows them: each counts from when the front received it, on its own clock, and
// where it is not renewed it expires gradually, over another deadline's length.
type Decisions struct {
	byZone map[string]decision
}

type decision struct {
	ZoneStatus
	receivedAt time.Duration
}

// NewDecisions makes Decisions that evacuate nothing.
func NewDecisions() *Decisions { return &Decisions{byZone: map[string]decision{}} }

// Update takes the state as it is replicated now. A decision that is older than the one known changes nothing.
func (d *Decisions) Update(now time.Duration, s State) {
	for _, status := range s.Zones {
		known, ok := d.byZone[status.Zone]
		if ok && (status.Epoch < known.Epoch || status.Epoch == known.Epoch && status.Renewals <= known.Renewals) {
			continue
		}
		d.byZone[status.Zone] = decision{status, now}
	}
}

// EvacuatedShare is the share of a zone's movable traffic that this front sends to other zones now, 0 to 1.
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

// SessionMoves reports whether a session's traffic goes to other zones: by its fingerprint, the same at each front, so that a session
// moves as a whole. A share that grows moves more sessions and returns none.
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
