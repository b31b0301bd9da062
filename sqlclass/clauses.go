package sqlclass

// What the keywords of a statement do to its class.

// word handles a name or a keyword.
func (a *analyzer) word(t Token) {
	name := &a.name
	if name.active && name.trailingDot {
		a.namePart(t)
		return
	}
	if name.active {
		a.endName(t)
	}
	scope := a.top()
	*name = qualifiedName{active: true, parts: 1, first: t, last: t, precededBy: a.previous.keyword,
		afterComma: a.previous.keyword == ",", afterCast: a.isCast(a.previous.token), afterOperand: a.previous.operand,
		inAliasColumns: scope.aliasColumns}
	if t.Kind == Word && t.End-t.Start <= maxNameBytes {
		a.buffer = appendLower(a.buffer[:0], a.text[t.Start:t.End])
		name.keyword = keywords[string(a.buffer)]
	}
	if name.keyword == nil {
		a.otherWord(t)
		return
	}
	label := name.precededBy == "as" && !scope.inCast // a label may be any word, a reserved one too
	if !label || name.isKeyword("materialized") || name.isKeyword("not") || scope.inWithList {
		a.keyword(t, name.keyword)
	}
	if label && name.isReserved() && !scope.inWithList { // nothing but a label: it opens nothing
		name.keyword = nil
		a.previous.setWord(true, "")
		return
	}
	a.previous.setWord(false, name.keyword.name)
	if a.previous.keyword2 == "distinct" && a.previous.keyword == "from" {
		a.previous.keyword = "" // IS DISTINCT FROM: no table follows
	}
}

// otherWord handles a name that is not a keyword.
func (a *analyzer) otherWord(t Token) {
	scope := a.top()
	if scope.explainOptions && t.Kind == QuotedName { // "analyze" is an option too
		a.explain.analyze = true
	}
	if scope.atStatementStart && !scope.explainOptions && a.depth == 0 {
		a.unknown(t.Start, noVerb)
	}
	scope.atStatementStart = false
	a.previous.setWord(true, "")
}

// namePart handles the part of a name after a dot.
func (a *analyzer) namePart(t Token) {
	const maxParts = 8
	name := &a.name
	name.parts++
	name.last, name.trailingDot, name.keyword = t, false, nil
	a.previous.set(true, "")
	if name.parts > maxParts {
		a.unknown(t.Start, "a name of too many parts")
		name.parts = maxParts
	}
}

// isCast reports whether a token is ::.
func (a *analyzer) isCast(t Token) bool {
	return t.Kind == Operator && string(a.text[t.Start:t.End]) == "::"
}

// keyword follows the statement by its keywords.
func (a *analyzer) keyword(t Token, kw *keyword) {
	scope := a.top()
	if (scope.atStatementStart || scope.inWithList || scope.explainOptions) && a.statementStart(t, kw) {
		return
	}
	if a.lockKeyword(t, kw) {
		return
	}
	switch kw.name {
	case "uescape":
		if a.previous.token.Kind == QuotedName {
			a.unknown(t.Start, "a name written with U& and UESCAPE")
		}
	case "for":
		a.lockClause = lockFor
	case "into":
		a.write(t.Start, "SELECT INTO makes a table")
	case "temp", "temporary":
		switch a.previous.keyword {
		case "create", "into", "local", "global":
			a.result.SessionBound = true
		}
	case "select", "values":
		a.beginBlock()
	case "from":
		scope.inFromList = scope.block.on && a.previous.keyword != "distinct"
		scope.block.from = scope.block.from || scope.inFromList
	case "where", "group", "order", "having", "limit", "union", "intersect", "except", "window", "returning":
		scope.inFromList = false
	}
	scope.block.keyword(kw.name)
}

// beginBlock begins a SELECT or VALUES, which ends the one before.
func (a *analyzer) beginBlock() {
	scope := a.top()
	scope.block.close(&a.rows)
	scope.block.begin()
	scope.inFromList = false
}

// lockKeyword follows FOR [NO KEY] UPDATE and FOR [KEY] SHARE; done is true where that is all the keyword means.
func (a *analyzer) lockKeyword(t Token, kw *keyword) (done bool) {
	before := a.lockClause
	a.lockClause = lockNone
	locks := kw.name == "update" || kw.name == "share"
	switch before {
	case lockFor:
		if kw.name == "no" || kw.name == "key" {
			a.lockClause = lockStrength
			return true
		}
	case lockStrength:
		locks = locks || kw.name == "key"
	default:
		return false
	}
	if locks {
		a.write(t.Start, "locks rows")
	}
	return false
}

// statementStart handles a keyword where a statement may begin; done is false where it has no meaning there.
func (a *analyzer) statementStart(t Token, kw *keyword) (done bool) {
	scope := a.top()
	if scope.explainOptions {
		if kw.name == "analyze" || kw.name == "analyse" {
			a.explain.analyze = true
		}
		if kw.flags&flagQuery == 0 || !scope.atStatementStart { // an option, not the query itself
			return true
		}
		scope.explainOptions = false // EXPLAIN (SELECT ...)
		scope.yieldsOperand = true
	}
	if scope.inWithList {
		if kw.flags&(flagQuery|flagChangesData) == 0 || kw.name == "with" || a.previous.keyword == "with" || a.previous.keyword == "recursive" {
			return true
		}
		scope.inWithList = false
	}
	scope.atStatementStart = false
	if a.prefix(kw) {
		return true
	}
	if a.result.Verb == "" || a.depth == 0 {
		a.result.Verb = kw.name
	}
	return a.verb(t, kw)
}

// prefix handles what may stand before the verb: EXPLAIN with its options, and WITH.
func (a *analyzer) prefix(kw *keyword) bool {
	scope, outermost := a.top(), a.depth == 0
	switch {
	case kw.name == "explain" && outermost && !a.explain.seen:
		a.explain.seen, scope.atStatementStart = true, true
	case a.explain.seen && outermost && (kw.name == "analyze" || kw.name == "analyse" || kw.name == "verbose") && a.result.Verb == "":
		a.explain.analyze = a.explain.analyze || kw.name != "verbose"
		scope.atStatementStart = true
	case kw.name == "with":
		scope.inWithList = true
	default:
		return false
	}
	return true
}

// verb handles the first keyword of a statement, or of a query in parentheses; false where it is none.
func (a *analyzer) verb(t Token, kw *keyword) bool {
	scope, outermost := a.top(), a.depth == 0
	switch {
	case kw.flags&flagChangesData != 0:
		a.write(t.Start, "changes data by "+kw.name)
		scope.block.close(&a.rows)
		scope.block.begin()
		scope.block.changes, scope.block.inserts = true, kw.name == "insert"
	case kw.flags&flagQuery != 0:
		a.beginBlock()
		scope.block.from = kw.name == "table"
		if !outermost {
			a.scopes[a.depth-1].block.list = false // IN (SELECT ...)
		}
	case !outermost:
		if a.result.Verb == kw.name { // an expression in parentheses, not a verb
			a.result.Verb = ""
		}
		return false
	case a.explain.seen:
		a.unknown(t.Start, "an EXPLAIN of "+kw.name)
	case kw.flags&flagSessionBound != 0:
		a.sessionBound(t.Start, kw.name+" works on the connection, which is shared")
	case kw.flags&flagMayWrite != 0:
		a.write(t.Start, kw.name+" may change anything")
	case kw.name == "show":
	default:
		a.unknown(t.Start, noVerb)
	}
	return true
}
