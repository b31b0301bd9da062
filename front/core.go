// Package front implements the core of a front. The core delivers events from the network (client connections, server pools, the
// endpoint watch) to the router, which makes all routing decisions, and carries these decisions out.
//
// The core does no I/O. Events arrive through Post. Its outgoing calls (Pools, Client, EndpointSource, Auditor) never block. The
// goroutine that calls Run or Step owns the router and all state of the core:
//
//	requests  the accepted requests, their ids and their attempts (requests.go, request.go, attempt.go)
//	servers   the endpoint list that the router has (servers.go, endpoints.go)
//	timers    timers of the router, of attempts and of leases (timers.go)
//	versions  configuration versions and their leases (versions.go, lease.go)
//	metrics   counters for the log (metrics.go)
//
// Invariants: An accepted request gets exactly one response, unless its client has disconnected. The router is notified exactly once of
// the result of every attempt that it started, after the attempt was completed or aborted. No attempt begins to be sent for a request
// whose client has disconnected or whose configuration lease has expired, and no attempt is started for a finished request.
package front

import (
	"time"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/routing"
)

// RouterFactory creates the Router of an instance. The router calls h to carry out its decisions.
type RouterFactory func(h routing.Host, o routing.Options) routing.Router

// Event is an input of the core, delivered by Post. Each event type is declared next to the code that handles it. The core's goroutine
// calls apply, with the start time of the batch.
type Event interface {
	apply(c *Core, now time.Duration)
}

// Pools sends attempts to servers over pooled connections. Servers are given by the index that the router uses for them. The result of
// each attempt passed to Send arrives as an AttemptFinished event, unless the core has ended the attempt. Remove closes the connections
// to a server. The methods do not block.
type Pools interface {
	SetAddress(server int, address string, uptime time.Duration) // uptime is the time since the server's last start
	Send(server int, a *Attempt)
	Remove(server int)
}

// EndpointSource obtains the endpoint list, by subscription or by polling. Watch turns the subscription on or off, and Fetch requests the
// whole list. Results arrive as EndpointsChanged events. The methods do not block.
type EndpointSource interface {
	Watch(on bool)
	Fetch()
}

// Clock gives the time since the start of the instance and has a single timer. SetTimer replaces the time at which the timer fires.
// WallOffset returns by how much the machine's wall clock was stepped since that start.
type Clock interface {
	Now() time.Duration
	WallOffset() time.Duration
	SetTimer(at time.Duration)
	TimerC() <-chan time.Time
}

// Options configure a Core.
type Options struct {
	StartedAt  time.Time // wall-clock time at 0 of the core's clock
	Seed       uint64    // random seed of the router
	Settings   *deployment.Settings
	NewRouter  RouterFactory
	Pools      Pools
	Endpoints  EndpointSource
	Classifier *Classifier // nil if clients only send the fixed statement forms that pgwire.ParseStatement accepts
}

// Core dispatches events to the router and executes the router's decisions. It implements routing.Host.
type Core struct {
	router    routing.Router
	pools     Pools
	endpoints EndpointSource
	fleet     FleetOptions
	clock     func() time.Duration // checked by attempts before they send; nil if the host calls Step instead of Run

	queue eventQueue
	now   time.Duration // start time of the current batch

	catalog    catalog
	requests   requests
	servers    servers
	timers     timers
	versions   versions
	wall       wallClock
	classifier *classifier // nil if statements are not classified
	metrics    metrics
}

// NewCore creates a Core. The rules of the classifier must have passed ValidateClassification.
func NewCore(o Options) *Core {
	s := o.Settings
	c := &Core{pools: o.Pools, endpoints: o.Endpoints, queue: newEventQueue(), wall: wallClock{epoch: o.StartedAt.Round(0)},
		catalog: newCatalog(s), requests: newRequests(), servers: newServers(s.DeploymentRules)}
	if o.Classifier != nil {
		c.classifier = newClassifier(o.Classifier, &c.catalog)
	}
	c.versions.current = &configVersion{types: c.catalog.types}
	c.router = o.NewRouter(c, routing.Options{Seed: o.Seed, Topology: s.Topology, RequestTypes: c.catalog.types, Customers: s.CustomerQuotas,
		Replication: s.Replication, DeploymentRules: s.DeploymentRules, Limits: s.Limits, CostWeights: s.CostWeights})
	return c
}

// SetStaticEndpoints sets endpoints that are added to every snapshot of the endpoint list. It must be called before Run.
func (c *Core) SetStaticEndpoints(endpoints []discovery.Endpoint) { c.servers.static = endpoints }

// Post queues an event for the core. It blocks while the queue is full.
func (c *Core) Post(e Event) { c.queue.incoming <- e }

// Step handles the posted events and the timers due at now, a time on the host's own clock, and returns. next is the latest time at which
// the host must call Step again; ok is false if no timer is set, so that only a posted event requires another call. Step is for hosts
// with their own clock, such as simulations. In production, Run does the same.
func (c *Core) Step(now time.Duration) (next time.Duration, ok bool) {
	c.batch(now)
	return c.nextDue()
}

// Run handles events and timers until stop is closed. It does not finish the requests that are unfinished by then; see Shutdown.
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
		now := clock.Now()
		c.wall.observeOwnClock(clock.WallOffset(), now)
		c.batch(now)
		c.metrics.batchDone(clock.Now() - c.now)
	}
}

// nextDue returns the latest time at which the next batch must run; it reports false if no timer is set.
func (c *Core) nextDue() (time.Duration, bool) {
	if len(c.queue.next) > 0 {
		return c.now, true
	}
	return c.timers.next()
}

// batch handles the available events in order of arrival, then the due timers, and finally calls the router's Reconcile once.
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

// fire performs the action of a due timer: it calls the router's TimerFired, times an attempt out at its deadline, ends an unsent attempt
// at the end of the deduplication window, or finishes the requests under configuration leases that have expired.
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
	eventQueueLength = 4096 // capacity of the queue in events; Post blocks while it is full
	maxBatch         = 1024 // events taken from the queue per batch, so that a burst of events does not delay timers for long
)

// eventQueue holds the events that have not been handled yet.
type eventQueue struct {
	incoming chan Event
	next     []Event // added by the core itself or received by Run; the next batch handles them first
}

func newEventQueue() eventQueue { return eventQueue{incoming: make(chan Event, eventQueueLength)} }

// takeNext removes and returns the events that a batch handles first.
func (q *eventQueue) takeNext() []Event {
	first := q.next
	q.next = nil
	return first
}

// poll removes and returns the oldest posted event without blocking; it reports false if there is none.
func (q *eventQueue) poll() (Event, bool) {
	select {
	case e := <-q.incoming:
		return e, true
	default:
		return nil, false
	}
}
