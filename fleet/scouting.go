package fleet

import (
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// ScoutDuty is the duty of asking after a group's members for all.
func ScoutDuty(group int64) string { return "scout/" + strconv.FormatInt(group, 10) }

// Look is what a scout found at a member: how its question ended, and never a position or a role. It may make another front
// try a member earlier or later; it proves no freshness and makes no primary.
type Look struct {
	_msgpack struct{} `msgpack:",as_array"`

	Member string
	Well   bool
	Code   string // of its refusal, "" for none
	Broke  bool   // the connection broke behind the question; else, where it is not well, none came up or nothing came back
	Open   bool   // it was asked, and nothing has come back so far: its end follows
}

// Encode puts a look into an act.
func (l Look) Encode() []byte {
	b, err := msgpack.Marshal(&l)
	if err != nil {
		panic("a look that can't be written: " + err.Error()) // of our own making
	}
	return b
}

// ReadLook takes an act of a scout apart.
func ReadLook(data []byte) (l Look, ok bool) {
	err := msgpack.Unmarshal(data, &l)
	return l, err == nil && l.Member != "" && len(l.Member) <= mostName && len(l.Code) <= 5
}

// Scouting is what a front makes of a scout's looks: its own questions after members wait for a look that may come, for a
// moment, and go out by themselves where none does. Q is a question that waits.
type Scouting[Q any] struct {
	Fresh time.Duration // a look answers questions for so long, or until another is overdue by as much
	Hold  time.Duration // a question waits for one; twice as long where the scout is at it

	looks   map[string]looked
	open    map[string]time.Duration // members that the scout is at, since when it said so
	held    map[string][]heldQuestion[Q]
	errands map[string]time.Duration
	Saved   int // questions that a look answered
}

type looked struct {
	Look
	term  uint64
	at    time.Duration
	every time.Duration // between the last two
}

type heldQuestion[Q any] struct {
	q     Q
	until time.Duration
}

// NewScouting makes one.
func NewScouting[Q any](fresh, hold time.Duration) *Scouting[Q] {
	return &Scouting[Q]{Fresh: fresh, Hold: hold, looks: map[string]looked{}, open: map[string]time.Duration{}, held: map[string][]heldQuestion[Q]{}, errands: map[string]time.Duration{}}
}

// What becomes of a question.
const (
	AskIt    = iota // it goes out
	AnswerIt        // by the look that is given
	HoldIt          // it waits; Due gives it back, or Take answers it
)

// Wish says what becomes of a question after a member; hold is false for the scout itself and for who hears nobody.
func (s *Scouting[Q]) Wish(now time.Duration, member string, q Q, hold bool) (what int, look Look) {
	if !hold {
		return AskIt, look
	}
	if l, ok := s.looks[member]; ok && now-l.at < s.Fresh+min(l.every, 4*s.Fresh) {
		s.Saved++
		return AnswerIt, l.Look
	}
	if len(s.held) >= mostKnown {
		return AskIt, look
	}
	until := now + s.Hold
	if at, ok := s.open[member]; ok && now-at < 2*s.Hold {
		until += s.Hold
	}
	s.held[member] = append(s.held[member], heldQuestion[Q]{q, until})
	return HoldIt, look
}

// Take takes a scout's look of a term, and gives the questions that it answers. One of an older term than the last look's
// displaces nothing.
func (s *Scouting[Q]) Take(now time.Duration, term uint64, l Look) (answers []Q) {
	was, ok := s.looks[l.Member]
	if ok && term < was.term || !ok && len(s.looks) >= mostKnown {
		return nil
	}
	if l.Open { // who waits for a look waits on
		s.open[l.Member] = now
		for i := range s.held[l.Member] {
			s.held[l.Member][i].until += s.Hold
		}
		return nil
	}
	delete(s.open, l.Member)
	next := looked{l, term, now, 0}
	if ok {
		next.every = now - was.at
	}
	s.looks[l.Member] = next
	for _, h := range s.held[l.Member] {
		answers = append(answers, h.q)
	}
	s.Saved += len(answers)
	delete(s.held, l.Member)
	return answers
}

// Errand is another front's wish that this scout look after a member: true where it has not looked, nor begun to, for as
// long as a question waits.
func (s *Scouting[Q]) Errand(now time.Duration, member string) bool {
	if at, ok := s.errands[member]; ok && now-at < 2*s.Hold || !ok && len(s.errands) >= mostKnown {
		return false
	}
	s.errands[member] = now
	return true
}

// Due gives the questions that waited long enough, by member.
func (s *Scouting[Q]) Due(now time.Duration) (out []Q) {
	for member, all := range s.held {
		rest := all[:0]
		for _, h := range all {
			if now >= h.until {
				out = append(out, h.q)
			} else {
				rest = append(rest, h)
			}
		}
		if s.held[member] = rest; len(rest) == 0 {
			delete(s.held, member)
		}
	}
	return out
}
