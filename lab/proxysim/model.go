// Package proxysim hosts real fronts in virtual time: front.Core with the module, the fleet's node, scouts and the list's mirror,
// before modelled members and a modelled list's service. Nothing here is a copy of what runs in service but the links, the
// members and the service of the list. One seed gives one run. For measurements and tests only.
package proxysim

import (
	"fmt"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/fleet/agent"
	"dapplerouter/fleet/rollout"
	"dapplerouter/front"
	"dapplerouter/lab/fleetsim"
	"dapplerouter/pgwire"
	"dapplerouter/router"
	"dapplerouter/routing"
)

// Options are what a Town is made of.
type Options struct {
	Seed                    uint64
	Fronts, Voters          int
	Groups, PerGroup        int // members of each; the first is the primary
	Servers                 int // of a member
	Service                 time.Duration
	Rate                    float64 // requests a second that come to each front
	Fleet                   bool    // the fronts know one another
	Ask                     bool    // the list's service answers only when it is asked
	Span                    time.Duration
	Deadline, TargetLatency time.Duration
	Writes                  float64       // part of the requests
	Unwatched               bool          // nothing is kept of single requests
	Right                   time.Duration // versions are published, with rights of this length; 0 for none
	Stop                    bool          // fronts that hear nobody stop at the end of their right
	SparseChecks            bool          // for measurements of many fronts: not all are checked at each one's tick
	Within                  time.Duration // by which a published version has to be in force; 0 for no time
}

// Town is fronts, members, clients and the list's service in one world.
type Town struct {
	*fleetsim.World
	O        Options
	Fronts   []*Front
	Members  []*Member
	Lists    Lists
	Requests []*Request
	Turns    []Turn // of rolls, as the record took them first
	byName   map[string]*Member
	ids      int
	turned   uint64 // index of the newest

	checkedTurn uint64 // the turn and the time at which all fronts' versions were looked at last
	checkedAt   time.Duration
	byHost      map[*fleetsim.Host]*Front
	outcomes    map[uint64]string // of operators' actions, by ID, as the record took them first
}

// Turn is a state of rolls in the record, and when it came there.
type Turn struct {
	At    time.Duration
	Index uint64
	rollout.State
}

// Lists is the list's service.
type Lists struct {
	Index int64
	Away  bool
	Calls int
	Open  int // watches
}

// Request is one that a client asked for.
type Request struct {
	ID, Front string
	Type      string
	At, Ended time.Duration // the world's
	Answers   int
	Word      front.Status
	Write     bool
}

// Front is one instance.
type Front struct {
	Name      string
	t         *Town
	host      *fleetsim.Host
	number    int // its place among all
	Core      *front.Core
	prober    *agent.Prober
	list      *fleet.EndpointList
	dir       *directory
	turn      int
	startedAt time.Duration
	due       time.Duration // of the alarm that is set, on its clock
	inward    bool          // a step is being taken
	Asked     map[string]int
	Served    map[string]int

	Participant *rollout.Participant
	aloneAt     time.Duration // it heard nobody, or stood still, last
	disk        saved         // what the front's own disk holds of versions
	version     uint64
	sums        []rollout.Counts
	Bad         func(version uint64) bool    // the version is one that this front can't use
	Crashes     func(version uint64) bool    // it takes the process down
	Spoils      func(version uint64) float64 // part of the requests that fail on it
}

// saved is what a front keeps of versions.
type saved struct {
	version, tried uint64
	text           []byte
}

const epoch = 1_800_000_000_000 // Unix milliseconds of the world's beginning

func (t *Town) wall(at time.Duration) int64 { return epoch + at.Milliseconds() }

func (t *Town) way() time.Duration {
	return t.Delay + time.Duration(t.Rnd.Int64N(int64(t.Delay)))
}

// New makes a town; its fronts start with Start.
func New(o Options) *Town {
	if o.Deadline == 0 {
		o.Deadline, o.TargetLatency = 2*time.Second, 250*time.Millisecond
	}
	t := &Town{World: fleetsim.New(o.Seed, o.Fronts, o.Voters, fleet.Timing{LeaseDuration: o.Span}, map[string]time.Duration{fleet.EndpointListLease: 2 * o.Span}), O: o,
		byName: map[string]*Member{}, byHost: map[*fleetsim.Host]*Front{}, outcomes: map[uint64]string{}}
	t.Lists.Index = 10
	for g := range o.Groups {
		for i := range o.PerGroup {
			m := &Member{Name: fmt.Sprintf("s-%d-%d", g, i), Zone: zones[(g+i)%3], Group: int64(g), Primary: i == 0, Servers: o.Servers, Service: o.Service,
				Lag: 5 * time.Millisecond, t: t, Did: map[string]int{}, marks: map[string]time.Duration{}}
			t.Members = append(t.Members, m)
			t.byName[m.Name] = m
		}
	}
	for _, h := range t.Hosts {
		h.Bare, h.Right = !o.Fleet, o.Right
		f := &Front{Name: h.Name, t: t, host: h, number: len(t.Fronts), Asked: map[string]int{}, Served: map[string]int{}}
		t.Fronts, t.byHost[h] = append(t.Fronts, f), f
	}
	t.Born = func(h *fleetsim.Host) { t.byHost[h].begin() }
	t.Watch = func(h *fleetsim.Host, e fleet.Event) { t.byHost[h].told(e) }
	return t
}

var zones = []string{"a", "b", "c"}

// Types of request that come.
const (
	Browse = "browse" // reads, any group's member
	Book   = "book"   // writes under a mark
)

func (t *Town) site(i int) *deployment.Settings {
	o := t.O
	s := &deployment.Settings{TypeNames: []string{Browse, Book}, ZoneNames: zones,
		RequestTypes: []routing.RequestType{
			{LatencyObjective: o.TargetLatency, Deadline: o.Deadline, PriorityWeight: 1, Idempotency: routing.Idempotent, DedupScope: routing.ScopeAll, Consistency: routing.Eventual},
			{LatencyObjective: o.TargetLatency, Deadline: o.Deadline, PriorityWeight: 5, Idempotency: routing.IdempotencyKey, DedupScope: routing.ScopeGroup, DedupWindow: 2 * time.Second, Consistency: routing.Write}},
		Topology:    routing.Topology{Zone: i % 3, ZoneCount: 3, FleetSize: len(t.Hosts), Ordinal: i, PullEndpoints: o.Ask, RoleListing: routing.RolesDelayed, TickInterval: 5 * time.Millisecond},
		Replication: routing.Replication{StalenessCheck: routing.RejectIfStale, PositionInResponses: true},
		Guardrails:  routing.Guardrails{AnswerSlack: 20 * time.Millisecond, DrainGrace: 2 * time.Second, InitialCapacity: 1, OverloadMultiple: 1, MaxPollInterval: 2 * time.Second, SlowStartDuration: time.Second, OverloadWindow: 2 * time.Second},
		Limits:      routing.Limits{MaxAttempts: 10, HealthChecks: true, Cancellation: true, MaxRetryAfter: time.Second, DialTimeout: 500 * time.Millisecond, IdleConnTimeout: 30 * time.Second}}
	return s
}

func (t *Town) whole() discovery.List {
	l := discovery.List{Index: t.Lists.Index, Snapshot: true}
	for _, m := range t.Members {
		l.Endpoints = append(l.Endpoints, m.entry())
	}
	return l
}

// begin is a process that starts.
func (f *Front) begin() {
	t := f.t
	f.turn++
	f.startedAt = t.Now
	f.due = -1
	ways := front.Pools(&links{f: f})
	f.dir = &directory{f: f}
	s := t.site(f.number)
	if f.host.Node != nil {
		f.list = fleet.NewEndpointList()
		f.host.Node.SetMirror(fleet.EndpointListLease, f.list)
		f.prober = agent.NewProber(t.Pace.LeaseDuration, s.Limits.DialTimeout)
		f.prober.Pools, f.prober.Post = ways, func(e front.Event) { f.post(e) }
		f.prober.Now = f.host.Clock
		f.prober.RequestProbe = func(to, member string) {
			f.host.Do(func(n *fleet.Node, now time.Duration) { n.SendDatagram(now, to, "scout", []byte(member)) })
		}
		f.prober.After = func(d time.Duration, call func()) { f.host.After(d, func(time.Duration) { call() }) }
		f.prober.DeclareLease = func(lease string) { f.host.Node.DeclareLease(lease, 0) }
		f.prober.Broadcast = func(lease string, data []byte) (ok bool) {
			f.host.Do(func(n *fleet.Node, now time.Duration) { ok = n.Broadcast(now, lease, data) })
			return ok
		}
		ways = f.prober
	}
	born := time.UnixMilli(t.wall(t.Now)).Add(-f.host.Clock())
	f.Core = front.NewCore(front.Options{StartedAt: born, Seed: t.Rnd.Uint64(), Settings: s,
		NewRouter: router.New, Pools: ways, Endpoints: f.dir})
	if t.O.Right > 0 && f.host.Node != nil {
		f.participate(s)
	}
	f.seen(front.EndpointsChanged{Kind: routing.CachedSnapshot, List: t.whole()})
	if !t.O.Ask {
		f.dir.follows = true
		f.dir.open()
	}
	f.ask()
	if f.host.Node != nil {
		f.host.After(0, f.leans)
	}
}

// seen posts what the scouts see on its way.
func (f *Front) seen(e front.Event) {
	if f.host.Node != nil {
		f.prober.OnFrontEvent(e)
	} else {
		f.post(e)
	}
}

// post brings the core an event, and lets it work.
func (f *Front) post(e front.Event) {
	f.Core.Post(e)
	f.step()
}

func (f *Front) step() {
	if f.inward { // a wish of this very step: it is taken behind it
		f.host.After(0, func(time.Duration) { f.step() })
		return
	}
	f.inward = true
	now := f.host.Clock()
	next, ok := f.Core.Step(now)
	f.inward = false
	if ok && (f.due < now || next < f.due) {
		f.due = max(next, now)
		turn := f.due
		f.host.After(min(max(0, next-now), time.Hour), func(at time.Duration) {
			if f.due == turn {
				f.due = -1
			}
			f.step()
		})
	}
}

// told takes what the fleet's node tells, as fleet/agent does.
func (f *Front) told(e fleet.Event) {
	f.prober.OnFleetEvent(e, f.Name)
	if f.Participant != nil {
		f.Participant.OnEvent(f.host.Clock(), e)
	}
	switch e := e.(type) {
	case fleet.LeaseAcquired:
		if e.Lease == fleet.EndpointListLease {
			f.dir.holds = true
			f.dir.followAll()
		}
	case fleet.LeaseEnded:
		if e.Lease == fleet.EndpointListLease && f.dir.holds {
			f.dir.holds = false
			f.t.Lists.Open--
		}
	case fleet.DatagramReceived:
		if e.Subsystem != "scout" {
			break
		}
		f.prober.OnProbeRequest(string(e.Data))
	case fleet.BroadcastReceived:
		switch {
		case e.Lease == fleet.EndpointListLease:
			f.dir.heard = f.host.Clock()
			f.dir.lean(e.Data)
		case fleet.LeaseKind(e.Lease) == "scout" && e.From != f.Name:
			f.prober.OnProbeResult(e.Term, e.Data)
		}
	}
}

func (f *Front) leans(now time.Duration) {
	if f.dir.leaning && now-f.dir.heard > 6*time.Second {
		f.dir.leaning = false
		f.dir.open()
	}
	f.host.After(f.t.Pace.LeaseDuration/6, f.leans)
}

// directory is a front's way to the list's service: its own watch or calls, or the fleet's. It is a front.Directory.
type directory struct {
	f       *Front
	follows bool // the service tells unasked
	watches bool
	opened  bool // a watch of its own
	leaning bool
	holds   bool // the duty
	heard   time.Duration
}

func (d *directory) open() {
	if d.opened || !(d.follows || d.watches) || d.leaning {
		return
	}
	d.opened = true
	d.f.t.Lists.Open++
	d.call(func(l discovery.List) { d.f.seen(front.EndpointsChanged{Kind: routing.Snapshot, List: l}) })
}

func (d *directory) shut() {
	if d.opened {
		d.opened = false
		d.f.t.Lists.Open--
	}
}

// call asks the service for the whole list.
func (d *directory) call(then func(discovery.List)) {
	t := d.f.t
	t.Lists.Calls++
	if t.Lists.Away {
		d.f.host.After(t.way(), func(time.Duration) { d.f.seen(front.EndpointsChanged{Kind: routing.UpdateFailed}) })
		return
	}
	d.f.host.After(2*t.way(), func(time.Duration) { then(t.whole()) })
}

func (d *directory) Watch(on bool) {
	d.watches = on
	switch {
	case on && d.leaning:
		d.f.host.After(0, func(time.Duration) { d.f.seen(front.EndpointsChanged{Kind: routing.Snapshot, List: d.f.list.List()}) })
	case on:
		d.open()
	case !d.follows:
		d.shut()
	}
}

func (d *directory) Fetch() {
	if d.leaning {
		d.f.host.After(0, func(time.Duration) { d.f.seen(front.EndpointsChanged{Kind: routing.Snapshot, List: d.f.list.List()}) })
		return
	}
	d.call(func(l discovery.List) { d.f.seen(front.EndpointsChanged{Kind: routing.Snapshot, List: l}) })
}

// followAll is the duty's work: a watch for all, and the service's beat handed on.
func (d *directory) followAll() {
	f := d.f
	f.t.Lists.Open++
	d.call(func(l discovery.List) {
		f.host.Do(func(n *fleet.Node, now time.Duration) {
			if act, err := f.list.EncodeUpdate(l, 0); err == nil {
				n.ReportProgress(fleet.EndpointListLease)
				n.Broadcast(now, fleet.EndpointListLease, act)
			}
		})
	})
	var beat func(now time.Duration)
	beat = func(now time.Duration) {
		if !d.holds {
			return
		}
		f.host.Do(func(n *fleet.Node, now time.Duration) {
			if f.list.Known() && !f.t.Lists.Away {
				n.ReportProgress(fleet.EndpointListLease)
				n.Broadcast(now, fleet.EndpointListLease, f.list.EncodeHeartbeat())
			}
		})
		f.host.After(2*time.Second, beat)
	}
	f.host.After(2*time.Second, beat)
}

func (d *directory) lean(data []byte) {
	if d.leaning {
		_, changed := fleet.DecodeEndpointUpdate(data)
		if changed {
			d.f.seen(front.EndpointsChanged{Kind: routing.Snapshot, List: d.f.list.List()})
		}
		return
	}
	d.leaning = true
	d.shut()
	if d.follows || d.watches {
		d.f.seen(front.EndpointsChanged{Kind: routing.Snapshot, List: d.f.list.List()})
	}
}

// ask lets clients ask, at random moments.
func (f *Front) ask() {
	t := f.t
	if t.O.Rate <= 0 {
		return
	}
	f.host.After(time.Duration(t.Rnd.ExpFloat64()/t.O.Rate*float64(time.Second)), func(now time.Duration) {
		f.Ask(int64(t.Rnd.IntN(t.O.Groups)), t.Rnd.Float64() < t.O.Writes)
		f.ask()
	})
}

// Ask brings one request for a group.
func (f *Front) Ask(group int64, write bool) *Request {
	t := f.t
	t.ids++
	x := &Request{ID: fmt.Sprint("t", t.ids), Front: f.Name, At: t.Now, Type: Browse, Write: write}
	wait := t.O.Deadline.Milliseconds()
	if f.Spoils != nil && t.Rnd.Float64() < f.Spoils(f.Core.ConfigVersion()) {
		wait = 1
	}
	sql := fmt.Sprintf("SELECT 'x' /* id=%s,c=%s,d=%d,cluster=%d */", x.ID, Browse, wait, group)
	if write {
		x.Type = Book
		sql = fmt.Sprintf("INSERT INTO bookings (id) VALUES ('%s') /* id=%s,c=%s,k=m%s,d=%d,cluster=%d */", x.ID, x.ID, Book, x.ID, wait, group)
	}
	s, err := pgwire.ParseStatement([]byte(sql + "\x00"))
	if err != nil {
		panic(err) // of our own making
	}
	if !t.O.Unwatched {
		t.Requests = append(t.Requests, x)
	}
	f.Asked[x.Type]++
	f.post(front.NewRequest(&client{f, x}, s, f.host.Clock()))
	return x
}

type client struct {
	f *Front
	x *Request
}

func (c *client) Respond(f front.Response) {
	c.x.Answers++
	c.x.Word, c.x.Ended = f.Status, c.f.t.Now
	if f.Status == front.StatusSucceeded {
		c.f.Served[c.x.Type]++
	}
}

// Probes are all that members were asked.
func (t *Town) Probes() (n int) {
	for _, m := range t.Members {
		n += m.Probes
	}
	return n
}
