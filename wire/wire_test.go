package wire

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/routing"
)

func next(t *testing.T, line string) (Event, error) {
	t.Helper()
	var e Event
	return e, NewReader(strings.NewReader(line)).Next(&e)
}

func TestAnOutcomeIsRead(t *testing.T) {
	e, err := next(t, "resolved\tFront=front-3\tRid=c:x\tStore=515\tClosed=1\tHop=2\tLatency=18500000\t"+
		"Stamp=25486\tEnding=success\tPressure=x0:6.204,x1:0,active:7\tUnknown=1\n")
	require.NoError(t, err)
	assert.Equal(t, 3, e.Front)
	assert.Equal(t, int64(6371), e.Stamp)
	assert.Equal(t, routing.Replica, e.Outcome.Role)
	assert.Equal(t, 18500*time.Microsecond, e.Outcome.Latency)
	assert.True(t, e.Outcome.RequestFinished)
	assert.Equal(t, 7.0, e.Load.InFlight)
	assert.Equal(t, 6.204, e.X0)
}

func TestMalformedInputNamesLineAndField(t *testing.T) {
	for line, want := range map[string]string{
		"resolved\tFront=front-3\tRid=c:x\tStore=515\tHop=0\n":   "line 1: resolved: field Ending is missing",
		"order\tFront=front-3\tQos=a\tPartitionNo=1\tBudget=1\n": "line 1: order: field Rid is missing",
		"mark\tClock=1x\tbatch=1\n":                              "line 1: mark: field Clock is no integer",
		"alarm\tFront=three\tToken=a\n":                          "line 1: alarm: field Front is no instance",
		"what\tFront=front-3\n":                                  "line 1: unknown message",
		"catalog\tPage=16\tElements=0\n":                         "line 1: catalog: field Page is not within",
		"catalog\tPage=1\tElements=1\nyour_turn\n":               "line 2: want entry",
		"mark\tClock\n":                                          "line 1: part \"Clock\" has no value",
		"mark\tClock=1":                                          "line 1: cut off",
	} {
		_, err := next(t, line)
		assert.ErrorContains(t, err, want, line)
	}
	_, err := next(t, "")
	assert.Equal(t, io.EOF, err)
}
