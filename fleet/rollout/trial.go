package rollout

import (
	"fmt"
	"math"
)

// A CanaryAnalysis decides whether fronts on a new version serve worse than those on the old one beside them. It is Wald's sequential
// test on pairs: in each interval the failures (requests that were answered and did not succeed) of both sides are compared.
// Given how many there were in all, and how many requests each side answered, a failure falls to the new side with probability
// p = n1/(n1+n0) where both serve alike, and with p' = odds*n1/(odds*n1+n0) where the new one fails odds times as often. So a
// bad minute of the servers, a burst or a quiet night affect both sides alike and cancel out. It is done for each request type
// and for all together, against a version that fails twice and one that fails eight times as often: the first finds small
// harm in the end, the second finds great harm at once.
//
// Errors: a version that serves alike is called worse with probability alpha over all these tests together, as often as they are
// looked at; one that fails twice as often is called alike with probability beta, where a test comes to say so at all. Where
// failures are common the counts vary less than the law says, which errs to the careful side.
type CanaryAnalysis struct {
	kinds []weighing // of all types together, then of each
}

type weighing struct {
	weights [len(odds)]float64 // logarithms of the likelihood ratios
	fails   [2]uint64          // of the new side and of the old
	ended   [2]uint64
}

// The error rates, and what counts as worse.
const (
	alpha = 0.01
	beta  = 0.01
)

var odds = [...]float64{2, 8}

// add adds an interval's counts by type, of the new side and of the old.
func (t *CanaryAnalysis) add(fresh, old []Counts) {
	var all [2]Counts
	for i := range fresh {
		all[0].Finished, all[0].Succeeded = all[0].Finished+fresh[i].Finished, all[0].Succeeded+fresh[i].Succeeded
		all[1].Finished, all[1].Succeeded = all[1].Finished+old[i].Finished, all[1].Succeeded+old[i].Succeeded
	}
	for len(t.kinds) <= len(fresh) {
		t.kinds = append(t.kinds, weighing{})
	}
	t.kinds[0].add(all[0], all[1])
	for i := range fresh {
		t.kinds[i+1].add(fresh[i], old[i])
	}
}

func (w *weighing) add(fresh, old Counts) {
	for i, s := range []Counts{fresh, old} {
		w.fails[i] += s.Finished - s.Succeeded
		w.ended[i] += s.Finished
	}
	if fresh.Finished == 0 || old.Finished == 0 {
		return
	}
	n1, n0 := float64(fresh.Finished), float64(old.Finished)
	f1, f0 := float64(fresh.Finished-fresh.Succeeded), float64(old.Finished-old.Succeeded)
	p := n1 / (n1 + n0)
	for i, worse := range odds {
		q := worse * n1 / (worse*n1 + n0)
		w.weights[i] += f1*math.Log(q/p) + f0*math.Log((1-q)/(1-p))
	}
}

// Verdict is the result of a Trial.
type Verdict uint8

// Verdicts of a Trial.
const (
	Undecided Verdict = iota // not enough was seen
	Alike                    // both versions fail alike
	Worse                    // the new version fails more often
)

// verdict says what the counts show so far, and of which type. Alike needs all types that saw failures.
func (t *CanaryAnalysis) verdict() (v Verdict, evidence string) {
	k := float64(max(len(t.kinds)*len(odds), 1))
	up, down := math.Log((1-beta)/(alpha/k)), math.Log(beta/(1-alpha/k))
	alike, seen := true, false
	for i, w := range t.kinds {
		for _, x := range w.weights {
			if x >= up {
				what := "of all requests"
				if i > 0 {
					what = fmt.Sprintf("of request type %d", i-1)
				}
				return Worse, fmt.Sprintf("%s, %d of %d failed on the new version and %d of %d on the old", what, w.fails[0], w.ended[0], w.fails[1], w.ended[1])
			}
		}
		if w.fails[0]+w.fails[1] > 0 {
			seen = true
			alike = alike && w.weights[0] <= down
		}
	}
	if seen && alike {
		return Alike, ""
	}
	return Undecided, ""
}

// leans reports whether an undecided trial leans towards worse: more than half of the way.
func (t *CanaryAnalysis) leans() bool {
	k := float64(max(len(t.kinds)*len(odds), 1))
	half := math.Log((1-beta)/(alpha/k)) / 2
	for _, w := range t.kinds {
		for _, x := range w.weights {
			if x > half {
				return true
			}
		}
	}
	return false
}
