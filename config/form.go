package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Form is a list that begins with a name. Its methods read the items behind the name as one kind of value each; what does not fit is
// recorded with the decoder, and the method returns a usable value all the same.
type Form struct {
	Position
	Name    string
	items   []*Node
	decoder *Decoder
}

// Decoder collects errors while subsystems read their forms.
type Decoder struct {
	file   *File
	errors ErrorList
}

// NewDecoder returns a decoder of the file.
func (f *File) NewDecoder() *Decoder { return &Decoder{file: f} }

// Errorf records an error at a position; remedy says what would be right.
func (d *Decoder) Errorf(p Position, remedy, format string, args ...any) {
	d.errors = append(d.errors, Error{p, fmt.Sprintf(format, args...), remedy})
}

// Err returns all recorded errors as an ErrorList in the file's order, or nil.
func (d *Decoder) Err() error {
	if len(d.errors) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errors, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.errors
}

func (d *Decoder) position(n *Node) Position { return Position{d.file.Name, n.Pos.Line, n.Pos.Column} }

// Forms returns the file's forms by name. A name that is not known, or is used twice, is an error.
func (d *Decoder) Forms(known ...string) map[string]*Form {
	return d.forms(d.file.forms, "the file", known)
}

func (d *Decoder) forms(nodes []*Node, within string, known []string) map[string]*Form {
	found := map[string]*Form{}
	for _, n := range nodes {
		f := d.decodeForm(n, within)
		switch {
		case f == nil:
		case !slices.Contains(known, f.Name):
			d.Errorf(f.Position, nearest(f.Name, known), "%s has no form %s", within, f.Name)
		case found[f.Name] != nil:
			d.Errorf(f.Position, "keep one of the two", "%s stands twice in %s, first at %s", f.Name, within, found[f.Name].Position)
		default:
			found[f.Name] = f
		}
	}
	return found
}

func (d *Decoder) decodeForm(n *Node, within string) *Form {
	if n.List == nil || len(n.List.Nodes) == 0 || n.List.Nodes[0].Atom == "" {
		what := "an empty list"
		if n.List == nil {
			what = n.show()
		} else if len(n.List.Nodes) > 0 {
			what = "a list that begins with no name"
		}
		d.Errorf(d.position(n), "a form is (name ...)", "%s stands in %s where a form belongs", what, within)
		return nil
	}
	return &Form{Position: d.position(n), Name: n.List.Nodes[0].Atom, items: n.List.Nodes[1:], decoder: d}
}

// show is the node as an error names it.
func (n *Node) show() string {
	switch {
	case n.List != nil:
		return "a list"
	case n.Text != nil:
		return strconv.Quote(*n.Text)
	}
	return n.Atom
}

// nearest suggests the known name nearest to the one that was written, or lists all.
func nearest(written string, known []string) string {
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

// editDistance is the Levenshtein distance.
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

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Forms returns the forms within this one by name, as Decoder.Forms does.
func (f *Form) Forms(known ...string) map[string]*Form {
	return f.decoder.forms(f.items, f.Name, known)
}

// Subforms returns the forms within this one in order, whatever their names.
func (f *Form) Subforms() (forms []*Form) {
	for _, n := range f.items {
		if g := f.decoder.decodeForm(n, f.Name); g != nil {
			forms = append(forms, g)
		}
	}
	return forms
}

// Errorf records an error at a position within this form, as Decoder.Errorf does.
func (f *Form) Errorf(p Position, remedy, format string, args ...any) {
	f.decoder.Errorf(p, remedy, format, args...)
}
