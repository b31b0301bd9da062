package sqlclass

import (
	"math"
)

// What a form may cost, block by block.

// work is a first guess in rows touched; a list's items and a LIMIT come from the text.
type work struct {
	rows    float64 // without what follows
	perItem float64 // for each literal in a list
	limited bool    // a LIMIT's number bounds rows
}

// block is what is seen of one SELECT, or one change.
type block struct {
	on, changes, inserts, from, where, keyed, list, order, group, distinct, limit, aggregate bool
	clause                                                                                   uint8
	tables, joins                                                                            int
}

const (
	inNothing uint8 = iota
	inWhere
)

// The guess takes every table for one of so many rows, a condition by equality for an index that finds a few,
// any other condition for a scan. It only has to rank; what was measured corrects it.
const (
	tableRows = 1000.0
	foundRows = 3.0
)

func (b *block) begin() { *b = block{on: true} }

func (b *block) keyword(name string) {
	switch name {
	case "where", "on":
		b.clause = inWhere
		b.where = b.where || name == "where"
	case "join":
		b.joins++
		b.clause = inNothing
	case "order":
		b.order = true
		b.clause = inNothing
	case "group":
		b.group = true
		b.clause = inNothing
	case "distinct":
		b.distinct = true
	case "limit", "fetch":
		b.limit = true
		b.clause = inNothing
	case "having", "select", "values", "union", "set", "returning":
		b.clause = inNothing
	}
}

func (b *block) comma(from bool) {
	if from && b.clause == inNothing {
		b.joins++
	}
}

func (b *block) opened(word string) {
	if word == "in" && b.clause == inWhere {
		b.list = true
	}
}

func (b *block) literal(before Token, text []byte) {
	if b.where && b.clause == inWhere && before.Kind == Operator && before.End == before.Start+1 && text[before.Start] == '=' {
		b.keyed = true
	}
}

func (b *block) close(w *work) {
	if !b.on {
		return
	}
	b.on = false
	tables := 0.0
	if b.from || b.changes && !b.inserts {
		tables = float64(max(b.tables, b.joins+1))
	}
	touched, found := tables*tableRows, tables*tableRows
	switch {
	case b.keyed:
		touched = foundRows * (1 + 2*float64(b.joins))
		found = touched
	case b.list:
		touched = foundRows * (1 + 2*float64(b.joins))
		found = touched
		w.perItem += 1 + float64(b.joins)
	case b.where:
		found = touched / 10
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
		w.perItem += 0.5
	}
	if b.limit && !b.order && !b.group && !b.aggregate && !b.distinct && !b.keyed && !b.list {
		w.limited = true
	}
	w.rows += cost
}
