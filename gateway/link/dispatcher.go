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

// Dispatcher implements front.Pools for a gateway. It passes attempts at servers of this site to the Local pools, and attempts at
// the remote site to the Remote link. Its methods must be called from the goroutine of the front's core only.
type Dispatcher struct {
	Local    front.Pools
	Remote   *Link
	isRemote []bool // by server: the server stands for the remote site
}

// SetAddress records whether a server stands for the remote site, which the prefix of its address says. It passes the address of a
// local server to the Local pools.
func (d *Dispatcher) SetAddress(server int, address string, age time.Duration) {
	for len(d.isRemote) <= server {
		d.isRemote = append(d.isRemote, false)
	}
	d.isRemote[server] = strings.HasPrefix(address, front.RemoteSitePrefix)
	if !d.isRemote[server] {
		d.Local.SetAddress(server, address, age)
	}
}

// Send sends an attempt to a server or to the remote site.
func (d *Dispatcher) Send(server int, a *front.Attempt) {
	if server < len(d.isRemote) && d.isRemote[server] {
		d.Remote.Send(a)
		return
	}
	d.Local.Send(server, a)
}

// Remove removes a server.
func (d *Dispatcher) Remove(server int) {
	if server < len(d.isRemote) && d.isRemote[server] {
		d.isRemote[server] = false
		return
	}
	d.Local.Remove(server)
}

// RemoteEndpoints returns the endpoints that stand for a remote site, one for each of its groups. Each of them is the primary of its
// group, and its zone has the name of the site. Its state is Serving if the link is up, otherwise Partitioned.
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
