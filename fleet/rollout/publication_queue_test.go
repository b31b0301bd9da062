package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// newQueueingController returns a controller that queues publications, and the input of its steps. Version 4 is in force, and version 5,
// which changes rule b, is being rolled out.
func newQueueingController() (*Controller, *stepInput) {
	c := NewController(ControllerOptions{Timing: fleet.Timing{LeaseDuration: 3 * time.Second}, ConfigLease: 12 * time.Second, InForceWithin: 20 * time.Second, Rules: jsonRules{}})
	r := &fleet.ReplicatedState{Fronts: map[string]*fleet.Front{}, Values: map[string]*fleet.StoredValue{
		textKey(4): {Index: 1, Value: []byte(`{"a":"1","b":"1"}`)},
		textKey(5): {Index: 2, Value: []byte(`{"a":"1","b":"2"}`)},
	}}
	return c, &stepInput{replicated: r, state: State{LastVersion: 5, Base: 4, Next: 5, Phase: PhaseRolling, Stages: []uint16{1000}}}
}

// publicationFrom returns a publication that was made at a front on version base.
func publicationFrom(front string, id, base uint64, text string) submittedAction {
	return submittedAction{Action{ID: id, Base: base, Text: []byte(text), Stages: []uint16{1000}}, front}
}

func TestConflictingPublicationIsRejectedWithItsReason(t *testing.T) {
	for _, x := range []struct {
		base         uint64
		text, reason string
		cause        error
	}{
		{4, `{"a":"2","b":"1"}`, "", nil}, // another rule
		{4, `{"a":"1","b":"2"}`, "", nil}, // the same change
		{4, `{"a":"1","b":"3"}`, "it was made on version 4, and version 5, which is on its way, changes b as well: look again", ErrConflict},
		{4, `{"a":"1"}`, "changes b as well", ErrConflict},
		{5, `{"a":"1","b":"3"}`, "", nil}, // its operator has seen version 5
		{3, `{"a":"2","b":"1"}`, "version 4 is in force, and the wish was made on version 3: look again", ErrOutdatedBase},
		{4, `{`, "unexpected end", nil},
	} {
		c, in := newQueueingController()
		err := c.enqueue(in, publicationFrom("n1", 9, x.base, x.text))
		if x.reason == "" {
			assert.NoError(t, err, "%+v", x)
			assert.Len(t, c.publications, 1)
			continue
		}
		assert.ErrorContains(t, err, x.reason, "%+v", x)
		if x.cause != nil {
			assert.ErrorIs(t, err, x.cause, "%+v", x)
		}
		assert.Empty(t, c.publications)
	}
}

func TestPublicationQueueIsBoundedAndStored(t *testing.T) {
	c, in := newQueueingController()
	for i := range maxQueued {
		in.now = time.Duration(i)
		action := publicationFrom("n1", uint64(i+1), 4, `{"a":"2","b":"1"}`)
		require.NoError(t, c.enqueue(in, action))
		require.NoError(t, c.enqueue(in, action), "a publication that is sent again changes nothing")
	}
	require.Len(t, c.publications, maxQueued)
	err := c.enqueue(in, publicationFrom("n1", 99, 4, `{}`))
	assert.ErrorIs(t, err, ErrQueueFull)
	assert.ErrorContains(t, err, fmt.Sprintf("%d publications wait", maxQueued))
	in.now = time.Second
	require.True(t, c.processQueue(in))
	in.replicated.Values[queueKey] = &fleet.StoredValue{Value: c.writer.queue[0].value}
	assert.Equal(t, QueuedPublication{Front: "n1", Base: 4, Changes: "a"}, QueuedPublications(in.replicated)[0])
	assert.False(t, c.processQueue(in), "the publications wait")
	in.now = 21 * time.Second
	require.True(t, c.processQueue(in), "overdue publications are rejected")
	written, ok := ReadState(&fleet.ReplicatedState{Values: map[string]*fleet.StoredValue{stateKey: {Value: c.writer.queue[0].value}}})
	require.True(t, ok)
	require.Len(t, written.Outcomes, maxQueued)
	assert.Contains(t, written.Outcomes[0].RejectedReason, "version 5 is on its way still (rolling)")
	in.now, in.state = 22*time.Second, written
	assert.False(t, c.processQueue(in) && len(c.publications) > 0, "a publication with an outcome leaves the queue")
	assert.Empty(t, c.publications)
}
