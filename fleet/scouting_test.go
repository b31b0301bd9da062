package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestALookAnswersQuestionsForAWhileAndNoneIsHeldForLong(t *testing.T) {
	s := NewScouting[int](time.Second, 100*time.Millisecond)
	what, _ := s.Wish(0, "m", 1, true)
	assert.Equal(t, HoldIt, what)
	what, _ = s.Wish(0, "m", 9, false)
	assert.Equal(t, AskIt, what, "the scout itself asks")
	assert.Empty(t, s.Due(99*time.Millisecond))
	assert.Equal(t, []int{1}, s.Due(100*time.Millisecond), "without a look it goes out by itself")
	assert.Empty(t, s.Due(200*time.Millisecond), "once")

	s.Wish(200*time.Millisecond, "m", 2, true)
	assert.Equal(t, []int{2}, s.Take(210*time.Millisecond, 5, Look{Member: "m"}))
	what, l := s.Wish(900*time.Millisecond, "m", 3, true)
	assert.Equal(t, AnswerIt, what)
	assert.False(t, l.Well)
	assert.Nil(t, s.Take(time.Second, 4, Look{Member: "m", Well: true}), "a scout of an older term displaces nothing")
	_, l = s.Wish(1100*time.Millisecond, "m", 3, true)
	assert.False(t, l.Well)
	what, _ = s.Wish(1300*time.Millisecond, "m", 4, true)
	assert.Equal(t, HoldIt, what, "an old look answers nothing")
	assert.Equal(t, 3, s.Saved)
	what, _ = s.Wish(1300*time.Millisecond, "other", 5, true)
	assert.Equal(t, HoldIt, what, "nor does another member's")
}

func TestALookIsReadBackAndNonsenseIsNone(t *testing.T) {
	in := Look{Member: "s-1", Code: "57P03"}
	out, ok := ReadLook(in.Encode())
	require.True(t, ok)
	assert.Equal(t, in, out)
	for _, bad := range [][]byte{nil, {0xc1}, Look{}.Encode(), Look{Member: "m", Code: "too long"}.Encode()} {
		_, ok := ReadLook(bad)
		assert.False(t, ok)
	}
}

// Before this, 300 fronts that lost one member asked 336 times in a minute: each went by itself before the scout's look came.
func TestAScoutThatIsAtItLetsOthersWaitAndIsSentOnce(t *testing.T) {
	s := NewScouting[int](time.Second, 100*time.Millisecond)
	s.Wish(0, "m", 1, true)
	assert.Nil(t, s.Take(50*time.Millisecond, 5, Look{Member: "m", Open: true}))
	assert.Empty(t, s.Due(150*time.Millisecond), "its end follows")
	s.Wish(160*time.Millisecond, "m", 2, true)
	assert.Equal(t, []int{1, 2}, s.Take(190*time.Millisecond, 5, Look{Member: "m"}))
	s.Wish(4*time.Second, "m", 3, true)
	s.Take(4*time.Second, 5, Look{Member: "m", Open: true})
	assert.Equal(t, []int{3}, s.Due(4200*time.Millisecond), "no longer than twice")

	assert.True(t, s.Errand(5*time.Second, "m"))
	assert.False(t, s.Errand(5100*time.Millisecond, "m"), "it is at it")
	assert.True(t, s.Errand(5200*time.Millisecond, "m"))
}
