package rollout

import (
	"fmt"
	"math"
)

// CanaryAnalysis decides whether fronts on a new version fail more often than fronts on the old version at the same time. It is Wald's
// sequential probability ratio test on pairs: in each interval it compares the failures of both sides. A failure is a request that was
// answered and did not succeed. Given the total number of failures, and the numbers n1 and n0 of requests that the new and the old side
// answered, a failure falls to the new side with probability n1/(n1+n0) if both versions fail equally often. If the new version fails
// odds times as often, the probability is odds*n1/(odds*n1+n0). Conditions that affect both sides, such as a bad minute of the servers, a
// burst or a quiet night, cancel out. The test is done for each request type and for all types together, each against a version that
// fails twice as often and one that fails eight times as often. The first finds small regressions after some time, the second finds large
// ones at once.
//
// Error rates: a version that fails as often as the old one is found worse with probability alpha, over all these tests together and
// however often the verdict is read. A version that fails twice as often is found equivalent with probability beta, if a test comes to that
// verdict at all. If failures are common, the counts vary less than the model assumes, and the errors are on the safe side.
type CanaryAnalysis struct {
	tests []sequentialTest // the first is for all types together, the others are for each type
}

// sequentialTest is the test of one set of request types against each of the odds.
type sequentialTest struct {
	logLikelihood [len(odds)]float64 // logarithm of the likelihood ratio for each of the odds
	failures      [2]uint64          // by side
	finished      [2]uint64          // by side
}

// Error rates; see CanaryAnalysis.
const (
	alpha = 0.01
	beta  = 0.01
)

// odds are the ratios of failure rates that the tests look for.
var odds = [...]float64{2, 8}

// add adds the counts of one interval, by request type. Both sides list the same types.
func (a *CanaryAnalysis) add(newCounts, oldCounts []Counts) {
	var newTotal, oldTotal Counts
	for i := range newCounts {
		newTotal.add(newCounts[i])
		oldTotal.add(oldCounts[i])
	}
	for len(a.tests) <= len(newCounts) {
		a.tests = append(a.tests, sequentialTest{})
	}
	a.tests[0].add(newTotal, oldTotal)
	for i := range newCounts {
		a.tests[i+1].add(newCounts[i], oldCounts[i])
	}
}

// add adds the counts of one interval. An interval in which a side answered nothing does not change the likelihood ratios.
func (t *sequentialTest) add(newCounts, oldCounts Counts) {
	for side, counts := range [...]Counts{newSide: newCounts, oldSide: oldCounts} {
		t.failures[side] += counts.failures()
		t.finished[side] += counts.Finished
	}
	if newCounts.Finished == 0 || oldCounts.Finished == 0 {
		return
	}
	n1, n0 := float64(newCounts.Finished), float64(oldCounts.Finished)
	f1, f0 := float64(newCounts.failures()), float64(oldCounts.failures())
	p := n1 / (n1 + n0)
	for i, worse := range odds {
		q := worse * n1 / (worse*n1 + n0)
		t.logLikelihood[i] += f1*math.Log(q/p) + f0*math.Log((1-q)/(1-p))
	}
}

// Verdict is the result of a CanaryAnalysis.
type Verdict uint8

// Verdicts of a CanaryAnalysis.
const (
	Undecided  Verdict = iota // the evidence is not sufficient
	Equivalent                // both versions fail equally often
	Worse                     // the new version fails more often
)

// thresholds returns the logarithms of the likelihood ratio at which a test decides: Worse at the upper one or above, Equivalent at the lower
// one or below. The error rate alpha is divided among all tests.
func (a *CanaryAnalysis) thresholds() (upper, lower float64) {
	n := float64(max(len(a.tests)*len(odds), 1))
	return math.Log((1 - beta) / (alpha / n)), math.Log(beta / (1 - alpha/n))
}

// verdict returns what the counts show so far, and the evidence if it is Worse. The verdict is Equivalent only if the tests of all request
// types that saw failures come to it.
func (a *CanaryAnalysis) verdict() (v Verdict, evidence string) {
	upper, lower := a.thresholds()
	equivalent, anyFailures := true, false
	for i, t := range a.tests {
		for _, x := range t.logLikelihood {
			if x >= upper {
				requests := "of all requests"
				if i > 0 {
					requests = fmt.Sprintf("of request type %d", i-1)
				}
				return Worse, fmt.Sprintf("%s, %d of %d failed on the new version and %d of %d on the old",
					requests, t.failures[newSide], t.finished[newSide], t.failures[oldSide], t.finished[oldSide])
			}
		}
		if t.failures[newSide]+t.failures[oldSide] > 0 {
			anyFailures = true
			equivalent = equivalent && t.logLikelihood[0] <= lower
		}
	}
	if anyFailures && equivalent {
		return Equivalent, ""
	}
	return Undecided, ""
}

// suspectsWorse reports whether a test is more than half of the way to Worse, on the scale of the logarithm.
func (a *CanaryAnalysis) suspectsWorse() bool {
	upper, _ := a.thresholds()
	for _, t := range a.tests {
		for _, x := range t.logLikelihood {
			if x > upper/2 {
				return true
			}
		}
	}
	return false
}
