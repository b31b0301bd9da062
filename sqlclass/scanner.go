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
	Invalid                 // the scanner's Err says why; nothing comes after it
	Word                    // a name or keyword without quotes
	QuotedName              // "a name" or U&"a name"
	StringLiteral           // with any of the quotings: plain, E, B, X, N, U& or between dollar tags
	NumberLiteral
	Parameter   // $1
	Operator    // an operator of one or more characters
	Punctuation // one of ( ) [ ] , ; . :
)

// Token is a piece of a statement's text, from Start up to End.
type Token struct {
	Kind           TokenKind
	Ambiguous      bool // StringLiteral whose end depends on a setting of the server
	UnicodeEscaped bool // QuotedName with U&: its characters are escaped
	Start, End     int
}

// SyntaxError is what makes a text no statement.
type SyntaxError struct {
	Code    string // SQLSTATE, as PostgreSQL's servers give it
	Message string
	Offset  int // of the byte where it begins
}

// Error returns the message with its offset; it is sent to clients.
func (e *SyntaxError) Error() string { return fmt.Sprintf("%s at byte %d", e.Message, e.Offset) }

// SQLSTATEs of a SyntaxError.
const (
	codeSyntaxError  = "42601"
	codeNotInCharset = "22021" // character_not_in_repertoire
)

// Scanner cuts a text into tokens as PostgreSQL's own lexer does with standard_conforming_strings on (section 4.1,
// "Lexical Structure", of its manual). It allocates nothing and never backs up over more than one token.
type Scanner struct {
	text []byte
	pos  int

	Err         SyntaxError // set once a token is Invalid
	LastComment [2]int      // the content of the last block comment passed, {-1, -1} for none
}

// Reset begins a new text.
func (s *Scanner) Reset(text []byte) { *s = Scanner{text: text, LastComment: [2]int{-1, -1}} }

// Classes of bytes, as bits of charClass.
const (
	classSpace     = 1 << iota
	classNameStart // begins a name
	classNamePart  // may follow in a name
	classDigit
	classOperator
	classPunctuation
	classSinglePunctuation // begins nothing longer than itself
)

// What a byte may begin, as values of leadClass.
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

// What a byte is and may begin, by byte.
var (
	charClass = makeCharClass()
	leadClass = makeLeadClass()
	lowerCase = makeLowerCase() // a name's bytes in lower case, 0 for what no name has
)

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

// peek returns the byte n after the present one, 0 at the end.
func (s *Scanner) peek(n int) byte {
	if s.pos+n < len(s.text) {
		return s.text[s.pos+n]
	}
	return 0
}

func (s *Scanner) invalid(what string, at int) Token {
	s.Err = SyntaxError{codeSyntaxError, what, at}
	s.pos = len(s.text)
	return Token{Kind: Invalid, Start: at, End: len(s.text)}
}

// Next returns the next token; comments and spaces are skipped.
func (s *Scanner) Next() Token {
	for s.pos < len(s.text) {
		c := s.text[s.pos]
		switch class := charClass[c]; {
		case class&classSpace != 0:
			s.pos++
			continue
		case c == '-' && s.peek(1) == '-':
			s.lineComment()
			continue
		case c == '/' && s.peek(1) == '*':
			from := s.pos
			if !s.blockComment() {
				return s.invalid("the comment has no end", from)
			}
			continue
		case class&classNameStart != 0:
			return s.word(c)
		case c == '\'':
			return s.literal(s.pos, false)
		case class&classPunctuation != 0 && (c != '.' || charClass[s.peek(1)]&classDigit == 0):
			return s.punctuation(c)
		case class&classDigit != 0 || c == '.':
			return s.number()
		case class&classOperator != 0:
			return s.operator()
		case c == '"':
			return s.quotedName(s.pos, false)
		case c == '$':
			return s.dollarQuoted()
		}
		return s.invalid(fmt.Sprintf("a character that no statement has: %q", c), s.pos)
	}
	return Token{Kind: EndOfText, Start: len(s.text), End: len(s.text)}
}

// skipComment returns the end of the comment that begins at i, or i where none does; ok is false for one without end.
func (s *Scanner) skipComment(i int) (end int, ok bool) {
	if i+1 == len(s.text) {
		return i, true
	}
	switch s.pos = i; {
	case s.text[i] == '/' && s.text[i+1] == '*':
		if !s.blockComment() {
			s.invalid("the comment has no end", i)
			return i, false
		}
	case s.text[i] == '-' && s.text[i+1] == '-':
		s.lineComment()
	}
	return s.pos, true
}

func (s *Scanner) lineComment() {
	for s.pos < len(s.text) && s.text[s.pos] != '\n' && s.text[s.pos] != '\r' {
		s.pos++
	}
}

// blockComment skips a comment and those nested in it; false where it has no end.
func (s *Scanner) blockComment() bool {
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

// word reads a name, or a literal with a letter before its quote.
func (s *Scanner) word(c byte) Token {
	from := s.pos
	switch next := s.peek(1); {
	case next == '\'':
		switch c {
		case 'e', 'E':
			s.pos++
			return s.literal(from, true)
		case 'b', 'B', 'x', 'X', 'n', 'N':
			s.pos++
			return s.literal(from, false)
		}
	case next == '&' && (c == 'u' || c == 'U'):
		switch s.peek(2) {
		case '\'':
			s.pos += 2
			return s.literal(from, false)
		case '"':
			s.pos += 2
			return s.quotedName(from, true)
		}
	}
	i := s.pos + 1
	for i < len(s.text) && charClass[s.text[i]]&classNamePart != 0 {
		i++
	}
	s.pos = i
	return Token{Kind: Word, Start: from, End: i}
}

// literal reads a string literal from its quote on, with the pieces that line ends separate.
func (s *Scanner) literal(from int, escapes bool) Token {
	t := Token{Kind: StringLiteral, Start: from}
	i := s.pos + 1
	for {
		for {
			for i < len(s.text) && s.text[i] != '\'' && s.text[i] != '\\' {
				i++
			}
			if i >= len(s.text) {
				return s.invalid("a quoted text has no end", from)
			}
			c := s.text[i]
			if c == '\\' {
				if escapes {
					i++
				} else if i+1 < len(s.text) && s.text[i+1] == '\'' {
					t.Ambiguous = true // where standard_conforming_strings is off, the literal continues here
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
		next := s.continued(i)
		if next == 0 {
			break
		}
		i = next
	}
	s.pos, t.End = i, i
	return t
}

// continued returns where a literal continues after a line end, which is after the next quote, or 0.
func (s *Scanner) continued(i int) int {
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

// quotedName reads a name between double quotes.
func (s *Scanner) quotedName(from int, unicode bool) Token {
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
	return s.invalid("a quoted name has no end", from)
}

// dollarQuoted reads $1, or a literal between two equal tags.
func (s *Scanner) dollarQuoted() Token {
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
		return s.invalid("a $ that begins nothing", from)
	}
	tag := s.text[from : i+1]
	for j := i + 1; j+len(tag) <= len(s.text); j++ {
		if s.text[j] == '$' && string(s.text[j:j+len(tag)]) == string(tag) {
			s.pos = j + len(tag)
			return Token{Kind: StringLiteral, Start: from, End: s.pos}
		}
	}
	return s.invalid("a text between "+string(tag[:min(len(tag), 64)])+" has no end", from)
}

// number reads a number: decimal, with a fraction and exponent, or hexadecimal, octal or binary.
func (s *Scanner) number() Token {
	from, i := s.pos, s.pos
	for i < len(s.text) && charClass[s.text[i]]&classDigit != 0 {
		i++
	}
	if i > from && (i == len(s.text) || charClass[s.text[i]]&classNamePart == 0 && s.text[i] != '.') { // as most are
		s.pos = i
		return Token{Kind: NumberLiteral, Start: from, End: i}
	}
	if isDigit := radixDigits(s.text[from:]); isDigit != nil {
		s.pos = s.digits(from+2, isDigit)
		return Token{Kind: NumberLiteral, Start: from, End: s.pos}
	}
	i = s.digits(from, isDecimal)
	if i < len(s.text) && s.text[i] == '.' && (i+1 == len(s.text) || s.text[i+1] != '.') {
		i = s.digits(i+1, isDecimal)
	}
	s.pos = s.exponent(i)
	return Token{Kind: NumberLiteral, Start: from, End: s.pos}
}

// digits returns the end of the digits from i on, which single underscores may separate.
func (s *Scanner) digits(i int, isDigit func(byte) bool) int {
	from := i
	for i < len(s.text) && (isDigit(s.text[i]) || s.text[i] == '_' && i > from && i+1 < len(s.text) && isDigit(s.text[i+1])) {
		i++
	}
	return i
}

// exponent returns the end of the exponent at i, or i where there is none.
func (s *Scanner) exponent(i int) int {
	if i == len(s.text) || s.text[i]|0x20 != 'e' {
		return i
	}
	from := i + 1
	if from < len(s.text) && (s.text[from] == '+' || s.text[from] == '-') {
		from++
	}
	if end := s.digits(from, isDecimal); end > from {
		return end
	}
	return i
}

// radixDigits returns what is a digit of a number that begins with 0x, 0o or 0b, nil for any other number.
func radixDigits(text []byte) func(byte) bool {
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

func isDecimal(c byte) bool { return c >= '0' && c <= '9' }

// punctuation reads one character, but :: and := are one operator each.
func (s *Scanner) punctuation(c byte) Token {
	from := s.pos
	s.pos++
	if c == ':' && s.pos < len(s.text) && (s.text[s.pos] == ':' || s.text[s.pos] == '=') {
		s.pos++
		return Token{Kind: Operator, Start: from, End: s.pos}
	}
	return Token{Kind: Punctuation, Start: from, End: s.pos}
}

// operator reads an operator: as far as its characters go, but not into a comment. As in PostgreSQL, one that ends
// in + or - must have one of ~ ! @ # % ^ & | ` ? in it, or the end is an operator of its own; and none is longer than 63
// characters, so that no run of operator characters is read again from each of them.
func (s *Scanner) operator() Token {
	from, i, odd := s.pos, s.pos, false
	for i < len(s.text) && i < from+63 && charClass[s.text[i]]&classOperator != 0 {
		c := s.text[i]
		if i > from && i+1 < len(s.text) && (c == '-' && s.text[i+1] == '-' || c == '/' && s.text[i+1] == '*') {
			break
		}
		switch c {
		case '~', '!', '@', '#', '%', '^', '&', '|', '`', '?':
			odd = true
		}
		i++
	}
	for !odd && i > from+1 && (s.text[i-1] == '+' || s.text[i-1] == '-') {
		i--
	}
	s.pos = i
	return Token{Kind: Operator, Start: from, End: i}
}

// checkEncoding finds the first byte that is not valid UTF-8.
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
