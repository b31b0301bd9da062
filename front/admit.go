package front

import "dapplerouter/routing"

// accept gives a request its place and tells the module. Its time runs from its last byte, so what it has
// waited since is off its budget.
func (c *Core) accept(a *Request, t routing.Request) {
	a.deadline = a.ReceivedAt + min(a.Statement.Timeout, c.types[t.Type].Deadline) // nobody holds a place for longer than its type may
	a.ref = c.slab.Add(a)
	a.typeIndex = t.Type
	if c.fleet.Auditor != nil {
		a.auditSpan = c.fleet.Auditor.RequestAccepted(c.now, a.Statement.ID, a.typeIndex)
	}
	c.ids[string(a.Statement.ID)] = struct{}{}
	c.unanswered++
	t.Ref, t.Timeout = a.ref, a.deadline-c.now
	c.metrics.accepted++
	c.router.RequestReceived(c.now, t)
}
