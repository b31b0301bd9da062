package processtest

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// pauseDetectionDelay is the time that a resumed front may need to notice that it was paused. Until then the front begins no request,
// but it has not yet recorded that it stands by.
const pauseDetectionDelay = 250 * time.Millisecond

// notEnded is the end time of a period that has not ended.
const notEnded = 1 << 62

// versionPeriod is an interval in which a front may begin requests on a version, by the front's own history. Times are Unix
// microseconds.
type versionPeriod struct {
	front    string
	version  uint64
	from, to int64
}

// versionPeriods returns the periods of all fronts and versions, ordered by start. Times in which a front's process was down or
// paused are excluded.
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

// whileRunning ends a period when the process that began it exited or was first paused, whichever came first. It returns that period
// and the remaining periods after each pause.
func (p versionPeriod) whileRunning(f *Front) (first versionPeriod, afterPauses []versionPeriod) {
	for _, u := range f.uptimes {
		if u.ended() && u.from.UnixMicro() <= p.from && p.from <= u.to.UnixMicro() {
			p.to = min(p.to, u.to.UnixMicro())
		}
	}
	for _, pause := range f.pauses {
		if paused := pause.from.UnixMicro(); p.from < paused && paused < p.to {
			if resumed := pause.to.Add(pauseDetectionDelay).UnixMicro(); pause.ended() && resumed < p.to {
				afterPauses = append(afterPauses, versionPeriod{p.front, p.version, resumed, p.to})
			}
			p.to = paused
		}
	}
	return p, afterPauses
}

// recordedVersionPeriods returns the periods in the history, regardless of exits and pauses. A period begins when the front adopts
// the version or ends a standby. It ends when the front records that it acts only on another version, or that it stands by.
func recordedVersionPeriods(history []fleet.HistoryEntry) (all []versionPeriod) {
	open := map[string]map[uint64]int64{} // start times of open periods, by front and incarnation, then by version
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

// checkConcurrentVersions checks that the fronts act on at most two versions at a time. It checks nothing if the script lets fronts
// without a leader continue to serve: the replicated state fences those fronts instead.
func (c *checker) checkConcurrentVersions() {
	if !c.harness.Script.Rollouts.StopWhenAlone {
		return
	}
	periods := c.versionPeriods()
	for i, p := range periods {
		versions := map[uint64]string{}
		for _, other := range periods[:i+1] {
			if other.from <= p.from && p.from < other.to-pauseDetectionDelay.Microseconds()/10 {
				versions[other.version] = other.front
			}
		}
		if len(versions) > 2 {
			c.addViolation("%d versions at a time at %.3f s: %v", len(versions), time.UnixMicro(p.from).Sub(c.began).Seconds(), versions)
		}
	}
}

// checkMandatoryVersions checks mandatory versions whose rules reject the requests of a server group. Once such a version is in force,
// no request may reach a server of that group.
func (c *checker) checkMandatoryVersions() {
	if !c.harness.Script.Rollouts.StopWhenAlone {
		return
	}
	for _, version := range c.harness.expected.mandatoryVersions {
		inForce := slices.IndexFunc(c.history, func(e fleet.HistoryEntry) bool {
			return e.Kind == rolloutChanged && e.Number == version && e.Name == phaseSteady
		})
		if inForce < 0 {
			continue
		}
		since := c.history[inForce].At
		for _, server := range c.harness.rejectedGroup.Servers {
			for _, s := range server.Statements() {
				if late := s.At.UnixMicro() - since; late > 0 {
					c.addViolation("%s reached %s %v after version %d, which rejects requests of its group, was in force", s.ID, server.Name,
						time.Duration(late)*time.Microsecond, version)
				}
			}
		}
	}
}

// rolloutTimes returns the times of each version's rollout. They count from the moment at which the first front recorded the rollout.
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
