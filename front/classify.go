package front

import (
	"fmt"
	"log/slog"
	"slices"

	"dapplerouter/config"
	"dapplerouter/deployment"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
	"dapplerouter/sqlclass"
)

// Classifier is what the operator's file configures for the classification of statements.
type Classifier struct {
	*sqlclass.Classifier
	UndeclaredWriteEffect routing.Idempotency // of a write whose request type reads
}

// classifier maps what statements are classified as to request types.
type classifier struct {
	statements *sqlclass.Classifier
	ruleTypes  []int // the request type of each rule
	writeTypes []int // by request type: the same for an undeclared write; itself where the type writes anyway

	classified, byRule, unmatched, undeclaredWrites int
}

// newClassifier maps the classifier's rules to request types and adds a type for undeclared writes to the catalog, for each that reads.
func newClassifier(o *Classifier, catalog *catalog) *classifier {
	k := &classifier{statements: o.Classifier}
	for _, rule := range o.Rules() {
		k.ruleTypes = append(k.ruleTypes, catalog.typeNames.Intern(rule.Type)) // known: ValidateClassification checked it
	}
	catalog.types = k.addWriteTypes(catalog.types, o.UndeclaredWriteEffect)
	return k
}

// addWriteTypes returns the types with one more for each that reads: like it, but a write with the effect that the operator gave
// to undeclared writes. So the router decides on these as on all others: they go to the primary only, and are retried only as far as
// the effect allows.
func (k *classifier) addWriteTypes(types []routing.RequestType, effect routing.Idempotency) []routing.RequestType {
	all := slices.Clone(types)
	for i, t := range types {
		k.writeTypes = append(k.writeTypes, i)
		if t.Consistency == routing.Write {
			continue
		}
		k.writeTypes[i] = len(all)
		t.Consistency, t.Idempotency, t.MaxStaleness = routing.Write, effect, 0
		if effect == routing.IdempotencyKey && t.DedupWindow == 0 {
			t.Idempotency = routing.NonIdempotent // nothing says for how long a key is remembered
		}
		all = append(all, t)
	}
	return all
}

// ValidateClassification checks the operator's settings against the deployment's request types. The error is a config.ErrorList.
func ValidateClassification(classification *sqlclass.Settings, settings *deployment.Settings) error {
	var errs config.ErrorList
	for i, rule := range classification.Rules {
		t := slices.Index(settings.TypeNames, rule.Type)
		switch {
		case t < 0:
			errs = append(errs, config.Error{Position: classification.RulePositions[i], Message: rule.Type + " is no request type of this site",
				Remedy: fmt.Sprint("its types are ", settings.TypeNames)})
		case rule.Class == sqlclass.Write && settings.RequestTypes[t].Consistency != routing.Write:
			errs = append(errs, config.Error{Position: classification.RulePositions[i], Message: rule.Type + " reads, and the rule is for writes",
				Remedy: "name a type that writes, or take (class write) away"})
		}
	}
	if errs == nil {
		return nil
	}
	return errs
}

// classify finds the request type of a statement that was classified. A problem is a reason for the client why it has none.
func (c *Core) classify(s *pgwire.Statement, t *routing.Request) (problem string) {
	k := c.classifier
	k.classified++
	t.ExpectedWork = k.statements.Estimate(s.Normalized, &s.Details)
	if len(s.RequestType) > 0 {
		var ok bool
		if t.Type, ok = c.catalog.typeNames.Lookup(string(s.RequestType)); !ok {
			return "c names no request type of this site"
		}
	} else {
		rule := k.statements.MatchRule(s.Normalized, t.ExpectedWork)
		if rule < 0 {
			k.unmatched++
			return "the comment names no request type, and no rule of the operator's file fits the statement"
		}
		k.byRule++
		t.Type = k.ruleTypes[rule]
	}
	if s.Write && c.catalog.types[t.Type].Consistency != routing.Write {
		slog.Debug("undeclared write", "id", string(s.ID), "type", c.catalog.typeNames.Key(t.Type), "class", s.Normalized.Class,
			"reason", s.Normalized.Reason, "fingerprint", s.Normalized.Fingerprint())
		k.undeclaredWrites++
		t.Type = k.writeTypes[t.Type]
	}
	consistency := c.catalog.types[t.Type].Consistency
	t.Write = consistency == routing.Write // a read under a writing type goes where its type says
	if consistency == routing.ReadYourWrites && len(s.Key) == 0 {
		return "a read of this request type belongs to a session: s=NAME in the comment, or a quoted key"
	}
	return ""
}

// observeExecution has the classifier learn how long a statement took.
func (c *Core) observeExecution(a *Attempt, s *pgwire.Statement) {
	if c.classifier != nil && s.Normalized != nil {
		c.classifier.statements.Observe(s.Normalized, &s.Details, c.now-a.startedAt)
	}
}

// totals are the attributes of the log's totals.
func (k *classifier) totals() []any {
	t := k.statements.Stats()
	return []any{"classified", k.classified, "by_rule", k.byRule, "unmatched", k.unmatched, "undeclared_writes", k.undeclaredWrites,
		"statements_cached", t.Entries, "statement_cache_bytes", t.Bytes, "statement_cache_hits", t.Hits,
		"statement_cache_misses", t.Misses, "statement_cache_collisions", t.Collisions, "statements_too_long", t.TooLong}
}
