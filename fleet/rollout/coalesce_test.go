package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dapplerouter/fleet"
)

// jsonRules is rules as an object of JSON.
type jsonRules struct{}

func (jsonRules) Split(text []byte) (rules map[string]string, err error) {
	rules = map[string]string{}
	if len(text) > 0 {
		err = json.Unmarshal(text, &rules)
	}
	return rules, err
}

func (jsonRules) Join(rules map[string]string) []byte {
	b, _ := json.Marshal(rules)
	return b
}

func (jsonRules) Meaning(text []byte) string { return string(text) }

var ruleTexts = rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.SampledFrom([]string{"1", "2", "3"}), 0, 4)

// A coalesced version is its publications' changes applied in order, and each publication has one outcome.
func TestACoalescedVersionIsItsPublicationsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = 5
		inForce := ruleTexts.Draw(t, "in force")
		want := maps.Clone(inForce)
		var all []publication
		accepted := 0
		for i := range rapid.IntRange(1, maxWaiting).Draw(t, "publications") {
			madeOn := uint64(rapid.IntRange(base-1, base+1).Draw(t, "made on"))
			seen, theirs := ruleTexts.Draw(t, "seen"), ruleTexts.Draw(t, "theirs")
			changes := changesBetween(seen, theirs)
			if got := applyChanges(seen, changes); !assert.ObjectsAreEqual(theirs, got) {
				t.Fatalf("changes from %v to %v give %v", seen, theirs, got)
			}
			all = append(all, publication{action: Action{ID: uint64(i + 1), Base: madeOn, Stages: []uint16{1000}}, changes: changes, within: time.Minute})
			if madeOn <= base {
				accepted++
				for key, text := range changes {
					want[key] = text
					if text == "" {
						delete(want, key)
					}
				}
			}
		}
		c, err := coalesce(all, jsonRules{}, base, jsonRules{}.Join(inForce), jsonRules{}.Meaning(jsonRules{}.Join(inForce)))
		if err != nil {
			t.Fatal(err)
		}
		got, _ := jsonRules{}.Split(c.action.Text)
		if c.merged > 0 && !maps.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if c.merged == 0 && accepted > 0 && !maps.Equal(want, inForce) {
			t.Fatal("nothing was published, and something changed")
		}
		if len(c.outcomes) != len(all) {
			t.Fatalf("%d outcomes of %d publications", len(c.outcomes), len(all))
		}
		for i, o := range c.outcomes {
			if o.ID != all[i].action.ID || (o.RejectedReason == "") != (c.merged > 0 && all[i].action.Base <= base) {
				t.Fatalf("publication %d: %+v", i, o)
			}
		}
	})
}

// queueing is a controller whose version 4 is in force, with version 5 on its way, which changes b.
func queueing() (*Controller, *fleet.ReplicatedState, State) {
	c := NewController(ControllerOptions{Timing: fleet.Timing{LeaseDuration: 3 * time.Second}, ConfigLease: 12 * time.Second, InForceWithin: 20 * time.Second, Rules: jsonRules{}})
	r := &fleet.ReplicatedState{Fronts: map[string]*fleet.Front{}, Values: map[string]*fleet.StoredValue{
		textKey(4): {Index: 1, Value: []byte(`{"a":"1","b":"1"}`)},
		textKey(5): {Index: 2, Value: []byte(`{"a":"1","b":"2"}`)},
	}}
	return c, r, State{LastVersion: 5, Base: 4, Next: 5, Phase: PhaseRolling, Stages: []uint16{1000}}
}

func TestAPublicationInConflictIsRefusedWithItsReason(t *testing.T) {
	for _, x := range []struct {
		base      uint64
		text, why string
	}{
		{4, `{"a":"2","b":"1"}`, ""}, // another rule
		{4, `{"a":"1","b":"2"}`, ""}, // the same change
		{4, `{"a":"1","b":"3"}`, "it was made on version 4, and version 5, which is on its way, changes b as well: look again"},
		{4, `{"a":"1"}`, "changes b as well"},
		{5, `{"a":"1","b":"3"}`, ""}, // made in the knowledge of 5
		{3, `{"a":"2","b":"1"}`, "version 4 is in force, and the wish was made on version 3: look again"},
		{4, `{`, "unexpected end"},
	} {
		c, r, s := queueing()
		fault := c.admit(0, r, s, Action{ID: 9, Base: x.base, Text: []byte(x.text), Stages: []uint16{1000}}, "n1")
		if x.why == "" {
			assert.Empty(t, fault, "%+v", x)
			assert.Len(t, c.waiting, 1)
			continue
		}
		assert.Contains(t, fault, x.why, "%+v", x)
		assert.Empty(t, c.waiting)
	}
}

func TestTheQueueIsBoundedAndShown(t *testing.T) {
	c, r, s := queueing()
	for i := range maxWaiting {
		action := Action{ID: uint64(i + 1), Base: 4, Text: []byte(`{"a":"2","b":"1"}`), Stages: []uint16{1000}}
		require.Empty(t, c.admit(time.Duration(i), r, s, action, "n1"))
		require.Empty(t, c.admit(time.Duration(i), r, s, action, "n1"), "a repeated one changes nothing")
	}
	require.Len(t, c.waiting, maxWaiting)
	assert.Contains(t, c.admit(0, r, s, Action{ID: 99, Base: 4, Text: []byte(`{}`), Stages: []uint16{1000}}, "n1"), fmt.Sprintf("%d publications wait", maxWaiting))
	require.True(t, c.serveQueue(time.Second, r, s))
	r.Values[queueKey] = &fleet.StoredValue{Value: c.queue[0].value}
	assert.Equal(t, QueuedPublication{Front: "n1", Base: 4, Changes: "a"}, QueuedPublications(r)[0])
	assert.False(t, c.serveQueue(time.Second, r, s), "they wait")
	require.True(t, c.serveQueue(21*time.Second, r, s), "nobody waits without an answer")
	written, ok := ReadState(&fleet.ReplicatedState{Values: map[string]*fleet.StoredValue{stateKey: {Value: c.queue[0].value}}})
	require.True(t, ok)
	require.Len(t, written.Outcomes, maxWaiting)
	assert.Contains(t, written.Outcomes[0].RejectedReason, "version 5 is on its way still (rolling)")
	assert.False(t, c.serveQueue(22*time.Second, r, written) && len(c.waiting) > 0, "each has its outcome, and waits no more")
	assert.Empty(t, c.waiting)
}
