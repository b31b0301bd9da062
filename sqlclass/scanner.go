package sqlclass

import (
	"fmt"
	"unicode/utf8"
)

// TokenKind is the kind of a token.
type TokenKind uint8

// The kinds of tokens.
const (
	EndOfText     TokenKind = iota
	Invalid                 // a syntax error, which is in Scanner.Err; no token follows
	Word                    // a name or keyword without quotes
	QuotedName              // "a name" or U&"a name"
	StringLiteral           // any string constant: plain, with the prefix E, B, X, N or U&, or dollar-quoted
	NumberLiteral
	Parameter   // a positional parameter: $1
	Operator    // an operator of one or more characters
	Punctuation // one of ( ) [ ] , ; . :
)

// Token is a token of a statement. Its text is from offset Start up to offset End.
type Token struct {
	Kind           TokenKind
	Ambiguous      bool // a StringLiteral whose end depends on the server's standard_conforming_strings
	UnicodeEscaped bool // a QuotedName with the prefix U&, which may contain escaped characters
	Start, End     int
}

// SyntaxError is the reason why a text cannot be split into tokens or is not valid UTF-8.
type SyntaxError struct {
	Code    string // the SQLSTATE that PostgreSQL returns for this error
	Message string
	Offset  int // of the first byte that the error refers to
}

// Error returns the message with its offset. It is sent to clients.
func (e *SyntaxError) Error() string { return fmt.Sprintf("%s at byte %d", e.Message, e.Offset) }

// SQLSTATEs of a SyntaxError.
const (
	codeSyntaxError  = "42601" // syntax_error
	codeNotInCharset = "22021" // character_not_in_repertoire
)

// Scanner splits a text into tokens in the same way as PostgreSQL's lexer with standard_conforming_strings on (section 4.1,
// "Lexical Structure", of its manual). It does not allocate memory for valid texts and never backs up by more than one token.
// The zero value must be initialized by Reset. It is not safe for concurrent use.
type Scanner struct {
	text []byte
	pos  int

	Err         SyntaxError // the error; set when Next returns an Invalid token
	LastComment [2]int      // start and end offset of the content of the last block comment; {-1, -1} for none
}

// Reset makes the Scanner read a new text from its beginning.
func (s *Scanner) Reset(text []byte) { *s = Scanner{text: text, LastComment: [2]int{-1, -1}} }

// Classes of bytes: the bits of charClass.
const (
	classSpace     = 1 << iota
	classNameStart // begins a name
	classNamePart  // may be part of a name
	classDigit
	classOperator
	classPunctuation
	classSinglePunctuation // a punctuation mark that never begins a longer token
)

// Kinds of tokens that a byte may begin: the values of leadClass. Normalize selects its fast paths by them.
const (
	leadOther = iota
	leadSpace
	leadWord
	leadPunctuation
	leadDot
	leadDigit
	leadQuote
	leadOperator
)

// Tables that are indexed by a byte.
var (
	charClass = makeCharClass() // the classes of the byte
	leadClass = makeLeadClass() // the kind of token that the byte may begin
	lowerCase = makeLowerCase() // the byte in lower case; 0 for a byte that cannot be part of a name
)

// makeCharClass returns the bits of charClass for each byte, by PostgreSQL's lexical rules.
func makeCharClass() (class [256]uint8) {
	for c := range class {
		switch {
		case c == ' ' || c >= '\t' && c <= '\r':
			class[c] = classSpace
		case c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80:
			class[c] = classNameStart | classNamePart
		case c >= '0' && c <= '9':
			class[c] = classDigit | classNamePart
		case c == '$':
			class[c] = classNamePart
		}
	}
	for _, c := range "+-*/<>=~!@#%^&|`?" {
		class[c] |= classOperator
	}
	for _, c := range "()[],;.:" {
		class[c] |= classPunctuation
	}
	for _, c := range "()[],;" {
		class[c] |= classSinglePunctuation
	}
	return class
}

// makeLeadClass returns the value of leadClass for each byte, derived from charClass.
func makeLeadClass() (lead [256]uint8) {
	for c, class := range charClass {
		switch {
		case class&classSpace != 0:
			lead[c] = leadSpace
		case class&classNameStart != 0:
			lead[c] = leadWord
		case class&classSinglePunctuation != 0:
			lead[c] = leadPunctuation
		case class&classDigit != 0:
			lead[c] = leadDigit
		case class&classOperator != 0:
			lead[c] = leadOperator
		}
	}
	lead['.'], lead['\''] = leadDot, leadQuote
	return lead
}

// makeLowerCase returns the value of lowerCase for each byte.
func makeLowerCase() (low [256]byte) {
	for c, class := range charClass {
		if class&classNamePart == 0 {
			continue
		}
		low[c] = byte(c)
		if c >= 'A' && c <= 'Z' {
			low[c] += 'a' - 'A'
		}
	}
	return low
}

// peek returns the byte at distance n from the current position, or 0 after the end of the text.
func (s *Scanner) peek(n int) byte {
	if s.pos+n < len(s.text) {
		return s.text[s.pos+n]
	}
	return 0
}

// invalidToken sets Err, ends the scan and returns an Invalid token.
func (s *Scanner) invalidToken(what string, at int) Token {
	s.Err = SyntaxError{codeSyntaxError, what, at}
	s.pos = len(s.text)
	return Token{Kind: Invalid, Start: at, End: len(s.text)}
}

// Next returns the next token. It skips comments and white space.
func (s *Scanner) Next() Token {
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		switch class := charClass[c]; {
		case class&classSpace != 0:
			s.pos++
			continue
		case c == '-' && s.peek(1) == '-':
			s.skipLineComment()
			continue
		case c == '/' && s.peek(1) == '*':
			from := s.pos
			if !s.skipBlockComment() {
				return s.invalidToken("the comment has no end", from)
			}
			continue
		case class&classNameStart != 0:
			return s.scanWord(c)
		case c == '\'':
			return s.scanString(s.pos, false)
		case class&classPunctuation != 0 && (c != '.' || charClass[s.peek(1)]&classDigit == 0):
			return s.scanPunctuation(c)
		case class&classDigit != 0 || c == '.':
			return s.scanNumber()
		case class&classOperator != 0:
			return s.scanOperator()
		case c == '"':
			return s.scanQuotedName(s.pos, false)
		case c == '$':
			return s.scanDollar()
		}
		return s.invalidToken(fmt.Sprintf("a character that no statement has: %q", c), s.pos)
	}
	return Token{Kind: EndOfText, Start: len(s.text), End: len(s.text)}
}

// skipComment returns the end of the comment that begins at i, or i if no comment begins there. It is not ok for a block comment
// without an end, which is a syntax error.
func (s *Scanner) skipComment(i int) (end int, ok bool) {
	if i+1 == len(s.text) {
		return i, true
	}
	switch s.pos = i; {
	case s.text[i] == '/' && s.text[i+1] == '*':
		if !s.skipBlockComment() {
			s.invalidToken("the comment has no end", i)
			return i, false
		}
	case s.text[i] == '-' && s.text[i+1] == '-':
		s.skipLineComment()
	}
	return s.pos, true
}

// skipLineComment skips a comment up to the end of its line, which is not skipped.
func (s *Scanner) skipLineComment() {
	for s.pos < len(s.text) && s.text[s.pos] != '\n' && s.text[s.pos] != '\r' {
		s.pos++
	}
}

// skipBlockComment skips a comment and the comments nested in it. It returns false if the comment has no end.
func (s *Scanner) skipBlockComment() bool {
	from := s.pos + 2
	s.pos = from
	for i, depth := from, 1; i+1 < len(s.text); i++ {
		if s.text[i] != '*' && s.text[i] != '/' {
			continue
		}
		switch {
		case s.text[i] == '/' && s.text[i+1] == '*':
			depth++
			i++
		case s.text[i] == '*' && s.text[i+1] == '/':
			i++
			if depth--; depth == 0 {
				s.pos = i + 1
				s.LastComment = [2]int{from, i - 1}
				return true
			}
		}
	}
	return false
}

// scanWord reads a name, a keyword, or a literal or quoted name with a prefix.
func (s *Scanner) scanWord(c byte) Token {
	from := s.pos
	switch next := s.peek(1); {
	case next == '\'':
		switch c {
		case 'e', 'E':
			s.pos++
			return s.scanString(from, true)
		case 'b', 'B', 'x', 'X', 'n', 'N':
			s.pos++
			return s.scanString(from, false)
		}
	case next == '&' && (c == 'u' || c == 'U'):
		switch s.peek(2) {
		case '\'':
			s.pos += 2
			return s.scanString(from, false)
		case '"':
			s.pos += 2
			return s.scanQuotedName(from, true)
		}
	}
	i := s.pos + 1
	for i < len(s.text) && charClass[s.text[i]]&classNamePart != 0 {
		i++
	}
	s.pos = i
	return Token{Kind: Word, Start: from, End: i}
}

// scanString reads a string literal whose quote is at the current position; its token begins at from. PostgreSQL joins
// literals that are separated by a line end; these are one token. escapes says that the literal has backslash escapes.
func (s *Scanner) scanString(from int, escapes bool) Token {
	t := Token{Kind: StringLiteral, Start: from}
	i := s.pos + 1
	for {
		for {
			for i < len(s.text) && s.text[i] != '\'' && s.text[i] != '\\' {
				i++
			}
			if i >= len(s.text) {
				return s.invalidToken("a quoted text has no end", from)
			}
			c := s.text[i]
			if c == '\\' {
				if escapes {
					i++
				} else if i+1 < len(s.text) && s.text[i+1] == '\'' {
					t.Ambiguous = true // with standard_conforming_strings off, the literal does not end here
				}
			} else if c == '\'' {
				if i+1 >= len(s.text) || s.text[i+1] != '\'' {
					break
				}
				i++
			}
			i++
		}
		i++
		next := s.stringContinuation(i)
		if next == 0 {
			break
		}
		i = next
	}
	s.pos, t.End = i, i
	return t
}

// stringContinuation returns the offset after the next quote if the literal that ends at i continues after a line end.
// Otherwise it returns 0.
func (s *Scanner) stringContinuation(i int) int {
	lines := false
	for i < len(s.text) {
		switch c := s.text[i]; {
		case charClass[c]&classSpace != 0:
			lines = lines || c == '\n' || c == '\r'
			i++
		case c == '-' && i+1 < len(s.text) && s.text[i+1] == '-':
			for i < len(s.text) && s.text[i] != '\n' && s.text[i] != '\r' {
				i++
			}
		case c == '\'' && lines:
			return i + 1
		default:
			return 0
		}
	}
	return 0
}

// scanQuotedName reads a name in double quotes.
func (s *Scanner) scanQuotedName(from int, unicode bool) Token {
	for i := s.pos + 1; i < len(s.text); i++ {
		if s.text[i] != '"' {
			continue
		}
		if i+1 < len(s.text) && s.text[i+1] == '"' {
			i++
			continue
		}
		s.pos = i + 1
		return Token{Kind: QuotedName, UnicodeEscaped: unicode, Start: from, End: i + 1}
	}
	return s.invalidToken("a quoted name has no end", from)
}

// scanDollar reads a positional parameter or a dollar-quoted string.
func (s *Scanner) scanDollar() Token {
	from := s.pos
	i := from + 1
	if charClass[s.peek(1)]&classDigit != 0 {
		for i < len(s.text) && charClass[s.text[i]]&classDigit != 0 {
			i++
		}
		s.pos = i
		return Token{Kind: Parameter, Start: from, End: i}
	}
	for i < len(s.text) && s.text[i] != '$' && charClass[s.text[i]]&classNamePart != 0 {
		i++
	}
	if i >= len(s.text) || s.text[i] != '$' {
		return s.invalidToken("a $ that begins nothing", from)
	}
	tag := s.text[from : i+1]
	for j := i + 1; j+len(tag) <= len(s.text); j++ {
		if s.text[j] == '$' && string(s.text[j:j+len(tag)]) == string(tag) {
			s.pos = j + len(tag)
			return Token{Kind: StringLiteral, Start: from, End: s.pos}
		}
	}
	return s.invalidToken("a text between "+string(tag[:min(len(tag), 64)])+" has no end", from)
}

// scanNumber reads a decimal number, with or without a fraction and an exponent, or a hexadecimal, octal or binary integer.
func (s *Scanner) scanNumber() Token {
	from, i := s.pos, s.pos
	for i < len(s.text) && charClass[s.text[i]]&classDigit != 0 {
		i++
	}
	if i > from && (i == len(s.text) || charClass[s.text[i]]&classNamePart == 0 && s.text[i] != '.') { // a decimal integer
		s.pos = i
		return Token{Kind: NumberLiteral, Start: from, End: i}
	}
	if isDigit := radixDigitTest(s.text[from:]); isDigit != nil {
		s.pos = s.digitsEnd(from+2, isDigit)
		return Token{Kind: NumberLiteral, Start: from, End: s.pos}
	}
	i = s.digitsEnd(from, isDecimal)
	if i < len(s.text) && s.text[i] == '.' && (i+1 == len(s.text) || s.text[i+1] != '.') {
		i = s.digitsEnd(i+1, isDecimal)
	}
	s.pos = s.exponentEnd(i)
	return Token{Kind: NumberLiteral, Start: from, End: s.pos}
}

// digitsEnd returns the end of the digits that begin at i. Single underscores may separate them.
func (s *Scanner) digitsEnd(i int, isDigit func(byte) bool) int {
	from := i
	for i < len(s.text) && (isDigit(s.text[i]) || s.text[i] == '_' && i > from && i+1 < len(s.text) && isDigit(s.text[i+1])) {
		i++
	}
	return i
}

// exponentEnd returns the end of the exponent at i, or i if there is none.
func (s *Scanner) exponentEnd(i int) int {
	if i == len(s.text) || s.text[i]|0x20 != 'e' {
		return i
	}
	from := i + 1
	if from < len(s.text) && (s.text[from] == '+' || s.text[from] == '-') {
		from++
	}
	if end := s.digitsEnd(from, isDecimal); end > from {
		return end
	}
	return i
}

// radixDigitTest returns the function that recognizes the digits of a number with the prefix 0x, 0o or 0b. It returns nil for
// any other number.
func radixDigitTest(text []byte) func(byte) bool {
	if text[0] != '0' || len(text) < 3 {
		return nil
	}
	var isDigit func(byte) bool
	switch text[1] | 0x20 {
	case 'x':
		isDigit = func(c byte) bool { return isDecimal(c) || c|0x20 >= 'a' && c|0x20 <= 'f' }
	case 'o':
		isDigit = func(c byte) bool { return c >= '0' && c <= '7' }
	case 'b':
		isDigit = func(c byte) bool { return c == '0' || c == '1' }
	}
	if isDigit == nil || !isDigit(text[2]) {
		return nil
	}
	return isDigit
}

// isDecimal reports whether a byte is a decimal digit.
func isDecimal(c byte) bool { return c >= '0' && c <= '9' }

// scanPunctuation reads a punctuation mark, or one of the operators :: and :=.
func (s *Scanner) scanPunctuation(c byte) Token {
	from := s.pos
	s.pos++
	if c == ':' && s.pos < len(s.text) && (s.text[s.pos] == ':' || s.text[s.pos] == '=') {
		s.pos++
		return Token{Kind: Operator, Start: from, End: s.pos}
	}
	return Token{Kind: Punctuation, Start: from, End: s.pos}
}

// scanOperator reads an operator: the longest run of operator characters that does not begin a comment. As in PostgreSQL, an
// operator of several characters may end in + or - only if it contains one of ~ ! @ # % ^ & | ` ?; otherwise the + or - begins
// another operator. An operator is at most 63 characters long. This limit keeps the time linear: otherwise a long run
// of operator characters could be read again from each of its characters.
func (s *Scanner) scanOperator() Token {
	from, i, mayEndInSign := s.pos, s.pos, false
	for i < len(s.text) && i < from+63 && charClass[s.text[i]]&classOperator != 0 {
		c := s.text[i]
		if i > from && i+1 < len(s.text) && (c == '-' && s.text[i+1] == '-' || c == '/' && s.text[i+1] == '*') {
			break
		}
		switch c {
		case '~', '!', '@', '#', '%', '^', '&', '|', '`', '?':
			mayEndInSign = true
		}
		i++
	}
	for !mayEndInSign && i > from+1 && (s.text[i-1] == '+' || s.text[i-1] == '-') {
		i--
	}
	s.pos = i
	return Token{Kind: Operator, Start: from, End: i}
}

// checkEncoding returns an error for the first byte that is not valid UTF-8.
func checkEncoding(text []byte) *SyntaxError {
	if utf8.Valid(text) {
		return nil
	}
	for i := 0; i < len(text); {
		r, n := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && n <= 1 {
			return &SyntaxError{codeNotInCharset, "a byte that is no UTF-8", i}
		}
		i += n
	}
	return nil
}
