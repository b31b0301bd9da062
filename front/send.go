package front

import (
	"container/heap"
	"sync/atomic"
	"time"

	"dapplerouter/pgwire"
	"dapplerouter/port"
	"dapplerouter/site"
)

// Submission is one sending to a member, of a txn or of a probe. Message goes out as it is.
type Submission struct {
	Message []byte

	ref    port.Ref
	member int
	hop    int
	sent   time.Duration
	probe  bool
	way    Way
	right  *Right // to what its txn was taken on; nil where none is needed
	done   bool   // the core's: its ending is told, or about to be
	cut    func() // set by who sends it, before stage says so
	stage  atomic.Int32
}

// Way is what another site has to know of a submission.
type Way struct {
	ID    uint64 // of the txn, here
	Try   int
	Group int64
	Until time.Duration // when it is given up
	Grant int           // submissions that it may make there
	Write bool
	After int64 // position that a read must see there, Unix milliseconds; 0 for none
}

// Way tells it; a probe has none.
func (s *Submission) Way() (w Way, probe bool) { return s.way, s.probe }

const (
	waiting int32 = iota
	going
	dropped
)

// Begin is called before the first byte goes out. Where it says no, the core gave the submission up and
// nothing may be sent; afterwards the core ends it by cut, which must close the connection to the member's
// eyes before it returns, without blocking.
func (s *Submission) Begin(cut func()) bool {
	if s.right != nil && !s.right.Lasts() { // the core ends it as soon as it looks
		return false
	}
	s.cut = cut
	return s.stage.CompareAndSwap(waiting, going)
}

var probeMessage = pgwire.Query(nil, "SHOW load")

// send hands a submission to the links and sets the time at which it is given up.
func (c *Core) send(s *Submission, until time.Duration) {
	if d := c.doors.At(s.ref); d != nil {
		d.What.out = append(d.What.out, s)
		s.right = d.What.terms.right
	}
	heap.Push(&c.alarms, alarm{at: until, s: s})
	c.book.submissions++
	c.links.Send(s.member, s)
}

// drop gives a submission up: afterwards nothing of it goes out, and what went out is cut off. It says
// whether something had.
func (s *Submission) drop() (sent bool) {
	s.done = true
	if s.stage.CompareAndSwap(waiting, dropped) {
		return false
	}
	s.cut()
	return true
}

// expire ends what nobody answered in time.
func (c *Core) expire(s *Submission) {
	if !s.done {
		s.drop()
		c.ended(s, port.Outcome{Ending: port.TimedOut, Load: site.NoReport}, nil)
	}
}

// settled is an ending that comes of the module's own wish; it is told in the next batch.
type settled struct {
	s      *Submission
	ending port.Ending
}

func (e settled) take(c *Core, _ time.Duration) {
	c.ended(e.s, port.Outcome{Ending: e.ending, Load: site.NoReport}, nil)
}
