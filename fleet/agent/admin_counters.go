package agent

import (
	"syscall"
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/mesh"
)

// Counters are the traffic of a front's links in messages and bytes, and the CPU time of its process in seconds, both since its start.
// Links, FollowsFleet, ListIndex and Index are present values.
type Counters struct {
	Links           int     `json:"links"`
	Sent            uint64  `json:"sent"` // messages
	Received        uint64  `json:"received"`
	SentBytes       uint64  `json:"sent_bytes"` // bytes of frames and greetings, without the overhead of TLS and TCP
	ReceivedBytes   uint64  `json:"received_bytes"`
	SlowLinksClosed uint64  `json:"shed"` // links to slow peers that were closed
	Dials           uint64  `json:"dials"`
	FollowsFleet    bool    `json:"leans"` // this front takes the endpoint list from the fleet
	ListIndex       int64   `json:"list_index"`
	Index           uint64  `json:"index"` // index of the replicated state
	CPUSeconds      float64 `json:"cpu_s"` // CPU time of the whole process, user and system

	Kinds []mesh.KindTotals `json:"kinds"` // messages sent, by kind
}

// Counters returns the counters since the start. CPUSeconds is 0 if the operating system does not report it.
func (a *Agent) Counters() Counters {
	t := a.mesh.Totals()
	c := Counters{Links: t.Links, Sent: t.Sent, Received: t.Received, SentBytes: t.SentBytes, ReceivedBytes: t.ReceivedBytes, SlowLinksClosed: t.SlowLinksClosed,
		Dials: t.Dials, FollowsFleet: a.endpoints.watcher.UsesSharedList(), Kinds: t.Kinds}
	a.mesh.Do(func(n *fleet.Node, _ time.Duration) { c.ListIndex, c.Index = a.endpoints.list.Index(), n.State().Index })
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		c.CPUSeconds = time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
	}
	return c
}
