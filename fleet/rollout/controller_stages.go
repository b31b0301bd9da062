package rollout

import (
	"fmt"
	"strings"
	"time"

	"dapplerouter/fleet"
)

// checkStage decides what becomes of the open stage: the next one, the end, a pause, a roll back, or to wait.
func (c *Controller) checkStage(now time.Duration, r *fleet.ReplicatedState, s State) {
	if why := c.failureReason(now, r, s); why != "" {
		c.rollBack(s, why)
		return
	}
	if s.Paused {
		return
	}
	last := s.Stage == len(s.Stages)-1
	d := readDeadline(r, s)
	p := c.progress(r, s, last, d.Within > 0)
	if len(p.behind) > 0 {
		if c.waitsForBehind(now, s, d, p, last) {
			return // they are being updated
		}
		if why := p.tooManyFenced(int(s.MaxFenced)); why != "" {
			c.noteReason(s, why)
			return
		}
	} else if p.on == 0 && (d.Within == 0 || now-c.versionAt < c.scheduleFor(s, d).stageEnd) {
		return // its fronts are silent; with a deadline its time passes all the same
	}
	if c.completeSince == 0 {
		c.completeSince = now
	}
	if d.Within > 0 {
		c.endTimedStage(now, r, s, d, p.behind)
		return
	}
	c.endStage(r, s, now-c.completeSince, p.behind)
}

// endTimedStage goes on from a stage of a rollout with a deadline: as soon as its trial has decided, or when it was watched for as long
// as was asked or its share of the time is over. Where the trial then leans towards worse the version is rolled back; where it did not
// decide, the publication says what happens. The last stage has nobody beside it, and no trial.
func (c *Controller) endTimedStage(now time.Duration, r *fleet.ReplicatedState, s State, d deadline, behind []string) {
	last := s.Stage == len(s.Stages)-1
	verdict, _ := c.trial.verdict()
	watched := now - c.completeSince
	times := c.scheduleFor(s, d)
	share := min(times.share, max(0, times.stageEnd-(c.completeSince-c.versionAt)))
	switch {
	case !last && verdict == Alike:
		c.openNextStage(r, s, behind)
	case watched < min(s.ObservationTime, share):
		return
	case last:
		c.openNextStage(r, s, behind)
	case c.trial.leans():
		c.rollBack(s, fmt.Sprintf("its time is over, and version %d looks as if it served worse", s.Next))
	case s.ObservationTime == 0 || d.NoEvidence == UndecidedContinue || c.wasPaused == c.stageOf(s):
		c.openNextStage(r, s, behind)
	case d.NoEvidence == UndecidedPause:
		s.Paused = true
		c.queue = []put{c.putState(s, fmt.Sprintf("held: the time of wave %d is over, and did not tell whether version %d serves worse", s.Stage+1, s.Next))}
	default:
		c.rollBack(s, fmt.Sprintf("the time of wave %d is over, and did not tell whether version %d serves worse", s.Stage+1, s.Next))
	}
}

// waitsForBehind reports whether the open stage goes on waiting for fronts that are not on the new version.
func (c *Controller) waitsForBehind(now time.Duration, s State, d deadline, p progress, last bool) bool {
	if d.Within > 0 {
		times := c.scheduleFor(s, d)
		switch {
		case !last:
			return now-c.versionAt < times.stageEnd
		case p.behindHeard == 0:
			return false // nobody can update them: the sooner they are fenced the better
		default:
			return now-c.versionAt < times.fenceAt
		}
	}
	patience := 3 * c.options.ConfigLease
	if s.Mandatory {
		patience = c.options.ConfigLease / 2
	}
	return !last || now-c.stageAt < patience
}

// progress is how far the fronts of the open stage have come.
type progress struct {
	on     int      // on the new version, and heard
	behind []string // the others that count
	fronts int      // of the whole fleet

	behindHeard int // those of behind that are heard

	inZone, behindInZone map[string]int
}

// progress counts the fronts of the open stage; last says that it is the last one. With a deadline, fronts whose configuration leases
// have expired by themselves do not count: they act on nothing, so they need not be fenced.
func (c *Controller) progress(r *fleet.ReplicatedState, s State, last, timed bool) progress {
	p := progress{fronts: len(r.Fronts), inZone: map[string]int{}, behindInZone: map[string]int{}}
	for _, name := range c.fronts(r) {
		zone := r.Fronts[name].Zone
		p.inZone[zone]++
		if s.VersionFor(name) != s.Next {
			continue
		}
		t, ok := c.reports[name]
		heard := ok && t.Age <= c.options.Timing.LeaseDuration
		if heard && t.ActiveVersion == s.Next && t.Incarnation == r.Fronts[name].Incarnation {
			p.on++
			continue
		}
		if !last && !heard {
			continue // only the last stage waits for a silent front
		}
		if timed && !heard && c.proof.expired(name, 0) {
			continue
		}
		if heard {
			p.behindHeard++
		}
		p.behind = append(p.behind, name)
		p.behindInZone[zone]++
	}
	return p
}

// tooManyFenced says why the fronts that are behind can't be fenced, "" where they can: at most a share of the fleet and of each
// zone, in thousandths, but always one.
func (p *progress) tooManyFenced(permille int) string {
	if most := max(1, p.fronts*permille/1000); len(p.behind) > most {
		return fmt.Sprintf("%d fronts lag (%s), and %d may be shut out at once", len(p.behind), listNames(p.behind), most)
	}
	for zone, n := range p.behindInZone {
		if most := max(1, p.inZone[zone]*permille/1000); n > most {
			return fmt.Sprintf("%d fronts of zone %s lag, and %d of it may be shut out at once", n, zone, most)
		}
	}
	return ""
}

// endStage goes on from a stage whose fronts are all on the new version, once it was watched for long enough.
func (c *Controller) endStage(r *fleet.ReplicatedState, s State, watched time.Duration, behind []string) {
	last := s.Stage == len(s.Stages)-1
	verdict, _ := c.trial.verdict()
	suspect := !last && verdict == Undecided && c.trial.leans()
	next := s
	switch {
	case watched < s.ObservationTime:
		return
	case suspect && watched < 3*s.ObservationTime:
		return // wait longer: what was seen leans towards worse
	case suspect:
		next.Paused = true
		c.queue = []put{c.putState(next, fmt.Sprintf("held: three times the watch did not tell whether version %d serves worse", s.Next))}
	default:
		c.openNextStage(r, s, behind)
	}
}

// openNextStage opens the stage after the open one; after the last one it finishes the rollout, and fences who is behind.
func (c *Controller) openNextStage(r *fleet.ReplicatedState, s State, behind []string) {
	if s.Stage < len(s.Stages)-1 {
		s.Stage++
		s.CutoffRank = stageCut(c.fronts(r), s.Next, s.Stages[s.Stage])
		c.queue = []put{c.putState(s, fmt.Sprintf("wave %d of %d is open", s.Stage+1, len(s.Stages)))}
		return
	}
	s.Phase = PhaseFinishing
	why := "all fronts are on it"
	if len(behind) > 0 {
		why = listNames(behind) + " is shut out until it is up to date"
	}
	c.queue = []put{c.putAllowed(s.Next, s.Next), c.putState(s, why)}
}

// noteReason records a reason in the state, once.
func (c *Controller) noteReason(s State, why string) {
	if s.Reason != why {
		c.queue = []put{c.putState(s, why)}
	}
}

// listNames joins names, the first five of many.
func listNames(names []string) string {
	if len(names) > 5 {
		return strings.Join(names[:5], ", ") + fmt.Sprintf(" and %d more", len(names)-5)
	}
	return strings.Join(names, ", ")
}

// failureReason evaluates the latest reports, and says why the version must be rolled back, "" for nothing.
func (c *Controller) failureReason(now time.Duration, r *fleet.ReplicatedState, s State) string {
	var deltas [2][]Counts // by side, by request type
	var silent, all [2]int // by side
	for _, name := range c.fronts(r) {
		t, ok := c.reports[name]
		if !ok {
			continue
		}
		report, _ := DecodeReport(t.Data)
		if why := c.frontFailure(name, t, report, s); why != "" {
			return why
		}
		side := oldSide
		if t.ActiveVersion == s.Next {
			side = newSide
		}
		all[side]++
		if t.Age > c.options.Timing.LeaseDuration {
			silent[side]++
			continue
		}
		for i, delta := range c.countsSince(name, t, report) {
			for len(deltas[newSide]) <= i { // both sides list all types
				deltas[newSide] = append(deltas[newSide], Counts{})
				deltas[oldSide] = append(deltas[oldSide], Counts{})
			}
			deltas[side][i].Finished += delta.Finished
			deltas[side][i].Succeeded += delta.Succeeded
		}
	}
	if silent[newSide] >= 2 && silent[newSide]*2 > all[newSide] && silent[oldSide]*4 < all[oldSide] {
		return fmt.Sprintf("%d of %d fronts on version %d fell silent, and %d of %d on the old one",
			silent[newSide], all[newSide], s.Next, silent[oldSide], all[oldSide])
	}
	c.trial.add(deltas[newSide], deltas[oldSide])
	if v, evidence := c.trial.verdict(); v == Worse {
		return fmt.Sprintf("version %d serves worse: %s", s.Next, evidence)
	}
	return ""
}

// Sides of a trial.
const (
	newSide = iota
	oldSide
)

// frontFailure says why one front's report means that the version must be rolled back, "" for nothing.
func (c *Controller) frontFailure(name string, t fleet.MemberReport, report Report, s State) string {
	if report.RejectedVersion == s.Next {
		return fmt.Sprintf("%s can't use version %d: %s", name, s.Next, report.RejectedReason)
	}
	if was, ok := c.adopters[name]; ok && was.incarnation != t.Incarnation && !was.leaving {
		delete(c.adopters, name)
		return fmt.Sprintf("%s went down behind taking up version %d", name, s.Next)
	}
	if t.ActiveVersion == s.Next {
		c.adopters[name] = adopter{t.Incarnation, t.Leaving}
	}
	return ""
}

// countsSince returns by how much a front's counts grew since its last report, nil where the two can't be compared.
func (c *Controller) countsSince(name string, t fleet.MemberReport, report Report) []Counts {
	before, ok := c.samples[name]
	after := sample{t.Incarnation, t.ActiveVersion, report.TypesChecksum, report.Counts}
	c.samples[name] = after
	comparable := ok && before.incarnation == after.incarnation && before.version == after.version &&
		before.kinds == after.kinds && len(before.counts) == len(after.counts)
	if !comparable {
		return nil
	}
	deltas := make([]Counts, len(after.counts))
	for i := range deltas {
		deltas[i].Finished = after.counts[i].Finished - before.counts[i].Finished
		deltas[i].Succeeded = after.counts[i].Succeeded - before.counts[i].Succeeded
	}
	return deltas
}
