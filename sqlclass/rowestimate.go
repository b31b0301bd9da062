package sqlclass

import (
	"math"
)

// A first estimate of the rows that a statement touches, block by block.

// rowEstimate is a first estimate in rows touched; the number of list items and the LIMIT come from the text.
type rowEstimate struct {
	rows         float64 // without what follows
	perListItem  float64 // for each literal in a list
	limitApplies bool    // the number of a LIMIT bounds rows
}

// forDetails is the estimate for one text of the normal form, in rows touched, 1 at least.
func (e *rowEstimate) forDetails(d *Details) float64 {
	rows := e.rows + e.perListItem*float64(d.ListItems)
	if e.limitApplies && d.Limit >= 0 {
		rows = min(rows, 1+float64(d.Limit))
	}
	return max(rows, 1)
}

// The estimate takes every table for one of tableRows, a condition by equality for an index that finds foundRows, any
// other condition for a scan. It only has to rank; what was measured corrects it.
const (
	tableRows = 1000.0
	foundRows = 3.0
)

// queryBlock is what was seen of one SELECT, or of one statement that changes data.
type queryBlock struct {
	on            bool // a block has begun
	changes       bool // it changes data
	inserts       bool // by INSERT
	from          bool
	where         bool
	keyed         bool // a condition by equality with a literal
	list          bool // a condition by IN
	order         bool
	group         bool
	distinct      bool
	limit         bool
	aggregate     bool
	inCondition   bool // in a WHERE or ON
	tables, joins int
}

func (b *queryBlock) begin() { *b = queryBlock{on: true} }

// keyword handles a keyword of the block.
func (b *queryBlock) keyword(name string) {
	switch name {
	case "where":
		b.where = true
	case "join":
		b.joins++
	case "order":
		b.order = true
	case "group":
		b.group = true
	case "distinct":
		b.distinct = true
	case "limit", "fetch":
		b.limit = true
	}
	switch name {
	case "where", "on":
		b.inCondition = true
	case "join", "order", "group", "limit", "fetch", "having", "select", "values", "union", "set", "returning":
		b.inCondition = false
	}
}

// comma handles a comma; in a FROM it joins a table.
func (b *queryBlock) comma(inFromList bool) {
	if inFromList && !b.inCondition {
		b.joins++
	}
}

// opened handles the parenthesis after a keyword.
func (b *queryBlock) opened(keyword string) {
	if keyword == "in" && b.inCondition {
		b.list = true
	}
}

// literal handles a literal after a token.
func (b *queryBlock) literal(before Token, text []byte) {
	if b.where && b.inCondition && before.Kind == Operator && string(text[before.Start:before.End]) == "=" {
		b.keyed = true
	}
}

// close ends the block and adds it to the estimate.
func (b *queryBlock) close(e *rowEstimate) {
	if !b.on {
		return
	}
	b.on = false
	touched, found := b.rows()
	if b.list && !b.keyed {
		e.perListItem += 1 + float64(b.joins)
	}
	cost := 1 + touched
	if b.order || b.distinct {
		cost += found * math.Log2(2+found) / 5
	}
	if b.group || b.aggregate {
		cost += found / 2
	}
	if b.changes {
		cost += 5 + found
		e.perListItem += 0.5
	}
	if b.limit && !b.readsAll() {
		e.limitApplies = true
	}
	e.rows += cost
}

// rows returns how many rows the block touches, and how many of them meet its conditions.
func (b *queryBlock) rows() (touched, found float64) {
	if b.from || b.changes && !b.inserts {
		touched = float64(max(b.tables, b.joins+1)) * tableRows
	}
	switch {
	case b.keyed || b.list:
		touched = foundRows * (1 + 2*float64(b.joins))
		return touched, touched
	case b.where:
		return touched, touched / 10
	}
	return touched, touched
}

// readsAll reports whether the block has to see all its rows before the first is returned, or sees few anyway.
func (b *queryBlock) readsAll() bool {
	return b.order || b.group || b.aggregate || b.distinct || b.keyed || b.list
}
