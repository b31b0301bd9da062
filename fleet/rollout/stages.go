package rollout

import (
	"fmt"
	"strings"
	"time"
)

// checkStage decides what follows the open stage: the next one, the end, a pause, a roll back, or to wait.
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
			return // they are being updated
		}
		if reason := p.tooManyFenced(int(in.state.MaxFenced)); reason != "" {
			if in.state.Reason != reason { // stored once
				c.writer.set(stateWrite(in.state, reason))
			}
			return
		}
	} else if p.adopted == 0 && (d.InForceWithin == 0 || in.now-c.rollout.at < c.scheduleFor(in.state, d).stageEnd) {
		return // its fronts are silent; with a deadline its time passes all the same
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

// lastStage reports whether the open stage is the one of the whole fleet.
func (s *State) lastStage() bool { return s.Stage == len(s.Stages)-1 }

// endTimedStage ends a stage of a rollout with a deadline: as soon as its analysis has decided, or when it was observed for as long
// as was asked or its share of the time is over. Where the analysis then leans towards worse the version is rolled back; where it did
// not decide, the publication says what happens. The last stage has no front on the old version, and no analysis.
func (c *Controller) endTimedStage(in *stepInput, lagging []string) {
	s, d := in.state, in.deadline()
	verdict, _ := c.stage.analysis.verdict()
	observed := in.now - c.stage.completeSince
	times := c.scheduleFor(s, d)
	timeLeft := min(times.stageTime, max(0, times.stageEnd-(c.stage.completeSince-c.rollout.at)))
	undecided := fmt.Sprintf("the time of wave %d is over, and did not tell whether version %d serves worse", s.Stage+1, s.Next)
	switch {
	case !s.lastStage() && verdict == Alike:
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
		c.writer.set(stateWrite(s, "held: "+undecided))
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
			return false // nobody can update them: the sooner they are fenced the better
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

// stageProgress is how far the fronts of the open stage have come.
type stageProgress struct {
	adopted          int      // on the new version, and reachable
	lagging          []string // the others that count
	laggingReachable int      // those of lagging that reported lately
	fronts           int      // of the whole fleet

	inZone, laggingInZone map[string]int
}

// progress counts the fronts of the open stage. With a deadline, fronts whose configuration leases have expired by themselves do not
// count: they serve nothing, so they need not be fenced.
func (c *Controller) progress(in *stepInput) stageProgress {
	r, s := in.replicated, in.state
	timed := in.deadline().InForceWithin > 0
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
			continue // only the last stage waits for a silent front
		}
		if timed && !reachable && c.reports.proof.expired(name, 0) {
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

// tooManyFenced returns why the fronts that lag can't be fenced, "" where they can: at most a share of the fleet and of each zone, in
// thousandths, but always one.
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

// endStage ends a stage whose fronts are all on the new version, once it was observed for long enough.
func (c *Controller) endStage(in *stepInput, lagging []string) {
	s := in.state
	observed := in.now - c.stage.completeSince
	verdict, _ := c.stage.analysis.verdict()
	suspect := !s.lastStage() && verdict == Undecided && c.stage.analysis.suspectsWorse()
	switch {
	case observed < s.ObservationTime:
		return
	case suspect && observed < 3*s.ObservationTime:
		return // observe it for longer: the evidence leans towards worse
	case suspect:
		s.Paused = true
		c.writer.set(stateWrite(s, fmt.Sprintf("held: three times the watch did not tell whether version %d serves worse", s.Next)))
	default:
		c.openNextStage(in, lagging)
	}
}

// openNextStage opens the stage after the open one; after the last one it finishes the rollout, and fences the fronts that lag.
func (c *Controller) openNextStage(in *stepInput, lagging []string) {
	s := in.state
	if !s.lastStage() {
		s.Stage++
		s.CutoffRank = stageCut(in.fronts(), s.Next, s.Stages[s.Stage])
		c.writer.set(stateWrite(s, fmt.Sprintf("wave %d of %d is open", s.Stage+1, len(s.Stages))))
		return
	}
	s.Phase = PhaseFinishing
	reason := "all fronts are on it"
	if len(lagging) > 0 {
		reason = listNames(lagging) + " is shut out until it is up to date"
	}
	c.writer.set(allowedWrite(s.Next, s.Next), stateWrite(s, reason))
}

// listNames joins names, the first five of many.
func listNames(names []string) string { return joinFirst(names, 5) }

// joinFirst joins the first n of some names, and counts the others.
func joinFirst(names []string, n int) string {
	if len(names) > n {
		return strings.Join(names[:n], ", ") + fmt.Sprintf(" and %d more", len(names)-n)
	}
	return strings.Join(names, ", ")
}

// openStage is a stage of a version.
type openStage struct {
	version uint64
	stage   int
}

func stageOf(s State) openStage { return openStage{s.Next, s.Stage} }

// stageID is what the times of a stageObservation belong to.
type stageID struct {
	openStage
	phase  Phase
	paused bool
}

// stageObservation is what this controller has seen of the open stage.
type stageObservation struct {
	id            *stageID // nil before the first
	openedAt      time.Duration
	completeSince time.Duration // when all reachable fronts were first on their version; 0 for not yet
	analysis      CanaryAnalysis
	samples       map[string]sample // by front, of the interval before

	adopted    map[string]adoptedFront // by front: those that were seen on the new version, at any stage
	lastPaused openStage               // the stage that was seen paused last: where it is paused no more an operator resumed it
}

// begin begins anew where the state is at another stage than before.
func (o *stageObservation) begin(in *stepInput) {
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
