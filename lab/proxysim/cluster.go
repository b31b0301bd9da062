// Package proxysim is a deterministic simulator of whole fronts in virtual time. A front consists of front.Core with the router, the
// fleet's node, the prober and the fleet's endpoint list. The fronts run against modelled servers and a modelled endpoint service.
// Only the links, the servers, the endpoint service and the wiring of package main are modelled. All other code is the code that runs
// in production.
//
// The same seed gives the same run: every random value is drawn from the simulation's Rand, and the whole simulation runs on one
// goroutine. A Cluster owns its fronts, servers, clients and the endpoint service. It checks the invariants of configuration versions
// at each tick of a front, and those of requests at the end (see Cluster.AwaitRecovery). The package is meant for tests and
// measurements only.
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

// Options sets the size and the configuration of a simulated cluster.
type Options struct {
	Seed          uint64
	Fronts        int
	Voters        int
	Fleet         bool // the fronts form a fleet; otherwise each runs without the others
	LeaseDuration time.Duration
	Servers       ServerOptions
	Load          LoadOptions
	Rollout       RolloutOptions

	PullEndpoints   bool // fronts poll the endpoint service and get no watch events
	DiscardRequests bool // requests are not recorded in Cluster.Requests
	SparseChecks    bool // for measurements with many fronts: a tick of one front does not check the versions of all fronts
}

// ServerOptions sets the number and the capacity of the modelled servers.
type ServerOptions struct {
	Groups      int
	PerGroup    int           // servers in each group, of which the first is the primary
	Concurrency int           // workers of each server
	ServiceTime time.Duration // mean time that a worker takes for a statement
}

// LoadOptions sets the load that clients generate.
type LoadOptions struct {
	Rate             float64 // requests per second to each front
	WriteFraction    float64
	Deadline         time.Duration // of each request; 0 sets it to 2 s and LatencyObjective to 250 ms
	LatencyObjective time.Duration
}

// RolloutOptions configures the rollout of configuration versions.
type RolloutOptions struct {
	ConfigLease      time.Duration // the duration of a configuration lease; 0 if no versions are published
	StopWhenIsolated bool          // an isolated front stops serving when its configuration lease expires
	InForceWithin    time.Duration // the time within which a published version must be in force; 0 for no limit
}

// Cluster is a simulation of fronts, servers, clients and the endpoint service.
type Cluster struct {
	*fleetsim.Simulation
	Options         Options
	Fronts          []*Front
	Servers         []*Server
	EndpointService EndpointService
	Requests        []*Request
	RolloutChanges  []RolloutChange // the states of the rollout so far, in the order of the fleet's log

	serversByName map[string]*Server
	frontsByHost  map[*fleetsim.Host]*Front
	requestCount  int
	rolloutChecks
}

// EndpointService is the modelled service that fronts get their endpoint list from.
type EndpointService struct {
	Index       int64 // the index of the list
	Unavailable bool  // while set, calls fail
	Calls       int   // the number of calls so far
	OpenWatches int
}

// epochMillis is the Unix time in milliseconds at which the simulation begins.
const epochMillis = 1_800_000_000_000

// wallMillis converts virtual time to Unix time in milliseconds.
func (c *Cluster) wallMillis(at time.Duration) int64 { return epochMillis + at.Milliseconds() }

// networkDelay returns the random delay of one message to or from a server or the endpoint service.
func (c *Cluster) networkDelay() time.Duration {
	return c.Delay + time.Duration(c.Rand.Int64N(int64(c.Delay)))
}

// zoneNames are the zones over which fronts and servers are spread.
var zoneNames = []string{"a", "b", "c"}

// New makes a cluster whose fronts are all down. StartAll starts them.
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
		h.WithoutNode, h.ConfigLease = !o.Fleet, o.Rollout.ConfigLease
		f := &Front{Name: h.Name, cluster: c, host: h, ordinal: i, Received: map[string]int{}, Succeeded: map[string]int{}}
		c.Fronts, c.frontsByHost[h] = append(c.Fronts, f), f
	}
	c.OnStart = func(h *fleetsim.Host) { c.frontsByHost[h].start() }
	c.OnEvent = func(h *fleetsim.Host, e fleet.Event) { c.frontsByHost[h].onFleetEvent(e) }
	return c
}

// deploymentSettings returns the deployment's settings for the front with the given ordinal.
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
		DeploymentRules: routing.DeploymentRules{
			DeadlineGrace:     20 * time.Millisecond,
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

// requestTypes returns the two request types: reads (Browse) and writes (Book), in this order.
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

// endpointList returns the complete endpoint list of the endpoint service.
func (c *Cluster) endpointList() discovery.List {
	l := discovery.List{Index: c.EndpointService.Index, Snapshot: true}
	for _, s := range c.Servers {
		l.Endpoints = append(l.Endpoints, s.endpoint())
	}
	return l
}

// Probes returns the number of probes that all servers together have received.
func (c *Cluster) Probes() (n int) {
	for _, s := range c.Servers {
		n += s.Probes
	}
	return n
}

// front returns the front with the given name. It panics if there is none.
func (c *Cluster) front(name string) *Front {
	h := c.Host(name)
	if h == nil {
		panic(fmt.Sprintf("proxysim: no front %q", name))
	}
	return c.frontsByHost[h]
}

// RolloutChange is a state of the rollout in the fleet's replicated state, with the time at which the first front had it.
type RolloutChange struct {
	At    time.Duration
	Index uint64
	rollout.State
}
