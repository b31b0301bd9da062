package front

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// ConfigLease is the right to act on a configuration version, until a moment of the core's clock. Once it has expired no attempt
// begins: whoever is about to send checks it, since the front may have stood still since the core looked. Only the core renews it.
type ConfigLease struct {
	clock        func() time.Duration
	expiry       atomic.Int64 // nanoseconds of the clock
	foundExpired atomic.Bool  // a sender found it expired: the core ends its requests though it be renewed meanwhile
}

// NewConfigLease makes a lease that has expired; clock is the core's.
func NewConfigLease(clock func() time.Duration) *ConfigLease { return &ConfigLease{clock: clock} }

// holds reports whether the lease has not expired.
func (l *ConfigLease) holds() bool { return int64(l.clock()) < l.expiry.Load() }

// Valid reports whether the lease has not expired; an expiry that it finds is final for the requests under the lease. It may be called
// from any goroutine.
func (l *ConfigLease) Valid() bool {
	if l.holds() {
		return true
	}
	l.foundExpired.Store(true)
	return false
}

// expired reports whether the lease has expired for the requests under it.
func (l *ConfigLease) expired(now time.Duration) bool {
	return int64(now) >= l.expiry.Load() || l.foundExpired.Load()
}

func (l *ConfigLease) renew(until time.Duration) {
	l.expiry.Store(int64(until))
	l.foundExpired.Store(false)
}

// end makes the lease expire now at the latest.
func (l *ConfigLease) end(now time.Duration) { l.expiry.Store(min(l.expiry.Load(), int64(now))) }

// newLease makes the lease of a version; nil where none is needed.
func (c *Core) newLease() *ConfigLease {
	if c.fleet.Clock == nil {
		return nil
	}
	return NewConfigLease(c.fleet.Clock)
}

// RenewLease is the event that the lease of a version is extended. Where the lease had expired, all requests under it are finished
// first: none of them gets a response of an attempt that was started under the lease before.
type RenewLease struct {
	Version uint64
	Expiry  time.Duration
}

func (e RenewLease) apply(c *Core, now time.Duration) {
	c.expireLeases(now)
	for _, v := range c.versions.all() {
		if v.number == e.Version && v.lease != nil {
			c.renewLease(now, v, e.Expiry)
		}
	}
}

// renewLease extends the lease of a version, and ends the standby where that is the current one. An older version's lease that was
// found expired is not renewed.
func (c *Core) renewLease(now time.Duration, v *configVersion, until time.Duration) {
	current := v == c.versions.current
	if until <= now || int64(until) <= v.lease.expiry.Load() || v.lease.foundExpired.Load() && !current {
		return
	}
	v.lease.renew(until)
	c.timers.add(timer{at: until, kind: timerLeaseExpiry})
	if !current {
		return
	}
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.LeaseChanged(now, until, false)
	}
	if c.versions.standby {
		c.setStandby(false)
	}
}

// ExpireLease is the event that the lease of a version ends now.
type ExpireLease struct{ Version uint64 }

func (e ExpireLease) apply(c *Core, now time.Duration) {
	for _, v := range c.versions.all() {
		if v.number == e.Version && v.lease != nil {
			v.lease.end(now)
		}
	}
	c.expireLeases(now)
}

// expireLeases finishes all requests under a version whose lease has expired. Where that is the current version, the front is in
// standby from then on.
func (c *Core) expireLeases(now time.Duration) {
	expired := false
	for _, v := range c.versions.older {
		expired = expired || v.lease != nil && v.lease.expired(now)
	}
	if lease := c.versions.current.lease; lease != nil && !c.versions.standby && lease.expired(now) {
		expired = true
		if c.fleet.Auditor != nil {
			c.fleet.Auditor.LeaseChanged(now, time.Duration(lease.expiry.Load()), true)
		}
		lease.expiry.Store(0)
		c.setStandby(true)
	}
	if expired {
		c.finishAll(now, func(v *configVersion) bool { return v.lease.expired(now) })
	}
}

// setStandby begins or ends the standby, in which new requests are rejected for want of a lease.
func (c *Core) setStandby(on bool) {
	c.versions.standby = on
	if on {
		slog.Warn("configuration lease expired: rejecting new requests")
	} else {
		slog.Info("configuration lease valid: accepting requests")
	}
	if c.fleet.OnStandby != nil {
		c.fleet.OnStandby(on)
	}
}
