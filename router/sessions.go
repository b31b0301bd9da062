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
	key  uint64 // see sessionKey; 0 for an empty entry
	pos  time.Duration
	term int
}

// raise replaces the target by another if the other is later: it has a newer term, or a higher position in the same
// term.
func (t *sessionTarget) raise(to sessionTarget) {
	if to.term > t.term || to.term == t.term && to.pos > t.pos {
		t.pos, t.term = to.pos, to.term
	}
}

// sessions is a set-associative cache of session targets with a fixed size. A full bucket evicts its oldest target and
// raises the group's evictedTarget to it. evictedTarget applies to every session that isn't found. It is never too low,
// and every replica soon passes it.
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

// recordWrite stores the position of a session's write, unless clients carry tokens.
func (s *sessions) recordWrite(key uint64, g *group, pos time.Duration) {
	if s.clientCarriesToken {
		return
	}
	written := sessionTarget{key: key, pos: pos, term: g.term}
	bucket := s.bucket(written.key)
	oldest := &bucket[0]
	for i := range bucket {
		if bucket[i].key == written.key {
			bucket[i].raise(written)
			return
		}
		if oldest.key != 0 && (bucket[i].key == 0 || bucket[i].pos < oldest.pos) {
			oldest = &bucket[i]
		}
	}
	if oldest.key != 0 {
		g.evictedTarget.raise(*oldest)
	}
	*oldest = written
}

// requiredPosition returns the log position that a session's read must see, or never if there is none.
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
		if t.key == key {
			return max(token, g.inCurrentTerm(t.pos, t.term))
		}
	}
	return max(token, g.inCurrentTerm(g.evictedTarget.pos, g.evictedTarget.term))
}

// sessionKey identifies a session within a group.
func sessionKey(in *routing.Request) uint64 { return in.Session + uint64(in.Group) }

// RequiredPosition returns the log position that a read in flight must see, for an instance at another site.
func (r *Router) RequiredPosition(ref routing.RequestRef) (time.Duration, bool) {
	req := &r.slots[ref.Slot]
	return req.requiredPosition, req.Ref == ref && req.requiredPosition != never
}
