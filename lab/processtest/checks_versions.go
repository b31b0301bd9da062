package processtest

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// resumeDelay is what a front needs, once it is resumed, to notice that it was paused: until then it begins nothing, but has not
// recorded that it stands by.
const resumeDelay = 250 * time.Millisecond

// notEnded is the end of a period that is not over.
const notEnded = 1 << 62

// versionPeriod is a time in which a front may begin requests on a version, as it recorded itself. Times are Unix microseconds.
type versionPeriod struct {
	front    string
	version  uint64
	from, to int64
}

// versionPeriods finds who may have acted on which version when, ordered by start.
func (c *checker) versionPeriods() (all []versionPeriod) {
	for _, p := range recordedVersionPeriods(c.history) {
		for _, f := range c.harness.fronts {
			if f.Name != p.front {
				continue
			}
			var afterPauses []versionPeriod
			p, afterPauses = p.whileRunning(f)
			all = append(all, afterPauses...)
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b versionPeriod) int { return cmp.Compare(a.from, b.from) })
	return all
}

// whileRunning shortens a period to the life of the process that began it and to its first pause; afterPauses is what remains of it after each pause.
func (p versionPeriod) whileRunning(f *Front) (first versionPeriod, afterPauses []versionPeriod) {
	for _, u := range f.uptimes {
		if u.ended() && u.from.UnixMicro() <= p.from && p.from <= u.to.UnixMicro() {
			p.to = min(p.to, u.to.UnixMicro())
		}
	}
	for _, pause := range f.pauses {
		if paused := pause.from.UnixMicro(); p.from < paused && paused < p.to {
			if resumed := pause.to.Add(resumeDelay).UnixMicro(); pause.ended() && resumed < p.to {
				afterPauses = append(afterPauses, versionPeriod{p.front, p.version, resumed, p.to})
			}
			p.to = paused
		}
	}
	return p, afterPauses
}

// recordedVersionPeriods reads the periods from the history: from the adoption of a version until the front recorded that it acts on
// another one alone, or stands by.
func recordedVersionPeriods(history []fleet.HistoryEntry) (all []versionPeriod) {
	open := map[string]map[uint64]int64{} // by front and incarnation: versions, and since when
	newest := map[string]uint64{}
	fronts := map[string]string{}
	end := func(key string, version uint64, at int64) {
		all = append(all, versionPeriod{fronts[key], version, open[key][version], at})
		delete(open[key], version)
	}
	for _, e := range history {
		key := fmt.Sprint(e.Front, "/", e.Incarnation)
		fronts[key] = e.Front
		if open[key] == nil {
			open[key] = map[uint64]int64{}
		}
		switch e.Kind {
		case versionAdopted:
			newest[key] = e.Number
			open[key][e.Number] = e.At
		case versionInForce:
			for _, v := range slices.Sorted(maps.Keys(open[key])) {
				if v != e.Number {
					end(key, v, e.At)
				}
			}
		case standbyBegan:
			for _, v := range slices.Sorted(maps.Keys(open[key])) {
				end(key, v, e.At)
			}
		case standbyEnded:
			open[key][newest[key]] = e.At
		}
	}
	for key, versions := range open {
		for version, from := range versions {
			all = append(all, versionPeriod{fronts[key], version, from, notEnded})
		}
	}
	return all
}

// checkConcurrentVersions checks that fronts act on two versions at a time at most. Fronts that serve on alone by their operator's
// choice are fenced by the replicated state: nothing is checked for them here.
func (c *checker) checkConcurrentVersions() {
	if !c.harness.Script.Rollouts.StopWhenAlone {
		return
	}
	periods := c.versionPeriods()
	for i, p := range periods {
		versions := map[uint64]string{}
		for _, other := range periods[:i+1] {
			if other.from <= p.from && p.from < other.to-resumeDelay.Microseconds()/10 {
				versions[other.version] = other.front
			}
		}
		if len(versions) > 2 {
			c.violated("%d versions at a time at %.3f s: %v", len(versions), time.UnixMicro(p.from).Sub(c.began).Seconds(), versions)
		}
	}
}

// checkMustVersions checks that no request of a group that a must version gives up reaches a server once that version is in force.
func (c *checker) checkMustVersions() {
	if !c.harness.Script.Rollouts.StopWhenAlone {
		return
	}
	for _, version := range c.harness.expected.mustVersions {
		inForce := slices.IndexFunc(c.history, func(e fleet.HistoryEntry) bool {
			return e.Kind == rolloutChanged && e.Number == version && e.Name == phaseSteady
		})
		if inForce < 0 {
			continue
		}
		since := c.history[inForce].At
		for _, server := range c.harness.givenUp.Members {
			for _, s := range server.Seen() {
				if late := s.At.UnixMicro() - since; late > 0 {
					c.violated("%s reached %s %v after version %d, which gives its group up, was in force", s.ID, server.Name,
						time.Duration(late)*time.Microsecond, version)
				}
			}
		}
	}
}

// rolloutTimes finds how long each version took, from the time at which the first front recorded it.
func rolloutTimes(history []fleet.HistoryEntry) (all []RolloutTimes) {
	began := map[uint64]int64{}
	index := map[uint64]int{}
	for _, e := range history {
		since := func(version uint64) time.Duration { return time.Duration(e.At-began[version]) * time.Microsecond }
		switch {
		case e.Kind == rolloutChanged && e.Term != 0 && began[e.Term] == 0:
			began[e.Term], index[e.Term] = e.At, len(all)
			all = append(all, RolloutTimes{Version: e.Term})
		case e.Kind == versionAdopted && began[e.Number] != 0:
			r := &all[index[e.Number]]
			if r.Adoptions++; r.First == 0 {
				r.First = since(e.Number)
			}
			r.Last = since(e.Number)
		case e.Kind == rolloutChanged && e.Name == phaseSteady && began[e.Number] != 0 && all[index[e.Number]].InForce == 0:
			all[index[e.Number]].InForce = since(e.Number)
		case e.Kind == rolloutChanged && e.Name == phaseRollingBack && began[e.Term] != 0 && all[index[e.Term]].RolledBack == 0:
			all[index[e.Term]].RolledBack = since(e.Term)
		}
	}
	return all
}
