package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// A submitted action gets exactly one outcome. Without a leaseholder the outcome is ErrNoAnswer, once the timeout is over.
func TestSubmittedActionHasOneOutcome(t *testing.T) {
	timing := fleet.Timing{LeaseDuration: 3 * time.Second}
	for _, x := range []struct {
		name   string
		stored *State // nil for none
		want   error
	}{
		{"no answer", nil, ErrNoAnswer},
		{"accepted", &State{Outcomes: []Outcome{{ID: 7}}}, nil},
		{"rejected", &State{Outcomes: []Outcome{{ID: 7, RejectedReason: "no version is on its way"}}}, &RejectedError{Reason: "no version is on its way"}},
		{"a newer program", &State{Format: format + 1}, ErrNewerState},
	} {
		t.Run(x.name, func(t *testing.T) {
			n, err := fleet.New(fleet.Options{Fleet: "x", Name: "a", Incarnation: 7, InitialVoters: []fleet.Voter{{Name: "b"}}, Timing: timing, Seed: 1}, nil)
			require.NoError(t, err)
			if x.stored != nil {
				n.State().Values[stateKey] = &fleet.StoredValue{Index: 1, Value: encode(x.stored)}
			}
			p := NewParticipant(Options{Name: "a", Timing: timing, ConfigLease: 12 * time.Second}, Hooks{})
			var outcomes []error
			p.Submit(0, Action{ID: 7}, 5*time.Second, func(err error) { outcomes = append(outcomes, err) })
			for now := time.Duration(0); now < 10*time.Second; now += timing.TickInterval() {
				p.sendActions(now, n)
			}
			require.Len(t, outcomes, 1)
			assert.Equal(t, x.want, outcomes[0])
		})
	}
	assert.EqualError(t, ErrNoAnswer, "no answer of the fleet: nobody holds the duty roll, or no majority of keepers is there")
	assert.EqualError(t, ErrNewerState, "the record's rolls are of a newer program: bring this one up to date")
}
