package front

import (
	"time"

	"dapplerouter/routing"
)

// wallClock puts Unix times that others tell, in milliseconds, on the core's clock.
//
// The wall clock is read once, at the start, and may be an hour off then: a machine's wall clock may be stepped. What was heard,
// and when by the monotonic clock, tells more: a primary's position is the present, so it lies between the moments in which its
// statement went out and its answer came. The first such answer is believed; later ones that contradict it only where several agree,
// since one may be spoilt, or of a server that was primary.
//
// Invariant: a time told by others moves on the core's clock only by a shift that is returned, so that whoever keeps such times can
// move them too.
type wallClock struct {
	epoch     time.Time // by the others' wall clock, at 0 of the core's
	confirmed bool      // by a primary's answer

	earliest, latest time.Duration // shifts that the last contradicting answers agree on
	contradicting    int           // how many of them there are
}

const (
	clockSlack       = 20 * time.Millisecond // what clocks of milliseconds and of several machines may differ by
	correctionQuorum = 3                     // contradicting answers, one behind the other, that are believed
	maxLoadReportAge = 10 * time.Second      // how old the position in a load report may be
)

// at is a Unix time in milliseconds on the core's clock.
func (l *wallClock) at(ms int64) time.Duration { return time.UnixMilli(ms).Sub(l.epoch) }

// observePresent takes a time that was the present at some moment between two. It returns by how much times have moved since, mostly 0.
func (l *wallClock) observePresent(ms int64, from, until time.Duration) (shift time.Duration) {
	told := l.at(ms)
	if told >= from-clockSlack && told <= until+clockSlack {
		l.confirmed, l.contradicting = true, 0
		return 0
	}
	earliest, latest := from-told, until-told
	if l.contradicting > 0 && earliest <= l.latest+clockSlack && latest >= l.earliest-clockSlack {
		earliest, latest = max(earliest, l.earliest), min(latest, l.latest)
		l.contradicting++
	} else {
		l.contradicting = 1
	}
	l.earliest, l.latest = earliest, latest
	if l.confirmed && l.contradicting < correctionQuorum {
		return 0
	}
	l.confirmed = true
	return l.shiftBy(earliest) // positions look as old as they can be
}

// observePast takes a time that lies in the past. Until the present is confirmed, it tells that the clock is behind.
func (l *wallClock) observePast(ms int64, now time.Duration) (shift time.Duration) {
	if told := l.at(ms); !l.confirmed && told > now+clockSlack {
		return l.shiftBy(now - told)
	}
	return 0
}

func (l *wallClock) shiftBy(by time.Duration) time.Duration {
	l.epoch = l.epoch.Add(-by)
	l.contradicting = 0
	return by
}

// trustsPosition tells whether a position that a member tells may count. A primary's is the present. Another's counts only once the present
// is known, and never where it lies ahead of it: then a clock was stepped, and it tells nothing of how far that member is behind.
func (c *Core) trustsPosition(role routing.Role, position time.Duration) bool {
	return role == routing.Primary || c.confirmed && position <= c.now+clockSlack
}

// serverAddress is where a member is reached, and when it started last.
type serverAddress struct {
	address   string
	startedAt int64 // Unix milliseconds, 0 for long ago
}

// fromUnix puts a Unix time in milliseconds on the clock of this instance.
func (c *Core) fromUnix(ms int64) time.Duration { return c.wallClock.at(ms) }

// setAddress tells the pools where a member is reached.
func (c *Core) setAddress(member int, p serverAddress) {
	for len(c.places) <= member {
		c.places = append(c.places, serverAddress{})
	}
	c.places[member] = p
	c.pools.SetAddress(member, p.address, c.uptime(p.startedAt))
}

// uptime is how long ago a member started.
func (c *Core) uptime(since int64) time.Duration {
	if since == 0 {
		return unknownUptime
	}
	return max(0, c.now-c.fromUnix(since))
}

// unknownUptime is the age of a member that started before anyone can say.
const unknownUptime = 100 * 365 * 24 * time.Hour

// clockCorrected tells all who keep times of others that these have moved.
func (c *Core) clockCorrected(shift time.Duration) {
	if shift == 0 {
		return
	}
	c.router.ClockCorrected(c.now, shift)
	for member, p := range c.places {
		if p.startedAt != 0 && p.address != "" {
			c.pools.SetAddress(member, p.address, c.uptime(p.startedAt))
		}
	}
}
