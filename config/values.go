package config

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Atom is a single word or quoted text, with its position.
type Atom struct {
	Position
	Name   string
	Quoted bool // written in quotes, so its case is significant
}

// Atoms returns the items as atoms. A nested list is recorded as an error and left out. A form without items is an error too.
func (f *Form) Atoms() (atoms []Atom) {
	for _, n := range f.items {
		switch {
		case n.Text != nil:
			atoms = append(atoms, Atom{f.decoder.position(n), *n.Text, true})
		case n.Atom != "":
			atoms = append(atoms, Atom{f.decoder.position(n), n.Atom, false})
		default:
			f.decoder.Errorf(f.decoder.position(n), "write it without parentheses", "a list stands in %s where a name belongs", f.Name)
		}
	}
	if len(f.items) == 0 {
		f.decoder.Errorf(f.Position, "name one, or leave the form out", "%s names nothing", f.Name)
	}
	return atoms
}

// Value returns the only item as an atom. It records an error and returns false unless there is exactly one item and it is an
// atom.
func (f *Form) Value() (Atom, bool) {
	if len(f.items) != 1 || f.items[0].List != nil {
		f.decoder.Errorf(f.Position, fmt.Sprintf("write (%s VALUE)", f.Name), "%s wants one value", f.Name)
		return Atom{}, false
	}
	return f.Atoms()[0], true
}

// TakeName removes the first item and returns it as a name. The items after it remain for the other methods of the form. If
// there is no name, it records an error and returns false.
func (f *Form) TakeName() (Atom, bool) {
	if len(f.items) == 0 || f.items[0].List != nil {
		f.decoder.Errorf(f.Position, fmt.Sprintf("write (%s NAME ...)", f.Name), "%s has no name", f.Name)
		return Atom{}, false
	}
	n := f.items[0]
	atom := Atom{Position: f.decoder.position(n), Name: n.Atom}
	if n.Text != nil {
		atom.Name, atom.Quoted = *n.Text, true
	}
	f.items = f.items[1:]
	return atom, true
}

// Size returns the only item as a number of bytes. It must be a whole number with B, KiB, MiB or GiB, between the bounds.
// Otherwise Size records an error and returns the lower bound.
func (f *Form) Size(lower, upper int64) int64 {
	atom, ok := f.Value()
	if !ok {
		return lower
	}
	n, unit, ok := parseNumber(atom.Name)
	bytesPerUnit := map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}[unit]
	switch {
	case !ok || bytesPerUnit == 0 && unit != "":
		f.decoder.Errorf(atom.Position, "a size is a whole number with KiB, MiB or GiB, as in 8MiB", "%s is no size", atom.Name)
		return lower
	case unit == "":
		likely := "MiB"
		if n > 1<<12 {
			likely = "B"
		}
		f.decoder.Errorf(atom.Position, fmt.Sprintf("%s%s was likely meant", atom.Name, likely), "%s has no unit", atom.Name)
		return lower
	case n > upper/bytesPerUnit || n*bytesPerUnit < lower:
		f.decoder.Errorf(atom.Position, fmt.Sprintf("between %s and %s", formatSize(lower), formatSize(upper)), "%s is out of range", atom.Name)
		return lower
	}
	return n * bytesPerUnit
}

// formatSize returns a size as it is written in a file, with the largest unit that divides it.
func formatSize(n int64) string {
	for _, u := range []struct {
		bytes int64
		name  string
	}{{1 << 30, "GiB"}, {1 << 20, "MiB"}, {1 << 10, "KiB"}} {
		if n >= u.bytes && n%u.bytes == 0 {
			return strconv.FormatInt(n/u.bytes, 10) + u.name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

// Duration returns the only item as a duration. It must be a number above 0 with us, ms, s, m or h. Otherwise Duration records
// an error and returns 0.
func (f *Form) Duration() time.Duration {
	atom, ok := f.Value()
	if !ok {
		return 0
	}
	if n, unit, ok := parseNumber(atom.Name); ok && unit == "" {
		likely := "s"
		if n >= 50 {
			likely = "ms"
		}
		f.decoder.Errorf(atom.Position, fmt.Sprintf("%s%s was likely meant", atom.Name, likely), "%s has no unit", atom.Name)
		return 0
	}
	d, err := time.ParseDuration(atom.Name)
	if err != nil || d <= 0 {
		f.decoder.Errorf(atom.Position, "a time is a number above 0 with us, ms, s, m or h, as in 200ms", "%s is no time", atom.Name)
		return 0
	}
	return d
}

// parseNumber splits a text into a whole number and the unit after it. ok is false if the text does not begin with a number.
func parseNumber(s string) (n int64, unit string, ok bool) {
	i := 0
	for i < len(s) && s[i] >= '0' && s[i] <= '9' {
		i++
	}
	n, err := strconv.ParseInt(s[:i], 10, 64)
	return n, s[i:], err == nil
}

// Choice returns the only item, which must be one of the given words. Otherwise it records an error and returns "".
func (f *Form) Choice(words ...string) string {
	atom, ok := f.Value()
	if ok && !slices.Contains(words, atom.Name) {
		f.decoder.Errorf(atom.Position, suggestName(atom.Name, words), "%s has no value %s", f.Name, atom.Name)
		return ""
	}
	return atom.Name
}
