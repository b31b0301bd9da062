// Package front is the core of a front: it carries events between the network (client connections, server pools, the endpoint watch)
// and the router, which makes all decisions.
//
// The core does no I/O. Events come in through Post; everything that goes out does so by calls that never block (Pools, Client,
// EndpointSource, Auditor). One goroutine, that of Run or the caller of Step, owns the router and all state of the core:
//
//	requests  the requests that are not finished, their ids and their attempts (requests.go, request.go, attempt.go)
//	servers   the endpoint list as the router was given it (servers.go, endpoints.go)
//	timers    what falls due, for the router, for attempts and for leases (timers.go)
//	versions  configuration versions and the leases to act on them (versions.go, lease.go)
//	metrics   counts for the log (metrics.go)
//
// Invariants: an accepted request gets exactly one response, unless its client has gone. The router is notified of the result of every
// attempt that it started exactly once; by then the attempt is complete or cut off. No attempt begins for a request whose client has
// gone or whose configuration lease has expired, and none is started for one that is finished.
package front

import (
	"time"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/routing"
)

// RouterFactory makes the Router of an instance.
type RouterFactory func(h routing.Host, o routing.Options) routing.Router

// Event is something that happened outside the core; Post brings it in. The types are declared next to the code that handles them.
type Event interface {
	apply(c *Core, now time.Duration)
}

// Pools carries attempts to servers. No call blocks.
type Pools interface {
	SetAddress(server int, address string, age time.Duration) // age is the time since the server's last start
	Send(server int, a *Attempt)
	Remove(server int)
}

// EndpointSource is asked for the endpoint list where it has to be polled or subscribed to. No call blocks.
type EndpointSource interface {
	Watch(on bool)
	Fetch()
}

// Clock is the time since the start of the instance, with one timer that each SetTimer sets anew.
type Clock interface {
	Now() time.Duration
	SetTimer(at time.Duration)
	TimerC() <-chan time.Time
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

// Core owns the router. See the package comment for its parts.
type Core struct {
	router    routing.Router
	pools     Pools
	endpoints EndpointSource
	fleet     FleetOptions
	clock     func() time.Duration // for attempts; nil where the host steps the core

	queue eventQueue
	now   time.Duration // of the current batch

	catalog    catalog
	requests   requests
	servers    servers
	timers     timers
	versions   versions
	wall       wallClock
	classifier *classifier // nil where statements are not classified
	metrics    metrics
}

// NewCore makes a Core. The rules of the classifier must have passed ValidateClassification.
func NewCore(o Options) *Core {
	s := o.Settings
	c := &Core{pools: o.Pools, endpoints: o.Endpoints, queue: newEventQueue(), wall: wallClock{epoch: o.StartedAt.Round(0)},
		catalog: newCatalog(s), requests: newRequests(), servers: newServers()}
	if o.Classifier != nil {
		c.classifier = newClassifier(o.Classifier, &c.catalog)
	}
	c.versions.current = &configVersion{types: c.catalog.types}
	c.router = o.NewRouter(c, routing.Options{Seed: o.Seed, Topology: s.Topology, RequestTypes: c.catalog.types, Customers: s.CustomerQuotas,
		Replication: s.Replication, Guardrails: s.Guardrails, Limits: s.Limits, CostWeights: s.CostWeights})
	return c
}

// SetStaticEndpoints sets endpoints that every snapshot of the list has beside its own. It is called before Run.
func (c *Core) SetStaticEndpoints(endpoints []discovery.Endpoint) { c.servers.static = endpoints }

// Post brings an event in; it blocks while too many wait.
func (c *Core) Post(e Event) { c.queue.incoming <- e }

// Step handles what was posted and what has fallen due, and returns when something falls due next. It is for a host with a clock of
// its own, as in simulations; in service Run does the same.
func (c *Core) Step(now time.Duration) (next time.Duration, ok bool) {
	c.batch(now)
	return c.nextDue()
}

// Run serves until stop is closed.
func (c *Core) Run(clock Clock, stop <-chan struct{}) {
	c.clock = clock.Now
	for {
		if at, ok := c.nextDue(); ok {
			clock.SetTimer(at)
		}
		select {
		case e := <-c.queue.incoming:
			c.queue.next = append(c.queue.next, e)
		case <-clock.TimerC():
		case <-stop:
			return
		}
		c.batch(clock.Now())
		c.metrics.batchDone(clock.Now() - c.now)
	}
}

// nextDue returns when the next batch is due at the latest.
func (c *Core) nextDue() (time.Duration, bool) {
	if len(c.queue.next) > 0 {
		return c.now, true
	}
	return c.timers.next()
}

// batch handles all events at hand in the order of arrival, then what has fallen due, and lets the router reconcile once.
func (c *Core) batch(now time.Duration) {
	c.now = now
	c.expireLeases(now)
	for _, e := range c.queue.takeNext() {
		e.apply(c, now)
	}
	for range maxBatch {
		e, ok := c.queue.poll()
		if !ok {
			break
		}
		e.apply(c, now)
	}
	for {
		t, ok := c.timers.popDue(now)
		if !ok {
			break
		}
		c.metrics.timerFired(now - t.at)
		c.fire(t)
	}
	c.router.Reconcile(now)
}

// fire acts on a timer that has fallen due.
func (c *Core) fire(t timer) {
	switch t.kind {
	case timerRouter:
		c.router.TimerFired(c.now)
	case timerAttemptTimeout:
		c.timeOut(t.attempt)
	case timerSendDeadline:
		c.cancelUnsent(t.attempt)
	case timerLeaseExpiry:
		c.expireLeases(c.now)
	}
}

const (
	eventQueueLength = 4096 // events that may wait; who posts more waits
	maxBatch         = 1024 // events in a batch, so that a flood delays no timer for long
)

// eventQueue holds the events that are not handled yet.
type eventQueue struct {
	incoming chan Event
	next     []Event // came of the current batch, by the core itself or by Run; the next batch begins with them
}

func newEventQueue() eventQueue { return eventQueue{incoming: make(chan Event, eventQueueLength)} }

// takeNext returns the events with which a batch begins.
func (q *eventQueue) takeNext() []Event {
	first := q.next
	q.next = nil
	return first
}

// poll returns an event that has been posted, if there is one.
func (q *eventQueue) poll() (Event, bool) {
	select {
	case e := <-q.incoming:
		return e, true
	default:
		return nil, false
	}
}
