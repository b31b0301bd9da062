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

// User and database of the connections to servers.
const (
	upstreamUser     = "portal"
	upstreamDatabase = "crm"
)

// Time limits of a graceful shutdown. After SIGTERM, the platform waits at least for the longest deadline, or maxCountedDeadline if that is
// shorter, plus killDelay before it sends SIGKILL. Requests in flight must be answered drainSafetyMargin earlier: the process may be
// suspended once during the shutdown, connections linger until their clients have read the last response, and the signal itself takes some
// time to arrive.
const (
	maxCountedDeadline = 3 * time.Second
	killDelay          = 700 * time.Millisecond
	maxSuspension      = 150 * time.Millisecond
	drainSafetyMargin  = 2*maxSuspension + server.MaxCloseLinger

	subsystemDrainTimeout = time.Second
	closeTimeout          = 2 * time.Second // for the last responses, after the server is closed
)

// drainTimeout returns how long after SIGTERM requests may stay in flight; longest is the longest deadline of a request type.
func drainTimeout(longest time.Duration) time.Duration {
	return min(longest, maxCountedDeadline) + killDelay - drainSafetyMargin
}

// serviceOptions holds the parameters of a service.
type serviceOptions struct {
	instance *deployment.Instance
	operator *operatorConfig
	stop     <-chan os.Signal                          // a signal starts the graceful shutdown
	reload   <-chan os.Signal                          // a signal reloads the instance's configuration; may be nil
	onReady  func(address net.Addr, link *gatewayLink) // called when the listener is open; may be nil
}

// service is a running front or gateway: the request path, and the subsystems that the operator's file turns on. The service and all that
// it starts belong to runService. The core's state belongs to the core's goroutine.
type service struct {
	serviceOptions
	requestPath
	link       *gatewayLink // nil at a front
	fleet      *agent.Agent // nil without a fleet
	subsystems subsystems   // link and fleet, in the order of their start
}

// requestPath holds the components that a request passes through: the server for clients, the core, which routes it, and the connection
// pools of the database servers.
type requestPath struct {
	clock       *monotonic.Clock
	descriptors *limits.Descriptors // file descriptors, shared by the connections of clients, servers and discovery
	server      *server.Server
	core        *front.Core
	upstream    *upstream.Pools
	endpoints   *discovery.Watcher // follows the endpoint list
	classifier  *front.Classifier
	parse       func([]byte) (pgwire.Statement, error)
	observe     func(front.Event) // receives events from servers and the endpoint list, and passes them to the core
	maxDeadline time.Duration     // of all request types
}

// runService serves until a stop signal arrives or accepting clients fails, and returns the error of the latter. In both cases accepted
// requests are answered.
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

// newService creates a service. Only the goroutine of the endpoint watcher runs before start is called.
func newService(ctx context.Context, o serviceOptions) (*service, error) {
	s := &service{serviceOptions: o}
	instance := o.instance
	s.clock = monotonic.NewClock()
	s.descriptors = limits.NewDescriptors(limits.NewDescriptorShares(instance.MaxDescriptors, deployment.ReservedDescriptors))
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

// post passes an event to the core.
func (s *service) post(e front.Event) { s.core.Post(e) }

// connectPools creates the pools that carry attempts, along with the subsystems that take part in this, and returns the pools for the core.
// In a fleet, the prober stands between the core and the pools.
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

// newPools creates the connection pools of this site's servers. With a gateway, the pools also forward attempts to the peer. Their events
// go to observe.
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

// updateEndpoints passes an update of the endpoint list to the core.
func (s *service) updateEndpoints(u discovery.Update) {
	s.observe(front.EndpointsChanged{Kind: u.Kind, List: u.List})
}

// addGatewayLink creates the gateway's link and adds it to the subsystems.
func (s *service) addGatewayLink() (err error) {
	s.link, err = newGatewayLink(gatewayLinkOptions{config: s.operator.gateway, instance: s.instance, clock: s.clock, post: s.observe,
		local: s.upstream, parse: s.parse})
	if err == nil {
		s.subsystems = append(s.subsystems, s.link)
	}
	return err
}

// newFleet creates the agent that makes this front a member of its fleet.
func (s *service) newFleet() (err error) {
	c := agent.Config{Fleet: s.operator.fleet, Rollout: s.operator.rollout, Audit: s.operator.audit, Rules: s.operator.rules}
	if s.fleet, err = agent.New(c, s.instance, s.endpoints, version); err != nil {
		return err
	}
	s.fleet.Clock, s.fleet.StartedAt, s.fleet.Post = s.clock.Now, s.clock.StartedAt, s.post
	return nil
}

// prepareCore configures the core before it runs: with the hooks of the fleet, or else the rules in the operator's file, with endpoints for
// the peer's groups, and with the cached endpoint list.
func (s *service) prepareCore() {
	if s.fleet != nil {
		s.core.JoinFleet(s.fleet.FleetOptions())
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

// start starts the core and the subsystems, and opens the listener for clients. If it returns an error, only the core is left running; it
// ends with ctx.
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

// announce calls onReady and logs that clients can connect.
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

// startBackground starts the goroutines that log totals and reload the configuration. They end with ctx.
func (s *service) startBackground(ctx context.Context) {
	go runPeriodically(ctx, s.logTotals)
	if len(s.subsystems) > 0 {
		go runPeriodically(ctx, s.subsystems.logTotals)
	}
	go reloadOnSignal(ctx, s.reload, s.instance, s.discoveryMoved)
}

// discoveryMoved switches the endpoint watcher and the subsystems to another address of discovery.
func (s *service) discoveryMoved(address string) {
	s.endpoints.SetAddress(address)
	s.subsystems.discoveryMoved(address)
}

// serve accepts clients until a stop signal arrives or the listener fails, then shuts down gracefully. It returns the listener's failure.
func (s *service) serve(listener *net.TCPListener) (failure error) {
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(listener) }()
	select {
	case failure = <-served: // accepted requests must be answered nevertheless
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

// finishRequests waits for the requests in flight. At the deadline it answers those that are left, since the platform kills the process
// soon after.
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
