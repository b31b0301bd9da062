package config

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Atom is a single word or quoted text with its position.
type Atom struct {
	Position
	Name   string
	Quoted bool // written between quotes: its case is significant
}

// Atoms returns the items as atoms. A form without items is an error.
func (f *Form) Atoms() (words []Atom) {
	for _, n := range f.items {
		switch {
		case n.Text != nil:
			words = append(words, Atom{f.decoder.position(n), *n.Text, true})
		case n.Atom != "":
			words = append(words, Atom{f.decoder.position(n), n.Atom, false})
		default:
			f.decoder.Errorf(f.decoder.position(n), "write it without parentheses", "a list stands in %s where a name belongs", f.Name)
		}
	}
	if len(f.items) == 0 {
		f.decoder.Errorf(f.Position, "name one, or leave the form out", "%s names nothing", f.Name)
	}
	return words
}

// Value returns the only item as an atom, and whether there is exactly one item that is an atom.
func (f *Form) Value() (Atom, bool) {
	if len(f.items) != 1 || f.items[0].List != nil {
		f.decoder.Errorf(f.Position, fmt.Sprintf("write (%s VALUE)", f.Name), "%s wants one value", f.Name)
		return Atom{}, false
	}
	return f.Atoms()[0], true
}

// TakeName removes the first item and returns it as a name; the items behind it are left for the form's other methods.
func (f *Form) TakeName() (Atom, bool) {
	if len(f.items) == 0 || f.items[0].List != nil {
		f.decoder.Errorf(f.Position, fmt.Sprintf("write (%s NAME ...)", f.Name), "%s has no name", f.Name)
		return Atom{}, false
	}
	n := f.items[0]
	w := Atom{Position: f.decoder.position(n), Name: n.Atom}
	if n.Text != nil {
		w.Name, w.Quoted = *n.Text, true
	}
	f.items = f.items[1:]
	return w, true
}

// Size returns the only item in bytes: a whole number with B, KiB, MiB or GiB, between the bounds. It returns the lower bound where
// the item is at fault.
func (f *Form) Size(lower, upper int64) int64 {
	w, ok := f.Value()
	if !ok {
		return lower
	}
	n, unit, ok := parseNumber(w.Name)
	by := map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}[unit]
	switch {
	case !ok || by == 0 && unit != "":
		f.decoder.Errorf(w.Position, "a size is a whole number with KiB, MiB or GiB, as in 8MiB", "%s is no size", w.Name)
		return lower
	case unit == "":
		likely := "MiB"
		if n > 1<<12 {
			likely = "B"
		}
		f.decoder.Errorf(w.Position, fmt.Sprintf("%s%s was likely meant", w.Name, likely), "%s has no unit", w.Name)
		return lower
	case n > upper/by || n*by < lower:
		f.decoder.Errorf(w.Position, fmt.Sprintf("between %s and %s", showSize(lower), showSize(upper)), "%s is out of range", w.Name)
		return lower
	}
	return n * by
}

// showSize is a size as a file would have it.
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

// Duration returns the only item as a duration above 0 with us, ms, s, m or h, and 0 where the item is at fault.
func (f *Form) Duration() time.Duration {
	w, ok := f.Value()
	if !ok {
		return 0
	}
	if n, unit, ok := parseNumber(w.Name); ok && unit == "" {
		likely := "s"
		if n >= 50 {
			likely = "ms"
		}
		f.decoder.Errorf(w.Position, fmt.Sprintf("%s%s was likely meant", w.Name, likely), "%s has no unit", w.Name)
		return 0
	}
	d, err := time.ParseDuration(w.Name)
	if err != nil || d <= 0 {
		f.decoder.Errorf(w.Position, "a time is a number above 0 with us, ms, s, m or h, as in 200ms", "%s is no time", w.Name)
		return 0
	}
	return d
}

// parseNumber splits a whole number from the unit behind it.
func parseNumber(s string) (n int64, unit string, ok bool) {
	i := 0
	for i < len(s) && s[i] >= '0' && s[i] <= '9' {
		i++
	}
	n, err := strconv.ParseInt(s[:i], 10, 64)
	return n, s[i:], err == nil
}

// Choice returns the only item, which must be one of the words, and "" where it is not.
func (f *Form) Choice(words ...string) string {
	w, ok := f.Value()
	if ok && !slices.Contains(words, w.Name) {
		f.decoder.Errorf(w.Position, nearest(w.Name, words), "%s has no value %s", f.Name, w.Name)
		return ""
	}
	return w.Name
}
