package audit

import (
	"cmp"
	"slices"

	"dapplerouter/front"
)

// VersionUse is a time during which a front used a version, derived from the front's log.
type VersionUse struct {
	Front                string                    `json:"front"`
	Incarnation          uint64                    `json:"incarnation"`
	Version              uint64                    `json:"version"`
	Start                int64                     `json:"from"` // Unix microseconds of the front's clock
	End                  int64                     `json:"until"`
	MaxClockError        int64                     `json:"clock"` // possible error of Start and End, in microseconds
	Outcomes             [front.StatusCount]uint32 `json:"ended"`
	EndpointListVersions [2]int64                  `json:"list"` // first and last of the use's last interval
	LeaseExpirations     int                       `json:"lapses,omitempty"`
	Open                 bool                      `json:"open,omitempty"` // no line ends the use: the front still runs, or it crashed
}

// VersionUses returns the uses of all fronts, by front and time.
func VersionUses(logs []*FrontLog) (uses []VersionUse) {
	for _, log := range logs {
		b := versionUseBuilder{front: log.Front}
		for i := range log.Lines {
			b.add(&log.Lines[i].Line)
		}
		uses = append(uses, b.uses...)
	}
	return uses
}

// versionUseBuilder derives one front's uses from its lines.
type versionUseBuilder struct {
	front         string
	uses          []VersionUse
	running       bool // the process of the last use has not stopped
	maxClockError int64
}

// current returns the use by the process that runs, or nil if none runs.
func (b *versionUseBuilder) current() *VersionUse {
	if !b.running {
		return nil
	}
	return &b.uses[len(b.uses)-1]
}

// add adds the next line of the front's log.
func (b *versionUseBuilder) add(l *Line) {
	current := b.current()
	switch l.Event {
	case EventProcessStarted:
		b.maxClockError = l.MaxClockError
		b.startUse(l)
	case EventVersionAdopted:
		if current != nil && current.Version != l.Version {
			current.End, current.Open = l.At, false
			b.startUse(l)
		}
	case EventConfigLeaseExpired:
		if current != nil {
			current.LeaseExpirations++
		}
	case EventProcessStopped:
		if current != nil {
			current.End, current.Open = l.At, false
		}
		b.running = false
	case EventInterval:
		b.addInterval(l)
	default:
		if current != nil {
			current.End = max(current.End, l.At)
		}
	}
}

// startUse starts the use of the line's version at the line's time.
func (b *versionUseBuilder) startUse(l *Line) {
	b.running = true
	b.uses = append(b.uses, VersionUse{Front: b.front, Incarnation: l.Incarnation, Version: l.Version, Start: l.At, End: l.At, MaxClockError: b.maxClockError, Open: true})
}

// addInterval adds an interval to its use. That may be an earlier use, because the last requests of a use may finish after the next
// adoption.
func (b *versionUseBuilder) addInterval(l *Line) {
	for i := len(b.uses) - 1; i >= 0; i-- {
		use := &b.uses[i]
		if use.Incarnation != l.Incarnation || use.Version != l.Version {
			continue
		}
		for _, byStatus := range l.Outcomes {
			for status, n := range byStatus {
				if status < len(use.Outcomes) { // a newer program may have more statuses
					use.Outcomes[status] += n
				}
			}
		}
		use.End = max(use.End, l.End)
		if len(l.EndpointListVersions) == 2 {
			use.EndpointListVersions = [2]int64{l.EndpointListVersions[0], l.EndpointListVersions[1]}
		}
		return
	}
}

// UsesAt returns the uses at a time, in Unix microseconds. For each of them, certain reports whether the use holds for every possible
// error of the front's clock.
func UsesAt(uses []VersionUse, at int64) (found []VersionUse, certain []bool) {
	for _, u := range uses {
		if u.Start-u.MaxClockError <= at && at <= u.End+u.MaxClockError {
			found = append(found, u)
			certain = append(certain, u.Start+u.MaxClockError <= at && at <= u.End-u.MaxClockError)
		}
	}
	return found, certain
}

// VersionSummary is what all fronts together did on a version.
type VersionSummary struct {
	Version   uint64                    `json:"version"`
	RulesHash string                    `json:"meaning"`
	First     int64                     `json:"first"` // start of its first use, Unix microseconds
	Last      int64                     `json:"last"`  // end of its last use
	Fronts    int                       `json:"fronts"`
	Outcomes  [front.StatusCount]uint32 `json:"ended"`
}

// SummarizeVersions returns a summary of each version, in the order of versions.
func SummarizeVersions(logs []*FrontLog, uses []VersionUse) (summaries []VersionSummary) {
	hashes := rulesHashes(logs)
	byVersion := map[uint64]*VersionSummary{}
	fronts := map[uint64]map[string]bool{}
	for _, u := range uses {
		s := byVersion[u.Version]
		if s == nil {
			s = &VersionSummary{Version: u.Version, RulesHash: hashes[u.Version], First: u.Start}
			byVersion[u.Version], fronts[u.Version] = s, map[string]bool{}
		}
		fronts[u.Version][u.Front] = true
		s.First, s.Last = min(s.First, u.Start), max(s.Last, u.End)
		for status, n := range u.Outcomes {
			s.Outcomes[status] += n
		}
	}
	for version, s := range byVersion {
		s.Fronts = len(fronts[version])
		summaries = append(summaries, *s)
	}
	slices.SortFunc(summaries, func(a, b VersionSummary) int { return cmp.Compare(a.Version, b.Version) })
	return summaries
}

// rulesHashes returns the hash of each version's rules, if a line has it.
func rulesHashes(logs []*FrontLog) map[uint64]string {
	hashes := map[uint64]string{}
	for _, log := range logs {
		for _, l := range log.Lines {
			if (l.Event == EventVersionAdopted || l.Event == EventProcessStarted) && l.RulesHash != "" {
				hashes[l.Version] = l.RulesHash
			}
		}
	}
	return hashes
}
