package sqlclass

import (
	"slices"
	"time"
)

// Rule assigns a request type to the statements that match it. A condition that is left out matches every statement.
type Rule struct {
	RequestType string        // assigned request type
	Class       Class         // Unknown matches every class; Write also matches Unknown statements
	Verbs       []string      // matches if the statement's verb is one of them
	Tables      []string      // matches if the statement names at least one of them
	MaxEstimate time.Duration // the estimated latency is less than MaxEstimate; 0 for no upper limit
	MinEstimate time.Duration // the estimated latency is at least MinEstimate
}

// MaxRules is the maximum number of rules: NormalizedStatement has one bit for each.
const MaxRules = 64

// matches reports whether the rule's conditions other than MinEstimate and MaxEstimate are met.
func (r *Rule) matches(c *Classification) bool {
	write := c.Class != Read
	return (r.Class == Unknown || (r.Class == Write) == write) &&
		(len(r.Verbs) == 0 || slices.Contains(r.Verbs, c.Verb)) &&
		(len(r.Tables) == 0 || slices.ContainsFunc(r.Tables, func(t string) bool { return slices.Contains(c.Tables, t) }))
}

// covers reports whether the rule matches every statement that other matches.
func (r *Rule) covers(other *Rule) bool {
	return (r.Class == Unknown || r.Class == other.Class) &&
		coversNames(r.Verbs, other.Verbs) && coversNames(r.Tables, other.Tables) &&
		r.MinEstimate <= other.MinEstimate && (r.MaxEstimate == 0 || other.MaxEstimate > 0 && other.MaxEstimate <= r.MaxEstimate)
}

// coversNames compares two conditions of the same kind, each of which is met by any one of its names. It reports whether every
// statement that meets the condition with the list others also meets the one with the list names, because names contains all
// of others. An empty list is a condition that every statement meets.
func coversNames(names, others []string) bool {
	if len(names) == 0 {
		return true
	}
	return len(others) > 0 && !slices.ContainsFunc(others, func(n string) bool { return !slices.Contains(names, n) })
}

// matchingRules returns a bit set of the rules whose conditions other than MinEstimate and MaxEstimate are met.
func matchingRules(rules []Rule, c *Classification) (matching uint64) {
	for i := range rules {
		if rules[i].matches(c) {
			matching |= 1 << i
		}
	}
	return matching
}

// MatchRule returns the index of the first rule that a statement with the given estimated latency matches, or -1 if none
// does.
func (c *Classifier) MatchRule(s *NormalizedStatement, estimate time.Duration) int {
	for i := range c.rules {
		r := &c.rules[i]
		if s.matchingRules&(1<<i) != 0 && estimate >= r.MinEstimate && (r.MaxEstimate == 0 || estimate < r.MaxEstimate) {
			return i
		}
	}
	return -1
}

// Rules returns the Classifier's rules. MatchRule returns an index into them.
func (c *Classifier) Rules() []Rule { return c.rules }
