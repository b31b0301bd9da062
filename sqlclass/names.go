package sqlclass

import "slices"

// What the names in a statement stand for: functions, types, fields and tables.

// qualifiedName is a name while it is read, part by part.
type qualifiedName struct {
	active       bool // a name has begun
	trailingDot  bool // it ends in a dot so far
	ofExpression bool // its first part is an expression, as in (x).f
	parts        int
	first, last  Token
	keyword      *keyword // of a name of one word that is a keyword

	precededBy     string // the keyword before it
	afterComma     bool
	afterCast      bool // it stands after ::
	afterOperand   bool
	inAliasColumns bool
}

// isReserved reports whether it is one word that is never the name of a function.
func (n *qualifiedName) isReserved() bool {
	return n.keyword != nil && n.parts == 1 && n.keyword.flags&flagReserved != 0
}

// isKeyword reports whether it is, or ends in, the given keyword.
func (n *qualifiedName) isKeyword(name string) bool {
	return n.keyword != nil && n.keyword.name == name
}

// endName ends a name that no ( follows.
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
		a.castType()
		return
	case name.parts > 1:
		a.field(name)
	}
	if !name.ofExpression && !name.isReserved() && a.standsForTable(name) {
		a.table(name)
	}
}

// standsForTable reports whether a name stands where a statement names its tables.
func (a *analyzer) standsForTable(name *qualifiedName) bool {
	switch name.precededBy {
	case "from", "join", "into", "update", "table", "only":
		return true
	}
	return name.afterComma && a.top().inFromList
}

// callee looks at a name before a (: an alias, a type, or a function that is called.
func (a *analyzer) callee(t Token) (alias bool) {
	name, scope := &a.name, a.top()
	simple := name.parts == 1 && !name.ofExpression
	switch {
	case name.afterCast || name.precededBy == "as" && scope.inCast:
		a.castType()
	case name.precededBy == "into":
		a.table(name)
		return true
	case simple && (name.precededBy == "as" || scope.inWithList && name.beginsWithQuery()):
		return true
	case simple && name.afterOperand:
		return name.keyword == nil
	case name.trailingDot:
		a.unknown(t.Start, "a name that ends in a dot")
	default:
		a.function(name, "calls ")
	}
	return false
}

// beginsWithQuery reports whether a name in the list of a WITH is that of a query, or the MATERIALIZED before one.
func (n *qualifiedName) beginsWithQuery() bool {
	return n.isKeyword("materialized") || n.precededBy == "with" || n.precededBy == "recursive" || n.precededBy == ","
}

// castType checks the type that a name stands for in a cast: a cast to a type of the operator's own may call anything.
func (a *analyzer) castType() {
	if !a.isReadOnlyName(&a.name) {
		a.function(&a.name, "casts to ")
	}
}

// function looks up the name of a function that is called, or of a type that is cast to, as how says.
func (a *analyzer) function(name *qualifiedName, how string) {
	last, ok := a.plainName(name.last)
	if !ok {
		a.unknown(name.last.Start, how+a.excerpt(name.last)+", whose name is written with U&")
		return
	}
	low := a.lowered(last)
	if aggregates[string(low)] {
		a.top().block.aggregate = true
	}
	switch {
	case a.lists.writes[string(low)]:
		a.write(name.first.Start, how+a.excerpt(name.last)+", which the operator's file lists as writing")
	case builtinBound[string(low)]:
		a.sessionBound(name.first.Start, how+a.excerpt(name.last)+", which leaves something on the connection")
	case builtinWrites[string(low)]:
		a.write(name.first.Start, how+a.excerpt(name.last)+", which writes")
	case !a.isReadOnlyName(name):
		a.unknown(name.first.Start, how+a.excerpt(name.last)+", which is on no list of reading functions and types")
	}
}

// isReadOnlyName reports whether a name is that of a reading function or type, its schema included.
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

// field looks at t.f and (t).f, which call f where the row has no such column.
func (a *analyzer) field(name *qualifiedName) {
	last, ok := a.plainName(name.last)
	if !ok {
		a.unknown(name.last.Start, "a field whose name is written with U&: "+a.excerpt(name.last))
		return
	}
	// A quoted name in other capitals is another: it may write, or be no column.
	listed := a.lists.reads[string(last)] || a.lists.columns[string(last)]
	low := a.lowered(last)
	ofTable := name.precededBy == "from" || name.precededBy == "join" || name.precededBy == "only" ||
		name.afterComma && a.top().inFromList // schema.table
	switch {
	case a.lists.writes[string(low)]:
		a.write(name.last.Start, "calls "+a.excerpt(name.last)+" in field notation, which the operator's file lists as writing")
	case listed:
	case name.ofExpression, a.lists.columns != nil && !ofTable:
		a.unknown(name.last.Start, "may call "+a.excerpt(name.last)+" in field notation: list it under columns or reads")
	}
}

// table notes a table or view. One that the operator lists as writing is a view or foreign table with an effect.
func (a *analyzer) table(name *qualifiedName) {
	last, ok := a.plainName(name.last)
	if !ok || !a.top().block.on && a.result.Class == Read || len(a.result.Tables) == maxTables || len(last) > maxNameBytes {
		return
	}
	a.top().block.tables++
	if a.lists.writes[string(a.lowered(last))] {
		a.write(name.first.Start, "uses "+a.excerpt(name.last)+", which the operator's file lists as writing")
	}
	if !slices.Contains(a.result.Tables, string(last)) {
		a.result.Tables = append(a.result.Tables, string(last))
	}
}

// plainName returns a name as the server knows it, in the buffer: in lower case, or without its quotes; ok is false for one
// whose characters are escaped.
func (a *analyzer) plainName(t Token) ([]byte, bool) {
	a.buffer = a.buffer[:0]
	if t.UnicodeEscaped {
		return nil, false
	}
	a.appendName(t)
	return a.buffer, true
}

// appendName adds a name as the server knows it to the buffer.
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

// lowered returns a name in lower case, in the buffer where it has capitals.
func (a *analyzer) lowered(name []byte) []byte {
	for i, b := range name {
		if b >= 'A' && b <= 'Z' {
			a.buffer = appendLower(append(a.buffer[:0], name[:i]...), name[i:])
			return a.buffer
		}
	}
	return name
}

// excerpt returns the text of a token for a reason.
func (a *analyzer) excerpt(t Token) string {
	return string(a.text[t.Start:min(t.End, t.Start+maxNameBytes)])
}
