// Package adapter hosts instances of the decision module and lets the bench drive them: it maps the
// wire's ids to small indices at the door and back. It decides nothing.
package adapter

import (
	"fmt"
	"io"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/front"
	"dapplerouter/routing"
	"dapplerouter/wire"
)

// Run answers the batches of in on out until in ends.
func Run(in io.Reader, out io.Writer, make front.RouterFactory) error {
	a := &adapter{w: wire.NewWriter(out), make: make, fronts: map[int]*instance{}}
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
	make   front.RouterFactory
	clock  int64
	batch  string
	pages  [16][]wire.Entry
	fronts map[int]*instance
	active []*instance // with an event in this batch, in order of their first
	halted bool        // a panic was declared: nothing more is decided
}

// settle ends the batch: every instance that had an event emits what it wants.
func (a *adapter) settle() error {
	for _, f := range a.active {
		f.awake = false
		if a.fronts[f.id] == f {
			a.guard(f.id, func() { f.decider.Reconcile(f.now()) })
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
		f := newInstance(a, e.Front, e.Site)
		a.fronts[e.Front] = f
		a.guard(f.id, func() {
			s := e.Site
			f.decider = a.make(f, routing.Options{Seed: e.Seed, Topology: s.Topology, RequestTypes: s.RequestTypes, Customers: s.CustomerQuotas,
				Replication: s.Replication, Guardrails: s.Guardrails, Limits: s.Limits, CostWeights: s.CostWeights})
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

// instance is one instance: its ids and its requests in hand, each under the wire's id of it.
type instance struct {
	a       *adapter
	id      int
	start   int64
	zero    time.Duration
	decider routing.Router
	awake   bool

	types, customers, zones, kinds *front.Index[string]
	requestTypes                   []routing.RequestType
	stores, groups                 *front.Index[int64]
	requests                       map[string]routing.RequestRef
	slab                           front.RequestTable[string]
	entries                        []routing.Endpoint
}

func newInstance(a *adapter, id int, s *deployment.Settings) *instance {
	return &instance{a: a, id: id, start: a.clock, zero: time.Duration(s.PositionOrigin - a.clock),
		kinds: front.NewIndex[string](), stores: front.NewIndex[int64](), groups: front.NewIndex[int64](),
		requests: map[string]routing.RequestRef{}, types: front.NewIndex(s.TypeNames...), requestTypes: s.RequestTypes,
		customers: front.NewIndex(s.CustomerNames...), zones: front.NewIndex(s.ZoneNames...)}
}

func (f *instance) now() time.Duration { return time.Duration(f.a.clock - f.start) }

func (f *instance) member(store int64) (int, error) {
	m, ok := f.stores.Lookup(store)
	if !ok {
		return 0, fmt.Errorf("field Store: %d is on no list of this instance", store)
	}
	return m, nil
}

func (f *instance) load(l routing.LoadReport, x0 float64) routing.LoadReport {
	if l.HasPosition {
		l.Position = f.zero + time.Duration(x0*float64(time.Second))
	}
	return l
}

func (f *instance) event(e *wire.Event) error {
	now := f.now()
	switch e.Kind {
	case wire.Targets:
		return f.targets(now, e)
	case wire.Order:
		return f.order(now, e)
	case wire.Resolved:
		ref, ok := f.requests[string(e.Rid)]
		if !ok {
			return fmt.Errorf("field Rid: %s was never submitted", e.Rid)
		}
		m, err := f.member(e.Store)
		if err != nil {
			return err
		}
		d := f.slab.MustGet(ref)
		if e.Outcome.AttemptNumber < 0 || e.Outcome.AttemptNumber >= d.Attempts {
			return fmt.Errorf("field Hop: %d of %s was never submitted", e.Outcome.AttemptNumber, e.Rid)
		}
		o := e.Outcome
		o.Ref, o.Server = ref, m
		o.Load = f.load(e.Load, e.X0)
		if e.Stamp != 0 {
			o.Position, o.HasPosition = f.zero+time.Duration(e.Stamp)*time.Millisecond, true
		}
		d.InFlight--
		d.Finished = d.Finished || o.RequestFinished
		f.decider.AttemptFinished(now, o)
		f.release(ref)
	case wire.Aborted:
		ref, ok := f.requests[string(e.Rid)]
		if d := f.slab.Get(ref); ok && d != nil && !d.Finished {
			d.Finished = true
			f.decider.ClientGone(now, ref)
			f.release(ref)
		}
	case wire.Alarm:
		f.decider.TimerFired(now)
	case wire.PingResult:
		m, err := f.member(e.Store)
		if err != nil {
			return err
		}
		f.decider.HealthCheckFinished(now, m, e.Outcome.Result, e.Outcome.Latency, f.load(e.Load, e.X0))
	case wire.NeighbourSays:
		f.decider.GossipReceived(now, e.Peer, e.Contents)
	}
	return nil
}

func (f *instance) targets(now time.Duration, e *wire.Event) error {
	f.entries = f.entries[:0]
	if e.ListKind != routing.UpdateFailed {
		if e.Page < 0 || e.Page >= len(f.a.pages) || f.a.pages[e.Page] == nil {
			return fmt.Errorf("field Page: no catalog %d", e.Page)
		}
		for _, en := range f.a.pages[e.Page] {
			zone, ok := f.zones.Lookup(en.Zone)
			if !ok {
				return fmt.Errorf("field RegionPart: %q is none of Zones", en.Zone)
			}
			f.entries = append(f.entries, routing.Endpoint{Server: f.stores.Intern(en.Store), Zone: zone,
				Kind: f.kinds.Intern(en.Model), Group: f.groups.Intern(en.Db),
				State: en.State, Weight: en.Weight, Primary: en.Primary,
				StartedAt: time.Duration(en.Born - f.start), HasStartTime: en.Born != 0})
		}
	}
	f.decider.EndpointsChanged(now, e.ListKind, e.Epoch, f.entries)
	return nil
}

func (f *instance) order(now time.Duration, e *wire.Event) error {
	t := e.Request
	var ok bool
	if t.Type, ok = f.types.Lookup(string(e.Qos)); !ok {
		return fmt.Errorf("field Qos: %q is no class", e.Qos)
	}
	t.Customer = routing.None
	if len(e.Customer) > 0 && string(e.Customer) != "0" && f.customers.Len() > 0 {
		if t.Customer, ok = f.customers.Lookup(string(e.Customer)); !ok {
			return fmt.Errorf("field Customer: %q is no tenant", e.Customer)
		}
	}
	if len(e.User) > 0 {
		t.Session = front.SessionHash(e.User)
	}
	t.Group = f.groups.Intern(e.Group)
	t.MaxStaleness, t.DedupWindow = f.requestTypes[t.Type].MaxStaleness, f.requestTypes[t.Type].DedupWindow
	if _, held := f.requests[string(e.Rid)]; held {
		return fmt.Errorf("field Rid: %s came twice", e.Rid)
	}
	rid := string(e.Rid)
	t.Ref = f.slab.Add(rid)
	f.requests[rid] = t.Ref
	f.decider.RequestReceived(now, t)
	return nil
}

// release gives a place back once its request is answered and every attempt has ended.
func (f *instance) release(r routing.RequestRef) {
	if d := f.slab.Get(r); d != nil {
		if rid := d.Value; f.slab.Release(r) {
			delete(f.requests, rid)
		}
	}
}

// StartAttempt and the rest carry the module's wishes to the wire.
func (f *instance) StartAttempt(r routing.RequestRef, member int, giveUpAfter time.Duration) {
	d := f.slab.MustGet(r)
	d.InFlight++
	d.Attempts++
	f.a.w.HandOff(f.id, d.Value, f.stores.Key(member), int64(giveUpAfter))
}

func (f *instance) CancelAttempt(r routing.RequestRef, hop int) {
	f.a.w.Cancel(f.id, f.slab.MustGet(r).Value, hop)
}

func (f *instance) Reject(r routing.RequestRef, comeBackIn time.Duration) {
	d := f.slab.MustGet(r)
	f.a.w.Reject(f.id, d.Value, int64(comeBackIn))
	d.Finished = true
	f.release(r)
}

func (f *instance) Fail(r routing.RequestRef) {
	d := f.slab.MustGet(r)
	f.a.w.Lose(f.id, d.Value)
	d.Finished = true
	f.release(r)
}

func (f *instance) StartHealthCheck(member int)         { f.a.w.SoundOut(f.id, f.stores.Key(member)) }
func (f *instance) ReleaseServer(member int)            { f.stores.Release(member) }
func (f *instance) WatchEndpoints(on bool)              { f.a.w.Track(f.id, on) }
func (f *instance) FetchEndpoints()                     { f.a.w.QueryAll(f.id) }
func (f *instance) SendGossip(peer int, message []byte) { f.a.w.WritePeer(f.id, peer, message) }
func (f *instance) SetTimer(after time.Duration)        { f.a.w.Timer(f.id, int64(after), "wake") }
func (f *instance) Log(message string)                  { f.a.w.NoteDown(f.id, message) }
