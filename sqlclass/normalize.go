package sqlclass

import (
	"bytes"
	"slices"
)

// Details are what a text has that its normal form leaves out.
type Details struct {
	ListItems   int    // literals in lists that were folded
	Limit       int    // the number after the last LIMIT or FETCH FIRST, -1 for none
	FirstString []byte // the content of the first string literal, nil for none; as it stands, doubled quotes too
	LastComment [2]int // the content of the last block comment, {-1, -1} for none
}

const maxListItems = 1 << 20 // more are not counted

// normalizer builds the normal form of one text, token by token.
type normalizer struct {
	text    []byte
	out     []byte
	details Details

	previous     previousToken
	afterLiteral bool // the last token was a literal
	afterLimit   bool // the last token was LIMIT, or FIRST or NEXT of a FETCH

	// Folding of lists: a list of nothing but literals becomes (?+), and several such rows of VALUES one.
	inLiteralList bool // since the last ( or [ only literals, commas and signs
	items         int  // literals since then
	listStart     int  // offset in out of that ( or [
	rowsStart     int  // offset in out of the ( of the first of several folded rows, -1 for none
}

// previousToken is what the last token means for the folding of rows.
type previousToken uint8

const (
	previousOther previousToken = iota
	previousValues
	previousRow      // a folded list
	previousRowComma // the comma after a folded list
)

// Normalize appends the normal form of a text: names and keywords in lower case, comments and spaces gone, literals as
// ?, a list of nothing but literals as (?+), several such rows of VALUES as one. A syntax error is a text that no server
// would accept; nothing of it may be sent.
//
// What the normal form leaves out does not influence the class: see analyzer. A literal whose end depends on a setting
// of the server stays visible, as ?!, since its class depends on that.
//
// The commonest tokens are recognized here by their first byte, all others by Next: most of the time of a cache hit
// would go into passing tokens.
func (s *Scanner) Normalize(b, text []byte) ([]byte, Details, *SyntaxError) {
	s.Reset(text)
	n := normalizer{text: text, out: b, details: Details{Limit: -1}, rowsStart: -1}
	for i := 0; i < len(text); {
		c := text[i]
		switch leadClass[c] {
		case leadSpace:
			i++
			continue
		case leadWord:
			if i+1 == len(text) || text[i+1] != '\'' && text[i+1] != '&' {
				i = n.word(i)
				continue
			}
		case leadPunctuation:
			n.punctuation(c)
			i++
			continue
		case leadDigit, leadQuote:
			if end := simpleLiteralEnd(text, i); end > 0 {
				n.simpleLiteral(i, end)
				i = end
				continue
			}
		case leadDot:
			if i+1 < len(text) && charClass[text[i+1]]&classNameStart != 0 {
				n.separator(c)
				i++
				continue
			}
		case leadOperator:
			if i+1 < len(text) && charClass[text[i+1]]&classOperator == 0 { // of one character, as most are
				n.operator(text[i : i+1])
				i++
				continue
			}
			if end, ok := s.skipComment(i); !ok {
				return n.out, n.details, &s.Err
			} else if end > i {
				i = end
				continue
			}
		}
		s.pos = i
		t := s.Next()
		if t.Kind == Invalid {
			return n.out, n.details, &s.Err
		}
		n.token(t)
		i = t.End
	}
	n.details.LastComment = s.LastComment
	return n.out, n.details, nil
}

// word handles a name or keyword.
func (n *normalizer) word(i int) (end int) {
	rest, out := n.text[i:], n.out
	if cap(out)-len(out) <= len(rest) {
		out = slices.Grow(out, len(rest)+1)
	}
	from, length := len(out), len(rest)
	to := out[from : from+len(rest)]
	for k := 0; k < len(to) && k < len(rest); k++ {
		low := lowerCase[rest[k]]
		if low == 0 {
			length = k
			break
		}
		to[k] = low
	}
	out = append(out[:from+length], ' ')
	n.out = out
	n.afterOther()
	if length >= 4 && length <= 6 {
		switch string(out[from : from+length]) {
		case "limit", "first", "next":
			n.afterLimit = true
		case "values":
			n.previous, n.rowsStart = previousValues, -1
		}
	}
	if end = i + length; end < len(n.text) && n.text[end] == ' ' {
		end++
	}
	return end
}

// afterOther notes a token that is neither a literal nor part of a list of literals.
func (n *normalizer) afterOther() {
	n.inLiteralList, n.previous, n.afterLimit, n.afterLiteral = false, previousOther, false, false
}

// punctuation handles one of ( ) [ ] , and ;.
func (n *normalizer) punctuation(c byte) {
	switch c {
	case '[':
		n.rowsStart = -1
		n.openList('[')
	case ']':
		n.closeList(']', n.listStart)
	case '(':
		switch {
		case n.previous == previousValues:
			n.rowsStart = len(n.out)
		case n.previous != previousRowComma:
			n.rowsStart = -1
		}
		n.openList('(')
	case ')':
		start := n.listStart
		if n.rowsStart >= 0 && n.rowsStart < start { // a further row of VALUES: one form for all
			start = n.rowsStart
		}
		if n.closeList(')', start) {
			n.previous = previousRow
		} else {
			n.rowsStart = -1
		}
	case ',':
		n.inLiteralList = n.inLiteralList && n.afterLiteral
		if n.previous == previousRow {
			n.previous = previousRowComma
		} else {
			n.previous = previousOther
		}
		n.out = append(n.out, ", "...)
	default: // ;
		n.out = append(n.out, "; "...)
		n.inLiteralList, n.previous = false, previousOther
	}
	n.afterLimit, n.afterLiteral = false, false
}

func (n *normalizer) openList(bracket byte) {
	n.inLiteralList, n.items, n.listStart, n.previous = true, 0, len(n.out), previousOther
	n.out = append(n.out, bracket, ' ')
}

// closeList ends a list. One of nothing but literals is folded from start on, if its brackets match: a text that no server
// accepts must not share a normal form, and so a class, with one that is executed.
func (n *normalizer) closeList(bracket byte, start int) (isFolded bool) {
	isFolded = n.inLiteralList && n.afterLiteral && bracketsMatch(n.out[n.listStart], bracket)
	if isFolded {
		n.details.ListItems = min(n.details.ListItems+n.items, maxListItems)
		n.out = append(n.out[:start], n.out[n.listStart], '?', '+', bracket, ' ')
	} else {
		n.out = append(n.out, bracket, ' ')
	}
	n.inLiteralList, n.previous = false, previousOther
	return isFolded
}

// bracketsMatch reports whether one bracket closes what the other opened.
func bracketsMatch(opened, closed byte) bool { return (opened == '(') == (closed == ')') }

// literal notes a literal.
func (n *normalizer) literal() {
	n.inLiteralList = n.inLiteralList && !n.afterLiteral
	if n.inLiteralList {
		n.items++
	}
	n.out = append(n.out, "? "...)
	n.afterLiteral, n.afterLimit, n.previous = true, false, previousOther
}

// simpleLiteral handles a literal whose end simpleLiteralEnd found.
func (n *normalizer) simpleLiteral(i, end int) {
	switch {
	case n.text[i] != '\'':
		if n.afterLimit {
			n.details.Limit = limitValue(n.text[i:end])
		}
	case n.details.FirstString == nil:
		n.details.FirstString = n.text[i+1 : end-1]
	}
	n.literal()
}

// separator handles a . or : that stands alone.
func (n *normalizer) separator(c byte) {
	n.out = append(n.out, c, ' ')
	n.afterOther()
}

func (n *normalizer) operator(op []byte) {
	if op[0] == '?' { // to be distinguished from a literal
		n.out = append(n.out, '\\')
	}
	n.out = append(append(n.out, op...), ' ')
	n.inLiteralList = n.inLiteralList && !n.afterLiteral && len(op) == 1 && (op[0] == '-' || op[0] == '+')
	n.previous, n.afterLimit, n.afterLiteral = previousOther, false, false
}

// token handles a token of the scanner.
func (n *normalizer) token(t Token) {
	piece := n.text[t.Start:t.End]
	switch t.Kind {
	case StringLiteral, NumberLiteral, Parameter:
		if t.Kind == StringLiteral && n.details.FirstString == nil {
			n.details.FirstString = literalContent(piece)
		}
		if n.afterLimit && t.Kind == NumberLiteral {
			n.details.Limit = limitValue(piece)
		}
		n.literal()
		if t.Ambiguous {
			n.inLiteralList = false
			n.out = append(n.out[:len(n.out)-1], "! "...)
		}
	case Word: // with a quote or & after it
		n.out = append(appendLower(n.out, piece), ' ')
		n.afterOther()
	case QuotedName:
		n.out = append(append(n.out, piece...), ' ')
		n.afterOther()
	case Operator:
		n.operator(piece)
	case Punctuation: // . and : alone
		n.separator(piece[0])
	}
}

// simpleLiteralEnd finds the end of a literal of the two plainest kinds: digits, or a string with neither \ nor a quote
// in it and with a space, a comma, a parenthesis or the end of the text after it. 0: it is none.
func simpleLiteralEnd(text []byte, i int) int {
	j := i + 1
	if text[i] == '\'' {
		for j < len(text) && text[j] != '\'' && text[j] != '\\' {
			j++
		}
		if j >= len(text) || text[j] == '\\' {
			return 0
		}
		j++
	} else {
		for j < len(text) && charClass[text[j]]&classDigit != 0 {
			j++
		}
	}
	if j == len(text) {
		return j
	}
	switch text[j] {
	case ',', ')':
		return j
	case ' ':
		if j+1 < len(text) && charClass[text[j+1]]&classNameStart != 0 { // else it may go on in the next line
			return j
		}
	}
	return 0
}

// literalContent is what stands between a literal's quotes.
func literalContent(literal []byte) []byte {
	if literal[0] == '$' {
		n := bytes.IndexByte(literal[1:], '$') + 2
		return literal[n : len(literal)-n]
	}
	from := bytes.IndexByte(literal, '\'') + 1
	return literal[from : len(literal)-1]
}

// limitValue reads the digits of a LIMIT, up to some 10 billion.
func limitValue(digits []byte) int {
	n := 0
	for _, c := range digits {
		if c < '0' || c > '9' || n > 1<<30 {
			break
		}
		n = n*10 + int(c-'0')
	}
	return n
}

// appendLower appends a name in lower case.
func appendLower(b, name []byte) []byte {
	for _, c := range name {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		b = append(b, c)
	}
	return b
}

// lower returns a name in lower case, as the server folds it: ASCII letters only.
func lower(s string) string { return string(appendLower(nil, []byte(s))) }
