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

// RulesForm is the name of the operator's form for settings that may change while instances run, by publishing a version:
//
//	(rules
//	  (bound slot-browse 2s)    ; staleness bound of a request type; may only be tighter than the deployment's
//	  (window book-table 1s)    ; how long idempotency keys of a type are relied on; may only be shorter than the deployment's
//	  (given-up 7 12))          ; requests of these groups are rejected
const RulesForm = "rules"

// Forms nested in the rules form.
const (
	boundForm  = "bound"
	windowForm = "window"
	groupsForm = "given-up"
)

// Rules tighten what the settings allow. A nil *Rules and the zero value change nothing.
type Rules struct {
	MaxStaleness, DedupWindows map[string]time.Duration // by request type
	RejectedGroups             []int64                  // sorted, without duplicates

	positions map[string]config.Position // of each rule, by its form and request type separated by a space
}

// ReadRules reads the rules form. Errors are recorded with the decoder of the form.
func ReadRules(f *config.Form) *Rules {
	r := &Rules{MaxStaleness: map[string]time.Duration{}, DedupWindows: map[string]time.Duration{}, positions: map[string]config.Position{}}
	for _, rule := range f.Subforms() {
		switch rule.Name {
		case boundForm, windowForm:
			atom, ok := rule.TakeName()
			if !ok {
				continue
			}
			durations := r.MaxStaleness
			if rule.Name == windowForm {
				durations = r.DedupWindows
			}
			if _, duplicate := durations[atom.Name]; duplicate {
				rule.Errorf(atom.Position, "keep one of the two", "%s of %s is named twice", rule.Name, atom.Name)
			}
			durations[atom.Name] = rule.Duration()
			r.positions[rule.Name+" "+atom.Name] = rule.Position
			if durations[atom.Name] <= 0 {
				rule.Errorf(rule.Position, "("+rule.Name+" "+atom.Name+" 2s)", "a %s is a time", rule.Name)
			}
		case groupsForm:
			for _, atom := range rule.Atoms() {
				n, err := strconv.ParseInt(atom.Name, 10, 64)
				if err != nil {
					rule.Errorf(atom.Position, "(given-up 7): groups as the list numbers them", "%s is no group", atom.Name)
				}
				r.RejectedGroups = append(r.RejectedGroups, n)
			}
		default:
			rule.Errorf(rule.Position, "known are bound, window, given-up", "rules have no %s", rule.Name)
		}
	}
	slices.Sort(r.RejectedGroups)
	r.RejectedGroups = slices.Compact(r.RejectedGroups)
	return r
}

// Validate checks rules against the settings of a deployment. It reports request types that do not exist, bounds and windows
// for types that have none, and bounds and windows that are looser than the deployment's. The error is a config.ErrorList.
func (r *Rules) Validate(s *Settings) error {
	if r == nil {
		return nil
	}
	errs := r.checkDurations(s, durationRule{form: boundForm, durations: r.MaxStaleness, requirement: "reads within a bound",
		limit: func(t routing.RequestType) (time.Duration, bool) {
			return t.MaxStaleness, t.Consistency == routing.BoundedStaleness
		}})
	errs = append(errs, r.checkDurations(s, durationRule{form: windowForm, durations: r.DedupWindows, requirement: "carries a mark",
		limit: func(t routing.RequestType) (time.Duration, bool) {
			return t.DedupWindow, t.Idempotency == routing.IdempotencyKey
		}})...)
	if errs == nil {
		return nil // not errs: an error that holds a nil list would not be nil
	}
	return errs
}

// durationRule holds all rules of one form, each a duration for a request type, and what they are checked against.
type durationRule struct {
	form        string
	durations   map[string]time.Duration                                  // by request type
	limit       func(routing.RequestType) (limit time.Duration, has bool) // limit of the deployment, if the request type has one
	requirement string                                                    // what a request type must do to have a limit, for error messages
}

// checkDurations checks the rules of one form against the request types and limits of the settings.
func (r *Rules) checkDurations(s *Settings, rule durationRule) (errs config.ErrorList) {
	for _, name := range slices.Sorted(maps.Keys(rule.durations)) {
		position := r.positions[rule.form+" "+name]
		i := slices.Index(s.TypeNames, name)
		if i < 0 {
			errs = append(errs, config.Error{Position: position, Message: name + " is no request type of this site",
				Remedy: fmt.Sprint("its types are ", s.TypeNames)})
			continue
		}
		switch limit, has := rule.limit(s.RequestTypes[i]); {
		case !has:
			errs = append(errs, config.Error{Position: position, Message: name + " has no " + rule.form,
				Remedy: "name a type that " + rule.requirement})
		case rule.durations[name] > limit:
			errs = append(errs, config.Error{Position: position,
				Message: fmt.Sprintf("%v is looser than the site's %s of %v for %s", rule.durations[name], rule.form, limit, name),
				Remedy:  "rules only tighten: take it away, or make it smaller"})
		}
	}
	return errs
}

// Digest returns a digest of the content of the rules: 16 hexadecimal digits. It does not depend on the order and spelling of
// their text.
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

// ParseRules reads a text that contains the rules form and no other form, as a published text must. The error is a
// config.ErrorList.
func ParseRules(name string, text []byte) (*Rules, error) {
	f, err := config.Parse(name, text)
	if err != nil {
		return nil, err
	}
	decoder := f.NewDecoder()
	form := decoder.Forms(RulesForm)[RulesForm]
	if form == nil {
		decoder.Errorf(config.Position{File: name, Line: 1, Column: 1},
			"(rules (given-up 7)); other forms take a restart", "the file has no form rules")
		return nil, decoder.Err()
	}
	rules := ReadRules(form)
	return rules, decoder.Err()
}
