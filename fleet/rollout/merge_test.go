package rollout

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// jsonRules is a RuleSet whose texts are JSON objects.
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

func (jsonRules) Digest(text []byte) string { return string(text) }

var ruleTexts = rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.SampledFrom([]string{"1", "2", "3"}), 0, 4)

// A merged version equals the publications' changes applied in order, and each publication has exactly one outcome.
func TestMergedVersionAppliesPublicationsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = 5
		inForce := ruleTexts.Draw(t, "in force")
		want := maps.Clone(inForce)
		var all []publication
		accepted := 0
		for i := range rapid.IntRange(1, maxQueued).Draw(t, "publications") {
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
		m, err := merge(all, jsonRules{}, ruleVersion{base, jsonRules{}.Join(inForce), jsonRules{}.Digest(jsonRules{}.Join(inForce))})
		if err != nil {
			t.Fatal(err)
		}
		got, _ := jsonRules{}.Split(m.action.Text)
		if m.count > 0 && !maps.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		if m.count == 0 && accepted > 0 && !maps.Equal(want, inForce) {
			t.Fatal("nothing was published, and something changed")
		}
		if len(m.outcomes) != len(all) {
			t.Fatalf("%d outcomes of %d publications", len(m.outcomes), len(all))
		}
		for i, o := range m.outcomes {
			if o.ID != all[i].action.ID || (o.RejectedReason == "") != (m.count > 0 && all[i].action.Base <= base) {
				t.Fatalf("publication %d: %+v", i, o)
			}
		}
	})
}

// A merged version takes the most careful of what its publications request, in whatever order they come.
func TestMergedVersionTakesMostCarefulSettings(t *testing.T) {
	careful := publication{action: Action{ID: 1, Stages: []uint16{1, 500, 1000}, ObservationTime: time.Minute, Mandatory: true, MaxFenced: 100,
		OnUndecided: UndecidedRollBack}, changes: map[string]string{"a": "1"}, within: 20 * time.Second}
	careless := publication{action: Action{ID: 2, Stages: []uint16{1000}, MaxFenced: 500, OnUndecided: UndecidedContinue},
		changes: map[string]string{"b": "1"}, within: time.Minute}
	pausing := publication{action: Action{ID: 3, Stages: []uint16{1000}, MaxFenced: 500, OnUndecided: UndecidedPause},
		changes: map[string]string{"c": "1"}, within: time.Minute}
	for _, all := range [][]publication{{careful, careless, pausing}, {careless, pausing, careful}, {pausing, careful, careless}} {
		m, err := merge(all, jsonRules{}, ruleVersion{})
		require.NoError(t, err)
		assert.Equal(t, 3, m.count)
		assert.Equal(t, careful.action.Stages, m.action.Stages)
		assert.Equal(t, careful.action.ObservationTime, m.action.ObservationTime)
		assert.True(t, m.action.Mandatory)
		assert.Equal(t, careful.action.MaxFenced, m.action.MaxFenced)
		assert.Equal(t, UndecidedRollBack, m.action.OnUndecided)
		assert.Equal(t, careful.within, m.within)
	}
	m, err := merge([]publication{careless, pausing}, jsonRules{}, ruleVersion{})
	require.NoError(t, err)
	assert.False(t, m.action.Mandatory)
	assert.Equal(t, UndecidedPause, m.action.OnUndecided)
}
