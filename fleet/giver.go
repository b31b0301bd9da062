package fleet

import (
	"cmp"
	"hash/crc32"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// giver is what the keeper that rules knows beside the record: whose duties are out until when, and who is there. All of
// it is lost with it: the next one waits out a whole span before it hands anything on that was not let go.
//
// A renewal counts from when it was heard, and only once a majority has confirmed, after that, that this one still gives:
// one that was stopped or cut off renews nothing that another has handed on meanwhile.
type giver struct {
	n     *Node
	k     *keeper
	since time.Duration
	ready bool // all that was committed before it is in the record

	leases    map[string]*lease
	fronts    map[string]*seen
	claims    []claimed // heard, and not confirmed yet
	waiting   []claimed // asked about
	pulse     uint64
	lastTick  time.Duration
	lightened time.Duration
	hands     map[string]handing  // duties that are on their way
	asks      map[string][]uint64 // the latest questions of each asker that went on their way into the record
	joining   map[string]time.Duration
	paused    map[string]time.Duration // duty and front, until when
	second    map[string]*second       // processes whose name is another's
	rights    []claimed                // heard, and not confirmed yet
}

type lease struct {
	term     uint64
	end      time.Duration
	began    time.Duration
	done     uint64
	doneAt   time.Duration
	movingAt time.Duration // a grant is proposed: the old term is renewed no more
	moving   bool
}

type seen struct {
	Presence
	at time.Duration
}

type claimed struct {
	name  string
	inc   uint64
	seq   uint64
	claim Claim
	at    time.Duration
	round uint64

	version uint64 // of a right
}

// second is a process whose name another has, since when it is heard, and how often the other was heard beside it.
type second struct {
	incarnation  uint64
	since, heard time.Duration
	words        int
}

type handing struct {
	asker string
	id    uint64
	term  uint64
}

func newGiver(n *Node, k *keeper, now time.Duration) *giver {
	return &giver{n: n, k: k, since: now, lastTick: now, leases: map[string]*lease{}, fronts: map[string]*seen{}, hands: map[string]handing{},
		asks: map[string][]uint64{}, joining: map[string]time.Duration{}, paused: map[string]time.Duration{}, second: map[string]*second{}}
}

// open begins its rule: the record holds all that was committed before.
func (g *giver) open(now time.Duration) {
	if g.ready {
		return
	}
	g.ready, g.since = true, now
	for name, d := range g.n.record.Duties {
		g.leases[name] = g.fresh(d, now)
	}
}

// fresh is a lease that runs for a whole span, with the giver's margin, from now.
func (g *giver) fresh(d *Duty, now time.Duration) *lease {
	l := &lease{term: d.Term, began: now, doneAt: now, end: now + g.n.o.Pace.givers()}
	if d.Holder == "" {
		l.end = now
	}
	return l
}

// waits tells whether renewals wait for the majority's word.
func (g *giver) waits() bool { return len(g.claims) > 0 }

// there takes a front's word.
func (g *giver) there(now time.Duration, p Presence) {
	f := g.n.record.Fronts[p.Name]
	if f != nil && f.displaced(p.Incarnation) {
		g.down(now, p.Name, &Word{Gone: p.Incarnation})
		return
	}
	s := g.fronts[p.Name]
	if f != nil && f.Incarnation != p.Incarnation && g.taken(now, f, s, p) {
		return
	}
	if o := g.second[p.Name]; o != nil && o.incarnation != p.Incarnation && now-o.heard >= g.n.o.Pace.slow()/2 {
		o.heard = now // words that were held up somewhere come all at once, and count for one
		o.words++
	}
	if s != nil && s.Incarnation == p.Incarnation && p.Seq <= s.Seq || s == nil && len(g.fronts) >= mostKnown {
		return
	}
	g.fronts[p.Name] = &seen{p, now}
	if !g.ready {
		return
	}
	if (f == nil || f.Incarnation != p.Incarnation || f.Address != p.Address || f.Zone != p.Zone || f.Version != p.Version) &&
		!p.Leaving && now >= g.joining[p.Name] {
		g.joining[p.Name] = now + 2*g.n.o.Pace.elect()
		g.k.propose(&Command{Do: doJoin, Front: &Front{Name: p.Name, Incarnation: p.Incarnation, Zone: p.Zone, Address: p.Address, Version: p.Version}})
	}
	if p.Righted && len(g.rights) < 4*mostKnown { // confirmed by the next round, which begins behind this word
		c := claimed{name: p.Name, inc: p.Incarnation, seq: p.Seq, round: g.k.reads + 1, at: now, version: p.Acts}
		g.rights = append(g.rights, c)
		if c.version = p.Takes; p.Taking {
			g.rights = append(g.rights, c)
		}
	}
	for _, c := range p.Claims {
		d, l := g.n.record.Duties[c.Duty], g.leases[c.Duty]
		if d != nil && l != nil && !l.moving && d.Holder == p.Name && d.Incarnation == p.Incarnation && d.Term == c.Term {
			g.claims = append(g.claims, claimed{name: p.Name, inc: p.Incarnation, seq: p.Seq, claim: c, at: now})
		}
	}
}

// taken tells whether a name is another process's still: one that is heard keeps it, so that neither a late word of a process
// long gone nor a second process of the name displaces it. A second one that goes on is told to stay out.
func (g *giver) taken(now time.Duration, f *Front, s *seen, p Presence) bool {
	heard := g.since
	if s != nil && s.Incarnation == f.Incarnation {
		if s.Leaving {
			return false
		}
		heard = s.at
	}
	if now-heard >= 3*g.n.o.Pace.slow() {
		delete(g.second, p.Name)
		return false
	}
	other, ok := g.second[p.Name]
	switch {
	case !ok || other.incarnation != p.Incarnation:
		if len(g.second) < mostKnown {
			g.second[p.Name] = &second{p.Incarnation, now, now, 0}
		}
	case now-other.since > 3*g.n.o.Pace.Span && other.words > 3:
		g.down(now, p.Name, &Word{Gone: p.Incarnation})
	}
	return true
}

// confirmed takes the majority's word that this one gave when a round began: what was heard before it is renewed.
func (g *giver) confirmed(now time.Duration, round uint64) {
	kept := map[string]*Word{}
	rest := g.waiting[:0]
	for _, c := range g.waiting {
		if c.round > round {
			rest = append(rest, c)
			continue
		}
		d, l := g.n.record.Duties[c.claim.Duty], g.leases[c.claim.Duty]
		if d == nil || l == nil || l.moving || l.term != c.claim.Term || d.Term != c.claim.Term || d.Holder != c.name || d.Incarnation != c.inc {
			continue
		}
		l.end = max(l.end, c.at+g.n.o.Pace.givers())
		if c.claim.Done != l.done {
			l.done, l.doneAt = c.claim.Done, now
		}
		w := kept[c.name]
		if w == nil || c.seq > w.Kept {
			w = &Word{Kept: c.seq}
			kept[c.name] = w
		}
		if c.seq == w.Kept {
			w.Claims = append(w.Claims, c.claim)
		}
	}
	g.waiting = rest
	g.renew(now, round)
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		g.down(now, name, kept[name])
	}
	g.beat(now)
}

// renew renews rights that were asked for before a round that is confirmed. A version that the record rules out meanwhile gets
// none: what was renewed before the record said so is what its holder waits out.
func (g *giver) renew(now time.Duration, round uint64) {
	type of struct {
		name    string
		version uint64
	}
	latest := map[of]Mark{}
	later := g.rights[:0]
	for _, c := range g.rights {
		at := of{c.name, c.version}
		if c.round > round {
			later = append(later, c)
		} else if s := g.fronts[c.name]; s != nil && s.Incarnation == c.inc && g.n.record.rightTo(c.version) {
			latest[at] = Mark{Name: c.name, Term: c.inc, Index: max(c.seq, latest[at].Index), Version: c.version}
		}
	}
	g.rights = later
	all := slices.Collect(maps.Values(latest))
	slices.SortFunc(all, func(a, b Mark) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version)) })
	if len(all) > 0 {
		g.n.rights(all)
	}
}

// beat tells the fleet that it is given.
func (g *giver) beat(now time.Duration) {
	if !g.ready || now-g.n.pulseAt < g.n.o.Pace.beat()*9/10 && g.pulse > 0 {
		return
	}
	g.pulse++
	g.n.pulse, g.n.pulseAt, g.n.up, g.n.by = fence{g.k.term, g.pulse}, now, "", g.n.o.Name
	g.n.heardAgain()
	g.n.flood(&Message{Kind: Pulse, From: g.n.o.Name, Term: g.k.term, Number: g.pulse, Index: g.n.record.Index}, "")
	g.n.spread()
}

func (g *giver) down(now time.Duration, name string, w *Word) {
	g.n.toFront(now, &Message{Kind: Down, From: g.n.o.Name, Name: name, Down: w})
}

// asked takes a question.
func (g *giver) asked(now time.Duration, m *Message) {
	q := m.Ask
	fault := func(why string) { g.down(now, m.From, &Word{ID: q.ID, Fault: why}) }
	if !g.ready {
		return // it is asked again
	}
	switch q.What {
	case Propose:
		if slices.Contains(g.asks[m.From], q.ID) {
			return // it is in the record, or on its way there
		}
		var c Command
		if err := msgpack.Unmarshal(q.Command, &c); err != nil || c.Asker != m.From {
			fault("a command that can't be read")
			return
		}
		ok := false
		switch c.Do {
		case doKeep, doUnkeep:
			if _, is := g.n.record.Keepers[c.Holder]; is == (c.Do == doKeep) {
				fault(map[bool]string{true: c.Holder + " is a keeper already", false: c.Holder + " is no keeper"}[is])
				return
			}
			ok = g.k.change(&c)
		case doDeclare, doPut:
			ok = g.k.propose(&c)
		default:
			fault("only the giver says that")
			return
		}
		if ok {
			all := append(g.asks[m.From], q.ID)
			g.asks[m.From] = all[max(0, len(all)-16):]
		}
	case Release:
		d, l := g.n.record.Duties[q.Duty], g.leases[q.Duty]
		if d == nil || l == nil || d.Term != q.Term || d.Holder != m.From || l.moving {
			return // it passed on, or does
		}
		g.grant(now, d, l, q.To, "handed on", false)
		c := &Command{Do: doVacate, Duty: d.Name, Term: d.Term, Why: "let go"}
		c.Loser, c.Losses, c.Why = g.loss(now, d, l, false, c.Why)
		if !l.moving && g.k.propose(c) {
			l.moving, l.movingAt = true, now
		}
	case Tell:
		g.down(now, m.From, &Word{ID: q.ID, Told: g.told(now, q.Duty)})
	case Hand:
		d, l := g.n.record.Duties[q.Duty], g.leases[q.Duty]
		switch s := g.fronts[q.To]; {
		case d == nil || l == nil:
			fault("there is no duty of that name")
		case d.Holder == "":
			fault("nobody holds it")
		case q.To == d.Holder:
			fault("")
		case q.To != "" && (s == nil || !g.fit(now, s)):
			fault(q.To + " can't take it: it is not there, goes, or takes no duties")
		default:
			g.hands[q.Duty] = handing{m.From, q.ID, d.Term}
			g.down(now, d.Holder, &Word{Stop: d.Name, Term: d.Term, To: q.To})
		}
	}
}

// told are all fronts' digests of a part.
func (g *giver) told(now time.Duration, part string) (all []Told) {
	for _, name := range slices.Sorted(maps.Keys(g.fronts)) {
		s := g.fronts[name]
		t := Told{Front: name, Incarnation: s.Incarnation, Zone: s.Zone, Ago: now - s.at, Acts: s.Acts, Righted: s.Righted, Leaving: s.Leaving, Index: s.Index}
		for _, d := range s.Digests {
			if d.Part == part {
				t.Data = d.Data
			}
		}
		all = append(all, t)
	}
	return all
}

// applied takes what came into the record.
func (g *giver) applied(now time.Duration, c *Command, fault string) {
	if !g.ready || fault != "" {
		return
	}
	switch c.Do {
	case doDeclare:
		if g.leases[c.Duty] == nil {
			g.leases[c.Duty] = g.fresh(g.n.record.Duties[c.Duty], now)
		}
	case doGrant, doVacate:
		d := g.n.record.Duties[c.Duty]
		g.leases[c.Duty] = g.fresh(d, now)
		if c.Loser != "" {
			g.paused[c.Duty+"\x00"+c.Loser] = now + g.pause(c.Losses)
		}
		if h, ok := g.hands[c.Duty]; ok && d.Term > h.term {
			delete(g.hands, c.Duty)
			g.down(now, h.asker, &Word{ID: h.id})
		}
	case doJoin:
		delete(g.joining, c.Front.Name)
	}
}

// pause is how long a front that lost a duty so often is given it no more.
func (g *giver) pause(losses uint32) time.Duration {
	if losses == 0 {
		return 0
	}
	return g.n.o.Pace.Span << min(losses, 6)
}

// tick hands on what ran out.
func (g *giver) tick(now time.Duration) {
	p := g.n.o.Pace
	if gap := now - g.lastTick; gap > 4*p.tick() { // this one stood: it holds that against nobody
		for _, l := range g.leases {
			l.end, l.doneAt = l.end+gap, l.doneAt+gap
		}
		for _, s := range g.fronts {
			s.at += gap
		}
	}
	g.lastTick = now
	if len(g.claims) > 0 && !g.k.muted {
		if g.k.readAt != now {
			g.k.confirm(now)
		}
		for _, c := range g.claims {
			c.round = g.k.reads
			g.waiting = append(g.waiting, c)
		}
		g.claims = g.claims[:0]
		g.k.work(now)
		if g.n.giver != g {
			return
		}
	}
	if !g.ready || now-g.k.confirmedAt > 2*p.beat() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(g.n.record.Duties)) {
		d, l := g.n.record.Duties[name], g.leases[name]
		if l == nil || l.moving && now-l.movingAt < 4*p.elect() {
			continue
		}
		switch {
		case d.Holder == "" || now >= l.end:
			why := "it ran out"
			if d.Holder == "" {
				why = "nobody held it"
			}
			g.grant(now, d, l, "", why, d.Holder != "")
		case d.Bound > 0 && now-l.doneAt > d.Bound:
			g.stop(now, d, l)
		}
	}
	g.parted(now)
	g.lighten(now)
	g.k.work(now)
}

// lighten hands on a duty that the giver itself holds, where another holds no more than it: one process that dies should not
// cost both waits, an election and a span, one after the other.
func (g *giver) lighten(now time.Duration) {
	p := g.n.o.Pace
	if now-g.since < p.Span || now-g.lightened < p.Span {
		return
	}
	held := map[string]int{}
	own := ""
	for _, name := range slices.Sorted(maps.Keys(g.n.record.Duties)) {
		d := g.n.record.Duties[name]
		held[d.Holder]++
		if h := g.n.holds[name]; d.Holder == g.n.o.Name && h != nil && h.open && !h.stopping {
			own = name
		}
	}
	if own == "" {
		return
	}
	for name, s := range g.fronts {
		if name != g.n.o.Name && held[name] <= held[g.n.o.Name] && g.fit(now, s) && now >= g.paused[own+"\x00"+name] {
			g.lightened = now
			g.n.release(now, own, "", "its holder gives as well")
			return
		}
	}
}

// stop takes a duty from a holder that lives and gets nothing done. It is asked to let go; what it doesn't let go runs out,
// since it is renewed no more.
func (g *giver) stop(now time.Duration, d *Duty, l *lease) {
	if l.movingAt != 0 && now-l.movingAt < g.n.o.Pace.beat() {
		return
	}
	l.movingAt = now
	g.down(now, d.Holder, &Word{Stop: d.Name, Term: d.Term})
}

// fit tells whether a front may take a duty now.
func (g *giver) fit(now time.Duration, s *seen) bool {
	f := g.n.record.Fronts[s.Name]
	return s.Willing && !s.Leaving && now-s.at < 2*g.n.o.Pace.slow() && f != nil && f.Incarnation == s.Incarnation
}

// loss counts against a holder that ran out or got nothing done; one that held on for long begins anew.
func (g *giver) loss(now time.Duration, d *Duty, l *lease, lost bool, why string) (loser string, losses uint32, because string) {
	idle := d.Bound > 0 && now-l.doneAt > d.Bound
	switch {
	case d.Holder == "" || !lost && !idle:
		return "", 0, why
	case !lost:
		why = "it got nothing done"
	}
	if now-l.began > 32*g.n.o.Pace.Span {
		return d.Holder, 1, why
	}
	return d.Holder, d.losses(d.Holder) + 1, why
}

// grant proposes a holder: to where it is wanted and fit, or else who holds least, then whose zone does. One that lost the
// duty lately waits, longer each time; one that lets it go does not get it back at once.
func (g *giver) grant(now time.Duration, d *Duty, l *lease, to, why string, lost bool) {
	var best *seen
	var rank [4]int
	byFront, byZone := map[string]int{}, map[string]int{}
	for _, o := range g.n.record.Duties {
		if o.Holder != "" {
			byFront[o.Holder]++
			if s := g.fronts[o.Holder]; s != nil {
				byZone[s.Zone]++
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(g.fronts)) {
		s := g.fronts[name]
		if !g.fit(now, s) || name == d.Holder && d.Incarnation == s.Incarnation {
			continue
		}
		if until, ok := g.paused[d.Name+"\x00"+name]; ok && now < until || !ok && now < g.since+g.pause(d.losses(name)) && d.losses(name) > 0 {
			continue
		}
		r := [4]int{2 * byFront[name], byZone[s.Zone], int(d.losses(name)), int(crc32.ChecksumIEEE([]byte(d.Name + "/" + name)))}
		switch name {
		case to:
			r[0] = -1
		case g.n.o.Name: // see lighten
			r[0]++
		}
		if best == nil || slices.Compare(r[:], rank[:]) < 0 {
			best, rank = s, r
		}
	}
	if best == nil {
		return
	}
	c := &Command{Do: doGrant, Duty: d.Name, Term: d.Term, Holder: best.Name, Incarnation: best.Incarnation, Beat: best.Seq, Why: why}
	c.Loser, c.Losses, c.Why = g.loss(now, d, l, lost, why)
	if g.k.propose(c) {
		l.moving, l.movingAt = true, now
	}
}

// parted takes fronts out of the record that are long silent, or went.
func (g *giver) parted(now time.Duration) {
	p := g.n.o.Pace
	for _, name := range slices.Sorted(maps.Keys(g.n.record.Fronts)) {
		f, s := g.n.record.Fronts[name], g.fronts[name]
		at, patience := g.since, 20*p.Span
		if s != nil {
			at = s.at
			if s.Leaving {
				patience = 2 * p.Span
			}
		}
		if now-at > patience && now >= g.joining[name] {
			g.joining[name] = now + 2*p.elect()
			delete(g.fronts, name)
			g.k.propose(&Command{Do: doPart, Holder: name, Incarnation: f.Incarnation})
		}
	}
}
