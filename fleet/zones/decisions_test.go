package zones

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/fleet"
)

func TestDecisionExpiresWithoutRenewalAndIsNotReplacedByAnOlderOne(t *testing.T) {
	d := NewDecisions()
	decide := func(at time.Duration, epoch, renewals uint64, permille uint16) {
		d.Update(at, State{Zones: []ZoneStatus{{Zone: "a", EvacuatedPermille: permille, Epoch: epoch, Renewals: renewals, Deadline: 10 * time.Second}}})
	}
	decide(0, 5, 2, 800)
	decide(time.Second, 4, 9, 100)
	assert.Equal(t, 0.8, d.EvacuatedShare(10*time.Second, "a"))
	assert.InDelta(t, 0.4, d.EvacuatedShare(15*time.Second, "a"), 0.001, "gradually")
	assert.Zero(t, d.EvacuatedShare(20*time.Second, "a"))
	decide(21*time.Second, 5, 3, 800)
	assert.Equal(t, 0.8, d.EvacuatedShare(22*time.Second, "a"), "renewed")
	assert.Zero(t, d.EvacuatedShare(0, "b"))

	r := &fleet.ReplicatedState{Values: map[string]*fleet.StoredValue{stateKey: {Value: State{Zones: []ZoneStatus{{Zone: "a", EvacuatedPermille: 9}}}.Encode()}}}
	s, ok := ReadState(r)
	assert.True(t, ok)
	assert.EqualValues(t, 9, s.Status("a").EvacuatedPermille)
	r.Values[stateKey].Value = []byte{0xc1}
	_, ok = ReadState(r)
	assert.False(t, ok)
}

func TestSessionsMoveWholeAndStayMovedAsTheShareGrows(t *testing.T) {
	for _, share := range []float64{0, 0.1, 0.5, 0.9, 1} {
		n := 0
		for session := range uint64(20_000) {
			if SessionMoves(session|1, "a", share) {
				n++
				assert.True(t, SessionMoves(session|1, "a", min(1, share+0.07)))
			}
		}
		assert.InDelta(t, share, float64(n)/20_000, 0.02)
	}
}
