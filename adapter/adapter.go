// Package adapter hosts instances of the decision module and lets the bench drive them: it maps the
// wire's ids to small indices at the door and back. It decides nothing.
package adapter

import (
	"fmt"
	"hash/fnv"
	"io"
	"time"

	"dapplerouter/port"
	"dapplerouter/wire"
)

// New makes the Decider of a newborn instance.
type New func(h port.Host, seed uint64, at port.Topology, types []port.TxnType, customers []port.Customer,
	copies port.Replication, rules port.Guardrails, allowed port.Allowance, costs port.Tariff) port.Decider

// Run answers the batches of in on out until in ends.
func Run(in io.Reader, out io.Writer, make New) error {
	a := &adapter{w: wire.NewWriter(out), make: make, fronts: map[int]*front{}}
	r := wire.NewReader(in)
	var e wire.Event
	open := false
	for {
		err := r.Next(&e)
		if err == io.EOF && !open {
			return nil
		}
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		switch {
		case e.Kind == wire.Mark:
			if open {
				return fmt.Errorf("a mark within batch %s", a.batch)
			}
			open, a.clock, a.batch = true, e.Clock, string(e.Batch)
		case !open:
			return fmt.Errorf("an event before any mark")
		case e.Kind == wire.YourTurn:
			open = false
			if err := a.settle(); err != nil {
				return err
			}
		default:
			if err := a.take(&e); err != nil {
				return err
			}
		}
	}
}

type adapter struct {
	w      *wire.Writer
	make   New
	clock  int64
	batch  string
	pages  [16][]wire.Entry
	fronts map[int]*front
	active []*front // with an event in this batch, in order of their first
	halted bool     // a panic was declared: nothing more is decided
}

// settle ends the batch: every instance that had an event emits what it wants.
func (a *adapter) settle() error {
	for _, f := range a.active {
		f.awake = false
		if a.fronts[f.id] == f {
			a.guard(f.id, func() { f.decider.Settle(f.now()) })
		}
	}
	a.active = a.active[:0]
	return a.w.Done(a.batch)
}

// guard runs a step of the module and reports its panic in the wire's way.
func (a *adapter) guard(id int, step func()) {
	if a.halted {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			a.halted = true
			a.w.Panic(id, fmt.Sprint(p))
		}
	}()
	step()
}

func (a *adapter) take(e *wire.Event) error {
	switch e.Kind {
	case wire.Catalog:
		a.pages[e.Page] = append([]wire.Entry{}, e.Entries...) // an empty list is a list
		return nil
	case wire.CrashNow:
		delete(a.fronts, e.Front)
		return nil
	case wire.Born:
		f := newFront(a, e.Front, e.Site)
		a.fronts[e.Front] = f
		a.guard(f.id, func() {
			s := e.Site
			f.decider = a.make(f, e.Seed, s.Topology, s.TxnTypes, s.Shares, s.Replication, s.Guardrails,
				s.Allowance, s.Tariff)
		})
	}
	f := a.fronts[e.Front]
	if f == nil {
		return fmt.Errorf("batch %s: field Front: an event for front-%d, which is not running", a.batch, e.Front)
	}
	if !f.awake {
		f.awake = true
		a.active = append(a.active, f)
	}
	var err error
	a.guard(f.id, func() { err = f.event(e) })
	if err != nil {
		return fmt.Errorf("batch %s: front-%d: %w", a.batch, e.Front, err)
	}
	return nil
}

// door is the wire's side of a txn in hand.
type door struct {
	rid    string
	turn   uint32
	out    int  // submissions without an ending
	hops   int  // submissions so far
	closed bool // finally answered
}

// front is one instance and its doors.
type front struct {
	a       *adapter
	id      int
	start   int64
	zero    time.Duration
	decider port.Decider
	awake   bool

	types, customers, zones, kinds map[string]int
	members, groups                map[int64]int
	stores                         []int64
	txns                           map[string]uint32
	doors                          []door
	free                           []uint32
	entries                        []port.Entry
}

func newFront(a *adapter, id int, s *wire.Site) *front {
	return &front{a: a, id: id, start: a.clock, zero: time.Duration(s.Zero - a.clock), kinds: map[string]int{},
		members: map[int64]int{}, groups: map[int64]int{}, txns: map[string]uint32{},
		types: index(s.Types), customers: index(s.Customers), zones: index(s.Zones)}
}

func index(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

func number[K comparable](m map[K]int, k K) int {
	i, ok := m[k]
	if !ok {
		i = len(m)
		m[k] = i
	}
	return i
}

func (f *front) now() time.Duration { return time.Duration(f.a.clock - f.start) }

func (f *front) member(store int64) (int, error) {
	m, ok := f.members[store]
	if !ok {
		return 0, fmt.Errorf("field Store: %d is on no list of this instance", store)
	}
	return m, nil
}

func (f *front) load(l port.Load, x0 float64) port.Load {
	if l.HasPosition {
		l.Position = f.zero + time.Duration(x0*float64(time.Second))
	}
	return l
}

func (f *front) event(e *wire.Event) error {
	now := f.now()
	switch e.Kind {
	case wire.Targets:
		return f.targets(now, e)
	case wire.Order:
		return f.order(now, e)
	case wire.Resolved:
		place, ok := f.txns[string(e.Rid)]
		if !ok {
			return fmt.Errorf("field Rid: %s was never submitted", e.Rid)
		}
		m, err := f.member(e.Store)
		if err != nil {
			return err
		}
		d := &f.doors[place]
		if e.Outcome.Hop < 0 || e.Outcome.Hop >= d.hops {
			return fmt.Errorf("field Hop: %d of %s was never submitted", e.Outcome.Hop, e.Rid)
		}
		o := e.Outcome
		o.Ref, o.Member = port.Ref{Place: place, Turn: d.turn}, m
		o.Load = f.load(e.Load, e.X0)
		if e.Stamp != 0 {
			o.Position, o.HasPosition = f.zero+time.Duration(e.Stamp)*time.Millisecond, true
		}
		d.out--
		d.closed = d.closed || o.Closed
		f.decider.Ended(now, o)
		f.release(place)
	case wire.Aborted:
		place, ok := f.txns[string(e.Rid)]
		if ok && !f.doors[place].closed {
			f.doors[place].closed = true
			f.decider.Left(now, port.Ref{Place: place, Turn: f.doors[place].turn})
			f.release(place)
		}
	case wire.Alarm:
		f.decider.Woken(now)
	case wire.PingResult:
		m, err := f.member(e.Store)
		if err != nil {
			return err
		}
		f.decider.Probed(now, m, e.Outcome.Ending, e.Outcome.Latency, f.load(e.Load, e.X0))
	case wire.NeighbourSays:
		f.decider.Heard(now, e.Peer, e.Contents)
	}
	return nil
}

func (f *front) targets(now time.Duration, e *wire.Event) error {
	f.entries = f.entries[:0]
	if e.ListKind != port.Failed {
		if e.Page < 0 || e.Page >= len(f.a.pages) || f.a.pages[e.Page] == nil {
			return fmt.Errorf("field Page: no catalog %d", e.Page)
		}
		for _, en := range f.a.pages[e.Page] {
			zone, ok := f.zones[en.Zone]
			if !ok {
				return fmt.Errorf("field RegionPart: %q is none of Zones", en.Zone)
			}
			m := number(f.members, en.Store)
			if m == len(f.stores) {
				f.stores = append(f.stores, en.Store)
			}
			f.entries = append(f.entries, port.Entry{Member: m, Zone: zone, Kind: number(f.kinds, en.Model),
				Group: number(f.groups, en.Db), State: en.State, Weight: en.Weight, Primary: en.Primary,
				Started: time.Duration(en.Born - f.start), HasStarted: en.Born != 0})
		}
	}
	f.decider.List(now, e.ListKind, e.Epoch, f.entries)
	return nil
}

func (f *front) order(now time.Duration, e *wire.Event) error {
	t := e.Txn
	var ok bool
	if t.Type, ok = f.types[string(e.Qos)]; !ok {
		return fmt.Errorf("field Qos: %q is no class", e.Qos)
	}
	t.Customer = port.None
	if len(e.Customer) > 0 && string(e.Customer) != "0" && len(f.customers) > 0 {
		if t.Customer, ok = f.customers[string(e.Customer)]; !ok {
			return fmt.Errorf("field Customer: %q is no tenant", e.Customer)
		}
	}
	if len(e.User) > 0 {
		h := fnv.New64a()
		h.Write(e.User)
		t.Session = h.Sum64() | 1
	}
	t.Group = number(f.groups, e.Group)
	if _, held := f.txns[string(e.Rid)]; held {
		return fmt.Errorf("field Rid: %s came twice", e.Rid)
	}
	var place uint32
	if n := len(f.free); n > 0 {
		place, f.free = f.free[n-1], f.free[:n-1]
	} else {
		place = uint32(len(f.doors))
		f.doors = append(f.doors, door{})
	}
	rid := string(e.Rid)
	f.doors[place] = door{rid: rid, turn: f.doors[place].turn + 1}
	f.txns[rid] = place
	t.Ref = port.Ref{Place: place, Turn: f.doors[place].turn}
	f.decider.Begin(now, t)
	return nil
}

// release gives a place back once its txn is answered and every submission has ended.
func (f *front) release(place uint32) {
	d := &f.doors[place]
	if d.closed && d.out == 0 && d.rid != "" {
		delete(f.txns, d.rid)
		d.rid = ""
		f.free = append(f.free, place)
	}
}

// at finds the door of a txn that the module names.
func (f *front) at(r port.Ref) *door {
	d := &f.doors[r.Place]
	if d.turn != r.Turn || d.rid == "" {
		panic(fmt.Sprintf("txn %d.%d is not in hand", r.Place, r.Turn))
	}
	return d
}

// Submit and the rest carry the module's wishes to the wire.
func (f *front) Submit(r port.Ref, member int, giveUpAfter time.Duration) {
	d := f.at(r)
	d.out++
	d.hops++
	f.a.w.HandOff(f.id, d.rid, f.stores[member], int64(giveUpAfter))
}

func (f *front) Revoke(r port.Ref, hop int) { f.a.w.Revoke(f.id, f.at(r).rid, hop) }

func (f *front) Decline(r port.Ref, comeBackIn time.Duration) {
	d := f.at(r)
	f.a.w.Decline(f.id, d.rid, int64(comeBackIn))
	d.closed = true
	f.release(r.Place)
}

func (f *front) RollBack(r port.Ref) {
	d := f.at(r)
	f.a.w.Lose(f.id, d.rid)
	d.closed = true
	f.release(r.Place)
}

func (f *front) Probe(member int)              { f.a.w.SoundOut(f.id, f.stores[member]) }
func (f *front) Watch(on bool)                 { f.a.w.Track(f.id, on) }
func (f *front) Fetch()                        { f.a.w.QueryAll(f.id) }
func (f *front) Tell(peer int, message []byte) { f.a.w.WritePeer(f.id, peer, message) }
func (f *front) Wake(after time.Duration)      { f.a.w.Timer(f.id, int64(after), "wake") }
func (f *front) Log(message string)            { f.a.w.NoteDown(f.id, message) }
