package rollout

import (
	"maps"
	"slices"
	"time"
)

// RuleSet splits the text of a version into rules and joins rules into a text.
type RuleSet interface {
	Split(text []byte) (map[string]string, error) // returns the text of each rule by its key; an empty text has no rules
	Join(rules map[string]string) []byte
	Digest(text []byte) string // returns a digest of the rules' meaning, which does not depend on their order and spelling
}

// changesBetween returns the rules that differ between two sets, with their text after the change. The text of a removed rule is "".
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

// applyChanges returns a copy of rules with the changes applied.
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

// conflictingRules returns the sorted keys of the rules that two sets of changes set to different texts.
func conflictingRules(ours, theirs map[string]string) (keys []string) {
	for key, text := range ours {
		if other, ok := theirs[key]; ok && other != text {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// ruleVersion is the rules of a published version.
type ruleVersion struct {
	number uint64
	text   []byte
	hash   string
}

// mergedVersion is a version that is made from queued publications, applied in order. For each rule, the last change wins.
type mergedVersion struct {
	action   Action
	within   time.Duration
	outcomes []Outcome // one for each publication
	count    int       // number of publications that are part of the version
}

// merge merges publications into one version on top of the version in force. Of the publications' settings it takes the
// strictest ones: the most stages, the longest observation time, the smallest share that may be fenced, the shortest deadline, mandatory
// if one of them is, and for undecided stages a rollback rather than a pause, and a pause rather than the next stage.
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

// reject records that a publication is not part of the version: err is the reason in its outcome.
func (m *mergedVersion) reject(p publication, err error) {
	m.outcomes = append(m.outcomes, outcomeOf(p.action.ID, err))
}

// add records that a publication is part of the version, and merges its settings with those of the publications before it.
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

// listChangedRules returns the keys of the changed rules as a text; of more than three it names the first three and counts the rest.
func listChangedRules(changes map[string]string) string {
	return joinFirst(slices.Sorted(maps.Keys(changes)), 3)
}
