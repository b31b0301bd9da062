package fakeserver

import (
	"slices"
	"strings"
)

// writeCost is the cost of writing a row, in rows touched: the row, its page and the log.
const writeCost = 3

// insert runs an INSERT statement, of which the first word is consumed. ok is false if it cannot be parsed.
func (d *Data) insert(p *parser) (r Result, ok bool) {
	if !p.accept("into") {
		return r, false
	}
	t, ok := d.tables[strings.ToLower(p.next())]
	if !ok || p.next() != "(" {
		return r, false
	}
	var columns []string
	for w := p.next(); w != ")"; w = p.next() {
		if w == "" {
			return r, false
		}
		if w != "," {
			columns = append(columns, w)
		}
	}
	if !p.accept("values") {
		return r, false
	}
	for p.accept("(") {
		row := make([]string, len(t.Columns))
		column := 0
		for w := p.next(); w != ")" && w != ""; w = p.next() {
			if w == "," {
				continue
			}
			if column < len(columns) {
				if position := slices.Index(t.Columns, columns[column]); position >= 0 {
					row[position] = unquote(w)
				}
			}
			column++
		}
		for _, col := range t.Indexed {
			v := row[slices.Index(t.Columns, col)]
			t.index[col][v] = append(t.index[col][v], len(t.Rows))
			r.RowsTouched++
		}
		t.Rows = append(t.Rows, row)
		r.RowsTouched += writeCost
		p.accept(",")
	}
	r.Changed = true
	return r, true
}

// update runs an UPDATE statement, of which the first word is consumed. ok is false if it cannot be parsed.
func (d *Data) update(p *parser) (r Result, ok bool) {
	t, alias, ok := d.parseTable(p)
	if !ok || !p.accept("set") {
		return r, false
	}
	setColumn := p.next()
	p.next()
	newValue := unquote(p.next())
	rows, ok := t.rowsToChange(p, alias, &r)
	if !ok {
		return r, false
	}
	position := slices.Index(t.Columns, setColumn)
	if position < 0 {
		return r, true
	}
	for _, row := range rows {
		row[position] = newValue
	}
	if slices.Contains(t.Indexed, setColumn) {
		t.rebuildIndexes()
	}
	return r, true
}

// remove runs a DELETE statement, of which the first word is consumed. ok is false if it cannot be parsed.
func (d *Data) remove(p *parser) (r Result, ok bool) {
	p.accept("from")
	t, alias, ok := d.parseTable(p)
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
	t.rebuildIndexes()
	return r, true
}

// rowsToChange parses the WHERE clause and returns the rows that it selects. It adds the cost of finding and writing them to r.
func (t *Table) rowsToChange(p *parser, alias string, r *Result) (rows [][]string, ok bool) {
	conditions, ok := p.parseWhere()
	if !ok {
		return nil, false
	}
	rows = t.selectRows(alias, conditions, 0, &r.RowsTouched)
	r.RowsTouched += writeCost * len(rows)
	r.Changed = true
	return rows, true
}
