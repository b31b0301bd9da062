package proxysim

import (
	"bytes"
	"fmt"
	"time"

	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/pgwire"
)

// Member is a modelled member: some servers with one queue before them, service times by an exponential law, a log that a
// replica applies with a lag. What reached it is counted here, and nowhere else.
type Member struct {
	Name, Zone string
	Group      int64
	Primary    bool
	Servers    int
	Service    time.Duration // mean, of a warm member
	Lag        time.Duration // of a replica's log
	Hangs      bool          // takes what comes and says nothing
	Down       bool          // refuses connections
	Since      int64         // Unix milliseconds of its last start, as lists tell it

	t      *Town
	busy   int
	queue  []*work
	Probes int
	Seen   []Seen
	Did    map[string]int // by id: changes that took effect
	marks  map[string]time.Duration
}

// Seen is an attempt that reached a member.
type Seen struct {
	ID, Front string
	At        time.Duration // the world's
}

type work struct {
	id, mark string
	write    bool
	answer   func(pgwire.QueryResult)
	cut      *bool
}

func (m *Member) address() string { return m.Name }

func (m *Member) entry() discovery.Endpoint {
	return discovery.Endpoint{Name: m.Name, Address: m.address(), Zone: m.Zone, ServerType: "std", Group: m.Group, Weight: 1, Primary: m.Primary, StartedAtMillis: m.Since}
}

// came takes an attempt that has arrived; answer carries what it says back.
func (m *Member) came(from string, message []byte, cut *bool, answer func(pgwire.QueryResult)) {
	if bytes.Contains(message, []byte("SHOW load")) {
		m.Probes++
		if !m.Hangs {
			answer(m.says(pgwire.SingleValueResult(fmt.Appendf(nil, "x0=%.3f,x1=%d,inflight=%d", float64(m.applied())/1e3, map[bool]int{true: 1}[m.Primary], m.busy+len(m.queue)))))
		}
		return
	}
	s, err := pgwire.ParseStatement(message[5:])
	if err != nil {
		answer(pgwire.QueryResult{Code: pgwire.CodeSyntaxError})
		return
	}
	w := &work{id: string(s.ID), write: s.Write, answer: answer, cut: cut}
	if s.Write {
		w.mark = string(s.Key)
	}
	m.Seen = append(m.Seen, Seen{w.id, from, m.t.Now})
	switch {
	case m.Hangs:
		return
	case s.Write && !m.Primary:
		answer(m.says(pgwire.QueryResult{Code: pgwire.CodeReadOnlyTransaction}))
		return
	case s.After > m.applied():
		answer(m.says(pgwire.QueryResult{Code: pgwire.CodeSnapshotTooOld}))
		return
	}
	m.queue = append(m.queue, w)
	m.serve()
}

func (m *Member) serve() {
	for m.busy < m.Servers && len(m.queue) > 0 {
		w := m.queue[0]
		m.queue = m.queue[1:]
		if *w.cut {
			continue
		}
		m.busy++
		took := time.Duration(m.t.Rnd.ExpFloat64() * float64(m.Service))
		m.t.After(took, func() {
			m.busy--
			if at, ok := m.marks[w.mark]; w.write && (!ok || m.t.Now-at > 2*time.Second) {
				m.marks[w.mark] = m.t.Now
				m.Did[w.id]++
			}
			w.answer(m.says(pgwire.SingleValueResult([]byte(w.id))))
			m.serve()
		})
	}
}

// applied is its position, Unix milliseconds.
func (m *Member) applied() int64 {
	at := m.t.wall(m.t.Now)
	if !m.Primary {
		at -= m.Lag.Milliseconds()
	}
	return at
}

func (m *Member) says(a pgwire.QueryResult) pgwire.QueryResult {
	a.Role, a.AppliedMillis, a.HasApplied = "replica", m.applied(), true
	if m.Primary {
		a.Role = "primary"
	}
	return a
}

// links carries a front's attempts to members. It is a front.Links.
type links struct {
	f  *Front
	at []string // addresses, by the core's index of members
}

func (l *links) SetAddress(member int, address string, _ time.Duration) {
	for len(l.at) <= member {
		l.at = append(l.at, "")
	}
	l.at[member] = address
}

func (l *links) Remove(member int) { l.at[member] = "" }

func (l *links) Send(member int, s *front.Attempt) {
	f, t := l.f, l.f.t
	m := t.byName[l.at[member]]
	failed := func(reach front.FailureStage, why string) {
		f.post(&front.AttemptFinished{Attempt: s, Err: &front.ConnectionError{Stage: reach, Err: fmt.Errorf("%s", why)}})
	}
	f.host.After(t.way(), func(time.Duration) { // a connection that rests, or a new one
		if m == nil || m.Down {
			failed(front.StageDial, "refused")
			return
		}
		cut := new(bool)
		if !s.Begin(func() { *cut = true }) {
			return
		}
		message := s.Message()
		t.After(t.way(), func() {
			m.came(f.Name, message, cut, func(a pgwire.QueryResult) {
				t.After(t.way(), func() {
					if !*cut {
						f.host.After(0, func(time.Duration) { f.post(&front.AttemptFinished{Attempt: s, Answer: a}) })
					}
				})
			})
		})
	})
}
