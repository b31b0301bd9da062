package rollout

import (
	"fmt"

	"dapplerouter/fleet"
)

// Sides of a canary analysis.
const (
	newSide = iota
	oldSide
)

// sample is the counts that a front reported last, and what they belong to.
type sample struct {
	incarnation, version uint64
	typesChecksum        uint32
	counts               []Counts
}

// adoptedFront is a front that was seen on the new version.
type adoptedFront struct {
	incarnation uint64
	leaving     bool // the front announced that it shuts down
}

// failureReason evaluates the latest reports. It returns why the version must be rolled back, or "" if it need not be.
func (c *Controller) failureReason(in *stepInput) string {
	s := in.state
	var deltas [2][]Counts // by side, by request type
	var silent, all [2]int // by side
	for _, name := range in.fronts() {
		t, ok := c.reports.latest[name]
		if !ok {
			continue
		}
		report, _ := DecodeReport(t.Data)
		if reason := c.stage.frontFailure(s, t, name, report); reason != "" {
			return reason
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
		for i, delta := range c.stage.countsSince(name, t, report) {
			for len(deltas[newSide]) <= i { // both sides list all types
				deltas[newSide] = append(deltas[newSide], Counts{})
				deltas[oldSide] = append(deltas[oldSide], Counts{})
			}
			deltas[side][i].add(delta)
		}
	}
	if silent[newSide] >= 2 && silent[newSide]*2 > all[newSide] && silent[oldSide]*4 < all[oldSide] {
		return fmt.Sprintf("%d of %d fronts on version %d fell silent, and %d of %d on the old one",
			silent[newSide], all[newSide], s.Next, silent[oldSide], all[oldSide])
	}
	c.stage.analysis.add(deltas[newSide], deltas[oldSide])
	if v, evidence := c.stage.analysis.verdict(); v == Worse {
		return fmt.Sprintf("version %d serves worse: %s", s.Next, evidence)
	}
	return ""
}

// frontFailure returns why one front's report requires that the version is rolled back, or "" if it does not.
func (o *stageObservation) frontFailure(s State, t fleet.MemberReport, name string, report Report) string {
	if report.RejectedVersion == s.Next {
		return fmt.Sprintf("%s can't use version %d: %s", name, s.Next, report.RejectedReason)
	}
	if before, ok := o.adopted[name]; ok && before.incarnation != t.Incarnation && !before.leaving {
		delete(o.adopted, name)
		return fmt.Sprintf("%s went down behind taking up version %d", name, s.Next)
	}
	if t.ActiveVersion == s.Next {
		o.adopted[name] = adoptedFront{t.Incarnation, t.Leaving}
	}
	return ""
}

// countsSince returns by how much a front's counts grew since its last report. It returns nil if the two reports can't be compared: they
// must come from the same process, on the same version and with the same request types.
func (o *stageObservation) countsSince(name string, t fleet.MemberReport, report Report) []Counts {
	before, ok := o.samples[name]
	after := sample{t.Incarnation, t.ActiveVersion, report.TypesChecksum, report.Counts}
	o.samples[name] = after
	sameSource := before.incarnation == after.incarnation && before.version == after.version &&
		before.typesChecksum == after.typesChecksum && len(before.counts) == len(after.counts)
	if !ok || !sameSource {
		return nil
	}
	deltas := make([]Counts, len(after.counts))
	for i := range deltas {
		deltas[i].Finished = after.counts[i].Finished - before.counts[i].Finished
		deltas[i].Succeeded = after.counts[i].Succeeded - before.counts[i].Succeeded
	}
	return deltas
}
