package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
)

// Errors of writing to standard output are dropped in this file: the reader has closed the pipe, and the exit code is that of the command.

// printJSON writes a value as a line of JSON.
func printJSON(v any) { _ = json.NewEncoder(os.Stdout).Encode(v) }

// table writes aligned columns to standard output, once it is flushed.
type table struct{ w *tabwriter.Writer }

func newTable(columns ...string) table {
	t := table{tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)}
	t.row(strings.Join(columns, "\t"))
	return t
}

// row writes a row, whose columns are separated by tabs.
func (t table) row(row string) { _, _ = fmt.Fprintln(t.w, row) }

func (t table) flush() { _ = t.w.Flush() }

// printError writes an error of a command to standard error.
func printError(err error) { fmt.Fprintf(os.Stderr, "dapplerouter: %v\n", err) }
