package fleet

import "time"

// maxRememberedProposals is how many proposals of each front the leader remembers. A front has at most maxPendingRequests without
// an answer; those that were answered a moment ago are remembered as well.
const maxRememberedProposals = 4 * maxPendingRequests

// proposalMemory is the requests that a leader has proposed, by requester: a repeated one must not be proposed again. A requester
// repeats each unanswered request once in a heartbeat interval, so a request that was not received for a full lease duration
// is not repeated any more and may be forgotten. Where the memory is full, further requests wait until it has room.
type proposalMemory struct {
	recent, previous map[string]map[uint64]bool // in this lease duration, and in the one before
	rotatedAt        time.Duration
}

func newProposalMemory(now time.Duration) proposalMemory {
	return proposalMemory{recent: map[string]map[uint64]bool{}, rotatedAt: now}
}

// admit reports whether a request may be proposed: it is new, and there is room to remember it.
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

// add remembers a request, from now on for a lease duration at least.
func (m *proposalMemory) add(requester string, id uint64) {
	if m.recent[requester] == nil {
		m.recent[requester] = map[uint64]bool{}
	}
	m.recent[requester][id] = true
}

// rotate forgets what was not received for a full lease duration.
func (m *proposalMemory) rotate(now, leaseDuration time.Duration) {
	if now-m.rotatedAt < leaseDuration {
		return
	}
	m.rotatedAt = now
	m.recent, m.previous = map[string]map[uint64]bool{}, m.recent
}
