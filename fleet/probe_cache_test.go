package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestProbeResultIsCachedAndWaitsAreBounded(t *testing.T) {
	s := NewProbeCache[int](time.Second, 100*time.Millisecond)
	decision, _ := s.Decide(0, "m", 1, true)
	assert.Equal(t, AwaitResult, decision)
	decision, _ = s.Decide(0, "m", 9, false)
	assert.Equal(t, ProbeNow, decision, "the prober itself does not wait")
	assert.Empty(t, s.Expired(99*time.Millisecond))
	assert.Equal(t, []int{1}, s.Expired(100*time.Millisecond), "without a result the probe is sent")
	assert.Empty(t, s.Expired(200*time.Millisecond), "the probe is returned only once")

	s.Decide(200*time.Millisecond, "m", 2, true)
	assert.Equal(t, []int{2}, s.AddResult(210*time.Millisecond, 5, ProbeResult{Server: "m"}))
	decision, result := s.Decide(900*time.Millisecond, "m", 3, true)
	assert.Equal(t, UseResult, decision)
	assert.False(t, result.Healthy)
	assert.Nil(t, s.AddResult(time.Second, 4, ProbeResult{Server: "m", Healthy: true}), "a result of an older term replaces no result")
	_, result = s.Decide(1100*time.Millisecond, "m", 3, true)
	assert.False(t, result.Healthy)
	decision, _ = s.Decide(1300*time.Millisecond, "m", 4, true)
	assert.Equal(t, AwaitResult, decision, "an old result is not used")
	assert.Equal(t, 3, s.ProbesAvoided)
	decision, _ = s.Decide(1300*time.Millisecond, "other", 5, true)
	assert.Equal(t, AwaitResult, decision, "the result of another server is not used")
}

func TestInvalidProbeResultIsRejected(t *testing.T) {
	in := ProbeResult{Server: "s-1", Code: "57P03"}
	out, ok := DecodeProbeResult(in.Encode())
	require.True(t, ok)
	assert.Equal(t, in, out)
	for _, bad := range [][]byte{nil, {0xc1}, ProbeResult{}.Encode(), ProbeResult{Server: "m", Code: "too long"}.Encode()} {
		_, ok := DecodeProbeResult(bad)
		assert.False(t, ok)
	}
}

// Guards against a probe by each front before the prober's result arrives. Without the extended wait and the limit on requests, 300
// fronts that lost one server sent 336 probes in a minute.
func TestPendingProbeExtendsWaitsAndIsRequestedOnce(t *testing.T) {
	s := NewProbeCache[int](time.Second, 100*time.Millisecond)
	s.Decide(0, "m", 1, true)
	assert.Nil(t, s.AddResult(50*time.Millisecond, 5, ProbeResult{Server: "m", Pending: true}))
	assert.Empty(t, s.Expired(150*time.Millisecond), "the result of the pending probe follows")
	s.Decide(160*time.Millisecond, "m", 2, true)
	assert.Equal(t, []int{1, 2}, s.AddResult(190*time.Millisecond, 5, ProbeResult{Server: "m"}))
	s.Decide(4*time.Second, "m", 3, true)
	s.AddResult(4*time.Second, 5, ProbeResult{Server: "m", Pending: true})
	assert.Equal(t, []int{3}, s.Expired(4200*time.Millisecond), "the wait lasts at most twice as long")

	assert.True(t, s.AcceptRequest(5*time.Second, "m"))
	assert.False(t, s.AcceptRequest(5100*time.Millisecond, "m"), "a probe is in progress")
	assert.True(t, s.AcceptRequest(5200*time.Millisecond, "m"))
}
