package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
)

// Functions in this file ignore errors of writing to standard output: these mean that the reader has closed the pipe, and the exit code is
// that of the command.

// printJSON writes a value as a line of JSON.
func printJSON(v any) { _ = json.NewEncoder(os.Stdout).Encode(v) }

// table writes rows with aligned columns to standard output when it is flushed.
type table struct{ w *tabwriter.Writer }

// newTable makes a table whose first row has the given headings of columns.
func newTable(columns ...string) table {
	t := table{tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)}
	t.row(strings.Join(columns, "\t"))
	return t
}

// row adds a row, whose cells are separated by tabs.
func (t table) row(row string) { _, _ = fmt.Fprintln(t.w, row) }

// flush writes all rows to standard output.
func (t table) flush() { _ = t.w.Flush() }

// printError prints an error to standard error.
func printError(err error) { fmt.Fprintf(os.Stderr, "dapplerouter: %v\n", err) }
