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

// User and database of the sessions with databases, the same as in the program.
const (
	databaseUser = "portal"
	databaseName = "crm"
)

// simulatedFollower is a front without clients. It has the core with the router, the fleet agent, the mesh, the connection pools and
// the watch of the endpoint list, with real sockets, connected as in cmd/dapplerouter. It runs until its process exits.
type simulatedFollower struct {
	agent *agent.Agent

	mu              sync.Mutex       // guards the fields below
	listArrivals    map[int64]int64  // when the core received each list, by list index; Unix microseconds
	versionArrivals map[uint64]int64 // when the core adopted each configuration, by version; Unix microseconds
}

// startSimulatedFollower starts the simulated follower with ordinal i. The error contains its name.
func startSimulatedFollower(s *RunSettings, i int) (*simulatedFollower, error) {
	f := &simulatedFollower{listArrivals: map[int64]int64{}, versionArrivals: map[uint64]int64{}}
	if err := f.start(s, i); err != nil {
		return nil, fmt.Errorf("simulated follower %s: %w", frontName(i), err)
	}
	return f, nil
}

// start creates the follower's components, connects them and starts them.
func (f *simulatedFollower) start(s *RunSettings, i int) error {
	if err := os.MkdirAll(s.frontDir(i), 0o700); err != nil {
		return err
	}
	instance, err := deployment.Load(func(name string) string {
		return map[string]string{deployment.FileVariable: "config.json"}[name]
	}, func(string) ([]byte, error) { return []byte(s.configText(i)), nil })
	if err != nil {
		return err
	}
	fleetConfig, rolloutConfig, err := operatorForms(s.operatorText(i))
	if err != nil {
		return err
	}
	ctx := context.Background() // a follower stops only when its process exits
	clock := monotonic.NewClock()
	var observe func(front.Event)
	watcher := discovery.NewWatcher(ctx, discovery.NewClient(instance.Discovery, instance.CachedList.Index),
		func(u discovery.Update) { observe(front.EndpointsChanged{Kind: u.Kind, List: u.List}) }, discovery.NewJitter(instance.Seed))
	if f.agent, err = agent.New(agent.Config{Fleet: fleetConfig, Rollout: rolloutConfig}, instance, watcher, "hollow"); err != nil {
		return err
	}
	var core *front.Core
	post := func(e front.Event) { core.Post(f.recordArrival(e)) }
	f.agent.Clock, f.agent.StartedAt, f.agent.Post = clock.Now, clock.StartedAt, post
	pools, err := f.agent.Prober.Connect(post, func(o func(front.Event)) (front.Pools, error) {
		observe = o
		return newPools(instance, observe), nil
	})
	if err != nil {
		return err
	}
	core = front.NewCore(front.Options{StartedAt: clock.StartedAt, Seed: instance.Seed, Settings: instance.Settings,
		NewRouter: router.New, Pools: pools, Endpoints: watcher})
	core.JoinFleet(f.agent.FleetOptions())
	observe(front.EndpointsChanged{Kind: routing.CachedSnapshot, List: instance.CachedList})
	go core.Run(clock, ctx.Done())
	if err := f.agent.Start(); err != nil {
		return err
	}
	watcher.Follow()
	return nil
}

// newPools returns an instance's connection pools. They pass their events to post.
func newPools(instance *deployment.Instance, post func(front.Event)) *upstream.Pools {
	limiter := limits.NewDescriptors(limits.NewDescriptorShares(instance.MaxDescriptors, deployment.ReservedDescriptors))
	l := instance.Settings.Limits
	return upstream.NewPools(upstream.Options{Post: post, Limiter: limiter, User: databaseUser, Database: databaseName,
		DialTimeout: l.DialTimeout, IdleTimeout: l.IdleConnTimeout, MemoryBytes: instance.MemoryBytes})
}

// recordArrival records the time if the event brings a list to the core. If the event is an AdoptConfig, it sets up recording the time
// of the adoption. It returns the event to be posted.
func (f *simulatedFollower) recordArrival(e front.Event) front.Event {
	switch e := e.(type) {
	case front.EndpointsChanged:
		if e.Kind == routing.Snapshot || e.Kind == routing.Delta {
			f.recordList(e.List.Index)
		}
	case front.AdoptConfig:
		onAdopted := e.OnAdopted
		e.OnAdopted = func(at time.Duration) {
			f.recordVersion(e.Version)
			if onAdopted != nil {
				onAdopted(at)
			}
		}
		return e
	}
	return e
}

// recordList records the present time as the arrival of a list, unless the list has arrived before.
func (f *simulatedFollower) recordList(index int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.listArrivals[index]; !ok {
		f.listArrivals[index] = time.Now().UnixMicro()
	}
}

// recordVersion records the present time as the adoption of a configuration.
func (f *simulatedFollower) recordVersion(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versionArrivals[version] = time.Now().UnixMicro()
}

// listArrival returns when the list with an index or a later list arrived first, in Unix microseconds; 0 means not yet. A later list
// contains the changes of all earlier ones.
func (f *simulatedFollower) listArrival(index int64) (at int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, t := range f.listArrivals {
		if i >= index && (at == 0 || t < at) {
			at = t
		}
	}
	return at
}

// versionArrival returns when a configuration was adopted, in Unix microseconds; 0 means not yet.
func (f *simulatedFollower) versionArrival(version uint64) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versionArrivals[version]
}
