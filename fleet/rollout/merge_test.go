package rollout

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
