package proxysim

import (
	"time"

	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
	"dapplerouter/lab/fleetsim"
)

// Fault is a fault that can be injected at a host. It ends by itself.
type Fault struct {
	Name   string
	Inject func(c *Cluster, h *fleetsim.Host)
}

// normalJitter is the network's jitter without a latency spike.
const normalJitter = 300 * time.Microsecond

// Faults are the faults that random runs and the tests of pairs pick from. Seeds select them by index, so their order is fixed.
var Faults = []Fault{
	{"crash", func(c *Cluster, h *fleetsim.Host) {
		h.Crash()
		c.restartAfter(h, 2*time.Second)
	}},
	{"pause", func(c *Cluster, h *fleetsim.Host) {
		h.Pause()
		c.After(9*time.Second, h.Resume)
	}},
	{"short pause", func(c *Cluster, h *fleetsim.Host) {
		h.Pause()
		c.After(700*time.Millisecond, h.Resume)
	}},
	{"cut outbound", func(c *Cluster, h *fleetsim.Host) {
		c.partition(h, outbound)
		c.After(5*time.Second, c.Heal)
	}},
	{"cut inbound", func(c *Cluster, h *fleetsim.Host) {
		c.partition(h, inbound)
		c.After(5*time.Second, c.Heal)
	}},
	{"partition", func(c *Cluster, h *fleetsim.Host) {
		c.partition(h, bothDirections)
		c.After(10*time.Second, c.Heal)
	}},
	{"latency spike", func(c *Cluster, _ *fleetsim.Host) {
		c.Jitter = 1700 * time.Millisecond
		c.After(7*time.Second, func() { c.Jitter = normalJitter })
	}},
	{"transfer", func(_ *Cluster, h *fleetsim.Host) {
		h.WithNode(func(n *fleet.Node, now time.Duration) { n.TransferLease(now, rollout.Lease, "") })
	}},
}

// direction is the set of directions in which a partition cuts a host's messages.
type direction uint8

const (
	outbound direction = 1 << iota
	inbound
	bothDirections = outbound | inbound
)

// partition cuts a host from all others in the given directions.
func (c *Cluster) partition(h *fleetsim.Host, d direction) {
	for _, o := range c.Hosts {
		if o != h && d&outbound != 0 {
			c.Cut(h.Name, o.Name)
		}
		if o != h && d&inbound != 0 {
			c.Cut(o.Name, h.Name)
		}
	}
}

// restartAfter starts a host after a delay if it is down then.
func (c *Cluster) restartAfter(h *fleetsim.Host, d time.Duration) {
	c.After(d, func() {
		if !h.Up() {
			h.Start()
		}
	})
}
