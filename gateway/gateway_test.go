package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// connectedEndpoint returns an endpoint with a connection to a peer with epoch 7. The test plays the peer.
func connectedEndpoint(t *testing.T, number uint64) *Endpoint {
	e := New(smallSettings, 100)
	connect(t, e, 7, number)
	return e
}

// connect makes an endpoint accept the hello of a peer on a new connection.
func connect(t *testing.T, e *Endpoint, epoch, number uint64) {
	require.NoError(t, e.AcceptHello(0, &Frame{Kind: FrameHello, Epoch: epoch, ConnectionNumber: number, CreditBytes: 1 << 20}, number, true))
}

// forwardFrame returns the frame by which the peer forwards a write.
func forwardFrame(id uint64, attempt uint32, serial uint64) *Frame {
	return &Frame{Kind: FrameForward, ID: id, AttemptNumber: attempt, Serial: serial, Timeout: time.Second, MaxAttempts: 1, Write: true, Data: []byte{1}}
}

// sentFrames returns the frames that an endpoint sends, except pings and credit.
func sentFrames(e *Endpoint, now time.Duration) (all []Frame) {
	for f, ok := e.NextFrame(now); ok; f, ok = e.NextFrame(now) {
		if f.Kind != FramePing && f.Kind != FrameCredit {
			all = append(all, f)
		}
	}
	return all
}

func TestRetryOfARunningRequestJoinsItsExecution(t *testing.T) {
	e := connectedEndpoint(t, 1)
	require.NoError(t, e.Receive(0, forwardFrame(5, 0, 1)))
	require.NoError(t, e.Receive(0, forwardFrame(5, 1, 2)))
	starts := e.TakePeerRequests()
	require.Len(t, starts, 1)
	e.ExecutionFinished(0, starts[0].Execution, Frame{Status: StatusSucceeded, Data: []byte("row")})
	out := sentFrames(e, 0)
	require.Len(t, out, 1)
	assert.EqualValues(t, 1, out[0].AttemptNumber)
	assert.Error(t, e.Receive(0, forwardFrame(5, 1, 3)), "each attempt is accepted once")
}

func TestRetryOfAServedWriteGetsItsResultAndARetriedReadIsExecutedAgain(t *testing.T) {
	e := connectedEndpoint(t, 1)
	read := forwardFrame(6, 0, 2)
	read.Write = false
	require.NoError(t, e.Receive(0, forwardFrame(5, 0, 1)))
	require.NoError(t, e.Receive(0, read))
	for _, p := range e.TakePeerRequests() {
		e.ExecutionFinished(0, p.Execution, Frame{Status: StatusSucceeded, Data: []byte("row"), Age: 10 * ms, AgeKnown: true})
	}
	sentFrames(e, 0)
	retry := *read
	retry.AttemptNumber, retry.Serial = 1, 4
	require.NoError(t, e.Receive(300*ms, forwardFrame(5, 1, 3)))
	require.NoError(t, e.Receive(300*ms, &retry))
	assert.Len(t, e.TakePeerRequests(), 1, "only the read")
	out := sentFrames(e, 300*ms)
	require.Len(t, out, 1)
	assert.Equal(t, StatusSucceeded, out[0].Status)
	assert.Equal(t, 310*ms, out[0].Age, "the age includes the time that the result was retained")
}

// The instance that requests outcomes was stopped for longer than the peer retains them. The peer must not answer NotExecuted for a
// request whose outcome it has evicted.
func TestEvictedOutcomesAreReportedAsUnknown(t *testing.T) {
	e := connectedEndpoint(t, 1)
	require.NoError(t, e.Receive(0, forwardFrame(5, 0, 1)))
	require.NoError(t, e.Receive(0, forwardFrame(6, 0, 2)))
	starts := e.TakePeerRequests()
	e.ExecutionFinished(0, starts[0].Execution, Frame{Status: StatusSucceeded, Data: []byte("row")})
	sentFrames(e, 0)
	e.ConnectionLost(0)
	e.Tick(smallSettings.OutcomeRetention + ms)
	connect(t, e, 7, 2)
	ask := func(id, serial uint64) Frame {
		require.NoError(t, e.Receive(smallSettings.OutcomeRetention, &Frame{Kind: FrameOutcomeRequest, ID: id, Serial: serial}))
		out := sentFrames(e, smallSettings.OutcomeRetention)
		require.Len(t, out, 1)
		return out[0]
	}
	assert.Equal(t, Frame{Kind: FrameResult, ID: 5, Status: StatusUnknown}, ask(5, 1))
	assert.Equal(t, FrameStillRunning, ask(6, 2).Kind, "a running execution is never evicted")
	assert.Equal(t, FrameNotExecuted, ask(9, 3).Kind, "a request that is newer than every evicted one was not received")
	connect(t, e, 8, 1) // the requesting instance restarted, so its serials begin at 1 again
	assert.Equal(t, FrameNotExecuted, ask(5, 1).Kind)
}

// Guards against a client that is served another request's value after a kill: the peer executed requests of the killed process, and sent
// the results to the next one, whose request IDs begin anew.
func TestResultsAreNotSentToAnotherProcessThanTheOneThatAsked(t *testing.T) {
	e := connectedEndpoint(t, 1)
	require.NoError(t, e.Receive(0, forwardFrame(5, 0, 1)))
	require.NoError(t, e.Receive(0, forwardFrame(6, 0, 2)))
	old := e.TakePeerRequests()
	e.ExecutionFinished(0, old[0].Execution, Frame{Status: StatusSucceeded, Data: []byte("old")}) // its result is queued
	connect(t, e, 8, 1)
	assert.Equal(t, []PeerRequest{{Execution: old[1].Execution, IsCancel: true}}, e.TakePeerRequests())
	require.NoError(t, e.Receive(0, forwardFrame(5, 0, 1)))
	require.NoError(t, e.Receive(0, forwardFrame(6, 0, 2)))
	e.ExecutionFinished(0, old[1].Execution, Frame{Status: StatusSucceeded, Data: []byte("old")})
	assert.Empty(t, sentFrames(e, 0))
	for _, p := range e.TakePeerRequests() {
		e.ExecutionFinished(0, p.Execution, Frame{Status: StatusSucceeded, Data: []byte("new")})
	}
	out := sentFrames(e, 0)
	require.Len(t, out, 2)
	for _, f := range out {
		assert.Equal(t, "new", string(f.Data))
	}
}

// Guards against "not executed" for a request that was executed: its process was replaced by another one for a while, and the executions
// of both epochs are forgotten.
func TestReturningProcessIsNotToldThatItsRequestsWereNotExecuted(t *testing.T) {
	e := connectedEndpoint(t, 1)
	require.NoError(t, e.Receive(0, forwardFrame(5, 0, 3)))
	connect(t, e, 8, 1)
	connect(t, e, 7, 2)
	for serial, want := range map[uint64]Frame{
		3: {Kind: FrameResult, ID: 5, Status: StatusUnknown},
		4: {Kind: FrameNotExecuted, ID: 5},
	} {
		require.NoError(t, e.Receive(0, &Frame{Kind: FrameOutcomeRequest, ID: 5, Serial: serial}))
		assert.Equal(t, []Frame{want}, sentFrames(e, 0))
	}
	for epoch := range uint64(3 * maxEndedEpochs) {
		connect(t, e, 100+epoch, 1)
	}
	assert.Len(t, e.execs.endedEpochs, maxEndedEpochs)
}

// A retry is executed with the time of the first execution that may have run, whatever the executions between them ended with.
func TestRetryOfAWriteKeepsTheTimeOfItsFirstRun(t *testing.T) {
	e := connectedEndpoint(t, 1)
	execute := func(now time.Duration, attempt uint32, status ResultStatus) PeerRequest {
		require.NoError(t, e.Receive(now, forwardFrame(5, attempt, uint64(attempt)+1)))
		started := e.TakePeerRequests()
		require.Len(t, started, 1)
		e.ExecutionFinished(now+ms, started[0].Execution, Frame{Status: status})
		return started[0]
	}
	assert.False(t, execute(10*ms, 0, StatusRejected).Repeated)
	assert.False(t, execute(20*ms, 1, StatusUnknown).Repeated, "the first execution did not run")
	for attempt, status := range []ResultStatus{StatusRejected, StatusInvalid, StatusUnknown} {
		p := execute(time.Duration(30+attempt)*ms, uint32(attempt)+2, status)
		assert.True(t, p.Repeated)
		assert.Equal(t, 20*ms, p.FirstRunAt)
	}
}

// Guards against a forwarded write that takes effect again beyond its window: a peer that has restarted, or one of an older version, does
// not know since when it may have run.
func TestRepeatIsWithheldFromAPeerThatDoesNotKnowTheFirstRun(t *testing.T) {
	features := uint64(featureFirstRuns)
	hello := func(e *Endpoint, now time.Duration, epoch, number, features uint64) {
		h := Frame{Kind: FrameHello, Epoch: epoch, ConnectionNumber: number, CreditBytes: 1 << 20, Serial: features}
		require.NoError(t, e.AcceptHello(now, &h, number, true))
	}
	for name, x := range map[string]struct {
		connect  func(e *Endpoint)
		repeated bool
		withheld bool
	}{
		"the same process":            {func(e *Endpoint) { hello(e, 20*ms, 7, 2, features) }, true, false},
		"another process":             {func(e *Endpoint) { hello(e, 20*ms, 8, 2, features) }, true, true},
		"another process, no repeat":  {func(e *Endpoint) { hello(e, 20*ms, 8, 2, features) }, false, false},
		"an older version":            {func(e *Endpoint) { hello(e, 20*ms, 7, 2, 0) }, true, true},
		"an older version, no repeat": {func(e *Endpoint) { hello(e, 20*ms, 7, 2, 0) }, false, false},
		"back after another process":  {func(e *Endpoint) { hello(e, 20*ms, 8, 2, features); hello(e, 30*ms, 7, 3, features) }, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := New(smallSettings, 100)
			hello(e, 0, 7, 1, features)
			x.connect(e)
			e.Forward(40*ms, ForwardedRequest{ID: 5, AttemptNumber: 1, Deadline: time.Second, MaxAttempts: 1, Write: true, Message: []byte{1},
				Repeated: x.repeated, FirstRunAt: 10 * ms})
			frames := sentFrames(e, 40*ms)
			if !x.withheld {
				assert.Len(t, frames, 1)
				return
			}
			assert.Empty(t, frames)
			assert.Equal(t, []Outcome{{ID: 5, AttemptNumber: 1, NotExecuted: true, Withheld: true}}, e.TakeOutcomes())
		})
	}
}

// A peer of an older version does not withhold repeats, and one that returns to an ended epoch believes that its executions are
// remembered. A retry without a known execution is rejected for as long as idempotency windows last.
func TestRetryWithoutAKnownExecutionIsRejectedWhileOneMayBeForgotten(t *testing.T) {
	const retention = 1500 * ms // of smallSettings
	for name, x := range map[string]struct {
		features uint64
		returns  bool
		now      time.Duration
		rejected bool
	}{
		"older version, after the start":      {0, false, retention - ms, true},
		"older version, later":                {0, false, retention, false},
		"this version":                        {uint64(featureFirstRuns), false, ms, false},
		"this version, after its return":      {uint64(featureFirstRuns), true, retention - ms, true},
		"this version, long after its return": {uint64(featureFirstRuns), true, retention, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := New(smallSettings, 100)
			epochs := []uint64{7}
			if x.returns {
				epochs = []uint64{7, 8, 7}
			}
			for number, epoch := range epochs {
				h := Frame{Kind: FrameHello, Epoch: epoch, ConnectionNumber: uint64(number) + 1, CreditBytes: 1 << 20, Serial: x.features}
				require.NoError(t, e.AcceptHello(0, &h, uint64(number)+1, true))
			}
			require.NoError(t, e.Receive(x.now, forwardFrame(4, 0, 1)))
			assert.Len(t, e.TakePeerRequests(), 1, "a first attempt is executed")
			require.NoError(t, e.Receive(x.now, forwardFrame(5, 1, 2)))
			if !x.rejected {
				assert.Len(t, e.TakePeerRequests(), 1)
				return
			}
			assert.Empty(t, e.TakePeerRequests())
			out := sentFrames(e, x.now)
			require.Len(t, out, 1)
			assert.Equal(t, StatusRejected, out[0].Status)
		})
	}
}

func TestResultOfAnEarlierAttemptIsNotTakenForALaterOne(t *testing.T) {
	e := connectedEndpoint(t, 1)
	x := ForwardedRequest{ID: 5, AttemptNumber: 0, Deadline: time.Second, MaxAttempts: 1, Message: []byte{1}}
	e.Forward(0, x)
	require.Len(t, sentFrames(e, 0), 1)
	e.Cancel(5, 0)
	x.AttemptNumber = 1
	e.Forward(0, x)
	require.Len(t, sentFrames(e, 0), 2, "the cancellation and the later attempt")
	require.NoError(t, e.Receive(0, &Frame{Kind: FrameResult, ID: 5, AttemptNumber: 0, Status: StatusRejected}))
	assert.Empty(t, e.TakeOutcomes(), "only the first attempt is known not to have been executed")
	require.NoError(t, e.Receive(0, &Frame{Kind: FrameResult, ID: 5, AttemptNumber: 1, Status: StatusSucceeded, Data: []byte("r")}))
	assert.Len(t, e.TakeOutcomes(), 1)
}

func TestFlowControlAndRoundRobinOfGroups(t *testing.T) {
	e := New(smallSettings, 100)
	require.NoError(t, e.AcceptHello(0, &Frame{Kind: FrameHello, Epoch: 7, ConnectionNumber: 1, CreditBytes: MaxDataBytes + frameOverhead}, 1, true))
	big := make([]byte, MaxDataBytes/4-frameOverhead)
	for i := range uint64(6) { // five requests of one group, then one of another group
		e.Forward(0, ForwardedRequest{ID: i, Group: int64(i / 5), Deadline: time.Second, MaxAttempts: 1, Message: big})
	}
	out := sentFrames(e, 0)
	require.Equal(t, 4, len(out), "as many as the credit allows")
	assert.EqualValues(t, 1, out[1].Group, "the group with one request did not wait for the busy one")
	require.NoError(t, e.Receive(0, &Frame{Kind: FrameCredit, CreditBytes: out[0].creditCost()}))
	assert.Equal(t, 1, len(sentFrames(e, 0)))
	assert.Error(t, e.Receive(0, &Frame{Kind: FrameCredit, CreditBytes: 1 << 30}))
	for i := range uint64(20) {
		e.Forward(0, ForwardedRequest{ID: 100 + i, Deadline: time.Second, MaxAttempts: 1, Message: []byte{1}})
	}
	full := 0
	for _, e := range e.TakeOutcomes() {
		if e.Overloaded && e.NotExecuted {
			full++
		}
	}
	assert.Equal(t, 20+6-smallSettings.MaxInFlight, full, "requests beyond the capacity are rejected at once")
}

func TestRetainedOutcomesAreBoundedAndNoneIsEvictedEarly(t *testing.T) {
	e := connectedEndpoint(t, 1)
	row := make([]byte, MaxDataBytes)
	rejected := 0
	for i := range uint64(12) {
		require.NoError(t, e.Receive(0, forwardFrame(i, 0, i+1)))
		for _, p := range e.TakePeerRequests() {
			e.ExecutionFinished(0, p.Execution, Frame{Status: StatusSucceeded, Data: row})
		}
	}
	for _, r := range e.execs.byRequest {
		if r.result.Status == StatusRejected {
			rejected++
		}
	}
	assert.LessOrEqual(t, e.execs.retainedBytes, smallSettings.MaxRetainedBytes+MaxDataBytes)
	assert.Positive(t, rejected, "a request is rejected rather than an outcome evicted too early")
	e.Tick(smallSettings.OutcomeRetention + ms)
	assert.Empty(t, e.execs.byRequest)
}

// A request that waits for credit until its deadline must get an outcome, because the caller keeps state for it until then.
func TestRequestWhoseDeadlinePassesInTheQueueIsNotExecuted(t *testing.T) {
	e := connectedEndpoint(t, 1)
	e.credit.sendWindow = 0
	e.Forward(0, ForwardedRequest{ID: 5, Deadline: 100 * ms, MaxAttempts: 1, Message: []byte{1}})
	assert.Empty(t, sentFrames(e, 0))
	require.NoError(t, e.Tick(100*ms))
	assert.Equal(t, []Outcome{{ID: 5, NotExecuted: true}}, e.TakeOutcomes())
	e.credit.sendWindow = 1 << 20
	assert.Empty(t, sentFrames(e, 100*ms), "it is not sent afterwards")
	ours, _ := e.InFlight()
	assert.Zero(t, ours)
}
