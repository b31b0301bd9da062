package sqlclass

import (
	"strings"

	"dapplerouter/config"
	"dapplerouter/routing"
)

// FormName is the operator's form that turns classification on.
const FormName = "classing"

// Settings are what the operator's file says of classification. Its form, with all that it may have:
//
//	(classing
//	  (cache 8MiB)                        ; size of the cache, 64KiB to 1GiB; 8MiB where left out
//	  (functions
//	    (reads seat_name geo.distance mood) ; functions, types and schema-qualified ones that only read
//	    (writes next_seat busy_view))       ; functions, views and tables that write whatever the verb
//	  (columns id house at)               ; all that t.name may mean; where left out any name may be a column
//	  (undeclared-writes once-only)       ; a write under a type that reads: once-only, referenced or repeatable
//	  (types                              ; for statements whose comment names none; the first that matches counts
//	    (book-table (class write) (verbs insert update) (tables bookings))
//	    (report (class read) (above 20ms))
//	    (slot-browse (class read) (below 20ms))))
type Settings struct {
	CacheBytes       int64
	Lists            *NameLists
	Rules            []Rule
	UndeclaredWrites routing.Idempotency // of a write whose request type reads
	RulePositions    []config.Position   // of Rules, in the file
}

const (
	defaultCacheBytes = 8 << 20
	maxCacheBytes     = 1 << 30
)

// NewClassifier makes a Classifier with the settings.
func (s *Settings) NewClassifier() *Classifier {
	return New(Options{CacheBytes: s.CacheBytes, Lists: s.Lists, Rules: s.Rules})
}

// ReadSettings reads the form. What is wrong with it is reported to the form's decoder.
func ReadSettings(f *config.Form) *Settings {
	s := &Settings{CacheBytes: defaultCacheBytes, UndeclaredWrites: routing.NonIdempotent}
	forms := f.Forms("cache", "functions", "columns", "undeclared-writes", "types")
	if cache := forms["cache"]; cache != nil {
		s.CacheBytes = cache.Size(MinCacheBytes, maxCacheBytes)
	}
	reads, writes := readFunctions(forms["functions"])
	s.Lists = NewNameLists(reads, writes, readColumns(forms["columns"]))
	if undeclared := forms["undeclared-writes"]; undeclared != nil {
		switch undeclared.Choice("once-only", "referenced", "repeatable") {
		case "referenced":
			s.UndeclaredWrites = routing.IdempotencyKey
		case "repeatable":
			s.UndeclaredWrites = routing.Idempotent
		}
	}
	if types := forms["types"]; types != nil {
		for _, rule := range types.Subforms() {
			s.addRule(rule)
		}
	}
	return s
}

// readFunctions reads the lists of functions. No name may be on both.
func readFunctions(f *config.Form) (reads, writes []string) {
	if f == nil {
		return nil, nil
	}
	lists := f.Forms("reads", "writes")
	positions := map[string]config.Position{} // of the writing names
	if list := lists["writes"]; list != nil {
		for _, a := range list.Atoms() {
			if name, ok := functionName(list, a); ok {
				writes = append(writes, name)
				positions[lower(string(unqualified([]byte(name))))] = a.Position
			}
		}
	}
	if list := lists["reads"]; list != nil {
		for _, a := range list.Atoms() {
			if name, ok := readingName(list, a, positions); ok {
				reads = append(reads, name)
			}
		}
	}
	return reads, writes
}

// readingName checks a name of the list of reading functions against those that write.
func readingName(list *config.Form, a config.Atom, writing map[string]config.Position) (string, bool) {
	name, ok := functionName(list, a)
	if !ok {
		return "", false
	}
	last := lower(string(unqualified([]byte(name))))
	if at, writes := writing[last]; writes {
		list.Errorf(a.Position, "a name that writes in any schema stands on no list of reading ones",
			"%s is listed as writing too, at %s", a.Name, at)
		return "", false
	}
	if builtinWrites[last] || builtinBound[last] {
		list.Errorf(a.Position, "take it off the list", "%s is PostgreSQL's own and writes", a.Name)
		return "", false
	}
	return name, true
}

// readColumns returns the names of columns, nil where any name may be one.
func readColumns(f *config.Form) []string {
	if f == nil {
		return nil
	}
	columns := []string{}
	for _, a := range f.Atoms() {
		columns = append(columns, serverName(a))
	}
	return columns
}

// serverName returns a name as the server knows it: in lower case, unless it is quoted.
func serverName(a config.Atom) string {
	if a.Quoted {
		return a.Name
	}
	return lower(a.Name)
}

// functionName checks a name of a list: parts of letters, digits and _, at most a schema and a name.
func functionName(list *config.Form, a config.Atom) (string, bool) {
	name := serverName(a)
	parts := strings.Split(name, ".")
	for _, part := range parts {
		if len(parts) > 2 || part == "" || !a.Quoted && !isPlainName(part) {
			list.Errorf(a.Position, "a name is name or schema.name; one with other characters or capitals stands between two \"",
				"%s is no name of a function", a.Name)
			return "", false
		}
	}
	return name, true
}

// isPlainName reports whether a name needs no quotes.
func isPlainName(name string) bool {
	for i := range len(name) {
		if charClass[name[i]]&classNamePart == 0 || i == 0 && charClass[name[i]]&classNameStart == 0 {
			return false
		}
	}
	return true
}

// addRule reads a form of the types. A rule that can never match is an error.
func (s *Settings) addRule(f *config.Form) {
	r, abovePosition := readRule(f)
	switch {
	case r.Below > 0 && r.Above >= r.Below:
		f.Errorf(abovePosition, "above must be less than below", "%s fits no statement", f.Name)
	case len(s.Rules) == MaxRules:
		f.Errorf(f.Position, "put some together", "more than %d types", MaxRules)
		return
	}
	for i, earlier := range s.Rules {
		if earlier.covers(&r) {
			f.Errorf(f.Position, "put the narrower one first", "%s can never fit: %s at %s takes all that it would", f.Name, earlier.Type,
				s.RulePositions[i])
			break
		}
	}
	s.Rules, s.RulePositions = append(s.Rules, r), append(s.RulePositions, f.Position)
}

// readRule reads a rule and the position of its above, where it has one.
func readRule(f *config.Form) (r Rule, above config.Position) {
	r.Type = f.Name
	forms := f.Forms("class", "verbs", "tables", "below", "above")
	if class := forms["class"]; class != nil {
		switch class.Choice("read", "write") {
		case "read":
			r.Class = Read
		case "write":
			r.Class = Write
		}
	}
	if verbs := forms["verbs"]; verbs != nil {
		for _, a := range verbs.Atoms() {
			r.Verbs = append(r.Verbs, ruleVerb(verbs, a))
		}
	}
	if tables := forms["tables"]; tables != nil {
		for _, a := range tables.Atoms() {
			r.Tables = append(r.Tables, serverName(a))
		}
	}
	if below := forms["below"]; below != nil {
		r.Below = below.Duration()
	}
	if a := forms["above"]; a != nil {
		r.Above, above = a.Duration(), a.Position
	}
	return r, above
}

// ruleVerb checks a verb of a rule.
func ruleVerb(list *config.Form, a config.Atom) string {
	verb := lower(a.Name)
	flags := flagsOf(verb)
	switch {
	case flags&flagSessionBound != 0:
		list.Errorf(a.Position, "connections are shared", "%s is never served", a.Name)
	case flags&(flagChangesData|flagQuery|flagMayWrite) == 0 && verb != "show" || verb == "with":
		list.Errorf(a.Position, "a verb is select, insert, update, delete, merge, call or another first word of a statement",
			"%s is no verb", a.Name)
	}
	return verb
}
