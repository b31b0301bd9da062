package front

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"dapplerouter/discovery"
	"dapplerouter/routing"
)

// EndpointsChanged is the event that discovery has returned an update of the endpoint list, a cached list or an error.
type EndpointsChanged struct {
	Kind routing.UpdateKind
	List discovery.List
}

// apply updates the servers and passes the update to the router. It adds the static endpoints to a complete list, corrects the wall clock
// by the servers' start times, and ends the unsent attempts to servers that no longer accept new work. A failed update changes no server.
func (u EndpointsChanged) apply(c *Core, now time.Duration) {
	endpoints := u.List.Endpoints
	if u.Kind == routing.Snapshot || u.Kind == routing.CachedSnapshot {
		endpoints = slices.Concat(endpoints, c.servers.static)
		c.servers.beginSnapshot()
	}
	for _, e := range endpoints {
		c.correctClock(c.wall.observePast(e.StartedAtMillis, now))
	}
	c.servers.endpoints = c.servers.endpoints[:0]
	for _, e := range endpoints {
		if !c.updateServer(e) || u.Kind != routing.Delta {
			continue
		}
		c.servers.updateStatic(e)
		slog.Info("endpoint changed", "server", e.Name, "state", e.State, "primary", e.Primary, "index", u.List.Index)
	}
	if u.Kind == routing.Snapshot {
		slog.Info("endpoint list received", "endpoints", len(c.servers.endpoints), "index", u.List.Index)
	}
	if c.fleet.Auditor != nil && u.Kind != routing.UpdateFailed {
		c.fleet.Auditor.EndpointsChanged(now, u.List.Index)
	}
	c.router.EndpointsChanged(now, u.Kind, u.List.Index, c.servers.endpoints)
	if u.Kind != routing.UpdateFailed {
		c.cancelUnsentToDraining()
	}
}

// updateServer copies an endpoint into the state of its server and adds it to the update for the router. It ignores an endpoint whose zone
// is not in the deployment settings, and then reports false.
func (c *Core) updateServer(e discovery.Endpoint) bool {
	zone, ok := c.catalog.zones.Lookup(e.Zone)
	if !ok {
		slog.Warn("endpoint ignored: unknown zone", "server", e.Name, "zone", e.Zone)
		return false
	}
	index := c.servers.names.Intern(e.Name)
	st := c.servers.at(index)
	st.remote = strings.HasPrefix(e.Address, RemoteSitePrefix)
	c.servers.setState(index, e.State)
	if e.Address != "" {
		c.setAddress(index, e.Address, e.StartedAtMillis)
	}
	c.servers.endpoints = append(c.servers.endpoints, routing.Endpoint{Server: index, Zone: zone, ServerType: c.servers.types.Intern(e.ServerType),
		Group: c.servers.groups.Intern(e.Group), State: e.State, Weight: e.Weight, Primary: e.Primary,
		StartedAt: c.wall.at(e.StartedAtMillis), HasStartTime: e.StartedAtMillis != 0})
	return true
}
