package sqlclass

// analyzer classifies a statement in one pass over its tokens. It is a state machine rather than a parser: it only has to
// recognize the names that are function calls, types, verbs or row locks. If it cannot decide, the class is Unknown. It
// ignores everything that the normal form leaves out, so that the class depends only on the normal form.
type analyzer struct {
	scan   Scanner
	lists  *NameLists
	text   []byte
	result Classification
	scopes [maxDepth + 1]scope // scope 0 is the statement itself; each open parenthesis adds one
	depth  int                 // index of the innermost scope
	name   qualifiedName       // the name that is being read
	buffer []byte              // scratch space for names

	previous       previousTokens
	explain        explainClause
	lockClause     lockClause
	sawToken       bool // a token other than a semicolon was read
	afterSemicolon bool // a semicolon ended the first statement
	rows           rowEstimate
}

// scope is the state of one nesting level: the statement itself, or the content of a pair of parentheses.
type scope struct {
	atStatementStart bool // the next word may begin a statement
	inWithList       bool // in the list of queries of a WITH clause
	inFromList       bool // in the list of tables of a FROM clause
	inCast           bool // CAST(x AS type)
	explainOptions   bool // in the parenthesized options of EXPLAIN
	aliasColumns     bool // in the column list of an alias
	yieldsOperand    bool // the parenthesized expression is an operand, so an alias may follow
	openBrackets     int  // number of [ that are not closed yet
	block            queryBlock
}

// previousTokens describe the tokens that were read last.
type previousTokens struct {
	token    Token
	operand  bool   // token is the end of an operand
	keyword  string // token if it is a keyword, a comma or an opening parenthesis; otherwise ""
	keyword2 string // the value of keyword before the last word
}

// set records a token that is not a word. operand says that the token ends an operand; keyword is "," or "(" for these marks,
// otherwise "".
func (p *previousTokens) set(operand bool, keyword string) { p.operand, p.keyword = operand, keyword }

// setWord records a word. operand says that the word ends an operand, which a keyword does not; keyword is the word if it is a
// keyword, otherwise "". The previous value of keyword moves to keyword2, so that two keywords in a row are recognized.
func (p *previousTokens) setWord(operand bool, keyword string) {
	p.operand, p.keyword2, p.keyword = operand, p.keyword, keyword
}

// explainClause says whether EXPLAIN, with or without ANALYZE, precedes the statement.
type explainClause struct {
	seen    bool
	analyze bool
}

// planOnly reports whether the statement is planned and not executed.
func (e explainClause) planOnly() bool { return e.seen && !e.analyze }

// lockClause is the state of reading FOR [NO KEY] UPDATE or FOR [KEY] SHARE.
type lockClause uint8

const (
	lockNone     lockClause = iota // not in a lock clause
	lockFor                        // after FOR
	lockStrength                   // after FOR NO or FOR KEY
)

// classify returns the classification of a text that a Scanner accepts without an error. It reuses the buffer of the
// previous call.
func (a *analyzer) classify(text []byte, lists *NameLists) Classification {
	*a = analyzer{lists: lists, text: text, buffer: a.buffer[:0]}
	a.scan.Reset(text)
	a.result.Class = Read
	a.top().atStatementStart = true
	for more := true; more; {
		t := a.scan.Next()
		more = a.consume(t)
		a.previous.token = t
	}
	if a.depth > 0 || a.top().openBrackets != 0 {
		a.markUnknown(len(text), "a ( or [ without its ) or ]")
	}
	for ; a.depth >= 0; a.depth-- {
		a.scopes[a.depth].block.close(&a.rows)
	}
	switch {
	case !a.sawToken && a.result.Class == Read:
		a.result.Empty = true
	case a.result.Verb == "":
		a.markUnknown(0, noVerb)
	}
	a.result.rows = a.rows
	return a.result
}

// noVerb is the reason for a statement whose first word is not a known verb.
const noVerb = "it begins with no verb that is known"

// consume updates the state and the class for the next token. more is false at the end of the text, and if the analysis stops
// there: at an invalid token, at a second statement, and where parentheses are nested too deeply.
func (a *analyzer) consume(t Token) (more bool) {
	switch {
	case t.Kind == EndOfText:
		a.endName(t)
		return false
	case t.Kind == Invalid:
		a.markUnknown(t.Start, a.scan.Err.Message)
		return false
	case a.isPunctuation(t, ';'):
	case a.afterSemicolon:
		a.result.MultipleStatements = true
		a.markUnknown(t.Start, "several statements")
		return false
	default:
		a.sawToken = true
	}
	return a.handleToken(t)
}

// top returns the innermost scope.
func (a *analyzer) top() *scope { return &a.scopes[a.depth] }

// isPunctuation reports whether the token is the given punctuation mark.
func (a *analyzer) isPunctuation(t Token, mark byte) bool {
	return t.Kind == Punctuation && a.text[t.Start] == mark
}

// setClass sets the class and its reason. The offset is that of the first byte that the reason refers to.
func (a *analyzer) setClass(class Class, offset int, reason string) {
	a.result.Class, a.result.Reason, a.result.ReasonOffset = class, reason, offset
}

// markUnknown sets the class to Unknown unless it is Unknown or Write already. The first reason is kept, and a write takes
// precedence.
func (a *analyzer) markUnknown(offset int, reason string) {
	if a.result.Class == Read {
		a.setClass(Unknown, offset, reason)
	}
}

// markWrite sets the class to Write, unless it is Write already or an EXPLAIN only plans the statement.
func (a *analyzer) markWrite(offset int, reason string) {
	if !a.explain.planOnly() && a.result.Class != Write {
		a.setClass(Write, offset, reason)
	}
}

// markSessionBound records that the statement leaves state on its connection or needs state there. It is a Write, even if an
// EXPLAIN only plans it.
func (a *analyzer) markSessionBound(offset int, reason string) {
	a.result.SessionBound = true
	if a.result.Class != Write {
		a.setClass(Write, offset, reason)
	}
}

// handleToken updates the state and the class for a token, which is neither the end of the text nor invalid. more is false if
// the rest of the text need not be read, because parentheses are nested too deeply and the class is therefore Unknown or Write.
func (a *analyzer) handleToken(t Token) (more bool) {
	if t.Kind == Word || t.Kind == QuotedName {
		a.handleWord(t)
		return true
	}
	if a.name.active && !a.isPunctuation(t, '.') && !a.isPunctuation(t, '(') {
		a.endName(t)
	}
	scope := a.top()
	first := scope.atStatementStart
	if !a.isPunctuation(t, '(') && !a.isPunctuation(t, ';') {
		scope.atStatementStart = false
	}
	switch t.Kind {
	case StringLiteral, NumberLiteral, Parameter:
		if t.Ambiguous {
			a.markUnknown(t.Start, `a \ before the end of a text, which reads otherwise where standard_conforming_strings is off`)
		}
		scope.block.literal(a.previous.token, a.text)
		a.previous.set(true, "")
	case Operator:
		if !builtinOperators[string(a.text[t.Start:t.End])] {
			a.markUnknown(t.Start, "the operator "+a.excerpt(t)+" is none of PostgreSQL's own")
		}
		a.previous.set(false, "")
	case Punctuation:
		return a.handlePunctuation(t, first)
	}
	return true
}

// handlePunctuation updates the state for a punctuation mark: a dot continues a name, parentheses begin and end scopes,
// brackets are counted, a comma separates list items, and a semicolon ends the statement. first says that a statement may
// begin with the mark. more is as for handleToken.
func (a *analyzer) handlePunctuation(t Token, first bool) (more bool) {
	scope := a.top()
	switch a.text[t.Start] {
	case '.':
		if !a.name.active {
			a.name = qualifiedName{active: true, ofExpression: true, parts: 1, first: a.previous.token, last: a.previous.token}
		}
		a.name.trailingDot = true
	case '(':
		return a.openParenthesis(t, first)
	case ')':
		a.closeParenthesis(t)
	case ',':
		scope.block.comma(scope.inFromList)
		a.previous.set(false, ",")
	case ';':
		a.previous.set(false, "")
		if a.depth > 0 {
			a.markUnknown(t.Start, "a ; between ( and )")
		} else if a.result.Verb != "" || a.result.Class != Read {
			a.afterSemicolon = true
		}
	case '[':
		scope.openBrackets++
		a.previous.set(false, "")
	case ']':
		if scope.openBrackets--; scope.openBrackets < 0 {
			a.markUnknown(t.Start, "a ] without its [")
		}
		a.previous.set(true, "")
	default:
		a.previous.set(false, "")
	}
	return true
}

// closeParenthesis ends the innermost scope for a closing parenthesis. A parenthesis or bracket without its counterpart makes
// the class Unknown.
func (a *analyzer) closeParenthesis(t Token) {
	if a.depth == 0 {
		a.markUnknown(t.Start, "a ) without its (")
		return
	}
	scope := a.top()
	if scope.openBrackets != 0 {
		a.markUnknown(t.Start, "a [ without its ]")
	}
	scope.block.close(&a.rows)
	a.depth--
	a.previous.set(scope.yieldsOperand, "")
	if scope.explainOptions {
		a.top().atStatementStart = true
	}
}

// openParenthesis begins a scope for an opening parenthesis. The tokens before it determine whether the scope contains the
// options of EXPLAIN, arguments, a list, a query or the columns of an alias. more is false if the parentheses are nested too
// deeply, which makes the class Unknown.
func (a *analyzer) openParenthesis(t Token, first bool) (more bool) {
	inner := scope{atStatementStart: true, yieldsOperand: true}
	name, outer := &a.name, a.top()
	outer.atStatementStart = false
	switch {
	case first && a.explain.seen && !outer.explainOptions && a.previous.keyword == "explain":
		inner.explainOptions, inner.yieldsOperand = true, false
	case !name.active:
	case name.parts == 1 && name.isKeyword("operator"):
		a.markUnknown(name.first.Start, "an operator named by OPERATOR()")
	case name.isReserved() && name.precededBy != "as":
		distinctOn := name.isKeyword("on") && a.previous.keyword2 == "distinct"
		inner.yieldsOperand = name.keyword.flags&flagTableOrOperand != 0 && !distinctOn
		inner.inCast = name.isKeyword("cast") || name.isKeyword("treat")
		outer.block.openParenthesis(name.keyword.name)
	default:
		inner.aliasColumns = a.nameBeforeParenthesis(t)
		inner.inCast = name.isKeyword("xmlserialize")
	}
	ofWithQuery := name.active && (name.isKeyword("as") || name.isKeyword("materialized"))
	if outer.inWithList && !inner.aliasColumns && !ofWithQuery {
		outer.inWithList = false // WITH ... (SELECT ...): the parenthesis begins the main statement
	}
	name.active = false
	if a.depth == maxDepth {
		a.markUnknown(t.Start, "parentheses too deep within each other")
		return false
	}
	a.depth++
	a.scopes[a.depth] = inner
	a.previous.set(false, "(")
	return true
}
