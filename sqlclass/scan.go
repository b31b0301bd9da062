package sqlclass

import (
	"fmt"
	"unicode/utf8"
)

// TokenKind is the sort of a token.
type TokenKind uint8

const (
	EndOfText     TokenKind = iota
	Invalid                 // the scanner's Err tells why; nothing comes after it
	Word                    // a name or keyword without quotes
	QuotedName              // "a name" or U&"a name"
	StringLiteral           // a literal in any of the quotings: '', E”, B”, X”, N”, U&”, $tag$
	NumberLiteral
	Parameter   // $1
	Operator    // an operator of one or more characters
	Punctuation // one of ( ) [ ] , ; . :
)

// Token is a piece of a statement's text, from its first byte up to To.
type Token struct {
	Kind           TokenKind
	Ambiguous      bool // Text whose end depends on a setting of the server
	UnicodeEscaped bool // Quoted with U&: what it names can't be read off its bytes
	Start, End     int
}

// SyntaxError is what makes a text no statement; At is the offset of the byte where it begins.
type SyntaxError struct {
	Code    string // as PostgreSQL's servers give it
	Message string
	Offset  int
}

func (f *SyntaxError) Error() string { return fmt.Sprintf("%s at byte %d", f.Message, f.Offset) }

// Codes of faults.
const (
	badSyntax   = "42601"
	badEncoding = "22021"
)

// Scanner cuts a text into tokens as PostgreSQL's own lexer does with standard_conforming_strings on (section 4.1,
// "Lexical Structure", of its manual). It allocates nothing and never backs up over more than one token.
type Scanner struct {
	text []byte
	at   int

	Err         SyntaxError // set once a token is Broken
	LastComment [2]int      // the inside of the last block comment passed, {-1, -1} for none
}

// Reset begins a text.
func (s *Scanner) Reset(text []byte) { *s = Scanner{text: text, LastComment: [2]int{-1, -1}} }

const (
	cSpace = 1 << iota
	cStart // of a name
	cInner // of a name
	cDigit
	cSign
	cMark
	cPlain // a mark that begins nothing longer
)

var (
	charClass [256]uint8
	lead      [256]uint8 // what a byte may begin
	folded    [256]byte  // a name's bytes in lower case, 0 for what no name has
)

const (
	leadOther = iota
	leadSpace
	leadWord
	leadMark
	leadDot
	leadDigit
	leadQuote
	leadSign
)

func init() {
	for c := range charClass {
		switch {
		case c == ' ' || c >= '\t' && c <= '\r':
			charClass[c] = cSpace
		case c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80:
			charClass[c] = cStart | cInner
		case c >= '0' && c <= '9':
			charClass[c] = cDigit | cInner
		case c == '$':
			charClass[c] = cInner
		}
	}
	for _, c := range "+-*/<>=~!@#%^&|`?" {
		charClass[c] |= cSign
	}
	lead['.'], lead['\''] = leadDot, leadQuote
	for _, c := range "()[],;.:" {
		charClass[c] |= cMark
	}
	for _, c := range "()[],;" {
		charClass[c] |= cPlain
	}
	for c := range charClass {
		switch class := charClass[c]; {
		case class&cSpace != 0:
			lead[c] = leadSpace
		case class&cStart != 0:
			lead[c] = leadWord
		case class&cPlain != 0:
			lead[c] = leadMark
		case class&cDigit != 0:
			lead[c] = leadDigit
		case class&cSign != 0:
			lead[c] = leadSign
		}
		if charClass[c]&cInner != 0 {
			folded[c] = byte(c)
			if c >= 'A' && c <= 'Z' {
				folded[c] += 'a' - 'A'
			}
		}
	}
}

func (s *Scanner) peek(n int) byte {
	if s.at+n < len(s.text) {
		return s.text[s.at+n]
	}
	return 0
}

func (s *Scanner) broken(what string, at int) Token {
	s.Err = SyntaxError{badSyntax, what, at}
	s.at = len(s.text)
	return Token{Kind: Invalid, Start: at, End: len(s.text)}
}

// Next gives the next token; comments and spaces are passed over.
func (s *Scanner) Next() Token {
	for s.at < len(s.text) {
		c := s.text[s.at]
		switch class := charClass[c]; {
		case class&cSpace != 0:
			s.at++
			continue
		case c == '-' && s.peek(1) == '-':
			s.line()
			continue
		case c == '/' && s.peek(1) == '*':
			from := s.at
			if !s.block() {
				return s.broken("the comment has no end", from)
			}
			continue
		case class&cStart != 0:
			return s.word(c)
		case c == '\'':
			return s.literal(s.at, false)
		case class&cMark != 0 && !(c == '.' && charClass[s.peek(1)]&cDigit != 0):
			return s.mark(c)
		case class&cDigit != 0 || c == '.':
			return s.number()
		case class&cSign != 0:
			return s.sign()
		case c == '"':
			return s.quoted(s.at, false)
		case c == '$':
			return s.dollar()
		}
		return s.broken(fmt.Sprintf("a character that no statement has: %q", c), s.at)
	}
	return Token{Kind: EndOfText, Start: len(s.text), End: len(s.text)}
}

func (s *Scanner) line() {
	for s.at < len(s.text) && s.text[s.at] != '\n' && s.text[s.at] != '\r' {
		s.at++
	}
}

// block passes over a comment and those within it.
func (s *Scanner) block() bool {
	from := s.at + 2
	s.at = from
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
				s.at = i + 1
				s.LastComment = [2]int{from, i - 1}
				return true
			}
		}
	}
	return false
}

// word takes a name, or a literal with a letter before its quote.
func (s *Scanner) word(c byte) Token {
	from := s.at
	switch next := s.peek(1); {
	case next == '\'':
		switch c {
		case 'e', 'E':
			s.at++
			return s.literal(from, true)
		case 'b', 'B', 'x', 'X', 'n', 'N':
			s.at++
			return s.literal(from, false)
		}
	case next == '&' && (c == 'u' || c == 'U'):
		switch s.peek(2) {
		case '\'':
			s.at += 2
			return s.literal(from, false)
		case '"':
			s.at += 2
			return s.quoted(from, true)
		}
	}
	i := s.at + 1
	for i < len(s.text) && charClass[s.text[i]]&cInner != 0 {
		i++
	}
	s.at = i
	return Token{Kind: Word, Start: from, End: i}
}

// literal takes a text from its quote on, with the pieces that a line's end sets apart.
func (s *Scanner) literal(from int, escapes bool) Token {
	t := Token{Kind: StringLiteral, Start: from}
	i := s.at + 1
	for {
		for {
			for i < len(s.text) && s.text[i] != '\'' && s.text[i] != '\\' {
				i++
			}
			if i >= len(s.text) {
				return s.broken("a quoted text has no end", from)
			}
			c := s.text[i]
			if c == '\\' {
				if escapes {
					i++
				} else if i+1 < len(s.text) && s.text[i+1] == '\'' {
					t.Ambiguous = true // where standard_conforming_strings is off, the text goes on here
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
	s.at, t.End = i, i
	return t
}

// continued finds where a literal goes on after a line's end: behind the next quote, or 0.
func (s *Scanner) continued(i int) int {
	lines := false
	for i < len(s.text) {
		switch c := s.text[i]; {
		case charClass[c]&cSpace != 0:
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

func (s *Scanner) quoted(from int, unicode bool) Token {
	for i := s.at + 1; i < len(s.text); i++ {
		if s.text[i] != '"' {
			continue
		}
		if i+1 < len(s.text) && s.text[i+1] == '"' {
			i++
			continue
		}
		s.at = i + 1
		return Token{Kind: QuotedName, UnicodeEscaped: unicode, Start: from, End: i + 1}
	}
	return s.broken("a quoted name has no end", from)
}

// dollar takes $1, or a literal between two like tags.
func (s *Scanner) dollar() Token {
	from := s.at
	i := from + 1
	if charClass[s.peek(1)]&cDigit != 0 {
		for i < len(s.text) && charClass[s.text[i]]&cDigit != 0 {
			i++
		}
		s.at = i
		return Token{Kind: Parameter, Start: from, End: i}
	}
	for i < len(s.text) && s.text[i] != '$' && charClass[s.text[i]]&cInner != 0 {
		i++
	}
	if i >= len(s.text) || s.text[i] != '$' {
		return s.broken("a $ that begins nothing", from)
	}
	tag := s.text[from : i+1]
	for j := i + 1; j+len(tag) <= len(s.text); j++ {
		if s.text[j] == '$' && string(s.text[j:j+len(tag)]) == string(tag) {
			s.at = j + len(tag)
			return Token{Kind: StringLiteral, Start: from, End: s.at}
		}
	}
	return s.broken("a text between "+string(tag[:min(len(tag), 64)])+" has no end", from)
}

func (s *Scanner) number() Token {
	from, i := s.at, s.at
	for i < len(s.text) && charClass[s.text[i]]&cDigit != 0 {
		i++
	}
	if i > from && (i == len(s.text) || charClass[s.text[i]]&cInner == 0 && s.text[i] != '.') { // as most are
		s.at = i
		return Token{Kind: NumberLiteral, Start: from, End: i}
	}
	i = from
	digits := func(more func(byte) bool) bool {
		at := i
		for i < len(s.text) && (more(s.text[i]) || s.text[i] == '_' && i > at && i+1 < len(s.text) && more(s.text[i+1])) {
			i++
		}
		return i > at
	}
	decimal := func(c byte) bool { return c >= '0' && c <= '9' }
	if s.text[i] == '0' && i+2 < len(s.text) {
		var of func(byte) bool
		switch s.text[i+1] | 0x20 {
		case 'x':
			of = func(c byte) bool { return decimal(c) || c|0x20 >= 'a' && c|0x20 <= 'f' }
		case 'o':
			of = func(c byte) bool { return c >= '0' && c <= '7' }
		case 'b':
			of = func(c byte) bool { return c == '0' || c == '1' }
		}
		if of != nil && of(s.text[i+2]) {
			i += 2
			digits(of)
			s.at = i
			return Token{Kind: NumberLiteral, Start: from, End: i}
		}
	}
	digits(decimal)
	if i < len(s.text) && s.text[i] == '.' && !(i+1 < len(s.text) && s.text[i+1] == '.') {
		i++
		digits(decimal)
	}
	if i < len(s.text) && s.text[i]|0x20 == 'e' {
		stop := i
		i++
		if i < len(s.text) && (s.text[i] == '+' || s.text[i] == '-') {
			i++
		}
		if !digits(decimal) {
			i = stop
		}
	}
	s.at = i
	return Token{Kind: NumberLiteral, Start: from, End: i}
}

// mark takes one character, but :: and := are one sign each.
func (s *Scanner) mark(c byte) Token {
	from := s.at
	s.at++
	if c == ':' && s.at < len(s.text) && (s.text[s.at] == ':' || s.text[s.at] == '=') {
		s.at++
		return Token{Kind: Operator, Start: from, End: s.at}
	}
	return Token{Kind: Punctuation, Start: from, End: s.at}
}

// sign takes an operator: as far as its characters go, but not into a comment. As in PostgreSQL, one that ends
// in + or - must have one of ~ ! @ # % ^ & | ` ? in it, or the end is an operator of its own; and none is longer than 63
// characters, so that no row of signs is looked at again from each of them.
func (s *Scanner) sign() Token {
	from, i, odd := s.at, s.at, false
	for i < len(s.text) && i < from+63 && charClass[s.text[i]]&cSign != 0 {
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
	s.at = i
	return Token{Kind: Operator, Start: from, End: i}
}

// checkEncoding finds the first byte that is no UTF-8, or that no text may hold.
func checkEncoding(text []byte) *SyntaxError {
	if utf8.Valid(text) {
		return nil
	}
	for i := 0; i < len(text); {
		r, n := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && n <= 1 {
			return &SyntaxError{badEncoding, "a byte that is no UTF-8", i}
		}
		i += n
	}
	return nil
}
