// Package fakeserver is a group of fake database servers on loopback: it speaks version 3 of PostgreSQL's protocol, acts as a
// primary and its replicas, records which statements reached which server, and takes as long as the work of a statement in
// tables held in memory would. For tests and measurements only; nothing in service imports it.
//
// A Group owns its servers, and a server its listener and connections, each served by one goroutine; Group.Close ends them all.
package fakeserver

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Table is rows of columns; columns named in Indexed are found without a scan.
type Table struct {
	Columns []string
	Indexed []string
	Rows    [][]string

	index map[string]map[string][]int
}

// Data is the tables of a group. Its statements are a small part of SQL, run by loops over the rows:
//
//	SELECT list FROM t [x] [JOIN u [y] ON a = b]... [WHERE c AND c...] [GROUP BY col] [ORDER BY col [DESC]] [LIMIT n]
//	INSERT INTO t (cols) VALUES (...), (...)   UPDATE t SET col = value [WHERE ...]   DELETE FROM t [WHERE ...]
//
// What it can't read makes no work and gives one row.
type Data struct {
	mu     sync.RWMutex
	tables map[string]*Table
}

// NewData makes Data of tables by name.
func NewData(tables map[string]*Table) *Data {
	for _, t := range tables {
		t.reindex()
	}
	return &Data{tables: tables}
}

func (t *Table) reindex() {
	t.index = map[string]map[string][]int{}
	for _, col := range t.Indexed {
		at, by := slices.Index(t.Columns, col), map[string][]int{}
		for i, row := range t.Rows {
			by[row[at]] = append(by[row[at]], i)
		}
		t.index[col] = by
	}
}

// Result is what a statement brought, and the rows that it touched on the way.
type Result struct {
	Rows        [][]string
	RowsTouched int
	Parsed      bool // it could be read
	Changed     bool
}

// Run runs a statement.
func (d *Data) Run(sql string) Result {
	p := &parser{words: tokens(sql)}
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

// NewBookingData makes tables like those of a booking service, of sizes that differ a hundredfold.
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
