package sqlclass

import (
	"strings"

	"dapplerouter/config"
	"dapplerouter/routing"
)

// FormName is the name of the form in the operator's file that turns classification on.
const FormName = "classing"

// Settings are the settings of classification in the operator's file. This is the form with all its subforms:
//
//	(classing
//	  (cache 8MiB)                        ; size of the cache, 64KiB to 1GiB; default 8MiB
//	  (functions
//	    (reads seat_name geo.distance mood) ; functions and types that only read, with their schema if they have one
//	    (writes next_seat busy_view))       ; functions, views and tables that write with any verb
//	  (columns id house at)               ; all names of columns; if left out, any name may be a column
//	  (undeclared-writes once-only)       ; for a write whose type reads: once-only, referenced or repeatable
//	  (types                              ; for statements whose comment has no type; the first match counts
//	    (book-table (class write) (verbs insert update) (tables bookings))
//	    (report (class read) (above 20ms))
//	    (slot-browse (class read) (below 20ms))))
type Settings struct {
	CacheBytes       int64
	Lists            *NameLists
	Rules            []Rule
	UndeclaredWrites routing.Idempotency // of writes whose request type is a read
	RulePositions    []config.Position   // positions of the Rules in the file
}

const (
	defaultCacheBytes = 8 << 20
	maxCacheBytes     = 1 << 30
)

// NewClassifier returns a Classifier with the settings.
func (s *Settings) NewClassifier() *Classifier {
	return New(Options{CacheBytes: s.CacheBytes, Lists: s.Lists, Rules: s.Rules})
}

// ReadSettings reads the form. Errors are reported to the form's decoder.
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

// readFunctions reads the lists of reading and of writing functions. A name that is on both is an error.
func readFunctions(f *config.Form) (reads, writes []string) {
	if f == nil {
		return nil, nil
	}
	lists := f.Forms("reads", "writes")
	positions := map[string]config.Position{} // of the writing functions, by name
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

// readingName returns a name of the list of reading functions. It is an error if the name is also that of a writing function,
// which are given with their positions.
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
	if builtinWrites[last] || builtinSessionBound[last] {
		list.Errorf(a.Position, "take it off the list", "%s is PostgreSQL's own and writes", a.Name)
		return "", false
	}
	return name, true
}

// readColumns returns the listed names of columns, or nil if there is no list and any name may be a column.
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

// serverName returns a name as the server stores it: in lower case unless it is quoted.
func serverName(a config.Atom) string {
	if a.Quoted {
		return a.Name
	}
	return lower(a.Name)
}

// functionName returns a name of a list of functions. It must be a name, or a schema and a name; unquoted parts consist of
// letters, digits, _ and $.
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

// isPlainName reports whether a name is valid without quotes.
func isPlainName(name string) bool {
	for i := range len(name) {
		if charClass[name[i]]&classNamePart == 0 || i == 0 && charClass[name[i]]&classNameStart == 0 {
			return false
		}
	}
	return true
}

// addRule reads a subform of types and adds the rule. A rule that can never match is an error.
func (s *Settings) addRule(f *config.Form) {
	r, abovePosition := readRule(f)
	switch {
	case r.MaxEstimate > 0 && r.MinEstimate >= r.MaxEstimate:
		f.Errorf(abovePosition, "above must be less than below", "%s fits no statement", f.Name)
	case len(s.Rules) == MaxRules:
		f.Errorf(f.Position, "combine some of them", "more than %d types", MaxRules)
		return
	}
	for i, earlier := range s.Rules {
		if earlier.covers(&r) {
			f.Errorf(f.Position, "put the narrower one first", "%s can never fit: %s at %s takes all that it would", f.Name, earlier.RequestType,
				s.RulePositions[i])
			break
		}
	}
	s.Rules, s.RulePositions = append(s.Rules, r), append(s.RulePositions, f.Position)
}

// readRule reads a rule. It also returns the position of the subform above, if the rule has one.
func readRule(f *config.Form) (r Rule, above config.Position) {
	r.RequestType = f.Name
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
		r.MaxEstimate = below.Duration()
	}
	if a := forms["above"]; a != nil {
		r.MinEstimate, above = a.Duration(), a.Position
	}
	return r, above
}

// ruleVerb returns a verb of a rule in lower case. A word that cannot be the verb of a statement is an error.
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
