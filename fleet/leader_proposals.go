package fleet

import "time"

// maxRememberedProposals is how many proposals of each front the leader remembers. A front has at most maxPendingRequests that
// are not answered yet; the leader also remembers requests that were answered recently.
const maxRememberedProposals = 4 * maxPendingRequests

// proposalMemory stores the requests that a leader has proposed, by requester, so that it proposes no repeated request again. A
// requester repeats each unanswered request once in a heartbeat interval. So a request that was not received for a full lease
// duration will not be repeated and can be removed. Where the memory is full, further requests wait until it has room.
type proposalMemory struct {
	recent, previous map[string]map[uint64]bool // the request IDs received in this lease duration, and in the one before
	rotatedAt        time.Duration
}

func newProposalMemory(now time.Duration) proposalMemory {
	return proposalMemory{recent: map[string]map[uint64]bool{}, rotatedAt: now}
}

// admit reports whether a request may be proposed: it is new, and the memory has room for it. A request that is not new is
// remembered for longer.
func (m *proposalMemory) admit(requester string, id uint64) bool {
	if m.recent[requester][id] || m.previous[requester][id] {
		m.add(requester, id)
		return false
	}
	if m.recent[requester] == nil {
		return len(m.recent) < maxKnownFronts
	}
	return len(m.recent[requester]) < maxRememberedProposals
}

// add stores a request for at least one lease duration.
func (m *proposalMemory) add(requester string, id uint64) {
	if m.recent[requester] == nil {
		m.recent[requester] = map[uint64]bool{}
	}
	m.recent[requester][id] = true
}

// rotate removes the requests that were not received for a full lease duration. It does nothing until a lease duration has
// passed since its last effect.
func (m *proposalMemory) rotate(now, leaseDuration time.Duration) {
	if now-m.rotatedAt < leaseDuration {
		return
	}
	m.rotatedAt = now
	m.recent, m.previous = map[string]map[uint64]bool{}, m.recent
}
