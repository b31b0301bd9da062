package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// The texts are those of version 0.3.0. They are stored, and programs of other versions show them.
func TestActionsAreRejectedWithTheirCause(t *testing.T) {
	all := []uint16{1000}
	rolling := State{LastVersion: 5, Base: 4, Next: 5, Phase: PhaseRolling, RulesHashes: [2]string{"h4", "h5"}}
	finishing, steady := rolling, rolling
	finishing.Phase = PhaseFinishing
	steady.Next, steady.Phase = 0, PhaseSteady
	for _, x := range []struct {
		name   string
		state  State
		action Action
		cause  error
		text   string
	}{
		{"nothing to roll back", steady, Action{Type: ActionRollBack}, ErrNoRollout, "no version is on its way"},
		{"nothing to pause", steady, Action{Type: ActionPause}, ErrNoRollout, "no version is on its way"},
		{"too late to roll back", finishing, Action{Type: ActionRollBack}, ErrRolloutFinishing, "version 5 is being finished: publish the old rules anew"},
		{"another version on its way", rolling, Action{Base: 4, Stages: all}, ErrRolloutInProgress, "version 5 is on its way (rolling): wait for it, or take it back first"},
		{"made on an older version", steady, Action{Base: 3, Stages: all}, ErrOutdatedBase, "version 4 is in force, and the wish was made on version 3: look again"},
		{"the same rules", steady, Action{Base: 4, Stages: all, RulesHash: "h4"}, ErrRulesUnchanged, "the rules mean the same as those of version 4, which is in force"},
		{"stages that end early", steady, Action{Base: 4, Stages: []uint16{1, 500}}, ErrInvalidStages, "waves rise to 100%"},
		{"a time that is too short", steady, Action{Base: 4, Stages: all, InForceWithin: 10 * time.Second}, ErrDeadlineTooShort,
			"in force within 10s does not fit a right of 12s and a span of 3s: fronts that are cut off are waited for until their rights are over: a time of 19.5s or more"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := NewController(ControllerOptions{Timing: fleet.Timing{LeaseDuration: 3 * time.Second}, ConfigLease: 12 * time.Second})
			in := &stepInput{replicated: &fleet.ReplicatedState{}, state: x.state}
			err := c.checkAction(in, x.action)
			require.ErrorIs(t, err, x.cause)
			require.EqualError(t, err, x.text)
			x.action.ID = 7
			c.applyAction(in, x.action)
			require.Len(t, c.writer.queue, 1)
			s, ok := ReadState(&fleet.ReplicatedState{Values: map[string]*fleet.StoredValue{stateKey: {Value: c.writer.queue[0].value}}})
			require.True(t, ok)
			assert.Equal(t, []Outcome{{ID: 7, RejectedReason: x.text}}, s.Outcomes)
			assert.Equal(t, x.state.Phase, s.Phase)
		})
	}
}
