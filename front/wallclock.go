package front

import (
	"time"

	"dapplerouter/routing"
)

// wallClock converts Unix times in milliseconds, as other processes report them, to the core's clock.
//
// The wall clock of this machine gives the conversion at the start. It may be wrong by hours at that time, because it may be stepped later.
// Times that servers report are better. The log position of a primary is its current time, so it lies between the time at which its
// statement was sent and the time at which its response arrived. (The response to a repeated write has the position of the first one's
// commit; see observeCommit.) The first such response is trusted. Later responses that contradict it
// are trusted only if several agree, because a single one may be corrupt or come from a server that is no longer primary.
//
// A step of a clock is suspected from its first sign until a primary's response, sent later, agrees with the conversion or corrects it.
// Signs are a response of a primary that contradicts the conversion, a step of this machine's wall clock, and a position of a replica in
// the future.
//
// Invariant: The conversion of a given Unix time changes only by shifts that are returned to the caller, so that converted times that are
// stored elsewhere can be shifted as well.
type wallClock struct {
	epoch     time.Time // wall-clock time of the other processes at 0 of the core's clock
	confirmed bool      // by a primary's response

	suspected   bool
	suspectedAt time.Duration // time of the last sign of a step
	ownOffset   time.Duration // of this machine's wall clock, as of its last step; see Clock

	earliest, latest time.Duration // the range of shifts on which the last contradicting responses agree
	contradicting    int           // number of these responses
}

const (
	clockSlack       = 20 * time.Millisecond  // tolerance for rounding to milliseconds and for differences between machines' clocks
	minStep          = 250 * time.Millisecond // smaller differences may be due to a pause of the process between two readings
	correctionQuorum = 3                      // number of consecutive contradicting responses after which they are trusted
	maxLoadReportAge = 10 * time.Second       // maximum age of the log position in a load report
)

// at converts a Unix time in milliseconds to the core's clock.
func (w *wallClock) at(ms int64) time.Duration { return time.UnixMilli(ms).Sub(w.epoch) }

// observePresent processes a reported time that was the current time at some point between from and until. It returns the shift by which
// it has changed the conversion, which is usually 0.
func (w *wallClock) observePresent(ms int64, from, until time.Duration) (shift time.Duration) {
	observed := w.at(ms)
	if observed >= from-clockSlack && observed <= until+clockSlack {
		if w.confirmed = true; from >= w.suspectedAt { // otherwise it may have been sent before the step
			w.suspected, w.contradicting = false, 0
		}
		return 0
	}
	w.suspect(until)
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

// observeCommit processes the position of a commit, reported in response to a write with an idempotency key that is remembered for window. If
// the write was a repeat, the position is that of the first commit, which may be older than the statement by up to the window. A position
// in that range may be past, so it neither confirms nor contradicts the conversion. Otherwise observeCommit is
// observePresent.
func (w *wallClock) observeCommit(ms int64, from, until, window time.Duration) (shift time.Duration) {
	if observed := w.at(ms); observed < from-clockSlack && observed >= from-window-clockSlack {
		return 0
	}
	return w.observePresent(ms, from, until)
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
	w.suspected, w.contradicting = false, 0
	return shift
}

// suspect records a sign of a step.
func (w *wallClock) suspect(now time.Duration) { w.suspected, w.suspectedAt = true, now }

// observeOwnClock processes a reading of Clock.WallOffset: a step of this machine's wall clock may be one of all machines.
func (w *wallClock) observeOwnClock(offset, now time.Duration) {
	if (offset - w.ownOffset).Abs() >= minStep {
		w.ownOffset = offset
		w.suspect(now)
	}
}

// trustsReport is trusts for a log position that a server has just reported. The first position of a replica that lies in the future is
// taken for a sign of a step. If the replica goes on reporting such positions, its own clock is wrong.
func (w *wallClock) trustsReport(s *serverState, role routing.Role, position, now time.Duration) bool {
	wasAhead := s.ahead
	s.ahead = role != routing.Primary && position > now+minStep
	if s.ahead && !wasAhead && w.confirmed {
		w.suspect(now)
	}
	return w.trusts(role, position, now)
}

// trusts reports whether a server's log position may be used. A primary's position is its current time and is always trusted. The position
// of another server is trusted only if the wall clock is confirmed and no step is suspected, and if the position does not lie in the future. A
// position in the future means that a clock was stepped, so that the server's lag is unknown.
func (w *wallClock) trusts(role routing.Role, position, now time.Duration) bool {
	return role == routing.Primary || w.confirmed && !w.suspected && position <= now+clockSlack
}
