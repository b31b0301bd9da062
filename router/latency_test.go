package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestMinimumLatencyOutlastsBusyPeriod(t *testing.T) {
	h := newHarness(testDeployment())
	for range 100 {
		h.observeLatency(time.Second, anyRead, 40*ms)
	}
	least := h.minimumLatency[anyRead]
	for k := range 4000 { // ten seconds at a high request rate during a fault
		h.observeLatency(time.Second+time.Duration(k)*10*time.Second/4000, anyRead, 150*ms)
	}
	assert.Less(t, h.minimumLatency[anyRead], least*21/20, "it rises with time rather than with answers, so overload stays visible")
	h.observeLatency(time.Hour, anyRead, 150*ms)
	assert.Greater(t, h.minimumLatency[anyRead], 2*least, "it rises eventually")
}
