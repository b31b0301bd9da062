package agent

import (
	"context"
	"log/slog"
	"time"

	"dapplerouter/discovery"
	"dapplerouter/fleet"
)

// endpointListBound is how long the holder of the endpoint list's lease may hear nothing of the discovery service before another
// front tries, and how long a front relies on a holder that is silent: three heartbeats of the service, as for its own watch.
const endpointListBound = 6 * time.Second

// startFollowing begins to follow the discovery service for the fleet, unless it does.
func (a *Agent) startFollowing() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopFollowing == nil {
		a.followEndpoints()
	}
}

// endFollowing ends it.
func (a *Agent) endFollowing() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopFollowing != nil {
		a.stopFollowing()
		a.stopFollowing = nil
	}
}

// followEndpoints begins to follow the discovery service for the fleet; a.mu must be held.
func (a *Agent) followEndpoints() {
	ctx, end := context.WithCancel(a.ctx)
	a.stopFollowing = end
	client := discovery.NewClient(a.discoveryAddress, 0)
	last := int64(0)
	client.OnResponse = func() {
		a.mesh.Do(func(n *fleet.Node, now time.Duration) {
			if a.endpoints.Known() {
				n.ReportProgress(fleet.EndpointListLease)
				n.Broadcast(now, fleet.EndpointListLease, a.endpoints.EncodeHeartbeat())
			}
		})
	}
	a.goroutines.Go(func() {
		client.Follow(ctx, func(l discovery.List) {
			a.mesh.Do(func(n *fleet.Node, now time.Duration) {
				act, err := a.endpoints.EncodeUpdate(l, last)
				last = l.Index
				if err != nil { // no progress: another front may reach a better service
					slog.Warn("fleet: the list is not handed on", "why", err)
					return
				}
				n.ReportProgress(fleet.EndpointListLease)
				n.Broadcast(now, fleet.EndpointListLease, act)
			})
		}, func() {}, discovery.NewJitter(a.seed))
		client.CloseIdleConnections()
	})
}

// onEndpoints handles the leaseholder's update of the endpoint list.
func (a *Agent) onEndpoints(data []byte) {
	said, changed := fleet.DecodeEndpointUpdate(data)
	a.mu.Lock()
	a.endpointsHeardAt = time.Now()
	a.mu.Unlock()
	if a.directory.UsesSharedList() {
		if changed {
			a.directory.SharedListChanged(said)
		}
		return
	}
	if a.directory.UseSharedList(a.knownEndpoints) {
		slog.Info("fleet: leans on the list that another follows", "index", said.Index)
	}
}

// knownEndpoints returns the endpoint list as the fleet has it.
func (a *Agent) knownEndpoints() (l discovery.List) {
	a.mesh.Do(func(*fleet.Node, time.Duration) { l = a.endpoints.List() })
	return l
}

// watchLeaseholder returns to the front's own watch of the discovery service where the leaseholder is silent.
func (a *Agent) watchLeaseholder() {
	t := time.NewTicker(a.config.LeaseDuration / 6)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-a.ctx.Done():
			return
		}
		a.mesh.Do(func(n *fleet.Node, _ time.Duration) { a.noteIndex(n) })
		a.mu.Lock()
		silent := time.Since(a.endpointsHeardAt) > endpointListBound
		a.mu.Unlock()
		if silent && a.directory.UsesSharedList() {
			a.directory.WatchDirectly(a.config.LeaseDuration)
		}
	}
}
