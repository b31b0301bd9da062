package audit

import (
	"cmp"
	"slices"

	"dapplerouter/front"
)

// VersionUse is a time in which a front acted on a version, put together of its spans.
type VersionUse struct {
	Front                string                    `json:"front"`
	Incarnation          uint64                    `json:"incarnation"`
	Version              uint64                    `json:"version"`
	Start                int64                     `json:"from"` // Unix microseconds of the front's clock
	End                  int64                     `json:"until"`
	MaxClockError        int64                     `json:"clock"` // by how much it may be wrong
	Outcomes             [front.StatusCount]uint32 `json:"ended"`
	EndpointListVersions [2]int64                  `json:"list"`
	LeaseExpirations     int                       `json:"lapses,omitempty"`
	Open                 bool                      `json:"open,omitempty"` // nothing says that it ended: the front runs, or died
}

// VersionUses are the times of all fronts, by front and time.
func VersionUses(all []*FrontLog) (out []VersionUse) {
	for _, j := range all {
		var in *VersionUse
		clock := int64(0)
		for _, p := range j.Lines {
			switch p.Event {
			case EventProcessStarted:
				clock = p.MaxClockError
				if in != nil {
					in.Open = true
				}
				in = nil
				out = append(out, VersionUse{Front: j.Front, Incarnation: p.Incarnation, Version: p.Version, Start: p.At, End: p.At, MaxClockError: clock, Open: true})
				in = &out[len(out)-1]
			case EventVersionAdopted:
				if in != nil && in.Version != p.Version {
					in.End, in.Open = p.At, false
					out = append(out, VersionUse{Front: j.Front, Incarnation: p.Incarnation, Version: p.Version, Start: p.At, End: p.At, MaxClockError: clock, Open: true})
					in = &out[len(out)-1]
				}
			case EventConfigLeaseExpired:
				if in != nil {
					in.LeaseExpirations++
				}
			case EventProcessStopped:
				if in != nil {
					in.End, in.Open = p.At, false
				}
				in = nil
			case EventInterval: // it may come behind the adoption that ended it: its requests were in hand still
				for i := len(out) - 1; i >= 0 && out[i].Front == j.Front; i-- {
					if u := &out[i]; u.Incarnation == p.Incarnation && u.Version == p.Version {
						for _, ty := range p.Outcomes {
							for w, n := range ty {
								if w < len(u.Outcomes) {
									u.Outcomes[w] += n
								}
							}
						}
						u.End = max(u.End, p.End)
						if len(p.EndpointListVersions) == 2 {
							u.EndpointListVersions = [2]int64{p.EndpointListVersions[0], p.EndpointListVersions[1]}
						}
						break
					}
				}
			default:
				if in != nil {
					in.End = max(in.End, p.At)
				}
			}
		}
	}
	return out
}

// UsesAt are the uses in force at a moment, Unix microseconds; sure tells whether the front's clock can't be so wrong that another
// was.
func UsesAt(uses []VersionUse, at int64) (out []VersionUse, sure []bool) {
	for _, u := range uses {
		if u.Start-u.MaxClockError <= at && at <= u.End+u.MaxClockError {
			out = append(out, u)
			sure = append(sure, u.Start+u.MaxClockError <= at && at <= u.End-u.MaxClockError)
		}
	}
	return out, sure
}

// VersionSummary is what was done on a version by all fronts.
type VersionSummary struct {
	Version   uint64                    `json:"version"`
	RulesHash string                    `json:"meaning"`
	First     int64                     `json:"first"` // its first adoption, and the end of its last use
	Last      int64                     `json:"last"`
	Fronts    int                       `json:"fronts"`
	Outcomes  [front.StatusCount]uint32 `json:"ended"`
}

// SummarizeVersions sums uses up by version.
func SummarizeVersions(all []*FrontLog, uses []VersionUse) (out []VersionSummary) {
	meanings := map[uint64]string{}
	for _, j := range all {
		for _, p := range j.Lines {
			if (p.Event == EventVersionAdopted || p.Event == EventProcessStarted) && p.RulesHash != "" {
				meanings[p.Version] = p.RulesHash
			}
		}
	}
	by := map[uint64]*VersionSummary{}
	fronts := map[uint64]map[string]bool{}
	for _, u := range uses {
		s := by[u.Version]
		if s == nil {
			s = &VersionSummary{Version: u.Version, RulesHash: meanings[u.Version], First: u.Start}
			by[u.Version], fronts[u.Version] = s, map[string]bool{}
		}
		fronts[u.Version][u.Front] = true
		s.First, s.Last = min(s.First, u.Start), max(s.Last, u.End)
		for i, n := range u.Outcomes {
			s.Outcomes[i] += n
		}
	}
	for v, s := range by {
		s.Fronts = len(fronts[v])
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b VersionSummary) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
