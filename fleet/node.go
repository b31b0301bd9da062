// Package fleet is what instances of the program agree on, and which of them does what: a record in one order, kept by a
// few keepers, and duties that one front at a time holds. It is a core: no I/O, no clock, no goroutine. Events come in with
// the time of the instance's own clock, wishes go out; package fleet/mesh carries them and fleet/disk keeps them.
//
// Invariants, asserted at each step of the tests in virtual time:
//
//  1. At most one front holds a duty at any true moment, whatever stops, is cut off, crashes or loses messages, as long as
//     clocks' paces differ by a tenth at most and no keeper's disk is swapped for an old copy unseen.
//  2. The term of a duty rises by one with each holder; a front accepts no act of an older term than it has heard of.
//  3. Two records of one index are the same bytes.
//  4. A keeper speaks only of what its disk holds; one whose disk is an old copy doesn't speak.
//  5. What a peer sends is bounded before it is kept: by peer, by front, by message.
//
// No txn passes here, and nothing here waits for anything: a front that hears nobody goes on alone.
package fleet

import (
	"cmp"
	"hash/crc32"
	"maps"
	"slices"
	"strings"
	"time"
)

// Keeper is a keeper's name, and where its mesh listens.
type Keeper struct{ Name, Address string }

// Options are what a Node is made of.
type Options struct {
	Fleet       string // its id
	Name        string
	Incarnation uint64 // another at each start
	Zone        string
	Address     string // where others reach this front's mesh
	Version     string
	Founders    []Keeper // the keepers that the fleet began with, or some that there are
	Joins       bool     // a keeper that came later: it begins with nothing and is told the record
	Pace        Pace
	Seed        uint64
	Willing     bool          // to take duties
	Slots       int           // followers that may link to this front; 0 for the usual
	Right       time.Duration // for which a front may act on a version without contact; 0 where none are published
	Budget      int           // bytes a second with which a peer is brought a record; 0 for the usual
}

const (
	usualSlots  = 16
	fan         = 3 // links that a follower keeps up: one to a keeper where there is room, the others to fronts
	mostHops    = 16
	mostKnown   = 4096 // fronts of which a way back or a word on its way is kept
	mostLines   = 1024 // of the record behind the last, for who is a little behind
	askedKept   = 64   // of our own words: when each was said
	mostWaiting = 256  // questions of our own
)

// What an Event tells.
const (
	Held         = "held"    // Duty in Term is this front's until Until at least
	Kept         = "kept"    // it is renewed until Until
	Ended        = "ended"   // it is this front's no more; Why
	Came         = "came"    // an act: Duty, Term, Name whose, Data
	Refused      = "refused" // an act of an older term than is known, or a link; Why
	Granted      = "granted" // the record: Duty in Term is Name's; Why
	Joined       = "joined"
	Parted       = "parted"
	Heard        = "heard" // the fleet, after silence
	Alone        = "alone" // nothing of the fleet for a while
	Gives        = "gives" // this keeper is the giver
	GivesNoMore  = "gives no more"
	KeeperHalted = "keeper halted"
	Displaced    = "displaced" // another front has this name: this one stays out
	Answered     = "answered"  // our question Number; Why is "" where it is done
	Shed         = "shed"      // a link to Name that was of no use; Why
	Stuck        = "stuck"     // the record can't be read further by this program
	Posted       = "posted"    // Name sent Data to this front, for the part named Duty
	Righted      = "righted"   // this front may act on version Number until Until
)

// Event is something that happened, for the log, the history and the parts that stand on the fleet.
type Event struct {
	At     time.Duration // set by whoever carries the core
	What   string
	Duty   string
	Term   uint64
	Name   string
	Until  time.Duration // on this front's clock
	Since  time.Duration // when what it rests on was asked, on this front's clock
	Number uint64
	Index  uint64
	Why    string
	Data   []byte
	Told   []Told // Answered, where Tell was asked
}

// Send is a message for a peer.
type Send struct {
	To string
	M  *Message
}

// Dial is a link that is wanted.
type Dial struct{ Name, Address string }

// Mirror is what a duty's acts add up to at each front, so that one that missed some is brought up by its neighbours.
type Mirror interface {
	Mark() (term, index uint64)
	Whole() []byte                                            // an act that brings any older mirror to this one's mark; nil for nothing yet
	Take(term uint64, data []byte) (news []byte, behind bool) // what is new of it, nil for nothing; behind tells of a gap
}

type peer struct {
	Greeting
	heard, said time.Duration
	index       uint64 // of the record, that it is known to have
}

type fence struct{ term, number uint64 }

// hold is a duty of ours.
type hold struct {
	term, done uint64
	until      time.Duration
	stopping   bool
	acts       uint64
	open       bool // Held was told
}

type asked struct {
	m     *Message
	began time.Duration
	said  time.Duration
}

type way struct {
	via string
	at  time.Duration
}

type sight struct {
	incarnation, seq uint64
	at               time.Duration
}

// Node is one front's part of the fleet. Its calls come one at a time, with times that never go back.
type Node struct {
	o      Options
	record *Record
	lines  []Line // the last ones applied
	keeper *keeper
	giver  *giver // where this one gives

	peers    map[string]*peer
	refused  map[string]time.Duration // until when no link to a front is tried
	denied   map[string]int
	hints    map[string]string // addresses of fronts that a full one named
	salt     uint32
	salted   time.Duration
	soughtAt time.Duration // when other links were looked for last

	up      string // the peer that brought the newest pulse first: towards the giver
	pulse   fence
	pulseAt time.Duration
	by      string // whose it was
	alone   bool
	gone    bool // displaced

	seq       uint64
	saidAt    time.Duration
	askedAt   [askedKept]time.Duration // by seq
	above     map[string]Presence      // on their way up
	acts      uint64                   // the version that this front acts on
	takes     uint64                   // another, that it is about to take up, where taking
	taking    bool
	may       map[uint64]time.Duration // until when it may act on a version
	digests   []Digest
	bringing  map[string]*bringing // peers that are brought a long record
	pieces    map[string]*pieces   // of one that comes
	allowed   float64              // bytes of pieces, as of broughtAt
	broughtAt time.Duration
	neededAt  time.Duration // a neighbour was asked for the record, or brought a piece of it, last
	passed    map[string]sight
	ways      map[string]way
	holds     map[string]*hold
	wants     map[string]time.Duration // duties that this front declares, with their bounds
	fences    map[string]fence
	mirrors   map[string]Mirror
	asks      map[uint64]*asked
	nextAsk   uint64
	leaving   bool
	idle      bool // it takes no duty for now, whatever it was made for
	out       []Send
	told      []Event
	dropped   []string
	lastTick  time.Duration
	spreadAt  uint64 // index up to which neighbours were told
}

// New makes a Node; disk is a keeper's, nil for a follower.
func New(o Options, disk *State) (*Node, error) {
	if o.Slots == 0 {
		o.Slots = usualSlots
	}
	n := &Node{o: o, record: newRecord(), peers: map[string]*peer{}, refused: map[string]time.Duration{}, denied: map[string]int{}, hints: map[string]string{},
		above: map[string]Presence{}, passed: map[string]sight{}, ways: map[string]way{}, holds: map[string]*hold{},
		bringing: map[string]*bringing{}, pieces: map[string]*pieces{}, may: map[uint64]time.Duration{},
		wants: map[string]time.Duration{}, fences: map[string]fence{}, mirrors: map[string]Mirror{}, asks: map[uint64]*asked{},
		nextAsk: o.Incarnation << 20, alone: true, pulseAt: -o.Pace.silent() - 1}
	if disk != nil {
		k, err := newKeeper(n, disk)
		if err != nil {
			return nil, err
		}
		n.keeper = k
	}
	return n, nil
}

// --- What is asked of a Node.

// Record is the record as this front has it; it is the Node's own, to be read between calls only.
func (n *Node) Record() *Record { return n.record }

// Alone tells whether nothing was heard of the fleet for a while.
func (n *Node) Alone() bool { return n.alone || n.gone }

// Giver tells whether this front is the keeper that gives.
func (n *Node) Giver() bool { return n.giver != nil }

// Incarnation is this start's.
func (n *Node) Incarnation() uint64 { return n.o.Incarnation }

// GivenBy names the keeper whose pulse was heard last, and how long ago.
func (n *Node) GivenBy(now time.Duration) (name string, ago time.Duration) {
	return n.by, now - n.pulseAt
}

// Until tells until when a duty is this front's, as far as it is told.
func (n *Node) Until(duty string) time.Duration {
	if h := n.holds[duty]; h != nil {
		return h.until
	}
	return 0
}

// Halted says why a keeper stopped, "" for one that goes on.
func (n *Node) Halted() string {
	if n.keeper == nil {
		return ""
	}
	return n.keeper.halted
}

// Peers are the fronts with which there are links.
func (n *Node) Peers() []string { return slices.Sorted(maps.Keys(n.peers)) }

// Want declares a duty that some front should hold and get something done in within bound, 0 for no bound.
func (n *Node) Want(duty string, bound time.Duration) { n.wants[duty] = bound }

// Mirror names what a duty's acts add up to here.
func (n *Node) Mirror(duty string, m Mirror) { n.mirrors[duty] = m }

// Holds tells whether a duty is this front's now, and in which term. It is to be asked directly before each act.
func (n *Node) Holds(now time.Duration, duty string) (term uint64, ok bool) {
	h := n.holds[duty]
	if h == nil || h.stopping || now >= h.until || n.gone {
		return 0, false
	}
	return h.term, true
}

// Done notes that a duty got something done.
func (n *Node) Done(duty string) {
	if h := n.holds[duty]; h != nil {
		h.done++
	}
}

// Act spreads an act of a duty that this front holds; it does nothing where it holds it no more.
func (n *Node) Act(now time.Duration, duty string, data []byte) bool {
	term, ok := n.Holds(now, duty)
	if !ok {
		return false
	}
	h := n.holds[duty]
	h.acts++
	m := &Message{Kind: Act, From: n.o.Name, Name: duty, Term: term, Number: h.acts, Data: data}
	n.admit(m)
	n.flood(m, "")
	if mirror := n.mirrors[duty]; mirror != nil {
		if data, _ = mirror.Take(term, data); data == nil {
			return true
		}
	}
	n.tell(Event{What: Came, Duty: duty, Term: term, Name: n.o.Name, Number: h.acts, Data: data})
	return true
}

// Ask puts a question to the giver; an Answered event with the number follows, in four spans at the latest.
func (n *Node) Ask(now time.Duration, q Question) (number uint64) {
	n.nextAsk++
	q.ID = n.nextAsk
	if len(n.asks) >= mostWaiting {
		n.tell(Event{What: Answered, Number: q.ID, Why: "too many questions wait"})
		return q.ID
	}
	m := &Message{Kind: Ask, From: n.o.Name, Ask: &q}
	n.asks[q.ID] = &asked{m, now, now}
	n.toGiver(now, m)
	return q.ID
}

// Put asks for an entry of the record under a duty that this front holds; prev is the entry's index as known, 0 for none.
func (n *Node) Put(now time.Duration, duty, key string, prev uint64, value []byte) (number uint64, ok bool) {
	term, ok := n.Holds(now, duty)
	if !ok {
		return 0, false
	}
	return n.command(now, Command{Do: doPut, Duty: duty, Term: term, Key: key, Prev: prev, Value: value}), true
}

// Keep asks for a front to become a keeper, Unkeep for a keeper to be none any more.
func (n *Node) Keep(now time.Duration, name, address string) uint64 {
	return n.command(now, Command{Do: doKeep, Holder: name, Address: address})
}

func (n *Node) Unkeep(now time.Duration, name string) uint64 {
	return n.command(now, Command{Do: doUnkeep, Holder: name})
}

func (n *Node) command(now time.Duration, c Command) uint64 {
	c.Asker, c.AskID = n.o.Name, n.nextAsk+1
	return n.Ask(now, Question{What: Propose, Duty: c.Duty, Command: c.Encode()})
}

// HandOn asks for a duty to be handed on, to a front or, for "", to whom the giver chooses.
func (n *Node) HandOn(now time.Duration, duty, to string) uint64 {
	return n.Ask(now, Question{What: Hand, Duty: duty, To: to})
}

// Leave begins this front's end: it stops what it holds, says so, and takes nothing more.
func (n *Node) Leave(now time.Duration) {
	n.leaving = true
	for _, d := range slices.Sorted(maps.Keys(n.holds)) {
		n.release(now, d, "", "this front ends")
	}
	n.present(now)
	if n.keeper != nil {
		n.keeper.leave()
		n.keeper.work(now)
	}
}

// Left tells whether nothing of this front's is left to be handed on.
func (n *Node) Left() bool { return len(n.holds) == 0 && (n.keeper == nil || !n.keeper.leads()) }

// Sends gives what is to be sent, in order a peer.
func (n *Node) Sends() []Send {
	out := n.out
	n.out = nil
	return out
}

// Told gives what happened.
func (n *Node) Told() []Event {
	told := n.told
	n.told = nil
	return told
}

// Drops are links to be closed.
func (n *Node) Drops() []string {
	d := n.dropped
	n.dropped = nil
	return d
}

// Save is what has to be on the disk before anything more is said; Saved follows it, or Failed.
func (n *Node) Save() (*Save, bool) {
	if n.keeper == nil || n.keeper.saving == nil || n.keeper.halted != "" {
		return nil, false
	}
	return n.keeper.saving, true
}

func (n *Node) Saved(now time.Duration) { n.keeper.saved(now) }

// Failed tells that the disk could not take a Save: the keeper stops, the front goes on as a follower.
func (n *Node) Failed(why error) { n.keeper.halt("its disk can't be written: " + why.Error()) }

func (n *Node) tell(e Event) { n.told = append(n.told, e) }

func (n *Node) send(to string, m *Message) {
	p := n.peers[to]
	if p == nil {
		return
	}
	p.said = n.lastTick
	n.out = append(n.out, Send{to, m})
}

func (n *Node) flood(m *Message, but string) {
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		if name != but {
			n.send(name, m)
		}
	}
}

// --- Links.

// Hello is what this front says first on a link to a peer, "" where it does not know whose it is.
func (n *Node) Hello(to string, dialled bool) *Message {
	g := &Greeting{Fleet: n.o.Fleet, Name: n.o.Name, Incarnation: n.o.Incarnation, Zone: n.o.Zone, Address: n.o.Address, Format: Format,
		Keeper: n.speaks(), Dialled: dialled}
	if n.speaks() {
		g.Floor, g.Known = n.keeper.floor, n.keeper.floors[to]
	}
	return &Message{Kind: Hello, From: n.o.Name, Index: n.record.Index, Hello: g}
}

// speaks tells whether this one takes part in keeping the record: it comes by consensus then, and from peers elsewhere.
func (n *Node) speaks() bool { return n.keeper != nil && n.keeper.halted == "" }

// Greet weighs what a peer said first. The error is the reason to refuse it. Where there is a link to it already, replace
// tells that the new one takes its place. A keeper that comes anew is told what is known of its disk by the Hello behind.
func (n *Node) Greet(now time.Duration, m *Message) (err error) {
	if err := m.check(); err != nil {
		return err
	}
	g := m.Hello
	if m.Kind != Hello || g == nil {
		return Fault("the first message is no hello")
	}
	old := n.peers[g.Name]
	f := n.record.Fronts[g.Name]
	switch {
	case g.Fleet != n.o.Fleet:
		return Fault("it is of another fleet")
	case g.Name == n.o.Name:
		return Fault("it has this front's own name")
	case n.gone:
		return Fault("this front stays out: another has its name")
	case f != nil && f.displaced(g.Incarnation):
		return Fault(displacedWord)
	case old != nil && old.Incarnation == g.Incarnation && now-old.heard < n.o.Pace.quiet() && old.Dialled != g.Dialled && g.Dialled != (g.Name < n.o.Name):
		return Fault(twice) // both dialled: the link that the lesser name dialled stays
	}
	if old == nil && g.Dialled && !g.Keeper && !n.keeps(g.Name) {
		in := 0
		for _, p := range n.peers {
			if p.Dialled && !p.Keeper {
				in++
			}
		}
		if in >= n.o.Slots {
			return Fault(full)
		}
	}
	return nil
}

const (
	displacedWord = "another front has its name"
	twice         = "there is a link already"
	full          = "it has as many followers as it takes"
)

// Refusal is what a peer is told that Greet refused. Where this front is full it names those that it is linked with: they
// have room, or know who has.
func (n *Node) Refusal(why error) *Message {
	m := &Message{Kind: Refuse, Reason: why.Error()}
	if why == Fault(full) {
		for _, name := range slices.Sorted(maps.Keys(n.peers)) {
			if p := n.peers[name]; !p.Keeper && p.Address != "" && len(m.There) < 2*usualSlots {
				m.There = append(m.There, Presence{Name: name, Address: p.Address})
			}
		}
	}
	return m
}

// Linked takes a new link to a peer that was greeted; it takes the place of one that there is.
func (n *Node) Linked(now time.Duration, m *Message) {
	g := m.Hello
	n.peers[g.Name] = &peer{Greeting: *g, heard: now, said: now, index: m.Index}
	delete(n.refused, g.Name)
	delete(n.denied, g.Name)
	if n.speaks() && g.Keeper {
		n.keeper.greet(now, g.Name, g)
	}
	seen := []Mark{}
	for _, d := range slices.Sorted(maps.Keys(n.mirrors)) {
		term, index := n.mirrors[d].Mark()
		seen = append(seen, Mark{Name: d, Term: term, Index: index})
	}
	if len(seen) > 0 {
		n.send(g.Name, &Message{Kind: Behind, From: n.o.Name, Seen: seen})
	}
	n.catchUp(g.Name)
	if n.up == "" {
		n.up = g.Name
	}
}

// Unlinked takes the end of the link to a peer.
func (n *Node) Unlinked(now time.Duration, name string) {
	delete(n.peers, name)
	delete(n.bringing, name)
	delete(n.pieces, name)
	if n.up == name {
		n.up = ""
		for _, k := range slices.Sorted(maps.Keys(n.peers)) {
			if n.up == "" || n.peers[k].Keeper && !n.peers[n.up].Keeper {
				n.up = k
			}
		}
	}
}

// Unreached tells that a link that was wanted did not come about; why is what the other said, or "" for no word.
// instead are others that it named.
func (n *Node) Unreached(now time.Duration, name, why string, instead []Presence) {
	for _, p := range instead {
		if len(n.hints) < mostThere && p.Name != n.o.Name && p.Address != "" {
			n.hints[p.Name] = p.Address
		}
	}
	switch why {
	case displacedWord:
		n.displaced("another front of the fleet has this name")
		return
	case twice:
		return
	}
	n.denied[name] = min(n.denied[name]+1, 6)
	wait := n.o.Pace.beat() << n.denied[name]
	if n.keeper != nil && n.keeps(name) {
		wait = n.o.Pace.elect() // keepers need one another
	} else if why == full {
		wait = 10 * n.o.Pace.Span
	}
	n.refused[name] = now + wait
}

func (n *Node) displaced(why string) {
	if n.gone {
		return
	}
	n.gone = true
	n.tell(Event{What: Displaced, Name: n.o.Name, Why: why})
	for _, d := range slices.Sorted(maps.Keys(n.holds)) {
		n.drop(d, "another front has this one's name")
	}
	if n.keeper != nil {
		n.keeper.halt("another front has this keeper's name")
	}
	n.dropped = append(n.dropped, n.Peers()...)
}

func (n *Node) keeps(name string) bool {
	if _, ok := n.record.Keepers[name]; ok {
		return true
	}
	return n.record.Index == 0 && slices.ContainsFunc(n.o.Founders, func(k Keeper) bool { return k.Name == name })
}

// keepersKnown are all that the record names, or the file's before there is a record.
func (n *Node) keepersKnown() []Keeper {
	if len(n.record.Keepers) == 0 {
		return n.o.Founders
	}
	var all []Keeper
	for _, name := range slices.Sorted(maps.Keys(n.record.Keepers)) {
		all = append(all, Keeper{name, n.record.Keepers[name]})
	}
	return all
}

// Wanted are the links that this front should dial and doesn't have: a keeper all keepers, any other front one keeper and
// two fronts, each by its own rank of them.
func (n *Node) Wanted(now time.Duration) (dials []Dial) {
	if n.gone {
		return nil
	}
	if n.speaks() {
		for _, k := range n.keepersKnown() {
			if k.Name != n.o.Name && n.peers[k.Name] == nil && now >= n.refused[k.Name] {
				dials = append(dials, Dial(k))
			}
		}
		return dials
	}
	ours, kept := 0, false
	for name, p := range n.peers {
		if !p.Dialled { // by us
			ours++
			kept = kept || n.keeps(name)
		}
	}
	if ours >= fan && (kept || now < n.soughtAt+n.o.Pace.Span) {
		return nil
	}
	n.soughtAt = now
	var keepers, fronts []Dial
	for _, k := range n.keepersKnown() {
		if k.Name != n.o.Name {
			keepers = append(keepers, Dial(k))
		}
	}
	for name, f := range n.record.Fronts {
		if name != n.o.Name && !n.keeps(name) && f.Address != "" {
			fronts = append(fronts, Dial{name, f.Address})
		}
	}
	for name, address := range n.hints {
		if n.record.Fronts[name] == nil && !n.keeps(name) {
			fronts = append(fronts, Dial{name, address})
		}
	}
	take := func(from []Dial, want int) int {
		ranks := make(map[string]uint32, len(from))
		for _, d := range from {
			ranks[d.Name] = n.rank(d.Name)
		}
		slices.SortFunc(from, func(a, b Dial) int { return cmp.Compare(ranks[b.Name], ranks[a.Name]) })
		for _, d := range from {
			if want == 0 {
				break
			}
			if p := n.peers[d.Name]; p != nil {
				if !p.Dialled { // it is one of ours
					want--
				}
				continue
			}
			if now >= n.refused[d.Name] {
				dials = append(dials, d)
				want--
			}
		}
		return want
	}
	left := take(keepers, 1)
	take(fronts, fan-1+left)
	return dials
}

// rank is this front's own order of the others, another with each salt.
func (n *Node) rank(name string) uint32 {
	return crc32.ChecksumIEEE([]byte(n.o.Name + "/" + name + "/" + string(rune('a'+n.salt%26))))
}

// --- What comes in.

// Take takes a peer's message. An error is a peer that makes no sense: its link is to be closed.
func (n *Node) Take(now time.Duration, from string, m *Message) error {
	err := n.take(now, from, m)
	n.spread()
	return err
}

func (n *Node) take(now time.Duration, from string, m *Message) error {
	p := n.peers[from]
	if p == nil || n.gone {
		return nil
	}
	if err := m.check(); err != nil {
		return err
	}
	p.heard = now
	switch m.Kind {
	case Hello, Refuse:
		return Fault("a second greeting")
	case Ping:
		if m.Hello != nil && n.keeper != nil && p.Keeper {
			n.keeper.know(from, m.Hello.Floor)
		}
		n.index(p, m.Index)
	case Consent:
		if n.keeper != nil && p.Keeper {
			return n.keeper.take(now, from, m.Data)
		}
	case Pulse:
		n.index(p, m.Index)
		n.beat(now, from, m)
	case Changes:
		n.index(p, m.Index)
		return n.changes(now, from, m)
	case Whole:
		n.index(p, m.Index)
		return n.wholeOf(now, m)
	case Need:
		p.index = m.Index
		if n.catchUp(from); m.Number != 0 && p.index < n.record.Index {
			n.inPieces(from, n.record.encode())
		}
	case Up:
		for i := range m.There {
			n.upward(now, from, m.There[i])
		}
	case Ask:
		if m.Number++; m.Number <= mostHops {
			n.learn(now, m.From, from)
			n.toGiver(now, m)
		}
	case Down:
		if m.Number++; m.Number <= mostHops {
			n.toFront(now, m)
		}
	case Act:
		n.act(now, from, m)
	case Post:
		if m.Number++; m.Number <= mostHops {
			n.learn(now, m.From, from)
			n.toward(now, from, m)
		}
	case Rights:
		n.rights(m.Seen)
	case Piece:
		return n.piece(now, from, p, m)
	case Behind:
		for _, s := range m.Seen {
			n.bring(from, s)
		}
	}
	return nil
}

// index notes how much of the record a peer has.
func (n *Node) index(p *peer, index uint64) { p.index = max(p.index, index) }

// beat takes a pulse: the newest is passed on, and who brought it first is the way to the giver.
func (n *Node) beat(now time.Duration, from string, m *Message) {
	next := fence{m.Term, m.Number}
	if next.term < n.pulse.term || next.term == n.pulse.term && next.number <= n.pulse.number {
		n.catchUp(from)
		return
	}
	n.pulse, n.pulseAt, n.up, n.by = next, now, from, m.From
	n.heardAgain()
	n.flood(&Message{Kind: Pulse, From: m.From, Term: m.Term, Number: m.Number, Index: n.record.Index}, from)
	n.catchUp(from)
	if n.record.Index < m.Index && !n.speaks() && n.peers[from].index <= n.record.Index {
		n.send(from, &Message{Kind: Need, Index: n.record.Index})
	}
}

func (n *Node) heardAgain() {
	if n.alone {
		n.alone = false
		n.tell(Event{What: Heard, Term: n.pulse.term})
	}
}

// catchUp sends a peer what it lacks of the record.
func (n *Node) catchUp(name string) {
	p := n.peers[name]
	if p == nil || p.index >= n.record.Index || p.Keeper && n.speaks() {
		return // keepers have it by consensus
	}
	if len(n.lines) == 0 || n.lines[0].Index > p.index+1 || p.index == 0 {
		data := n.record.encode()
		if len(data) > pieceSize {
			return // it asks one of its neighbours, which brings it in pieces
		}
		n.send(name, &Message{Kind: Whole, From: n.o.Name, Index: n.record.Index, Data: data})
	} else {
		part := n.lines[p.index+1-n.lines[0].Index:]
		n.send(name, &Message{Kind: Changes, From: n.o.Name, Index: n.record.Index, Lines: slices.Clone(part)})
	}
	p.index = n.record.Index
}

func (n *Node) changes(now time.Duration, from string, m *Message) error {
	if n.speaks() {
		return nil
	}
	for _, l := range m.Lines {
		switch {
		case l.Index <= n.record.Index:
		case l.Index > n.record.Index+1 || n.record.Index == 0:
			n.send(from, &Message{Kind: Need, Index: n.record.Index})
			return nil
		default:
			n.apply(now, l)
		}
	}
	return nil
}

func (n *Node) wholeOf(now time.Duration, m *Message) error {
	if n.speaks() || m.Index <= n.record.Index {
		return nil
	}
	r, err := decodeRecord(m.Data)
	if err != nil {
		return Fault(err.Error())
	}
	if r.Index > n.record.Index {
		n.restore(now, r)
	}
	return nil
}

// spread brings all neighbours up, where there is news.
func (n *Node) spread() {
	if n.spreadAt == n.record.Index {
		return
	}
	n.spreadAt = n.record.Index
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		n.catchUp(name)
	}
}

// apply takes one line of the record.
func (n *Node) apply(now time.Duration, l Line) {
	if n.record.Beyond != 0 {
		n.record.Index = l.Index // what follows is not for this program
		return
	}
	c, fault := n.record.apply(l.Index, l.Data)
	n.lines = append(n.lines, l)
	if len(n.lines) > 2*mostLines {
		n.lines = append([]Line{}, n.lines[len(n.lines)-mostLines:]...)
	}
	if n.record.Beyond != 0 {
		n.tell(Event{What: Stuck, Index: l.Index, Why: fault})
		return
	}
	if c.Asker == n.o.Name && n.asks[c.AskID] != nil {
		n.answered(c.AskID, fault)
	}
	if n.giver != nil {
		n.giver.applied(now, &c, fault)
	}
	if fault != "" {
		return
	}
	switch c.Do {
	case doGrant, doVacate:
		d := n.record.Duties[c.Duty]
		n.tell(Event{What: Granted, Duty: d.Name, Term: d.Term, Name: d.Holder, Index: l.Index, Why: d.Why})
		n.settle(now, d)
	case doJoin:
		n.tell(Event{What: Joined, Name: c.Front.Name, Number: c.Front.Incarnation, Index: l.Index})
		n.same()
	case doPart:
		n.tell(Event{What: Parted, Name: c.Holder, Index: l.Index})
	}
}

// restore takes a record in one piece.
func (n *Node) restore(now time.Duration, r *Record) {
	n.record, n.lines = r, nil
	for _, name := range slices.Sorted(maps.Keys(r.Duties)) {
		if d := r.Duties[name]; d.Term > 0 {
			n.tell(Event{What: Granted, Duty: name, Term: d.Term, Name: d.Holder, Index: r.Index, Why: d.Why})
		}
		n.settle(now, r.Duties[name])
	}
	n.same()
}

// same looks whether this front's name is its own still.
func (n *Node) same() {
	if f := n.record.Fronts[n.o.Name]; f != nil && f.displaced(n.o.Incarnation) {
		n.displaced("another front of the fleet has this name")
	}
}

// --- The way to the giver and back.

// present says that this front is there, and what it holds.
func (n *Node) present(now time.Duration) {
	if n.gone {
		return
	}
	n.seq++
	n.saidAt = now
	n.askedAt[n.seq%askedKept] = now
	p := Presence{Name: n.o.Name, Incarnation: n.o.Incarnation, Seq: n.seq, Zone: n.o.Zone, Address: n.o.Address, Version: n.o.Version,
		Index: n.record.Index, Willing: n.o.Willing && !n.leaving && !n.idle, Leaving: n.leaving, Acts: n.acts, Righted: n.o.Right > 0, Takes: n.takes, Taking: n.taking, Digests: n.digests}
	for _, d := range slices.Sorted(maps.Keys(n.holds)) {
		if h := n.holds[d]; !h.stopping {
			p.Claims = append(p.Claims, Claim{Duty: d, Term: h.term, Done: h.done})
		}
	}
	n.upward(now, "", p)
}

// upward takes a presence a step towards the giver; an older one than has passed goes nowhere, so that it can't go round.
func (n *Node) upward(now time.Duration, from string, p Presence) {
	s, ok := n.passed[p.Name]
	if ok && s.incarnation == p.Incarnation && p.Seq <= s.seq || !ok && len(n.passed) >= mostKnown {
		return
	}
	n.passed[p.Name] = sight{p.Incarnation, p.Seq, now}
	n.learn(now, p.Name, from)
	if n.giver != nil {
		n.giver.there(now, p)
		return
	}
	if len(n.above) < mostThere {
		n.above[p.Name] = p
	}
}

// learn notes the way back to a front.
func (n *Node) learn(now time.Duration, name, via string) {
	if _, ok := n.ways[name]; via != "" && (ok || len(n.ways) < mostKnown) {
		n.ways[name] = way{via, now}
	}
}

func (n *Node) toGiver(now time.Duration, m *Message) {
	switch {
	case n.giver != nil:
		n.giver.asked(now, m)
	case n.up != "":
		c := *m
		n.send(n.up, &c)
	}
}

func (n *Node) toFront(now time.Duration, m *Message) {
	if m.Name == n.o.Name {
		n.word(now, m.Down)
		return
	}
	if w, ok := n.ways[m.Name]; ok {
		c := *m
		n.send(w.via, &c)
	}
}

// Post sends a front something for a part of it, by the tree: towards the giver until one knows the way. It may get lost;
// who needs an answer asks again.
func (n *Node) Post(now time.Duration, to, part string, data []byte) {
	n.toward(now, "", &Message{Kind: Post, From: n.o.Name, Name: to, Reason: part, Data: data})
}

func (n *Node) toward(now time.Duration, from string, m *Message) {
	if m.Name == n.o.Name {
		n.tell(Event{What: Posted, Name: m.From, Duty: m.Reason, Data: m.Data})
		return
	}
	next := n.up
	if w, ok := n.ways[m.Name]; ok {
		next = w.via
	}
	if n.peers[m.Name] != nil {
		next = m.Name
	}
	if next != "" && next != from {
		c := *m
		n.send(next, &c)
	}
}

// Tell asks the giver for all fronts' digests of a part; an Answered event with them follows.
func (n *Node) Tell(now time.Duration, part string) uint64 {
	return n.Ask(now, Question{What: Tell, Duty: part})
}

// Digest sets what a part has to say with this front's presences.
func (n *Node) Digest(part string, data []byte) {
	if len(data) > mostWord {
		return
	}
	all := slices.DeleteFunc(slices.Clone(n.digests), func(d Digest) bool { return d.Part == part })
	n.digests = append(all, Digest{Part: part, Data: data})
}

// Idle lets all duties go, and takes none until it is called off: for a front that may not act.
func (n *Node) Idle(now time.Duration, on bool) {
	if n.idle == on {
		return
	}
	n.idle = on
	for _, d := range slices.Sorted(maps.Keys(n.holds)) {
		if on {
			n.release(now, d, "", "this front has no right to act")
		}
	}
	n.present(now)
}

// Acting sets the version that this front acts on, and no other, from now on, and says so at once.
func (n *Node) Acting(now time.Duration, version uint64) {
	if n.acts != version || n.taking && n.takes == version {
		n.acts, n.taking = version, false
		n.present(now)
	}
}

// Taking asks for a right to another version as well, before it is taken up: a record that is old would name one that must
// not be acted on any more, and its right is refused.
func (n *Node) Taking(now time.Duration, version uint64) {
	if !n.taking || n.takes != version {
		n.takes, n.taking = version, true
		n.present(now)
	}
}

// Right is until when this front may act on a version, on its clock.
func (n *Node) Right(version uint64) time.Duration { return n.may[version] }

// rights takes renewals on their way down: our own, reckoned from when we asked, and those of fronts behind us.
func (n *Node) rights(all []Mark) {
	next := map[string][]Mark{}
	for _, m := range all {
		if m.Name != n.o.Name {
			if w, ok := n.ways[m.Name]; ok && w.via != "" {
				next[w.via] = append(next[w.via], m)
			}
			continue
		}
		if m.Term != n.o.Incarnation || m.Index > n.seq || n.seq-m.Index >= askedKept || n.gone ||
			m.Version != n.acts && !(n.taking && m.Version == n.takes) {
			continue
		}
		since := n.askedAt[m.Index%askedKept]
		if until := since + n.o.Pace.ours(n.o.Right); until > n.may[m.Version] {
			for v := range n.may {
				if v != n.acts && !(n.taking && v == n.takes) {
					delete(n.may, v)
				}
			}
			n.may[m.Version] = until
			n.tell(Event{What: Righted, Number: m.Version, Until: until, Since: since})
		}
	}
	for _, via := range slices.Sorted(maps.Keys(next)) {
		for part := range slices.Chunk(next[via], mostThere) {
			n.send(via, &Message{Kind: Rights, Seen: part})
		}
	}
}

// word takes the giver's word to this front.
func (n *Node) word(now time.Duration, w *Word) {
	if w.Gone == n.o.Incarnation && w.Gone != 0 {
		n.displaced("another front of the fleet has this name")
		return
	}
	if w.ID != 0 && n.asks[w.ID] != nil {
		n.answered(w.ID, w.Fault, w.Told...)
	}
	if w.Stop != "" {
		if h := n.holds[w.Stop]; h != nil && h.term == w.Term {
			n.release(now, w.Stop, w.To, "it was asked to hand it on")
		}
	}
	for _, c := range w.Claims {
		if h := n.holds[c.Duty]; h != nil && h.term == c.Term {
			n.keep(now, c.Duty, h, w.Kept)
		}
	}
}

func (n *Node) answered(id uint64, fault string, told ...Told) {
	delete(n.asks, id)
	n.tell(Event{What: Answered, Number: id, Why: fault, Told: told})
}

// --- Duties, as their holder.

// settle takes what the record says of a duty.
func (n *Node) settle(now time.Duration, d *Duty) {
	if f := n.fences[d.Name]; d.Term > f.term {
		n.fences[d.Name] = fence{term: d.Term}
	}
	h := n.holds[d.Name]
	ours := d.Holder == n.o.Name && d.Incarnation == n.o.Incarnation && !n.gone
	if h != nil && (!ours || h.term != d.Term) {
		n.drop(d.Name, "it passed to "+cmp.Or(d.Holder, "nobody"))
		h = nil
	}
	if !ours || h != nil {
		return
	}
	h = &hold{term: d.Term}
	n.holds[d.Name] = h
	if n.leaving || n.idle {
		n.release(now, d.Name, "", "this front takes no duty")
		return
	}
	n.keep(now, d.Name, h, d.Beat)
	n.present(now) // it asked a while ago: it asks again at once
}

// keep reckons a duty's end from when we said the word that the giver answers, less the margin.
func (n *Node) keep(now time.Duration, duty string, h *hold, seq uint64) {
	if seq > n.seq || n.seq-seq >= askedKept || h.stopping {
		return
	}
	since := n.askedAt[seq%askedKept]
	until := since + n.o.Pace.holders()
	if until <= h.until || until <= now {
		return
	}
	what := Kept
	if !h.open {
		what, h.open = Held, true
	}
	h.until = until
	n.tell(Event{What: what, Duty: duty, Term: h.term, Until: until, Since: since})
}

// drop ends a hold that is another's now.
func (n *Node) drop(duty, why string) {
	h := n.holds[duty]
	delete(n.holds, duty)
	if h != nil && h.open {
		n.tell(Event{What: Ended, Duty: duty, Term: h.term, Until: h.until, Number: h.acts, Why: why})
	}
}

// release stops a hold first, and says so then.
func (n *Node) release(now time.Duration, duty, to, why string) {
	h := n.holds[duty]
	if h == nil || h.stopping {
		return
	}
	h.stopping = true
	if h.open {
		h.open = false
		n.tell(Event{What: Ended, Duty: duty, Term: h.term, Until: h.until, Number: h.acts, Why: why})
	}
	n.Ask(now, Question{What: Release, Duty: duty, Term: h.term, To: to})
}

// --- Acts.

// admit looks whether an act is of a term that may act still, and notes it.
func (n *Node) admit(m *Message) (fresh bool) {
	f := n.fences[m.Name]
	switch {
	case m.Term < f.term:
		n.tell(Event{What: Refused, Duty: m.Name, Term: m.Term, Name: m.From, Why: "an act of an older term"})
		return false
	case m.Number == 0: // a neighbour's whole mirror
		if m.Term > f.term {
			n.fences[m.Name] = fence{term: m.Term}
		}
		return true
	case m.Term == f.term && m.Number <= f.number:
		return false // it came by another way before
	}
	n.fences[m.Name] = fence{m.Term, m.Number}
	return true
}

func (n *Node) act(now time.Duration, from string, m *Message) {
	if len(n.fences) >= mostKnown && n.fences[m.Name] == (fence{}) || n.record.Duties[m.Name] == nil && n.mirrors[m.Name] == nil {
		return // no duty that this front knows of
	}
	if h := n.holds[m.Name]; h != nil && m.Term > h.term {
		n.drop(m.Name, "a later term acts")
	}
	if !n.admit(m) {
		return
	}
	if m.Number != 0 {
		c := *m
		n.flood(&c, from)
	}
	mirror := n.mirrors[m.Name]
	if mirror == nil {
		n.tell(Event{What: Came, Duty: m.Name, Term: m.Term, Name: m.From, Number: m.Number, Data: m.Data})
		return
	}
	_, before := mirror.Mark()
	news, behind := mirror.Take(m.Term, m.Data)
	if behind { // whoever passed it on has what went before
		term, index := mirror.Mark()
		n.send(from, &Message{Kind: Behind, From: n.o.Name, Seen: []Mark{{Name: m.Name, Term: term, Index: index}}})
	}
	if news != nil {
		n.tell(Event{What: Came, Duty: m.Name, Term: m.Term, Name: m.From, Number: m.Number, Data: news})
		if _, index := mirror.Mark(); m.Number == 0 && index > before { // a neighbour may lack it as well
			c := *m
			n.flood(&c, from)
		}
	}
}

// bring sends a peer a mirror that has more than its own.
func (n *Node) bring(to string, s Mark) {
	m := n.mirrors[s.Name]
	if m == nil {
		return
	}
	term, index := m.Mark()
	if index <= s.Index {
		return
	}
	if data := m.Whole(); data != nil {
		n.send(to, &Message{Kind: Act, From: n.o.Name, Name: s.Name, Term: term, Data: data})
	}
}

// --- Time.

// Tick goes on with what takes time; it is to be called about every tick of the pace.
func (n *Node) Tick(now time.Duration) {
	n.lastTick = now
	if n.gone {
		return
	}
	p := n.o.Pace
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		q := n.peers[name]
		if now-q.heard > p.quiet() {
			n.dropped = append(n.dropped, name)
			n.tell(Event{What: Shed, Name: name, Why: "it was silent"})
			q.heard = now
			n.refused[name] = now + p.beat()
			continue
		}
		if now-q.said >= p.beat() || n.keeper != nil && q.Keeper && now-q.said >= p.tick() && now/p.beat() != (now-p.tick())/p.beat() {
			m := &Message{Kind: Ping, Index: n.record.Index}
			if n.keeper != nil && q.Keeper {
				m.Hello = &Greeting{Floor: n.keeper.floor, Name: n.o.Name}
			}
			n.send(name, m)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(n.holds)) {
		if h := n.holds[d]; h.open && now >= h.until {
			h.open = false
			n.tell(Event{What: Ended, Duty: d, Term: h.term, Until: h.until, Number: h.acts, Why: "it ran out"})
		}
	}
	if n.speaks() {
		n.keeper.tick(now)
	}
	if n.giver != nil {
		n.giver.tick(now)
	}
	if every := p.slow(); now-n.saidAt >= every || len(n.holds) > 0 && now-n.saidAt >= p.beat() {
		n.present(now)
	}
	if len(n.above) > 0 && n.up != "" {
		m := &Message{Kind: Up, From: n.o.Name}
		for _, name := range slices.Sorted(maps.Keys(n.above)) {
			m.There = append(m.There, n.above[name])
		}
		clear(n.above)
		n.send(n.up, m)
	}
	n.remind(now)
	if !n.alone && now-n.pulseAt > p.silent() {
		n.alone = true
		n.tell(Event{What: Alone, Why: "no pulse of the fleet"})
	}
	if n.alone && now-n.salted > 2*p.Span { // perhaps an island: other neighbours
		n.salted = now
		n.salt++
		clear(n.refused)
		clear(n.hints)
	}
	n.carry(now)
	n.lacks(now)
	n.prune(now)
	n.spread()
}

// remind repeats questions without an answer, and declares what the record lacks.
func (n *Node) remind(now time.Duration) {
	p := n.o.Pace
	for _, id := range slices.Sorted(maps.Keys(n.asks)) {
		a := n.asks[id]
		if q := a.m.Ask; q.What == Release {
			if h := n.holds[q.Duty]; h == nil || h.term != q.Term {
				delete(n.asks, id)
				continue
			}
		}
		if now-a.began > 4*p.Span {
			n.answered(id, "no answer came")
			continue
		}
		if now-a.said >= p.beat() {
			a.said = now
			a.m.Number = 0
			n.toGiver(now, a.m)
		}
	}
	if n.alone || n.record.Index == 0 {
		return
	}
	for _, d := range slices.Sorted(maps.Keys(n.wants)) {
		if was := n.record.Duties[d]; was != nil && was.Bound == n.wants[d] {
			continue
		}
		again := false
		for _, a := range n.asks {
			again = again || a.m.Ask.Duty == d && a.m.Ask.What == Propose
		}
		if !again {
			n.command(now, Command{Do: doDeclare, Duty: d, Bound: n.wants[d]})
		}
	}
}

// prune forgets ways and words of fronts that are long silent.
func (n *Node) prune(now time.Duration) {
	old := now - 40*n.o.Pace.Span
	for name, w := range n.ways {
		if w.at < old {
			delete(n.ways, name)
		}
	}
	for name, s := range n.passed {
		if s.at < old {
			delete(n.passed, name)
		}
	}
}

// Sort is the part of a duty's name before its slash: scout of scout/3.
func Sort(duty string) string {
	kind, _, _ := strings.Cut(duty, "/")
	return kind
}
