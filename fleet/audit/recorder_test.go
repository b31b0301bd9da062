package audit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
)

const ms = time.Millisecond

func TestRequestCountsInTheIntervalInWhichItWasAccepted(t *testing.T) {
	var out []Interval
	r := NewRecorder(2, true, 0, func(s Interval) { out = append(out, s) })
	r.EndpointsChanged(1*ms, 10)
	r.LeaseChanged(10*ms, 100*ms, false)
	first := r.RequestAccepted(11*ms, []byte("a"), 0)
	r.ConfigAdopted(20*ms, 2)
	second := r.RequestAccepted(21*ms, []byte("b"), 1)
	r.RequestFinished(30*ms, second, 1, front.StatusRejected)
	assert.Len(t, out, 1, "the interval of version 0 waits for its request")
	assert.True(t, out[0].Standby)
	r.RequestFinished(40*ms, first, 0, front.StatusSucceeded)
	require.Len(t, out, 2)
	assert.Equal(t, Interval{Number: 2, Start: 10 * ms, End: 20 * ms, EndpointListVersions: [2]int64{10, 10}, ConfigLeaseExpiry: 100 * ms,
		Outcomes: [][front.StatusCount]uint32{{1}, {}}, IDs: []uint64{HashID([]byte("a"))}, closed: true}, out[1])
	r.LeaseChanged(400*ms, 100*ms, true) // the expiry is noticed late: the interval ends when the lease expired
	require.Len(t, out, 3)
	assert.Equal(t, 100*ms, out[2].End)
	assert.EqualValues(t, 2, out[2].Version)
	assert.EqualValues(t, 1, out[2].Outcomes[1][front.StatusRejected])
	r.Close(500 * ms)
	require.Len(t, out, 4)
	assert.True(t, out[3].Standby)
	assert.Equal(t, 100*ms, out[3].Start, "no time is missing")
}

// BenchmarkRecordRequest measures the cost of recording one request.
func BenchmarkRecordRequest(b *testing.B) {
	recorder := NewRecorder(6, true, 0, func(Interval) {})
	recorder.LeaseChanged(0, time.Hour, false)
	id := []byte("a-request-id-of-24-characters")
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		interval := recorder.RequestAccepted(time.Duration(i)*100*time.Microsecond, id, i%6)
		recorder.RequestFinished(time.Duration(i)*100*time.Microsecond, interval, i%6, front.StatusSucceeded)
	}
}
