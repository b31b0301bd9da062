package zones

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestSlowZoneIsReportedAtOnce(t *testing.T) {
	o := NewObserver(allZones)
	for range 500 {
		o.AttemptSucceeded(0, 10*time.Millisecond)
	}
	o.TakeReport(false)
	for range 50 {
		o.AttemptSucceeded(0, 60*time.Millisecond) // six times as slow, but not failed
	}
	report, urgent := o.TakeReport(false)
	assert.True(t, urgent, "a zone that becomes slow is reported at once")
	assert.EqualValues(t, 50, report.Observations[0].Slow)
	assert.Equal(t, 0.5, report.Observations[0].failureShare())
	decoded, ok := DecodeReport(report.Encode())
	assert.True(t, ok)
	assert.Equal(t, report, decoded)
}
