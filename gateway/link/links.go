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

// Dispatcher sends what goes to members of this site over their own links, and what goes to the other site over the Link.
// All calls come from the core's goroutine.
type Dispatcher struct {
	Local  front.Pools
	Remote *Link
	far    []bool // by member
}

// SetAddress, Send and Forget are those of front.Links.
func (ls *Dispatcher) SetAddress(member int, address string, age time.Duration) {
	for len(ls.far) <= member {
		ls.far = append(ls.far, false)
	}
	if ls.far[member] = strings.HasPrefix(address, front.RemoteSitePrefix); !ls.far[member] {
		ls.Local.SetAddress(member, address, age)
	}
}

func (ls *Dispatcher) Send(member int, s *front.Attempt) {
	if member < len(ls.far) && ls.far[member] {
		ls.Remote.Send(s)
		return
	}
	ls.Local.Send(member, s)
}

func (ls *Dispatcher) Remove(member int) {
	if member < len(ls.far) && ls.far[member] {
		ls.far[member] = false
		return
	}
	ls.Local.Remove(member)
}

// RemoteEntries are those that stand for a far site: one for each of its groups, in a zone of its name, their primary; away
// while the link is not up.
func RemoteEntries(site string, groups []int64, link gateway.State) (entries []discovery.Endpoint) {
	state := routing.Partitioned
	if link == gateway.Up {
		state = routing.Serving
	}
	for _, g := range groups {
		name := site + "/" + strconv.FormatInt(g, 10)
		entries = append(entries, discovery.Endpoint{Name: name, Address: front.RemoteSitePrefix + name, Zone: site, ServerType: "site", Group: g,
			Weight: 1, Primary: true, State: state})
	}
	return entries
}
