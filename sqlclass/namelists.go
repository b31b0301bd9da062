package sqlclass

import "bytes"

// NameLists are the operator's lists of functions, types, views and columns, beside PostgreSQL's own.
type NameLists struct {
	reads, writes, columns map[string]bool
}

// NewNameLists makes NameLists. A reading name counts as it stands, with its schema where it has one; a writing name
// counts in every schema and in upper and lower case. columns, where not nil, are all names that t.name may mean without
// a call.
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

// unqualified returns a name without its schema.
func unqualified(name []byte) []byte { return name[bytes.LastIndexByte(name, '.')+1:] }
