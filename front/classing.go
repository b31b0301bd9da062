package front

import (
	"fmt"
	"log/slog"
	"slices"

	"dapplerouter/config"
	"dapplerouter/deployment"
	"dapplerouter/routing"
	"dapplerouter/sqlclass"
)

// classifier is what a core knows of classing, where the operator's file turns it on: which request type a rule names,
// and the type under which a write of a reading type goes to the module.
type classifier struct {
	statements *sqlclass.Classifier
	ruleTypes  []int // by rule
	writeTypes []int // by request type: the same but writing, itself where it writes anyway

	classified, byRule, unmatched int
	undeclaredWrites              int // under a type that reads
}

// Classifier is what the operator's settings made.
type Classifier struct {
	*sqlclass.Classifier
	UndeclaredWriteEffect routing.Idempotency // of a write whose request type reads
}

// ValidateClassification finds what the settings say against a site's request types. The error is conf.Faults.
func ValidateClassification(s *sqlclass.Settings, at *deployment.Settings) error {
	var faults config.ErrorList
	for i, r := range s.Rules {
		t := slices.Index(at.TypeNames, r.Type)
		switch {
		case t < 0:
			faults = append(faults, config.Error{Position: s.RulePositions[i], Message: r.Type + " is no request type of this site",
				Remedy: fmt.Sprint("its types are ", at.TypeNames)})
		case r.Class == sqlclass.Write && at.RequestTypes[t].Consistency != routing.Write:
			faults = append(faults, config.Error{Position: s.RulePositions[i], Message: r.Type + " reads, and the rule is for writes",
				Remedy: "name a type that writes, or take (class write) away"})
		}
	}
	if faults == nil {
		return nil
	}
	return faults
}

// addWriteTypes adds to the types, for each that reads, one like it that writes with the effect that the operator
// gave to writes that their type does not tell of. So the module decides these as it does all others: to the
// primary only, and again only as far as the effect allows.
func (k *classifier) addWriteTypes(types []routing.RequestType, effect routing.Idempotency) []routing.RequestType {
	all := slices.Clone(types)
	for i, ty := range types {
		k.writeTypes = append(k.writeTypes, i)
		if ty.Consistency == routing.Write {
			continue
		}
		k.writeTypes[i] = len(all)
		ty.Consistency, ty.Idempotency, ty.MaxStaleness = routing.Write, effect, 0
		if effect == routing.IdempotencyKey && ty.DedupWindow == 0 {
			ty.Idempotency = routing.NonIdempotent // nothing says for how long a mark is remembered
		}
		all = append(all, ty)
	}
	return all
}

// classify gives an arrival that was classed its request type, or says why it has none.
func (a *Request) classify(c *Core, t *routing.Request) (refusal string) {
	s, k := &a.Statement, c.classes
	k.classified++
	t.ExpectedWork = k.statements.Estimate(s.Normalized, &s.Details)
	if len(s.RequestType) > 0 {
		var ok bool
		if t.Type, ok = c.typeIDs.Lookup(string(s.RequestType)); !ok {
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
	if s.Write && c.types[t.Type].Consistency != routing.Write {
		slog.Debug("undeclared write", "id", string(s.ID), "type", c.typeIDs.Key(t.Type), "class", s.Normalized.Class,
			"why", s.Normalized.Reason, "fingerprint", s.Normalized.Fingerprint())
		k.undeclaredWrites++
		t.Type = k.writeTypes[t.Type]
	}
	ty := &c.types[t.Type]
	t.Write = ty.Consistency == routing.Write // a read under a writing type runs where its type says
	if ty.Consistency == routing.ReadYourWrites && len(s.Key) == 0 {
		return "a read of this request type belongs to a session: s=NAME in the comment, or a quoted key"
	}
	return ""
}

// recordExecutionTime tells what a statement took at a member.
func (c *Core) recordExecutionTime(s *Attempt) {
	if d := c.slab.Get(s.ref); c.classes != nil && d != nil && d.Value.Statement.Normalized != nil {
		st := &d.Value.Statement
		c.classes.statements.Observe(st.Normalized, &st.Details, c.now-s.startedAt)
	}
}

// classifierTotals adds what classing did to the totals.
func (c *Core) classifierTotals() []any {
	k := c.classes
	if k == nil {
		return nil
	}
	t := k.statements.Stats()
	return []any{"classed", k.classified, "by_rule", k.byRule, "no_rule", k.unmatched, "undeclared_writes", k.undeclaredWrites,
		"shapes", t.Entries, "shape_bytes", t.Bytes, "shape_hits", t.Hits, "shape_misses", t.Misses,
		"shape_collisions", t.Collisions, "shape_too_long", t.TooLong}
}
