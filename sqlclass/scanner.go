package sqlclass

import "fmt"

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
