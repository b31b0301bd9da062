// Package sqlclass parses statements just far enough to say what they do, what they may cost and which request type
// they are, and keeps what it found by the statement's form.
//
// What holds, and is asserted by the tests:
//   - A text is a Read only if every part of it was understood as reading: its verb, every function it calls in
//     whatever spelling, every operator and every type it casts to. All else is a Write or Unknown, and Unknown
//     is to be treated as a Write.
//   - The class is a property of the form: two texts of one form have one class, and forms are told apart by
//     their bytes, never by a checksum alone.
//   - Scanning, classing and looking up use bounded memory whatever the text: no recursion, frames of fixed
//     number, names and tables counted.
//
// Nothing here chooses a member, or whether a request runs again.
package sqlclass

import (
	"bytes"
)

// Class is what a statement does to data.
type Class uint8

const (
	Unknown Class = iota // to be treated as a Write of unknown effect
	Read
	Write
)

var classNames = [...]string{"unknown", "read", "write"}

func (c Class) String() string { return classNames[c] }

// Classification is what was found about a form.
type Classification struct {
	Class              Class
	SessionBound       bool     // it leaves something on the connection, or needs what another left there
	MultipleStatements bool     // more than one statement
	Empty              bool     // none
	Reason             string   // "" for a Read
	ReasonOffset       int      // offset of the first byte that Why is about, in the text that was classed
	Verb               string   // the first keyword, or that behind a WITH list; "" where there is none
	Tables             []string // named behind FROM, JOIN, INTO, UPDATE; lower case, without schema, in order, each once
	work               work
}

// Sizes that bound what a text can make the classer keep.
const (
	deepest    = 100 // parentheses within each other
	mostTables = 16
	longName   = 64 // bytes of a name shown in a reason; PostgreSQL cuts names at 63
)

// NameLists are the operator's words on functions, operators and types, beside PostgreSQL's own.
type NameLists struct {
	reads, writes, columns map[string]bool
}

// NewNameLists makes Lists. A reading name counts as it stands, with its schema where it has one; a writing name
// counts in every schema and case. Columns, where not nil, are all names that t.name may mean without a call.
func NewNameLists(reads, writes, columns []string) *NameLists {
	l := &NameLists{reads: map[string]bool{}, writes: map[string]bool{}}
	for _, n := range reads {
		l.reads[n] = true
	}
	for _, n := range writes {
		l.writes[string(lastPart([]byte(lower(n))))] = true
	}
	if columns != nil {
		l.columns = map[string]bool{}
		for _, n := range columns {
			l.columns[n] = true
		}
	}
	return l
}

func lastPart(name []byte) []byte { return name[bytes.LastIndexByte(name, '.')+1:] }
