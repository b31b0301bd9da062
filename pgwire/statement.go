package pgwire

import (
	"bytes"
	"time"

	"dapplerouter/sqlclass"
)

// Statement is a client's statement with the fields of its comment. Its slices refer to the text of the query.
type Statement struct {
	text                     []byte
	timeoutStart, timeoutEnd int // offsets of the timeout's digits in text

	Empty bool   // the query contains no statement
	Write bool   // the statement writes or, if it was classified, is not known to be a read
	Key   []byte // the first string literal; if statements are classified, the comment's field s takes precedence

	// Fields of the comment.
	ID, RequestType, Customer []byte
	Group                     int64
	Timeout                   time.Duration // how long the client waits for the response, counted from when it sent the statement
	Retry                     bool          // the client marked the request as a retry
	LastWritePosition         int64         // log position of the session's last write, in Unix milliseconds; 0 for none

	// Normalized and Details are set only if statements are classified.
	Normalized *sqlclass.NormalizedStatement
	Details    sqlclass.TextDetails
}

// ParseStatement parses the body of a Query message. The statement must be a single SELECT or INSERT with a key and a
// comment. The error is a *StatementError, after which the connection continues, or a *ProtocolError.
func ParseStatement(body []byte) (s Statement, err error) {
	if s.text, err = queryText(body); err != nil {
		return s, err
	}
	comment, err := s.scan()
	if err != nil || s.Empty {
		return s, err
	}
	verb, _, _ := bytes.Cut(bytes.TrimLeft(s.text, " \t\r\n"), []byte{' '})
	switch string(bytes.ToUpper(verb)) {
	case "INSERT":
		s.Write = true
	case "SELECT":
	default:
		return s, statementErrorf(CodeFeatureNotSupported, "only SELECT and INSERT are served here")
	}
	if comment[0] < 0 {
		return s, errNoComment()
	}
	if s.Key == nil {
		return s, statementErrorf(CodeSyntaxError, "the statement names no key")
	}
	return s, s.parseComment(comment[0], comment[1], true)
}

// errNoComment returns the *StatementError for a statement without a comment.
func errNoComment() error { return statementErrorf(CodeSyntaxError, "the statement has no comment") }

// queryText returns the text in the body of a Query message, without its terminating zero byte. The text shares its memory
// with body. If body does not end with a zero byte, or has another one before, the error is a *ProtocolError.
func queryText(body []byte) ([]byte, error) {
	if len(body) == 0 || body[len(body)-1] != 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return nil, &ProtocolError{"a query without its end"}
	}
	return body[:len(body)-1], nil
}

// scan scans the text. It sets Key to the first string literal, and Empty. It returns the offsets of the content of the
// last comment, or {-1, -1} if there is none. It returns an error if the text has more than one statement.
func (s *Statement) scan() (comment [2]int, err error) {
	comment = [2]int{-1, -1}
	ended, started := false, false
	t := s.text
	for i := 0; i < len(t); {
		switch c := t[i]; {
		case c == ' ' || c == '\t' || c == '\r' || c == '\n':
			i++
		case c == '/' && i+1 < len(t) && t[i+1] == '*':
			n := bytes.Index(t[i+2:], []byte("*/"))
			if n < 0 {
				return comment, statementErrorf(CodeSyntaxError, "the comment has no end")
			}
			comment = [2]int{i + 2, i + 2 + n}
			i += n + 4
		case c == ';':
			ended = ended || started
			i++
		case ended:
			return comment, statementErrorf(CodeSyntaxError, "more than one statement")
		case c == '\'':
			started = true
			end := stringLiteralEnd(t, i)
			if end < 0 {
				return comment, statementErrorf(CodeSyntaxError, "a quoted text has no end")
			}
			if s.Key == nil {
				s.Key = t[i+1 : end-1]
			}
			i = end
		default:
			started = true
			i++
		}
	}
	s.Empty = !started
	return comment, nil
}

// stringLiteralEnd returns the offset behind the string literal that begins at i, or -1 if the literal has no closing
// quote. A doubled quote within the literal stands for one quote.
func stringLiteralEnd(t []byte, i int) int {
	end := i + 1
	for {
		n := bytes.IndexByte(t[end:], '\'')
		if n < 0 {
			return -1
		}
		end += n + 1
		if end >= len(t) || t[end] != '\'' {
			return end
		}
		end++
	}
}
