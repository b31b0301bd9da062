package fakeserver

import (
	"slices"
	"strings"
)

// Writes.

func (d *Data) insert(p *parser) (r Result, ok bool) {
	if !p.take("into") {
		return r, false
	}
	t, ok := d.tables[strings.ToLower(p.next())]
	if !ok || p.next() != "(" {
		return r, false
	}
	var cols []string
	for w := p.next(); w != ")"; w = p.next() {
		if w == "" {
			return r, false
		}
		if w != "," {
			cols = append(cols, w)
		}
	}
	if !p.take("values") {
		return r, false
	}
	for p.take("(") {
		row := make([]string, len(t.Columns))
		k := 0
		for w := p.next(); w != ")" && w != ""; w = p.next() {
			if w == "," {
				continue
			}
			if k < len(cols) {
				if at := slices.Index(t.Columns, cols[k]); at >= 0 {
					row[at] = value(w)
				}
			}
			k++
		}
		for _, col := range t.Indexed {
			v := row[slices.Index(t.Columns, col)]
			t.index[col][v] = append(t.index[col][v], len(t.Rows))
			r.Touched++
		}
		t.Rows = append(t.Rows, row)
		r.Touched += 3 // the row, its page, the log
		p.take(",")
	}
	r.Changed = true
	return r, true
}

func (d *Data) change(p *parser, update bool) (r Result, ok bool) {
	if !update {
		p.take("from")
	}
	t, alias, ok := d.source(p)
	if !ok {
		return r, false
	}
	set, to := "", ""
	if update {
		if !p.take("set") {
			return r, false
		}
		set = p.next()
		p.next()
		to = value(p.next())
	}
	all, ok := p.where()
	if !ok {
		return r, false
	}
	rows := t.pick(alias, all, 0, &r.Touched)
	r.Touched += 3 * len(rows)
	r.Changed = true
	if at := slices.Index(t.Columns, set); update && at >= 0 {
		for _, row := range rows {
			row[at] = to
		}
		if slices.Contains(t.Indexed, set) {
			t.reindex()
		}
	}
	if !update && len(rows) > 0 {
		gone := map[*string]bool{}
		for _, row := range rows {
			gone[&row[0]] = true
		}
		t.Rows = slices.DeleteFunc(t.Rows, func(row []string) bool { return gone[&row[0]] })
		t.reindex()
	}
	return r, true
}
