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

func (AuditTick) take(c *Core, now time.Duration) {
	if c.bound.Auditor != nil {
		c.bound.Auditor.Tick(now)
	}
}

// CloseAudit is an event that ends the audit's book, behind all that was posted before. Done is called then.
type CloseAudit struct{ OnClosed func() }

func (e CloseAudit) take(c *Core, now time.Duration) {
	if c.bound.Auditor != nil {
		c.bound.Auditor.Close(now)
	}
	e.OnClosed()
}

// JoinFleet sets what a core stands on. It is called before Run.
func (c *Core) JoinFleet(b FleetOptions) {
	c.bound = b
	c.lapsed = b.Clock != nil // until the first right comes
	c.terms.right = c.newRight()
}

// terms are the bounds and windows of types by index, and the groups given up, of one version. They never change: a request keeps
// those that it was taken on.
type terms struct {
	version uint64
	types   []routing.RequestType
	givenUp map[int64]struct{}
	right   *ConfigLease // to act on it; nil where none is needed
}

// ConfigVersion is that of the rules in force. For hosts that step the core themselves; elsewhere Adopt's Done tells it.
func (c *Core) ConfigVersion() uint64 { return c.terms.version }

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

func (e AdoptConfig) take(c *Core, now time.Duration) {
	t := &terms{version: e.Version, types: c.types, givenUp: map[int64]struct{}{}, right: c.newRight()}
	if r := e.Rules; r != nil {
		t.types = append([]routing.RequestType{}, c.types...)
		put := func(name string, set func(*routing.RequestType)) {
			if i, ok := c.typeIDs.Lookup(name); ok {
				set(&t.types[i])
				if c.classes != nil && c.classes.undeclared[i] != i { // a write of a reading type, by another index
					set(&t.types[c.classes.undeclared[i]])
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
			t.givenUp[g] = struct{}{}
		}
	}
	if c.unanswered > c.older { // requests of the version before go on under its right
		c.past = append(c.past, c.terms)
	}
	c.terms = t
	c.older, c.alone = c.unanswered, e.OnOlderFinished
	if c.bound.Auditor != nil {
		c.bound.Auditor.ConfigAdopted(now, e.Version)
	}
	slog.Info("version in force", "version", e.Version, "given_up", len(t.givenUp))
	if e.OnAdopted != nil {
		e.OnAdopted(now)
	}
	if t.right != nil {
		c.renew(now, t, e.LeaseExpiry)
		if e.LeaseExpiry <= now && !c.lapsed {
			c.lapse(now)
		}
	}
	c.onlyNewest()
}

// onlyNewest tells, once, when no request of an older version is in hand any more.
func (c *Core) onlyNewest() {
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
	now   func() time.Duration
	until atomic.Int64
	ended atomic.Bool // it was found to have run out
}

// NewConfigLease makes one that has run out; now is the core's clock.
func NewConfigLease(now func() time.Duration) *ConfigLease { return &ConfigLease{now: now} }

// Valid tells whether it does, and notes where it does not.
func (r *ConfigLease) Valid() bool {
	if int64(r.now()) < r.until.Load() {
		return true
	}
	r.ended.Store(true)
	return false
}

func (c *Core) newRight() *ConfigLease {
	if c.bound.Clock == nil {
		return nil
	}
	return NewConfigLease(c.bound.Clock)
}

// over tells whether it has run out, or an attempt found it so.
func (r *ConfigLease) over(now time.Duration) bool {
	return int64(now) >= r.until.Load() || r.ended.Load()
}

// RenewLease is an event that lets the core act on a version until a moment of its clock. One that comes behind the end of the last
// ends all that is in hand on it first: nothing of it is answered by what was begun under another right.
type RenewLease struct {
	Version uint64
	Expiry  time.Duration
}

func (e RenewLease) take(c *Core, now time.Duration) {
	c.lapse(now)
	for _, t := range append(c.past, c.terms) {
		if t.version == e.Version && t.right != nil {
			c.renew(now, t, e.Expiry)
		}
	}
}

func (c *Core) renew(now time.Duration, t *terms, until time.Duration) {
	r := t.right
	if until <= now || int64(until) <= r.until.Load() || r.ended.Load() && t != c.terms {
		return
	}
	r.until.Store(int64(until))
	r.ended.Store(false)
	heap.Push(&c.alarms, alarm{at: until, right: true})
	if t != c.terms {
		return
	}
	if c.bound.Auditor != nil {
		c.bound.Auditor.LeaseChanged(now, until, false)
	}
	if c.lapsed {
		c.lapsed = false
		c.stands(false)
	}
}

// ExpireLease is an event that ends the right to a version now.
type ExpireLease struct{ Version uint64 }

func (e ExpireLease) take(c *Core, now time.Duration) {
	for _, t := range append(c.past, c.terms) {
		if t.version == e.Version && t.right != nil {
			t.right.until.Store(min(t.right.until.Load(), int64(now)))
		}
	}
	c.lapse(now)
}

// ActiveVersions are the versions on which the core may begin something at this moment. For hosts that step the core themselves.
func (c *Core) ActiveVersions() (all []uint64) {
	for _, t := range append(c.past, c.terms) {
		if t.right == nil || int64(t.right.now()) < t.right.until.Load() {
			all = append(all, t.version)
		}
	}
	return all
}

func (c *Core) stands(on bool) {
	if on {
		slog.Warn("the right to act has run out: no requests are taken until it is renewed")
	} else {
		slog.Info("requests are taken: there is a right to act")
	}
	if c.bound.OnStandby != nil {
		c.bound.OnStandby(on)
	}
}

// lapse ends all that is in hand on a version whose right has run out: each request gets its final answer at once, and nothing more goes
// out for it. A request of which something may have run promises nothing; of the others trying again is harmless.
func (c *Core) lapse(now time.Duration) {
	gone := false
	for _, t := range c.past {
		gone = gone || t.right != nil && t.right.over(now)
	}
	if t := c.terms; t.right != nil && !c.lapsed && t.right.over(now) {
		gone, c.lapsed = true, true
		if c.bound.Auditor != nil {
			c.bound.Auditor.LeaseChanged(now, time.Duration(t.right.until.Load()), true)
		}
		t.right.until.Store(0)
		c.stands(true)
	}
	if !gone {
		return
	}
	c.endAll(now, func(t *terms) bool { return t.right.over(now) })
}

// Shutdown is an event that ends all that is in hand: whoever waits for it will be gone soon. No request is taken behind it.
type Shutdown struct{}

func (Shutdown) take(c *Core, now time.Duration) {
	c.shut = true
	c.endAll(now, func(*terms) bool { return true })
}

// endAll gives each request in hand on some terms its final answer, and takes back what is out for it.
func (c *Core) endAll(now time.Duration, on func(*terms) bool) {
	c.slab.Each(func(ref routing.RequestRef, d *RequestEntry[*Request]) {
		if d.Finished || !on(d.Value.terms) {
			return
		}
		a := d.Value
		outs := append([]*Attempt{}, a.out...)
		endings := make([]routing.AttemptResult, len(outs))
		for i, s := range outs {
			if !s.done {
				endings[i] = routing.NotSent
				if s.cancel() {
					endings[i], a.mayRun = routing.Cancelled, true
				}
			}
		}
		f := Response{Status: StatusRejected, RetryAfter: c.comeBack, MayHaveRun: a.mayRun}
		if a.mayRun && c.types[a.typ].Idempotency != routing.Idempotent {
			f = Response{Status: StatusFailed}
		}
		c.answer(d, f)
		if len(outs) == 0 {
			c.decider.ClientGone(now, ref)
			c.slab.Release(ref)
		}
		for i, s := range outs {
			if endings[i] != routing.Succeeded { // it was out until now
				c.ended(s, routing.AttemptOutcome{Result: endings[i], Load: deployment.EmptyLoad}, nil)
			}
		}
	})
}
