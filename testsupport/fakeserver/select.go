package fakeserver

import (
	"slices"
	"strconv"
	"strings"
)

// condition is one comparison of a WHERE clause.
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

// pick returns the rows that match the conditions on this table, by an index where an equality has one; a scan stops after limit
// rows, if it isn't 0.
func (t *Table) pick(alias string, all []condition, limit int, touched *int) (found [][]string) {
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
			if found = append(found, row); len(found) == limit {
				break
			}
		}
	}
	return found
}

// join is one JOIN of a query: the rows of table whose column right equals the column left of the rows so far.
type join struct {
	table       *Table
	alias       string
	left, right string
}

// query is a parsed SELECT.
type query struct {
	columns    []string // the words of the select list
	table      *Table
	alias      string
	joins      []join
	conditions []condition
	groupBy    string
	orderBy    string
	descending bool
	limit      int // 0 for none
}

// aggregates reports whether the query groups or calls a function.
func (q *query) aggregates() bool { return q.groupBy != "" || slices.Contains(q.columns, "(") }

// scanLimit is how many matching rows a scan may stop after, 0 for all.
func (q *query) scanLimit() int {
	if len(q.joins) == 0 && !q.aggregates() && q.orderBy == "" {
		return q.limit
	}
	return 0
}

// query parses what follows SELECT.
func (d *Data) query(p *parser) (q query, ok bool) {
	if q.columns, ok = p.selectList(); !ok {
		return q, false
	}
	if q.table, q.alias, ok = d.source(p); !ok {
		return q, false
	}
	for p.take("join") || p.take("inner", "join") {
		j, ok := d.join(p)
		if !ok {
			return q, false
		}
		q.joins = append(q.joins, j)
	}
	if q.conditions, ok = p.where(); !ok {
		return q, false
	}
	if p.take("group", "by") {
		q.groupBy = p.next()
	}
	if p.take("order", "by") {
		q.orderBy, q.descending = p.next(), p.take("desc")
	}
	if p.take("limit") {
		q.limit, _ = strconv.Atoi(p.next()) // what is no number is no limit
	}
	return q, true
}

// selectList returns the words up to the FROM that belongs to the query itself.
func (p *parser) selectList() (words []string, ok bool) {
	depth := 0
	for w := p.next(); !strings.EqualFold(w, "from") || depth > 0; w = p.next() {
		switch w {
		case "":
			return nil, false
		case "(":
			depth++
		case ")":
			depth--
		}
		words = append(words, w)
	}
	return words, true
}

// join parses what follows JOIN.
func (d *Data) join(p *parser) (j join, ok bool) {
	if j.table, j.alias, ok = d.source(p); !ok || !p.take("on") {
		return j, false
	}
	a := p.next()
	p.next()
	b := p.next()
	j.left, j.right = a, b
	if strings.HasPrefix(a, j.alias+".") {
		j.left, j.right = b, a
	}
	return j, true
}

// runSelect runs what follows SELECT; ok is false where it can't be parsed.
func (d *Data) runSelect(p *parser) (r Result, ok bool) {
	q, ok := d.query(p)
	if !ok {
		return r, false
	}
	rows := q.table.pick(q.alias, q.conditions, q.scanLimit(), &r.RowsTouched)
	names := q.table.named(q.alias)
	for _, j := range q.joins {
		if names, rows, ok = j.run(names, rows, q.conditions, &r.RowsTouched); !ok {
			return r, false
		}
	}
	orderBy := q.orderBy
	if q.aggregates() {
		rows = countByGroup(rows, column(names, q.groupBy), &r.RowsTouched)
		if len(rows) == 0 && q.groupBy == "" {
			rows = [][]string{{"", "0"}}
		}
		orderBy = ""
	}
	if at := column(names, orderBy); orderBy != "" && at >= 0 {
		sortRows(rows, at, q.descending, &r.RowsTouched)
	}
	if q.limit > 0 && len(rows) > q.limit {
		rows = rows[:q.limit]
	}
	r.Rows = rows
	return r, true
}

// run joins rows, whose columns have names, to the join's table and applies the conditions.
func (j *join) run(names []string, rows [][]string, conditions []condition, touched *int) (joined []string, result [][]string, ok bool) {
	key, at := column(j.table.named(j.alias), j.right), column(names, j.left)
	if key < 0 || at < 0 {
		return nil, nil, false
	}
	byValue := j.rowsByValue(key, touched)
	for _, row := range rows {
		for _, i := range byValue[row[at]] {
			*touched++
			result = append(result, append(slices.Clone(row), j.table.Rows[i]...))
		}
	}
	joined = append(names, j.table.named(j.alias)...) //nolint:gocritic // the caller replaces names by it
	return joined, slices.DeleteFunc(result, func(row []string) bool { return !holdAll(conditions, joined, row) }), true
}

// rowsByValue returns the table's index of a column. Where there is none, the table is read once, as a hash join does.
func (j *join) rowsByValue(key int, touched *int) map[string][]int {
	if index, ok := j.table.index[j.table.Columns[key]]; ok {
		return index
	}
	byValue := map[string][]int{}
	for i, row := range j.table.Rows {
		*touched++
		byValue[row[key]] = append(byValue[row[key]], i)
	}
	return byValue
}

// holdAll reports whether all conditions on the named columns hold for a row.
func holdAll(conditions []condition, names []string, row []string) bool {
	for _, c := range conditions {
		if at := column(names, c.col); at >= 0 && !c.holds(row[at]) {
			return false
		}
	}
	return true
}

// countByGroup returns a row for each value of a column with how often it stands; without a column (-1) it counts all rows.
func countByGroup(rows [][]string, at int, touched *int) (counted [][]string) {
	counts := map[string]int{}
	for _, row := range rows {
		*touched++
		key := ""
		if at >= 0 {
			key = row[at]
		}
		counts[key]++
	}
	for key, n := range counts {
		counted = append(counted, []string{key, strconv.Itoa(n)})
	}
	return counted
}

// sortRows sorts by a column.
func sortRows(rows [][]string, at int, descending bool, touched *int) {
	slices.SortStableFunc(rows, func(a, b []string) int {
		*touched++ // a comparison reads two rows
		if descending {
			a, b = b, a
		}
		return compare(a[at], b[at])
	})
}
