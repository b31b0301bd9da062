package discovery

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Regression: after a reload, the watches of two addresses draw from the same jitter in separate goroutines. Its counter was
// not atomic, so both could draw the same number. The race detector reports this (go test -race); without it, the test fails
// only when draws happen to collide.
func TestJitterIsDrawnByManyGoroutines(t *testing.T) {
	const goroutines, draws = 8, 1000
	jitter := NewJitter(1)
	var mu sync.Mutex
	seen := map[float64]int{}
	var group sync.WaitGroup
	for range goroutines {
		group.Go(func() {
			for range draws {
				x := jitter()
				mu.Lock()
				seen[x]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	again := NewJitter(1)
	for range goroutines * draws {
		seen[again()]--
	}
	for x, n := range seen {
		assert.Zero(t, n, "%v was drawn %d times more than by one goroutine", x, n)
	}
}
