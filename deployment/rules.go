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

// RulesForm is the operator's form for what may change while fronts run, by a published version:
//
//	(rules
//	  (bound slot-browse 2s)    ; reads of the type are no older; tighter than the site's bound only
//	  (window book-table 1s)    ; marks of the type are counted on for no longer; shorter than the site's only
//	  (given-up 7 12))          ; requests of these groups are not taken any more
const RulesForm = "rules"

// Rules are what the form says. Nil and the zero value change nothing.
type Rules struct {
	MaxStaleness, DedupWindows map[string]time.Duration // by request type
	RejectedGroups             []int64                  // groups, sorted
	places                     map[string]config.Position
	place                      config.Position
}

// ReadRules reads the form; what is wrong with it is noted with its reading.
func ReadRules(f *config.Form) *Rules {
	r := &Rules{MaxStaleness: map[string]time.Duration{}, DedupWindows: map[string]time.Duration{}, places: map[string]config.Position{}, place: f.Position}
	for _, g := range f.Subforms() {
		switch g.Name {
		case "bound", "window":
			w, ok := g.TakeName()
			if !ok {
				continue
			}
			to := r.MaxStaleness
			if g.Name == "window" {
				to = r.DedupWindows
			}
			if _, twice := to[w.Name]; twice {
				g.Errorf(w.Position, "keep one of the two", "%s of %s is named twice", g.Name, w.Name)
			}
			to[w.Name] = g.Duration()
			r.places[g.Name+" "+w.Name] = g.Position
			if to[w.Name] <= 0 {
				g.Errorf(g.Position, "("+g.Name+" "+w.Name+" 2s)", "a %s is a time", g.Name)
			}
		case "given-up":
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

// Validate finds what rules say against a site. The error is conf.Faults: a type that is none, a bound or a window that would
// loosen what the site promises.
func (r *Rules) Validate(s *Settings) error {
	if r == nil {
		return nil
	}
	var faults config.ErrorList
	look := func(what string, of map[string]time.Duration, most func(routing.RequestType) (time.Duration, bool), kind string) {
		for _, name := range slices.Sorted(maps.Keys(of)) {
			place := r.places[what+" "+name]
			i := slices.Index(s.TypeNames, name)
			if i < 0 {
				faults = append(faults, config.Error{Position: place, Message: name + " is no request type of this site", Remedy: fmt.Sprint("its types are ", s.TypeNames)})
				continue
			}
			switch limit, ok := most(s.RequestTypes[i]); {
			case !ok:
				faults = append(faults, config.Error{Position: place, Message: name + " has no " + what, Remedy: "name a type that " + kind})
			case of[name] > limit:
				faults = append(faults, config.Error{Position: place, Message: fmt.Sprintf("%v is looser than the site's %s of %v for %s", of[name], what, limit, name),
					Remedy: "rules only tighten: take it away, or make it smaller"})
			}
		}
	}
	look("bound", r.MaxStaleness, func(t routing.RequestType) (time.Duration, bool) {
		return t.MaxStaleness, t.Consistency == routing.BoundedStaleness
	}, "reads within a bound")
	look("window", r.DedupWindows, func(t routing.RequestType) (time.Duration, bool) {
		return t.DedupWindow, t.Idempotency == routing.IdempotencyKey
	}, "carries a mark")
	if faults == nil {
		return nil
	}
	return faults
}

// Digest is a digest of what rules say, whatever the order and spelling of the text: 16 hexadecimal digits.
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

// ParseRules reads a text that has the form and no other: what may be published. The error is conf.Faults.
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
