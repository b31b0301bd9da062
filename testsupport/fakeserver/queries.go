package fakeserver

import (
	"slices"
	"strconv"
	"strings"
)

// Reads.

type condition struct {
	col, op string
	values  []string
}

func (c *condition) holds(v string) bool {
	switch c.op {
	case "=", "in":
		return slices.Contains(c.values, v)
	case "like":
		inner := strings.Trim(c.values[0], "%")
		return strings.Contains(v, inner)
	}
	d := compare(v, c.values[0])
	switch c.op {
	case "<":
		return d < 0
	case ">":
		return d > 0
	case "<=":
		return d <= 0
	case ">=":
		return d >= 0
	}
	return d != 0
}

func compare(a, b string) int {
	x, e1 := strconv.ParseFloat(a, 64)
	y, e2 := strconv.ParseFloat(b, 64)
	if e1 == nil && e2 == nil {
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	}
	return strings.Compare(a, b)
}

func (p *parser) where() (all []condition, ok bool) {
	if !p.take("where") {
		return nil, true
	}
	for {
		c := condition{col: p.next(), op: strings.ToLower(p.next())}
		if c.op == "in" {
			if p.next() != "(" {
				return nil, false
			}
			for p.peek() != ")" && p.peek() != "" {
				if w := p.next(); w != "," {
					c.values = append(c.values, value(w))
				}
			}
			p.next()
		} else {
			c.values = []string{value(p.next())}
		}
		if !slices.Contains([]string{"=", "<", ">", "<=", ">=", "<>", "in", "like"}, c.op) {
			return nil, false
		}
		all = append(all, c)
		if !p.take("and") {
			return all, true
		}
	}
}

func column(names []string, col string) int {
	for i, n := range names {
		if n == col || strings.HasSuffix(n, "."+col) {
			return i
		}
	}
	return -1
}

func (d *Data) source(p *parser) (t *Table, alias string, ok bool) {
	name := p.next()
	t, ok = d.tables[strings.ToLower(name[strings.LastIndexByte(name, '.')+1:])]
	alias = name
	if w := strings.ToLower(p.peek()); w != "" && !slices.Contains([]string{"join", "where", "group", "order", "limit", "on", "set"}, w) &&
		(w[0] >= 'a' && w[0] <= 'z') {
		alias = p.next()
	}
	return t, alias, ok
}

func (t *Table) named(alias string) (names []string) {
	for _, c := range t.Columns {
		names = append(names, alias+"."+c)
	}
	return names
}

// pick gives the rows of a table that hold, by an index where a condition of equality has one.
func (t *Table) pick(alias string, all []condition, most int, touched *int) (found [][]string) {
	names := t.named(alias)
	var mine []condition
	for _, c := range all {
		if column(names, c.col) >= 0 && (!strings.Contains(c.col, ".") || strings.HasPrefix(c.col, alias+".")) {
			mine = append(mine, c)
		}
	}
	check := func(row []string) bool {
		*touched++
		for _, c := range mine {
			if !c.holds(row[column(names, c.col)]) {
				return false
			}
		}
		return true
	}
	for _, c := range mine {
		by, ok := t.index[c.col[strings.LastIndexByte(c.col, '.')+1:]]
		if !ok || c.op != "=" && c.op != "in" {
			continue
		}
		for _, v := range c.values {
			*touched++
			for _, i := range by[v] {
				if check(t.Rows[i]) {
					found = append(found, t.Rows[i])
				}
			}
		}
		return found
	}
	for _, row := range t.Rows {
		if check(row) {
			if found = append(found, row); len(found) == most {
				break
			}
		}
	}
	return found
}

func (d *Data) find(p *parser) (r Result, ok bool) {
	var list []string
	depth := 0
	for w := p.next(); !strings.EqualFold(w, "from") || depth > 0; w = p.next() {
		if w == "" {
			return r, false
		}
		if w == "(" {
			depth++
		} else if w == ")" {
			depth--
		}
		list = append(list, w)
	}
	t, alias, ok := d.source(p)
	if !ok {
		return r, false
	}
	type join struct {
		t     *Table
		alias string
		a, b  string
	}
	var joins []join
	for p.take("join") || p.take("inner", "join") {
		u, al, ok := d.source(p)
		if !ok || !p.take("on") {
			return r, false
		}
		j := join{t: u, alias: al, a: p.next()}
		p.next()
		j.b = p.next()
		joins = append(joins, j)
	}
	all, ok := p.where()
	if !ok {
		return r, false
	}
	group, order, desc, limit := "", "", false, 0
	if p.take("group", "by") {
		group = p.next()
	}
	if p.take("order", "by") {
		order, desc = p.next(), p.take("desc")
	}
	if p.take("limit") {
		limit, _ = strconv.Atoi(p.next())
	}
	aggregate := group != "" || slices.Contains(list, "(")
	most := 0
	if len(joins) == 0 && !aggregate && order == "" {
		most = limit
	}
	rows := t.pick(alias, all, most, &r.Touched)
	names := t.named(alias)
	for _, j := range joins {
		theirs, mine := j.b, j.a
		if strings.HasPrefix(j.a, j.alias+".") {
			theirs, mine = j.a, j.b
		}
		key, at := column(j.t.named(j.alias), theirs), column(names, mine)
		if key < 0 || at < 0 {
			return r, false
		}
		by, indexed := j.t.index[j.t.Columns[key]]
		if !indexed { // a hash join: the other table is read once
			by = map[string][]int{}
			for i, row := range j.t.Rows {
				r.Touched++
				by[row[key]] = append(by[row[key]], i)
			}
		}
		var next [][]string
		for _, row := range rows {
			for _, i := range by[row[at]] {
				r.Touched++
				next = append(next, append(slices.Clone(row), j.t.Rows[i]...))
			}
		}
		names = append(names, j.t.named(j.alias)...)
		rows = slices.DeleteFunc(next, func(row []string) bool {
			for _, c := range all {
				if k := column(names, c.col); k >= 0 && !c.holds(row[k]) {
					return true
				}
			}
			return false
		})
	}
	if aggregate {
		counts := map[string]int{}
		at := column(names, group)
		for _, row := range rows {
			r.Touched++
			key := ""
			if at >= 0 {
				key = row[at]
			}
			counts[key]++
		}
		rows = rows[:0:0]
		for k, n := range counts {
			rows = append(rows, []string{k, strconv.Itoa(n)})
		}
		if len(rows) == 0 && group == "" {
			rows = [][]string{{"", "0"}}
		}
		names, order = []string{group, "count"}, ""
	}
	if at := column(names, order); order != "" && at >= 0 {
		slices.SortStableFunc(rows, func(a, b []string) int {
			r.Touched++ // a comparison reads two rows
			if desc {
				return compare(b[at], a[at])
			}
			return compare(a[at], b[at])
		})
	}
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	r.Rows = rows
	return r, true
}
