package router

import (
	"time"

	"dapplerouter/routing"
)

// What must a session's read see? Inputs: positions of its writes' answers, or the token that it brings. Invariant: a target is never
// lowered within a primary's term, and what is forgotten raises the floor (docs/design.md, the mechanism: "within a writer generation,
// the session's target LSN is monotonic").

// sessionTarget is the log position of a session's last write in a group, within a primary's term.
type sessionTarget struct {
	key  uint64
	pos  time.Duration
	term int
}

// raise keeps the later of two: never lowered within a term, and a newer term's stands above.
func (t *sessionTarget) raise(by sessionTarget) {
	if by.term > t.term || by.term == t.term && by.pos > t.pos {
		t.pos, t.term = by.pos, by.term
	}
}

// sessions is a table of fixed size. A full place forgets its oldest target into the floor of its group,
// which then stands for every session not found: never too low, and soon passed by every replica.
type sessions struct {
	clientCarriesToken bool
	entries            []sessionTarget
}

const (
	bucketSize = 4       // targets that share a place
	tableSize  = 1 << 14 // a bound on memory; a smaller table only raises the floor sooner
)

func newSessions(carried bool) sessions {
	if carried {
		return sessions{clientCarriesToken: true}
	}
	return sessions{entries: make([]sessionTarget, tableSize)}
}

func (s *sessions) bucket(key uint64) []sessionTarget {
	i := int((key*0x9E3779B97F4A7C15)>>32) % (len(s.entries) / bucketSize) * bucketSize
	return s.entries[i : i+bucketSize]
}

// recordWrite keeps the position of a session's write.
func (s *sessions) recordWrite(key uint64, g *group, pos time.Duration) {
	if s.clientCarriesToken {
		return
	}
	by := sessionTarget{key: key, pos: pos, term: g.term}
	set := s.bucket(by.key)
	oldest := &set[0]
	for i := range set {
		if set[i].key == by.key {
			set[i].raise(by)
			return
		}
		if oldest.key != 0 && (set[i].key == 0 || set[i].pos < oldest.pos) {
			oldest = &set[i]
		}
	}
	if oldest.key != 0 {
		g.forgottenTarget.raise(*oldest)
	}
	*oldest = by
}

// requiredPosition is the position that a session's read must see, never for none.
func (s *sessions) requiredPosition(now time.Duration, in *routing.Request, g *group) time.Duration {
	token := never
	if in.TokenAge > 0 { // it names a moment, not a term; one before this term's start is of an older term
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
	return max(token, g.inCurrentTerm(g.forgottenTarget.pos, g.forgottenTarget.term))
}

// sessionKey names a session in a group.
func sessionKey(in *routing.Request) uint64 { return in.Session + uint64(in.Group) }

// RequiredPosition tells the position that a read in hand must see, for an instance of another site.
func (r *Router) RequiredPosition(ref routing.RequestRef) (time.Duration, bool) {
	t := &r.slots[ref.Slot]
	return t.requiredPosition, t.Ref == ref && t.requiredPosition != never
}
