// Package proxysim runs whole fronts in virtual time: front.Core with the router, the fleet's node, the prober and the endpoint list of
// the fleet, against modelled servers and a modelled endpoint service. Only links, servers, the endpoint service and what package main
// wires together are modelled; all else is the code that runs in service.
//
// One seed gives one run: everything random is drawn from the simulation's Rand, on one goroutine. A Cluster owns its fronts, servers,
// clients and the endpoint service. It checks the invariants of configuration versions at each tick of a front and of requests at the
// end (see Cluster.AwaitRecovery). For tests and measurements only.
package proxysim

import (
	"fmt"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
	"dapplerouter/lab/fleetsim"
	"dapplerouter/routing"
)

// Options are the size and the settings of a simulated cluster.
type Options struct {
	Seed          uint64
	Fronts        int
	Voters        int
	Fleet         bool // the fronts form a fleet; otherwise each is on its own
	LeaseDuration time.Duration
	Servers       ServerOptions
	Load          LoadOptions
	Rollout       RolloutOptions

	PullEndpoints   bool // the endpoint service answers polls and sends no watch events
	DiscardRequests bool // Cluster.Requests stays empty
	SparseChecks    bool // for measurements of many fronts: not all fronts are checked at each one's tick
}

// ServerOptions are the groups of modelled servers.
type ServerOptions struct {
	Groups      int
	PerGroup    int           // servers of a group; the first is the primary
	Concurrency int           // of a server
	ServiceTime time.Duration // mean
}

// LoadOptions are the requests that clients send.
type LoadOptions struct {
	Rate             float64 // requests a second to each front
	WriteFraction    float64
	Deadline         time.Duration // 0 for 2 s, with an objective of 250 ms
	LatencyObjective time.Duration
}

// RolloutOptions are the settings of configuration versions.
type RolloutOptions struct {
	ConfigLease      time.Duration // 0: no versions are published
	StopWhenIsolated bool          // an isolated front stops at the end of its configuration lease
	InForceWithin    time.Duration // by which a published version has to be in force; 0 for no limit
}

// Cluster is fronts, servers, clients and the endpoint service in one simulation.
type Cluster struct {
	*fleetsim.Simulation
	Options         Options
	Fronts          []*Front
	Servers         []*Server
	EndpointService EndpointService
	Requests        []*Request
	RolloutChanges  []RolloutChange // in the order of the fleet's log

	serversByName map[string]*Server
	frontsByHost  map[*fleetsim.Host]*Front
	requestCount  int
	rolloutChecks
}

// EndpointService is the modelled service that fronts have their endpoint list from.
type EndpointService struct {
	Index       int64 // of the list
	Unavailable bool
	Calls       int
	OpenWatches int
}

// epochMillis is the Unix time at which the simulation begins.
const epochMillis = 1_800_000_000_000

func (c *Cluster) wallMillis(at time.Duration) int64 { return epochMillis + at.Milliseconds() }

// networkDelay draws the delay of one message to or from a server or the endpoint service.
func (c *Cluster) networkDelay() time.Duration {
	return c.Delay + time.Duration(c.Rand.Int64N(int64(c.Delay)))
}

var zoneNames = []string{"a", "b", "c"}

// New makes a cluster whose fronts are all down; StartAll starts them.
func New(o Options) *Cluster {
	if o.Load.Deadline == 0 {
		o.Load.Deadline, o.Load.LatencyObjective = 2*time.Second, 250*time.Millisecond
	}
	c := &Cluster{
		Simulation: fleetsim.New(fleetsim.Options{
			Seed:   o.Seed,
			Fronts: o.Fronts,
			Voters: o.Voters,
			Timing: fleet.Timing{LeaseDuration: o.LeaseDuration},
			Leases: map[string]time.Duration{fleet.EndpointListLease: 2 * o.LeaseDuration},
		}),
		Options:         o,
		EndpointService: EndpointService{Index: 10},
		serversByName:   map[string]*Server{},
		frontsByHost:    map[*fleetsim.Host]*Front{},
		rolloutChecks:   rolloutChecks{outcomes: map[uint64]string{}},
	}
	for group := range o.Servers.Groups {
		for i := range o.Servers.PerGroup {
			s := newServer(c, group, i)
			c.Servers = append(c.Servers, s)
			c.serversByName[s.Name] = s
		}
	}
	for i, h := range c.Hosts {
		h.WithoutFleet, h.ConfigLease = !o.Fleet, o.Rollout.ConfigLease
		f := &Front{Name: h.Name, cluster: c, host: h, ordinal: i, Received: map[string]int{}, Succeeded: map[string]int{}}
		c.Fronts, c.frontsByHost[h] = append(c.Fronts, f), f
	}
	c.OnStart = func(h *fleetsim.Host) { c.frontsByHost[h].start() }
	c.OnEvent = func(h *fleetsim.Host, e fleet.Event) { c.frontsByHost[h].onFleetEvent(e) }
	return c
}

// deploymentSettings are the settings of the front of an ordinal.
func (c *Cluster) deploymentSettings(ordinal int) *deployment.Settings {
	return &deployment.Settings{
		TypeNames:    []string{Browse, Book},
		ZoneNames:    zoneNames,
		RequestTypes: c.requestTypes(),
		Topology: routing.Topology{
			Zone:          ordinal % len(zoneNames),
			ZoneCount:     len(zoneNames),
			FleetSize:     len(c.Hosts),
			Ordinal:       ordinal,
			PullEndpoints: c.Options.PullEndpoints,
			RoleListing:   routing.RolesDelayed,
			TickInterval:  5 * time.Millisecond,
		},
		Replication: routing.Replication{StalenessCheck: routing.RejectIfStale, PositionInResponses: true},
		Guardrails: routing.Guardrails{
			AnswerSlack:       20 * time.Millisecond,
			DrainGrace:        2 * time.Second,
			InitialCapacity:   1,
			OverloadMultiple:  1,
			MaxPollInterval:   2 * time.Second,
			SlowStartDuration: time.Second,
			OverloadWindow:    2 * time.Second,
		},
		Limits: routing.Limits{
			MaxAttempts:     10,
			HealthChecks:    true,
			Cancellation:    true,
			MaxRetryAfter:   time.Second,
			DialTimeout:     500 * time.Millisecond,
			IdleConnTimeout: 30 * time.Second,
		},
	}
}

// requestTypes are a type of reads and one of writes.
func (c *Cluster) requestTypes() []routing.RequestType {
	load := c.Options.Load
	return []routing.RequestType{
		{
			LatencyObjective: load.LatencyObjective,
			Deadline:         load.Deadline,
			PriorityWeight:   1,
			Idempotency:      routing.Idempotent,
			DedupScope:       routing.ScopeAll,
			Consistency:      routing.Eventual,
		},
		{
			LatencyObjective: load.LatencyObjective,
			Deadline:         load.Deadline,
			PriorityWeight:   5,
			Idempotency:      routing.IdempotencyKey,
			DedupScope:       routing.ScopeGroup,
			DedupWindow:      dedupWindow,
			Consistency:      routing.Write,
		},
	}
}

// endpointList returns the endpoint service's complete list.
func (c *Cluster) endpointList() discovery.List {
	l := discovery.List{Index: c.EndpointService.Index, Snapshot: true}
	for _, s := range c.Servers {
		l.Endpoints = append(l.Endpoints, s.endpoint())
	}
	return l
}

// Probes returns the number of probes that all servers received.
func (c *Cluster) Probes() (n int) {
	for _, s := range c.Servers {
		n += s.Probes
	}
	return n
}

// front returns the front of a name.
func (c *Cluster) front(name string) *Front {
	h := c.Host(name)
	if h == nil {
		panic(fmt.Sprintf("proxysim: no front %q", name))
	}
	return c.frontsByHost[h]
}

// RolloutChange is a state of the rollout in the fleet's replicated state, and when a front first had it.
type RolloutChange struct {
	At    time.Duration
	Index uint64
	rollout.State
}
