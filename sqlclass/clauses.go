package sqlclass

// This file has the part of the analyzer that handles words: how the keywords of a statement determine its class.

// handleWord updates the state for a name or a keyword. After a dot the word extends the name that is being read; otherwise it
// ends that name and begins another. A keyword also updates the class, except where it is only the label of a column.
func (a *analyzer) handleWord(t Token) {
	name := &a.name
	if name.active && name.trailingDot {
		a.addNamePart(t)
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
		a.handleNonKeyword(t)
		return
	}
	label := name.precededBy == "as" && !scope.inCast // a column label may be any word, even a reserved one
	if !label || name.isKeyword("materialized") || name.isKeyword("not") || scope.inWithList {
		a.handleKeyword(t, name.keyword)
	}
	if label && name.isReserved() && !scope.inWithList { // a label, so a ( after it does not have the meaning of the keyword
		name.keyword = nil
		a.previous.setWord(true, "")
		return
	}
	a.previous.setWord(false, name.keyword.name)
	if a.previous.keyword2 == "distinct" && a.previous.keyword == "from" {
		a.previous.keyword = "" // IS DISTINCT FROM is not followed by a table
	}
}

// handleNonKeyword updates the state for a word that is not a keyword. A statement that begins with such a word is Unknown.
func (a *analyzer) handleNonKeyword(t Token) {
	scope := a.top()
	if scope.explainOptions && t.Kind == QuotedName { // the option may be quoted, as in EXPLAIN ("analyze")
		a.explain.analyze = true
	}
	if scope.atStatementStart && !scope.explainOptions && a.depth == 0 {
		a.markUnknown(t.Start, noVerb)
	}
	scope.atStatementStart = false
	a.previous.setWord(true, "")
}

// addNamePart adds the word after a dot to the name that is being read.
func (a *analyzer) addNamePart(t Token) {
	const maxParts = 8
	name := &a.name
	name.parts++
	name.last, name.trailingDot, name.keyword = t, false, nil
	a.previous.set(true, "")
	if name.parts > maxParts {
		a.markUnknown(t.Start, "a name of too many parts")
		name.parts = maxParts
	}
}

// isCast reports whether a token is the cast operator, two colons.
func (a *analyzer) isCast(t Token) bool {
	return t.Kind == Operator && string(a.text[t.Start:t.End]) == "::"
}

// handleKeyword updates the state and the class for a keyword, depending on its position in the statement.
func (a *analyzer) handleKeyword(t Token, kw *keyword) {
	scope := a.top()
	if (scope.atStatementStart || scope.inWithList || scope.explainOptions) && a.handleStatementStart(t, kw) {
		return
	}
	if a.handleLockKeyword(t, kw) {
		return
	}
	switch kw.name {
	case "uescape":
		if a.previous.token.Kind == QuotedName {
			a.markUnknown(t.Start, "a name written with U& and UESCAPE")
		}
	case "for":
		a.lockClause = lockFor
	case "into":
		a.markWrite(t.Start, "SELECT INTO makes a table")
	case "temp", "temporary":
		switch a.previous.keyword {
		case "create", "into", "local", "global":
			a.result.SessionBound = true
		}
	case "select", "values":
		a.beginBlock()
	case "from":
		scope.inFromList = scope.block.open && a.previous.keyword != "distinct"
		scope.block.hasFrom = scope.block.hasFrom || scope.inFromList
	case "where", "group", "order", "having", "limit", "union", "intersect", "except", "window", "returning":
		scope.inFromList = false
	}
	scope.block.keyword(kw.name)
}

// beginBlock begins a query block and ends the previous one of the scope.
func (a *analyzer) beginBlock() {
	scope := a.top()
	scope.block.close(&a.rows)
	scope.block.begin()
	scope.inFromList = false
}

// handleLockKeyword recognizes FOR [NO KEY] UPDATE and FOR [KEY] SHARE, which lock rows. It returns true if the keyword needs
// no other handling.
func (a *analyzer) handleLockKeyword(t Token, kw *keyword) (done bool) {
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
		a.markWrite(t.Start, "locks rows")
	}
	return false
}

// handleStatementStart handles a keyword at a position where a statement may begin. It returns false if the keyword has no
// meaning there and needs other handling.
func (a *analyzer) handleStatementStart(t Token, kw *keyword) (done bool) {
	scope := a.top()
	if scope.explainOptions {
		if kw.name == "analyze" || kw.name == "analyse" {
			a.explain.analyze = true
		}
		if kw.flags&flagQuery == 0 || !scope.atStatementStart { // an option, not the beginning of the query
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
	if a.handlePrefix(kw) {
		return true
	}
	if a.result.Verb == "" || a.depth == 0 {
		a.result.Verb = kw.name
	}
	return a.handleVerb(t, kw)
}

// handlePrefix handles keywords that may precede the verb: EXPLAIN with its options, and WITH. It returns false for any other
// keyword.
func (a *analyzer) handlePrefix(kw *keyword) bool {
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

// handleVerb handles the first keyword of a statement or of a parenthesized query. It returns false if the parenthesis
// contains an expression instead.
func (a *analyzer) handleVerb(t Token, kw *keyword) bool {
	scope, outermost := a.top(), a.depth == 0
	switch {
	case kw.flags&flagChangesData != 0:
		a.markWrite(t.Start, "changes data by "+kw.name)
		scope.block.close(&a.rows)
		scope.block.begin()
		scope.block.changesData, scope.block.inserts = true, kw.name == "insert"
	case kw.flags&flagQuery != 0:
		a.beginBlock()
		scope.block.hasFrom = kw.name == "table"
		if !outermost {
			a.scopes[a.depth-1].block.hasInList = false // IN (SELECT ...) is not a list of literals
		}
	case !outermost:
		if a.result.Verb == kw.name { // the keyword begins a parenthesized expression
			a.result.Verb = ""
		}
		return false
	case a.explain.seen:
		a.markUnknown(t.Start, "an EXPLAIN of "+kw.name)
	case kw.flags&flagSessionBound != 0:
		a.markSessionBound(t.Start, kw.name+" works on the connection, which is shared")
	case kw.flags&flagMayWrite != 0:
		a.markWrite(t.Start, kw.name+" may change anything")
	case kw.name == "show":
	default:
		a.markUnknown(t.Start, noVerb)
	}
	return true
}
