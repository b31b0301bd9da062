// Package conf reads the operator's own file: S-expressions, a form a subsystem, every value that has a unit
// carrying it. It knows the grammar, units and faults; what a form may say stands with its subsystem.
//
//	(classing (cache 8MiB) (functions (reads seat_name) (writes next_seat)))
//
// All faults of a file come in one run, each with its place and its remedy.
package conf

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

// Place is where something stands in a file; lines and columns count from 1, columns in characters.
type Place struct {
	File         string
	Line, Column int
}

func (p Place) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Fault is what is wrong at a place, and what would be right.
type Fault struct {
	Place
	What, Remedy string
}

func (f Fault) Error() string {
	if f.Remedy == "" {
		return f.Place.String() + ": " + f.What
	}
	return f.Place.String() + ": " + f.What + "; " + f.Remedy
}

// Faults are all that is wrong with a file, in its order.
type Faults []Fault

func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Node is an atom, a text or a list.
type Node struct {
	Pos  lexer.Position
	Word string  `parser:"( @Word"`
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
		return nil, Faults{{Place{name, 1, 1}, fmt.Sprintf("the file has %d bytes", len(text)), "at most 1 MiB is read"}}
	}
	if p, ok := tooDeep(name, text); ok {
		return nil, Faults{{p, "lists too deep within each other", fmt.Sprintf("at most %d are read", deepest)}}
	}
	t, err := grammar.ParseBytes(name, text)
	if err != nil {
		var at participle.Error
		f := Fault{Place: Place{name, 1, 1}, What: err.Error()}
		if errors.As(err, &at) {
			p := at.Position()
			f.Place = Place{name, p.Line, p.Column}
			f.What, f.Remedy = plain(at.Message(), text, p)
		}
		return nil, Faults{f}
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

func tooDeep(name string, text []byte) (Place, bool) {
	p, depth := Place{name, 1, 0}, 0
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
	Place
	Name  string
	items []*Node
	r     *Reading
}

// Reading collects faults while subsystems read their forms.
type Reading struct {
	file   *File
	faults Faults
}

// Read begins to read a file.
func (f *File) Read() *Reading { return &Reading{file: f} }

// Fault notes what is wrong at a place.
func (r *Reading) Fault(p Place, remedy, format string, args ...any) {
	r.faults = append(r.faults, Fault{p, fmt.Sprintf(format, args...), remedy})
}

// Err gives all faults noted, in the file's order, or nil.
func (r *Reading) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.faults
}

func (r *Reading) place(n *Node) Place { return Place{r.file.Name, n.Pos.Line, n.Pos.Column} }

// Forms gives the file's forms by name. One that is not known, or stands twice where one may stand, is a fault.
func (r *Reading) Forms(known ...string) map[string]*Form {
	return r.forms(r.file.forms, "the file", known)
}

func (r *Reading) forms(nodes []*Node, within string, known []string) map[string]*Form {
	found := map[string]*Form{}
	for _, n := range nodes {
		f := r.form(n, within)
		switch {
		case f == nil:
		case !slices.Contains(known, f.Name):
			r.Fault(f.Place, meant(f.Name, known), "%s has no form %s", within, f.Name)
		case found[f.Name] != nil:
			r.Fault(f.Place, "keep one of the two", "%s stands twice in %s, first at %s", f.Name, within, found[f.Name].Place)
		default:
			found[f.Name] = f
		}
	}
	return found
}

func (r *Reading) form(n *Node, within string) *Form {
	if n.List == nil || len(n.List.Nodes) == 0 || n.List.Nodes[0].Word == "" {
		what := "an empty list"
		if n.List == nil {
			what = n.show()
		} else if len(n.List.Nodes) > 0 {
			what = "a list that begins with no name"
		}
		r.Fault(r.place(n), "a form is (name ...)", "%s stands in %s where a form belongs", what, within)
		return nil
	}
	return &Form{Place: r.place(n), Name: n.List.Nodes[0].Word, items: n.List.Nodes[1:], r: r}
}

func (n *Node) show() string {
	switch {
	case n.List != nil:
		return "a list"
	case n.Text != nil:
		return strconv.Quote(*n.Text)
	}
	return n.Word
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
func (f *Form) Forms(known ...string) map[string]*Form { return f.r.forms(f.items, f.Name, known) }

// Each gives the forms within this one in order, whatever their names.
func (f *Form) Each() (forms []*Form) {
	for _, n := range f.items {
		if g := f.r.form(n, f.Name); g != nil {
			forms = append(forms, g)
		}
	}
	return forms
}

// Word is a name with its place.
type Word struct {
	Place
	Name  string
	Exact bool // given as a text: its case counts
}

// Words gives the items as names, at least one.
func (f *Form) Words() (words []Word) {
	for _, n := range f.items {
		switch {
		case n.Text != nil:
			words = append(words, Word{f.r.place(n), *n.Text, true})
		case n.Word != "":
			words = append(words, Word{f.r.place(n), n.Word, false})
		default:
			f.r.Fault(f.r.place(n), "write it without parentheses", "a list stands in %s where a name belongs", f.Name)
		}
	}
	if len(f.items) == 0 {
		f.r.Fault(f.Place, "name one, or leave the form out", "%s names nothing", f.Name)
	}
	return words
}

// One gives the only item as a word.
func (f *Form) One() (Word, bool) {
	if len(f.items) != 1 || f.items[0].List != nil {
		f.r.Fault(f.Place, fmt.Sprintf("write (%s VALUE)", f.Name), "%s wants one value", f.Name)
		return Word{}, false
	}
	return f.Words()[0], true
}

// Head takes the first item as a name; the forms behind it are left.
func (f *Form) Head() (Word, bool) {
	if len(f.items) == 0 || f.items[0].List != nil {
		f.r.Fault(f.Place, fmt.Sprintf("write (%s NAME ...)", f.Name), "%s has no name", f.Name)
		return Word{}, false
	}
	n := f.items[0]
	w := Word{Place: f.r.place(n), Name: n.Word}
	if n.Text != nil {
		w.Name, w.Exact = *n.Text, true
	}
	f.items = f.items[1:]
	return w, true
}

// Size gives the only item in bytes: a whole number with B, KiB, MiB or GiB.
func (f *Form) Size(least, most int64) int64 {
	w, ok := f.One()
	if !ok {
		return least
	}
	n, unit, ok := number(w.Name)
	by := map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}[unit]
	switch {
	case !ok || by == 0 && unit != "":
		f.r.Fault(w.Place, "a size is a whole number with KiB, MiB or GiB, as in 8MiB", "%s is no size", w.Name)
		return least
	case unit == "":
		likely := "MiB"
		if n > 1<<12 {
			likely = "B"
		}
		f.r.Fault(w.Place, fmt.Sprintf("%s%s was likely meant", w.Name, likely), "%s has no unit", w.Name)
		return least
	case n > most/by || n*by < least:
		f.r.Fault(w.Place, fmt.Sprintf("between %s and %s", showSize(least), showSize(most)), "%s is out of range", w.Name)
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

// Span gives the only item as a time: with us, ms, s, m or h, above nothing.
func (f *Form) Span() time.Duration {
	w, ok := f.One()
	if !ok {
		return 0
	}
	if n, unit, ok := number(w.Name); ok && unit == "" {
		likely := "s"
		if n >= 50 {
			likely = "ms"
		}
		f.r.Fault(w.Place, fmt.Sprintf("%s%s was likely meant", w.Name, likely), "%s has no unit", w.Name)
		return 0
	}
	d, err := time.ParseDuration(w.Name)
	if err != nil || d <= 0 {
		f.r.Fault(w.Place, "a time is a number above 0 with us, ms, s, m or h, as in 200ms", "%s is no time", w.Name)
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
	w, ok := f.One()
	if ok && !slices.Contains(words, w.Name) {
		f.r.Fault(w.Place, meant(w.Name, words), "%s has no value %s", f.Name, w.Name)
		return ""
	}
	return w.Name
}

// Fault notes what is wrong with this form.
func (f *Form) Fault(p Place, remedy, format string, args ...any) {
	f.r.Fault(p, remedy, format, args...)
}
