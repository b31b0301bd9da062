package router

import (
	"time"

	"dapplerouter/routing"
)

// This file determines what a session's read must see. Inputs: the log positions in the answers to the session's
// writes, or the token that the client carries. Invariant: a session's target is never lowered within a term, and an
// evicted target raises its group's (docs/design.md, the mechanism: "within a writer generation, the session's target
// LSN is monotonic").

// sessionTarget is the log position of a session's last write in a group, with the term of the group's primary.
type sessionTarget struct {
	key   uint64 // see sessionKey; 0 for an empty entry
	group *group // with the key, it identifies the session: sessions of different groups may have the same key
	pos   time.Duration
	term  int
}

// isOf reports whether the entry is the target of the session with a key in a group.
func (t *sessionTarget) isOf(key uint64, g *group) bool { return t.key == key && t.group == g }

// raise replaces the target by another of the same group if the other is later: it has a newer term, or a higher position
// in the same term.
func (t *sessionTarget) raise(to sessionTarget) {
	if to.term > t.term || to.term == t.term && to.pos > t.pos {
		t.pos, t.term = to.pos, to.term
	}
}

// sessions is a set-associative cache of session targets with a fixed size, which all groups share. A full bucket evicts
// the target with the lowest log position and raises to it the evictedTarget of that target's group. A group's
// evictedTarget applies to each of its sessions that isn't found, so it must never be too low. It is expected, but not
// guaranteed, that the replicas soon pass it, since it is the position of an older write.
type sessions struct {
	clientCarriesToken bool
	targets            []sessionTarget
}

const (
	sessionBucketSize = 4       // number of entries
	sessionTableSize  = 1 << 14 // number of entries; a smaller table only evicts sooner
)

func newSessions(clientCarriesToken bool) sessions {
	if clientCarriesToken {
		return sessions{clientCarriesToken: true}
	}
	return sessions{targets: make([]sessionTarget, sessionTableSize)}
}

// bucket returns the entries that may hold a key.
func (s *sessions) bucket(key uint64) []sessionTarget {
	i := int((key*0x9E3779B97F4A7C15)>>32) % (len(s.targets) / sessionBucketSize) * sessionBucketSize
	return s.targets[i : i+sessionBucketSize]
}

// recordWrite raises the session's target to the position of a write in the current term of the group. It never lowers
// a target. A session that has none gets one, which may evict another session's, also of another group. In deployments
// whose clients carry tokens it does nothing, since the token then gives the required position.
func (s *sessions) recordWrite(key uint64, g *group, pos time.Duration) {
	if s.clientCarriesToken {
		return
	}
	written := sessionTarget{key: key, group: g, pos: pos, term: g.term}
	bucket := s.bucket(written.key)
	oldest := &bucket[0]
	for i := range bucket {
		if bucket[i].isOf(key, g) {
			bucket[i].raise(written)
			return
		}
		if oldest.key != 0 && (bucket[i].key == 0 || bucket[i].pos < oldest.pos) {
			oldest = &bucket[i]
		}
	}
	if oldest.key != 0 {
		oldest.group.evictedTarget.raise(*oldest)
	}
	*oldest = written
}

// requiredPosition returns the log position that a session's read must see. It is the later of the client's token and
// the session's target. If the session isn't found, the group's evictedTarget takes the place of its target. Where clients
// carry tokens, only the token counts. If the read has no such requirement, the result is the constant never.
func (s *sessions) requiredPosition(now time.Duration, in *routing.Request, g *group) time.Duration {
	token := never
	if in.TokenAge > 0 { // a time without a term; one before the start of this term belongs to an older term
		token = max(now-in.TokenAge, g.termStart)
	}
	if s.clientCarriesToken || in.Session == 0 {
		return token
	}
	key := sessionKey(in)
	for _, t := range s.bucket(key) {
		if t.isOf(key, g) {
			return max(token, g.inCurrentTerm(t.pos, t.term))
		}
	}
	return max(token, g.inCurrentTerm(g.evictedTarget.pos, g.evictedTarget.term))
}

// sessionKey returns the key under which a session's target in a group is found.
func sessionKey(in *routing.Request) uint64 { return in.Session + uint64(in.Group) }

// RequiredPosition returns the log position that a read in flight must see, for an instance at another site. It reports
// false if the read requires no position, or if ref is not, or no longer, the request in its slot.
func (r *Router) RequiredPosition(ref routing.RequestRef) (time.Duration, bool) {
	req := &r.slots[ref.Slot]
	return req.requiredPosition, req.Ref == ref && req.requiredPosition != never
}
