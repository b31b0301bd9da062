// Package sqlclass classifies SQL statements. It analyzes a statement just far enough to determine its class (read or
// write), its estimated cost and its request type, and caches the result under the statement's normal form.
//
// Normalization removes differences that do not affect the class: it converts names and keywords to lower case and
// replaces literals with ?. The fingerprint is a checksum of the normal form, for people and logs. Classification
// determines whether a statement reads or writes.
//
// A Classifier owns its cache and its cost model and is safe for concurrent use. A Scanner is not safe for concurrent use.
//
// The tests assert these invariants:
//   - A text is a Read only if every part of it is recognized as reading: its verb, every function that it calls in
//     any spelling, every operator and every type that it casts to. Any other text is a Write or Unknown, and callers
//     must treat Unknown as a Write.
//   - The class depends only on the normal form: two texts with the same normal form have the same class. Normal forms
//     are compared byte by byte, never by a checksum alone.
//   - Scanning, classification and cache lookup use bounded memory for any text: there is no recursion, the number of
//     scopes is fixed, and the lengths of names and the number of tables are limited.
//
// The package neither chooses a server nor decides whether a request is retried.
package sqlclass

// Class says whether a statement reads or writes data.
type Class uint8

// The classes of statements.
const (
	Unknown Class = iota // not recognized; treated as a Write with an unknown effect
	Read
	Write
)

var classNames = [...]string{"unknown", "read", "write"}

// String returns the name of the class that commands and logs show.
func (c Class) String() string { return classNames[c] }

// Classification is the result of analyzing a statement. It is cached for all texts with the same normal form.
type Classification struct {
	Class              Class
	SessionBound       bool     // the statement leaves state on its connection, or needs state that another statement left there
	MultipleStatements bool     // the text contains more than one statement
	Empty              bool     // the text contains no statement
	Reason             string   // why the statement is not a Read; "" for a Read
	ReasonOffset       int      // offset of the first byte that Reason refers to, in the text that was classified
	Verb               string   // the first keyword, or the keyword after a WITH list; "" if there is none
	Tables             []string // after FROM, JOIN, INTO or UPDATE; in order, without duplicates, in lower case, without schema
	rows               rowEstimate
}

// Limits on the memory that the analyzer uses for one text.
const (
	maxDepth     = 100 // nesting depth of parentheses
	maxTables    = 16
	maxNameBytes = 64 // of a name that is stored or shown in a reason; PostgreSQL truncates names to 63 bytes
)
