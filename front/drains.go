package front

import (
	"slices"

	"dapplerouter/routing"
)

// serves notes whether the list lets new work go to a member.
func (c *Core) serves(member int, serving bool) {
	for len(c.serving) <= member {
		c.serving = append(c.serving, false)
	}
	c.serving[member] = serving
}

// cancelDrained ends what waits for a connection to members that take nothing new any more, so that nothing goes out however late
// the connection comes up: the module hears that it was never sent.
func (c *Core) cancelDrained() {
	for _, s := range c.unsent() {
		if s.member >= len(c.serving) || !c.serving[s.member] {
			c.cancelUnsent(s)
		}
	}
}

// unsent are the attempts of which nothing has gone out.
func (c *Core) unsent() (all []*Attempt) {
	c.slab.Each(func(_ routing.RequestRef, slot *RequestEntry[*Request]) { all = append(all, slot.Value.out...) })
	return slices.DeleteFunc(all, func(s *Attempt) bool { return s.done || s.stage.Load() != waiting })
}
