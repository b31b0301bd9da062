// Package sqlclass classifies SQL statements: it parses them just far enough to say what they do, what they may cost and
// which request type they are, and caches what it found by their normal form.
//
// Normalization folds what does not matter (names and keywords to lower case, literals to ?); the fingerprint is a
// checksum of the normal form, for people and logs; classification says whether a statement reads or writes.
//
// A Classifier owns its cache and its cost model and is safe for concurrent use; a Scanner has one user at a time.
//
// The invariants, asserted by the tests:
//   - A text is a Read only if every part of it was understood as reading: its verb, every function it calls in
//     whatever spelling, every operator and every type it casts to. All else is a Write or Unknown, and Unknown
//     is to be treated as a Write.
//   - The class is a property of the normal form: two texts of one normal form have one class, and normal forms are
//     distinguished by their bytes, never by a checksum alone.
//   - Scanning, classifying and looking up use bounded memory whatever the text: no recursion, scopes of fixed
//     number, names and tables counted.
//
// Nothing here chooses a server, or whether a request is retried.
package sqlclass

// Class is what a statement does to data.
type Class uint8

// The classes of statements.
const (
	Unknown Class = iota // to be treated as a Write of unknown effect
	Read
	Write
)

var classNames = [...]string{"unknown", "read", "write"}

// String returns the name of the class, as commands and logs show it.
func (c Class) String() string { return classNames[c] }

// Classification is what was found about a normal form.
type Classification struct {
	Class              Class
	SessionBound       bool     // it leaves state on the connection, or needs what another statement left there
	MultipleStatements bool     // the text holds more than one statement
	Empty              bool     // the text holds none
	Reason             string   // why it is not a Read; "" for a Read
	ReasonOffset       int      // offset of the first byte that Reason is about, in the text that was classified
	Verb               string   // the first keyword, or the one after a WITH list; "" where there is none
	Tables             []string // named after FROM, JOIN, INTO, UPDATE; lower case, without schema, in order, each once
	rows               rowEstimate
}

// Limits on the memory that a text can make the analyzer use.
const (
	maxDepth     = 100 // parentheses in each other
	maxTables    = 16
	maxNameBytes = 64 // of a name shown in a reason; PostgreSQL cuts names at 63
)
