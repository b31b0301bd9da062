package rollout

import (
	"time"

	"dapplerouter/fleet"
)

// maxUnconfirmedDigests is the maximum number of answers that wait for the confirmation that their leader still led.
const maxUnconfirmedDigests = 8

// leaseProof finds the fronts whose configuration leases have provably expired. It saves waiting for a whole lease from the moment at
// which a version was disallowed.
//
// A configuration lease counts from when its front asked for it, and only a leader that received the front's request renews it. If a
// leader has not heard from a front for as long as a lease may last on the front's own clock, and has led for all of that time, every
// lease of the front has expired: leases from earlier leaders were requested before this leader was elected. A leader that was paused or
// cut off may still answer after another one was elected. An answer therefore counts only once a majority has confirmed, at a later time,
// that the same leader led in the same term. Renewals of this front's own lease "roll" are such confirmations.
//
// The proof shows that a front has no lease at the time of the answer. It does not get one on a disallowed version afterwards, provided
// that the version was disallowed before the answer was requested.
type leaseProof struct {
	expiredAfter time.Duration    // see fleet.Timing.ConfigLeaseExpiredAfter
	term         uint64           // highest term of a leader that was seen
	termSince    time.Duration    // when that term was first seen
	unconfirmed  []digestResponse // waiting for confirmation, oldest first
	confirmed    digestResponse   // latest confirmed answer
}

// digestResponse is a leader's answer with the reports of all fronts.
type digestResponse struct {
	term                    uint64        // of the leader; 0 if the leader runs an older program, which does not send it
	ledFor                  time.Duration // for how long the leader had provably led when the answer was requested
	requestedAt, receivedAt time.Duration
	reports                 map[string]fleet.MemberReport
}

// observeTerm records the term of the newest leader from which this front received a heartbeat. It is called at each tick, also while
// this front does not hold the lease.
func (p *leaseProof) observeTerm(now time.Duration, term uint64) {
	if term != p.term {
		p.term, p.termSince = term, now
	}
}

// add adds an answer, which counts once it is confirmed.
func (p *leaseProof) add(d digestResponse) {
	if d.term == 0 {
		return
	}
	if d.term == p.term {
		d.ledFor = d.requestedAt - p.termSince
	}
	p.unconfirmed = append(p.unconfirmed, d)
	p.unconfirmed = p.unconfirmed[max(0, len(p.unconfirmed)-maxUnconfirmedDigests):]
}

// confirm records that a majority confirmed the leader of a term at some time after the given one. The latest answer of that leader which
// was received by then becomes the confirmed one.
func (p *leaseProof) confirm(term uint64, after time.Duration) {
	for i := len(p.unconfirmed) - 1; i >= 0; i-- {
		if d := p.unconfirmed[i]; d.term == term && d.receivedAt <= after {
			p.confirmed = d
			p.unconfirmed = p.unconfirmed[i+1:]
			return
		}
	}
}

// expired reports whether the confirmed answer was requested after the given time, and proves that a front then had no configuration
// lease.
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
