package zones

import (
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dapplerouter/fleet"
)

// Standing is how the fleet stands to a zone.
type ZoneState uint8

const (
	Well      ZoneState = iota
	Doubted             // bad for a moment: nothing moves yet
	Leaving             // fronts take their share away, as far as the plan says
	Left                // they have; a trickle stays, to see whether it is back
	Returning           // more and more goes there again
)

var stateNames = [...]string{"well", "doubted", "leaving", "left", "returning"}

func (s ZoneState) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// Stand is one zone's state in the record.
type Stand struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Zone      string
	ZoneState ZoneState
	Epoch     uint64        // rises with each change: an older decision displaces no newer
	Away      uint16        // the part of the zone's movable traffic that goes elsewhere, in thousandths
	Deadline  time.Duration // for which a front goes by it after it heard that it holds
	Beat      uint64        // rises with each renewal
	Flaps     uint8         // how often it went lately: each return is slower
	Pinned    bool          // by an operator: evidence moves nothing
	Until     time.Duration // how long a pin lasts, from the epoch; 0 until it is taken back
	Why       string
}

// State is all zones' states, as one entry of the record.
type State struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format uint32
	Zones  []Stand // by name
}

const (
	format   = 1
	stateKey = "zones"
)

// Read is what a record says of zones; ok is false where a newer program wrote it in a form that this one can't read.
func Read(r *fleet.ReplicatedState) (s State, ok bool) {
	e := r.Values[stateKey]
	if e == nil {
		return s, true
	}
	if err := msgpack.Unmarshal(e.Value, &s); err != nil || s.Format > format || len(s.Zones) > mostZones {
		return State{}, false
	}
	return s, true
}

// Encode writes a state as the record's entry.
func (s State) Encode() []byte {
	s.Format = format
	b, err := msgpack.Marshal(&s)
	if err != nil {
		panic("zones: a state that can't be written: " + err.Error()) // of our own making
	}
	return b
}

// Stand is a zone's, well where nothing is said of it.
func (s *State) Stand(zone string) Stand {
	for _, x := range s.Zones {
		if x.Zone == zone {
			return x
		}
	}
	return Stand{Zone: zone}
}

// Belief is what one front makes of the record's states: decisions count from when it heard that they hold, on its own clock,
// and wear off over a deadline's length where nobody renews them.
type Belief struct {
	held map[string]believed
}

type believed struct {
	Stand
	at time.Duration
}

// NewBelief makes one.
func NewBelief() *Belief { return &Belief{held: map[string]believed{}} }

// Hear takes a state as the record has it now. One that is older than what was heard changes nothing.
func (b *Belief) Hear(now time.Duration, s State) {
	for _, x := range s.Zones {
		was, ok := b.held[x.Zone]
		if ok && (x.Epoch < was.Epoch || x.Epoch == was.Epoch && x.Beat <= was.Beat) {
			continue
		}
		b.held[x.Zone] = believed{x, now}
	}
}

// Away is the part of a zone's movable traffic that this front sends elsewhere now, 0 to 1.
func (b *Belief) Away(now time.Duration, zone string) float64 {
	x, ok := b.held[zone]
	if !ok || x.Away == 0 {
		return 0
	}
	away := float64(x.Away) / 1000
	if x.Deadline <= 0 {
		return away
	}
	past := now - x.at - x.Deadline
	if past <= 0 {
		return away
	}
	return max(0, away*(1-past.Seconds()/x.Deadline.Seconds()))
}

// Moves tells whether a session's traffic goes elsewhere: by its fingerprint, the same at each front, so that a session moves
// whole and its reads don't go to and fro. A share that grows moves more sessions and takes none back.
func Moves(session uint64, zone string, away float64) bool {
	h := session*0x9e3779b97f4a7c15 + uint64(len(zone))
	for _, c := range []byte(zone) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return float64(h>>11)/(1<<53) < away
}

// Returned is what fronts tell of a zone that is being returned to, over all fronts, since the last look.
type Returned struct {
	Asked, Good, Strained float64 // attempts there; those that came good; those that came late or were refused
}

// ControllerOptions are what a Controller is made of.
type ControllerOptions struct {
	Span time.Duration
	Warm time.Duration // for which a member that started is cold: no ramp is done sooner
}

// Controller moves states, as the duty's holder. What must not be forgotten is in the record; how long evidence has lasted
// begins anew with another holder.
type Controller struct {
	o     ControllerOptions
	since map[string]time.Duration // evidence against the state, since when
	calm  map[string]time.Duration
	beat  time.Duration
}

// NewWarden makes one.
func NewController(o ControllerOptions) *Controller {
	return &Controller{o: o, since: map[string]time.Duration{}, calm: map[string]time.Duration{}}
}

const (
	recovered = doubtful / 2 // badness under which a zone may be well: lower than what it is left at, so that it does not flap
	probe     = 50           // thousandths that a zone which was left still gets
	mostFlaps = 6
)

// Step looks at the fleet's views and says what the record should hold, or nothing where it holds that already. plan says how far
// a zone can be left besides those that are gone; returned is what fronts tell of a zone's return. Renewals are part of it: the
// holder renews all that is not well twice in a deadline.
func (w *Controller) Step(now time.Duration, s State, views []View, plan func(zone string, gone map[string]bool) *Plan, returned map[string]Returned) (next State, changed bool) {
	next = State{Zones: slices.Clone(s.Zones)}
	gone := map[string]bool{}
	for _, x := range next.Zones {
		if x.Away > 0 {
			gone[x.Zone] = true
		}
	}
	for _, v := range views {
		x := next.Stand(v.Zone)
		was := x
		w.move(now, &x, v, gone, len(views), plan, returned[v.Zone])
		if x != was {
			x.Epoch++
			x.Beat, x.Deadline = 0, 4*w.o.Span
			changed = true
			next.put(x)
		}
	}
	if changed || now-w.beat >= 2*w.o.Span {
		for i := range next.Zones {
			if next.Zones[i].ZoneState != Well || next.Zones[i].Flaps > 0 {
				next.Zones[i].Beat++
				changed = true
			}
		}
		w.beat = now
	}
	return next, changed
}

func (s *State) put(x Stand) {
	for i := range s.Zones {
		if s.Zones[i].Zone == x.Zone {
			s.Zones[i] = x
			return
		}
	}
	s.Zones = append(s.Zones, x)
	slices.SortFunc(s.Zones, func(a, b Stand) int {
		switch {
		case a.Zone < b.Zone:
			return -1
		case a.Zone > b.Zone:
			return 1
		}
		return 0
	})
}

// lasts tells since when something has been so, and forgets it where it is so no more.
func lasts(at map[string]time.Duration, key string, now time.Duration, so bool) time.Duration {
	if !so {
		delete(at, key)
		return -1
	}
	if _, ok := at[key]; !ok {
		at[key] = now
	}
	return now - at[key]
}

func (w *Controller) move(now time.Duration, x *Stand, v View, gone map[string]bool, zones int, plan func(string, map[string]bool) *Plan, r Returned) {
	if x.Pinned {
		return
	}
	bad := lasts(w.since, x.Zone, now, v.Bad > doubtful)
	calm := lasts(w.calm, x.Zone, now, v.Bad < recovered)
	wait := w.o.Span / 3 << min(x.Flaps, mostFlaps) // a zone that flaps is returned to later each time
	switch x.ZoneState {
	case Well:
		if bad >= 0 {
			x.ZoneState, x.Why = Doubted, fmt.Sprintf("%d of %d fronts see it bad", v.SeeBad, v.Fronts)
		} else if calm > 32*w.o.Span && x.Flaps > 0 {
			x.Flaps-- // it has been well for long
			w.calm[x.Zone] = now
		}
	case Doubted:
		switch {
		case bad < 0 && calm >= 0:
			x.ZoneState, x.Why = Well, "it was a moment"
		case bad >= w.o.Span/6:
			others := map[string]bool{}
			for z := range gone {
				if z != x.Zone {
					others[z] = true
				}
			}
			if len(others)+1 >= zones { // there is nowhere to go
				return
			}
			p := plan(x.Zone, others)
			if p == nil || p.Share <= 0 {
				if why := "the others have no room: it is stayed in, and shed"; x.Why != why {
					x.Why = why
				}
				return
			}
			x.ZoneState, x.Away, x.Flaps = Leaving, uint16(min(p.Share*1000, 1000-probe)), min(x.Flaps+1, mostFlaps)
			x.Why = fmt.Sprintf("%d of %d fronts see it bad; the others can take %.0f%%", v.SeeBad, v.Fronts, p.Share*100)
			gone[x.Zone] = true
			delete(w.since, x.Zone)
			w.since["left "+x.Zone] = now
		}
	case Leaving:
		if at, ok := w.since["left "+x.Zone]; !ok {
			w.since["left "+x.Zone] = now
		} else if now-at >= w.o.Span {
			x.ZoneState, x.Why = Left, "its traffic has moved"
		}
	case Left:
		if calm >= wait {
			x.ZoneState, x.Why = Returning, "what still goes there comes good"
			w.since["step "+x.Zone] = now
		}
	case Returning:
		w.ramp(now, x, v, r)
	}
}

// ramp lets more and more go back: one budget for all fronts, a fifth more each step while what goes there comes good, halved at
// strain, and no sooner whole than the members' warmth allows. A front that restarts meanwhile takes it up where the record says.
func (w *Controller) ramp(now time.Duration, x *Stand, v View, r Returned) {
	at, ok := w.since["step "+x.Zone]
	if !ok {
		w.since["step "+x.Zone] = now
		return
	}
	step := max(w.o.Warm/12, w.o.Span/6)
	back := 1000 - int(x.Away)
	switch {
	case v.Bad > doubtful || r.Asked > few && r.Strained > r.Asked/4:
		w.since["step "+x.Zone] = now
		if back /= 2; back < probe {
			x.ZoneState, x.Away, x.Flaps, x.Why = Left, 1000-probe, min(x.Flaps+1, mostFlaps), "it does not bear what comes back"
			return
		}
		x.Away, x.Why = uint16(1000-back), "strain: what goes there is halved"
	case now-at < step:
	case r.Asked > few && r.Good > r.Asked*3/4 || r.Asked <= few && v.Bad < recovered:
		w.since["step "+x.Zone] = now
		if back = max(back*5/4, back+10); back >= 1000 {
			x.ZoneState, x.Away, x.Why = Well, 0, "it is back"
			return
		}
		x.Away, x.Why = uint16(1000-back), "it bears what comes back"
	}
}

// Pin sets a zone's state by an operator's word, against any evidence, and Unpin takes that back.
func Pin(s State, zone string, away uint16, until time.Duration, why string) State {
	next := State{Zones: slices.Clone(s.Zones)}
	x := next.Stand(zone)
	x.Epoch++
	x.Pinned, x.Away, x.Until, x.Why, x.Beat = true, min(away, 1000), until, "pinned: "+why, 0
	if x.ZoneState = Well; away > 0 {
		x.ZoneState = Left
	}
	next.put(x)
	return next
}

// Unpin lets evidence move a zone again: one that was left is returned to by its ramp.
func Unpin(s State, zone, why string) State {
	next := State{Zones: slices.Clone(s.Zones)}
	x := next.Stand(zone)
	if !x.Pinned {
		return next
	}
	x.Epoch++
	x.Pinned, x.Until, x.Why, x.Beat = false, 0, "unpinned: "+why, 0
	if x.Away > 0 {
		x.ZoneState = Returning
	}
	next.put(x)
	return next
}
