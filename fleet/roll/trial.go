package roll

import (
	"fmt"
	"math"
)

// A Trial weighs whether fronts on a new version serve worse than those on the old one beside them. It is Wald's sequential
// test on pairs: in each interval, and for each txn type, the failures (txns that ended and were not committed) of both sides
// are looked at together. Given how many there were in all, and how many txns each side ended, a failure falls to the new side
// with chance p = n1/(n1+n0) where both serve alike, and with p' = worse*n1/(worse*n1+n0) where the new one fails worse times
// as often. So a bad minute of the members, a burst or a quiet night weigh on both sides alike and cancel out.
//
// Errors: a version that serves alike is called worse with chance alpha over all its types together, as the test is asked as
// often as one likes; one that fails twice as often is called alike with chance beta, once the test says so at all. Where
// failures are common the sums vary less than the law says, which errs to the careful side.
type Trial struct {
	weights []float64 // logarithms of the likelihoods' ratio, by type
	fails   [2][]uint64
	ended   [2][]uint64
}

// The error rates, and what counts as worse.
const (
	alpha = 0.01
	beta  = 0.01
	worse = 2.0
)

// add takes an interval's sums of one type, of the new side and of the old.
func (t *Trial) add(kind int, now, old Sum) {
	for len(t.weights) <= kind {
		t.weights = append(t.weights, 0)
		for i := range 2 {
			t.fails[i], t.ended[i] = append(t.fails[i], 0), append(t.ended[i], 0)
		}
	}
	for i, s := range []Sum{now, old} {
		t.fails[i][kind] += s.Ended - s.Served
		t.ended[i][kind] += s.Ended
	}
	if now.Ended == 0 || old.Ended == 0 {
		return
	}
	n1, n0 := float64(now.Ended), float64(old.Ended)
	f1, f0 := float64(now.Ended-now.Served), float64(old.Ended-old.Served)
	p, q := n1/(n1+n0), worse*n1/(worse*n1+n0)
	t.weights[kind] += f1*math.Log(q/p) + f0*math.Log((1-q)/(1-p))
}

// Verdict of a trial.
type Verdict uint8

const (
	Undecided Verdict = iota
	Alike
	Worse
)

// verdict says what the sums show so far, and of which type. Alike is the word of all types that saw failures.
func (t *Trial) verdict() (v Verdict, evidence string) {
	k := float64(max(len(t.weights), 1))
	up, down := math.Log((1-beta)/(alpha/k)), math.Log(beta/(1-alpha/k))
	alike := len(t.weights) > 0
	for i, w := range t.weights {
		if w >= up {
			return Worse, fmt.Sprintf("of txn type %d, %d of %d failed on the new version and %d of %d on the old", i, t.fails[0][i], t.ended[0][i], t.fails[1][i], t.ended[1][i])
		}
		alike = alike && (w <= down || t.fails[0][i]+t.fails[1][i] == 0)
	}
	if alike {
		return Alike, ""
	}
	return Undecided, ""
}

// leans tells whether an undecided trial leans towards worse.
func (t *Trial) leans() bool {
	for _, w := range t.weights {
		if w > 0 {
			return true
		}
	}
	return false
}
