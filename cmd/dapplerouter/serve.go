package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
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

// The user and database that members are greeted with.
const (
	user     = "portal"
	database = "crm"
)

// How long a stop may take. The platform sends SIGKILL no sooner than the longest deadline, counted as longestCounted at most, and
// killAfter behind SIGTERM. The front may be held up once on the way, connections linger until their clients have read the last of
// what they were sent, and the signal itself takes a moment: so much sooner whatever is still out gets its answer.
const (
	longestCounted = 3 * time.Second
	killAfter      = 700 * time.Millisecond
	longestHoldUp  = 150 * time.Millisecond
	drainMargin    = 2*longestHoldUp + server.MaxCloseLinger
)

// drainFor is how long after SIGTERM requests may stay out, for a longest deadline.
func drainFor(longest time.Duration) time.Duration {
	return min(longest, longestCounted) + killAfter - drainMargin
}

// serveCall is the front: what deploy/balancer.toml runs, with what EDGE_CONFIG tells.
type serveCall struct {
	File string `env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's own file; what is new is off without it."`
}

func (s *serveCall) run() int { return s.serve(false) }

// serve is a front or, where asked, a gateway, which the file must then tell of.
func (s *serveCall) serve(asked bool) int {
	level := slog.LevelInfo
	if os.Getenv("EDGE_LOG") == "debug" {
		level = slog.LevelDebug
	}
	stopAsked, rereadAsked := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopAsked, syscall.SIGTERM, os.Interrupt)
	signal.Notify(rereadAsked, syscall.SIGHUP) // before the configuration is read: what changes behind that is read again
	signal.Ignore(syscall.SIGPIPE)             // of whoever read the log
	out := newLines(os.Stderr)
	defer out.end()
	slog.SetDefault(slog.New(newRepeats(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))))
	told, err := loadStart(context.Background())
	if err != nil {
		slog.Error("what is told at the start cannot be used", "why", err)
		return 2
	}
	operator, err := operatorOf(s.File, told)
	if err == nil && asked && operator.gateway == nil {
		err = fmt.Errorf("%s has no form gateway", s.File)
	}
	if err != nil {
		for _, why := range faultsOf(err) {
			slog.Error("the operator's file cannot be used", "why", why)
		}
		return 2
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(told.Cores))))
	debug.SetMemoryLimit(collectorLimit(told.MemoryBytes))
	if !asked {
		operator.gateway = nil
	}
	if err := serve(told, operator, stopAsked, rereadAsked, func(net.Addr, *bridge) {}); err != nil {
		slog.Error("ended", "why", err)
		return 1
	}
	return 0
}

// serve is a front until a stop is asked for; ready hears where it listens.
func serve(told *deployment.Instance, operator *operator, stopAsked, rereadAsked <-chan os.Signal, ready func(net.Addr, *bridge)) error {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	clock := monotonic.NewClock()
	room := limits.NewDescriptors(limits.SharesOf(told.MaxDescriptors, deployment.ReservedDescriptors))
	allowed := told.Settings.Limits
	var core *front.Core
	post := func(e front.Event) { core.Post(e) }
	var fellows *agent.Agent
	seen := post // by the fleet on its way, where there is one
	if operator.fleet != nil {
		seen = func(e front.Event) { fellows.Prober.OnFrontEvent(e) }
	}
	links := upstream.NewPools(upstream.Options{Post: seen, Limiter: room, User: user, Database: database,
		DialTimeout: allowed.DialTimeout, IdleTimeout: allowed.IdleConnTimeout, MemoryBytes: told.MemoryBytes})
	directory := discovery.NewWatcher(ctx, discovery.NewClient(told.Discovery, told.CachedList.Index), func(u discovery.Update) { seen(front.EndpointsChanged{Kind: u.Kind, List: u.List}) },
		discovery.NewJitter(told.Seed))
	classing, parse := operator.classes(), pgwire.ParseStatement
	if classing != nil {
		parse = func(body []byte) (pgwire.Statement, error) { return pgwire.ParseClassified(body, classing.Classifier) }
	}
	var ways front.Pools = links
	across, err := bridgeOf(operator.gateway, told, clock, post, links, parse)
	if err != nil {
		return err
	}
	var all parts
	if across != nil {
		ways = across.links
		all = append(all, across)
	}
	if operator.fleet != nil {
		forms := agent.Config{Fleet: operator.fleet, Rollout: operator.roll, Audit: operator.audit, Rules: operator.rules}
		if fellows, err = agent.New(forms, told, directory, version); err != nil {
			return err
		}
		fellows.Clock, fellows.StartedAt, fellows.Post = clock.Now, clock.StartedAt, post
		fellows.Prober.Pools, fellows.Prober.Post = ways, post
		ways = fellows.Prober
		all = append(all, fellows)
	}
	core = front.NewCore(front.Options{StartedAt: clock.StartedAt, Seed: told.Seed, Settings: told.Settings,
		NewRouter: router.New, Pools: ways, Endpoints: directory, Classifier: classing})
	if fellows != nil {
		core.JoinFleet(fellows.CoreHooks())
	} else if operator.rules != nil {
		post(front.AdoptConfig{Rules: operator.rules})
	}
	if across != nil {
		core.SetStaticEndpoints(link.RemoteEndpoints(operator.gateway.PeerSite, operator.gateway.Groups, gateway.Connecting))
	}
	for _, why := range told.SkippedEndpoints {
		slog.Warn("an entry of the known list is passed over", "why", why)
	}
	seen(front.EndpointsChanged{Kind: routing.CachedSnapshot, List: told.CachedList})
	longest := time.Duration(0)
	for _, ty := range told.Settings.RequestTypes {
		longest = max(longest, ty.Deadline)
	}
	clients := server.New(server.Options{Post: post, Limiter: room, Clock: clock, WriteTimeout: longest, MemoryBytes: told.MemoryBytes})
	if fellows != nil {
		fellows.OnStandby = func(on bool) { clients.SetStandby(on, operator.fleet.LeaseDuration) }
	}
	go core.Run(clock, ctx.Done())
	if err := all.start(); err != nil {
		return err
	}
	defer all.close()
	if !told.Settings.Topology.PullEndpoints {
		directory.Follow()
	}

	listener, err := listen(ctx, told.Listen)
	if err != nil {
		return err
	}
	if classing != nil {
		links.AllowAnyResult()
		clients.SetParser(parse)
		slog.Info("statements are classed", "cache", operator.classing.CacheBytes, "rules", len(classing.Rules()))
	}
	ready(listener.Addr(), across)
	slog.Info("serving", "name", told.Name, "listen", told.Listen, "cores", told.Cores, "memory", told.MemoryBytes,
		"sockets", told.MaxDescriptors, "members", len(told.CachedList.Endpoints))
	go totals(ctx, core, room)
	if len(all) > 0 {
		go reports(ctx, all.report)
	}
	go reread(ctx, rereadAsked, told, func(address string) { directory.SetAddress(address); all.moved(address) })
	served := make(chan error, 1)
	go func() { served <- clients.Serve(listener) }()
	var failed error
	select {
	case failed = <-served: // what was taken is owed its answer all the same
		served <- nil
		slog.Error("no more clients can be accepted", "why", failed)
	case <-stopAsked:
	}
	until := time.Now().Add(drainFor(longest))
	slog.Info("draining")
	clients.Drain(listener)
	all.drain(time.Second)
	if err := <-served; err != nil && failed == nil {
		failed = err
	}
	whole := clients.Wait(time.Until(until))
	if !whole { // what is still out gets its answer now: whoever asked for the stop will not wait for ever
		core.Post(front.Shutdown{})
		clients.Close()
		whole = clients.Wait(2 * time.Second)
	}
	core.Post(front.LogTotals{Extra: usage(room)})
	slog.Info("drained", "all", whole, "refused", clients.RejectedWhileDraining())
	return failed
}

// reread takes the file in again each time that it is asked for. One that cannot be opened or is not whole is tried again, until the
// next signal asks anew. What cannot be used is logged and changes nothing; what takes a restart is logged too. It goes on while the
// front drains.
func reread(ctx context.Context, asked <-chan os.Signal, told *deployment.Instance, move func(address string)) {
	read := make(chan *deployment.Instance)
	giveUp := func() {}
	for {
		select {
		case <-asked:
			giveUp()
			var attempt context.Context
			attempt, giveUp = context.WithCancel(ctx)
			go rereadOnce(attempt, read)
		case next := <-read:
			slog.Info("the file is read again", "discovery", next.Discovery)
			for _, key := range told.RestartKeys(next) {
				slog.Warn("a change takes a restart", "key", key)
			}
			move(next.Discovery)
		case <-ctx.Done():
			giveUp()
			return
		}
	}
}

// rereadOnce brings the file as it is now, unless it is given up before.
func rereadOnce(ctx context.Context, read chan<- *deployment.Instance) {
	next, err := reload(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		slog.Error("the new file cannot be used; the old values stay", "why", err)
	default:
		select {
		case read <- next:
		case <-ctx.Done():
		}
	}
}

// totals writes what passed and what is held to the log at intervals.
func totals(ctx context.Context, core *front.Core, room *limits.Descriptors) {
	reports(ctx, func() { core.Post(front.LogTotals{Extra: usage(room)}) })
}

// reports calls for a report at intervals, until ctx ends.
func reports(ctx context.Context, each func()) {
	t := time.NewTicker(10 * time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			each()
		case <-ctx.Done():
			return
		}
	}
}

func usage(room *limits.Descriptors) []any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	clients, links, peak := room.InUse()
	return []any{"clients", clients, "links", links, "peak", peak, "goroutines", runtime.NumGoroutine(),
		"memory", m.Sys - m.HeapReleased, "collections", m.NumGC}
}

// programPages is room for the program's own pages, which the collector does not count: in a flood 10 MiB were resident beyond its
// limit.
const programPages = 12 << 20

// collectorLimit is the collector's part of a front's memory, in bytes.
func collectorLimit(memory int64) int64 { return max(memory/2, min(memory/4*3, memory-programPages)) }
