package front

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// ConfigLease permits the front to act on a configuration version until its expiry. After the expiry no attempt may be sent. Each sender
// checks the lease itself, because the process may have been suspended since the core checked it. Only the core renews a lease.
type ConfigLease struct {
	clock        func() time.Duration
	expiry       atomic.Int64 // in nanoseconds of the clock
	foundExpired atomic.Bool  // a sender found the lease expired: the core must finish its requests even if it is renewed meanwhile
}

// NewConfigLease creates a lease that has already expired. clock is the core's clock.
func NewConfigLease(clock func() time.Duration) *ConfigLease { return &ConfigLease{clock: clock} }

// unexpired reports whether the expiry is in the future. Unlike Valid, it does not record that the lease was found expired.
func (l *ConfigLease) unexpired() bool { return int64(l.clock()) < l.expiry.Load() }

// Valid reports whether the lease has not expired. If it returns false, the core finishes all requests under the lease, even if the
// lease is renewed afterwards. Valid may be called from any goroutine.
func (l *ConfigLease) Valid() bool {
	if l.unexpired() {
		return true
	}
	l.foundExpired.Store(true)
	return false
}

// expired reports whether the requests under the lease must be finished: the lease has expired, or a sender found it expired.
func (l *ConfigLease) expired(now time.Duration) bool {
	return int64(now) >= l.expiry.Load() || l.foundExpired.Load()
}

// renew sets the expiry and clears foundExpired, the mark that a sender has found the lease expired. It does not compare: an earlier until
// would shorten the lease, so renewLease calls it only with a later one.
func (l *ConfigLease) renew(until time.Duration) {
	l.expiry.Store(int64(until))
	l.foundExpired.Store(false)
}

// end makes the lease expire at now unless it has expired before.
func (l *ConfigLease) end(now time.Duration) { l.expiry.Store(min(l.expiry.Load(), int64(now))) }

// newLease creates the lease of a configuration version. It returns nil if the front needs no lease.
func (c *Core) newLease() *ConfigLease {
	if c.fleet.Clock == nil {
		return nil
	}
	return NewConfigLease(c.fleet.Clock)
}

// RenewLease is the event that extends the lease of a configuration version. If the lease has expired, all requests under it are finished
// first, so that none of them is answered by an attempt that was started before the renewal.
type RenewLease struct {
	Version uint64
	Expiry  time.Duration
}

// apply finishes the requests under leases that have expired, and then renews the lease of the version. It ignores a version on which the
// front no longer acts.
func (e RenewLease) apply(c *Core, now time.Duration) {
	c.expireLeases(now)
	for _, v := range c.versions.all() {
		if v.number == e.Version && v.lease != nil {
			c.renewLease(now, v, e.Expiry)
		}
	}
}

// renewLease extends the lease of a version. If that version is the current one, it also ends the standby. It ignores an expiry that has
// passed or is not later than the present one. The lease of an older version is not renewed once a sender has found it expired.
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

// ExpireLease is the event that makes the lease of a configuration version expire immediately.
type ExpireLease struct{ Version uint64 }

// apply ends the lease and finishes all requests under the version. If it is the current version, the front enters standby.
func (e ExpireLease) apply(c *Core, now time.Duration) {
	for _, v := range c.versions.all() {
		if v.number == e.Version && v.lease != nil {
			v.lease.end(now)
		}
	}
	c.expireLeases(now)
}

// expireLeases finishes all requests under versions whose lease has expired. If the lease of the current version has expired, the front
// enters standby.
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

// setStandby begins or ends the standby, in which the front rejects new requests because it has no valid lease.
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
