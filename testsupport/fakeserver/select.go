package fakeserver

import (
	"slices"
	"strconv"
	"strings"
)

// condition is one comparison in a WHERE clause.
type condition struct {
	col, op string
	values  []string
}

// matches reports whether the condition holds for a value of its column. LIKE only supports a pattern enclosed in %.
func (c *condition) matches(v string) bool {
	switch c.op {
	case "=", "in":
		return slices.Contains(c.values, v)
	case "like":
		inner := strings.Trim(c.values[0], "%")
		return strings.Contains(v, inner)
	}
	d := compareValues(v, c.values[0])
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

// compareValues compares two values as numbers if both are numbers, otherwise as strings.
func compareValues(a, b string) int {
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

// parseWhere parses the WHERE clause, if there is one, into its conditions. ok is false if it cannot be parsed.
func (p *parser) parseWhere() (conditions []condition, ok bool) {
	if !p.accept("where") {
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
					c.values = append(c.values, unquote(w))
				}
			}
			p.next()
		} else {
			c.values = []string{unquote(p.next())}
		}
		if !slices.Contains([]string{"=", "<", ">", "<=", ">=", "<>", "in", "like"}, c.op) {
			return nil, false
		}
		conditions = append(conditions, c)
		if !p.accept("and") {
			return conditions, true
		}
	}
}

// columnIndex returns the index of a column among names, which may be qualified, or -1 if there is none.
func columnIndex(names []string, col string) int {
	for i, n := range names {
		if n == col || strings.HasSuffix(n, "."+col) {
			return i
		}
	}
	return -1
}

// parseTable parses the name of a table and its optional alias. ok is false if there is no such table.
func (d *Data) parseTable(p *parser) (t *Table, alias string, ok bool) {
	name := p.next()
	t, ok = d.tables[strings.ToLower(name[strings.LastIndexByte(name, '.')+1:])]
	alias = name
	if w := strings.ToLower(p.peek()); w != "" && !slices.Contains([]string{"join", "where", "group", "order", "limit", "on", "set"}, w) &&
		(w[0] >= 'a' && w[0] <= 'z') {
		alias = p.next()
	}
	return t, alias, ok
}

// qualifiedColumns returns the column names, each prefixed with an alias.
func (t *Table) qualifiedColumns(alias string) (names []string) {
	for _, c := range t.Columns {
		names = append(names, alias+"."+c)
	}
	return names
}

// selectRows returns the rows that match the conditions on this table, and adds the rows it reads to touched. It uses an index
// if an equality or IN is on an indexed column. Otherwise it scans, and stops after limit matching rows if limit is not 0.
func (t *Table) selectRows(alias string, conditions []condition, limit int, touched *int) (found [][]string) {
	names := t.qualifiedColumns(alias)
	var own []condition
	for _, c := range conditions {
		if columnIndex(names, c.col) >= 0 && (!strings.Contains(c.col, ".") || strings.HasPrefix(c.col, alias+".")) {
			own = append(own, c)
		}
	}
	match := func(row []string) bool {
		*touched++
		for _, c := range own {
			if !c.matches(row[columnIndex(names, c.col)]) {
				return false
			}
		}
		return true
	}
	for _, c := range own {
		index, ok := t.index[c.col[strings.LastIndexByte(c.col, '.')+1:]]
		if !ok || c.op != "=" && c.op != "in" {
			continue
		}
		for _, v := range c.values {
			*touched++
			for _, i := range index[v] {
				if match(t.Rows[i]) {
					found = append(found, t.Rows[i])
				}
			}
		}
		return found
	}
	for _, row := range t.Rows {
		if match(row) {
			if found = append(found, row); len(found) == limit {
				break
			}
		}
	}
	return found
}

// join is one JOIN of a query: it joins each row so far to the rows of table whose column right equals the row's column left.
type join struct {
	table       *Table
	alias       string
	left, right string
}

// query is a parsed SELECT statement.
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

// aggregates reports whether the query groups rows or calls a function.
func (q *query) aggregates() bool { return q.groupBy != "" || slices.Contains(q.columns, "(") }

// scanLimit returns after how many matching rows a scan may stop, or 0 if it must read all rows.
func (q *query) scanLimit() int {
	if len(q.joins) == 0 && !q.aggregates() && q.orderBy == "" {
		return q.limit
	}
	return 0
}

// parseQuery parses a SELECT statement, of which the first word is consumed.
func (d *Data) parseQuery(p *parser) (q query, ok bool) {
	if q.columns, ok = p.parseSelectList(); !ok {
		return q, false
	}
	if q.table, q.alias, ok = d.parseTable(p); !ok {
		return q, false
	}
	for p.accept("join") || p.accept("inner", "join") {
		j, ok := d.parseJoin(p)
		if !ok {
			return q, false
		}
		q.joins = append(q.joins, j)
	}
	if q.conditions, ok = p.parseWhere(); !ok {
		return q, false
	}
	if p.accept("group", "by") {
		q.groupBy = p.next()
	}
	if p.accept("order", "by") {
		q.orderBy, q.descending = p.next(), p.accept("desc")
	}
	if p.accept("limit") {
		q.limit, _ = strconv.Atoi(p.next()) // an invalid number means no limit
	}
	return q, true
}

// parseSelectList returns the words before the FROM that belongs to the query itself, and consumes that FROM.
func (p *parser) parseSelectList() (words []string, ok bool) {
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

// parseJoin parses what follows the word JOIN.
func (d *Data) parseJoin(p *parser) (j join, ok bool) {
	if j.table, j.alias, ok = d.parseTable(p); !ok || !p.accept("on") {
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

// runSelect runs a SELECT statement, of which the first word is consumed. ok is false if it cannot be parsed.
func (d *Data) runSelect(p *parser) (r Result, ok bool) {
	q, ok := d.parseQuery(p)
	if !ok {
		return r, false
	}
	rows := q.table.selectRows(q.alias, q.conditions, q.scanLimit(), &r.RowsTouched)
	names := q.table.qualifiedColumns(q.alias)
	for _, j := range q.joins {
		if names, rows, ok = j.apply(names, rows, q.conditions, &r.RowsTouched); !ok {
			return r, false
		}
	}
	orderBy := q.orderBy
	if q.aggregates() {
		rows = countByGroup(rows, columnIndex(names, q.groupBy), &r.RowsTouched)
		if len(rows) == 0 && q.groupBy == "" {
			rows = [][]string{{"", "0"}}
		}
		orderBy = ""
	}
	if position := columnIndex(names, orderBy); orderBy != "" && position >= 0 {
		sortRows(rows, position, q.descending, &r.RowsTouched)
	}
	if q.limit > 0 && len(rows) > q.limit {
		rows = rows[:q.limit]
	}
	r.Rows = rows
	return r, true
}

// apply joins rows to the table of the join, and keeps the joined rows that match the conditions. names are the columns of
// rows, and joined those of the result. ok is false if a column of the join does not exist.
func (j *join) apply(names []string, rows [][]string, conditions []condition, touched *int) (joined []string, result [][]string, ok bool) {
	key, at := columnIndex(j.table.qualifiedColumns(j.alias), j.right), columnIndex(names, j.left)
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
	joined = append(names, j.table.qualifiedColumns(j.alias)...) //nolint:gocritic // the caller replaces names by it
	return joined, slices.DeleteFunc(result, func(row []string) bool { return !matchesAll(conditions, joined, row) }), true
}

// rowsByValue returns the positions of the rows of the joined table by their value in column key. If the column has no index,
// the table is scanned once, as for a hash join.
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

// matchesAll reports whether a row matches all conditions on the named columns. Conditions on other columns are ignored.
func matchesAll(conditions []condition, names []string, row []string) bool {
	for _, c := range conditions {
		if at := columnIndex(names, c.col); at >= 0 && !c.matches(row[at]) {
			return false
		}
	}
	return true
}

// countByGroup returns one row for each value of a column, with the value and the number of rows that have it. If column is -1,
// it counts all rows.
func countByGroup(rows [][]string, column int, touched *int) (counted [][]string) {
	counts := map[string]int{}
	for _, row := range rows {
		*touched++
		key := ""
		if column >= 0 {
			key = row[column]
		}
		counts[key]++
	}
	for key, n := range counts {
		counted = append(counted, []string{key, strconv.Itoa(n)})
	}
	return counted
}

// sortRows sorts rows by a column.
func sortRows(rows [][]string, column int, descending bool, touched *int) {
	slices.SortStableFunc(rows, func(a, b []string) int {
		*touched++ // a comparison reads two rows
		if descending {
			a, b = b, a
		}
		return compareValues(a[column], b[column])
	})
}
