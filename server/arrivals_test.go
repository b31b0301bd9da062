package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// The time of a byte is never earlier than its receipt, and later by the time between two observations and the precision at most, as long
// as there is room for samples.
func TestArrivalIsNeverEarlierThanReceipt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a arrivals
		var receivedBy []time.Duration // by byte: the first observation behind its receipt
		now := time.Duration(0)
		for range rapid.IntRange(0, 400).Draw(t, "observations") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
			for range rapid.IntRange(0, 3).Draw(t, "bytes") {
				receivedBy = append(receivedBy, now)
			}
			a.observe(int64(len(receivedBy)), now)
		}
		full := len(a.samples) == maxArrivalSamples
		assert.LessOrEqual(t, len(a.samples), maxArrivalSamples)
		for i, at := range receivedBy {
			got := a.take(int64(i+1), now)
			assert.GreaterOrEqual(t, got, at)
			assert.True(t, full || got-at < arrivalPrecision, "byte %d: %v for %v", i, got, at)
		}
		assert.Equal(t, now, a.take(int64(len(receivedBy)+1), now), "a byte that was not observed")
		assert.Empty(t, a.samples)
	})
}
