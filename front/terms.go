package front

import (
	"container/heap"
	"log/slog"
	"sync/atomic"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// FleetOptions is what a core stands on where its front is one of a fleet that publishes versions and audits; the zero value is a
// front by itself, which pays nothing for it.
type FleetOptions struct {
	Clock     func() time.Duration // the core's, for whoever is about to write; nil where no right is needed
	Auditor   Auditor
	OnStandby func(standing bool) // the front takes no requests from now on, or takes them again; it must not block
}

// Auditor hears of each request, from the core's goroutine: it must neither block nor allocate. Ended comes once for each Taken.
type Auditor interface {
	RequestAccepted(now time.Duration, id []byte, typ int) (span uint32)
	RequestFinished(now time.Duration, span uint32, typ int, w Status)
	EndpointsChanged(now time.Duration, index int64) // the list's version is another
	ConfigAdopted(now time.Duration, version uint64) // the terms are
	LeaseChanged(now, until time.Duration, standby bool)
	Tick(now time.Duration)  // now and then, though nothing comes
	Close(now time.Duration) // the front ends
}

// AuditTick is an event that gives the audit its time.
type AuditTick struct{}

func (AuditTick) apply(c *Core, now time.Duration) {
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.Tick(now)
	}
}

// CloseAudit is an event that ends the audit's book, behind all that was posted before. Done is called then.
type CloseAudit struct{ OnClosed func() }

func (e CloseAudit) apply(c *Core, now time.Duration) {
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.Close(now)
	}
	e.OnClosed()
}

// JoinFleet sets what a core stands on. It is called before Run.
func (c *Core) JoinFleet(b FleetOptions) {
	c.fleet = b
	c.lapsed = b.Clock != nil // until the first right comes
	c.terms.lease = c.newLease()
}

// configVersion are the bounds and windows of types by index, and the groups given up, of one version. They never change: a request keeps
// those that it was taken on.
type configVersion struct {
	number         uint64
	types          []routing.RequestType
	rejectedGroups map[int64]struct{}
	lease          *ConfigLease // to act on it; nil where none is needed
}

// ConfigVersion is that of the rules in force. For hosts that step the core themselves; elsewhere Adopt's Done tells it.
func (c *Core) ConfigVersion() uint64 { return c.terms.number }

// Standby tells the same way whether the core stands by without a right.
func (c *Core) Standby() bool { return c.lapsed }

// AdoptConfig is an event that puts a version's rules in force for all requests that come from now on; those in hand keep theirs.
// Done hears the moment, from the core's goroutine; Alone hears, at that moment or later, that no request is in hand any more
// that was taken on another version: from then on the front acts on this one alone.
type AdoptConfig struct {
	Version         uint64
	Rules           *deployment.Rules // checked against the site before
	LeaseExpiry     time.Duration     // the right to act on it, where one is needed
	OnAdopted       func(at time.Duration)
	OnOlderFinished func()
}

func (e AdoptConfig) apply(c *Core, now time.Duration) {
	t := &configVersion{number: e.Version, types: c.types, rejectedGroups: map[int64]struct{}{}, lease: c.newLease()}
	if r := e.Rules; r != nil {
		t.types = append([]routing.RequestType{}, c.types...)
		put := func(name string, set func(*routing.RequestType)) {
			if i, ok := c.typeIDs.Lookup(name); ok {
				set(&t.types[i])
				if c.classes != nil && c.classes.writeTypes[i] != i { // a write of a reading type, by another index
					set(&t.types[c.classes.writeTypes[i]])
				}
			}
		}
		for name, d := range r.MaxStaleness {
			put(name, func(ty *routing.RequestType) { ty.MaxStaleness = min(ty.MaxStaleness, d) })
		}
		for name, d := range r.DedupWindows {
			put(name, func(ty *routing.RequestType) { ty.DedupWindow = min(ty.DedupWindow, d) })
		}
		for _, g := range r.RejectedGroups {
			t.rejectedGroups[g] = struct{}{}
		}
	}
	if c.unanswered > c.older { // requests of the version before go on under its right
		c.past = append(c.past, c.terms)
	}
	c.terms = t
	c.older, c.alone = c.unanswered, e.OnOlderFinished
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.ConfigAdopted(now, e.Version)
	}
	slog.Info("version in force", "version", e.Version, "given_up", len(t.rejectedGroups))
	if e.OnAdopted != nil {
		e.OnAdopted(now)
	}
	if t.lease != nil {
		c.renewLease(now, t, e.LeaseExpiry)
		if e.LeaseExpiry <= now && !c.lapsed {
			c.expireLeases(now)
		}
	}
	c.releaseOlder()
}

// releaseOlder tells, once, when no request of an older version is in hand any more.
func (c *Core) releaseOlder() {
	if c.older == 0 {
		c.past = nil
	}
	if c.older == 0 && c.alone != nil {
		call := c.alone
		c.alone = nil
		call()
	}
}

// ConfigLease is until when a front may act on what it has. Behind it no attempt begins, whoever is about to write it: the
// front may have stood still since the core looked. The core alone renews it.
type ConfigLease struct {
	now          func() time.Duration
	expiry       atomic.Int64
	foundExpired atomic.Bool // it was found to have run out
}

// NewConfigLease makes one that has run out; now is the core's clock.
func NewConfigLease(now func() time.Duration) *ConfigLease { return &ConfigLease{now: now} }

// Valid tells whether it does, and notes where it does not.
func (r *ConfigLease) Valid() bool {
	if int64(r.now()) < r.expiry.Load() {
		return true
	}
	r.foundExpired.Store(true)
	return false
}

func (c *Core) newLease() *ConfigLease {
	if c.fleet.Clock == nil {
		return nil
	}
	return NewConfigLease(c.fleet.Clock)
}

// expired tells whether it has run out, or an attempt found it so.
func (r *ConfigLease) expired(now time.Duration) bool {
	return int64(now) >= r.expiry.Load() || r.foundExpired.Load()
}

// RenewLease is an event that lets the core act on a version until a moment of its clock. One that comes behind the end of the last
// ends all that is in hand on it first: nothing of it is answered by what was begun under another right.
type RenewLease struct {
	Version uint64
	Expiry  time.Duration
}

func (e RenewLease) apply(c *Core, now time.Duration) {
	c.expireLeases(now)
	for _, t := range append(c.past, c.terms) {
		if t.number == e.Version && t.lease != nil {
			c.renewLease(now, t, e.Expiry)
		}
	}
}

func (c *Core) renewLease(now time.Duration, t *configVersion, until time.Duration) {
	r := t.lease
	if until <= now || int64(until) <= r.expiry.Load() || r.foundExpired.Load() && t != c.terms {
		return
	}
	r.expiry.Store(int64(until))
	r.foundExpired.Store(false)
	heap.Push(&c.alarms, timer{at: until, leaseExpiry: true})
	if t != c.terms {
		return
	}
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.LeaseChanged(now, until, false)
	}
	if c.lapsed {
		c.lapsed = false
		c.setStandby(false)
	}
}

// ExpireLease is an event that ends the right to a version now.
type ExpireLease struct{ Version uint64 }

func (e ExpireLease) apply(c *Core, now time.Duration) {
	for _, t := range append(c.past, c.terms) {
		if t.number == e.Version && t.lease != nil {
			t.lease.expiry.Store(min(t.lease.expiry.Load(), int64(now)))
		}
	}
	c.expireLeases(now)
}

// ActiveVersions are the versions on which the core may begin something at this moment. For hosts that step the core themselves.
func (c *Core) ActiveVersions() (all []uint64) {
	for _, t := range append(c.past, c.terms) {
		if t.lease == nil || int64(t.lease.now()) < t.lease.expiry.Load() {
			all = append(all, t.number)
		}
	}
	return all
}

func (c *Core) setStandby(on bool) {
	if on {
		slog.Warn("the right to act has run out: no requests are taken until it is renewed")
	} else {
		slog.Info("requests are taken: there is a right to act")
	}
	if c.fleet.OnStandby != nil {
		c.fleet.OnStandby(on)
	}
}

// expireLeases ends all that is in hand on a version whose right has run out: each request gets its final answer at once, and nothing more goes
// out for it. A request of which something may have run promises nothing; of the others trying again is harmless.
func (c *Core) expireLeases(now time.Duration) {
	gone := false
	for _, t := range c.past {
		gone = gone || t.lease != nil && t.lease.expired(now)
	}
	if t := c.terms; t.lease != nil && !c.lapsed && t.lease.expired(now) {
		gone, c.lapsed = true, true
		if c.fleet.Auditor != nil {
			c.fleet.Auditor.LeaseChanged(now, time.Duration(t.lease.expiry.Load()), true)
		}
		t.lease.expiry.Store(0)
		c.setStandby(true)
	}
	if !gone {
		return
	}
	c.finishAll(now, func(t *configVersion) bool { return t.lease.expired(now) })
}

// Shutdown is an event that ends all that is in hand: whoever waits for it will be gone soon. No request is taken behind it.
type Shutdown struct{}

func (Shutdown) apply(c *Core, now time.Duration) {
	c.shut = true
	c.finishAll(now, func(*configVersion) bool { return true })
}

// finishAll gives each request in hand on some terms its final answer, and takes back what is out for it.
func (c *Core) finishAll(now time.Duration, on func(*configVersion) bool) {
	c.slab.Each(func(ref routing.RequestRef, d *RequestEntry[*Request]) {
		if d.Finished || !on(d.Value.version) {
			return
		}
		a := d.Value
		outs := append([]*Attempt{}, a.inFlight...)
		endings := make([]routing.AttemptResult, len(outs))
		for i, s := range outs {
			if !s.finished {
				endings[i] = routing.NotSent
				if s.cancel() {
					endings[i], a.mayHaveRun = routing.Cancelled, true
				}
			}
		}
		f := Response{Status: StatusRejected, RetryAfter: c.comeBack, MayHaveRun: a.mayHaveRun}
		if a.mayHaveRun && c.types[a.typeIndex].Idempotency != routing.Idempotent {
			f = Response{Status: StatusFailed}
		}
		c.respond(d, f)
		if len(outs) == 0 {
			c.router.ClientGone(now, ref)
			c.slab.Release(ref)
		}
		for i, s := range outs {
			if endings[i] != routing.Succeeded { // it was out until now
				c.attemptFinished(s, routing.AttemptOutcome{Result: endings[i], Load: deployment.EmptyLoad}, nil)
			}
		}
	})
}
