package discovery

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Behind a reload the watches of two addresses draw from one jitter, each in a goroutine of its own: their counter was not guarded, so that
// both could draw the same. The race detector tells that (go test -race); without it draws are missing now and then.
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
