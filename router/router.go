// Package router decides where each txn goes.
//
// New makes one instance; its host calls the methods of port.Decider as things come in, and Settle after the
// last event of each batch; what the instance may ask for is port.Host. Equal events give equal actions.
//
// The ordinary path: each session keeps its last write's log position as its target; its reads go to a
// replica whose own hold or refusal enforces that position, and fall back to the primary when the wait
// cannot be enforced or fails. docs/design.md says where this is extended and when that acts.
package router

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"time"

	"dapplerouter/port"
)

const (
	never = time.Duration(math.MinInt64 / 4)
	none  = port.None

	recent = 10           // shortest SLA times that running sums look back over: a few dozen answers
	slow   = 300 * recent // in which a least latency is forgotten: longer than any trouble lasts
)

// chance is the instance's own: a checksum over its seed and a counter.
type chance struct {
	seed, n uint64
	b       [16]byte // here, so that a draw allocates nothing
}

// draw is even between 0 and 1.
func (c *chance) draw() float64 {
	c.n++
	binary.LittleEndian.PutUint64(c.b[:8], c.seed)
	binary.LittleEndian.PutUint64(c.b[8:], c.n)
	return float64(crc32.ChecksumIEEE(c.b[:])) / (1 << 32)
}

// --- Tempo: how long things take here.

// tempo knows the usual latency of each txn type, and the least that it has been; the least is slowly
// forgotten, so that it means a member with little to do.
type tempo struct {
	usual, least []time.Duration
	seen, many   []time.Duration // when one was answered last, and how many were, up to where it counts
	shortest     time.Duration   // SLA time of the most pressing type: the scale of every span below
	beat         time.Duration   // how often held txns and silent members are looked at
}

func newTempo(types []port.TxnType, tick time.Duration) tempo {
	p := tempo{shortest: time.Hour}
	for _, ty := range types {
		p.shortest = min(p.shortest, ty.SLA)
		p.usual, p.least = append(p.usual, ty.SLA/4), append(p.least, ty.SLA/4)
		p.seen, p.many = append(p.seen, 0), append(p.many, 0)
	}
	p.beat = max(tick, p.shortest/10)
	return p
}

func (p *tempo) took(now time.Duration, ty int, latency time.Duration) {
	p.many[ty] = min(p.many[ty]+1, 40)
	p.usual[ty] += (latency - p.usual[ty]) / (10 + p.many[ty])
	p.least[ty] += time.Duration(float64(p.least[ty]) * float64(now-p.seen[ty]) / float64(slow*p.shortest))
	p.least[ty], p.seen[ty] = min(p.usual[ty], p.least[ty]), now
}

// fade is what is left of a running sum after a span.
func (p *tempo) fade(span time.Duration) float64 {
	return math.Exp(-float64(span) / float64(recent*p.shortest))
}

// lately is a running sum and its count; what is older counts less and less.
type lately struct {
	sum, n float64
	at     time.Duration
}

func (l *lately) add(now time.Duration, x float64, p *tempo) {
	f := p.fade(now - l.at)
	l.sum, l.n, l.at = l.sum*f+x, l.n*f+1, now
}

// mean is drawn to what is known at large, as if so many answers had said it: one of its own is no verdict.
func (l *lately) mean(now time.Duration, many, large float64, p *tempo) float64 {
	f := p.fade(now - l.at)
	return (l.sum*f + many*large) / (l.n*f + many)
}

// --- Members: what is known of each; all is unknown at birth.

type member struct {
	group, zone   int
	listed, bound bool          // bound: by the drain rule, nothing new goes there
	away          bool          // the way there is cut
	on            time.Duration // when the list last spoke of it

	role  port.Role
	pos   time.Duration // highest log position known; it stays valid
	lag   time.Duration // how far it was behind
	lagAt time.Duration // never: no position is known

	strain lately        // of its answers, by their latency and by those that never came
	out    int           // our submissions there without an ending
	room   float64       // how much may be out there; one always may
	quick  time.Duration // when the latest submission went out that was answered quickly

	heard   time.Duration // last answer of any kind
	waiting time.Duration // since when something is out and nothing was heard
	erring  float64       // part of what is sent there that fails
	losing  float64       // and that is lost while the rest is answered
	fails   int           // failures in a row
	down    bool          // to be used for trials only
	trialAt time.Duration // earliest next trial
	lost    time.Duration // last time that it could not be reached
	linkAt  time.Duration // when a new link may be tried, after one failed

	started time.Duration // latest start known
	budget  float64       // what a cold member may still be sent, in seconds of usual latency

	startListed      bool // started is what the list told
	cold, probing    bool
	budgetAt, probed time.Duration
}

var unknown = member{group: none, pos: never, lagAt: never, room: 4, quick: never, heard: never,
	lost: never, started: never, probed: never}

// at estimates the log position: as far behind as it was lately, less as that grows old.
func (r *Router) at(m *member, now time.Duration) time.Duration {
	if m.role == port.Primary {
		return now
	}
	f := r.fade(now - m.lagAt)
	return now - time.Duration(float64(m.lag)*f/(f+1/few))
}

// placed takes a position as old as its report.
func (r *Router) placed(now time.Duration, m *member, pos, age time.Duration) {
	m.pos = max(m.pos, pos)
	m.lag, m.lagAt = max(now-age-m.pos, 0), now
}

// --- Groups: who is primary.

// group follows its primary by claims. A claim carries the log position of the one that makes it, and
// the claim further on in the log is the newer: an old report, or a member that came back, can't win.
type group struct {
	strain  lately // of all its members
	members []int
	primary int           // none: unknown, or in doubt
	by      int           // who made the newest claim
	claim   time.Duration // its log position
	term    int
	start   time.Duration // first position known of this term
	wanted  bool          // something is held or sent to the primary for want of knowledge
	downs   bool          // some member may be down
	floor   target        // of the sessions that are forgotten
	away    bool          // the way to its primary's site is cut
}

// enforceable raises a target of an older term to the start of this one: a member that has applied the
// start has applied all that the new primary kept. So a replica's wait goes on working after a turnover.
func (g *group) enforceable(pos time.Duration, term int) time.Duration {
	if term < g.term {
		return max(pos, g.start)
	}
	return pos
}

func (r *Router) group(g int) *group {
	for len(r.groups) <= g {
		r.groups = append(r.groups, group{primary: none, by: none, claim: never, start: never,
			floor: target{pos: never}})
	}
	return &r.groups[g]
}

// claims takes a member's word on its own role.
func (r *Router) claims(now time.Duration, i int, role port.Role, pos time.Duration, placed bool) {
	m := &r.members[i]
	g := r.group(m.group)
	if !placed {
		pos = now
	}
	switch {
	case role == port.Primary && (g.by == i || pos >= g.claim):
		if g.by != i {
			if g.by != none {
				r.members[g.by].role = port.Replica
			}
			g.by, g.start = i, pos
			g.term++
		}
		g.claim, m.role = max(g.claim, pos), port.Primary
		if !m.bound {
			g.primary = i
		}
	case role == port.Replica && (g.by != i || pos >= g.claim):
		m.role = port.Replica
		if g.primary == i {
			g.primary = none
		}
	}
}

// --- Session targets.

// target is the log position of a session's last write in a group, within a primary's term.
type target struct {
	key  uint64
	pos  time.Duration
	term int
}

// raise keeps the later of two: never lowered within a term, and a newer term's stands above.
func (t *target) raise(by target) {
	if by.term > t.term || by.term == t.term && by.pos > t.pos {
		t.pos, t.term = by.pos, by.term
	}
}

// sessions is a table of fixed size. A full place forgets its oldest target into the floor of its group,
// which then stands for every session not found: never too low, and soon passed by every replica.
type sessions struct {
	carried bool
	places  []target
}

const (
	ways   = 4       // targets that share a place
	places = 1 << 14 // a bound on memory; a smaller table only raises the floor sooner
)

func newSessions(carried bool) sessions {
	if carried {
		return sessions{carried: true}
	}
	return sessions{places: make([]target, places)}
}

func (s *sessions) place(key uint64) []target {
	i := int((key*0x9E3779B97F4A7C15)>>32) % (len(s.places) / ways) * ways
	return s.places[i : i+ways]
}

func (s *sessions) wrote(key uint64, g *group, pos time.Duration) {
	if s.carried {
		return
	}
	by := target{key: key, pos: pos, term: g.term}
	set := s.place(by.key)
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
		g.floor.raise(*oldest)
	}
	*oldest = by
}

// needs is the position that a session's read must see, never for none.
func (s *sessions) needs(now time.Duration, in *port.Txn, g *group) time.Duration {
	token := never
	if in.TokenAge > 0 { // it names a moment, not a term; one before this term's start is of an older term
		token = max(now-in.TokenAge, g.start)
	}
	if s.carried || in.Session == 0 {
		return token
	}
	key := in.Session + uint64(in.Group)
	for _, t := range s.place(key) {
		if t.key == key {
			return max(token, g.enforceable(t.pos, t.term))
		}
	}
	return max(token, g.enforceable(g.floor.pos, g.floor.term))
}

// Target tells the position that a read in hand must see, for an instance of another site.
func (r *Router) Target(ref port.Ref) (time.Duration, bool) {
	t := &r.slab[ref.Place]
	return t.needs, t.Ref == ref && t.needs != never
}

// --- Windows and strain: how much may be out at a member, and for whom.

// Queues that outlast their cause are the worst of overload, so the waiting is done here, in order of worth:
// a window a member, and as windows of one at many fronts are together a long queue, shedding by a strain
// that all of them see alike. It could harm where a type comes to take far longer, or where few types come.
const (
	lateBy = 1.75    // late: over this strain, a quarter of the way to the SLA time
	shrink = 0.75    // for an answer that came late
	halve  = 1.0 / 2 // for a submission that came to nothing
	calm   = 1.3     // strain up to which all goes out: chance alone makes means of this size
	jam    = 2.5     // and from which next to nothing does
	atSLA  = 4.0     // of an answer that took its SLA time
	worst  = 5.0     // what one answer may count for, and what one does that never came
	few    = 5.0     // answers that it takes to be believed as much as what is known at large
	spread = 4.0     // what all fronts may always have out at a member: a slow one's cores must not idle
)

func (r *Router) narrow(m *member, by float64) { m.room = max(m.room*by, r.gain/10) }

// strained counts an answer for its member, its group and all members.
func (r *Router) strained(now time.Duration, m *member, by float64) {
	for _, s := range [...]*lately{&m.strain, &r.group(m.group).strain, &r.overall} {
		s.add(now, min(by, worst), &r.tempo)
	}
}

// multiple is a latency as strain: one for the type's least usual latency, rising evenly to its SLA time.
func (r *Router) multiple(ty int, latency time.Duration) float64 {
	least, sla := r.least[ty], r.types[ty].SLA
	return 1 + (atSLA-1)*float64(latency-least)/float64(max(sla-least, sla/4))
}

func (r *Router) strainAt(now time.Duration, m *member) float64 {
	all := r.overall.mean(now, 3*few, 1, &r.tempo)
	return m.strain.mean(now, few, r.group(m.group).strain.mean(now, 2*few, all, &r.tempo), &r.tempo)
}

// density is what a txn is worth for its length.
func (r *Router) density(t *txn) float64 { return t.value / r.usual[t.Type].Seconds() }

// ranked is the part of the work coming here that is worth more for its length; among equals by chance.
func (r *Router) ranked(t *txn) float64 {
	work := r.usual[t.Type].Seconds()
	own := min(max(int(2*math.Log2(r.density(t)))+len(r.mix)/2, 0), len(r.mix)-1)
	r.mix[own] += work
	above, all := 0.0, 0.0
	for i, w := range r.mix {
		if all += w; i > own {
			above += w
		}
	}
	rank := (above + r.draw()*r.mix[own]) / all
	for i := 0; i < len(r.mix) && all > 2*recent*r.shortest.Seconds(); i++ {
		r.mix[i] /= 2
	}
	return rank
}

// --- Guards: drains, cold members, silent and failing ones.

type guards struct {
	coldFrom     float64 // least part of its capacity with which a member starts
	coldPart     float64 // what a cold member is sent, as a multiple of its part by warmth
	warmIn, fall time.Duration
}

func (r *Router) starts(now time.Duration, m *member, at time.Duration) { // cold from then on
	m.started, m.cold, m.startListed = at, now-at < r.warmIn, false
	m.budget, m.budgetAt = r.draw()*slices.Min(r.usual).Seconds(), now
}

// warmth is the least part of its capacity that a member has by now.
func (r *Router) warmth(now time.Duration, m *member) float64 {
	if m.cold = m.cold && now-m.started < r.warmIn; !m.cold {
		return 1
	}
	return r.coldFrom + (1-r.coldFrom)*float64(max(0, now-m.started))/float64(r.warmIn)
}

// spares tells whether a cold member can take one more. Its part, by least warmth, of what a warm one bears
// from us keeps all fronts together at what it can do; three fifths of the multiple at which it falls leave
// room for chance. What it turns away counts too. A front that sent little has its part of one txn a span.
func (r *Router) spares(now time.Duration, m *member, work float64) bool {
	warmth := r.warmth(now, m)
	if !m.cold {
		return true
	}
	part := r.borne.sum * r.fade(now-r.borne.at) / float64(max(r.warm, 1)) / (recent * r.shortest).Seconds()
	rate := max(r.coldPart*warmth*part, work*r.gain/r.fall.Seconds())
	m.budget = min(m.budget+rate*(now-m.budgetAt).Seconds(), max(work, rate*r.fall.Seconds()/4))
	m.budgetAt = now
	return m.budget >= work
}

// admits tells whether a member may be sent a txn now.
func (r *Router) admits(now time.Duration, m *member, t *txn) bool {
	if m.bound || now < m.linkAt || float64(m.out) >= max(m.room, 1, spread*r.gain) {
		return false
	}
	calmer := max((jam-r.strainAt(now, m))/(jam-calm), 1.0/20)
	return t.rank <= calmer && r.spares(now, m, r.usual[t.Type].Seconds())
}

// rests is how long a member that is down is left alone.
func (r *Router) rests(m *member) time.Duration { return r.shortest << min(m.fails, 4) }

// takeDown keeps traffic off a member that can't be reached or is silent. Trials come sparingly, one at
// a time; its window starts again from one, and a primary in doubt is looked for anew.
func (r *Router) takeDown(now time.Duration, i int) {
	m := &r.members[i]
	m.fails++
	m.down, m.room = true, min(m.room, 1)
	m.trialAt = now + r.rests(m)
	g := r.group(m.group)
	g.downs = true
	if g.primary == i {
		g.primary = none
	}
}

// silent tells of a member that takes work and answers nothing. A crowded one is slow, not silent: so
// patience is counted in the latency last seen there. One txn without an answer may be lost or long.
func (r *Router) silent(now time.Duration, m *member) bool {
	if m.out < 2 || m.down || r.stood(now) || now-max(m.waiting, r.rose) <= 2*r.shortest {
		return false
	}
	patience := time.Duration(4 * r.strainAt(now, m) * float64(slices.Max(r.usual)))
	return now-max(m.waiting, r.rose) > patience
}

// stood tells whether this front itself stood still until now: its beat is long overdue. What it finds then
// has waited here for an unknown part of its time, and tells nothing of members or clients.
func (r *Router) stood(now time.Duration) bool {
	if r.wakeAt != never && now > r.wakeAt+2*r.beat {
		r.rose = now
	}
	return r.rose == now
}

// judge draws on an ending for the member's window and health. What fails everywhere alike, or while others
// are answered, is no member's fault: errors behind all of them, links that lose answers or can't be set up.
func (r *Router) judge(now time.Duration, o port.Outcome, ty int) {
	m := &r.members[o.Member]
	switch o.Ending {
	case port.Committed, port.Missed:
		m.heard = now
		if m.down && m.lost > m.started { // what could not be reached may have started meanwhile
			r.starts(now, m, now)
		}
		m.down, m.fails = false, 0
		if o.Ending == port.Missed || ty == none || r.stood(now) {
			return
		}
		by := r.multiple(ty, o.Latency)
		if by > lateBy {
			r.narrow(m, shrink)
		} else {
			m.quick = max(m.quick, now-o.Latency)
			if float64(m.out+1) >= m.room/2 { // a window that is not used proves nothing
				m.room += r.gain / max(m.room, 1)
			}
		}
		r.strained(now, m, by)
		r.borne.add(now, r.usual[ty].Seconds(), &r.tempo) // what failed was no work, but a cold one falls of it
		r.faults(m, 0, 0)
		r.took(now, ty, o.Latency)
	case port.Errored: // quick, but no reason to send more
		m.heard = now
		r.faults(m, 1, 0)
		if m.erring > 2*r.erring {
			m.fails++
			r.narrow(m, halve)
		}
	case port.Full:
		m.heard = now
		m.fails++
		r.narrow(m, halve)
		r.strained(now, m, jam)
	case port.Unreachable, port.Broken:
		m.linkAt = now + time.Duration(r.draw()*float64(2*r.beat))
		if m.heard > now-max(o.Latency, r.shortest) { // it answers: the link failed, or it takes no more of them
			r.faults(m, 0, 1)
			return
		}
		r.probe(now, o.Member)
		if !r.mayProbe { // else the probe tells whether it was down
			m.lost = now
		}
		if m.fails++; m.fails > 1 && !(m.probing && o.Latency < r.beat) { // one link may break, or be refused
			r.takeDown(now, o.Member)
		}
	case port.TimedOut:
		if r.stood(now) {
			return
		}
		if m.quick > now-o.Latency {
			r.faults(m, 0, 1)
			return // later ones came back quickly: this one was lost, not queued
		}
		r.narrow(m, halve)
		r.strained(now, m, worst)
		if now-m.heard <= o.Latency {
			return
		}
		if m.fails++; m.fails > 1 { // one may be lost or long
			r.takeDown(now, o.Member)
		} else {
			r.probe(now, o.Member)
		}
	}
}

func (r *Router) faults(m *member, erred, lost float64) {
	m.erring += (erred - m.erring) / 20
	r.erring += (erred - r.erring) / 40
	m.losing += (lost - m.losing) / 20
}

// --- Choice of a member for a read.

type choice struct {
	zone     int
	linkIdle time.Duration // after which an idle connection is closed
	check    port.Check
	hold     time.Duration
	turn     int // rotates among equals
}

const (
	farther = 2.0 // what another zone counts for in the cost of a member: a price, not a ban
	opening = 1.3 // what a member counts for to which no connection can be open: one has to be opened first

	firstTurns = 1 << 16
	burden     = 3.0 // what the primary counts for: over the price of a zone, as it has the writes to do
)

// firstTurn lets each front begin with another member; the instance's own draws stay as they are.
func firstTurn(seed uint64) int {
	own := chance{seed: ^seed}
	return int(own.draw() * firstTurns)
}

// cost compares members: strain there, by what we have out, by what part of the member is to be used.
func (r *Router) cost(now time.Duration, m *member) float64 {
	c := r.strainAt(now, m) * (1 + float64(m.out)) / r.warmth(now, m) / max(1-m.erring-m.losing, 1.0/20)
	if m.zone != r.zone {
		c *= farther
	}
	if now-m.heard > r.linkIdle {
		c *= opening
	}
	return c
}

// pick finds where a read goes: a fresh-enough replica of the zone, else of another, by cost. Where none
// is known fresh enough the least behind, whose own check decides; but not where its hold can't do it:
// a whole group behind would spend a hold on each read and then go to the primary all the same. After a
// miss, and where the wait can't be enforced, the primary; it also relieves replicas that are far busier.
func (r *Router) pick(now time.Duration, t *txn, ty *port.TxnType) int {
	g := r.group(t.Group)
	needs := t.needs
	if ty.Level == port.Bounded {
		needs = now - t.Bound
	}
	best, least, behind, furthest, primary := none, math.Inf(1), none, never, none
	r.turn++
	for k := range g.members {
		i := g.members[(k+r.turn)%len(g.members)]
		m := &r.members[i]
		if i == t.left && len(g.members) > 1 || m.down && (now < m.trialAt || m.out > 0) ||
			!r.admits(now, m, t) {
			continue
		}
		if i == g.primary {
			primary = i
			continue
		}
		pos := r.at(m, now)
		if r.check == port.Unchecked {
			pos = m.pos // nothing but a proof will do
		}
		if c := r.cost(now, m); c < least && (needs == never || pos >= needs) {
			best, least = i, c
		}
		if pos > furthest {
			behind, furthest = i, pos
		}
	}
	g.wanted = g.wanted || best == none && r.check == port.Unchecked
	if best == none && behind != none && r.check != port.Unchecked {
		m := &r.members[behind]
		if m.lagAt == never || r.at(m, now)+r.hold+r.reportAge >= needs || g.primary == none && !t.missed {
			best, least = behind, r.cost(now, m)
		}
	}
	if primary != none && (best == none || t.missed || burden*r.cost(now, &r.members[primary]) < least) {
		return primary
	}
	if t.missed && g.primary != none {
		return none
	}
	return best
}

// --- A txn's life.

type verdict uint8

const (
	open     verdict = iota
	declined         // to be answered so
	undone           // to be answered as rolled back
	closed
)

type txn struct {
	port.Txn
	begun, sla, expiry time.Duration
	rank               float64       // among what comes here, 0 the best
	value              float64       // marked down for a retry
	needs              time.Duration // position that a read needs; never for any
	end                verdict
	subs               int  // submissions so far
	at, want           int  // member where it is out, where it should be
	leaving, held      bool // leaving: revoked, its ending awaited
	left               int  // member left last
	missed             bool // turned away untouched: the primary is next
	errors             int  // that submissions ended in
	mayRun             bool // some submission may have run:
	sentAt, ranSince   time.Duration
}

type lives struct {
	types    []port.TxnType
	most     int // submissions a txn
	revokes  bool
	comeBack time.Duration // what a declined client is told
	slab     []txn
	held     []uint32        // to be planned: new, or without a place to go
	dirty    []uint32        // to be emitted
	marked   bool            // clients mark their retries
	budgets  []time.Duration // what most tries of a type come with
	tries    []int           // of which so many were seen
	again    float64         // further submissions still allowed
}

// Further submissions stay a part of first ones: time-outs must not make more work than they save.
const (
	againShare = 1.0 / 5
	againMost  = 20 // kept for the moment when a member dies
)

// Begin takes a txn.
func (r *Router) Begin(now time.Duration, in port.Txn) {
	for len(r.slab) <= int(in.Ref.Place) {
		r.slab = append(r.slab, txn{end: closed, at: none, want: none})
	}
	ty := &r.types[in.Type]
	t := &r.slab[in.Ref.Place]
	*t = txn{Txn: in, begun: now, expiry: now + in.Budget, value: ty.Value, needs: never, at: none, want: none,
		left: none, held: t.held,
		sla: now + min(ty.SLA+time.Duration(ty.Stretch*float64(in.Hint)), ty.Expiry)}
	if ty.Level == port.Session {
		t.needs = r.needs(now, &in, r.group(in.Group))
	}
	off := r.unlike(&in)
	again := r.marked && in.Retry
	if again || !r.marked || r.stood(now) {
		t.sla += min(off, 0)
	}
	if again || !r.marked && !r.stood(now) && max(off, -off) > in.Budget/20 {
		t.value /= 4 // much of its SLA time is gone, and the first answer was no better
	}
	t.rank = r.ranked(t)
	r.again = min(r.again+againShare, againMost)
	r.await(t)
}

// await puts a txn among the held, to be planned; leave takes it from where it is out.
func (r *Router) await(t *txn) {
	if !t.held {
		t.held = true
		r.held = append(r.held, t.Ref.Place)
	}
}

func (r *Router) leave(t *txn) {
	if t.want = none; t.at != none && !t.leaving && r.revokes {
		r.dirty = append(r.dirty, t.Ref.Place)
	}
}

// unlike is how far a budget is from that of most. Clients leave a first try after a fixed part of it,
// a later one with what is left: so it tells a retry where clients don't mark them, and how long that waited
// which came while this front stood still. A few tries have to be seen first.
func (r *Router) unlike(in *port.Txn) time.Duration {
	most, seen := &r.budgets[in.Type], &r.tries[in.Type]
	off := in.Budget - *most
	*seen++
	step := r.types[in.Type].Expiry / time.Duration(min(*seen+1, 50))
	if *most += max(min(off, step), -step); *seen < 2*few {
		return 0
	}
	return off
}

// Left ends a txn whose client is gone. One that was out then is a sign of a queue, and came to nothing.
func (r *Router) Left(now time.Duration, ref port.Ref) {
	t := &r.slab[ref.Place]
	if t.Ref != ref || t.end == closed {
		return
	}
	t.end = closed
	if t.at != none && !r.stood(now) {
		r.narrow(&r.members[t.at], halve)
		r.strained(now, &r.members[t.at], worst)
	}
	r.leave(t)
}

// Ended takes the ending of a submission, also of one whose place in the slab has a new txn by now.
func (r *Router) Ended(now time.Duration, o port.Outcome) {
	m := &r.members[o.Member]
	m.out--
	m.waiting = now
	t := &r.slab[o.Ref.Place]
	mine, ty := t.Ref == o.Ref && t.at != none && o.Hop == t.subs-1, none
	if mine {
		ty = t.Type
	}
	r.judge(now, o, ty)
	if o.Role != port.Unknown {
		r.claims(now, o.Member, o.Role, o.Position, o.HasPosition)
	}
	switch l := &o.Load; {
	case o.HasPosition:
		r.placed(now, m, o.Position, 0)
	case r.byReport && l.HasPosition: // a primary's position is the present: its report tells how old they are
		if l.Role == port.Primary && m.role == port.Primary {
			r.reportAge += (now - l.Position - r.reportAge) / 4
		}
		r.placed(now, m, l.Position, r.reportAge)
	}
	if !mine {
		return
	}
	t.at, t.want, t.left, t.leaving = none, none, o.Member, false
	if !o.Ending.NeverRan() && !t.mayRun {
		t.mayRun, t.ranSince = true, t.sentAt
	}
	if o.Ending == port.Committed && r.types[ty].Level == port.Write && t.Session != 0 && o.HasPosition {
		r.wrote(t.Session+uint64(t.Group), r.group(t.Group), o.Position)
	}
	t.missed = t.missed || o.Ending == port.Missed
	switch o.Ending {
	case port.Unreachable, port.Void:
		r.again++ // it was no work for any member
	case port.Errored:
		t.errors++
	}
	switch {
	case o.Closed:
		t.end = closed
	case t.end == open:
		r.await(t)
	}
}

// hopeless tells when a txn is past hope: two errors, its own fault then, or shortly before its expiry, or at
// its SLA time where late is worth nothing. What is out is never cut short: clients would come back at once.
// A write or a retry of which nothing went out leaves half of its time to its client, who may find more room.
func (r *Router) hopeless(now time.Duration, t *txn, ty *port.TxnType) bool {
	kept := (ty.Level == port.Write || t.value < ty.Value) && !t.mayRun && !t.missed &&
		now > t.begun+t.Budget/2-2*r.beat
	spent := t.mayRun && (ty.Effect == port.OnceOnly || // it may have run, and nothing would drop the repeat
		ty.Effect == port.Referenced && (now-t.ranSince > t.Window*9/10 || ty.Scope == port.ScopeZone))
	senseless := t.errors > 1 || t.errors > 0 && r.erring > 1.0/4 // where errors are common, at the first
	// A usual latency over the SLA time must not shut a type out: what is never sent is never learnt of.
	return kept || spent || senseless || t.subs >= r.most || now > t.expiry-2*r.beat ||
		ty.Late == 0 && now > t.sla-min(r.usual[t.Type], ty.SLA/2)
}

// plan decides what should be out for a txn: nothing, if it is held or ends here.
func (r *Router) plan(now time.Duration, t *txn) {
	if t.end != open || t.at != none {
		return
	}
	ty := &r.types[t.Type]
	if r.hopeless(now, t, ty) {
		r.giveUp(t, ty)
		return
	}
	to := none
	g := r.group(t.Group)
	blind := ty.Level == port.Write && g.primary == none && !r.mayProbe // a miss is the only way to ask
	if !blind && (ty.Level == port.Write || ty.Level == port.Current) {
		if g.primary != none && r.admits(now, &r.members[g.primary], t) {
			to = g.primary
		}
	} else {
		to = r.pick(now, t, ty)
	}
	if to == none {
		// A primary behind a cut way is there still, and no new one can come up here: waiting brings nothing.
		if g.away && g.primary == none && (ty.Level >= port.Current || t.missed || len(g.members) == 1) {
			r.giveUp(t, ty)
		}
		g.wanted = g.wanted || g.primary == none
		return
	}
	if t.subs > 0 && !(t.missed && to == g.primary) {
		if r.again < 1 {
			r.giveUp(t, ty)
			return
		}
		r.again--
	}
	t.want = to
}

// giveUp ends a txn at once, as well as its type allows.
func (r *Router) giveUp(t *txn, ty *port.TxnType) {
	t.end = declined
	if t.mayRun && (ty.Effect == port.OnceOnly || ty.Effect == port.Referenced && ty.Scope != port.ScopeAll) {
		t.end = undone
	}
}

// Woken is the beat: what is out at a member that fell silent is taken back and goes elsewhere; so is,
// once, what looks lost at a member that loses some and answers the rest.
func (r *Router) Woken(now time.Duration) {
	for p := range r.slab {
		t := &r.slab[p]
		if t.end != open || t.at == none || r.types[t.Type].Effect == port.OnceOnly {
			continue
		}
		m := &r.members[t.at]
		lost := m.losing > 1.0/20 && t.subs == 1 && m.quick > t.sentAt && now-t.sentAt > 4*r.least[t.Type]
		if lost || r.silent(now, m) {
			r.leave(t)
		}
	}
	r.warm = 0
	for i := range r.members {
		m := &r.members[i]
		if r.silent(now, m) {
			r.takeDown(now, i)
		}
		if !m.bound && !m.down && r.warmth(now, m) == 1 {
			r.warm++
		}
		r.forget(now, i)
	}
}

// --- The list and probes.

type lister struct {
	ask, calling bool
	byReport     bool          // positions stand in reports alone
	reportAge    time.Duration // how old those are
	callAt       time.Duration // when to subscribe
	askWithin    time.Duration
	roles        port.Listed
	mayProbe     bool
}

// List takes what the list says; facts from answers beat it. After a failure, which may mean that the
// subscription broke, it is asked for anew, spread out.
func (r *Router) List(now time.Duration, kind port.ListKind, _ int64, entries []port.Entry) {
	if kind == port.Failed {
		r.calling = r.ask
		r.callAt = now + time.Duration(float64(r.askWithin)*(1+4*r.draw())/50)
		return
	}
	if kind != port.Changes {
		for i := range r.members {
			r.members[i].listed, r.members[i].on = false, now
		}
	}
	for _, e := range entries {
		for len(r.members) <= e.Member {
			r.members = append(r.members, unknown)
		}
		m := &r.members[e.Member]
		g := r.group(e.Group)
		if m.group == none {
			m.group = e.Group
			g.members = append(g.members, e.Member)
		}
		m.listed, m.on, m.zone = e.State != port.Removed, now, e.Zone
		m.bound = e.State != port.Serving
		if away := e.State == port.Away; away != m.away {
			m.away, g.away = away, away
			if !away && g.by == e.Member { // the way is open again, and nobody else has claimed the role
				m.down, m.fails, g.primary = false, 0, e.Member
			}
		}
		if e.HasStarted && e.Started > m.started {
			r.starts(now, m, e.Started)
			m.startListed = true
		}
		if e.Primary && r.roles != port.RoleNever && !m.bound &&
			(g.by == none || g.primary == none && g.by != e.Member) {
			g.primary = e.Member
		}
	}
	for i := range r.members { // a drain binds as soon as the list speaks: the grace is for what is on its way
		m := &r.members[i]
		m.bound = m.bound || !m.listed
		if m.bound && m.group != none && r.groups[m.group].primary == i {
			r.groups[m.group].primary = none
		}
	}
}

// forget gives back the place of a member that has left the list, once nothing is out there and it has been
// away for as long as a start counts: a list that errs is mended sooner.
func (r *Router) forget(now time.Duration, i int) {
	m := &r.members[i]
	if m.listed || m.group == none || now-m.on <= r.warmIn || m.out > 0 || m.probing {
		return
	}
	g := r.group(m.group)
	g.members = slices.DeleteFunc(g.members, func(j int) bool { return j == i })
	if g.by == i || g.primary == i { // it may have shown as one while it was down
		g.by, g.primary = none, none
	}
	*m = unknown
	m.bound = true // until it is a member's again
	r.host.Forget(i)
}

// Heard takes a message from a peer; fronts say nothing to each other yet.
func (r *Router) Heard(time.Duration, int, []byte) {}

// Probed takes what a probe brought.
func (r *Router) Probed(now time.Duration, i int, e port.Ending, _ time.Duration, l port.Load) {
	m := &r.members[i]
	m.probing = false
	if e != port.Committed {
		if e != port.Full && e != port.Void {
			m.lost = now
			if now-m.heard > r.shortest {
				r.takeDown(now, i)
			}
		}
		return
	}
	if l.Held >= 0 && l.Held < 1.5 { // one at most: no queue there, so what does not come back is lost
		m.quick = now
	}
	if l.HasPosition {
		r.placed(now, m, l.Position, 0)
	}
	if l.Role != port.Unknown {
		r.claims(now, i, l.Role, l.Position, l.HasPosition)
	}
	m.trialAt, m.heard = min(m.trialAt, now), now
	if !m.down {
		m.fails = 0
	}
}

// survey sends probes: to groups of which something is wanted, ever more rarely to members that are down.
func (r *Router) survey(now time.Duration) {
	for k := range r.groups {
		g := &r.groups[k]
		if !g.wanted && !g.downs { // most groups, of a list that may be long
			continue
		}
		downs := false
		for _, i := range g.members {
			m := &r.members[i]
			downs = downs || m.down
			if g.wanted && now-m.probed >= 2*r.shortest || m.down && now-m.probed >= r.rests(m) {
				r.probe(now, i)
			}
		}
		g.wanted, g.downs = false, downs
	}
}

func (r *Router) probe(now time.Duration, i int) {
	if m := &r.members[i]; r.mayProbe && !m.bound && !m.probing {
		m.probing, m.probed = true, now
		r.host.Probe(i)
	}
}

// --- The emitter.

// Router is one instance: its parts.
type Router struct {
	host port.Host
	chance
	tempo
	members []member
	groups  []group
	sessions
	guards
	choice
	lives
	lister
	overall lately      // strain of all members
	mix     [64]float64 // work that came lately, by the logarithm of what it is worth for its length
	erring  float64     // as of a member
	borne   lately      // submissions that were committed, in seconds of usual latency
	warm    int         // members that bear their full part
	gain    float64     // what a window grows by for a round of quick answers; all fronts together grow by 1
	wakeAt  time.Duration
	rose    time.Duration // when this front last had a turn again after it stood still
}

// New makes an instance that knows nothing yet.
func New(h port.Host, seed uint64, at port.Topology, types []port.TxnType, _ []port.Customer,
	copies port.Replication, rules port.Guardrails, allowed port.Allowance, _ port.Tariff) port.Decider {
	return &Router{
		host:     h,
		chance:   chance{seed: seed},
		tempo:    newTempo(types, at.Tick),
		sessions: newSessions(copies.Carried),
		gain:     1 / float64(max(1, at.Fronts)),
		guards: guards{coldFrom: rules.ColdShare,
			coldPart: 0.6 * rules.FallMultiple, warmIn: rules.Cold, fall: rules.Fall},
		choice: choice{zone: at.Zone, turn: firstTurn(seed), linkIdle: allowed.LinkIdle, check: copies.Check, hold: copies.Hold},
		lives: lives{types: types, marked: at.RetriesMarked, most: allowed.Submissions, revokes: allowed.Revokes,
			comeBack: allowed.ComeBackMax / 2, again: againMost,
			budgets: make([]time.Duration, len(types)), tries: make([]int, len(types))},
		lister: lister{ask: at.Ask, calling: at.Ask, askWithin: rules.AskWithin, roles: at.Roles,
			byReport: copies.PiggybackLoad && !copies.AnswersTell,
			mayProbe: allowed.Probes},
		wakeAt: never, rose: never,
	}
}

// Settle plans what came in or is held, and emits the difference between what should be and what is.
func (r *Router) Settle(now time.Duration) {
	// First among the held is what is worth most for its work, among equals the newest (most hope).
	slices.SortStableFunc(r.held, func(a, b uint32) int {
		x, y := &r.slab[a], &r.slab[b]
		return cmp.Or(cmp.Compare(r.density(y), r.density(x)), cmp.Compare(y.begun, x.begun))
	})
	kept := r.held[:0]
	for _, p := range r.held {
		t := &r.slab[p]
		r.plan(now, t)
		r.emit(now, t)
		if t.held = t.end == open && t.at == none; t.held {
			kept = append(kept, p)
		}
	}
	r.held = kept
	for _, p := range r.dirty {
		r.emit(now, &r.slab[p])
	}
	r.dirty = r.dirty[:0]
	r.survey(now)
	if r.calling && now >= r.callAt {
		r.calling = false
		r.host.Watch(true)
	}
	if r.wakeAt <= now {
		r.wakeAt = now + r.beat
		r.host.Wake(r.beat)
	}
}

// emit brings a txn from what is to what should be.
func (r *Router) emit(now time.Duration, t *txn) {
	if t.at != none && t.want != t.at && !t.leaving {
		t.leaving = true
		r.host.Revoke(t.Ref, t.subs-1)
	}
	switch {
	case t.end == declined:
		t.end = closed
		r.host.Decline(t.Ref, r.comeBack)
	case t.end == undone:
		t.end = closed
		r.host.RollBack(t.Ref)
	case t.end == open && t.at == none && t.want != none:
		m := &r.members[t.want]
		if m.out == 0 {
			m.waiting = now
		}
		m.out++
		m.budget -= r.usual[t.Type].Seconds()
		if m.down {
			m.trialAt = now + r.rests(m)
		}
		t.at, t.sentAt = t.want, now
		t.subs++
		r.host.Submit(t.Ref, t.at, 0)
	}
}
