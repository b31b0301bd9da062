package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// simulateAnalyses runs analyses of a new side and an old one. In each interval both sides fail with the same varying probability, the
// new side worse times as often. It returns the number of runs by verdict, and the average number of failures of the new side in a run.
func simulateAnalyses(seed uint64, runs int, base, worse float64) (n [3]int, cost float64) {
	r := rand.New(rand.NewPCG(seed, 1))
	failed := func(n int, p float64) (k uint64) {
		for range n {
			if r.Float64() < p {
				k++
			}
		}
		return k
	}
	for range runs {
		var analysis CanaryAnalysis
		v := Undecided
		for i := 0; i < 200 && v == Undecided; i++ {
			p := base * (0.2 + 1.6*r.Float64()) // a bad interval affects both sides
			var newCounts, oldCounts []Counts
			for range 3 {
				a, b := 20+r.IntN(20), 60+r.IntN(60)
				fa := failed(a, min(p*worse, 1))
				newCounts = append(newCounts, Counts{Finished: uint64(a), Succeeded: uint64(a) - fa})
				oldCounts = append(oldCounts, Counts{Finished: uint64(b), Succeeded: uint64(b) - failed(b, p)})
				if worse > 1 {
					cost += float64(fa)
				}
			}
			analysis.add(newCounts, oldCounts)
			v, _ = analysis.verdict()
		}
		n[v]++
	}
	return n, cost / float64(runs)
}

// Checks the error rates that CanaryAnalysis promises, also where failures are more common than its model assumes.
func TestErrorRatesOfCanaryAnalysis(t *testing.T) {
	for _, base := range []float64{0.002, 0.02, 0.2} {
		n, _ := simulateAnalyses(1, 400, base, 1)
		assert.LessOrEqual(t, n[Worse], 400*2/100, "alike at %v, called worse %d times of 400", base, n[Worse])
	}
	for _, base := range []float64{0.02, 0.2} {
		n, cost := simulateAnalyses(2, 400, base, 2)
		assert.LessOrEqual(t, n[Equivalent], 400*3/100, "twice as bad at %v, called equivalent %d times of 400", base, n[Equivalent])
		assert.Greater(t, n[Worse], 400*95/100)
		t.Logf("at %v of failures, twice as bad: found after %.0f failed requests of the new side", base, cost)
	}
	n, cost := simulateAnalyses(3, 400, 0.001, 100)
	assert.Equal(t, 400, n[Worse])
	assert.Less(t, cost, 25.0, "a version that fails one in ten is found by the first failures")
}
