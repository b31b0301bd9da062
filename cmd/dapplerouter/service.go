package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/fleet/agent"
	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/gateway/link"
	"dapplerouter/limits"
	"dapplerouter/monotonic"
	"dapplerouter/pgwire"
	"dapplerouter/router"
	"dapplerouter/routing"
	"dapplerouter/server"
	"dapplerouter/upstream"
)

// The user and database of connections to servers.
const (
	upstreamUser     = "portal"
	upstreamDatabase = "crm"
)

// How long a graceful shutdown may take. The platform sends SIGKILL no sooner than the longest deadline, counted as maxCountedDeadline
// at most, and killDelay behind SIGTERM. The process may be suspended once on the way, connections linger until their clients have
// read the last of what they were sent, and the signal itself takes a moment: so much sooner requests in flight get their answer.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	maxSuspension      = 150 * time.Millisecond
	drainSafetyMargin  = 2*maxSuspension + server.MaxCloseLinger

	subsystemDrainTimeout = time.Second
	closeTimeout          = 2 * time.Second // for the last answers, once the server is closed
)

// drainTimeout is how long after SIGTERM requests may stay in flight, for the longest deadline of a request type.
func drainTimeout(longest time.Duration) time.Duration {
	return min(longest, maxCountedDeadline) + killDelay - drainSafetyMargin
}

// serviceOptions are what a service is started with.
type serviceOptions struct {
	instance *deployment.Instance
	operator *operatorConfig
	stop     <-chan os.Signal                          // a signal begins the graceful shutdown
	reload   <-chan os.Signal                          // a signal has the instance's configuration read again; nil for never
	onReady  func(address net.Addr, link *gatewayLink) // called once clients are accepted; may be nil
}

// service is a front or gateway: the request path, and the subsystems that the operator's file turns on. runService owns it and
// everything that it starts; the core's goroutine owns what the core decides on.
type service struct {
	serviceOptions
	requestPath
	link       *gatewayLink // nil at a front
	fleet      *agent.Agent // nil without a fleet
	subsystems subsystems   // link and fleet, in the order of their start
}

// requestPath is what a request passes through: from the server for clients over the core, which decides, to the connections to servers.
type requestPath struct {
	clock       *monotonic.Clock
	descriptors *limits.Descriptors // shared by clients, servers and discovery
	server      *server.Server
	core        *front.Core
	upstream    *upstream.Pools
	endpoints   *discovery.Watcher // follows the endpoint list
	classifier  *front.Classifier
	parse       func([]byte) (pgwire.Statement, error)
	observe     func(front.Event) // takes the events of servers and of the endpoint list, to the core
	maxDeadline time.Duration     // of all request types
}

// runService serves until a stop is signalled or no more clients can be accepted, and returns the error of the latter. Requests that
// were accepted are answered in both cases.
func runService(o serviceOptions) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := newService(ctx, o)
	if err != nil {
		return err
	}
	listener, err := s.start(ctx)
	if err != nil {
		return err
	}
	defer s.subsystems.close()
	s.announce(listener.Addr())
	s.startBackground(ctx)
	return s.serve(listener)
}

// newService builds a service, which runs nothing yet but the watcher's goroutine.
func newService(ctx context.Context, o serviceOptions) (*service, error) {
	s := &service{serviceOptions: o}
	instance := o.instance
	s.clock = monotonic.NewClock()
	s.descriptors = limits.NewDescriptors(limits.SharesOf(instance.MaxDescriptors, deployment.ReservedDescriptors))
	s.endpoints = discovery.NewWatcher(ctx, discovery.NewClient(instance.Discovery, instance.CachedList.Index), s.updateEndpoints,
		discovery.NewJitter(instance.Seed))
	s.classifier, s.parse = o.operator.newClassifier(), pgwire.ParseStatement
	if s.classifier != nil {
		s.parse = func(body []byte) (pgwire.Statement, error) {
			return pgwire.ParseClassified(body, s.classifier.Classifier)
		}
	}
	pools, err := s.connectPools()
	if err != nil {
		return nil, err
	}
	s.core = front.NewCore(front.Options{StartedAt: s.clock.StartedAt, Seed: instance.Seed, Settings: instance.Settings,
		NewRouter: router.New, Pools: pools, Endpoints: s.endpoints, Classifier: s.classifier})
	s.prepareCore()
	for _, ty := range instance.Settings.RequestTypes {
		s.maxDeadline = max(s.maxDeadline, ty.Deadline)
	}
	s.server = server.New(server.Options{Post: s.post, Limiter: s.descriptors, Clock: s.clock, WriteTimeout: s.maxDeadline,
		MemoryBytes: instance.MemoryBytes})
	if s.classifier != nil {
		s.upstream.AllowAnyResult()
		s.server.SetParser(s.parse)
	}
	if s.fleet != nil {
		s.fleet.OnStandby = func(on bool) { s.server.SetStandby(on, o.operator.fleet.LeaseDuration) }
	}
	return s, nil
}

// post gives the core an event.
func (s *service) post(e front.Event) { s.core.Post(e) }

// connectPools makes the pools and the subsystems that take part in carrying attempts, and returns the core's pools. The prober of a
// fleet is between the core and those events.
func (s *service) connectPools() (front.Pools, error) {
	if s.operator.fleet == nil {
		return s.newPools(s.post)
	}
	if err := s.newFleet(); err != nil {
		return nil, err
	}
	pools, err := s.fleet.Prober.Connect(s.post, s.newPools)
	s.subsystems = append(s.subsystems, s.fleet)
	return pools, err
}

// newPools makes the pools of this site, and with a gateway those of its peer's too, whose events go to observe.
func (s *service) newPools(observe func(front.Event)) (front.Pools, error) {
	l := s.instance.Settings.Limits
	s.observe = observe
	s.upstream = upstream.NewPools(upstream.Options{Post: observe, Limiter: s.descriptors, User: upstreamUser, Database: upstreamDatabase,
		DialTimeout: l.DialTimeout, IdleTimeout: l.IdleConnTimeout, MemoryBytes: s.instance.MemoryBytes})
	if s.operator.gateway == nil {
		return s.upstream, nil
	}
	if err := s.addGatewayLink(); err != nil {
		return nil, err
	}
	return s.link.dispatcher, nil
}

// updateEndpoints passes on what the watcher received.
func (s *service) updateEndpoints(u discovery.Update) {
	s.observe(front.EndpointsChanged{Kind: u.Kind, List: u.List})
}

func (s *service) addGatewayLink() (err error) {
	s.link, err = newGatewayLink(gatewayLinkOptions{config: s.operator.gateway, instance: s.instance, clock: s.clock, post: s.observe,
		local: s.upstream, parse: s.parse})
	if err == nil {
		s.subsystems = append(s.subsystems, s.link)
	}
	return err
}

// newFleet makes this front a member of its fleet.
func (s *service) newFleet() (err error) {
	c := agent.Config{Fleet: s.operator.fleet, Rollout: s.operator.rollout, Audit: s.operator.audit, Rules: s.operator.rules}
	if s.fleet, err = agent.New(c, s.instance, s.endpoints, version); err != nil {
		return err
	}
	s.fleet.Clock, s.fleet.StartedAt, s.fleet.Post = s.clock.Now, s.clock.StartedAt, s.post
	return nil
}

// prepareCore gives the core what it needs before it runs: the fleet or the file's rules, the peer's groups and the cached endpoint list.
func (s *service) prepareCore() {
	if s.fleet != nil {
		s.core.JoinFleet(s.fleet.CoreHooks())
	} else if s.operator.rules != nil {
		s.post(front.AdoptConfig{Rules: s.operator.rules})
	}
	if g := s.operator.gateway; g != nil {
		s.core.SetStaticEndpoints(link.RemoteEndpoints(g.PeerSite, g.Groups, gateway.Connecting))
	}
	for _, err := range s.instance.SkippedEndpoints {
		slog.Warn("endpoint of the cached list skipped", "err", err)
	}
	s.updateEndpoints(discovery.Update{Kind: routing.CachedSnapshot, List: s.instance.CachedList})
}

// start starts the core and the subsystems, and listens for clients. Where it returns an error, nothing but the core is left running,
// which ends with ctx.
func (s *service) start(ctx context.Context) (*net.TCPListener, error) {
	go s.core.Run(s.clock, ctx.Done())
	if err := s.subsystems.start(); err != nil {
		return nil, err
	}
	if !s.instance.Settings.Topology.PullEndpoints {
		s.endpoints.Follow()
	}
	listener, err := listen(ctx, s.instance.Listen)
	if err != nil {
		s.subsystems.close()
		return nil, err
	}
	return listener, nil
}

// announce logs that clients can connect, and calls onReady.
func (s *service) announce(address net.Addr) {
	if s.classifier != nil {
		slog.Info("statement classification enabled", "cache", s.operator.classing.CacheBytes, "rules", len(s.classifier.Rules()))
	}
	if s.onReady != nil {
		s.onReady(address, s.link)
	}
	slog.Info("serving", "name", s.instance.Name, "listen", s.instance.Listen, "cores", s.instance.Cores, "memory", s.instance.MemoryBytes,
		"descriptors", s.instance.MaxDescriptors, "servers", len(s.instance.CachedList.Endpoints))
}

// startBackground starts what runs beside the requests until ctx ends.
func (s *service) startBackground(ctx context.Context) {
	go runPeriodically(ctx, s.logTotals)
	if len(s.subsystems) > 0 {
		go runPeriodically(ctx, s.subsystems.logTotals)
	}
	go reloadOnSignal(ctx, s.reload, s.instance, s.discoveryMoved)
}

// discoveryMoved has the endpoint list followed at another address.
func (s *service) discoveryMoved(address string) {
	s.endpoints.SetAddress(address)
	s.subsystems.discoveryMoved(address)
}

// serve accepts clients until a stop is signalled or the listener fails, then shuts down gracefully.
func (s *service) serve(listener *net.TCPListener) (failure error) {
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(listener) }()
	select {
	case failure = <-served: // accepted requests are owed their answers all the same
		close(served)
		slog.Error("accepting clients failed", "err", failure)
	case <-s.stop:
	}
	deadline := time.Now().Add(drainTimeout(s.maxDeadline))
	slog.Info("draining")
	s.server.Drain(listener)
	s.subsystems.drain(subsystemDrainTimeout)
	if err := <-served; failure == nil {
		failure = err
	}
	s.finishRequests(deadline)
	return failure
}

// finishRequests waits for the requests in flight. Those that are still in flight at the deadline are answered then: whoever asked for
// the stop ends the process by force soon after.
func (s *service) finishRequests(deadline time.Time) {
	complete := s.server.Wait(time.Until(deadline))
	if !complete {
		s.post(front.Shutdown{})
		s.server.Close()
		complete = s.server.Wait(closeTimeout)
	}
	s.logTotals()
	slog.Info("drained", "complete", complete, "rejected", s.server.RejectedWhileDraining())
}
