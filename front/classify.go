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

// Classifier is the statement classification that the operator's configuration file defines.
type Classifier struct {
	*sqlclass.Classifier
	UndeclaredWriteEffect routing.Idempotency // of a write statement whose request type is a read type
}

// classifier maps classified statements to request types. A write statement whose request type is a read type is an undeclared write.
type classifier struct {
	statements *sqlclass.Classifier
	ruleTypes  []int // the request type of each rule
	writeTypes []int // by request type: the type for its undeclared writes; a write type maps to itself

	classified, byRule, unmatched, undeclaredWrites int
}

// newClassifier maps the classifier's rules to request types. For each read type, it adds a type for undeclared writes to the catalog.
func newClassifier(o *Classifier, catalog *catalog) *classifier {
	k := &classifier{statements: o.Classifier}
	for _, rule := range o.Rules() {
		k.ruleTypes = append(k.ruleTypes, catalog.typeNames.Intern(rule.RequestType)) // ValidateClassification has checked that the type exists
	}
	catalog.types = k.addWriteTypes(catalog.types, o.UndeclaredWriteEffect)
	return k
}

// addWriteTypes returns the types followed by one type for the undeclared writes of each read type. The added type is a copy of the read
// type, but a write with the effect that the operator configured for undeclared writes. The router therefore treats undeclared writes
// like other writes: it sends them to the primary only, and retries them only as far as the effect allows.
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
			t.Idempotency = routing.NonIdempotent // it is not known for how long the servers remember a key
		}
		all = append(all, t)
	}
	return all
}

// ValidateClassification checks the operator's rules against the deployment's request types: each rule must name one of them, and a rule
// for writes must name a type that writes. The error is a config.ErrorList with all violations, nil if there are none.
func ValidateClassification(classification *sqlclass.Settings, settings *deployment.Settings) error {
	var errs config.ErrorList
	for i, rule := range classification.Rules {
		t := slices.Index(settings.TypeNames, rule.RequestType)
		switch {
		case t < 0:
			errs = append(errs, config.Error{Position: classification.RulePositions[i], Message: rule.RequestType + " is no request type of this site",
				Remedy: fmt.Sprint("its types are ", settings.TypeNames)})
		case rule.Class == sqlclass.Write && settings.RequestTypes[t].Consistency != routing.Write:
			errs = append(errs, config.Error{Position: classification.RulePositions[i], Message: rule.RequestType + " reads, and the rule is for writes",
				Remedy: "name a type that writes, or take (class write) away"})
		}
	}
	if errs == nil {
		return nil
	}
	return errs
}

// classify determines the request type of a classified statement, by its comment or by the first matching rule. If it finds none, it
// returns a problem description for the client.
func (c *Core) classify(s *pgwire.Statement, req *routing.Request) (problem string) {
	k := c.classifier
	k.classified++
	req.ExpectedWork = k.statements.Estimate(s.Normalized, &s.Details)
	if len(s.RequestType) > 0 {
		var ok bool
		if req.Type, ok = c.catalog.typeNames.Lookup(string(s.RequestType)); !ok {
			return "c names no request type of this site"
		}
	} else {
		rule := k.statements.MatchRule(s.Normalized, req.ExpectedWork)
		if rule < 0 {
			k.unmatched++
			return "the comment names no request type, and no rule of the operator's file fits the statement"
		}
		k.byRule++
		req.Type = k.ruleTypes[rule]
	}
	if s.Write && c.catalog.types[req.Type].Consistency != routing.Write {
		slog.Debug("undeclared write", "id", string(s.ID), "type", c.catalog.typeNames.Key(req.Type), "class", s.Normalized.Class,
			"reason", s.Normalized.Reason, "fingerprint", s.Normalized.Fingerprint())
		k.undeclaredWrites++
		req.Type = k.writeTypes[req.Type]
	}
	consistency := c.catalog.types[req.Type].Consistency
	req.Write = consistency == routing.Write // a read statement of a write type is routed as a write
	if consistency == routing.ReadYourWrites && len(s.Key) == 0 {
		return "a read of this request type belongs to a session: s=NAME in the comment, or a quoted key"
	}
	return ""
}

// observeExecution reports the execution time of a classified statement to the classifier's cost model.
func (c *Core) observeExecution(a *Attempt, s *pgwire.Statement) {
	if c.classifier != nil && s.Normalized != nil {
		c.classifier.statements.Observe(s.Normalized, &s.Details, c.now-a.startedAt)
	}
}

// totals returns the classifier's counters as alternating names and values, the form that slog takes as attributes. LogTotals appends
// them to its own. They cover classified statements since the start: how many there were, how many were matched by a rule, matched none or
// were undeclared writes, and the present size and the use of the statement cache.
func (k *classifier) totals() []any {
	t := k.statements.Stats()
	return []any{"classified", k.classified, "by_rule", k.byRule, "unmatched", k.unmatched, "undeclared_writes", k.undeclaredWrites,
		"statements_cached", t.Entries, "statement_cache_bytes", t.Bytes, "statement_cache_hits", t.Hits,
		"statement_cache_misses", t.Misses, "statement_cache_collisions", t.Collisions, "statements_too_long", t.TooLong}
}
