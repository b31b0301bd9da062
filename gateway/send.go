package gateway

import (
	"time"
)

// NextFrame returns the next frame to be written on the current connection. It is not ok if there is none or the credit is not
// sufficient. The order of priority is credit, control frames, results, requests.
func (e *Endpoint) NextFrame(now time.Duration) (f Frame, ok bool) {
	if e.state != Up {
		return Frame{}, false
	}
	f, ok = e.nextCredit()
	if !ok {
		f, ok = e.nextControl()
	}
	if !ok {
		f, ok = e.nextResult(now)
	}
	if !ok {
		f, ok = e.nextForward(now)
	}
	if ok {
		e.conn.lastSent = now
	}
	return f, ok
}

// nextCredit returns a FrameCredit once more than a quarter of the peer's credit is used.
func (e *Endpoint) nextCredit() (Frame, bool) {
	if e.credit.uncredited <= e.settings.CreditBytes/4 {
		return Frame{}, false
	}
	f := Frame{Kind: FrameCredit, CreditBytes: e.credit.uncredited}
	e.credit.uncredited = 0
	return f, true
}

// nextControl returns the next control frame.
func (e *Endpoint) nextControl() (Frame, bool) {
	if len(e.controlFrames) == 0 {
		return Frame{}, false
	}
	f := e.controlFrames[0]
	e.controlFrames = e.controlFrames[1:]
	return f, true
}

// nextResult returns the next result for the peer, if the credit is sufficient.
func (e *Endpoint) nextResult(now time.Duration) (Frame, bool) {
	for len(e.unsentResults) > 0 {
		x := e.unsentResults[0]
		if x.result == nil || e.execs.byRequest[x.requestKey] != x { // the request is executed again, or the result was evicted
			e.unsentResults = e.unsentResults[1:]
			continue
		}
		f := *x.result
		f.AttemptNumber = x.attemptNumber
		f.Age += now - x.finishedAt // the data aged while the result was retained
		if !e.credit.allows(f.creditCost()) {
			return Frame{}, false
		}
		e.unsentResults = e.unsentResults[1:]
		e.credit.bytesInFlight += f.creditCost()
		return f, true
	}
	return Frame{}, false
}

// nextForward returns the next forwarded request, if the credit is sufficient. No request is sent before a frame has confirmed that
// the peer receives on this connection. A request ends as not executed if its deadline has passed, or if it repeats a write that only an
// earlier process of the peer, or a peer of an older version, knows: that peer could execute it after the servers have forgotten its
// idempotency key.
func (e *Endpoint) nextForward(now time.Duration) (Frame, bool) {
	if e.conn.unconfirmed {
		return Frame{}, false
	}
	for p := e.forwards.next(); p != nil; p = e.forwards.next() {
		f := Frame{Kind: FrameForward, ID: p.ID, AttemptNumber: p.AttemptNumber, Serial: e.forwards.lastSerial + 1, Group: p.Group,
			Timeout: p.Deadline - now, MaxAttempts: p.MaxAttempts, Write: p.Write, MinPosition: p.MinPosition, Data: p.Message}
		if !e.credit.allows(f.creditCost()) {
			return Frame{}, false
		}
		e.forwards.dequeue(p)
		withheld := p.Repeated && !e.conn.remembers(p.FirstRunAt)
		if withheld || f.Timeout <= 0 {
			e.finishForward(p, Outcome{NotExecuted: true, Withheld: withheld})
			continue
		}
		e.forwards.lastSerial++
		p.state, p.sentAt, p.peerEpoch, p.serial = forwardSent, now, e.conn.peerEpoch, f.Serial
		e.credit.bytesInFlight += f.creditCost()
		e.Counters.Forwarded++
		return f, true
	}
	return Frame{}, false
}
