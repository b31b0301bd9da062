package gateway

import (
	"time"
)

// The crossings of this site: what it has sent to the peer.

type stage uint8

const (
	queued stage = iota // not sent: no credit
	sent
	doubt // sent on a connection that is gone
	asked // what became of it, on the present one
)

// crossing is one of ours in hand.
type crossing struct {
	ForwardedRequest
	stage   stage
	sentAt  time.Duration
	epoch   uint64 // of the peer when it was sent
	serial  uint64
	doubted time.Duration // since when nothing is known
}

// name is a request of the peer's, as one of its starts names it.
type name struct{ epoch, id uint64 }

// Forward takes a crossing. Where the link is not up, or too much is in hand, it ends at once: nothing ran.
func (s *Endpoint) Forward(now time.Duration, x ForwardedRequest) {
	up := s.state == Up
	if _, twice := s.ours[x.ID]; !up || twice || len(s.ours) >= s.set.MaxInFlight || len(x.Message) > MaxDataBytes ||
		x.MaxAttempts == 0 {
		s.Counters.Rejected++
		s.ends = append(s.ends, Outcome{ID: x.ID, AttemptNumber: x.AttemptNumber, NotExecuted: true, Overloaded: up})
		return
	}
	c := &crossing{ForwardedRequest: x}
	s.ours[x.ID] = c
	if _, waits := s.queue[x.Group]; !waits { // a group is in the queue as long as it has a turn
		s.turn = append(s.turn, x.Group)
	}
	s.queue[x.Group] = append(s.queue[x.Group], c)
}

// Withdraw takes back the Cross that Frame gave last: it was not written, since nobody waits for it any more.
func (s *Endpoint) Withdraw(f *Frame) {
	s.onWay -= f.cost()
	s.Counters.Forwarded--
	delete(s.ours, f.ID)
}

// Cancel takes it that nobody waits for a crossing any more. It ends without a word; what of it is at the far site is
// called off there.
func (s *Endpoint) Cancel(id uint64, try uint32) {
	x := s.ours[id]
	if x == nil || x.AttemptNumber != try {
		return
	}
	s.callOff(x)
	s.drop(x)
}

// callOff tells the far site, where it may have a crossing, that nobody waits for it.
func (s *Endpoint) callOff(x *crossing) {
	if x.stage == sent || x.stage == asked {
		s.control = append(s.control, Frame{Kind: FrameCancel, ID: x.ID, AttemptNumber: x.AttemptNumber})
	}
}

// drop takes a crossing out of hand.
func (s *Endpoint) drop(x *crossing) {
	delete(s.ours, x.ID)
	if x.stage != queued {
		return
	}
	q := s.queue[x.Group]
	for i, y := range q {
		if y == x {
			s.queue[x.Group] = append(q[:i:i], q[i+1:]...)
			break
		}
	}
}

func (s *Endpoint) end(x *crossing, e Outcome) {
	s.drop(x)
	e.ID, e.AttemptNumber = x.ID, x.AttemptNumber
	s.ends = append(s.ends, e)
}

// lose ends a crossing of which nothing can be learnt.
func (s *Endpoint) lose(x *crossing) {
	s.Counters.OutcomeLost++
	s.end(x, Outcome{})
}

// ExecutionFinished takes what the instance's own front answered a run. The frame's Word tells; its names are set here.
func (s *Endpoint) ExecutionFinished(now time.Duration, number uint64, f Frame) {
	r := s.going[number]
	if r == nil {
		return // called off before
	}
	s.keep(now, r, f)
	if s.state == Up {
		s.results = append(s.results, r)
	}
}

func (s *Endpoint) keep(now time.Duration, r *run, f Frame) {
	f.Kind, f.ID = FrameResult, r.id
	delete(s.going, r.number)
	r.outcome, r.at, r.size = &f, now, f.cost()
	s.bytes += r.size
	s.kept = append(s.kept, r)
}
