package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// RuleSet reads and writes the text of a version one rule at a time.
type RuleSet interface {
	Split(text []byte) (map[string]string, error) // the text of each rule by its key; no text has no rules
	Join(rules map[string]string) []byte
	Meaning(text []byte) string
}

// changesBetween returns the rules that differ, with their new text, "" for a rule that is removed.
func changesBetween(old, new map[string]string) map[string]string {
	changes := map[string]string{}
	for key, text := range new {
		if old[key] != text {
			changes[key] = text
		}
	}
	for key := range old {
		if _, ok := new[key]; !ok {
			changes[key] = ""
		}
	}
	return changes
}

// applyChanges returns rules with changes made to them.
func applyChanges(rules, changes map[string]string) map[string]string {
	rules = maps.Clone(rules)
	for key, text := range changes {
		if text == "" {
			delete(rules, key)
		} else {
			rules[key] = text
		}
	}
	return rules
}

// conflict returns the rules that two changes set differently, sorted.
func conflict(ours, theirs map[string]string) (keys []string) {
	for key, text := range ours {
		if other, ok := theirs[key]; ok && other != text {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// coalesced is one version out of publications that waited, in their order: later ones win, rule by rule.
type coalesced struct {
	action   Action
	within   time.Duration
	outcomes []Outcome // of each publication
	merged   int       // publications that the version consists of
}

// coalesce merges publications into one version on top of the version in force. It takes the most careful of what they ask for:
// the most stages, the longest watch, the smallest share that may be fenced, the shortest time.
func coalesce(all []publication, rules RuleSet, base uint64, baseText []byte, baseMeaning string) (c coalesced, err error) {
	merged, err := rules.Split(baseText)
	if err != nil {
		return c, err
	}
	for _, p := range all {
		next := applyChanges(merged, p.changes)
		switch text := rules.Join(next); {
		case p.action.Base > base:
			c.refuse(p, fmt.Sprintf("version %d, on which it was made, was taken back: look again", p.action.Base))
		case len(text) > MaxTextBytes:
			c.refuse(p, fmt.Sprintf("with the changes before it the file has %d bytes, and %d are the most", len(text), MaxTextBytes))
		default:
			merged = next
			c.add(p)
		}
	}
	c.action.Text = rules.Join(merged)
	c.action.RulesHash = rules.Meaning(c.action.Text)
	if c.merged > 0 && c.action.RulesHash == baseMeaning && base > 0 {
		c.merged = 0
		for i := range c.outcomes {
			if c.outcomes[i].RejectedReason == "" {
				c.outcomes[i].RejectedReason = fmt.Sprintf("the rules mean the same as those of version %d, which is in force", base)
			}
		}
	}
	return c, nil
}

func (c *coalesced) refuse(p publication, why string) {
	c.outcomes = append(c.outcomes, Outcome{ID: p.action.ID, RejectedReason: why})
}

// add takes what a publication asks for into the version.
func (c *coalesced) add(p publication) {
	c.outcomes = append(c.outcomes, Outcome{ID: p.action.ID})
	c.merged++
	if c.merged == 1 {
		c.action, c.within = p.action, p.within
		return
	}
	if len(p.action.Stages) > len(c.action.Stages) {
		c.action.Stages = p.action.Stages
	}
	c.action.ObservationTime = max(c.action.ObservationTime, p.action.ObservationTime)
	c.action.Mandatory = c.action.Mandatory || p.action.Mandatory
	c.action.MaxFenced = min(c.action.MaxFenced, p.action.MaxFenced)
	c.action.OnUndecided = max(c.action.OnUndecided, p.action.OnUndecided)
	c.within = min(c.within, p.within)
}

// describe names the rules of changes, the first few of many.
func describe(changes map[string]string) string {
	keys := slices.Sorted(maps.Keys(changes))
	if len(keys) > 3 {
		return strings.Join(keys[:3], ", ") + fmt.Sprintf(" and %d more", len(keys)-3)
	}
	return strings.Join(keys, ", ")
}
