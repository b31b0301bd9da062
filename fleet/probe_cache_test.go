package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestProbeResultIsUsedForAWhileAndNoProbeWaitsForLong(t *testing.T) {
	s := NewProbeCache[int](time.Second, 100*time.Millisecond)
	what, _ := s.Decide(0, "m", 1, true)
	assert.Equal(t, AwaitResult, what)
	what, _ = s.Decide(0, "m", 9, false)
	assert.Equal(t, ProbeNow, what, "the prober itself asks")
	assert.Empty(t, s.Expired(99*time.Millisecond))
	assert.Equal(t, []int{1}, s.Expired(100*time.Millisecond), "without a look it goes out by itself")
	assert.Empty(t, s.Expired(200*time.Millisecond), "once")

	s.Decide(200*time.Millisecond, "m", 2, true)
	assert.Equal(t, []int{2}, s.AddResult(210*time.Millisecond, 5, ProbeResult{Server: "m"}))
	what, result := s.Decide(900*time.Millisecond, "m", 3, true)
	assert.Equal(t, UseResult, what)
	assert.False(t, result.Healthy)
	assert.Nil(t, s.AddResult(time.Second, 4, ProbeResult{Server: "m", Healthy: true}), "a prober of an older term displaces nothing")
	_, result = s.Decide(1100*time.Millisecond, "m", 3, true)
	assert.False(t, result.Healthy)
	what, _ = s.Decide(1300*time.Millisecond, "m", 4, true)
	assert.Equal(t, AwaitResult, what, "an old look answers nothing")
	assert.Equal(t, 3, s.ProbesAvoided)
	what, _ = s.Decide(1300*time.Millisecond, "other", 5, true)
	assert.Equal(t, AwaitResult, what, "nor does another member's")
}

func TestProbeResultIsDecodedAndNonsenseIsRefused(t *testing.T) {
	in := ProbeResult{Server: "s-1", Code: "57P03"}
	out, ok := DecodeProbeResult(in.Encode())
	require.True(t, ok)
	assert.Equal(t, in, out)
	for _, bad := range [][]byte{nil, {0xc1}, ProbeResult{}.Encode(), ProbeResult{Server: "m", Code: "too long"}.Encode()} {
		_, ok := DecodeProbeResult(bad)
		assert.False(t, ok)
	}
}

// Before this, 300 fronts that lost one member asked 336 times in a minute: each went by itself before the prober's result came.
func TestPendingProbeLetsOthersWaitAndIsRequestedOnce(t *testing.T) {
	s := NewProbeCache[int](time.Second, 100*time.Millisecond)
	s.Decide(0, "m", 1, true)
	assert.Nil(t, s.AddResult(50*time.Millisecond, 5, ProbeResult{Server: "m", Pending: true}))
	assert.Empty(t, s.Expired(150*time.Millisecond), "its end follows")
	s.Decide(160*time.Millisecond, "m", 2, true)
	assert.Equal(t, []int{1, 2}, s.AddResult(190*time.Millisecond, 5, ProbeResult{Server: "m"}))
	s.Decide(4*time.Second, "m", 3, true)
	s.AddResult(4*time.Second, 5, ProbeResult{Server: "m", Pending: true})
	assert.Equal(t, []int{3}, s.Expired(4200*time.Millisecond), "no longer than twice")

	assert.True(t, s.AcceptRequest(5*time.Second, "m"))
	assert.False(t, s.AcceptRequest(5100*time.Millisecond, "m"), "it is at it")
	assert.True(t, s.AcceptRequest(5200*time.Millisecond, "m"))
}
