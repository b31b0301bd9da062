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
	Crossing
	stage   stage
	sentAt  time.Duration
	epoch   uint64 // of the peer when it was sent
	serial  uint64
	doubted time.Duration // since when nothing is known
}

// name is a request of the peer's, as one of its starts names it.
type name struct{ epoch, id uint64 }

// Cross takes a crossing. Where the link is not up, or too much is in hand, it ends at once: nothing ran.
func (s *Side) Cross(now time.Duration, x Crossing) {
	up := s.state == Up
	if _, twice := s.ours[x.ID]; !up || twice || len(s.ours) >= s.set.Crossings || len(x.Message) > LongestData ||
		x.Grant == 0 {
		s.Counts.Refused++
		s.ends = append(s.ends, End{ID: x.ID, Try: x.Try, Never: true, Full: up})
		return
	}
	c := &crossing{Crossing: x}
	s.ours[x.ID] = c
	if _, waits := s.queue[x.Group]; !waits { // a group is in the queue as long as it has a turn
		s.turn = append(s.turn, x.Group)
	}
	s.queue[x.Group] = append(s.queue[x.Group], c)
}

// Uncross takes back the Cross that Frame gave last: it was not written, since nobody waits for it any more.
func (s *Side) Uncross(f *Frame) {
	s.onWay -= f.cost()
	s.Counts.Crossed--
	delete(s.ours, f.ID)
}

// GiveUp takes it that nobody waits for a crossing any more. It ends without a word; what of it is at the far site is
// called off there.
func (s *Side) GiveUp(id uint64, try uint32) {
	x := s.ours[id]
	if x == nil || x.Try != try {
		return
	}
	s.callOff(x)
	s.drop(x)
}

// callOff tells the far site, where it may have a crossing, that nobody waits for it.
func (s *Side) callOff(x *crossing) {
	if x.stage == sent || x.stage == asked {
		s.control = append(s.control, Frame{Kind: Cancel, ID: x.ID, Try: x.Try})
	}
}

// drop takes a crossing out of hand.
func (s *Side) drop(x *crossing) {
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

func (s *Side) end(x *crossing, e End) {
	s.drop(x)
	e.ID, e.Try = x.ID, x.Try
	s.ends = append(s.ends, e)
}

// lose ends a crossing of which nothing can be learnt.
func (s *Side) lose(x *crossing) {
	s.Counts.LostForGood++
	s.end(x, End{})
}

// Concluded takes what the instance's own front answered a run. The frame's Word tells; its names are set here.
func (s *Side) Concluded(now time.Duration, number uint64, f Frame) {
	r := s.going[number]
	if r == nil {
		return // called off before
	}
	s.keep(now, r, f)
	if s.state == Up {
		s.results = append(s.results, r)
	}
}

func (s *Side) keep(now time.Duration, r *run, f Frame) {
	f.Kind, f.ID = Result, r.id
	delete(s.going, r.number)
	r.outcome, r.at, r.size = &f, now, f.cost()
	s.bytes += r.size
	s.kept = append(s.kept, r)
}
