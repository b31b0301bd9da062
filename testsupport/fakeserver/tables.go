// Package fakeserver is a group of fake database servers on loopback, a primary and its replicas. It speaks version 3 of
// PostgreSQL's protocol, runs statements on tables in memory, takes a time that depends on their work, and records which
// statements reached which server. It is only for tests and measurements; no production code imports it.
//
// A Group owns its servers. A server owns its listener and connections, each served by one goroutine. Group.Close ends them
// all.
package fakeserver

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Table is a table of texts. Columns named in Indexed have an index, so that an equality on them needs no scan.
type Table struct {
	Columns []string
	Indexed []string
	Rows    [][]string

	index map[string]map[string][]int // by column and value: the positions of rows in Rows
}

// Data holds the tables of a group. It runs statements of a small part of SQL by loops over the rows:
//
//	SELECT list FROM t [x] [JOIN u [y] ON a = b]... [WHERE c AND c...] [GROUP BY col] [ORDER BY col [DESC]] [LIMIT n]
//	INSERT INTO t (cols) VALUES (...), (...)   UPDATE t SET col = value [WHERE ...]   DELETE FROM t [WHERE ...]
//
// A statement that cannot be parsed touches no rows and returns one row.
type Data struct {
	mu     sync.RWMutex
	tables map[string]*Table
}

// NewData returns Data with the given tables by name, and builds their indexes.
func NewData(tables map[string]*Table) *Data {
	for _, t := range tables {
		t.rebuildIndexes()
	}
	return &Data{tables: tables}
}

// rebuildIndexes builds the indexes from the rows.
func (t *Table) rebuildIndexes() {
	t.index = map[string]map[string][]int{}
	for _, col := range t.Indexed {
		column, rows := slices.Index(t.Columns, col), map[string][]int{}
		for i, row := range t.Rows {
			rows[row[column]] = append(rows[row[column]], i)
		}
		t.index[col] = rows
	}
}

// Result is the result of a statement.
type Result struct {
	Rows        [][]string
	RowsTouched int  // rows read and written, the measure of the work
	Parsed      bool // the statement could be parsed
	Changed     bool // the statement was an INSERT, UPDATE or DELETE that ran
}

// Run runs a statement. Statements run one at a time.
func (d *Data) Run(sql string) Result {
	p := &parser{words: tokenize(sql)}
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := Result{}, false
	switch strings.ToLower(p.next()) {
	case "select":
		r, ok = d.runSelect(p)
	case "insert":
		r, ok = d.insert(p)
	case "update":
		r, ok = d.update(p)
	case "delete":
		r, ok = d.remove(p)
	}
	if !ok {
		return Result{Rows: [][]string{{"1"}}}
	}
	r.Parsed = true
	return r
}

// NewBookingData returns tables like those of a booking service: houses, their tables, and bookings, with the given numbers of
// rows.
func NewBookingData(houses, tables, bookings int) *Data {
	h := &Table{Columns: []string{"id", "name", "area"}, Indexed: []string{"id"}}
	for i := range houses {
		h.Rows = append(h.Rows, []string{strconv.Itoa(i), fmt.Sprintf("house-%d", i), strconv.Itoa(i % 7)})
	}
	t := &Table{Columns: []string{"id", "house", "seats"}, Indexed: []string{"id", "house"}}
	for i := range tables {
		t.Rows = append(t.Rows, []string{strconv.Itoa(i), strconv.Itoa(i % houses), strconv.Itoa(2 + i%8)})
	}
	b := &Table{Columns: []string{"id", "house", "table_id", "diner", "guests", "day"}, Indexed: []string{"id", "diner"}}
	for i := range bookings {
		b.Rows = append(b.Rows, []string{strconv.Itoa(i), strconv.Itoa(i % houses), strconv.Itoa(i % tables),
			fmt.Sprintf("diner-%d", i%(bookings/5+1)), strconv.Itoa(1 + i%9), fmt.Sprintf("2026-12-%02d", 1+i%28)})
	}
	return NewData(map[string]*Table{"houses": h, "tables": t, "bookings": b})
}
