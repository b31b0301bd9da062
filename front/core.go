// Package front is the core between the sockets and the module. It does no I/O: events come in by a
// channel, wishes go out by calls that never block. One goroutine owns the module and every table here.
//
// A request passes stages, a file each: take in, admit, route, send, relay, metrics. None of them decides.
package front

import (
	"container/heap"
	"log/slog"
	"slices"
	"strings"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/routing"
)

// RouterFactory makes the Router of an instance.
type RouterFactory func(h routing.Host, o routing.Options) routing.Router

// Event is something that came in; the types stand with the stages that take them.
type Event interface {
	apply(c *Core, now time.Duration)
}

// Pools carries attempts to members. No call blocks.
type Pools interface {
	SetAddress(member int, address string, age time.Duration) // since its last start
	Send(member int, s *Attempt)
	Remove(member int)
}

// EndpointSource is asked for the list where it answers only when asked. No call blocks.
type EndpointSource interface {
	Watch(on bool)
	Fetch()
}

// Clock is the time since the start, and an alarm that is set anew each time.
type Clock interface {
	Now() time.Duration
	SetTimer(at time.Duration)
	TimerC() <-chan time.Time
}

const (
	eventQueueLength = 4096 // events that may wait; those who bring more wait themselves
	maxBatch         = 1024 // events in a batch, so that a flood delays no alarm for long
)

// Core owns the module.
type Core struct {
	router         routing.Router
	pools          Pools
	endpointSource EndpointSource
	events         chan Event
	now            time.Duration // of the batch in hand
	wallClock
	places  []serverAddress      // by member
	serving []bool               // by member: the list lets new work go there
	clock   func() time.Duration // nil where a host steps the core

	types      []routing.RequestType
	most       int           // attempts a request
	patience   time.Duration // for a probe
	typeIDs    *Index[string]
	customers  *Index[string]
	zones      *Index[string]
	kinds      *Index[string]
	members    *Index[string]
	groups     *Index[int64]
	slab       RequestTable[*Request]
	ids        map[string]struct{} // of the requests in hand
	alarms     timerHeap
	pending    []Event // came of the batch in hand; they open the next one
	metrics    metrics
	far        map[int]bool         // members that stand for another site
	turns      map[int]uint32       // by member: how often its place was given back
	standing   []discovery.Endpoint // members that no list tells of
	classes    *classifier          // nil where statements are not classed
	fleet      FleetOptions
	terms      *configVersion   // in force
	past       []*configVersion // of which requests are in hand still
	unanswered int              // requests in hand without their final answer
	older      int              // of these, on another version than the newest
	alone      func()           // hears when there are none
	lapsed     bool             // the right has run out, and what was in hand is ended
	shut       bool             // no request is taken any more
	comeBack   time.Duration
	entries    []routing.Endpoint
}

// Options are what a Core is made with.
type Options struct {
	StartedAt  time.Time // the wall clock's time at 0 of the core's clock
	Seed       uint64    // of the router
	Settings   *deployment.Settings
	NewRouter  RouterFactory
	Pools      Pools
	Endpoints  EndpointSource
	Classifier *Classifier // nil where statements are in the one form of the clients' protocol
}

// NewCore makes a Core. The rules of the classifier must have passed ValidateClassification.
func NewCore(o Options) *Core {
	s, classing := o.Settings, o.Classifier
	c := &Core{pools: o.Pools, endpointSource: o.Endpoints, events: make(chan Event, eventQueueLength), wallClock: wallClock{epoch: o.StartedAt.Round(0)}, types: s.RequestTypes,
		most: s.Limits.MaxAttempts, patience: s.Limits.DialTimeout,
		typeIDs: NewIndex(s.TypeNames...), customers: NewIndex(s.CustomerNames...), zones: NewIndex(s.ZoneNames...),
		kinds: NewIndex[string](), members: NewIndex[string](), groups: NewIndex[int64](), ids: map[string]struct{}{}, far: map[int]bool{}, turns: map[int]uint32{}}
	if classing != nil {
		c.classes = &classifier{statements: classing.Classifier}
		for _, r := range classing.Rules() {
			c.classes.ruleTypes = append(c.classes.ruleTypes, c.typeIDs.Intern(r.Type)) // checked before: CheckClassing
		}
		c.types = c.classes.addWriteTypes(c.types, classing.UndeclaredWriteEffect)
	}
	c.comeBack = s.Limits.MaxRetryAfter
	c.terms = &configVersion{types: c.types}
	c.router = o.NewRouter(c, routing.Options{Seed: o.Seed, Topology: s.Topology, RequestTypes: c.types, Customers: s.CustomerQuotas,
		Replication: s.Replication, Guardrails: s.Guardrails, Limits: s.Limits, CostWeights: s.CostWeights})
	return c
}

// RemoteSitePrefix begins the address of a member that stands for another site's part of a group.
const RemoteSitePrefix = "site:"

// SetStaticEndpoints adds members that every whole list has beside its own. It is called before Run.
func (c *Core) SetStaticEndpoints(entries []discovery.Endpoint) { c.standing = entries }

// Post brings an event; it blocks while too many wait.
func (c *Core) Post(e Event) { c.events <- e }

// Step takes what was posted and what has fallen due, and says when something falls due next. It is for a host that has a
// clock of its own, as the laboratory's; in service Run does the same.
func (c *Core) Step(now time.Duration) (next time.Duration, ok bool) {
	c.batch(now)
	return c.next()
}

// Run serves until stop is closed.
func (c *Core) Run(clock Clock, stop <-chan struct{}) {
	c.clock = clock.Now
	for {
		if at, ok := c.next(); ok {
			clock.SetTimer(at)
		}
		select {
		case e := <-c.events:
			c.pending = append(c.pending, e)
		case <-clock.TimerC():
		case <-stop:
			return
		}
		c.batch(clock.Now())
		c.metrics.batchDone(clock.Now() - c.now)
	}
}

// next says when something falls due.
func (c *Core) next() (time.Duration, bool) {
	if len(c.pending) > 0 {
		return c.now, true
	}
	if len(c.alarms) > 0 {
		return c.alarms[0].at, true
	}
	return 0, false
}

// batch takes all at hand in the order of arrival, then what has fallen due, then settles.
func (c *Core) batch(now time.Duration) {
	c.now = now
	c.expireLeases(now)
	first := c.pending
	c.pending = nil
	for _, e := range first {
		e.apply(c, now)
	}
	for n := 0; n < maxBatch; n++ {
		select {
		case e := <-c.events:
			e.apply(c, now)
			continue
		default:
		}
		break
	}
	for len(c.alarms) > 0 && c.alarms[0].at <= now {
		a := heap.Pop(&c.alarms).(timer)
		c.metrics.timerFired(now - a.at)
		switch {
		case a.leaseExpiry:
			c.expireLeases(now)
		case a.attempt == nil:
			c.router.TimerFired(now)
		case a.onlyIfUnsent:
			c.cancelUnsent(a.attempt)
		default:
			c.expire(a.attempt)
		}
	}
	c.router.Reconcile(now)
}

// timer falls due for an attempt, or without one for the module.
type timer struct {
	at           time.Duration
	attempt      *Attempt
	leaseExpiry  bool // the core's own right may have run out
	onlyIfUnsent bool // it matters only where nothing of the attempt went out
}

type timerHeap []timer

func (a timerHeap) Len() int           { return len(a) }
func (a timerHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a timerHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *timerHeap) Push(x any)        { *a = append(*a, x.(timer)) }
func (a *timerHeap) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*a = old[:len(old)-1]
	return x
}

// EndpointsChanged brings what the list says; Failed and Cached lists too.
type EndpointsChanged struct {
	Kind routing.UpdateKind
	List discovery.List
}

func (l EndpointsChanged) apply(c *Core, now time.Duration) {
	c.entries = c.entries[:0]
	all := l.List.Endpoints
	if l.Kind == routing.Snapshot || l.Kind == routing.CachedSnapshot {
		all = slices.Concat(all, c.standing)
	}
	if l.Kind == routing.Snapshot || l.Kind == routing.CachedSnapshot {
		clear(c.serving)
	}
	for _, e := range all { // a start lies in the past
		c.clockCorrected(c.wallClock.observePast(e.StartedAtMillis, now))
	}
	for _, e := range all {
		zone, ok := c.zones.Lookup(e.Zone)
		if !ok {
			slog.Warn("an entry is passed over: its zone is none of the site's", "member", e.Name, "zone", e.Zone)
			continue
		}
		m := c.members.Intern(e.Name)
		if strings.HasPrefix(e.Address, RemoteSitePrefix) {
			c.far[m] = true
		} else {
			delete(c.far, m) // the place may have been another's
		}
		if e.Address != "" {
			c.setAddress(m, serverAddress{e.Address, e.StartedAtMillis})
		}
		c.setServing(m, e.State == routing.Serving)
		c.entries = append(c.entries, routing.Endpoint{Server: m, Zone: zone, Kind: c.kinds.Intern(e.ServerType),
			Group: c.groups.Intern(e.Group), State: e.State, Weight: e.Weight, Primary: e.Primary,
			StartedAt: c.fromUnix(e.StartedAtMillis), HasStartTime: e.StartedAtMillis != 0})
		if l.Kind == routing.Delta {
			for i := range c.standing { // as the next whole list will have it
				if c.standing[i].Name == e.Name {
					c.standing[i] = e
				}
			}
			slog.Info("listed", "member", e.Name, "state", e.State, "primary", e.Primary,
				"index", l.List.Index)
		}
	}
	if l.Kind == routing.Snapshot {
		slog.Info("listed whole", "members", len(c.entries), "index", l.List.Index)
	}
	if c.fleet.Auditor != nil && l.Kind != routing.UpdateFailed {
		c.fleet.Auditor.EndpointsChanged(now, l.List.Index)
	}
	c.router.EndpointsChanged(now, l.Kind, l.List.Index, c.entries)
	if l.Kind != routing.UpdateFailed {
		c.cancelUnsentToDraining()
	}
}
