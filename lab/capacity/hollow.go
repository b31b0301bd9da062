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

// hollow is a front without clients: the core with the decision module, the fleet agent, the mesh, the pools and the endpoint
// list's client, wired as cmd/dapplerouter wires them, with their sockets.
type hollow struct {
	name  string
	agent *agent.Agent
	stop  context.CancelFunc

	mu       sync.Mutex
	lists    map[int64]int64  // when each list came to the core, Unix microseconds
	versions map[uint64]int64 // when each configuration was taken up
}

// startHollow starts one; the error names it.
func startHollow(s *Shared, i int) (*hollow, error) {
	h := &hollow{name: frontName(i), lists: map[int64]int64{}, versions: map[uint64]int64{}}
	if err := h.start(s, i); err != nil {
		return nil, fmt.Errorf("hollow front %s: %w", h.name, err)
	}
	return h, nil
}

func (h *hollow) start(s *Shared, i int) error {
	if err := os.MkdirAll(s.folder(i), 0o700); err != nil {
		return err
	}
	told, err := deployment.Load(func(name string) string {
		return map[string]string{deployment.FileVariable: "config.json"}[name]
	}, func(string) ([]byte, error) { return []byte(s.configText(i)), nil })
	if err != nil {
		return err
	}
	of, ro, err := operatorForms(s.operatorText(i, false))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	clock := monotonic.NewClock()
	room := limits.NewDescriptors(limits.SharesOf(told.MaxDescriptors, deployment.ReservedDescriptors))
	allowed := told.Settings.Limits
	var core *front.Core
	post := func(e front.Event) { core.Post(h.noted(e)) }
	seen := func(e front.Event) { h.agent.Prober.OnFrontEvent(e) }
	links := upstream.NewPools(upstream.Options{Post: seen, Limiter: room, User: databaseUser, Database: databaseName,
		DialTimeout: allowed.DialTimeout, IdleTimeout: allowed.IdleConnTimeout, MemoryBytes: told.MemoryBytes})
	directory := discovery.NewWatcher(ctx, discovery.NewClient(told.Discovery, told.CachedList.Index), func(u discovery.Update) { seen(front.EndpointsChanged{Kind: u.Kind, List: u.List}) },
		discovery.NewJitter(told.Seed))
	if h.agent, err = agent.New(agent.Config{Fleet: of, Rollout: ro}, told, directory, "hollow"); err != nil {
		return err
	}
	h.agent.Clock, h.agent.StartedAt, h.agent.Post = clock.Now, clock.StartedAt, post
	h.agent.Prober.Pools, h.agent.Prober.Post = links, post
	core = front.NewCore(front.Options{StartedAt: clock.StartedAt, Seed: told.Seed, Settings: told.Settings,
		NewRouter: router.New, Pools: h.agent.Prober, Endpoints: directory})
	core.JoinFleet(h.agent.CoreHooks())
	seen(front.EndpointsChanged{Kind: routing.CachedSnapshot, List: told.CachedList})
	go core.Run(clock, ctx.Done())
	if err := h.agent.Start(); err != nil {
		return err
	}
	directory.Follow()
	return nil
}

// noted takes down when a list or a configuration reaches the core, on its way there.
func (h *hollow) noted(e front.Event) front.Event {
	switch e := e.(type) {
	case front.EndpointsChanged:
		if e.Kind == routing.Snapshot || e.Kind == routing.Delta {
			h.mu.Lock()
			if _, ok := h.lists[e.List.Index]; !ok {
				h.lists[e.List.Index] = time.Now().UnixMicro()
			}
			h.mu.Unlock()
		}
	case front.AdoptConfig:
		done := e.OnAdopted
		e.OnAdopted = func(at time.Duration) {
			h.mu.Lock()
			h.versions[e.Version] = time.Now().UnixMicro()
			h.mu.Unlock()
			if done != nil {
				done(at)
			}
		}
		return e
	}
	return e
}

// listAt and versionAt give when it came, 0 for not yet. A later list says all that an earlier one did.
func (h *hollow) listAt(index int64) (at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, t := range h.lists {
		if i >= index && (at == 0 || t < at) {
			at = t
		}
	}
	return at
}

func (h *hollow) versionAt(version uint64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.versions[version]
}
