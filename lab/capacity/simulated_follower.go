package capacity

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/fleet/agent"
	"dapplerouter/front"
	"dapplerouter/limits"
	"dapplerouter/monotonic"
	"dapplerouter/router"
	"dapplerouter/routing"
	"dapplerouter/upstream"
)

// What databases are greeted with, as the program does.
const (
	databaseUser = "portal"
	databaseName = "crm"
)

// simulatedFollower is a front without clients: the core with the decision module, the fleet agent, the mesh, the pools and the endpoint
// list's client, wired as cmd/dapplerouter wires them, with their sockets.
type simulatedFollower struct {
	name  string
	agent *agent.Agent
	stop  context.CancelFunc

	mu              sync.Mutex
	listArrivals    map[int64]int64  // when each list came to the core, Unix microseconds
	versionArrivals map[uint64]int64 // when each configuration was taken up
}

// startSimulatedFollower starts one; the error names it.
func startSimulatedFollower(s *RunSettings, i int) (*simulatedFollower, error) {
	h := &simulatedFollower{name: frontName(i), listArrivals: map[int64]int64{}, versionArrivals: map[uint64]int64{}}
	if err := h.start(s, i); err != nil {
		return nil, fmt.Errorf("hollow front %s: %w", h.name, err)
	}
	return h, nil
}

func (h *simulatedFollower) start(s *RunSettings, i int) error {
	if err := os.MkdirAll(s.folder(i), 0o700); err != nil {
		return err
	}
	instance, err := deployment.Load(func(name string) string {
		return map[string]string{deployment.FileVariable: "config.json"}[name]
	}, func(string) ([]byte, error) { return []byte(s.configText(i)), nil })
	if err != nil {
		return err
	}
	fleetConfig, rolloutConfig, err := operatorForms(s.operatorText(i, false))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	clock := monotonic.NewClock()
	limiter := limits.NewDescriptors(limits.SharesOf(instance.MaxDescriptors, deployment.ReservedDescriptors))
	limits := instance.Settings.Limits
	var core *front.Core
	post := func(e front.Event) { core.Post(h.recordArrival(e)) }
	deliver := func(e front.Event) { h.agent.Prober.OnFrontEvent(e) }
	pools := upstream.NewPools(upstream.Options{Post: deliver, Limiter: limiter, User: databaseUser, Database: databaseName,
		DialTimeout: limits.DialTimeout, IdleTimeout: limits.IdleConnTimeout, MemoryBytes: instance.MemoryBytes})
	watcher := discovery.NewWatcher(ctx, discovery.NewClient(instance.Discovery, instance.CachedList.Index), func(u discovery.Update) { deliver(front.EndpointsChanged{Kind: u.Kind, List: u.List}) },
		discovery.NewJitter(instance.Seed))
	if h.agent, err = agent.New(agent.Config{Fleet: fleetConfig, Rollout: rolloutConfig}, instance, watcher, "hollow"); err != nil {
		return err
	}
	h.agent.Clock, h.agent.StartedAt, h.agent.Post = clock.Now, clock.StartedAt, post
	h.agent.Prober.Pools, h.agent.Prober.Post = pools, post
	core = front.NewCore(front.Options{StartedAt: clock.StartedAt, Seed: instance.Seed, Settings: instance.Settings,
		NewRouter: router.New, Pools: h.agent.Prober, Endpoints: watcher})
	core.JoinFleet(h.agent.CoreHooks())
	deliver(front.EndpointsChanged{Kind: routing.CachedSnapshot, List: instance.CachedList})
	go core.Run(clock, ctx.Done())
	if err := h.agent.Start(); err != nil {
		return err
	}
	watcher.Follow()
	return nil
}

// recordArrival takes down when a list or a configuration reaches the core, on its way there.
func (h *simulatedFollower) recordArrival(e front.Event) front.Event {
	switch e := e.(type) {
	case front.EndpointsChanged:
		if e.Kind == routing.Snapshot || e.Kind == routing.Delta {
			h.mu.Lock()
			if _, ok := h.listArrivals[e.List.Index]; !ok {
				h.listArrivals[e.List.Index] = time.Now().UnixMicro()
			}
			h.mu.Unlock()
		}
	case front.AdoptConfig:
		done := e.OnAdopted
		e.OnAdopted = func(at time.Duration) {
			h.mu.Lock()
			h.versionArrivals[e.Version] = time.Now().UnixMicro()
			h.mu.Unlock()
			if done != nil {
				done(at)
			}
		}
		return e
	}
	return e
}

// listArrival and versionAt give when it came, 0 for not yet. A later list says all that an earlier one did.
func (h *simulatedFollower) listArrival(index int64) (at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, t := range h.listArrivals {
		if i >= index && (at == 0 || t < at) {
			at = t
		}
	}
	return at
}

func (h *simulatedFollower) versionArrival(version uint64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.versionArrivals[version]
}
