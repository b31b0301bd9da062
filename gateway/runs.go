package gateway

import (
	"fmt"
	"time"
)

// The runs of this site: what the peer has sent here.

// run is one of the peer's, in hand or kept.
type run struct {
	name
	number  uint64
	try     uint32
	serial  uint64 // the highest under which it came
	outcome *Frame // nil while it runs
	at      time.Duration
	size    int64
}

// Receive takes a frame from the present connection. An error is a peer that makes no sense: the connection must end.
func (s *Endpoint) Receive(now time.Duration, f *Frame) error {
	if s.state != Up {
		return fmt.Errorf("a frame without a greeting")
	}
	s.heard, s.fresh = now, false
	s.taken += f.cost()
	if s.taken > s.set.CreditBytes {
		return fmt.Errorf("%d bytes came where %d were allowed", s.taken, s.set.CreditBytes)
	}
	switch f.Kind {
	case FrameForward:
		return s.run(now, f)
	case FrameResult:
		x := s.ours[f.ID]
		if x == nil || x.AttemptNumber != f.AttemptNumber || x.stage != sent && x.stage != asked {
			s.Counters.LateResults++ // given up, or of an earlier try
			return nil
		}
		if f.Status < StatusServed || f.Status > StatusInvalid || f.Age < 0 {
			return fmt.Errorf("a result with word %d and age %v", f.Status, f.Age)
		}
		if x.stage == asked {
			s.Counters.Recovered++
		}
		s.Counters.Answered++
		if f.Status == StatusUnknown && f.Code == "" {
			s.end(x, Outcome{Elapsed: now - x.sentAt})
			return nil
		}
		s.end(x, Outcome{Result: f, Elapsed: now - x.sentAt, NotExecuted: f.Status == StatusRejected})
	case FrameStillRunning:
		if x := s.ours[f.ID]; x != nil && x.AttemptNumber == f.AttemptNumber && x.stage == asked {
			x.stage = sent
			s.Counters.Recovered++
		}
	case FrameNotExecuted:
		if x := s.ours[f.ID]; x != nil && x.AttemptNumber == f.AttemptNumber && x.stage == asked {
			s.Counters.ProvenNotExecuted++
			s.end(x, Outcome{NotExecuted: true})
		}
	case FrameCancel:
		if r := s.runs[name{s.peerEpoch, f.ID}]; r != nil && r.try == f.AttemptNumber && r.outcome == nil {
			s.starts = append(s.starts, PeerRequest{Execution: r.number, Canceled: true})
			s.keep(now, r, Frame{Status: StatusUnknown})
		}
	case FrameOutcomeRequest:
		s.tell(f)
	case FrameCredit:
		if f.CreditBytes <= 0 || f.CreditBytes > s.onWay {
			return fmt.Errorf("credit for %d bytes where %d are on the way", f.CreditBytes, s.onWay)
		}
		s.onWay -= f.CreditBytes
	case FramePing:
	default:
		return fmt.Errorf("a frame of kind %d", f.Kind)
	}
	return nil
}

// tell answers a question: a result that is kept, that one will follow, or that it never came. The last holds since
// frames of older connections are not taken any more.
func (s *Endpoint) tell(f *Frame) {
	r := s.runs[name{s.peerEpoch, f.ID}]
	switch {
	case (r == nil || r.try < f.AttemptNumber) && f.Serial <= s.forgotten:
		s.control = append(s.control, Frame{Kind: FrameResult, ID: f.ID, AttemptNumber: f.AttemptNumber, Status: StatusUnknown})
	case r == nil || r.try < f.AttemptNumber:
		s.control = append(s.control, Frame{Kind: FrameNotExecuted, ID: f.ID, AttemptNumber: f.AttemptNumber})
	case r.try > f.AttemptNumber: // a later try came: nothing is told of this one
	case r.outcome == nil:
		s.control = append(s.control, Frame{Kind: FrameStillRunning, ID: f.ID, AttemptNumber: f.AttemptNumber})
	default:
		s.results = append(s.results, r)
	}
}

// run takes a crossing of the peer: it starts, or joins a run of its request, or has its outcome told again.
func (s *Endpoint) run(now time.Duration, f *Frame) error {
	switch {
	case f.Serial == 0 || f.Timeout <= 0 || f.MaxAttempts == 0 || len(f.Data) == 0:
		return fmt.Errorf("a crossing without serial, time, grant or statement")
	}
	n := name{s.peerEpoch, f.ID}
	r := s.runs[n]
	if r != nil && f.AttemptNumber <= r.try {
		return fmt.Errorf("crossing %d came twice with try %d", f.ID, f.AttemptNumber)
	}
	if r != nil && r.outcome == nil { // the peer lost sight of it and sent again: one run, told under the newer try
		r.try, r.serial = f.AttemptNumber, f.Serial
		s.Counters.Duplicates++
		return nil
	}
	if r != nil && r.outcome.Status == StatusServed && f.Write { // a read is asked again to be read again
		r.try, r.serial = f.AttemptNumber, f.Serial // it ran: its effect must not come again
		s.Counters.Duplicates++
		s.results = append(s.results, r)
		return nil
	}
	if r != nil {
		s.forget(r)
	}
	s.lastRun++
	r = &run{name: n, number: s.lastRun, try: f.AttemptNumber, serial: f.Serial, at: now}
	s.runs[n], s.going[r.number] = r, r
	if len(s.going) > s.set.MaxInFlight || s.bytes+MaxDataBytes > s.set.RetainedBytes && !s.sweep(now, MaxDataBytes) {
		s.Counters.Rejected++
		s.ExecutionFinished(now, r.number, Frame{Status: StatusRejected})
		return nil
	}
	s.starts = append(s.starts, PeerRequest{Execution: r.number, Group: f.Group, Timeout: f.Timeout, MaxAttempts: f.MaxAttempts, After: f.After, Data: f.Data})
	return nil
}

// forget takes an outcome away.
func (s *Endpoint) forget(r *run) {
	for i, k := range s.kept {
		if k == r {
			s.kept = append(s.kept[:i:i], s.kept[i+1:]...)
			break
		}
	}
	s.bytes -= r.size
	delete(s.runs, r.name)
}

// sweep forgets outcomes whose time is over; it says whether there is room for so many bytes then.
func (s *Endpoint) sweep(now time.Duration, room int64) bool {
	n := 0
	for n < len(s.kept) && now-s.kept[n].at > s.set.OutcomeRetention {
		r := s.kept[n]
		s.bytes -= r.size
		delete(s.runs, r.name)
		if r.epoch == s.peerEpoch {
			s.forgotten = max(s.forgotten, r.serial)
		}
		n++
	}
	s.kept = append(s.kept[:0], s.kept[n:]...)
	return s.bytes+room <= s.set.RetainedBytes
}
