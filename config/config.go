// Package config reads the operator's file: S-expressions, with one form for each subsystem. Every value that has a unit is
// written with it:
//
//	(classing (cache 8MiB) (functions (reads seat_name) (writes next_seat)))
//
// The package defines the grammar, the units and how errors are reported. Each subsystem defines what its form may contain, and
// reads it with the methods of Form. A Decoder collects the errors of all forms, so that one run reports everything that is
// wrong with a file, each error with its position and remedy. A File is immutable once parsed. A Decoder and its Forms must be
// used by one goroutine.
package config

import (
	"fmt"
	"strings"
)

// Position is a place in a file. Lines and columns count from 1; columns count characters, not bytes.
type Position struct {
	File         string
	Line, Column int
}

// String returns the position as file:line:column.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Error is a fault in the file at a position. Remedy says how to correct it and may be empty.
type Error struct {
	Position
	Message, Remedy string
}

// Error returns the position, the message and the remedy in one line.
func (e Error) Error() string {
	if e.Remedy == "" {
		return e.String() + ": " + e.Message
	}
	return e.String() + ": " + e.Message + "; " + e.Remedy
}

// ErrorList holds all errors of a file in the order of their positions; it has at least one. Parse and Decoder.Err return their
// errors as an ErrorList.
type ErrorList []Error

// Error returns the errors, one per line.
func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}
