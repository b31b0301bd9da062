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
