package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// far is a side that was greeted by a peer of epoch 7, whose frames the test writes.
func far(t *testing.T, number uint64) *Side {
	s := New(small, 100)
	greet(t, s, 7, number)
	return s
}

func greet(t *testing.T, s *Side, epoch, number uint64) {
	require.NoError(t, s.Greet(0, &Frame{Kind: Hello, Epoch: epoch, Number: number, Bytes: 1 << 20}, number, true))
}

func cross(id uint64, try uint32, serial uint64) *Frame {
	return &Frame{Kind: Cross, ID: id, Try: try, Serial: serial, Wait: time.Second, Grant: 1, Write: true, Data: []byte{1}}
}

// said gives the frames that a side wants sent, but for pings and credit.
func said(s *Side, now time.Duration) (all []Frame) {
	for f, ok := s.Frame(now); ok; f, ok = s.Frame(now) {
		if f.Kind != Ping && f.Kind != Credit {
			all = append(all, f)
		}
	}
	return all
}

func TestATxnSentAgainWhileItRunsHasOneRunToldUnderTheNewerTry(t *testing.T) {
	s := far(t, 1)
	require.NoError(t, s.Take(0, cross(5, 0, 1)))
	require.NoError(t, s.Take(0, cross(5, 1, 2)))
	starts := s.Starts()
	require.Len(t, starts, 1)
	s.Concluded(0, starts[0].Run, Frame{Word: Served, Data: []byte("row")})
	out := said(s, 0)
	require.Len(t, out, 1)
	assert.EqualValues(t, 1, out[0].Try)
	assert.Error(t, s.Take(0, cross(5, 1, 3)), "a try comes once")
}

func TestAServedWriteIsToldAgainAndAReadIsReadAgain(t *testing.T) {
	s := far(t, 1)
	read := cross(6, 0, 2)
	read.Write = false
	require.NoError(t, s.Take(0, cross(5, 0, 1)))
	require.NoError(t, s.Take(0, read))
	for _, st := range s.Starts() {
		s.Concluded(0, st.Run, Frame{Word: Served, Data: []byte("row"), Age: 10 * ms, Aged: true})
	}
	said(s, 0)
	again := *read
	again.Try, again.Serial = 1, 4
	require.NoError(t, s.Take(300*ms, cross(5, 1, 3)))
	require.NoError(t, s.Take(300*ms, &again))
	assert.Len(t, s.Starts(), 1, "the read alone")
	out := said(s, 300*ms)
	require.Len(t, out, 1)
	assert.Equal(t, Served, out[0].Word)
	assert.Equal(t, 310*ms, out[0].Age, "it grew older here")
}

// The near process was stopped for longer than outcomes are kept, and asks now.
func TestWhatIsForgottenIsNeverCalledNeverRun(t *testing.T) {
	s := far(t, 1)
	require.NoError(t, s.Take(0, cross(5, 0, 1)))
	require.NoError(t, s.Take(0, cross(6, 0, 2)))
	starts := s.Starts()
	s.Concluded(0, starts[0].Run, Frame{Word: Served, Data: []byte("row")})
	said(s, 0)
	s.Lost(0)
	s.Tick(small.Retain + ms)
	greet(t, s, 7, 2)
	ask := func(id, serial uint64) Frame {
		require.NoError(t, s.Take(small.Retain, &Frame{Kind: Ask, ID: id, Serial: serial}))
		out := said(s, small.Retain)
		require.Len(t, out, 1)
		return out[0]
	}
	assert.Equal(t, Frame{Kind: Result, ID: 5, Word: MayHaveRun}, ask(5, 1))
	assert.Equal(t, Still, ask(6, 2).Kind, "what runs is never forgotten")
	assert.Equal(t, Never, ask(9, 3).Kind, "what is newer than all that was forgotten never came")
	greet(t, s, 8, 1) // the near instance started anew, and counts anew
	assert.Equal(t, Never, ask(5, 1).Kind)
}

func TestAResultOfAnEarlierTryIsNotTakenForALaterOne(t *testing.T) {
	s := far(t, 1)
	x := Crossing{ID: 5, Try: 0, Until: time.Second, Grant: 1, Message: []byte{1}}
	s.Cross(0, x)
	require.Len(t, said(s, 0), 1)
	s.GiveUp(5, 0)
	x.Try = 1
	s.Cross(0, x)
	require.Len(t, said(s, 0), 2, "the call-off, and the newer try")
	require.NoError(t, s.Take(0, &Frame{Kind: Result, ID: 5, Try: 0, Word: Rejected}))
	assert.Empty(t, s.Ends(), "that it never ran is said of the first try only")
	require.NoError(t, s.Take(0, &Frame{Kind: Result, ID: 5, Try: 1, Word: Served, Data: []byte("r")}))
	assert.Len(t, s.Ends(), 1)
}

func TestNothingIsSentBeyondTheCreditAndGroupsTakeTurns(t *testing.T) {
	s := New(small, 100)
	require.NoError(t, s.Greet(0, &Frame{Kind: Hello, Epoch: 7, Number: 1, Bytes: LongestData + frameCost}, 1, true))
	big := make([]byte, LongestData/4-frameCost)
	for i := range uint64(6) { // five of a busy group, then one of another
		s.Cross(0, Crossing{ID: i, Group: int64(i / 5), Until: time.Second, Grant: 1, Message: big})
	}
	out := said(s, 0)
	require.Equal(t, 4, len(out), "as many as the credit has room for")
	assert.EqualValues(t, 1, out[1].Group, "the quiet group did not wait behind the busy one")
	require.NoError(t, s.Take(0, &Frame{Kind: Credit, Bytes: out[0].cost()}))
	assert.Equal(t, 1, len(said(s, 0)))
	assert.Error(t, s.Take(0, &Frame{Kind: Credit, Bytes: 1 << 30}))
	for i := range uint64(20) {
		s.Cross(0, Crossing{ID: 100 + i, Until: time.Second, Grant: 1, Message: []byte{1}})
	}
	full := 0
	for _, e := range s.Ends() {
		if e.Full && e.Never {
			full++
		}
	}
	assert.Equal(t, 20+6-small.Crossings, full, "what has no room is turned away at once")
}

func TestOutcomesAreBoundedAndNoneIsForgottenInItsWindow(t *testing.T) {
	s := far(t, 1)
	row := make([]byte, LongestData)
	rejected := 0
	for i := range uint64(12) {
		require.NoError(t, s.Take(0, cross(i, 0, i+1)))
		for _, st := range s.Starts() {
			s.Concluded(0, st.Run, Frame{Word: Served, Data: row})
		}
	}
	for _, r := range s.runs {
		if r.outcome.Word == Rejected {
			rejected++
		}
	}
	assert.LessOrEqual(t, s.bytes, small.Kept+LongestData)
	assert.Positive(t, rejected, "rather none is taken in than one forgotten too early")
	s.Tick(small.Retain + ms)
	assert.Empty(t, s.runs)
}

// A crossing that waits for credit until its time is over ends with a word: whoever keeps something of it must hear.
func TestACrossingWhoseTimeIsOverInTheQueueEndsAsNeverRun(t *testing.T) {
	s := far(t, 1)
	s.window = 0
	s.Cross(0, Crossing{ID: 5, Until: 100 * ms, Grant: 1, Message: []byte{1}})
	assert.Empty(t, said(s, 0))
	require.NoError(t, s.Tick(100*ms))
	assert.Equal(t, []End{{ID: 5, Never: true}}, s.Ends())
	s.window = 1 << 20
	assert.Empty(t, said(s, 100*ms), "and is not sent behind that")
	ours, _ := s.InHand()
	assert.Zero(t, ours)
}
