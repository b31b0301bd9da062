package front

import "dapplerouter/routing"

// admit gives a request its place and tells the module. Its time runs from its last byte, so what it has
// waited since is off its budget.
func (c *Core) admit(a *Request, t routing.Request) {
	a.expiry = a.ReceivedAt + min(a.Statement.Timeout, c.types[t.Type].Deadline) // nobody holds a place for longer than its type may
	a.ref = c.slab.Add(a)
	a.typ = t.Type
	if c.bound.Auditor != nil {
		a.span = c.bound.Auditor.RequestAccepted(c.now, a.Statement.ID, a.typ)
	}
	c.ids[string(a.Statement.ID)] = struct{}{}
	c.unanswered++
	t.Ref, t.Timeout = a.ref, a.expiry-c.now
	c.metrics.taken++
	c.decider.RequestReceived(c.now, t)
}
