package sqlclass

import (
	"bytes"
	"slices"
)

// TextDetails are the parts of a text that its normal form leaves out.
type TextDetails struct {
	ListItems   int    // number of literals in lists that the normal form replaces with (?+)
	Limit       int    // the number after the last LIMIT or FETCH FIRST; -1 for none
	FirstString []byte // the content of the first string literal, without unescaping; nil for none
	LastComment [2]int // start and end offset of the content of the last block comment; {-1, -1} for none
}

const maxListItems = 1 << 20 // upper limit of TextDetails.ListItems

// normalizer builds the normal form of one text, token by token.
type normalizer struct {
	text    []byte
	out     []byte // the normal form
	details TextDetails

	previous     previousToken
	afterLiteral bool // the previous token was a literal
	afterLimit   bool // the previous token was LIMIT, FIRST or NEXT, so a number is a limit

	// State for replacing lists: a list that contains only literals becomes (?+), and consecutive rows of VALUES that
	// contain only literals become a single (?+).
	inLiteralList bool // since the last ( or [ there were only literals, commas and signs
	items         int  // number of literals since the last ( or [
	listStart     int  // offset in out of the last ( or [
	rowsStart     int  // offset in out of the ( of the first row of VALUES; -1 if not in such rows
}

// previousToken says what the previous token means for replacing rows of VALUES.
type previousToken uint8

const (
	previousOther previousToken = iota
	previousValues
	previousRow      // the end of a list that was replaced
	previousRowComma // the comma after such a list
)

// Normalize appends the normal form of a text to b and returns the result. Names and keywords are converted to lower case.
// Comments and white space are removed, and a space follows each token. A literal becomes ?, a list that contains only
// literals becomes (?+), and consecutive rows of VALUES that contain only literals become a single (?+). A syntax error means
// that no server would accept the text; it must not be sent.
//
// The class of a statement does not depend on anything that the normal form leaves out (see analyzer). A literal whose end
// depends on a setting of the server becomes ?!, since it makes the class Unknown.
//
// Normalize handles the most frequent tokens itself, selected by their first byte, and uses Next for all others. Otherwise a
// cache hit would spend most of its time on passing tokens between functions.
func (s *Scanner) Normalize(b, text []byte) ([]byte, TextDetails, *SyntaxError) {
	s.Reset(text)
	n := normalizer{text: text, out: b, details: TextDetails{Limit: -1}, rowsStart: -1}
	for i := 0; i < len(text); {
		c := text[i]
		switch leadClass[c] {
		case leadSpace:
			i++
			continue
		case leadWord:
			if i+1 == len(text) || text[i+1] != '\'' && text[i+1] != '&' {
				i = n.appendWord(i)
				continue
			}
		case leadPunctuation:
			n.appendPunctuation(c)
			i++
			continue
		case leadDigit, leadQuote:
			if end := simpleLiteralEnd(text, i); end > 0 {
				n.appendSimpleLiteral(i, end)
				i = end
				continue
			}
		case leadDot:
			if i+1 < len(text) && charClass[text[i+1]]&classNameStart != 0 {
				n.appendSeparator(c)
				i++
				continue
			}
		case leadOperator:
			if i+1 < len(text) && charClass[text[i+1]]&classOperator == 0 { // the most frequent case: one character
				n.appendOperator(text[i : i+1])
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
		n.appendToken(t)
		i = t.End
	}
	n.details.LastComment = s.LastComment
	return n.out, n.details, nil
}

// appendWord appends the name or keyword that begins at offset i. It returns the end of the word, including one space after it.
func (n *normalizer) appendWord(i int) (end int) {
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
	n.resetContext()
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

// resetContext updates the state for a token that is neither a literal nor part of a list of literals.
func (n *normalizer) resetContext() {
	n.inLiteralList, n.previous, n.afterLimit, n.afterLiteral = false, previousOther, false, false
}

// appendPunctuation appends one of ( ) [ ] , and ; to the normal form. It also tracks lists: at the closing
// bracket, a list that contains only literals is replaced with (?+) or [?+], and consecutive such rows of VALUES with a single
// (?+).
func (n *normalizer) appendPunctuation(c byte) {
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
		if n.rowsStart >= 0 && n.rowsStart < start { // a further row of VALUES: replace all rows together
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
	default: // a semicolon
		n.out = append(n.out, "; "...)
		n.inLiteralList, n.previous = false, previousOther
	}
	n.afterLimit, n.afterLiteral = false, false
}

// openList appends an opening bracket, ( or [, and starts to track whether only literals follow it. listStart becomes the offset
// of the bracket in the normal form.
func (n *normalizer) openList(bracket byte) {
	n.inLiteralList, n.items, n.listStart, n.previous = true, 0, len(n.out), previousOther
	n.out = append(n.out, bracket, ' ')
}

// closeList appends a closing bracket. If the list contains only literals and its brackets match, closeList replaces the
// normal form from offset start on with (?+) or [?+] and returns true. If the brackets do not match, no server accepts the
// text. It must not share a normal form, and so a class, with a text that servers execute; so the list is not replaced, and both
// brackets stay in the normal form as they are.
func (n *normalizer) closeList(bracket byte, start int) (replaced bool) {
	replaced = n.inLiteralList && n.afterLiteral && bracketsMatch(n.out[n.listStart], bracket)
	if replaced {
		n.details.ListItems = min(n.details.ListItems+n.items, maxListItems)
		n.out = append(n.out[:start], n.out[n.listStart], '?', '+', bracket, ' ')
	} else {
		n.out = append(n.out, bracket, ' ')
	}
	n.inLiteralList, n.previous = false, previousOther
	return replaced
}

// bracketsMatch reports whether an opening and a closing bracket are of the same kind.
func bracketsMatch(opened, closed byte) bool { return (opened == '(') == (closed == ')') }

// appendLiteral appends a ? for a literal.
func (n *normalizer) appendLiteral() {
	n.inLiteralList = n.inLiteralList && !n.afterLiteral
	if n.inLiteralList {
		n.items++
	}
	n.out = append(n.out, "? "...)
	n.afterLiteral, n.afterLimit, n.previous = true, false, previousOther
}

// appendSimpleLiteral appends the literal from offset i up to end, which simpleLiteralEnd returned.
func (n *normalizer) appendSimpleLiteral(i, end int) {
	switch {
	case n.text[i] != '\'':
		if n.afterLimit {
			n.details.Limit = limitValue(n.text[i:end])
		}
	case n.details.FirstString == nil:
		n.details.FirstString = n.text[i+1 : end-1]
	}
	n.appendLiteral()
}

// appendSeparator appends a dot or a colon that is a token of its own.
func (n *normalizer) appendSeparator(c byte) {
	n.out = append(n.out, c, ' ')
	n.resetContext()
}

// appendOperator appends an operator.
func (n *normalizer) appendOperator(op []byte) {
	if op[0] == '?' { // distinguishes the operator from a literal
		n.out = append(n.out, '\\')
	}
	n.out = append(append(n.out, op...), ' ')
	n.inLiteralList = n.inLiteralList && !n.afterLiteral && len(op) == 1 && (op[0] == '-' || op[0] == '+')
	n.previous, n.afterLimit, n.afterLiteral = previousOther, false, false
}

// appendToken appends a token that the scanner returned.
func (n *normalizer) appendToken(t Token) {
	piece := n.text[t.Start:t.End]
	switch t.Kind {
	case StringLiteral, NumberLiteral, Parameter:
		if t.Kind == StringLiteral && n.details.FirstString == nil {
			n.details.FirstString = literalContent(piece)
		}
		if n.afterLimit && t.Kind == NumberLiteral {
			n.details.Limit = limitValue(piece)
		}
		n.appendLiteral()
		if t.Ambiguous {
			n.inLiteralList = false
			n.out = append(n.out[:len(n.out)-1], "! "...)
		}
	case Word: // followed by a quote or &; other words are handled by appendWord
		n.out = append(appendLower(n.out, piece), ' ')
		n.resetContext()
	case QuotedName:
		n.out = append(append(n.out, piece...), ' ')
		n.resetContext()
	case Operator:
		n.appendOperator(piece)
	case Punctuation: // a dot or a colon; other marks are handled by appendPunctuation
		n.appendSeparator(piece[0])
	}
}

// simpleLiteralEnd returns the end of the literal that begins at offset i if it is of one of the two simplest kinds: digits,
// or a string that contains neither a backslash nor a quote. A comma, a closing parenthesis, a space and a name, or the end
// of the text must follow it. For anything else it returns 0.
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
		if j+1 < len(text) && charClass[text[j+1]]&classNameStart != 0 { // otherwise the string may continue on the next line
			return j
		}
	}
	return 0
}

// literalContent returns the text between the quotes of a string literal.
func literalContent(literal []byte) []byte {
	if literal[0] == '$' {
		n := bytes.IndexByte(literal[1:], '$') + 2
		return literal[n : len(literal)-n]
	}
	from := bytes.IndexByte(literal, '\'') + 1
	return literal[from : len(literal)-1]
}

// limitValue returns the number after LIMIT. It stops reading digits once the number exceeds 1<<30.
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

// appendLower appends a name to b in lower case. It converts only ASCII letters.
func appendLower(b, name []byte) []byte {
	for _, c := range name {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		b = append(b, c)
	}
	return b
}

// lower returns a name in lower case. Like the server, it converts only ASCII letters.
func lower(s string) string { return string(appendLower(nil, []byte(s))) }
