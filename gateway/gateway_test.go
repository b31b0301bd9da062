package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// far is a side that was greeted by a peer of epoch 7, whose frames the test writes.
func far(t *testing.T, number uint64) *Endpoint {
	s := New(small, 100)
	greet(t, s, 7, number)
	return s
}

func greet(t *testing.T, s *Endpoint, epoch, number uint64) {
	require.NoError(t, s.AcceptHello(0, &Frame{Kind: FrameHello, Epoch: epoch, ConnectionNumber: number, CreditBytes: 1 << 20}, number, true))
}

func cross(id uint64, try uint32, serial uint64) *Frame {
	return &Frame{Kind: FrameForward, ID: id, AttemptNumber: try, Serial: serial, Timeout: time.Second, MaxAttempts: 1, Write: true, Data: []byte{1}}
}

// said gives the frames that a side wants sent, but for pings and credit.
func said(s *Endpoint, now time.Duration) (all []Frame) {
	for f, ok := s.NextFrame(now); ok; f, ok = s.NextFrame(now) {
		if f.Kind != FramePing && f.Kind != FrameCredit {
			all = append(all, f)
		}
	}
	return all
}

func TestATxnSentAgainWhileItRunsHasOneRunToldUnderTheNewerTry(t *testing.T) {
	s := far(t, 1)
	require.NoError(t, s.Receive(0, cross(5, 0, 1)))
	require.NoError(t, s.Receive(0, cross(5, 1, 2)))
	starts := s.TakePeerRequests()
	require.Len(t, starts, 1)
	s.ExecutionFinished(0, starts[0].Execution, Frame{Status: StatusServed, Data: []byte("row")})
	out := said(s, 0)
	require.Len(t, out, 1)
	assert.EqualValues(t, 1, out[0].AttemptNumber)
	assert.Error(t, s.Receive(0, cross(5, 1, 3)), "a try comes once")
}

func TestAServedWriteIsToldAgainAndAReadIsReadAgain(t *testing.T) {
	s := far(t, 1)
	read := cross(6, 0, 2)
	read.Write = false
	require.NoError(t, s.Receive(0, cross(5, 0, 1)))
	require.NoError(t, s.Receive(0, read))
	for _, st := range s.TakePeerRequests() {
		s.ExecutionFinished(0, st.Execution, Frame{Status: StatusServed, Data: []byte("row"), Age: 10 * ms, AgeKnown: true})
	}
	said(s, 0)
	again := *read
	again.AttemptNumber, again.Serial = 1, 4
	require.NoError(t, s.Receive(300*ms, cross(5, 1, 3)))
	require.NoError(t, s.Receive(300*ms, &again))
	assert.Len(t, s.TakePeerRequests(), 1, "the read alone")
	out := said(s, 300*ms)
	require.Len(t, out, 1)
	assert.Equal(t, StatusServed, out[0].Status)
	assert.Equal(t, 310*ms, out[0].Age, "it grew older here")
}

// The near process was stopped for longer than outcomes are kept, and asks now.
func TestWhatIsForgottenIsNeverCalledNeverRun(t *testing.T) {
	s := far(t, 1)
	require.NoError(t, s.Receive(0, cross(5, 0, 1)))
	require.NoError(t, s.Receive(0, cross(6, 0, 2)))
	starts := s.TakePeerRequests()
	s.ExecutionFinished(0, starts[0].Execution, Frame{Status: StatusServed, Data: []byte("row")})
	said(s, 0)
	s.ConnectionLost(0)
	s.Tick(small.OutcomeRetention + ms)
	greet(t, s, 7, 2)
	ask := func(id, serial uint64) Frame {
		require.NoError(t, s.Receive(small.OutcomeRetention, &Frame{Kind: FrameOutcomeRequest, ID: id, Serial: serial}))
		out := said(s, small.OutcomeRetention)
		require.Len(t, out, 1)
		return out[0]
	}
	assert.Equal(t, Frame{Kind: FrameResult, ID: 5, Status: StatusUnknown}, ask(5, 1))
	assert.Equal(t, FrameStillRunning, ask(6, 2).Kind, "what runs is never forgotten")
	assert.Equal(t, FrameNotExecuted, ask(9, 3).Kind, "what is newer than all that was forgotten never came")
	greet(t, s, 8, 1) // the near instance started anew, and counts anew
	assert.Equal(t, FrameNotExecuted, ask(5, 1).Kind)
}

func TestAResultOfAnEarlierTryIsNotTakenForALaterOne(t *testing.T) {
	s := far(t, 1)
	x := ForwardedRequest{ID: 5, AttemptNumber: 0, Deadline: time.Second, MaxAttempts: 1, Message: []byte{1}}
	s.Forward(0, x)
	require.Len(t, said(s, 0), 1)
	s.Cancel(5, 0)
	x.AttemptNumber = 1
	s.Forward(0, x)
	require.Len(t, said(s, 0), 2, "the call-off, and the newer try")
	require.NoError(t, s.Receive(0, &Frame{Kind: FrameResult, ID: 5, AttemptNumber: 0, Status: StatusRejected}))
	assert.Empty(t, s.TakeOutcomes(), "that it never ran is said of the first try only")
	require.NoError(t, s.Receive(0, &Frame{Kind: FrameResult, ID: 5, AttemptNumber: 1, Status: StatusServed, Data: []byte("r")}))
	assert.Len(t, s.TakeOutcomes(), 1)
}

func TestNothingIsSentBeyondTheCreditAndGroupsTakeTurns(t *testing.T) {
	s := New(small, 100)
	require.NoError(t, s.AcceptHello(0, &Frame{Kind: FrameHello, Epoch: 7, ConnectionNumber: 1, CreditBytes: MaxDataBytes + frameCost}, 1, true))
	big := make([]byte, MaxDataBytes/4-frameCost)
	for i := range uint64(6) { // five of a busy group, then one of another
		s.Forward(0, ForwardedRequest{ID: i, Group: int64(i / 5), Deadline: time.Second, MaxAttempts: 1, Message: big})
	}
	out := said(s, 0)
	require.Equal(t, 4, len(out), "as many as the credit has room for")
	assert.EqualValues(t, 1, out[1].Group, "the quiet group did not wait behind the busy one")
	require.NoError(t, s.Receive(0, &Frame{Kind: FrameCredit, CreditBytes: out[0].cost()}))
	assert.Equal(t, 1, len(said(s, 0)))
	assert.Error(t, s.Receive(0, &Frame{Kind: FrameCredit, CreditBytes: 1 << 30}))
	for i := range uint64(20) {
		s.Forward(0, ForwardedRequest{ID: 100 + i, Deadline: time.Second, MaxAttempts: 1, Message: []byte{1}})
	}
	full := 0
	for _, e := range s.TakeOutcomes() {
		if e.Overloaded && e.NotExecuted {
			full++
		}
	}
	assert.Equal(t, 20+6-small.MaxInFlight, full, "what has no room is turned away at once")
}

func TestOutcomesAreBoundedAndNoneIsForgottenInItsWindow(t *testing.T) {
	s := far(t, 1)
	row := make([]byte, MaxDataBytes)
	rejected := 0
	for i := range uint64(12) {
		require.NoError(t, s.Receive(0, cross(i, 0, i+1)))
		for _, st := range s.TakePeerRequests() {
			s.ExecutionFinished(0, st.Execution, Frame{Status: StatusServed, Data: row})
		}
	}
	for _, r := range s.runs {
		if r.outcome.Status == StatusRejected {
			rejected++
		}
	}
	assert.LessOrEqual(t, s.bytes, small.RetainedBytes+MaxDataBytes)
	assert.Positive(t, rejected, "rather none is taken in than one forgotten too early")
	s.Tick(small.OutcomeRetention + ms)
	assert.Empty(t, s.runs)
}

// A crossing that waits for credit until its time is over ends with a word: whoever keeps something of it must hear.
func TestACrossingWhoseTimeIsOverInTheQueueEndsAsNeverRun(t *testing.T) {
	s := far(t, 1)
	s.window = 0
	s.Forward(0, ForwardedRequest{ID: 5, Deadline: 100 * ms, MaxAttempts: 1, Message: []byte{1}})
	assert.Empty(t, said(s, 0))
	require.NoError(t, s.Tick(100*ms))
	assert.Equal(t, []Outcome{{ID: 5, NotExecuted: true}}, s.TakeOutcomes())
	s.window = 1 << 20
	assert.Empty(t, said(s, 100*ms), "and is not sent behind that")
	ours, _ := s.InFlight()
	assert.Zero(t, ours)
}
