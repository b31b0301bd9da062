package front

import (
	"slices"

	"dapplerouter/routing"
)

// setServing notes whether the list lets new work go to a member.
func (c *Core) setServing(member int, serving bool) {
	for len(c.serving) <= member {
		c.serving = append(c.serving, false)
	}
	c.serving[member] = serving
}

// cancelUnsentToDraining ends what waits for a connection to members that take nothing new any more, so that nothing goes out however late
// the connection comes up: the module hears that it was never sent.
func (c *Core) cancelUnsentToDraining() {
	for _, s := range c.unsentAttempts() {
		if s.server >= len(c.serving) || !c.serving[s.server] {
			c.cancelUnsent(s)
		}
	}
}

// unsentAttempts are the attempts of which nothing has gone out.
func (c *Core) unsentAttempts() (all []*Attempt) {
	c.slab.Each(func(_ routing.RequestRef, slot *RequestEntry[*Request]) { all = append(all, slot.Value.inFlight...) })
	return slices.DeleteFunc(all, func(s *Attempt) bool { return s.finished || s.state.Load() != stateWaiting })
}
