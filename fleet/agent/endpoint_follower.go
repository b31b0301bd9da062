package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dapplerouter/discovery"
	"dapplerouter/fleet"
)

// maxDiscoverySilence is how long the holder of the endpoint list's lease may hear nothing of the discovery service before another
// front tries, and how long a front relies on a holder that is silent: three heartbeats of the service, as for its own watch.
const maxDiscoverySilence = 6 * time.Second

// endpointFollower shares the endpoint list within the fleet: the holder of the list's lease follows the discovery service and
// broadcasts its changes; the other fronts take the list from there, and watch the service themselves where the holder is silent.
type endpointFollower struct {
	agent   *Agent
	list    *fleet.EndpointList // guarded by the mesh's lock
	watcher *discovery.Watcher  // the front's own watch

	mu         sync.Mutex         // guards the fields below
	address    string             // of the discovery service
	stop       context.CancelFunc // nil unless this front follows for the fleet
	lastUpdate time.Time          // when the leaseholder last reported that the service is alive
}

func newEndpointFollower(a *Agent, watcher *discovery.Watcher, address string) *endpointFollower {
	return &endpointFollower{agent: a, list: fleet.NewEndpointList(), watcher: watcher, address: address}
}

// startFollowing begins to follow the discovery service for the fleet, unless it does.
func (f *endpointFollower) startFollowing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop == nil {
		f.follow()
	}
}

// stopFollowing ends that.
func (f *endpointFollower) stopFollowing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop != nil {
		f.stop()
		f.stop = nil
	}
}

// setAddress changes to another address of the service.
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

// follow starts a client of the service; f.mu must be held.
func (f *endpointFollower) follow() {
	a := f.agent
	ctx, stop := context.WithCancel(a.ctx)
	f.stop = stop
	client := discovery.NewClient(f.address, 0)
	client.OnResponse = func() {
		a.mesh.Do(func(n *fleet.Node, now time.Duration) {
			if f.list.Known() {
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
			if err != nil { // no progress: another front may reach a better service
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

// onUpdate handles the leaseholder's update of the endpoint list.
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
	if f.watcher.UseSharedList(f.known) {
		slog.Info("fleet: endpoint list taken from its leaseholder", "index", list.Index)
	}
}

// resync passes on the whole shared list, where this front uses it: changes may have been missed.
func (f *endpointFollower) resync() {
	if f.watcher.UsesSharedList() {
		f.watcher.SharedListChanged(f.known())
	}
}

// known returns the endpoint list as the fleet has it.
func (f *endpointFollower) known() (l discovery.List) {
	f.agent.mesh.Do(func(*fleet.Node, time.Duration) { l = f.list.List() })
	return l
}

// watchLeaseholder returns to the front's own watch of the discovery service where the leaseholder is silent.
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
		a.mesh.Do(func(n *fleet.Node, _ time.Duration) { a.noteIndex(n) })
		f.mu.Lock()
		silent := time.Since(f.lastUpdate) > maxDiscoverySilence
		f.mu.Unlock()
		if silent && f.watcher.UsesSharedList() {
			f.watcher.WatchDirectly(a.config.LeaseDuration)
		}
	}
}
