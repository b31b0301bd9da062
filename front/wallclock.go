package front

import (
	"time"

	"dapplerouter/routing"
)

// wallClock puts Unix times that others report, in milliseconds, on the core's clock.
//
// The wall clock of this machine is read once, at the start, and may be wrong by hours then, since it may be stepped. Times that
// servers report are better: the position of a primary is the present, so it lies between the moments in which its statement was sent
// and its response came. The first such response is believed; later ones that contradict it are believed only where several agree,
// since one may be corrupt, or of a server that was primary before.
//
// Invariant: a time that others reported moves on the core's clock only by a shift that is returned, so that whoever keeps such times
// can move them too.
type wallClock struct {
	epoch     time.Time // the others' wall clock at 0 of the core's clock
	confirmed bool      // by a primary's response

	earliest, latest time.Duration // the shifts that the last contradicting responses agree on
	contradicting    int           // how many of them there are
}

const (
	clockSlack       = 20 * time.Millisecond // by which clocks in milliseconds, and of several machines, may differ
	correctionQuorum = 3                     // contradicting responses in a row that are believed
	maxLoadReportAge = 10 * time.Second      // of the position in a load report
)

// at returns the moment of the core's clock for a Unix time in milliseconds.
func (w *wallClock) at(ms int64) time.Duration { return time.UnixMilli(ms).Sub(w.epoch) }

// observePresent takes a time that was the present at some moment between two. It returns by how much times have moved since, which
// is mostly 0.
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
	return w.shiftBy(earliest) // so that positions look as old as they can be
}

// observePast takes a time that lies in the past. Until the present is confirmed, one in the future shows that the clock is behind.
func (w *wallClock) observePast(ms int64, now time.Duration) (shift time.Duration) {
	if observed := w.at(ms); !w.confirmed && observed > now+clockSlack {
		return w.shiftBy(now - observed)
	}
	return 0
}

func (w *wallClock) shiftBy(shift time.Duration) time.Duration {
	w.epoch = w.epoch.Add(-shift)
	w.contradicting = 0
	return shift
}

// trusts reports whether a server's log position may count. A primary's is the present. Another's counts only once the present is
// confirmed, not while a primary's response contradicts it, and never where it lies in the future: then a clock was stepped, and how
// far the server is behind is not known.
func (w *wallClock) trusts(role routing.Role, position, now time.Duration) bool {
	return role == routing.Primary || w.confirmed && w.contradicting == 0 && position <= now+clockSlack
}
