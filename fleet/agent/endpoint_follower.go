package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dapplerouter/discovery"
	"dapplerouter/fleet"
)

// maxDiscoverySilence is how long the holder of the endpoint list's lease may receive nothing from the discovery service before another
// front takes over, and how long a front relies on a silent leaseholder. It is three heartbeat intervals of the service, the same as for
// a front's own watch.
const maxDiscoverySilence = 6 * time.Second

// endpointFollower shares the endpoint list within the fleet. The holder of the list's lease follows the discovery service and broadcasts
// the changes. The other fronts take the list from these broadcasts, and watch the service themselves while the leaseholder is silent.
type endpointFollower struct {
	agent   *Agent
	list    *fleet.EndpointList // guarded by the mesh's lock
	watcher *discovery.Watcher  // watches the service, or passes on the shared list

	mu         sync.Mutex         // guards the fields below
	address    string             // address of the discovery service
	stop       context.CancelFunc // stops following for the fleet; nil if this front does not follow
	lastUpdate time.Time          // when the last update of the leaseholder arrived
}

// newEndpointFollower returns a follower that does not follow the discovery service yet; address is that of the service.
func newEndpointFollower(a *Agent, watcher *discovery.Watcher, address string) *endpointFollower {
	return &endpointFollower{agent: a, list: fleet.NewEndpointList(), watcher: watcher, address: address}
}

// startFollowing begins to follow the discovery service for the fleet, unless this front already does.
func (f *endpointFollower) startFollowing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop == nil {
		f.follow()
	}
}

// stopFollowing stops following the discovery service for the fleet.
func (f *endpointFollower) stopFollowing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop != nil {
		f.stop()
		f.stop = nil
	}
}

// setAddress switches to another address of the discovery service.
func (f *endpointFollower) setAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.address == address {
		return
	}
	f.address = address
	if f.stop != nil {
		f.stop()
		f.follow()
	}
}

// follow starts a client of the discovery service that broadcasts every change and every heartbeat of the service; f.mu must be held.
func (f *endpointFollower) follow() {
	a := f.agent
	ctx, stop := context.WithCancel(a.ctx)
	f.stop = stop
	client := discovery.NewClient(f.address, 0)
	client.OnResponse = func() {
		a.mesh.Do(func(n *fleet.Node, now time.Duration) {
			if f.list.HasList() {
				n.ReportProgress(fleet.EndpointListLease)
				n.Broadcast(now, fleet.EndpointListLease, f.list.EncodeHeartbeat())
			}
		})
	}
	lastIndex := int64(0)
	onList := func(l discovery.List) {
		a.mesh.Do(func(n *fleet.Node, now time.Duration) {
			update, err := f.list.EncodeUpdate(l, lastIndex)
			lastIndex = l.Index
			if err != nil { // no progress is reported: another front may reach a more recent service
				slog.Warn("fleet: endpoint list not broadcast", "err", err)
				return
			}
			n.ReportProgress(fleet.EndpointListLease)
			n.Broadcast(now, fleet.EndpointListLease, update)
		})
	}
	a.goroutines.Go(func() {
		client.Follow(ctx, onList, func() {}, discovery.NewJitter(a.seed))
		client.CloseIdleConnections()
	})
}

// onUpdate handles the leaseholder's update of the endpoint list. If this front still watches the service itself, it switches to the
// shared list.
func (f *endpointFollower) onUpdate(data []byte) {
	list, changed := fleet.DecodeEndpointUpdate(data)
	f.mu.Lock()
	f.lastUpdate = time.Now()
	f.mu.Unlock()
	if f.watcher.UsesSharedList() {
		if changed {
			f.watcher.SharedListChanged(list)
		}
		return
	}
	if f.watcher.UseSharedList(f.sharedList) {
		slog.Info("fleet: endpoint list taken from its leaseholder", "index", list.Index)
	}
}

// resync passes the whole shared list to the watcher, if this front uses it. It is called when changes may have been missed.
func (f *endpointFollower) resync() {
	if f.watcher.UsesSharedList() {
		f.watcher.SharedListChanged(f.sharedList())
	}
}

// sharedList returns the endpoint list as the fleet's broadcasts have defined it.
func (f *endpointFollower) sharedList() (l discovery.List) {
	f.agent.mesh.Do(func(*fleet.Node, time.Duration) { l = f.list.List() })
	return l
}

// watchLeaseholder makes the front watch the discovery service itself whenever the leaseholder is silent for longer than
// maxDiscoverySilence. It also records the index of the replicated state for the audit. It runs until the agent stops.
func (f *endpointFollower) watchLeaseholder() {
	a := f.agent
	t := time.NewTicker(a.config.LeaseDuration / 6)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-a.ctx.Done():
			return
		}
		a.mesh.Do(func(n *fleet.Node, _ time.Duration) { a.recordIndex(n) })
		f.mu.Lock()
		silent := time.Since(f.lastUpdate) > maxDiscoverySilence
		f.mu.Unlock()
		if silent && f.watcher.UsesSharedList() {
			f.watcher.WatchDirectly(a.config.LeaseDuration)
		}
	}
}
