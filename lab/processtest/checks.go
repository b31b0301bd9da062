package processtest

import (
	"fmt"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// observations are what a run left to be checked.
type observations struct {
	began     time.Time
	requests  []request
	history   []fleet.HistoryEntry // of all fronts, by time
	statuses  []frontStatus        // of fronts that answered at the end
	unsettled string               // what the fleet lacked once it had been left alone, "" for nothing
	usage     Usage
}

// checker checks the observations of a run; violations go into its result.
type checker struct {
	observations
	harness *Harness
	result  *Result
}

// check checks all invariants.
func (h *Harness) check(o observations) *Result {
	c := &checker{observations: o, harness: h, result: &Result{Began: o.began, History: o.history, Usage: o.usage}}
	c.checkExpectations()
	c.checkTerms()
	c.checkLeases()
	c.checkReplicatedState()
	c.checkRequests()
	c.result.Rollouts = rolloutTimes(o.history)
	if h.Script.Rollouts.Enabled() {
		c.checkConcurrentVersions()
		c.checkMustVersions()
		c.checkAudits()
	}
	c.result.timeline = c.timeline()
	return c.result
}

func (c *checker) violated(format string, args ...any) {
	c.result.Violations = append(c.result.Violations, fmt.Sprintf(format, args...))
}

// checkExpectations checks what the script's steps required, and that the fleet settled once the script was over.
func (c *checker) checkExpectations() {
	if c.unsettled != "" {
		c.violated("the fleet did not settle after the script: %s", c.unsettled)
	}
	for _, unmet := range c.harness.expected.unmet {
		c.violated("%s", unmet)
	}
	for _, name := range c.harness.expected.mustHalt {
		if !slices.ContainsFunc(c.history, func(e fleet.HistoryEntry) bool { return e.Front == name && e.Kind == voterHalted }) {
			c.violated("%s came back with a disk that had lost something, and was not halted", name)
		}
	}
}

// checkReplicatedState checks that fronts at one index of the replicated state know the same terms and leaseholders.
func (c *checker) checkReplicatedState() {
	for i, a := range c.statuses {
		for _, b := range c.statuses[i+1:] {
			if a.Index == b.Index && fmt.Sprint(a.grants()) != fmt.Sprint(b.grants()) {
				c.violated("%s and %s differ about the replicated state at index %d: %v, %v", a.Name, b.Name, a.Index, a.grants(), b.grants())
			}
		}
	}
}

// grants are the leases of a status without the time left, which differs between fronts.
func (s frontStatus) grants() (all []string) {
	for _, l := range s.Leases {
		all = append(all, fmt.Sprint(l.Lease, l.Holder, l.Term))
	}
	return all
}
