package router

import (
	"time"

	"dapplerouter/routing"
)

// What must a session's read see? Inputs: the positions of its writes' answers, or the token that it carries. Invariant: a session's
// target is never lowered within a term, and what is forgotten raises its group's (docs/design.md, the mechanism: "within a writer
// generation, the session's target LSN is monotonic").

// sessionTarget is the log position of a session's last write in a group, within a term of its primary.
type sessionTarget struct {
	key  uint64 // of sessionKey, 0 for an empty entry
	pos  time.Duration
	term int
}

// raise keeps the later of two targets: that of the newer term, within a term the higher one.
func (t *sessionTarget) raise(to sessionTarget) {
	if to.term > t.term || to.term == t.term && to.pos > t.pos {
		t.pos, t.term = to.pos, to.term
	}
}

// sessions is a set-associative cache of fixed size. A full bucket forgets its oldest target into its group's
// forgottenTarget, which then counts for every session that isn't found: it is never too low, and every replica is soon
// past it.
type sessions struct {
	clientCarriesToken bool
	targets            []sessionTarget
}

const (
	bucketSize = 4       // entries
	tableSize  = 1 << 14 // entries; a smaller table only forgets sooner
)

func newSessions(clientCarriesToken bool) sessions {
	if clientCarriesToken {
		return sessions{clientCarriesToken: true}
	}
	return sessions{targets: make([]sessionTarget, tableSize)}
}

func (s *sessions) bucket(key uint64) []sessionTarget {
	i := int((key*0x9E3779B97F4A7C15)>>32) % (len(s.targets) / bucketSize) * bucketSize
	return s.targets[i : i+bucketSize]
}

// recordWrite keeps the position of a session's write.
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
		g.forgottenTarget.raise(*oldest)
	}
	*oldest = written
}

// requiredPosition is the log position that a session's read must see, never for none.
func (s *sessions) requiredPosition(now time.Duration, in *routing.Request, g *group) time.Duration {
	token := never
	if in.TokenAge > 0 { // it is a time, without a term: one before the start of this term is of an older one
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

// sessionKey identifies a session in a group.
func sessionKey(in *routing.Request) uint64 { return in.Session + uint64(in.Group) }

// RequiredPosition is the position that a read in flight must see, for an instance at another site.
func (r *Router) RequiredPosition(ref routing.RequestRef) (time.Duration, bool) {
	req := &r.slots[ref.Slot]
	return req.requiredPosition, req.Ref == ref && req.requiredPosition != never
}
