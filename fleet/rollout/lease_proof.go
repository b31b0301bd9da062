package rollout

import (
	"time"

	"dapplerouter/fleet"
)

// maxUnconfirmedDigests is how many answers wait for the confirmation that their leader still led.
const maxUnconfirmedDigests = 8

// leaseProof finds the fronts whose configuration leases have provably expired, without waiting out a whole lease from the moment
// at which a version was disallowed.
//
// A configuration lease counts from when its front asked for it, and only a leader that heard the front renews it. Where a leader
// has not heard a front for as long as a lease may last on the front's own clock, and led for all of that time, every lease of the
// front has expired: those of earlier leaders were asked for before this one was elected. A leader that was paused or cut off may
// answer after another was elected, so an answer counts only once a majority confirmed, later, that the same leader led in the same
// term: this front's own lease roll is renewed by such confirmations.
//
// The proof says that a front has no lease at the time of the answer. That it gets none on a version afterwards takes that the
// version was disallowed before the answer was requested.
type leaseProof struct {
	expiredAfter time.Duration // see fleet.Timing.ExpiredAfter
	term         uint64        // the highest term of a leader that was seen
	termSince    time.Duration // since when
	unconfirmed  []digests     // oldest first
	confirmed    digests
}

// digests is a leader's answer with all fronts' reports.
type digests struct {
	term                    uint64        // of the leader; 0 from an older program, which does not send it
	ledFor                  time.Duration // when the answer was requested: how long the leader provably led
	requestedAt, receivedAt time.Duration
	reports                 map[string]fleet.MemberReport
}

// observeTerm notes the term of the newest leader that this front heard. Call it with each tick, also where the lease is not held.
func (p *leaseProof) observeTerm(now time.Duration, term uint64) {
	if term != p.term {
		p.term, p.termSince = term, now
	}
}

// add adds an answer.
func (p *leaseProof) add(d digests) {
	if d.term == 0 {
		return
	}
	if d.term == p.term {
		d.ledFor = d.requestedAt - p.termSince
	}
	p.unconfirmed = append(p.unconfirmed, d)
	p.unconfirmed = p.unconfirmed[max(0, len(p.unconfirmed)-maxUnconfirmedDigests):]
}

// confirm notes that a majority confirmed the leader of a term at some time after a given one.
func (p *leaseProof) confirm(term uint64, after time.Duration) {
	for i := len(p.unconfirmed) - 1; i >= 0; i-- {
		if d := p.unconfirmed[i]; d.term == term && d.receivedAt <= after {
			p.confirmed = d
			p.unconfirmed = p.unconfirmed[i+1:]
			return
		}
	}
}

// expired reports whether a front had no configuration lease at an answer that was requested after a given time.
func (p *leaseProof) expired(name string, after time.Duration) bool {
	d := p.confirmed
	if d.reports == nil || d.requestedAt < after {
		return false
	}
	if report, known := d.reports[name]; known {
		return report.Age > p.expiredAfter
	}
	return d.ledFor > p.expiredAfter
}
