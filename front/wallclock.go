package front

import (
	"time"

	"dapplerouter/routing"
)

// wallClock converts Unix times in milliseconds, as other processes report them, to the core's clock.
//
// The wall clock of this machine is read only once, at the start. It may be wrong by hours at that time, because it may be stepped later.
// Times that servers report are better. The log position of a primary is its current time, so it lies between the time at which its
// statement was sent and the time at which its response arrived. The first such response is trusted. Later responses that contradict it
// are trusted only if several agree, because a single one may be corrupt or come from a server that is no longer primary.
//
// Invariant: The conversion of a given Unix time changes only by shifts that are returned to the caller, so that converted times that are
// stored elsewhere can be shifted as well.
type wallClock struct {
	epoch     time.Time // wall-clock time of the other processes at 0 of the core's clock
	confirmed bool      // by a primary's response

	earliest, latest time.Duration // the range of shifts on which the last contradicting responses agree
	contradicting    int           // number of these responses
}

const (
	clockSlack       = 20 * time.Millisecond // tolerance for rounding to milliseconds and for differences between machines' clocks
	correctionQuorum = 3                     // number of consecutive contradicting responses after which they are trusted
	maxLoadReportAge = 10 * time.Second      // maximum age of the log position in a load report
)

// at converts a Unix time in milliseconds to the core's clock.
func (w *wallClock) at(ms int64) time.Duration { return time.UnixMilli(ms).Sub(w.epoch) }

// observePresent processes a reported time that was the current time at some point between from and until. It returns the shift by which
// it has changed the conversion, which is usually 0.
func (w *wallClock) observePresent(ms int64, from, until time.Duration) (shift time.Duration) {
	observed := w.at(ms)
	if observed >= from-clockSlack && observed <= until+clockSlack {
		w.confirmed, w.contradicting = true, 0
		return 0
	}
	earliest, latest := from-observed, until-observed
	if w.contradicting > 0 && earliest <= w.latest+clockSlack && latest >= w.earliest-clockSlack {
		earliest, latest = max(earliest, w.earliest), min(latest, w.latest)
		w.contradicting++
	} else {
		w.contradicting = 1
	}
	w.earliest, w.latest = earliest, latest
	if w.confirmed && w.contradicting < correctionQuorum {
		return 0
	}
	w.confirmed = true
	return w.shiftBy(earliest) // the smallest possible shift makes positions look as old as possible
}

// observePast processes a reported time that lies in the past. If it would be in the future, the wall clock is behind; it is corrected
// unless a primary's response has confirmed it. The result is the shift, as in observePresent.
func (w *wallClock) observePast(ms int64, now time.Duration) (shift time.Duration) {
	if observed := w.at(ms); !w.confirmed && observed > now+clockSlack {
		return w.shiftBy(now - observed)
	}
	return 0
}

// shiftBy adds a shift to all future conversions and returns it.
func (w *wallClock) shiftBy(shift time.Duration) time.Duration {
	w.epoch = w.epoch.Add(-shift)
	w.contradicting = 0
	return shift
}

// trusts reports whether a server's log position may be used. A primary's position is its current time and is always trusted. The position
// of another server is trusted only if the wall clock is confirmed, if no recent response of a primary contradicts it, and if the position
// does not lie in the future. A position in the future means that a clock was stepped, so that the server's lag is unknown.
func (w *wallClock) trusts(role routing.Role, position, now time.Duration) bool {
	return role == routing.Primary || w.confirmed && w.contradicting == 0 && position <= now+clockSlack
}
