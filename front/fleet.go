package front

import "time"

// FleetOptions are for a front that is one of a fleet, which publishes configuration versions and audits requests. The zero value is a
// front by itself.
type FleetOptions struct {
	Clock     func() time.Duration // the core's, for leases; nil where no lease is needed
	Auditor   Auditor              // nil for none
	OnStandby func(standby bool)   // the front accepts no requests from now on, or accepts them again; it must not block
}

// JoinFleet sets the options of a front that is one of a fleet. It is called before Run.
func (c *Core) JoinFleet(o FleetOptions) {
	c.fleet = o
	c.versions.standby = o.Clock != nil // until the first lease
	c.versions.current.lease = c.newLease()
}

// Auditor is notified of each request, by the core's goroutine; it must neither block nor allocate. RequestFinished follows exactly once
// on each RequestAccepted, with the span that it returned.
type Auditor interface {
	RequestAccepted(now time.Duration, id []byte, typ int) (span uint32)
	RequestFinished(now time.Duration, span uint32, typ int, status Status)
	EndpointsChanged(now time.Duration, index int64)
	ConfigAdopted(now time.Duration, version uint64)
	LeaseChanged(now, until time.Duration, standby bool)
	Tick(now time.Duration)  // now and then, also where nothing else happens
	Close(now time.Duration) // the front ends
}

// AuditTick is the event that lets the auditor act on the time.
type AuditTick struct{}

func (AuditTick) apply(c *Core, now time.Duration) {
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.Tick(now)
	}
}

// CloseAudit is the event that closes the audit log, behind all that was posted before; then it calls OnClosed.
type CloseAudit struct{ OnClosed func() }

func (e CloseAudit) apply(c *Core, now time.Duration) {
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.Close(now)
	}
	e.OnClosed()
}
