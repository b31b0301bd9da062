package sqlclass

import "slices"

// This file has the part of the analyzer that determines what a name refers to: a function, a type, a field or a table.

// qualifiedName is a name that is being read, part by part.
type qualifiedName struct {
	active       bool // a name is being read
	trailingDot  bool // the last token was a dot
	ofExpression bool // the first part is an expression, as in (x).f
	parts        int
	first, last  Token    // the first and the last part
	keyword      *keyword // the name, if it is a single word that is a keyword; otherwise nil

	precededBy     string // the keyword, comma or parenthesis before the name; otherwise ""
	afterComma     bool   // a comma precedes the name
	afterCast      bool   // the operator :: precedes the name
	afterOperand   bool   // an operand precedes the name, so the name may be its alias
	inAliasColumns bool   // the name is in the column list of an alias
}

// isReserved reports whether the name is a single word that cannot be the name of a function.
func (n *qualifiedName) isReserved() bool {
	return n.keyword != nil && n.parts == 1 && n.keyword.flags&flagReserved != 0
}

// isKeyword reports whether the name is the given keyword.
func (n *qualifiedName) isKeyword(name string) bool {
	return n.keyword != nil && n.keyword.name == name
}

// endName determines what the name that is being read refers to, if no opening parenthesis follows it: a type, a field or a
// table. It updates the class and the tables accordingly, and does nothing if no name is being read.
func (a *analyzer) endName(next Token) {
	name, scope := &a.name, a.top()
	if !name.active {
		return
	}
	name.active = false
	if name.trailingDot && next.Kind == Operator { // t.*
		return
	}
	literal := next.Kind == StringLiteral || next.Kind == NumberLiteral || next.Kind == Parameter
	switch {
	case name.afterCast, name.precededBy == "as" && scope.inCast,
		name.inAliasColumns && name.afterOperand && name.keyword == nil,
		literal && !name.afterOperand && (name.keyword == nil || name.parts > 1):
		a.checkCastType()
		return
	case name.parts > 1:
		a.checkField(name)
	}
	if !name.ofExpression && !name.isReserved() && a.standsForTable(name) {
		a.addTable(name)
	}
}

// standsForTable reports whether a name is at a position where a statement refers to its tables.
func (a *analyzer) standsForTable(name *qualifiedName) bool {
	switch name.precededBy {
	case "from", "join", "into", "update", "table", "only":
		return true
	}
	return name.afterComma && a.top().inFromList
}

// nameBeforeParenthesis determines what a name before an opening parenthesis refers to, and updates the class: it is an alias, a
// table after INTO, a type, or a function that is called. The result is true if the parenthesis may contain the column list of
// an alias or a table.
func (a *analyzer) nameBeforeParenthesis(t Token) (alias bool) {
	name, scope := &a.name, a.top()
	simple := name.parts == 1 && !name.ofExpression
	switch {
	case name.afterCast || name.precededBy == "as" && scope.inCast:
		a.checkCastType()
	case name.precededBy == "into":
		a.addTable(name)
		return true
	case simple && (name.precededBy == "as" || scope.inWithList && name.namesWithQuery()):
		return true
	case simple && name.afterOperand:
		return name.keyword == nil
	case name.trailingDot:
		a.markUnknown(t.Start, "a name that ends in a dot")
	default:
		a.checkFunction(name, "calls ")
	}
	return false
}

// namesWithQuery reports whether a name in the list of a WITH clause is the name of a query, or the keyword MATERIALIZED
// before a query.
func (n *qualifiedName) namesWithQuery() bool {
	return n.isKeyword("materialized") || n.precededBy == "with" || n.precededBy == "recursive" || n.precededBy == ","
}

// checkCastType checks the target type of a cast. A cast to a user-defined type may call any function, so a type that is on no
// list makes the class Unknown.
func (a *analyzer) checkCastType() {
	if !a.isReadOnlyName(&a.name) {
		a.checkFunction(&a.name, "casts to ")
	}
}

// checkFunction updates the class for a function that is called or a type that is cast to. how is the beginning of the
// reason and says which of the two it is.
func (a *analyzer) checkFunction(name *qualifiedName, how string) {
	last, ok := a.plainName(name.last)
	if !ok {
		a.markUnknown(name.last.Start, how+a.excerpt(name.last)+", whose name is written with U&")
		return
	}
	low := a.lowerCased(last)
	if aggregates[string(low)] {
		a.top().block.hasAggregate = true
	}
	switch {
	case a.lists.writes[string(low)]:
		a.markWrite(name.first.Start, how+a.excerpt(name.last)+", which the operator's file lists as writing")
	case builtinSessionBound[string(low)]:
		a.markSessionBound(name.first.Start, how+a.excerpt(name.last)+", which leaves something on the connection")
	case builtinWrites[string(low)]:
		a.markWrite(name.first.Start, how+a.excerpt(name.last)+", which writes")
	case !a.isReadOnlyName(name):
		a.markUnknown(name.first.Start, how+a.excerpt(name.last)+", which is on no list of reading functions and types")
	}
}

// isReadOnlyName reports whether a name is on a list of functions and types that only read. A name with a schema is on the list
// only with that schema, or as one of PostgreSQL's own names in pg_catalog.
func (a *analyzer) isReadOnlyName(name *qualifiedName) bool {
	switch {
	case name.ofExpression || name.parts > 2:
		return false
	case name.parts == 1:
		last, ok := a.plainName(name.last)
		return ok && (builtinReads[string(last)] || a.lists.reads[string(last)])
	}
	schema, ok := a.plainName(name.first)
	if !ok {
		return false
	}
	dot := len(schema)
	a.buffer = append(a.buffer, '.')
	a.appendName(name.last)
	return a.lists.reads[string(a.buffer)] ||
		string(a.buffer[:dot]) == "pg_catalog" && builtinReads[string(a.buffer[dot+1:])]
}

// checkField updates the class for t.f and (t).f. PostgreSQL calls the function f if the row has no column with this name.
func (a *analyzer) checkField(name *qualifiedName) {
	last, ok := a.plainName(name.last)
	if !ok {
		a.markUnknown(name.last.Start, "a field whose name is written with U&: "+a.excerpt(name.last))
		return
	}
	// A quoted name is case-sensitive: with other capitals it is another name, which may write or may not be a column.
	listed := a.lists.reads[string(last)] || a.lists.columns[string(last)]
	low := a.lowerCased(last)
	ofTable := name.precededBy == "from" || name.precededBy == "join" || name.precededBy == "only" ||
		name.afterComma && a.top().inFromList // the name is schema.table
	switch {
	case a.lists.writes[string(low)]:
		a.markWrite(name.last.Start, "calls "+a.excerpt(name.last)+" in field notation, which the operator's file lists as writing")
	case listed:
	case name.ofExpression, a.lists.columns != nil && !ofTable:
		a.markUnknown(name.last.Start, "may call "+a.excerpt(name.last)+" in field notation: list it under columns or reads")
	}
}

// addTable records a table or view. A table that the operator lists as writing makes the class Write: it is a view or foreign
// table with side effects.
func (a *analyzer) addTable(name *qualifiedName) {
	last, ok := a.plainName(name.last)
	if !ok || !a.top().block.open && a.result.Class == Read || len(a.result.Tables) == maxTables || len(last) > maxNameBytes {
		return
	}
	a.top().block.tables++
	if a.lists.writes[string(a.lowerCased(last))] {
		a.markWrite(name.first.Start, "uses "+a.excerpt(name.last)+", which the operator's file lists as writing")
	}
	if !slices.Contains(a.result.Tables, string(last)) {
		a.result.Tables = append(a.result.Tables, string(last))
	}
}

// plainName returns a name as the server stores it (see appendName). The result is valid until the buffer is used again. ok is
// false for a name with Unicode escapes, which are not decoded.
func (a *analyzer) plainName(t Token) ([]byte, bool) {
	a.buffer = a.buffer[:0]
	if t.UnicodeEscaped {
		return nil, false
	}
	a.appendName(t)
	return a.buffer, true
}

// appendName appends a name to the buffer as the server stores it: an unquoted name in lower case, a quoted name without its
// quotes and with each "" as a single ".
func (a *analyzer) appendName(t Token) {
	b := a.text[t.Start:t.End]
	if t.Kind != QuotedName {
		a.buffer = appendLower(a.buffer, b)
		return
	}
	b = b[1 : len(b)-1]
	for i := 0; i < len(b); i++ {
		a.buffer = append(a.buffer, b[i])
		if b[i] == '"' {
			i++
		}
	}
}

// lowerCased returns a name in lower case. If the name has capitals, the result is in the buffer.
func (a *analyzer) lowerCased(name []byte) []byte {
	for i, b := range name {
		if b >= 'A' && b <= 'Z' {
			a.buffer = appendLower(append(a.buffer[:0], name[:i]...), name[i:])
			return a.buffer
		}
	}
	return name
}

// excerpt returns the text of a token, truncated to maxNameBytes, for use in a reason.
func (a *analyzer) excerpt(t Token) string {
	return string(a.text[t.Start:min(t.End, t.Start+maxNameBytes)])
}
