package front

import "time"

// FleetOptions configure a front that belongs to a fleet, which publishes configuration versions and audits requests. The zero value
// configures a standalone front.
type FleetOptions struct {
	Clock     func() time.Duration // the core's clock, for leases; nil if no lease is needed
	Auditor   Auditor              // nil for none
	OnStandby func(standby bool)   // called when the front stops accepting requests (true) or resumes (false); must not block
}

// JoinFleet makes the core that of a front in a fleet. It must be called before Run. With a Clock, the core accepts no requests until
// its first lease.
func (c *Core) JoinFleet(o FleetOptions) {
	c.fleet = o
	c.versions.standby = o.Clock != nil // until the first lease is granted
	c.versions.current.lease = c.newLease()
}

// Auditor records requests and changes of the core's state. The core's goroutine calls it, with times of the core's clock; its methods
// must neither block nor allocate. For each RequestAccepted there is exactly one later RequestFinished, with the audit interval that
// RequestAccepted returned. typ is the index of the request type.
type Auditor interface {
	RequestAccepted(now time.Duration, id []byte, typ int) (interval uint32)
	RequestFinished(now time.Duration, interval uint32, typ int, status Status)
	EndpointsChanged(now time.Duration, index int64)
	ConfigAdopted(now time.Duration, version uint64)
	LeaseChanged(now, until time.Duration, standby bool)
	Tick(now time.Duration)  // called for AuditTick events
	Close(now time.Duration) // called when the front terminates
}

// AuditTick is the event that calls the auditor's Tick. It is posted regularly, also while the front is idle, so that the auditor can close
// its intervals in time.
type AuditTick struct{}

// apply calls the auditor's Tick, if there is an auditor.
func (AuditTick) apply(c *Core, now time.Duration) {
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.Tick(now)
	}
}

// CloseAudit is the event that closes the audit log after all events posted before it. It then calls OnClosed.
type CloseAudit struct{ OnClosed func() }

// apply closes the audit log, if there is an auditor, and calls OnClosed in any case.
func (e CloseAudit) apply(c *Core, now time.Duration) {
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.Close(now)
	}
	e.OnClosed()
}
