package fakeserver

import (
	"slices"
	"strings"
)

// writeCost is what writing a row counts, in rows touched: the row, its page, the log.
const writeCost = 3

// insert runs what follows INSERT; ok is false where it can't be parsed.
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
			r.RowsTouched++
		}
		t.Rows = append(t.Rows, row)
		r.RowsTouched += writeCost
		p.take(",")
	}
	r.Changed = true
	return r, true
}

// update runs what follows UPDATE; ok is false where it can't be parsed.
func (d *Data) update(p *parser) (r Result, ok bool) {
	t, alias, ok := d.source(p)
	if !ok || !p.take("set") {
		return r, false
	}
	set := p.next()
	p.next()
	to := value(p.next())
	rows, ok := t.rowsToChange(p, alias, &r)
	if !ok {
		return r, false
	}
	at := slices.Index(t.Columns, set)
	if at < 0 {
		return r, true
	}
	for _, row := range rows {
		row[at] = to
	}
	if slices.Contains(t.Indexed, set) {
		t.reindex()
	}
	return r, true
}

// remove runs what follows DELETE; ok is false where it can't be parsed.
func (d *Data) remove(p *parser) (r Result, ok bool) {
	p.take("from")
	t, alias, ok := d.source(p)
	if !ok {
		return r, false
	}
	rows, ok := t.rowsToChange(p, alias, &r)
	if !ok || len(rows) == 0 {
		return r, ok
	}
	removed := map[*string]bool{}
	for _, row := range rows {
		removed[&row[0]] = true
	}
	t.Rows = slices.DeleteFunc(t.Rows, func(row []string) bool { return removed[&row[0]] })
	t.reindex()
	return r, true
}

// rowsToChange parses the WHERE clause and returns the rows that it selects, with their cost in r.
func (t *Table) rowsToChange(p *parser, alias string, r *Result) (rows [][]string, ok bool) {
	conditions, ok := p.where()
	if !ok {
		return nil, false
	}
	rows = t.pick(alias, conditions, 0, &r.RowsTouched)
	r.RowsTouched += writeCost * len(rows)
	r.Changed = true
	return rows, true
}
