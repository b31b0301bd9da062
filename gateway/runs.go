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

// Take takes a frame from the present connection. An error is a peer that makes no sense: the connection must end.
func (s *Side) Take(now time.Duration, f *Frame) error {
	if s.state != Up {
		return fmt.Errorf("a frame without a greeting")
	}
	s.heard, s.fresh = now, false
	s.taken += f.cost()
	if s.taken > s.set.Credit {
		return fmt.Errorf("%d bytes came where %d were allowed", s.taken, s.set.Credit)
	}
	switch f.Kind {
	case Cross:
		return s.run(now, f)
	case Result:
		x := s.ours[f.ID]
		if x == nil || x.Try != f.Try || x.stage != sent && x.stage != asked {
			s.Counts.Late++ // given up, or of an earlier try
			return nil
		}
		if f.Word < Served || f.Word > Senseless || f.Age < 0 {
			return fmt.Errorf("a result with word %d and age %v", f.Word, f.Age)
		}
		if x.stage == asked {
			s.Counts.Recovered++
		}
		s.Counts.Answered++
		if f.Word == MayHaveRun && f.Code == "" {
			s.end(x, End{Took: now - x.sentAt})
			return nil
		}
		s.end(x, End{Result: f, Took: now - x.sentAt, Never: f.Word == Rejected})
	case Still:
		if x := s.ours[f.ID]; x != nil && x.Try == f.Try && x.stage == asked {
			x.stage = sent
			s.Counts.Recovered++
		}
	case Never:
		if x := s.ours[f.ID]; x != nil && x.Try == f.Try && x.stage == asked {
			s.Counts.ProvenNever++
			s.end(x, End{Never: true})
		}
	case Cancel:
		if r := s.runs[name{s.peerEpoch, f.ID}]; r != nil && r.try == f.Try && r.outcome == nil {
			s.starts = append(s.starts, Start{Run: r.number, Abort: true})
			s.keep(now, r, Frame{Word: MayHaveRun})
		}
	case Ask:
		s.tell(f)
	case Credit:
		if f.Bytes <= 0 || f.Bytes > s.onWay {
			return fmt.Errorf("credit for %d bytes where %d are on the way", f.Bytes, s.onWay)
		}
		s.onWay -= f.Bytes
	case Ping:
	default:
		return fmt.Errorf("a frame of kind %d", f.Kind)
	}
	return nil
}

// tell answers a question: a result that is kept, that one will follow, or that it never came. The last holds since
// frames of older connections are not taken any more.
func (s *Side) tell(f *Frame) {
	r := s.runs[name{s.peerEpoch, f.ID}]
	switch {
	case (r == nil || r.try < f.Try) && f.Serial <= s.forgotten:
		s.control = append(s.control, Frame{Kind: Result, ID: f.ID, Try: f.Try, Word: MayHaveRun})
	case r == nil || r.try < f.Try:
		s.control = append(s.control, Frame{Kind: Never, ID: f.ID, Try: f.Try})
	case r.try > f.Try: // a later try came: nothing is told of this one
	case r.outcome == nil:
		s.control = append(s.control, Frame{Kind: Still, ID: f.ID, Try: f.Try})
	default:
		s.results = append(s.results, r)
	}
}

// run takes a crossing of the peer: it starts, or joins a run of its request, or has its outcome told again.
func (s *Side) run(now time.Duration, f *Frame) error {
	switch {
	case f.Serial == 0 || f.Wait <= 0 || f.Grant == 0 || len(f.Data) == 0:
		return fmt.Errorf("a crossing without serial, time, grant or statement")
	}
	n := name{s.peerEpoch, f.ID}
	r := s.runs[n]
	if r != nil && f.Try <= r.try {
		return fmt.Errorf("crossing %d came twice with try %d", f.ID, f.Try)
	}
	if r != nil && r.outcome == nil { // the peer lost sight of it and sent again: one run, told under the newer try
		r.try, r.serial = f.Try, f.Serial
		s.Counts.Repeated++
		return nil
	}
	if r != nil && r.outcome.Word == Served && f.Write { // a read is asked again to be read again
		r.try, r.serial = f.Try, f.Serial // it ran: its effect must not come again
		s.Counts.Repeated++
		s.results = append(s.results, r)
		return nil
	}
	if r != nil {
		s.forget(r)
	}
	s.lastRun++
	r = &run{name: n, number: s.lastRun, try: f.Try, serial: f.Serial, at: now}
	s.runs[n], s.going[r.number] = r, r
	if len(s.going) > s.set.Crossings || s.bytes+LongestData > s.set.Kept && !s.sweep(now, LongestData) {
		s.Counts.Refused++
		s.Concluded(now, r.number, Frame{Word: Rejected})
		return nil
	}
	s.starts = append(s.starts, Start{Run: r.number, Group: f.Group, Wait: f.Wait, Grant: f.Grant, After: f.After, Data: f.Data})
	return nil
}

// forget takes an outcome away.
func (s *Side) forget(r *run) {
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
func (s *Side) sweep(now time.Duration, room int64) bool {
	n := 0
	for n < len(s.kept) && now-s.kept[n].at > s.set.Retain {
		r := s.kept[n]
		s.bytes -= r.size
		delete(s.runs, r.name)
		if r.epoch == s.peerEpoch {
			s.forgotten = max(s.forgotten, r.serial)
		}
		n++
	}
	s.kept = append(s.kept[:0], s.kept[n:]...)
	return s.bytes+room <= s.set.Kept
}
