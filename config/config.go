// Package config reads the operator's file: S-expressions, one form for each subsystem. Every value that has a unit carries it:
//
//	(classing (cache 8MiB) (functions (reads seat_name) (writes next_seat)))
//
// The package knows the grammar, the units and how errors are reported. What a form may contain is defined by its subsystem, which
// reads it with a Form's methods. A Decoder collects the errors of all forms, so that one run reports everything that is wrong with a
// file, each error with its position and remedy. A File is immutable once parsed; a Decoder and its Forms are for one goroutine.
package config

import (
	"fmt"
	"strings"
)

// Position is a place in a file. Lines and columns count from 1; columns are in characters.
type Position struct {
	File         string
	Line, Column int
}

// String returns the position as file:line:column.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Error is an error at a position, with what would be right; Remedy may be empty.
type Error struct {
	Position
	Message, Remedy string
}

// Error returns the position, the message and the remedy.
func (e Error) Error() string {
	if e.Remedy == "" {
		return e.String() + ": " + e.Message
	}
	return e.String() + ": " + e.Message + "; " + e.Remedy
}

// ErrorList has all errors of a file in its order, at least one. It is what Parse and Decoder.Err return.
type ErrorList []Error

// Error returns one line for each error.
func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}
