// Package router decides where each txn goes.
//
// How it is called: New makes one instance; its host calls the methods of port.Decider as things come
// in, and Settle after the last event of each batch. What the instance may ask for is port.Host. Both,
// with every type that crosses, stand in package port. Nothing is shared between instances, and equal
// events give equal actions.
//
// The ordinary path: each session keeps its last write's log position as its target; its reads go to a
// replica whose own hold or refusal enforces that position, and fall back to the primary when the wait
// cannot be enforced or fails. docs/design.md says where this is extended and when that acts.
//
// In order: chance, members, groups and terms, session targets, choice, guards, a txn's life, the list
// and probes, the emitter.
package router

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"
	"time"

	"dapplerouter/port"
)

const (
	never = time.Duration(math.MinInt64 / 4)
	none  = port.None

	lateBy = 1.5
	growth = 1.0
)

// chance is the instance's own: a checksum over its seed and a counter.
type chance struct {
	seed, n uint64
}

// next is even between 0 and 1.
func (c *chance) next() float64 {
	var b [16]byte
	c.n++
	for i := range 8 {
		b[i], b[8+i] = byte(c.seed>>(8*i)), byte(c.n>>(8*i))
	}
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// --- Members: what is known of each, all unknown at birth.

type member struct {
	group, zone int
	listed      bool
	state       port.State
	bound       bool // the drain rule binds: nothing new
	weight      float64

	role     port.Role
	pos      time.Duration // highest position known; stays valid
	posAt    time.Duration // when it was learnt
	rate     float64       // how fast the position moves, of the clock's pace
	started  time.Duration // latest start known, never for the distant past
	isCold   bool
	out      int           // our submissions there without an ending
	others   float64       // held there by others, as last probed
	pace     float64       // latency there over the type's usual one
	waiting  time.Duration // since when something is out with no answer of any kind
	heard    time.Duration // last answer
	fails    int           // failures in a row
	down     bool          // not to be used but for trials
	trialAt  time.Duration // earliest next trial
	trust    float64       // share of its part of the traffic, grows back to 1
	sent     float64       // work sent there lately by us, decaying
	sentAt   time.Duration
	room     float64 // how much we may have out there: grows while answers are quick, shrinks when late
	cutAt    time.Duration
	sendAt   time.Duration
	budget   float64 // work that a cold member may still be sent
	budgetAt time.Duration
	probing  bool
	probed   time.Duration // last probe sent
	lost     time.Duration // last time that it was out of reach
}

// fresh estimates the position at a moment: what is known, moved on at the pace last seen.
func (m *member) fresh(at time.Duration) time.Duration {
	if m.role == port.Primary {
		return at
	}
	return m.pos + time.Duration(float64(at-m.posAt)*m.rate)
}

// place takes a position note.
func (m *member) place(now, pos time.Duration) {
	if dt := now - m.posAt; m.posAt != never && dt > 0 {
		seen := min(max(float64(pos-m.pos)/float64(dt), 0), 1)
		w := min(1, float64(dt)/float64(200*time.Millisecond))
		m.rate += (seen - m.rate) * w
	}
	if pos >= m.pos || m.posAt == never {
		m.pos = max(m.pos, pos)
		m.posAt = now
	}
}

// --- Groups: who is primary, by the newest claim in the log.

type group struct {
	members []int
	primary int           // none: unknown, or in doubt
	claim   time.Duration // log position of the newest claim to be primary
	by      int           // who made it
	term    int
	start   time.Duration // first position known of this term
	hinted  int           // who the list names
	lostAt  time.Duration // since when no primary is known
}

// --- Session targets: bounded, oldest forgotten first into the group's floor.

type target struct {
	key  uint64
	pos  time.Duration
	term int
}

type sessions struct {
	slots []target
	floor map[int]target
}

const ways = 4

func (s *sessions) set(key uint64) []target {
	h := (key * 0x9E3779B97F4A7C15) >> 32
	i := int(h%uint64(len(s.slots)/ways)) * ways
	return s.slots[i : i+ways]
}

// raise keeps the later of two targets: within a term never lowered, a newer term's stands above.
func (t *target) raise(by target) {
	if by.term > t.term || by.term == t.term && by.pos > t.pos {
		t.pos, t.term = by.pos, by.term
	}
}

func (s *sessions) wrote(session uint64, g int, pos time.Duration, term int) {
	by := target{key: session + uint64(g), pos: pos, term: term}
	set := s.set(by.key)
	oldest := 0
	for i := range set {
		if set[i].key == by.key {
			set[i].raise(by)
			return
		}
		if set[i].key == 0 || set[oldest].key != 0 && set[i].pos < set[oldest].pos {
			oldest = i
		}
	}
	if old := set[oldest]; old.key != 0 {
		f, ok := s.floor[g]
		if !ok {
			f = target{pos: never}
		}
		f.raise(old)
		s.floor[g] = f
	}
	set[oldest] = by
}

func (s *sessions) find(session uint64, g int) (target, bool) {
	key := session + uint64(g)
	for _, t := range s.set(key) {
		if t.key == key {
			return t, true
		}
	}
	f, ok := s.floor[g]
	return f, ok
}

// --- A txn in hand.

type verdict uint8

const (
	open verdict = iota
	decline
	rollBack
	closed
)

type txn struct {
	port.Txn
	begun, sla, expiry time.Duration
	needs              time.Duration // position that a read needs; never for any
	end                verdict
	subs               int
	at                 int // member where it is out, or none
	want               int // member where it should be out, or none
	sentAt             time.Duration
	leave              bool // revoked, its ending awaited
	left               int  // member left last
	missed             bool // a replica turned it away: the primary is next
	mayRun             bool // some submission may have run
	ranFirst           time.Duration
	ranAt              int
	held               bool
	queued             bool
	pri                float64 // value, marked down
}

// part is a customer's part of what comes here.
type part struct {
	share, seen float64
	seenAt      time.Duration
}

// Router is one instance.
type Router struct {
	host    port.Host
	at      port.Topology
	types   []port.TxnType
	copies  port.Replication
	rules   port.Guardrails
	allowed port.Allowance
	costs   port.Tariff
	chance  chance

	members  []member
	groups   []group
	sessions sessions
	txns     []txn
	dirty    []uint32 // to be planned and emitted
	held     []uint32
	usual    []float64 // usual latency by type, seconds
	base     []float64 // the least of it, slowly forgotten
	gain     float64   // how fast windows grow
	turn     int       // rotates among equals
	beat     time.Duration
	shortest time.Duration // shortest SLA time

	part      []part
	seen      float64
	seenAt    time.Duration
	again     float64 // further submissions still allowed
	probes    float64 // probes still paid for
	wakeAt    time.Duration
	asked     time.Duration // last call of the list
	answered  bool          // since then it was heard
	askAt     time.Duration
	wantWatch bool
}

// New makes an instance that knows nothing yet.
func New(h port.Host, seed uint64, at port.Topology, types []port.TxnType, customers []port.Customer,
	copies port.Replication, rules port.Guardrails, allowed port.Allowance, costs port.Tariff) port.Decider {
	r := &Router{host: h, at: at, types: types, copies: copies, rules: rules, allowed: allowed, costs: costs,
		chance: chance{seed: seed}, usual: make([]float64, len(types)),
		base: make([]float64, len(types)), gain: growth / float64(max(1, at.Fronts)), wakeAt: never, askAt: never,
		sessions: sessions{slots: make([]target, 1<<14), floor: map[int]target{}}}
	r.shortest = time.Hour
	for i, t := range types {
		r.shortest = min(r.shortest, t.SLA)
		r.usual[i] = t.SLA.Seconds() / 4
		r.base[i] = r.usual[i]
	}
	for _, c := range customers {
		r.part = append(r.part, part{share: c.Share})
	}
	r.beat = max(at.Tick, r.shortest/10)
	r.wantWatch = at.Ask
	r.askAt = 0
	return r
}

func (r *Router) group(g int) *group {
	for len(r.groups) <= g {
		r.groups = append(r.groups, group{primary: none, by: none, hinted: none, claim: never, start: never})
	}
	return &r.groups[g]
}

// --- What comes in.

// List takes what the list says; facts from answers beat it.
func (r *Router) List(now time.Duration, kind port.ListKind, _ int64, entries []port.Entry) {
	r.answered = true
	if kind == port.Failed {
		r.wantWatch = r.at.Ask
		r.askAt = now + time.Duration(float64(r.rules.AskWithin)*(0.02+0.08*r.chance.next()))
		return
	}
	if kind != port.Changes {
		for i := range r.members {
			r.members[i].listed = false
		}
	}
	for _, e := range entries {
		for len(r.members) <= e.Member {
			r.members = append(r.members, member{group: none, posAt: never, pos: never, started: never,
				heard: never, probed: never, lost: never, pace: 1, trust: 1, rate: 1, waiting: never,
				room: 4, cutAt: never, sendAt: never})
		}
		m := &r.members[e.Member]
		g := r.group(e.Group)
		if m.group == none {
			m.group = e.Group
			g.members = append(g.members, e.Member)
		}
		m.listed, m.zone, m.state, m.weight = true, e.Zone, e.State, e.Weight
		m.bound = e.State == port.Draining || e.State == port.Removed && (!r.rules.OnlyDrainingBinds || m.bound)
		if e.HasStarted && e.Started > m.started {
			r.restarted(m, e.Started, now)
		}
		if e.Primary && r.at.Roles != port.RoleNever && g.hinted != e.Member {
			g.hinted = e.Member
			if g.by == none || g.primary == none && g.by != e.Member {
				g.primary = e.Member
			}
		}
	}
	if kind != port.Changes {
		for i := range r.members {
			if m := &r.members[i]; !m.listed && !r.rules.OnlyDrainingBinds {
				m.bound = true
			}
		}
	}
}

// restarted notes a start: the member is cold from then on.
func (r *Router) restarted(m *member, at, now time.Duration) {
	m.started = at
	if now-at < r.rules.Cold {
		m.isCold = true
		m.budget, m.budgetAt = 0, now
	}
}

// Begin takes a txn.
func (r *Router) Begin(now time.Duration, in port.Txn) {
	for len(r.txns) <= int(in.Ref.Place) {
		r.txns = append(r.txns, txn{end: closed})
	}
	ty := &r.types[in.Type]
	t := &r.txns[in.Ref.Place]
	*t = txn{Txn: in, begun: now, sla: now + ty.SLA, expiry: now + in.Budget, needs: never,
		at: none, want: none, left: none, queued: t.queued, held: t.held}
	if in.Session != 0 && ty.Level == port.Session {
		g := r.group(in.Group)
		if r.copies.Carried {
			if in.TokenAge > 0 {
				t.needs = max(now-in.TokenAge, g.start)
			}
		} else if tg, ok := r.sessions.find(in.Session, in.Group); ok {
			t.needs = tg.pos
			if tg.term < g.term {
				t.needs = max(tg.pos, g.start)
			}
		}
	}
	if ty.Level == port.Current {
		t.needs = now
	}
	t.pri = ty.Value
	if in.Retry {
		t.pri /= 2
	}
	if in.Customer != none {
		if c := &r.part[in.Customer]; r.over(now, c) {
			t.pri *= r.costs.OverShare
		}
	}
	r.again = min(r.again+0.2, 20)
	if r.costs.Probe > 0 {
		r.probes = min(r.probes+min(0.2, 0.005/r.costs.Probe), 10)
	} else {
		r.probes = min(r.probes+0.2, 10)
	}
	r.queue(t)
}

func (r *Router) queue(t *txn) {
	if !t.queued {
		t.queued = true
		r.dirty = append(r.dirty, t.Ref.Place)
	}
}

func (r *Router) hold(t *txn) {
	if !t.held {
		t.held = true
		r.held = append(r.held, t.Ref.Place)
	}
}

// over counts a customer's txn and tells whether the customer is over its share of what comes here.
func (r *Router) over(now time.Duration, c *part) bool {
	f := math.Exp(-float64(now-r.seenAt) / float64(2*time.Second))
	r.seenAt, r.seen = now, r.seen*f+1
	c.seen, c.seenAt = c.seen*math.Exp(-float64(now-c.seenAt)/float64(2*time.Second))+1, now
	return r.seen > 20 && c.seen > r.seen*c.share*1.2
}

// Left ends a txn whose client is gone.
func (r *Router) Left(now time.Duration, ref port.Ref) {
	t := &r.txns[ref.Place]
	if t.Ref != ref || t.end == closed {
		return
	}
	t.end = closed
	if t.at != none && now-t.sentAt > time.Duration(r.usual[t.Type]*float64(time.Second)) {
		r.narrow(now, &r.members[t.at], 0.5)
	}
	if t.at != none && r.allowed.Revokes {
		t.want = none
		r.queue(t)
	}
}

// claims notes that a member says it is primary, or is not; the claim further on in the log wins.
func (r *Router) claims(now time.Duration, i int, role port.Role, pos time.Duration, has bool) {
	m := &r.members[i]
	g := r.group(m.group)
	if !has {
		pos = now
	}
	if role == port.Primary {
		if pos < g.claim && g.by != i {
			return
		}
		if g.by != i {
			if g.by != none {
				r.members[g.by].role = port.Replica
				r.members[g.by].pos = max(r.members[g.by].pos, never)
			}
			g.term++
			g.start, g.by = pos, i
		}
		g.claim = max(g.claim, pos)
		m.role = port.Primary
		if g.primary != i {
			g.primary = i
			r.release(m.group)
		}
		return
	}
	if g.by == i && has && pos < g.claim {
		return // an old report
	}
	m.role = port.Replica
	if g.primary == i {
		g.primary, g.lostAt = none, now
	}
}

// release looks again at what a group holds.
func (r *Router) release(g int) {
	for _, p := range r.held {
		if t := &r.txns[p]; t.Group == g && t.end == open {
			r.queue(t)
		}
	}
}

// Ended takes the ending of a submission.
func (r *Router) Ended(now time.Duration, o port.Outcome) {
	m := &r.members[o.Member]
	m.out--
	m.waiting = now
	t := &r.txns[o.Ref.Place]
	mine := t.Ref == o.Ref && t.at != none && o.Hop == t.subs-1
	r.judge(now, o, m, t, mine)
	if o.Role != port.Unknown {
		if o.HasPosition && o.Position > never {
			m.place(now, o.Position)
		}
		r.claims(now, o.Member, o.Role, o.Position, o.HasPosition)
	}
	if !mine {
		return
	}
	t.at, t.want, t.leave = none, none, false
	t.left = o.Member
	if !o.Ending.NeverRan() && !t.mayRun {
		t.mayRun, t.ranFirst, t.ranAt = true, t.sentAt, o.Member
	}
	if o.Ending == port.Committed && r.types[t.Type].Level == port.Write && t.Session != 0 && o.HasPosition {
		r.sessions.wrote(t.Session, t.Group, o.Position, r.group(t.Group).term)
	}
	if o.Closed {
		t.end = closed
	}
	if t.end == closed {
		return
	}
	if o.Ending == port.Missed {
		t.missed = true
	}
	r.queue(t)
}

// judge draws on an ending for the member's health.
func (r *Router) judge(now time.Duration, o port.Outcome, m *member, t *txn, mine bool) {
	switch o.Ending {
	case port.Committed, port.Missed, port.Errored:
		m.heard, m.waiting = now, now
		if o.Ending == port.Errored {
			m.fails++
			break
		}
		m.fails = 0
		if m.down {
			m.down, m.trust = false, 0.1
			if m.lost > m.started && m.lost != never {
				r.restarted(m, now, now)
			}
		}
		m.trust = min(1, m.trust*1.2)
		if o.Ending == port.Committed && mine {
			if o.Latency.Seconds() > lateBy*r.base[t.Type] {
				r.narrow(now, m, 0.75)
			} else if float64(m.out+1) >= m.room/2 {
				m.room = min(m.room+r.gain/max(m.room, 1), 64)
			}
			s := o.Latency.Seconds() / r.usual[t.Type]
			m.pace += (s - m.pace) * 0.1
			r.usual[t.Type] += (o.Latency.Seconds() - r.usual[t.Type]) * 0.02
			r.base[t.Type] = min(r.usual[t.Type], r.base[t.Type]*1.0005)
		}
	case port.Full:
		m.heard = now
		m.fails++
		r.narrow(now, m, 0.5)
	case port.Unreachable, port.Broken:
		m.fails++
		m.lost = now
		r.takeDown(now, m)
	case port.TimedOut:
		r.narrow(now, m, 0.5)
		if mine {
			if s := o.Latency.Seconds() / r.usual[t.Type]; s > m.pace {
				m.pace += (s - m.pace) * 0.1
			}
		}
		if now-m.heard > o.Latency {
			m.fails++
			r.takeDown(now, m)
		}
	}
}

// narrow lets less be out at a member, once for each usual latency.
func (r *Router) narrow(now time.Duration, m *member, by float64) {
	if now-m.cutAt < r.shortest/4 {
		return
	}
	m.cutAt = now
	m.room = max(m.room*by, r.gain/10)
}

// takeDown keeps traffic off a member; trials come sparingly.
func (r *Router) takeDown(now time.Duration, m *member) {
	m.trust = 0.1
	m.down = true
	m.trialAt = now + min(r.shortest<<min(m.fails, 4), 10*r.shortest)
	g := r.group(m.group)
	if g.primary != none && &r.members[g.primary] == m {
		g.primary, g.lostAt = none, now
	}
}

// Probed takes what a probe brought.
func (r *Router) Probed(now time.Duration, i int, e port.Ending, latency time.Duration, l port.Load) {
	m := &r.members[i]
	m.probing = false
	if e != port.Committed {
		if e == port.Unreachable || e == port.Broken || e == port.TimedOut {
			m.lost = now
			if now-m.heard > r.shortest {
				m.fails++
				r.takeDown(now, m)
			}
		}
		return
	}
	if l.Held >= 0 {
		m.others = max(0, l.Held-float64(m.out))
	}
	if l.HasPosition {
		m.place(now, l.Position)
	}
	if l.Role != port.Unknown {
		r.claims(now, i, l.Role, l.Position, l.HasPosition)
	}
	if m.down && m.out == 0 {
		m.trialAt = min(m.trialAt, now)
	}
}

// Heard takes a message from a peer; nothing is said between fronts yet.
func (r *Router) Heard(time.Duration, int, []byte) {}

// Woken is the beat.
func (r *Router) Woken(now time.Duration) {
	for i := range r.members {
		m := &r.members[i]
		if m.isCold && now-m.started > r.rules.Cold {
			m.isCold = false
		}
		if m.out > 0 && !m.down && now-m.waiting > r.patience(m) {
			m.fails++
			r.takeDown(now, m)
			r.leaveAll(i)
		}
	}
}

// patience is how long a member may answer nothing with something out: a crowded one is not silent.
func (r *Router) patience(m *member) time.Duration {
	u := 0.0
	for _, s := range r.usual {
		u = max(u, s)
	}
	return max(r.shortest*2, time.Duration(4*u*m.pace*float64(time.Second)))
}

// leaveAll takes what is out at a silent member away from it.
func (r *Router) leaveAll(i int) {
	if !r.allowed.Revokes {
		return
	}
	for p := range r.txns {
		t := &r.txns[p]
		if t.end == open && t.at == i && r.types[t.Type].Effect != port.OnceOnly {
			t.want = none
			r.queue(t)
		}
	}
}

// --- Guards.

// coldShare is the least part of its capacity that a cold member has.
func (r *Router) coldShare(now time.Duration, m *member) float64 {
	if !m.isCold {
		return 1
	}
	c := r.rules.ColdShare
	return min(1, c+(1-c)*float64(now-m.started)/float64(r.rules.Cold))
}

const sentFor = 2 * time.Second // span over which the work sent is remembered

func (m *member) sentLately(now time.Duration) float64 {
	m.sent *= math.Exp(-float64(now-m.sentAt) / float64(sentFor))
	m.sentAt = now
	return m.sent
}

// bear is the work that a warm member gets from us, a second.
func (r *Router) bear(now time.Duration) float64 {
	sum, n := 0.0, 0
	for i := range r.members {
		if m := &r.members[i]; !m.isCold && !m.down && !m.bound {
			sum += m.sentLately(now)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n) / sentFor.Seconds()
}

// admits tells whether a member may be sent work now, as far as its guards go.
func (r *Router) admits(now time.Duration, m *member, work float64) bool {
	if m.bound || !m.listed && !r.rules.OnlyDrainingBinds {
		return false
	}
	if m.room < 1 && (m.out > 0 || now-m.sendAt < time.Duration(float64(r.shortest)/4/m.room)) ||
		float64(m.out) >= max(1, m.room) {
		return false
	}
	if m.isCold {
		if m.out == 0 {
			return true
		}
		rate := math.Sqrt(r.rules.FallMultiple) * r.coldShare(now, m) * r.bear(now)
		m.budget = min(m.budget+rate*(now-m.budgetAt).Seconds(), rate*r.rules.Fall.Seconds()/4)
		m.budgetAt = now
		return m.budget >= work
	}
	return true
}

// --- Choice.

func (r *Router) cost(now time.Duration, m *member) float64 {
	return m.pace * (1 + float64(m.out) + m.others) / (r.coldShare(now, m) * m.trust)
}

// pick finds where a read goes: a fresh-enough replica of the zone, else of another, the cheapest of
// those; else the least behind, whose own check decides, as long as its hold can do it; else the primary.
func (r *Router) pick(now time.Duration, t *txn) int {
	ty := &r.types[t.Type]
	g := r.group(t.Group)
	needs := t.needs
	if ty.Level == port.Bounded {
		needs = now - ty.Bound
	}
	work := r.usual[t.Type]
	best, bestCost := none, math.Inf(1)
	behind, behindPos := none, never
	r.turn++
	n := len(g.members)
	for k := range n {
		i := g.members[(k+r.turn)%n]
		m := &r.members[i]
		if i == t.left && n > 1 || !r.admits(now, m, work) {
			continue
		}
		if m.down {
			if now < m.trialAt || m.out > 0 {
				continue
			}
		}
		c := r.cost(now, m)
		if m.zone != r.at.Zone {
			c *= 2
		}
		if i == g.primary {
			c *= 2
		}
		has := m.fresh(now)
		if r.copies.Check == port.Unchecked && m.role != port.Primary {
			has = m.pos
		}
		if i != g.primary && has > behindPos {
			behind, behindPos = i, has
		}
		if needs != never && has < needs || t.missed && i != g.primary {
			continue
		}
		if c < bestCost {
			best, bestCost = i, c
		}
	}
	if best != none {
		return best
	}
	if behind != none && !t.missed && r.copies.Check != port.Unchecked {
		b := &r.members[behind]
		if b.posAt == never || b.fresh(now+r.copies.Hold) >= needs || g.primary == none {
			return behind
		}
	}
	return none
}

// --- A txn's life.

// plan decides what should be out for a txn.
func (r *Router) plan(now time.Duration, t *txn) {
	if t.end != open || t.at != none {
		return
	}
	ty := &r.types[t.Type]
	if t.mayRun && ty.Effect != port.Repeatable {
		// A txn that may have run goes on only within what drops its repeats.
		if ty.Effect == port.OnceOnly || now-t.ranFirst > ty.Window*9/10 {
			r.giveUp(t)
			return
		}
	}
	last := t.expiry - 2*r.beat
	if ty.Level != port.Write && ty.Late == 0 {
		last = min(last, t.sla-time.Duration(r.usual[t.Type]*float64(time.Second)))
	}
	if now > last || t.subs >= r.allowed.Submissions {
		r.giveUp(t)
		return
	}
	to := none
	if ty.Level == port.Write || ty.Level == port.Current {
		if g := r.group(t.Group); g.primary != none && r.admits(now, &r.members[g.primary], r.usual[t.Type]) {
			to = g.primary
		}
	} else {
		to = r.pick(now, t)
	}
	if to == none {
		r.hold(t)
		return
	}
	if t.subs > 0 && !t.missed {
		if r.again < 1 {
			r.giveUp(t)
			return
		}
		r.again--
	}
	t.want = to
}

// giveUp ends a txn at once, as well as its type allows.
func (r *Router) giveUp(t *txn) {
	ty := &r.types[t.Type]
	t.end = decline
	if t.mayRun && (ty.Effect == port.OnceOnly || ty.Effect == port.Referenced && ty.Scope != port.ScopeAll) {
		t.end = rollBack
	}
}

// --- The list and probes.

func (r *Router) survey(now time.Duration) {
	if !r.allowed.Probes {
		return
	}
	for g := range r.groups {
		lost := r.groups[g].primary == none
		for _, i := range r.groups[g].members {
			m := &r.members[i]
			if m.bound || m.probing {
				continue
			}
			if (lost || m.down) && now-m.probed >= r.shortest/2 && r.probes > -10 {
				r.probes--
				r.probe(now, i)
			}
		}
	}
	for r.probes >= 1 {
		oldest := none
		for i := range r.members {
			m := &r.members[i]
			if !m.bound && !m.probing && now-m.probed > r.shortest/2 && (oldest == none || m.probed < r.members[oldest].probed) {
				oldest = i
			}
		}
		if oldest == none {
			break
		}
		r.probes--
		r.probe(now, oldest)
	}
}

func (r *Router) probe(now time.Duration, i int) {
	r.members[i].probing, r.members[i].probed = true, now
	r.host.Probe(i)
}

// --- The emitter.

// Settle works out the difference between what should be and what is, and asks the host for it.
func (r *Router) Settle(now time.Duration) {
	if r.wantWatch && now >= r.askAt {
		r.wantWatch, r.answered, r.asked = false, false, now
		r.host.Watch(true)
	}
	r.sortHeld()
	for _, p := range r.held {
		r.queue(&r.txns[p])
	}
	kept := r.held[:0]
	for _, p := range r.held {
		if t := &r.txns[p]; t.end == open && t.at == none && t.want == none {
			kept = append(kept, p)
		} else {
			t.held = false
		}
	}
	r.held = kept
	for k := 0; k < len(r.dirty); k++ {
		t := &r.txns[r.dirty[k]]
		t.queued = false
		r.plan(now, t)
		r.emit(now, t)
	}
	r.dirty = r.dirty[:0]
	r.survey(now)
	if r.wakeAt <= now {
		r.wakeAt = now + r.beat
		r.host.Wake(r.beat)
	}
}

// sortHeld puts first what is worth most for its work, among equals the newest.
func (r *Router) sortHeld() {
	slices.SortStableFunc(r.held, func(a, b uint32) int {
		x, y := &r.txns[a], &r.txns[b]
		if c := cmp.Compare(y.pri/r.usual[y.Type], x.pri/r.usual[x.Type]); c != 0 {
			return c
		}
		return cmp.Compare(y.begun, x.begun)
	})
}

func (r *Router) emit(now time.Duration, t *txn) {
	if t.at != none && t.want != t.at && !t.leave {
		t.leave = true
		r.host.Revoke(t.Ref, t.subs-1)
	}
	switch t.end {
	case decline:
		back := time.Duration(0)
		if r.allowed.ComeBack {
			back = r.allowed.ComeBackMax / 2
		}
		t.end = closed
		r.host.Decline(t.Ref, back)
	case rollBack:
		t.end = closed
		r.host.RollBack(t.Ref)
	case open:
		if t.at == none && t.want != none {
			m := &r.members[t.want]
			if m.out == 0 {
				m.waiting = now
			}
			m.out++
			work := r.usual[t.Type]
			m.sentLately(now)
			m.sent += work
			if m.isCold {
				m.budget -= work
			}
			if m.down {
				m.trialAt = now + min(r.shortest<<min(m.fails, 4), 10*r.shortest)
			}
			m.sendAt = now
			t.at, t.sentAt = t.want, now
			t.subs++
			r.host.Submit(t.Ref, t.want, 0)
		}
	}
}
