package sqlclass

import "bytes"

// NameLists are the operator's lists of functions, types, views and columns, in addition to PostgreSQL's own.
type NameLists struct {
	reads, writes, columns map[string]bool
}

// NewNameLists returns NameLists. A name in reads is matched exactly, including its schema if it has one. A name in writes
// is matched in every schema, and case-insensitively. If columns is not nil, it lists all column names: t.name with any
// other name may be a function call.
func NewNameLists(reads, writes, columns []string) *NameLists {
	l := &NameLists{reads: map[string]bool{}, writes: map[string]bool{}}
	for _, n := range reads {
		l.reads[n] = true
	}
	for _, n := range writes {
		l.writes[string(unqualified([]byte(lower(n))))] = true
	}
	if columns != nil {
		l.columns = map[string]bool{}
		for _, n := range columns {
			l.columns[n] = true
		}
	}
	return l
}

// unqualified returns the name without its schema.
func unqualified(name []byte) []byte { return name[bytes.LastIndexByte(name, '.')+1:] }
