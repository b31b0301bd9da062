package rollout

import (
	"fmt"
	"strings"
	"time"
)

// checkStage decides what follows the open stage, which is the stage in progress: the next stage, the end of the rollout, a pause, a
// rollback, or more waiting.
func (c *Controller) checkStage(in *stepInput) {
	if reason := c.failureReason(in); reason != "" {
		c.rollBack(in.state, reason)
		return
	}
	if in.state.Paused {
		return
	}
	d := in.deadline()
	p := c.progress(in)
	if len(p.lagging) > 0 {
		if c.waitsForLagging(in, p) {
			return // the lagging fronts are being updated
		}
		if reason := p.tooManyFenced(int(in.state.MaxFenced)); reason != "" {
			if in.state.Reason != reason { // the reason is stored once
				c.writer.replaceQueued(stateWrite(in.state, reason))
			}
			return
		}
	} else if p.adopted == 0 && (d.InForceWithin == 0 || in.now-c.rollout.at < c.scheduleFor(in.state, d).stageEnd) {
		return // all fronts of the stage are silent; with a deadline the stage ends after its time nevertheless
	}
	if c.stage.completeSince == 0 {
		c.stage.completeSince = in.now
	}
	if d.InForceWithin > 0 {
		c.endTimedStage(in, p.lagging)
		return
	}
	c.endStage(in, p.lagging)
}

// lastStage reports whether the open stage is the last one, which comprises the whole fleet.
func (s *State) lastStage() bool { return s.Stage == len(s.Stages)-1 }

// endTimedStage ends a stage of a rollout with a deadline. The stage ends as soon as its analysis finds both versions alike, or once it
// was observed for the requested time, or once its share of the time is over. If the analysis then leans towards Worse, the version is
// rolled back; if the analysis did not decide, the publication's OnUndecided says what follows. The last stage has no front on the old
// version, and therefore no analysis.
func (c *Controller) endTimedStage(in *stepInput, lagging []string) {
	s, d := in.state, in.deadline()
	verdict, _ := c.stage.analysis.verdict()
	observed := in.now - c.stage.completeSince
	times := c.scheduleFor(s, d)
	timeLeft := min(times.stageTime, max(0, times.stageEnd-(c.stage.completeSince-c.rollout.at)))
	undecided := fmt.Sprintf("the time of wave %d is over, and did not tell whether version %d serves worse", s.Stage+1, s.Next)
	switch {
	case !s.lastStage() && verdict == Equivalent:
		c.openNextStage(in, lagging)
	case observed < min(s.ObservationTime, timeLeft):
		return
	case s.lastStage():
		c.openNextStage(in, lagging)
	case c.stage.analysis.suspectsWorse():
		c.rollBack(s, fmt.Sprintf("its time is over, and version %d looks as if it served worse", s.Next))
	case s.ObservationTime == 0 || d.OnUndecided == UndecidedContinue || c.stage.lastPaused == stageOf(s):
		c.openNextStage(in, lagging)
	case d.OnUndecided == UndecidedPause:
		s.Paused = true
		c.writer.replaceQueued(stateWrite(s, "held: "+undecided))
	default:
		c.rollBack(s, undecided)
	}
}

// waitsForLagging reports whether the open stage still waits for fronts that are not on the new version.
func (c *Controller) waitsForLagging(in *stepInput, p stageProgress) bool {
	s := in.state
	if d := in.deadline(); d.InForceWithin > 0 {
		times := c.scheduleFor(s, d)
		switch {
		case !s.lastStage():
			return in.now-c.rollout.at < times.stageEnd
		case p.laggingReachable == 0:
			return false // unreachable fronts can't be updated: they are fenced at once
		default:
			return in.now-c.rollout.at < times.fenceAt
		}
	}
	patience := 3 * c.options.ConfigLease
	if s.Mandatory {
		patience = c.options.ConfigLease / 2
	}
	return !s.lastStage() || in.now-c.stage.openedAt < patience
}

// stageProgress counts the fronts that should be on the new version by the open stage, by whether they have adopted it.
type stageProgress struct {
	adopted          int      // reachable and on the new version
	lagging          []string // not on the new version, and waited for or to be fenced
	laggingReachable int      // the number of lagging fronts that reported lately
	fronts           int      // number of fronts of the whole fleet

	inZone, laggingInZone map[string]int // number of fronts by zone
}

// progress counts the fronts that should be on the new version by the open stage, which is the stage in progress: those that have adopted
// it and those that lag behind. Before the last stage, fronts without a recent report do not count as lagging. In a rollout with a
// deadline, neither do silent fronts whose configuration leases have already expired: they serve nothing, so they need not be fenced.
func (c *Controller) progress(in *stepInput) stageProgress {
	r, s := in.replicated, in.state
	hasDeadline := in.deadline().InForceWithin > 0
	p := stageProgress{fronts: len(r.Fronts), inZone: map[string]int{}, laggingInZone: map[string]int{}}
	for _, name := range in.fronts() {
		zone := r.Fronts[name].Zone
		p.inZone[zone]++
		if s.VersionFor(name) != s.Next {
			continue
		}
		t, ok := c.reports.latest[name]
		reachable := ok && t.Age <= c.options.Timing.LeaseDuration
		if reachable && t.ActiveVersion == s.Next && t.Incarnation == r.Fronts[name].Incarnation {
			p.adopted++
			continue
		}
		if !s.lastStage() && !reachable {
			continue // only the last stage waits for silent fronts
		}
		if hasDeadline && !reachable && c.reports.proof.expired(name, 0) {
			continue
		}
		if reachable {
			p.laggingReachable++
		}
		p.lagging = append(p.lagging, name)
		p.laggingInZone[zone]++
	}
	return p
}

// tooManyFenced returns why the lagging fronts can't be fenced, or "" if they can. At most the given share of the fleet, and of each
// zone, is fenced, in thousandths; one front may always be fenced.
func (p *stageProgress) tooManyFenced(permille int) string {
	if limit := max(1, p.fronts*permille/1000); len(p.lagging) > limit {
		return fmt.Sprintf("%d fronts lag (%s), and %d may be shut out at once", len(p.lagging), listNames(p.lagging), limit)
	}
	for zone, n := range p.laggingInZone {
		if limit := max(1, p.inZone[zone]*permille/1000); n > limit {
			return fmt.Sprintf("%d fronts of zone %s lag, and %d of it may be shut out at once", n, zone, limit)
		}
	}
	return ""
}

// endStage ends a stage of a rollout without a deadline, once the stage was observed for long enough. If the analysis leans towards Worse
// without a decision, the stage is observed for up to three times as long, and then paused.
func (c *Controller) endStage(in *stepInput, lagging []string) {
	s := in.state
	observed := in.now - c.stage.completeSince
	verdict, _ := c.stage.analysis.verdict()
	suspect := !s.lastStage() && verdict == Undecided && c.stage.analysis.suspectsWorse()
	switch {
	case observed < s.ObservationTime:
		return
	case suspect && observed < 3*s.ObservationTime:
		return // observe it for longer
	case suspect:
		s.Paused = true
		c.writer.replaceQueued(stateWrite(s, fmt.Sprintf("held: three times the watch did not tell whether version %d serves worse", s.Next)))
	default:
		c.openNextStage(in, lagging)
	}
}

// openNextStage opens the next stage. After the last stage it begins to finish the rollout, and thereby fences the lagging fronts.
func (c *Controller) openNextStage(in *stepInput, lagging []string) {
	s := in.state
	if !s.lastStage() {
		s.Stage++
		s.CutoffRank = cutoffRank(in.fronts(), s.Next, s.Stages[s.Stage])
		c.writer.replaceQueued(stateWrite(s, fmt.Sprintf("wave %d of %d is open", s.Stage+1, len(s.Stages))))
		return
	}
	s.Phase = PhaseFinishing
	reason := "all fronts are on it"
	if len(lagging) > 0 {
		reason = listNames(lagging) + " is shut out until it is up to date"
	}
	c.writer.replaceQueued(allowedWrite(s.Next, s.Next), stateWrite(s, reason))
}

// listNames joins names; of more than five it lists the first five and counts the rest.
func listNames(names []string) string { return joinFirst(names, 5) }

// joinFirst joins the first n names and counts the rest.
func joinFirst(names []string, n int) string {
	if len(names) > n {
		return strings.Join(names[:n], ", ") + fmt.Sprintf(" and %d more", len(names)-n)
	}
	return strings.Join(names, ", ")
}

// versionStage identifies a stage of the rollout of a version.
type versionStage struct {
	version uint64
	stage   int
}

// stageOf identifies the open stage.
func stageOf(s State) versionStage { return versionStage{s.Next, s.Stage} }

// stageID identifies what a stageObservation has observed: a stage in a phase, and whether it is paused.
type stageID struct {
	versionStage
	phase  Phase
	paused bool
}

// stageObservation holds what this controller has observed of the open stage.
type stageObservation struct {
	id            *stageID // nil before the first
	openedAt      time.Duration
	completeSince time.Duration // when the stage first waited for no front any more; 0 for not yet
	analysis      CanaryAnalysis
	samples       map[string]sample // by front: the counts that it reported last

	adopted    map[string]adoptedFront // by front: those that were seen on the new version, at any stage
	lastPaused versionStage            // the stage that was last seen paused; if it is not paused any more, an operator has resumed it
}

// resetIfStageChanged starts a new observation if the stage, the phase or the pause has changed since the previous step. It also
// remembers which stage was paused last.
func (o *stageObservation) resetIfStageChanged(in *stepInput) {
	s := in.state
	if s.Paused {
		o.lastPaused = stageOf(s)
	}
	id := stageID{stageOf(s), s.Phase, s.Paused}
	if o.id == nil || *o.id != id {
		o.id, o.openedAt, o.completeSince, o.analysis = &id, in.now, 0, CanaryAnalysis{}
		clear(o.samples)
	}
}
