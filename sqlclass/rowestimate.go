package sqlclass

import (
	"math"
)

// This file estimates the number of rows that a statement touches. The estimate is the sum over the statement's query blocks.

// rowEstimate is the estimate for a normal form, in rows touched. The number of list items and the LIMIT differ between the
// texts of a normal form; forDetails adds them.
type rowEstimate struct {
	rows         float64 // without list items and LIMIT
	perListItem  float64 // added for each literal in a list
	limitApplies bool    // the number of a LIMIT is an upper bound of the rows
}

// forDetails returns the estimate for a text with the given details, in rows touched. It is at least 1.
func (e *rowEstimate) forDetails(d *TextDetails) float64 {
	rows := e.rows + e.perListItem*float64(d.ListItems)
	if e.limitApplies && d.Limit >= 0 {
		rows = min(rows, 1+float64(d.Limit))
	}
	return max(rows, 1)
}

// The estimate assumes that every table has assumedTableRows rows, that a condition by equality uses an index and finds
// indexedRows rows, and that any other condition needs a scan. It only has to rank statements; measurements correct it.
const (
	assumedTableRows = 1000.0
	indexedRows      = 3.0
)

// queryBlock has the features of one query block: a SELECT, VALUES or TABLE, or a statement that changes data.
type queryBlock struct {
	open          bool // the block has begun and has not ended
	changesData   bool // the block changes data
	inserts       bool // the block is an INSERT
	hasFrom       bool // has a FROM clause, or is a TABLE statement
	hasWhere      bool
	hasEquality   bool // has a condition by equality with a literal
	hasInList     bool // has a condition with IN and a list
	hasOrderBy    bool
	hasGroupBy    bool
	hasDistinct   bool
	hasLimit      bool
	hasAggregate  bool
	inCondition   bool // the current position is in a WHERE or ON clause
	tables, joins int
}

// begin opens the block without any features.
func (b *queryBlock) begin() { *b = queryBlock{open: true} }

// keyword records the clause that a keyword begins, and whether a condition begins or ends there.
func (b *queryBlock) keyword(name string) {
	switch name {
	case "where":
		b.hasWhere = true
	case "join":
		b.joins++
	case "order":
		b.hasOrderBy = true
	case "group":
		b.hasGroupBy = true
	case "distinct":
		b.hasDistinct = true
	case "limit", "fetch":
		b.hasLimit = true
	}
	switch name {
	case "where", "on":
		b.inCondition = true
	case "join", "order", "group", "limit", "fetch", "having", "select", "values", "union", "set", "returning":
		b.inCondition = false
	}
}

// comma updates the block for a comma. In a FROM clause, a comma is a join.
func (b *queryBlock) comma(inFromList bool) {
	if inFromList && !b.inCondition {
		b.joins++
	}
}

// openParenthesis records the list of a condition with IN: keyword is the word before an opening parenthesis.
func (b *queryBlock) openParenthesis(keyword string) {
	if keyword == "in" && b.inCondition {
		b.hasInList = true
	}
}

// literal records a condition by equality with a literal: before is the token that precedes a literal.
func (b *queryBlock) literal(before Token, text []byte) {
	if b.hasWhere && b.inCondition && before.Kind == Operator && string(text[before.Start:before.End]) == "=" {
		b.hasEquality = true
	}
}

// close ends the block and adds it to the estimate.
func (b *queryBlock) close(e *rowEstimate) {
	if !b.open {
		return
	}
	b.open = false
	touched, found := b.rows()
	if b.hasInList && !b.hasEquality {
		e.perListItem += 1 + float64(b.joins)
	}
	cost := 1 + touched
	if b.hasOrderBy || b.hasDistinct {
		cost += found * math.Log2(2+found) / 5
	}
	if b.hasGroupBy || b.hasAggregate {
		cost += found / 2
	}
	if b.changesData {
		cost += 5 + found
		e.perListItem += 0.5
	}
	if b.hasLimit && !b.ignoresLimit() {
		e.limitApplies = true
	}
	e.rows += cost
}

// rows returns the estimated numbers of rows that the block touches and of rows that meet its conditions.
func (b *queryBlock) rows() (touched, found float64) {
	if b.hasFrom || b.changesData && !b.inserts {
		touched = float64(max(b.tables, b.joins+1)) * assumedTableRows
	}
	switch {
	case b.hasEquality || b.hasInList:
		touched = indexedRows * (1 + 2*float64(b.joins))
		return touched, touched
	case b.hasWhere:
		return touched, touched / 10
	}
	return touched, touched
}

// ignoresLimit reports whether a LIMIT does not reduce the number of rows touched. Either the block needs all its rows
// before it returns the first, or it touches only a few rows in any case.
func (b *queryBlock) ignoresLimit() bool {
	return b.hasOrderBy || b.hasGroupBy || b.hasAggregate || b.hasDistinct || b.hasEquality || b.hasInList
}
