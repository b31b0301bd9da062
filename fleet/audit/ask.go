package audit

import (
	"cmp"
	"slices"

	"dapplerouter/front"
)

// Use is a time in which a front acted on a version, put together of its spans.
type Use struct {
	Front       string                    `json:"front"`
	Incarnation uint64                    `json:"incarnation"`
	Version     uint64                    `json:"version"`
	From        int64                     `json:"from"` // Unix microseconds of the front's clock
	Until       int64                     `json:"until"`
	Clock       int64                     `json:"clock"` // by how much it may be wrong
	Ended       [front.StatusCount]uint32 `json:"ended"`
	List        [2]int64                  `json:"list"`
	Lapses      int                       `json:"lapses,omitempty"`
	Open        bool                      `json:"open,omitempty"` // nothing says that it ended: the front runs, or died
}

// Uses are the times of all fronts, by front and time.
func Uses(all []*Journal) (out []Use) {
	for _, j := range all {
		var in *Use
		clock := int64(0)
		for _, p := range j.Lines {
			switch p.What {
			case Opened:
				clock = p.Clock
				if in != nil {
					in.Open = true
				}
				in = nil
				out = append(out, Use{Front: j.Front, Incarnation: p.Incarnation, Version: p.Version, From: p.At, Until: p.At, Clock: clock, Open: true})
				in = &out[len(out)-1]
			case Adopted:
				if in != nil && in.Version != p.Version {
					in.Until, in.Open = p.At, false
					out = append(out, Use{Front: j.Front, Incarnation: p.Incarnation, Version: p.Version, From: p.At, Until: p.At, Clock: clock, Open: true})
					in = &out[len(out)-1]
				}
			case Lapsed:
				if in != nil {
					in.Lapses++
				}
			case Closed:
				if in != nil {
					in.Until, in.Open = p.At, false
				}
				in = nil
			case InSpan: // it may come behind the adoption that ended it: its requests were in hand still
				for i := len(out) - 1; i >= 0 && out[i].Front == j.Front; i-- {
					if u := &out[i]; u.Incarnation == p.Incarnation && u.Version == p.Version {
						for _, ty := range p.Ended {
							for w, n := range ty {
								if w < len(u.Ended) {
									u.Ended[w] += n
								}
							}
						}
						u.Until = max(u.Until, p.Until)
						if len(p.List) == 2 {
							u.List = [2]int64{p.List[0], p.List[1]}
						}
						break
					}
				}
			default:
				if in != nil {
					in.Until = max(in.Until, p.At)
				}
			}
		}
	}
	return out
}

// At are the uses in force at a moment, Unix microseconds; sure tells whether the front's clock can't be so wrong that another
// was.
func At(uses []Use, at int64) (out []Use, sure []bool) {
	for _, u := range uses {
		if u.From-u.Clock <= at && at <= u.Until+u.Clock {
			out = append(out, u)
			sure = append(sure, u.From+u.Clock <= at && at <= u.Until-u.Clock)
		}
	}
	return out, sure
}

// Sum is what was done on a version by all fronts.
type Sum struct {
	Version uint64                    `json:"version"`
	Meaning string                    `json:"meaning"`
	First   int64                     `json:"first"` // its first adoption, and the end of its last use
	Last    int64                     `json:"last"`
	Fronts  int                       `json:"fronts"`
	Ended   [front.StatusCount]uint32 `json:"ended"`
}

// Versions sums uses up by version.
func Versions(all []*Journal, uses []Use) (out []Sum) {
	meanings := map[uint64]string{}
	for _, j := range all {
		for _, p := range j.Lines {
			if (p.What == Adopted || p.What == Opened) && p.Meaning != "" {
				meanings[p.Version] = p.Meaning
			}
		}
	}
	by := map[uint64]*Sum{}
	fronts := map[uint64]map[string]bool{}
	for _, u := range uses {
		s := by[u.Version]
		if s == nil {
			s = &Sum{Version: u.Version, Meaning: meanings[u.Version], First: u.From}
			by[u.Version], fronts[u.Version] = s, map[string]bool{}
		}
		fronts[u.Version][u.Front] = true
		s.First, s.Last = min(s.First, u.From), max(s.Last, u.Until)
		for i, n := range u.Ended {
			s.Ended[i] += n
		}
	}
	for v, s := range by {
		s.Fronts = len(fronts[v])
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b Sum) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
