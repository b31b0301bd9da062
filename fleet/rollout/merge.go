package rollout

import (
	"maps"
	"slices"
	"time"
)

// RuleSet reads and writes the text of a version one rule at a time.
type RuleSet interface {
	Split(text []byte) (map[string]string, error) // the text of each rule by its key; an empty text has no rules
	Join(rules map[string]string) []byte
	Digest(text []byte) string // digest of what the rules say, whatever their order and spelling
}

// changesBetween returns the rules that differ, with their text after the change, "" for a rule that is removed.
func changesBetween(before, after map[string]string) map[string]string {
	changes := map[string]string{}
	for key, text := range after {
		if before[key] != text {
			changes[key] = text
		}
	}
	for key := range before {
		if _, ok := after[key]; !ok {
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

// ruleVersion is a published version's rules.
type ruleVersion struct {
	number uint64
	text   []byte
	hash   string
}

// mergedVersion is one version out of queued publications, in their order: later ones win, rule by rule.
type mergedVersion struct {
	action   Action
	within   time.Duration
	outcomes []Outcome // of each publication
	count    int       // publications that the version consists of
}

// merge merges publications into one version on top of the version in force. It takes the most careful of what they ask for: the
// most stages, the longest observation, the smallest share that may be fenced, the shortest time.
func merge(all []publication, rules RuleSet, base ruleVersion) (m mergedVersion, err error) {
	merged, err := rules.Split(base.text)
	if err != nil {
		return m, err
	}
	for _, p := range all {
		next := applyChanges(merged, p.changes)
		switch text := rules.Join(next); {
		case p.action.Base > base.number:
			m.reject(p, rejectf(ErrOutdatedBase, "version %d, on which it was made, was taken back: look again", p.action.Base))
		case len(text) > MaxTextBytes:
			m.reject(p, rejectf(ErrRulesTooLong, "with the changes before it the file has %d bytes, and %d are the most", len(text), MaxTextBytes))
		default:
			merged = next
			m.add(p)
		}
	}
	m.action.Text = rules.Join(merged)
	m.action.RulesHash = rules.Digest(m.action.Text)
	if m.count > 0 && m.action.RulesHash == base.hash && base.number > 0 {
		m.count = 0
		for i, o := range m.outcomes {
			if o.RejectedReason == "" {
				m.outcomes[i] = outcomeOf(o.ID, unchangedError(base.number))
			}
		}
	}
	return m, nil
}

func (m *mergedVersion) reject(p publication, err error) {
	m.outcomes = append(m.outcomes, outcomeOf(p.action.ID, err))
}

// add takes what a publication asks for into the version.
func (m *mergedVersion) add(p publication) {
	m.outcomes = append(m.outcomes, outcomeOf(p.action.ID, nil))
	m.count++
	if m.count == 1 {
		m.action, m.within = p.action, p.within
		return
	}
	if len(p.action.Stages) > len(m.action.Stages) {
		m.action.Stages = p.action.Stages
	}
	m.action.ObservationTime = max(m.action.ObservationTime, p.action.ObservationTime)
	m.action.Mandatory = m.action.Mandatory || p.action.Mandatory
	m.action.MaxFenced = min(m.action.MaxFenced, p.action.MaxFenced)
	m.action.OnUndecided = max(m.action.OnUndecided, p.action.OnUndecided)
	m.within = min(m.within, p.within)
}

// describe names the rules of changes, the first three of many.
func describe(changes map[string]string) string {
	return joinFirst(slices.Sorted(maps.Keys(changes)), 3)
}
