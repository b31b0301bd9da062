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

// readEvent reads the first event of the given input.
func readEvent(t *testing.T, line string) (Event, error) {
	t.Helper()
	var e Event
	return e, NewReader(strings.NewReader(line)).Next(&e)
}

func TestAttemptFinishedIsRead(t *testing.T) {
	e, err := readEvent(t, "resolved\tFront=front-3\tRid=c:x\tStore=515\tClosed=1\tHop=2\tLatency=18500000\t"+
		"Stamp=25486\tEnding=success\tPressure=x0:6.204,x1:0,active:7\tUnknown=1\n")
	require.NoError(t, err)
	assert.Equal(t, 3, e.Instance)
	assert.Equal(t, int64(6371), e.Attempt.PositionMillis)
	assert.Equal(t, routing.Replica, e.Attempt.Outcome.Role)
	assert.Equal(t, 18500*time.Microsecond, e.Attempt.Outcome.Latency)
	assert.True(t, e.Attempt.Outcome.RequestFinished)
	assert.Equal(t, 7.0, e.Attempt.Load.InFlight)
	assert.Equal(t, 6.204, e.Attempt.LoadPosition)
}

func TestErrorNamesLineAndField(t *testing.T) {
	for line, want := range map[string]struct {
		text  string
		cause error
	}{
		"resolved\tFront=front-3\tRid=c:x\tStore=515\tHop=0\n":   {"line 1: resolved: field Ending is missing", ErrMissingField},
		"order\tFront=front-3\tQos=a\tPartitionNo=1\tBudget=1\n": {"line 1: order: field Rid is missing", ErrMissingField},
		"mark\tClock=1x\tbatch=1\n":                              {"line 1: mark: field Clock is not an integer", ErrInvalidField},
		"alarm\tFront=three\tToken=a\n":                          {"line 1: alarm: field Front does not name an instance", ErrInvalidField},
		"what\tFront=front-3\n":                                  {"line 1: unknown event", ErrUnknownEvent},
		"catalog\tPage=16\tElements=0\n":                         {"line 1: catalog: field Page is not within", ErrInvalidField},
		"catalog\tPage=1\tElements=1\nyour_turn\n":               {"line 2: expected entry", ErrUnknownEvent},
		"catalog\tPage=1\tElements=1\n":                          {"line 2: catalog ends early", io.ErrUnexpectedEOF},
		"mark\tClock\n":                                          {"line 1: part \"Clock\" has no value", ErrMalformed},
		"mark\tClock=1":                                          {"line 1: truncated line", ErrTruncated},
	} {
		_, err := readEvent(t, line)
		require.ErrorContains(t, err, want.text, line)
		require.ErrorIs(t, err, want.cause, line)
		var e *Error
		require.ErrorAs(t, err, &e, line)
		assert.Positive(t, e.Line)
	}
	_, err := readEvent(t, "")
	assert.Equal(t, io.EOF, err)
}

// errWriter is a writer whose Write always fails.
type errWriter struct{}

func (errWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestEndBatchReturnsWriteError(t *testing.T) {
	w := NewWriter(errWriter{})
	w.Log(1, "buffered until EndBatch")
	assert.ErrorIs(t, w.EndBatch("1"), io.ErrClosedPipe)
}
