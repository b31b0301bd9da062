package sqlclass

import (
	"slices"
	"time"
)

// Rule names the request type of statements that match it. What is left out matches all.
type Rule struct {
	Type   string
	Class  Class    // Unknown: any; Write matches Unknown statements too
	Verbs  []string // the statement's verb is one of them
	Tables []string // the statement names one of them
	Below  time.Duration
	Above  time.Duration // the estimate is at least Above and, where Below is set, less than Below
}

// MaxRules is how many rules there may be.
const MaxRules = 64

// matches reports whether all but the cost matches.
func (r *Rule) matches(c *Classification) bool {
	write := c.Class != Read
	return (r.Class == Unknown || (r.Class == Write) == write) &&
		(len(r.Verbs) == 0 || slices.Contains(r.Verbs, c.Verb)) &&
		(len(r.Tables) == 0 || slices.ContainsFunc(r.Tables, func(t string) bool { return slices.Contains(c.Tables, t) }))
}

// covers reports whether the rule matches all that other matches.
func (r *Rule) covers(other *Rule) bool {
	return (r.Class == Unknown || r.Class == other.Class) &&
		coversNames(r.Verbs, other.Verbs) && coversNames(r.Tables, other.Tables) &&
		r.Above <= other.Above && (r.Below == 0 || other.Below > 0 && other.Below <= r.Below)
}

// coversNames reports whether a condition on these names is met wherever one on the others is. No names are no condition.
func coversNames(names, others []string) bool {
	if len(names) == 0 {
		return true
	}
	return len(others) > 0 && !slices.ContainsFunc(others, func(n string) bool { return !slices.Contains(names, n) })
}

// matchingRules returns a bit for each rule that matches but for its cost.
func matchingRules(rules []Rule, c *Classification) (matching uint64) {
	for i := range rules {
		if rules[i].matches(c) {
			matching |= 1 << i
		}
	}
	return matching
}

// MatchRule returns the first rule that a statement with the given estimate matches, or -1.
func (c *Classifier) MatchRule(s *NormalizedStatement, estimate time.Duration) int {
	for i := range c.rules {
		r := &c.rules[i]
		if s.matchingRules&(1<<i) != 0 && estimate >= r.Above && (r.Below == 0 || estimate < r.Below) {
			return i
		}
	}
	return -1
}

// Rules returns the rules of the Classifier.
func (c *Classifier) Rules() []Rule { return c.rules }
