package sqlclass

// analyzer classifies a statement in one pass over its tokens. It is a state machine rather than a parser: all that
// matters is which names stand where a call, a type, a verb or a lock stands. Where it cannot tell, it says so, and the
// class is Unknown. It looks at nothing that the normal form leaves out, so that one normal form has one class.
type analyzer struct {
	scan   Scanner
	lists  *NameLists
	text   []byte
	result Classification
	scopes [maxDepth + 1]scope // the statement itself, and one for each open parenthesis
	depth  int
	name   qualifiedName // the name that is being read
	buffer []byte        // scratch space for names

	previous       previousTokens
	explain        explainClause
	lockClause     lockClause
	sawToken       bool // other than a semicolon
	afterSemicolon bool
	rows           rowEstimate
}

// scope is the statement or what stands between two parentheses.
type scope struct {
	atStatementStart bool // the next word may begin a statement
	inWithList       bool // in the list of a WITH
	inFromList       bool // in the list of a FROM
	inCast           bool // CAST(x AS type)
	explainOptions   bool // options of EXPLAIN
	aliasColumns     bool // the column list of an alias
	yieldsOperand    bool // the parenthesis as a whole is an operand, so an alias may follow
	openBrackets     int  // [ without their ]
	block            queryBlock
}

// previousTokens are what was read last.
type previousTokens struct {
	token    Token
	operand  bool   // token ended an operand
	keyword  string // of token: a keyword, "," or "("; "" for any other
	keyword2 string // of the word before
}

func (p *previousTokens) set(operand bool, keyword string) { p.operand, p.keyword = operand, keyword }

// setWord is set for a word: the keyword before it becomes keyword2.
func (p *previousTokens) setWord(operand bool, keyword string) {
	p.operand, p.keyword2, p.keyword = operand, p.keyword, keyword
}

// explainClause is the EXPLAIN before a statement.
type explainClause struct {
	seen    bool
	analyze bool
}

// planOnly reports whether the statement is planned and not executed.
func (e explainClause) planOnly() bool { return e.seen && !e.analyze }

// lockClause is how much of FOR [NO KEY] UPDATE, or of FOR [KEY] SHARE, has been read.
type lockClause uint8

const (
	lockNone     lockClause = iota
	lockFor                 // FOR
	lockStrength            // FOR NO or FOR KEY
)

// classify classifies a text that a Scanner accepts whole. The buffer of the run before is used again.
func (a *analyzer) classify(text []byte, lists *NameLists) Classification {
	*a = analyzer{lists: lists, text: text, buffer: a.buffer[:0]}
	a.scan.Reset(text)
	a.result.Class = Read
	a.top().atStatementStart = true
	for more := true; more; {
		t := a.scan.Next()
		more = a.next(t)
		a.previous.token = t
	}
	if a.depth > 0 || a.top().openBrackets != 0 {
		a.unknown(len(text), "a ( or [ without its ) or ]")
	}
	for ; a.depth >= 0; a.depth-- {
		a.scopes[a.depth].block.close(&a.rows)
	}
	switch {
	case !a.sawToken && a.result.Class == Read:
		a.result.Empty = true
	case a.result.Verb == "":
		a.unknown(0, noVerb)
	}
	a.result.rows = a.rows
	return a.result
}

const noVerb = "it begins with no verb that is known"

// next handles the next token; more is false at the end, and where the rest of the text does not matter.
func (a *analyzer) next(t Token) (more bool) {
	switch {
	case t.Kind == EndOfText:
		a.endName(t)
		return false
	case t.Kind == Invalid:
		a.unknown(t.Start, a.scan.Err.Message)
		return false
	case a.isPunctuation(t, ';'):
	case a.afterSemicolon:
		a.result.MultipleStatements = true
		a.unknown(t.Start, "several statements")
		return false
	default:
		a.sawToken = true
	}
	return a.token(t)
}

// top returns the innermost scope.
func (a *analyzer) top() *scope { return &a.scopes[a.depth] }

func (a *analyzer) isPunctuation(t Token, mark byte) bool {
	return t.Kind == Punctuation && a.text[t.Start] == mark
}

// setClass sets the class with its reason, which is about the text from offset on.
func (a *analyzer) setClass(class Class, offset int, reason string) {
	a.result.Class, a.result.Reason, a.result.ReasonOffset = class, reason, offset
}

// unknown notes something that is not understood. The first reason counts, and a write takes precedence.
func (a *analyzer) unknown(offset int, reason string) {
	if a.result.Class == Read {
		a.setClass(Unknown, offset, reason)
	}
}

// write notes something that writes when the statement is executed.
func (a *analyzer) write(offset int, reason string) {
	if !a.explain.planOnly() && a.result.Class != Write {
		a.setClass(Write, offset, reason)
	}
}

// sessionBound notes something that leaves state on the connection, or needs some there.
func (a *analyzer) sessionBound(offset int, reason string) {
	a.result.SessionBound = true
	if a.result.Class != Write {
		a.setClass(Write, offset, reason)
	}
}

func (a *analyzer) token(t Token) (more bool) {
	if t.Kind == Word || t.Kind == QuotedName {
		a.word(t)
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
			a.unknown(t.Start, `a \ before the end of a text, which reads otherwise where standard_conforming_strings is off`)
		}
		scope.block.literal(a.previous.token, a.text)
		a.previous.set(true, "")
	case Operator:
		if !builtinOperators[string(a.text[t.Start:t.End])] {
			a.unknown(t.Start, "the operator "+a.excerpt(t)+" is none of PostgreSQL's own")
		}
		a.previous.set(false, "")
	case Punctuation:
		return a.punctuation(t, first)
	}
	return true
}

// punctuation handles a punctuation mark; first says that a statement may begin with it.
func (a *analyzer) punctuation(t Token, first bool) (more bool) {
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
			a.unknown(t.Start, "a ; between ( and )")
		} else if a.result.Verb != "" || a.result.Class != Read {
			a.afterSemicolon = true
		}
	case '[':
		scope.openBrackets++
		a.previous.set(false, "")
	case ']':
		if scope.openBrackets--; scope.openBrackets < 0 {
			a.unknown(t.Start, "a ] without its [")
		}
		a.previous.set(true, "")
	default:
		a.previous.set(false, "")
	}
	return true
}

func (a *analyzer) closeParenthesis(t Token) {
	if a.depth == 0 {
		a.unknown(t.Start, "a ) without its (")
		return
	}
	scope := a.top()
	if scope.openBrackets != 0 {
		a.unknown(t.Start, "a [ without its ]")
	}
	scope.block.close(&a.rows)
	a.depth--
	a.previous.set(scope.yieldsOperand, "")
	if scope.explainOptions {
		a.top().atStatementStart = true
	}
}

// openParenthesis enters a parenthesis: what stands before it says what it contains. more is false where it is too deep.
func (a *analyzer) openParenthesis(t Token, first bool) (more bool) {
	inner := scope{atStatementStart: true, yieldsOperand: true}
	name, outer := &a.name, a.top()
	outer.atStatementStart = false
	switch {
	case first && a.explain.seen && !outer.explainOptions && a.previous.keyword == "explain":
		inner.explainOptions, inner.yieldsOperand = true, false
	case !name.active:
	case name.parts == 1 && name.isKeyword("operator"):
		a.unknown(name.first.Start, "an operator named by OPERATOR()")
	case name.isReserved() && name.precededBy != "as":
		distinctOn := name.isKeyword("on") && a.previous.keyword2 == "distinct"
		inner.yieldsOperand = name.keyword.flags&flagTableOrOperand != 0 && !distinctOn
		inner.inCast = name.isKeyword("cast") || name.isKeyword("treat")
		outer.block.opened(name.keyword.name)
	default:
		inner.aliasColumns = a.callee(t)
		inner.inCast = name.isKeyword("xmlserialize")
	}
	ofWithQuery := name.active && (name.isKeyword("as") || name.isKeyword("materialized"))
	if outer.inWithList && !inner.aliasColumns && !ofWithQuery {
		outer.inWithList = false // WITH ... (SELECT ...): what follows belongs to the main statement
	}
	name.active = false
	if a.depth == maxDepth {
		a.unknown(t.Start, "parentheses too deep within each other")
		return false
	}
	a.depth++
	a.scopes[a.depth] = inner
	a.previous.set(false, "(")
	return true
}
