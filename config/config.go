// Package config reads the operator's own file: S-expressions, a form a subsystem, every value that has a unit
// carrying it. It knows the grammar, units and faults; what a form may say stands with its subsystem.
//
//	(classing (cache 8MiB) (functions (reads seat_name) (writes next_seat)))
//
// All faults of a file come in one run, each with its place and its remedy.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Position is where something stands in a file; lines and columns count from 1, columns in characters.
type Position struct {
	File         string
	Line, Column int
}

func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Error is what is wrong at a place, and what would be right.
type Error struct {
	Position
	Message, Remedy string
}

func (f Error) Error() string {
	if f.Remedy == "" {
		return f.Position.String() + ": " + f.Message
	}
	return f.Position.String() + ": " + f.Message + "; " + f.Remedy
}

// ErrorList are all that is wrong with a file, in its order.
type ErrorList []Error

func (fs ErrorList) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Node is an atom, a text or a list.
type Node struct {
	Pos  lexer.Position
	Atom string  `parser:"( @Word"`
	Text *string `parser:"| @Text"`
	List *List   `parser:"| @@ )"`
}

// List is what stands between parentheses.
type List struct {
	Nodes []*Node `parser:"'(' @@* ')'"`
}

type tree struct {
	Forms []*Node `parser:"@@*"`
}

var grammar = participle.MustBuild[tree](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `[ \t\r\n]+`},
		{Name: "Text", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Mark", Pattern: `[()]`},
		{Name: "Word", Pattern: `[^\s()";]+`},
	})),
	participle.Elide("Comment", "Space"), participle.Unquote("Text"))

// Sizes that bound what a file may make the reader keep.
const (
	largest = 1 << 20 // bytes
	deepest = 64      // lists within each other
)

// File is a file whose grammar is right.
type File struct {
	Name  string
	forms []*Node
}

// Parse reads a file's text; its name is for the faults. The error is Faults.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > largest {
		return nil, ErrorList{{Position{name, 1, 1}, fmt.Sprintf("the file has %d bytes", len(text)), "at most 1 MiB is read"}}
	}
	if p, ok := tooDeep(name, text); ok {
		return nil, ErrorList{{p, "lists too deep within each other", fmt.Sprintf("at most %d are read", deepest)}}
	}
	t, err := grammar.ParseBytes(name, text)
	if err != nil {
		var at participle.Error
		f := Error{Position: Position{name, 1, 1}, Message: err.Error()}
		if errors.As(err, &at) {
			p := at.Position()
			f.Position = Position{name, p.Line, p.Column}
			f.Message, f.Remedy = plain(at.Message(), text, p)
		}
		return nil, ErrorList{f}
	}
	return &File{Name: name, forms: t.Forms}, nil
}

// plain puts a parser's words into an operator's.
func plain(message string, text []byte, at lexer.Position) (what, remedy string) {
	rest := ""
	if at.Offset >= 0 && at.Offset < len(text) {
		rest = string(text[at.Offset:min(at.Offset+1, len(text))])
	}
	switch {
	case rest == `"`:
		return "a text that begins here has no end", `end it with " on the same line`
	case rest == ")":
		return "a ) without its (", "take it away, or open the list that it ends"
	case rest == "":
		return "the file ends within a list", "a ) is missing"
	}
	return message, "see the form in docs/operate/classing.md"
}

func tooDeep(name string, text []byte) (Position, bool) {
	p, depth := Position{name, 1, 0}, 0
	quoted, comment, escaped := false, false, false
	for _, c := range string(text) {
		p.Column++
		switch {
		case c == '\n':
			p.Line, p.Column, quoted, comment = p.Line+1, 0, false, false
		case comment:
		case quoted:
			quoted = c != '"' || escaped
			escaped = c == '\\' && !escaped
		case c == '"':
			quoted, escaped = true, false
		case c == ';':
			comment = true
		case c == '(':
			if depth++; depth > deepest {
				return p, true
			}
		case c == ')':
			depth--
		}
	}
	return p, false
}

// Form is a list whose first word names it.
type Form struct {
	Position
	Name  string
	items []*Node
	r     *Decoder
}

// Decoder collects faults while subsystems read their forms.
type Decoder struct {
	file         *File
	faults       ErrorList
	deprecations []Deprecation
}

// NewDecoder begins to read a file.
func (f *File) NewDecoder() *Decoder { return &Decoder{file: f} }

// Errorf notes what is wrong at a place.
func (r *Decoder) Errorf(p Position, remedy, format string, args ...any) {
	r.faults = append(r.faults, Error{p, fmt.Sprintf(format, args...), remedy})
}

// Err gives all faults noted, in the file's order, or nil.
func (r *Decoder) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.faults
}

func (r *Decoder) place(n *Node) Position { return Position{r.file.Name, n.Pos.Line, n.Pos.Column} }

// Forms gives the file's forms by name. One that is not known, or stands twice where one may stand, is a fault.
func (r *Decoder) Forms(known ...string) map[string]*Form {
	return r.forms(r.file.forms, "the file", known, nil)
}

func (r *Decoder) forms(nodes []*Node, within string, known []string, deprecated map[string]string) map[string]*Form {
	found := map[string]*Form{}
	for _, n := range nodes {
		f := r.form(n, within)
		if f == nil {
			continue
		}
		name := f.Name
		if current, ok := deprecated[name]; ok {
			r.deprecations = append(r.deprecations, Deprecation{f.Position, name, current})
			name = current
		}
		switch {
		case !slices.Contains(known, name):
			r.Errorf(f.Position, meant(name, known), "%s has no form %s", within, f.Name)
		case found[name] != nil:
			r.Errorf(f.Position, "keep one of the two", "%s stands twice in %s, first at %s", f.Name, within, found[name].Position)
		default:
			found[name] = f
		}
	}
	return found
}

func (r *Decoder) form(n *Node, within string) *Form {
	if n.List == nil || len(n.List.Nodes) == 0 || n.List.Nodes[0].Atom == "" {
		what := "an empty list"
		if n.List == nil {
			what = n.show()
		} else if len(n.List.Nodes) > 0 {
			what = "a list that begins with no name"
		}
		r.Errorf(r.place(n), "a form is (name ...)", "%s stands in %s where a form belongs", what, within)
		return nil
	}
	return &Form{Position: r.place(n), Name: n.List.Nodes[0].Atom, items: n.List.Nodes[1:], r: r}
}

func (n *Node) show() string {
	switch {
	case n.List != nil:
		return "a list"
	case n.Text != nil:
		return strconv.Quote(*n.Text)
	}
	return n.Atom
}

// meant names the known word that is nearest to one that was written.
func meant(written string, known []string) string {
	best, least := "", 1+len(written)/2
	for _, k := range known {
		if d := apart(written, k); d < least {
			best, least = k, d
		}
	}
	if best != "" {
		return best + " was likely meant"
	}
	return "known are " + strings.Join(known, ", ")
}

// apart is Levenshtein's distance.
func apart(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		left := row[0]
		row[0] = i + 1
		for j := range len(b) {
			up := row[j+1]
			row[j+1] = min(up+1, row[j]+1, left+btoi(a[i] != b[j]))
			left = up
		}
	}
	return row[len(b)]
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Forms gives the forms within this one.
func (f *Form) Forms(known ...string) map[string]*Form { return f.r.forms(f.items, f.Name, known, nil) }

// Subforms gives the forms within this one in order, whatever their names.
func (f *Form) Subforms() (forms []*Form) {
	for _, n := range f.items {
		if g := f.r.form(n, f.Name); g != nil {
			forms = append(forms, g)
		}
	}
	return forms
}

// Atom is a name with its place.
type Atom struct {
	Position
	Name   string
	Quoted bool // given as a text: its case counts
}

// Atoms gives the items as names, at least one.
func (f *Form) Atoms() (words []Atom) {
	for _, n := range f.items {
		switch {
		case n.Text != nil:
			words = append(words, Atom{f.r.place(n), *n.Text, true})
		case n.Atom != "":
			words = append(words, Atom{f.r.place(n), n.Atom, false})
		default:
			f.r.Errorf(f.r.place(n), "write it without parentheses", "a list stands in %s where a name belongs", f.Name)
		}
	}
	if len(f.items) == 0 {
		f.r.Errorf(f.Position, "name one, or leave the form out", "%s names nothing", f.Name)
	}
	return words
}

// Value gives the only item as a word.
func (f *Form) Value() (Atom, bool) {
	if len(f.items) != 1 || f.items[0].List != nil {
		f.r.Errorf(f.Position, fmt.Sprintf("write (%s VALUE)", f.Name), "%s wants one value", f.Name)
		return Atom{}, false
	}
	return f.Atoms()[0], true
}

// TakeName takes the first item as a name; the forms behind it are left.
func (f *Form) TakeName() (Atom, bool) {
	if len(f.items) == 0 || f.items[0].List != nil {
		f.r.Errorf(f.Position, fmt.Sprintf("write (%s NAME ...)", f.Name), "%s has no name", f.Name)
		return Atom{}, false
	}
	n := f.items[0]
	w := Atom{Position: f.r.place(n), Name: n.Atom}
	if n.Text != nil {
		w.Name, w.Quoted = *n.Text, true
	}
	f.items = f.items[1:]
	return w, true
}

// Size gives the only item in bytes: a whole number with B, KiB, MiB or GiB.
func (f *Form) Size(least, most int64) int64 {
	w, ok := f.Value()
	if !ok {
		return least
	}
	n, unit, ok := number(w.Name)
	by := map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}[unit]
	switch {
	case !ok || by == 0 && unit != "":
		f.r.Errorf(w.Position, "a size is a whole number with KiB, MiB or GiB, as in 8MiB", "%s is no size", w.Name)
		return least
	case unit == "":
		likely := "MiB"
		if n > 1<<12 {
			likely = "B"
		}
		f.r.Errorf(w.Position, fmt.Sprintf("%s%s was likely meant", w.Name, likely), "%s has no unit", w.Name)
		return least
	case n > most/by || n*by < least:
		f.r.Errorf(w.Position, fmt.Sprintf("between %s and %s", showSize(least), showSize(most)), "%s is out of range", w.Name)
		return least
	}
	return n * by
}

func showSize(n int64) string {
	for _, u := range []struct {
		by   int64
		name string
	}{{1 << 30, "GiB"}, {1 << 20, "MiB"}, {1 << 10, "KiB"}} {
		if n >= u.by && n%u.by == 0 {
			return strconv.FormatInt(n/u.by, 10) + u.name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

// Duration gives the only item as a time: with us, ms, s, m or h, above nothing.
func (f *Form) Duration() time.Duration {
	w, ok := f.Value()
	if !ok {
		return 0
	}
	if n, unit, ok := number(w.Name); ok && unit == "" {
		likely := "s"
		if n >= 50 {
			likely = "ms"
		}
		f.r.Errorf(w.Position, fmt.Sprintf("%s%s was likely meant", w.Name, likely), "%s has no unit", w.Name)
		return 0
	}
	d, err := time.ParseDuration(w.Name)
	if err != nil || d <= 0 {
		f.r.Errorf(w.Position, "a time is a number above 0 with us, ms, s, m or h, as in 200ms", "%s is no time", w.Name)
		return 0
	}
	return d
}

func number(s string) (n int64, unit string, ok bool) {
	i := 0
	for i < len(s) && s[i] >= '0' && s[i] <= '9' {
		i++
	}
	n, err := strconv.ParseInt(s[:i], 10, 64)
	return n, s[i:], err == nil
}

// Choice gives the only item, which must be one of the words.
func (f *Form) Choice(words ...string) string {
	w, ok := f.Value()
	if ok && !slices.Contains(words, w.Name) {
		f.r.Errorf(w.Position, meant(w.Name, words), "%s has no value %s", f.Name, w.Name)
		return ""
	}
	return w.Name
}

// Errorf notes what is wrong with this form.
func (f *Form) Errorf(p Position, remedy, format string, args ...any) {
	f.r.Errorf(p, remedy, format, args...)
}
