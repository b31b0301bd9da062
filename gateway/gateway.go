// Package gateway is the core of a link between two sites: what crosses, what became of it, and what may be said of
// that after the link broke. It has no I/O, no clock and no goroutine: events come in by calls with the time since the
// start, wishes are taken out by Frame, Ends and Starts. It chooses no member and never sends a request again:
// that is the module's, which sees the far site as one more member of each far group.
//
// A crossing is one attempt to the far site, named by its request here and its try. Its invariants, asserted by the
// model in the tests over every loss and crash at each step of small cases:
//
//  1. Each crossing that came in ends exactly once, and never after it was given up.
//  2. One that ends as Never has not run at the far site and never will: no frame of it can be taken there any more.
//  3. One that ends with a result has that result of the far site's own run, of this very try.
//  4. A run that was served is not started again under its request while its outcome is kept.
//  5. What is held is bounded: crossings in hand, bytes on the way, outcomes kept.
//
// What makes Never provable: connections of one instance are numbered; an instance takes frames only from the peer's
// latest connection, so all that an older one still carries is void once a newer one was greeted. Crossings are numbered
// too, and an instance knows the highest number whose outcome it has let go: of a crossing up to that it says that it may
// have run, whatever the reason that the question came so late (a process stopped for ten seconds, say). Both numbers
// stand under an epoch that changes with each start.
package gateway

import (
	"fmt"
	"time"
)

// Settings are what an operator may set; Check says what can't be.
type Settings struct {
	HeartbeatInterval time.Duration // something goes out at least so often
	PeerTimeout       time.Duration // nothing heard for so long: the link is down
	RecoveryTimeout   time.Duration // a crossing in doubt is held for so long at most
	OutcomeRetention  time.Duration // an outcome is kept for so long at least: the longest window of a mark
	MaxInFlight       int           // in hand, for each direction
	CreditBytes       int64         // bytes of crossings, or results, that may be on the way to us
	RetainedBytes     int64         // bytes of outcomes
}

// DefaultSettings are settings for a link of up to some 100 ms.
var DefaultSettings = Settings{HeartbeatInterval: 200 * time.Millisecond, PeerTimeout: 700 * time.Millisecond, RecoveryTimeout: time.Second,
	OutcomeRetention: 5 * time.Second, MaxInFlight: 1024, CreditBytes: 1 << 20, RetainedBytes: 4 << 20}

// Check finds settings that contradict each other.
func (s *Settings) Check() error {
	switch {
	case s.HeartbeatInterval <= 0 || s.PeerTimeout < 2*s.HeartbeatInterval:
		return fmt.Errorf("silence (%v) must be twice the heartbeat (%v) at least, or one late beat ends the link", s.PeerTimeout, s.HeartbeatInterval)
	case s.OutcomeRetention < 2*s.RecoveryTimeout+s.PeerTimeout:
		return fmt.Errorf("retain (%v) must be at least twice recover (%v) and silence (%v), or an outcome may be forgotten before it is asked for",
			s.OutcomeRetention, s.RecoveryTimeout, s.PeerTimeout)
	case s.MaxInFlight < 1 || s.CreditBytes < MaxDataBytes+frameCost || s.RetainedBytes < MaxDataBytes:
		return fmt.Errorf("room for one crossing of %d bytes at least", MaxDataBytes)
	}
	return nil
}

// MaxDataBytes is the longest statement or value that crosses, in bytes.
const MaxDataBytes = 512 << 10

// Endpoint is one instance's end of a link.
type Endpoint struct {
	set    Settings
	epoch  uint64
	state  State
	number uint64 // of the present connection

	peerEpoch uint64
	fresh     bool // nothing was heard since the greeting
	heard     time.Duration
	spoke     time.Duration
	window    int64 // bytes that the peer lets us have on the way
	onWay     int64
	taken     int64 // bytes taken since we last gave credit

	serial    uint64 // last given to a crossing of ours
	forgotten uint64 // highest of the peer's present epoch whose outcome was let go
	lastRun   uint64

	ours  map[uint64]*crossing
	queue map[int64][]*crossing // by group, waiting for credit
	turn  []int64               // groups that wait, in order of their turn
	runs  map[name]*run
	going map[uint64]*run // by number
	kept  []*run          // concluded, oldest first
	bytes int64

	control []Frame // without data, to be sent first
	results []*run  // concluded, to be told
	ends    []Outcome
	starts  []PeerRequest

	Counters Counters
}

// Counters are for the log.
type Counters struct {
	Forwarded, Answered, OutcomeUnknown, Recovered, ProvenNotExecuted, OutcomeLost, Rejected, LateResults, Duplicates int
}

// New makes a Side; epoch differs at each start of the instance.
func New(s Settings, epoch uint64) *Endpoint {
	return &Endpoint{set: s, epoch: epoch, ours: map[uint64]*crossing{}, queue: map[int64][]*crossing{},
		runs: map[name]*run{}, going: map[uint64]*run{}}
}

// State tells how the link stands.
func (s *Endpoint) State() State { return s.state }

// InFlight is how many of our crossings are not ended, and how many of the peer's run here.
func (s *Endpoint) InFlight() (ours, theirs int) { return len(s.ours), len(s.going) }

// Hello is the greeting on connection number.
func (s *Endpoint) Hello(site string, number uint64) Frame {
	return Frame{Kind: FrameHello, Site: site, Epoch: s.epoch, ConnectionNumber: number, CreditBytes: s.set.CreditBytes}
}

// AcceptHello takes the peer's Hello on a new connection; number is ours of it. An error refuses the connection and
// changes nothing. Accepting one ends any other: its frames must not be handed in any more. Answered says that the peer's
// Hello answers ours, so both ways are open; else the first frame will say so, and until then nothing crosses and
// silence counts fourfold, since our own Hello is still on its way.
func (s *Endpoint) AcceptHello(now time.Duration, h *Frame, number uint64, answered bool) error {
	switch {
	case h.Kind != FrameHello:
		return fmt.Errorf("a frame of kind %d came where a greeting belongs", h.Kind)
	case h.CreditBytes < MaxDataBytes+frameCost || h.CreditBytes > 1<<40:
		return fmt.Errorf("a greeting with a credit of %d bytes", h.CreditBytes)
	case h.Epoch == 0:
		return fmt.Errorf("a greeting without an epoch")
	case h.Epoch == s.peerEpoch && h.ConnectionNumber <= s.number && s.number > 0:
		return fmt.Errorf("connection %d is older than %d, which was greeted before it", h.ConnectionNumber, s.number)
	}
	if s.state == Up {
		s.ConnectionLost(now)
	}
	if h.Epoch != s.peerEpoch {
		s.forgotten = 0
	}
	s.state, s.number, s.peerEpoch = Up, max(number, h.ConnectionNumber), h.Epoch
	s.heard, s.spoke, s.fresh = now, now, !answered
	if answered {
		s.control = append(s.control, Frame{Kind: FramePing}) // tells the peer at once
	}
	s.window, s.onWay, s.taken = h.CreditBytes, 0, 0
	s.results = s.results[:0]
	for _, x := range s.ours {
		if x.stage != doubt {
			continue
		}
		if x.epoch != h.Epoch { // the peer started anew and knows nothing of it
			s.lose(x)
			continue
		}
		x.stage = asked
		s.control = append(s.control, Frame{Kind: FrameOutcomeRequest, ID: x.ID, AttemptNumber: x.AttemptNumber, Serial: x.serial})
	}
	return nil
}

// ConnectionLost takes the end of the present connection: what was sent is in doubt, what was not never ran.
func (s *Endpoint) ConnectionLost(now time.Duration) {
	if s.state != Up {
		return
	}
	s.state = Down
	s.control, s.results = s.control[:0], s.results[:0]
	s.window, s.onWay = 0, 0
	clear(s.queue)
	s.turn = s.turn[:0]
	for _, x := range s.ours {
		switch x.stage {
		case queued:
			s.end(x, Outcome{NotExecuted: true})
		case sent:
			x.stage, x.doubted = doubt, now
			s.Counters.OutcomeUnknown++
		case asked:
			x.stage = doubt // its time runs since the first doubt
		}
	}
}

// Tick looks at what the time has brought. The error is a link that fell silent: its connection must end.
func (s *Endpoint) Tick(now time.Duration) error {
	s.sweep(now, 0)
	for _, x := range s.ours {
		switch {
		case now >= x.Deadline: // its front gives it up by itself; this is the bound, and frees what the link keeps of it
			s.callOff(x)
			s.end(x, Outcome{NotExecuted: x.stage == queued})
		case (x.stage == doubt || x.stage == asked) && now-x.doubted >= s.set.RecoveryTimeout:
			s.callOff(x)
			s.lose(x)
		}
	}
	if s.state != Up {
		return nil
	}
	limit := s.set.PeerTimeout
	if s.fresh {
		limit *= 4
	}
	if now-s.heard >= limit {
		s.ConnectionLost(now)
		return fmt.Errorf("nothing heard for %v", limit)
	}
	if now-s.spoke >= s.set.HeartbeatInterval {
		s.control = append(s.control, Frame{Kind: FramePing})
	}
	return nil
}

// NextFrame gives the next frame to be written on the present connection; false where there is none, or no credit.
// Crossings of groups take turns.
func (s *Endpoint) NextFrame(now time.Duration) (f Frame, ok bool) {
	if s.state != Up {
		return f, false
	}
	if s.taken > s.set.CreditBytes/4 {
		f = Frame{Kind: FrameCredit, CreditBytes: s.taken}
		s.taken = 0
		s.spoke = now
		return f, true
	}
	if len(s.control) > 0 {
		f = s.control[0]
		s.control = s.control[1:]
		s.spoke = now
		return f, true
	}
	for len(s.results) > 0 {
		r := s.results[0]
		if r.outcome == nil || s.runs[r.name] != r { // started anew, or swept meanwhile
			s.results = s.results[1:]
			continue
		}
		f = *r.outcome
		f.AttemptNumber = r.try
		f.Age += now - r.at // it grew older here
		if s.onWay+f.cost() > s.window {
			break
		}
		s.results = s.results[1:]
		s.onWay += f.cost()
		s.spoke = now
		return f, true
	}
	for len(s.turn) > 0 && !s.fresh {
		g := s.turn[0]
		if len(s.queue[g]) == 0 {
			delete(s.queue, g)
			s.turn = s.turn[1:]
			continue
		}
		x := s.queue[g][0]
		f = Frame{Kind: FrameForward, ID: x.ID, AttemptNumber: x.AttemptNumber, Serial: s.serial + 1, Group: x.Group, Timeout: x.Deadline - now, MaxAttempts: x.MaxAttempts,
			Write: x.Write, After: x.After, Data: x.Message}
		if s.onWay+f.cost() > s.window {
			return f, false
		}
		s.queue[g] = s.queue[g][1:]
		s.turn = append(s.turn[1:], g)
		if f.Timeout <= 0 {
			s.end(x, Outcome{NotExecuted: true})
			continue
		}
		s.serial++
		x.stage, x.sentAt, x.epoch, x.serial = sent, now, s.peerEpoch, s.serial
		s.onWay += f.cost()
		s.spoke = now
		s.Counters.Forwarded++
		return f, true
	}
	return f, false
}

// TakeOutcomes and Starts give what came up since the last call, in order.
func (s *Endpoint) TakeOutcomes() (e []Outcome) { e, s.ends = s.ends, nil; return e }

func (s *Endpoint) TakePeerRequests() (t []PeerRequest) { t, s.starts = s.starts, nil; return t }
