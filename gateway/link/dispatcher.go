package link

import (
	"strconv"
	"strings"
	"time"

	"dapplerouter/discovery"
	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/routing"
)

// Dispatcher is the front.Pools of a gateway: it sends attempts to servers of this site over the Local pools, and those to
// the remote site over the Remote link. All calls come from the goroutine of the front's core.
type Dispatcher struct {
	Local    front.Pools
	Remote   *Link
	isRemote []bool // by server
}

// SetAddress notes whether a server stands for the remote site, and passes the address of any other on.
func (d *Dispatcher) SetAddress(server int, address string, age time.Duration) {
	for len(d.isRemote) <= server {
		d.isRemote = append(d.isRemote, false)
	}
	d.isRemote[server] = strings.HasPrefix(address, front.RemoteSitePrefix)
	if !d.isRemote[server] {
		d.Local.SetAddress(server, address, age)
	}
}

// Send sends an attempt to a server.
func (d *Dispatcher) Send(server int, a *front.Attempt) {
	if server < len(d.isRemote) && d.isRemote[server] {
		d.Remote.Send(a)
		return
	}
	d.Local.Send(server, a)
}

// Remove forgets a server.
func (d *Dispatcher) Remove(server int) {
	if server < len(d.isRemote) && d.isRemote[server] {
		d.isRemote[server] = false
		return
	}
	d.Local.Remove(server)
}

// RemoteEndpoints returns the servers that stand for a remote site: one for each of its groups, in a zone with the name of
// the site, each the primary of its group, and partitioned while the link is not up.
func RemoteEndpoints(site string, groups []int64, link gateway.State) (all []discovery.Endpoint) {
	state := routing.Partitioned
	if link == gateway.Up {
		state = routing.Serving
	}
	for _, g := range groups {
		name := site + "/" + strconv.FormatInt(g, 10)
		all = append(all, discovery.Endpoint{Name: name, Address: front.RemoteSitePrefix + name, Zone: site, ServerType: "site", Group: g,
			Weight: 1, Primary: true, State: state})
	}
	return all
}
