package sqlclass

import (
	"slices"
	"strings"

	"dapplerouter/config"
	"dapplerouter/routing"
)

// FormName is the operator's form that turns classing on.
const FormName = "classing"

// Settings are what the operator's file says of classing. Its form, with all that it may hold:
//
//	(classing
//	  (cache 8MiB)                        ; what the shapes kept may take, 64KiB to 1GiB; 8MiB where left out
//	  (functions
//	    (reads seat_name geo.distance mood) ; functions, types and schema-qualified ones that only read
//	    (writes next_seat busy_view))       ; functions, views and tables that write whatever the verb
//	  (columns id house at)               ; all that t.name may mean; where left out any name may be a column
//	  (undeclared-writes once-only)       ; a write under a type that reads: once-only, referenced or repeatable
//	  (types                              ; for statements whose comment names none; the first that fits counts
//	    (book-table (class write) (verbs insert update) (tables bookings))
//	    (report (class read) (above 20ms))
//	    (slot-browse (class read) (below 20ms))))
type Settings struct {
	CacheBytes       int64
	Lists            *NameLists
	Rules            []Rule
	UndeclaredWrites routing.Idempotency // of a write whose request type reads
	RulePositions    []config.Position   // of the rules
}

const (
	usualBytes = 8 << 20
	mostBytes  = 1 << 30
)

// ReadSettings reads the form; what is wrong with it is noted with its reading.
func ReadSettings(f *config.Form) *Settings {
	s := &Settings{CacheBytes: usualBytes, UndeclaredWrites: routing.NonIdempotent}
	forms := f.Forms("cache", "functions", "columns", "undeclared-writes", "types")
	if c := forms["cache"]; c != nil {
		s.CacheBytes = c.Size(MinCacheBytes, mostBytes)
	}
	var reads, writes, columns []string
	if fs := forms["functions"]; fs != nil {
		lists := fs.Forms("reads", "writes")
		listed := map[string]config.Position{}
		if w := lists["writes"]; w != nil {
			for _, n := range w.Atoms() {
				if name, ok := listedName(w, n); ok {
					writes = append(writes, name)
					listed[lower(string(lastPart([]byte(name))))] = n.Position
				}
			}
		}
		if r := lists["reads"]; r != nil {
			for _, n := range r.Atoms() {
				name, ok := listedName(r, n)
				last := lower(string(lastPart([]byte(name))))
				at, twice := listed[last]
				switch {
				case !ok:
				case twice:
					r.Errorf(n.Position, "a name that writes in any schema stands on no list of reading ones",
						"%s is listed as writing too, at %s", n.Name, at)
				case builtinWrites[last] || builtinBound[last]:
					r.Errorf(n.Position, "take it off the list", "%s is PostgreSQL's own and writes", n.Name)
				default:
					reads = append(reads, name)
				}
			}
		}
	}
	if c := forms["columns"]; c != nil {
		columns = []string{}
		for _, n := range c.Atoms() {
			columns = append(columns, asServer(n))
		}
	}
	s.Lists = NewNameLists(reads, writes, columns)
	if u := forms["undeclared-writes"]; u != nil {
		switch u.Choice("once-only", "referenced", "repeatable") {
		case "referenced":
			s.UndeclaredWrites = routing.IdempotencyKey
		case "repeatable":
			s.UndeclaredWrites = routing.Idempotent
		}
	}
	if ts := forms["types"]; ts != nil {
		for _, t := range ts.Subforms() {
			s.rule(t)
		}
	}
	return s
}

// asServer is a name as the server knows it: folded, but where it stands between quotes.
func asServer(w config.Atom) string {
	if w.Quoted {
		return w.Name
	}
	return lower(w.Name)
}

// listedName checks a name of a list: parts of letters, digits and _, at most a schema and a name.
func listedName(f *config.Form, w config.Atom) (string, bool) {
	name := asServer(w)
	parts := strings.Split(name, ".")
	for _, p := range parts {
		bad := p == ""
		for i := range len(p) {
			bad = bad || !w.Quoted && (charClass[p[i]]&cInner == 0 || i == 0 && charClass[p[i]]&cStart == 0)
		}
		if bad || len(parts) > 2 {
			f.Errorf(w.Position, "a name is name or schema.name; one with other characters or capitals stands between two \"",
				"%s is no name of a function", w.Name)
			return "", false
		}
	}
	return name, true
}

func (s *Settings) rule(f *config.Form) {
	r := Rule{Type: f.Name}
	forms := f.Forms("class", "verbs", "tables", "below", "above")
	if c := forms["class"]; c != nil {
		switch c.Choice("read", "write") {
		case "read":
			r.Class = Read
		case "write":
			r.Class = Write
		}
	}
	if v := forms["verbs"]; v != nil {
		for _, w := range v.Atoms() {
			verb := lower(w.Name)
			sort := keywords[verb]
			switch {
			case sort&kBound != 0:
				v.Errorf(w.Position, "connections are shared", "%s is never served", w.Name)
			case sort&(kDML|kQuery|kChange) == 0 && verb != "show" || verb == "with":
				v.Errorf(w.Position, "a verb is select, insert, update, delete, merge, call or another first word of a statement",
					"%s is no verb", w.Name)
			}
			r.Verbs = append(r.Verbs, verb)
		}
	}
	if t := forms["tables"]; t != nil {
		for _, w := range t.Atoms() {
			r.Tables = append(r.Tables, asServer(w))
		}
	}
	if b := forms["below"]; b != nil {
		r.Below = b.Duration()
	}
	if a := forms["above"]; a != nil {
		r.Above = a.Duration()
	}
	switch {
	case r.Below > 0 && r.Above >= r.Below:
		f.Errorf(forms["above"].Position, "above must be less than below", "%s fits no statement", f.Name)
	case len(s.Rules) == MaxRules:
		f.Errorf(f.Position, "put some together", "more than %d types", MaxRules)
		return
	}
	for i, q := range s.Rules { // an earlier one that takes all that this would
		if q.covers(&r) {
			f.Errorf(f.Position, "put the narrower one first", "%s can never fit: %s at %s takes all that it would", f.Name, q.Type,
				s.RulePositions[i])
			break
		}
	}
	s.Rules, s.RulePositions = append(s.Rules, r), append(s.RulePositions, f.Position)
}

// covers tells whether q fits all that r fits.
func (q *Rule) covers(r *Rule) bool {
	within := func(few, many []string) bool {
		return len(many) == 0 || len(few) > 0 && !slices.ContainsFunc(few, func(w string) bool { return !slices.Contains(many, w) })
	}
	return (q.Class == Unknown || q.Class == r.Class) && within(r.Verbs, q.Verbs) && within(r.Tables, q.Tables) &&
		q.Above <= r.Above && (q.Below == 0 || r.Below > 0 && r.Below <= q.Below)
}

// NewClassifier makes the Classing of the settings.
func (s *Settings) NewClassifier() *Classifier {
	return New(Options{CacheBytes: s.CacheBytes, Lists: s.Lists, Rules: s.Rules})
}
