package rollout

import (
	"fmt"
	"math"
)

// A CanaryAnalysis decides whether fronts on a new version fail more often than those on the old one at the same time. It is Wald's
// sequential test on pairs: in each interval the failures (requests that were answered and did not succeed) of both sides are compared.
// Given how many there were in all, and how many requests each side answered, a failure falls to the new side with probability
// p = n1/(n1+n0) where both serve alike, and with p' = odds*n1/(odds*n1+n0) where the new one fails odds times as often. So a
// bad minute of the servers, a burst or a quiet night affect both sides alike and cancel out. It is done for each request type
// and for all together, against a version that fails twice and one that fails eight times as often: the first finds small
// harm in the end, the second finds great harm at once.
//
// Errors: a version that serves alike is called worse with probability alpha over all these tests together, as often as the verdict
// is read; one that fails twice as often is called alike with probability beta, where a test comes to that verdict at all. Where
// failures are common the counts vary less than the model assumes, which errs to the careful side.
type CanaryAnalysis struct {
	tests []sequentialTest // of all types together, then of each
}

// sequentialTest is the test of one set of request types, against each of the odds.
type sequentialTest struct {
	logLikelihood [len(odds)]float64 // logarithms of the likelihood ratios
	failures      [2]uint64          // by side
	finished      [2]uint64          // by side
}

// Error rates, as in the description of CanaryAnalysis.
const (
	alpha = 0.01
	beta  = 0.01
)

// odds are how many times as often a worse version fails.
var odds = [...]float64{2, 8}

// add adds an interval's counts by type, of the new side and of the old.
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
	Undecided Verdict = iota // not enough was seen
	Alike                    // both versions fail alike
	Worse                    // the new version fails more often
)

// thresholds returns the logarithms at which a test decides: worse from the upper one, alike below the lower. The error rate is divided
// among all tests.
func (a *CanaryAnalysis) thresholds() (upper, lower float64) {
	n := float64(max(len(a.tests)*len(odds), 1))
	return math.Log((1 - beta) / (alpha / n)), math.Log(beta / (1 - alpha/n))
}

// verdict returns what the counts show so far, and for Worse the evidence. Alike needs all types that saw failures.
func (a *CanaryAnalysis) verdict() (v Verdict, evidence string) {
	upper, lower := a.thresholds()
	alike, anyFailures := true, false
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
			alike = alike && t.logLikelihood[0] <= lower
		}
	}
	if anyFailures && alike {
		return Alike, ""
	}
	return Undecided, ""
}

// suspectsWorse reports whether an undecided analysis leans towards Worse: more than half of the way.
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
