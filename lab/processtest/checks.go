package processtest

import (
	"fmt"
	"slices"
	"time"

	"dapplerouter/fleet"
)

// observations holds the data that a run collected for the checks.
type observations struct {
	began     time.Time            // when the first step's time starts to count
	requests  []request            // all requests of the clients
	history   []fleet.HistoryEntry // entries of all fronts, ordered by time
	statuses  []frontStatus        // final statuses of the fronts that answered
	unsettled string               // why the fleet did not settle after the script; "" if it did
	usage     Usage
}

// checker checks the observations of a run and adds violations to the result.
type checker struct {
	observations
	harness *Harness
	result  *Result
}

// check checks all invariants against the observations and returns the result of the run.
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
		c.checkMandatoryVersions()
		c.checkAudits()
	}
	c.result.timeline = c.timeline()
	return c.result
}

// addViolation adds a violation to the result.
func (c *checker) addViolation(format string, args ...any) {
	c.result.Violations = append(c.result.Violations, fmt.Sprintf(format, args...))
}

// checkExpectations checks that the expectations of the script's steps were met, that voters with lost state were halted, and that
// the fleet settled after the script.
func (c *checker) checkExpectations() {
	if c.unsettled != "" {
		c.addViolation("the fleet did not settle after the script: %s", c.unsettled)
	}
	for _, unmet := range c.harness.expected.unmet {
		c.addViolation("%s", unmet)
	}
	for _, name := range c.harness.expected.mustHalt {
		if !slices.ContainsFunc(c.history, func(e fleet.HistoryEntry) bool { return e.Front == name && e.Kind == voterHalted }) {
			c.addViolation("%s restarted with a disk that had lost state, but was not halted", name)
		}
	}
}

// checkReplicatedState checks that fronts whose replicated state is at the same index know the same holder and term of each lease.
func (c *checker) checkReplicatedState() {
	for i, a := range c.statuses {
		for _, b := range c.statuses[i+1:] {
			if a.Index == b.Index && fmt.Sprint(a.grants()) != fmt.Sprint(b.grants()) {
				c.addViolation("%s and %s differ about the replicated state at index %d: %v, %v", a.Name, b.Name, a.Index, a.grants(), b.grants())
			}
		}
	}
}

// grants returns each lease with its holder and term. The time left is omitted because it differs between fronts.
func (s frontStatus) grants() (all []string) {
	for _, l := range s.Leases {
		all = append(all, fmt.Sprint(l.Lease, l.Holder, l.Term))
	}
	return all
}
