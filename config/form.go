package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Form is a list that begins with a name. Each of its methods reads the items after the name as one kind of value. If the items
// do not fit, the method records an error with the decoder and returns a value that the caller can use all the same.
type Form struct {
	Position
	Name    string
	items   []*Node
	decoder *Decoder
}

// Decoder collects the errors that subsystems find while they read their forms.
type Decoder struct {
	file   *File
	errors ErrorList
}

// NewDecoder returns a Decoder for the file.
func (f *File) NewDecoder() *Decoder { return &Decoder{file: f} }

// Errorf records an error at a position; remedy says how to correct it.
func (d *Decoder) Errorf(p Position, remedy, format string, args ...any) {
	d.errors = append(d.errors, Error{p, fmt.Sprintf(format, args...), remedy})
}

// Err returns all recorded errors as an ErrorList in the order of their positions, or nil if there are none.
func (d *Decoder) Err() error {
	if len(d.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errors, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.errors
}

// position returns where a node begins in the file.
func (d *Decoder) position(n *Node) Position { return Position{d.file.Name, n.Pos.Line, n.Pos.Column} }

// Forms returns the top-level forms of the file by name. An unknown name, or a name that occurs twice, is recorded as an error.
func (d *Decoder) Forms(known ...string) map[string]*Form {
	return d.forms(d.file.forms, "the file", known)
}

// forms decodes nodes as forms and returns them by name; within names the enclosing form in errors.
func (d *Decoder) forms(nodes []*Node, within string, known []string) map[string]*Form {
	found := map[string]*Form{}
	for _, n := range nodes {
		f := d.decodeForm(n, within)
		switch {
		case f == nil:
		case !slices.Contains(known, f.Name):
			d.Errorf(f.Position, suggestName(f.Name, known), "%s has no form %s", within, f.Name)
		case found[f.Name] != nil:
			d.Errorf(f.Position, "keep one of the two", "%s stands twice in %s, first at %s", f.Name, within, found[f.Name].Position)
		default:
			found[f.Name] = f
		}
	}
	return found
}

// decodeForm returns a node as a form, or records an error and returns nil if it is not a list that begins with a name.
func (d *Decoder) decodeForm(n *Node, within string) *Form {
	if n.List == nil || len(n.List.Nodes) == 0 || n.List.Nodes[0].Atom == "" {
		what := "an empty list"
		if n.List == nil {
			what = n.describe()
		} else if len(n.List.Nodes) > 0 {
			what = "a list that begins with no name"
		}
		d.Errorf(d.position(n), "a form is (name ...)", "%s stands in %s where a form belongs", what, within)
		return nil
	}
	return &Form{Position: d.position(n), Name: n.List.Nodes[0].Atom, items: n.List.Nodes[1:], decoder: d}
}

// describe returns the node as it is shown in an error.
func (n *Node) describe() string {
	switch {
	case n.List != nil:
		return "a list"
	case n.Text != nil:
		return strconv.Quote(*n.Text)
	}
	return n.Atom
}

// suggestName returns a remedy for an unknown name: the known name with the least edit distance, or all known names if none is
// close.
func suggestName(written string, known []string) string {
	best, least := "", 1+len(written)/2
	for _, k := range known {
		if d := editDistance(written, k); d < least {
			best, least = k, d
		}
	}
	if best != "" {
		return best + " was likely meant"
	}
	return "known are " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance of two strings, in bytes.
func editDistance(a, b string) int {
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

// btoi returns 1 for true and 0 for false.
func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Forms returns the forms nested in this one by name, with the same checks as Decoder.Forms.
func (f *Form) Forms(known ...string) map[string]*Form {
	return f.decoder.forms(f.items, f.Name, known)
}

// Subforms returns the forms nested in this one in order, whatever their names. It also accepts several forms of the same name.
func (f *Form) Subforms() (forms []*Form) {
	for _, n := range f.items {
		if subform := f.decoder.decodeForm(n, f.Name); subform != nil {
			forms = append(forms, subform)
		}
	}
	return forms
}

// Errorf records an error at a position, as Decoder.Errorf does.
func (f *Form) Errorf(p Position, remedy, format string, args ...any) {
	f.decoder.Errorf(p, remedy, format, args...)
}
