// Package zones decides, for a whole fleet, when a failing zone is left, how far, and at what pace it is returned to. It is a
// core: no I/O, no clock, no goroutine. Every front tells what it saw of each zone in a digest; the holder of the duty weighs
// them (Weigher), moves each zone's state (Controller) and plans how much the others can bear (Plan). What it decides stands in the
// record with an epoch and a deadline; a front reads its own share from there (Share), and which member takes a request stays the
// module's choice.
//
// Invariants, asserted by its tests:
//
//  1. No front's word alone moves a zone's state.
//  2. A zone is left only as far as the members that stay can bear, and one zone at least is always stayed in.
//  3. The total over all fronts that a returning zone gets never passes its ramp, and the ramp never passes what its members bear.
//  4. A decision that nobody renews wears off, and not at once.
package zones

import (
	"cmp"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Duty is the duty of warding zones; Part the part of a front that digests of it are for.
const (
	Duty = "zones"
	Part = "zones"
)

// Tally is what a front saw of one zone's members since its last word.
type Tally struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Good    uint32 // attempts that the member answered, whatever it said of the statement
	Failed  uint32 // that timed out, broke, or ended in an error
	Refused uint32 // links that did not come up
	Slow    uint32 // of the good ones, those that took several times as long as is usual here
}

func (t Tally) sum() float64 { return float64(t.Good) + float64(t.Failed) + float64(t.Refused) }

// badness is the part of what a front sent there that came to nothing; what was slow counts for half.
func (t Tally) badness() float64 {
	if t.sum() == 0 {
		return 0
	}
	return (float64(t.Failed) + float64(t.Refused) + float64(t.Slow)/2) / t.sum()
}

// Word is a front's digest: bounded, by the number of zones.
type Word struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Zones []string
	Seen  []Tally
	Sick  bool // it stood still, or stands by: what it saw says more of itself
}

const mostZones = 32

// Encode writes a word for the presences.
func (w Word) Encode() []byte {
	b, err := msgpack.Marshal(&w)
	if err != nil {
		panic("zones: a word that can't be written: " + err.Error()) // of our own making
	}
	return b
}

// ReadWord takes a digest apart.
func ReadWord(data []byte) (w Word, ok bool) {
	ok = len(data) > 0 && msgpack.Unmarshal(data, &w) == nil && len(w.Zones) == len(w.Seen) && len(w.Zones) <= mostZones
	return w, ok
}

// Seer gathers what one front sees. Its calls come from the front's core: they neither block nor allocate once a zone is known.
type Seer struct {
	zones []string
	seen  []Tally
	usual []float64 // by zone: the latency that is usual there, in seconds
	bad   []bool
}

// NewSeer makes one for zones by the indices that the front uses.
func NewSeer(zones []string) *Seer {
	return &Seer{zones: zones, seen: make([]Tally, len(zones)), usual: make([]float64, len(zones)), bad: make([]bool, len(zones))}
}

// slowBy is how many times the usual latency counts as slow.
const slowBy = 4

// Answered notes an attempt to a zone that its member answered.
func (s *Seer) Answered(zone int, took time.Duration) {
	t, x := &s.seen[zone], took.Seconds()
	t.Good++
	switch u := &s.usual[zone]; {
	case *u == 0:
		*u = x
	case x > slowBy**u:
		t.Slow++
		*u += (min(x, slowBy**u) - *u) / 4096 // a zone that stays slow becomes usual, in time
	default:
		*u += (x - *u) / 64
	}
}

// Failed notes one that came to nothing, Refused a link that did not come up.
func (s *Seer) Failed(zone int)  { s.seen[zone].Failed++ }
func (s *Seer) Refused(zone int) { s.seen[zone].Refused++ }

// Word is the digest of what was seen since the last one; hurry tells that a zone's look has turned, either way: it is better
// said at once than with the next presence.
func (s *Seer) Word(sick bool) (w Word, hurry bool) {
	w = Word{Zones: s.zones, Seen: slices.Clone(s.seen), Sick: sick}
	for i, t := range s.seen {
		if t.sum() >= few {
			bad := t.badness() > doubtful
			hurry = hurry || bad != s.bad[i]
			s.bad[i] = bad
		}
		s.seen[i] = Tally{}
	}
	return w, hurry
}

// Told is a front's word as the holder has it.
type Told struct {
	Front, Zone string
	Incarnation uint64
	Ago         time.Duration
	Word        Word
}

// View is what the fleet makes of one zone.
type View struct {
	Zone    string
	Bad     float64            // trimmed mean of what fronts of other zones see, above what is usual; of its own where no other looks
	By      map[string]float64 // the same, by the zone that looks
	Fronts  int                // whose words count
	SeeBad  int                // of them, those that see it bad
	CutFrom []string           // zones from which alone it is bad: a cut between two, not a zone lost
}

const (
	few      = 5    // attempts below which a front's word on a zone says nothing
	doubtful = 0.25 // badness above the usual from which on a zone is doubted
	trim     = 5    // a fifth of the fronts at each end is cut off
)

// Weigher weighs fronts' words against what is usual, which it learns.
type Weigher struct {
	usual map[string]float64
}

// NewWeigher makes one.
func NewWeigher() *Weigher { return &Weigher{usual: map[string]float64{}} }

type look struct{ bad, weight float64 }

// Weigh gives a view of each zone. Fronts that are sick, or to which every zone looks bad while their neighbours see one that is
// well, say nothing: what they see is their own.
func (w *Weigher) Weigh(told []Told, fresh time.Duration) (views []View) {
	looks := map[string]map[string][]look{} // by zone looked at and zone that looks
	for _, t := range told {
		if t.Ago > fresh || t.Word.Sick || w.blind(t, told, fresh) {
			continue
		}
		for i, zone := range t.Word.Zones {
			if n := t.Word.Seen[i].sum(); n >= few {
				if looks[zone] == nil {
					looks[zone] = map[string][]look{}
				}
				looks[zone][t.Zone] = append(looks[zone][t.Zone], look{t.Word.Seen[i].badness(), n})
			}
		}
	}
	for zone, by := range looks {
		v := View{Zone: zone, By: map[string]float64{}}
		var others []look
		badFrom, wellFrom := []string{}, 0
		for from, all := range by {
			m := max(0, trimmed(all)-2*w.usual[zone])
			v.By[from] = m
			v.Fronts += len(all)
			for _, l := range all {
				if l.bad-2*w.usual[zone] > doubtful {
					v.SeeBad++
				}
			}
			if from != zone {
				others = append(others, all...)
			}
			if m > doubtful {
				badFrom = append(badFrom, from)
			} else {
				wellFrom++
			}
		}
		if len(others) == 0 {
			others = by[zone]
		}
		v.Bad = max(0, trimmed(others)-2*w.usual[zone])
		if len(badFrom) == 1 && wellFrom > 0 && badFrom[0] != zone { // it is well from elsewhere
			v.CutFrom, v.Bad = badFrom, 0
		}
		if v.SeeBad < 2 { // no front's word alone
			v.Bad = 0
		}
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Zone, b.Zone) })
	return views
}

// Calm learns what is usual of a zone that is well.
func (w *Weigher) Calm(told []Told, zone string) {
	var all []look
	for _, t := range told {
		for i, z := range t.Word.Zones {
			if z == zone && t.Word.Seen[i].sum() >= few {
				all = append(all, look{t.Word.Seen[i].badness(), t.Word.Seen[i].sum()})
			}
		}
	}
	if len(all) > 0 {
		w.usual[zone] += (min(trimmed(all), doubtful/2) - w.usual[zone]) / 32
	}
}

// blind tells of a front that sees all zones bad where another of its own zone sees one that is well.
func (w *Weigher) blind(t Told, told []Told, fresh time.Duration) bool {
	well := func(x Told) (some, looked bool) {
		for i, zone := range x.Word.Zones {
			if x.Word.Seen[i].sum() >= few {
				looked = true
				some = some || x.Word.Seen[i].badness()-2*w.usual[zone] <= doubtful
			}
		}
		return some, looked
	}
	if some, looked := well(t); some || !looked {
		return false
	}
	for _, o := range told {
		if o.Front != t.Front && o.Zone == t.Zone && o.Ago <= fresh && !o.Word.Sick {
			if some, _ := well(o); some {
				return true
			}
		}
	}
	return false
}

// trimmed is the mean by weight without the extremes, so that a liar, or a front that sees what no other does, moves nothing.
func trimmed(all []look) float64 {
	s := slices.Clone(all)
	slices.SortFunc(s, func(a, b look) int { return cmp.Compare(a.bad, b.bad) })
	cut := len(s) / trim
	if cut == 0 && len(s) >= 3 {
		cut = 1
	}
	sum, weight := 0.0, 0.0
	for _, l := range s[cut : len(s)-cut] {
		sum, weight = sum+l.bad*min(l.weight, 1000), weight+min(l.weight, 1000)
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}
