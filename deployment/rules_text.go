package deployment

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// RulesText splits the text of rules into single rules and joins them again, so that changes of several operators can be
// merged.
type RulesText struct{}

// Split returns the text of each rule by its key: "bound TYPE", "window TYPE" or "given-up GROUP". An empty text has no rules.
// The error is a config.ErrorList.
func (RulesText) Split(text []byte) (map[string]string, error) {
	rules := map[string]string{}
	if len(text) == 0 {
		return rules, nil
	}
	r, err := ParseRules("published", text)
	if err != nil {
		return nil, err
	}
	for name, d := range r.MaxStaleness {
		rules["bound "+name] = fmt.Sprintf("(bound %q %v)", name, d)
	}
	for name, d := range r.DedupWindows {
		rules["window "+name] = fmt.Sprintf("(window %q %v)", name, d)
	}
	for _, group := range r.RejectedGroups {
		rules[fmt.Sprint("given-up ", group)] = fmt.Sprintf("(given-up %d)", group)
	}
	return rules, nil
}

// Join returns the text of a rules form with all rules, in the order of their keys.
func (RulesText) Join(rules map[string]string) []byte {
	var b strings.Builder
	b.WriteString("(rules")
	for _, key := range slices.Sorted(maps.Keys(rules)) {
		b.WriteString("\n  " + rules[key])
	}
	b.WriteString(")\n")
	return []byte(b.String())
}

// Digest returns the digest of the rules in a text, or "" if the text cannot be parsed.
func (RulesText) Digest(text []byte) string {
	r, err := ParseRules("published", text)
	if err != nil {
		return ""
	}
	return r.Digest()
}
