package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"dapplerouter/config"
	"dapplerouter/routing"
)

// RulesForm is the operator's form for what may change while instances run, by publishing a version:
//
//	(rules
//	  (bound slot-browse 2s)    ; reads of the type are no staler; tighter than the deployment's bound only
//	  (window book-table 1s)    ; idempotency keys of the type are relied on for no longer; shorter than the deployment's only
//	  (given-up 7 12))          ; requests of these groups are rejected
const RulesForm = "rules"

// Forms in it.
const (
	boundForm  = "bound"
	windowForm = "window"
	groupsForm = "given-up"
)

// Rules tighten what the settings allow. Nil and the zero value change nothing.
type Rules struct {
	MaxStaleness, DedupWindows map[string]time.Duration // by request type
	RejectedGroups             []int64                  // sorted

	positions map[string]config.Position // of the rule of a form and a request type, by both
}

// ReadRules reads the form; its errors are collected by the form's decoder.
func ReadRules(f *config.Form) *Rules {
	r := &Rules{MaxStaleness: map[string]time.Duration{}, DedupWindows: map[string]time.Duration{}, positions: map[string]config.Position{}}
	for _, g := range f.Subforms() {
		switch g.Name {
		case boundForm, windowForm:
			w, ok := g.TakeName()
			if !ok {
				continue
			}
			to := r.MaxStaleness
			if g.Name == windowForm {
				to = r.DedupWindows
			}
			if _, twice := to[w.Name]; twice {
				g.Errorf(w.Position, "keep one of the two", "%s of %s is named twice", g.Name, w.Name)
			}
			to[w.Name] = g.Duration()
			r.positions[g.Name+" "+w.Name] = g.Position
			if to[w.Name] <= 0 {
				g.Errorf(g.Position, "("+g.Name+" "+w.Name+" 2s)", "a %s is a time", g.Name)
			}
		case groupsForm:
			for _, w := range g.Atoms() {
				n, err := strconv.ParseInt(w.Name, 10, 64)
				if err != nil {
					g.Errorf(w.Position, "(given-up 7): groups as the list numbers them", "%s is no group", w.Name)
				}
				r.RejectedGroups = append(r.RejectedGroups, n)
			}
		default:
			g.Errorf(g.Position, "known are bound, window, given-up", "rules have no %s", g.Name)
		}
	}
	slices.Sort(r.RejectedGroups)
	r.RejectedGroups = slices.Compact(r.RejectedGroups)
	return r
}

// Validate checks rules against the settings of a deployment. The error is a config.ErrorList: a request type that does not exist, a
// bound or a window that is looser than the deployment's.
func (r *Rules) Validate(s *Settings) error {
	if r == nil {
		return nil
	}
	errs := r.checkDurations(s, durationRule{form: boundForm, of: r.MaxStaleness, kind: "reads within a bound",
		limit: func(t routing.RequestType) (time.Duration, bool) {
			return t.MaxStaleness, t.Consistency == routing.BoundedStaleness
		}})
	errs = append(errs, r.checkDurations(s, durationRule{form: windowForm, of: r.DedupWindows, kind: "carries a mark",
		limit: func(t routing.RequestType) (time.Duration, bool) {
			return t.DedupWindow, t.Idempotency == routing.IdempotencyKey
		}})...)
	if errs == nil {
		return nil // and not an error that holds an empty list
	}
	return errs
}

// durationRule is what rules of one form say.
type durationRule struct {
	form  string
	of    map[string]time.Duration                                  // by request type
	limit func(routing.RequestType) (limit time.Duration, has bool) // the deployment's, where the request type has one
	kind  string                                                    // of the request types that have one
}

// checkDurations checks the rules of one form.
func (r *Rules) checkDurations(s *Settings, rule durationRule) (errs config.ErrorList) {
	for _, name := range slices.Sorted(maps.Keys(rule.of)) {
		position := r.positions[rule.form+" "+name]
		i := slices.Index(s.TypeNames, name)
		if i < 0 {
			errs = append(errs, config.Error{Position: position, Message: name + " is no request type of this site", Remedy: fmt.Sprint("its types are ", s.TypeNames)})
			continue
		}
		switch limit, has := rule.limit(s.RequestTypes[i]); {
		case !has:
			errs = append(errs, config.Error{Position: position, Message: name + " has no " + rule.form, Remedy: "name a type that " + rule.kind})
		case rule.of[name] > limit:
			errs = append(errs, config.Error{Position: position, Message: fmt.Sprintf("%v is looser than the site's %s of %v for %s", rule.of[name], rule.form, limit, name),
				Remedy: "rules only tighten: take it away, or make it smaller"})
		}
	}
	return errs
}

// Digest returns a digest of what rules say, whatever the order and spelling of their text: 16 hexadecimal digits.
func (r *Rules) Digest() string {
	var b strings.Builder
	if r != nil {
		for _, name := range slices.Sorted(maps.Keys(r.MaxStaleness)) {
			fmt.Fprintf(&b, "bound %q %d\n", name, r.MaxStaleness[name])
		}
		for _, name := range slices.Sorted(maps.Keys(r.DedupWindows)) {
			fmt.Fprintf(&b, "window %q %d\n", name, r.DedupWindows[name])
		}
		for _, g := range r.RejectedGroups {
			fmt.Fprintf(&b, "given-up %d\n", g)
		}
	}
	sum := sha256.Sum256([]byte(b.String()))
	return hex.EncodeToString(sum[:8])
}

// ParseRules reads a text that has the form and no other, as what is published must. The error is a config.ErrorList.
func ParseRules(name string, text []byte) (*Rules, error) {
	f, err := config.Parse(name, text)
	if err != nil {
		return nil, err
	}
	r := f.NewDecoder()
	form := r.Forms(RulesForm)[RulesForm]
	if form == nil {
		r.Errorf(config.Position{File: name, Line: 1, Column: 1}, "(rules (given-up 7)); other forms take a restart", "the file has no form rules")
		return nil, r.Err()
	}
	rules := ReadRules(form)
	return rules, r.Err()
}
