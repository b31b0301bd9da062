package fleet

import "time"

// Timing is the fleet's set of intervals and timeouts. All of them are ratios of LeaseDuration, so that one setting scales them
// together.
type Timing struct {
	LeaseDuration time.Duration // how long a lease is held without renewal
}

// DefaultLeaseDuration is the lease duration where the operator's form sets none.
const DefaultLeaseDuration = 3 * time.Second

// TickInterval is the interval at which Node.Tick should be called: 50 ms with a lease duration of 3 s.
func (t Timing) TickInterval() time.Duration { return t.LeaseDuration / 60 }

// HeartbeatInterval is the interval at which leaseholders request renewals and at which the leader sends heartbeats.
func (t Timing) HeartbeatInterval() time.Duration { return t.LeaseDuration / 6 }

// LinkTimeout is the time without a received message after which a link is closed.
func (t Timing) LinkTimeout() time.Duration { return t.LeaseDuration * 2 / 3 }

// HandshakeTimeout is how long the handshake of a new link may take.
func (t Timing) HandshakeTimeout() time.Duration { return t.LinkTimeout() }

// ConfigLeaseExpiredAfter is the time after which a configuration lease of the given duration has expired at every front. It counts from when
// the lease was refused to all fronts, on the clock of the front that refused it.
func (t Timing) ConfigLeaseExpiredAfter(configLease time.Duration) time.Duration {
	return upperBound(configLease)
}

// reportInterval is the interval at which a front without leases sends its membership record.
func (t Timing) reportInterval() time.Duration { return t.LeaseDuration / 2 }

// electionTimeout is the minimum time without contact with a leader after which a voter campaigns. The maximum is twice this.
func (t Timing) electionTimeout() time.Duration { return t.LeaseDuration / 6 }

// isolationTimeout is the time without a received heartbeat after which a front counts as isolated.
func (t Timing) isolationTimeout() time.Duration { return t.LeaseDuration }

// holderLease is how long the leaseholder uses its lease without renewal: the lease duration less a margin.
func (t Timing) holderLease() time.Duration { return lowerBound(t.LeaseDuration) }

// leaderLease is how long the leader waits until a lease has expired: the lease duration plus a margin.
func (t Timing) leaderLease() time.Duration { return upperBound(t.LeaseDuration) }

// lowerBound is the duration of a lease as its holder counts it: an eighth less than d.
//
// Both sides of a lease apply a margin; the side that grants it counts upperBound. Where the clock of one side is a tenth fast and
// the other's a tenth slow, the holder still ends first: 7/8 x 1.1/0.9 = 1.07 < 9/8.
func lowerBound(d time.Duration) time.Duration { return d * 7 / 8 }

// upperBound is the duration of a lease as the side that grants it counts it: an eighth more than d. See lowerBound.
func upperBound(d time.Duration) time.Duration { return d * 9 / 8 }
