package pgwire

import (
	"bytes"
	"time"

	"dapplerouter/sqlclass"
)

// Statement is a client's query with what its comment says. Its slices lie in the text of the query.
type Statement struct {
	text                     []byte
	timeoutStart, timeoutEnd int // offsets in text

	Empty bool
	Write bool
	Key   []byte // the first string literal, or what the comment names in its place

	// What the comment says.
	ID, RequestType, Customer []byte
	Group                     int64
	Timeout                   time.Duration // how long the client will wait, from its sending
	Retry                     bool
	After                     int64 // position of the session's last write, Unix milliseconds, 0 for none

	// Normalized and Details are set where statements are classified.
	Normalized *sqlclass.NormalizedStatement
	Details    sqlclass.Details
}

// ParseStatement parses the body of a Query message: one SELECT or INSERT with a key and a comment. An error is a
// *StatementError, after which the connection continues, or a *ProtocolError.
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

func errNoComment() error { return statementErrorf(CodeSyntaxError, "the statement has no comment") }

// queryText returns the text of a Query message, without the zero byte that ends it.
func queryText(body []byte) ([]byte, error) {
	if len(body) == 0 || body[len(body)-1] != 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return nil, &ProtocolError{"a query without its end"}
	}
	return body[:len(body)-1], nil
}

// scan finds the key, the offsets of the comment's content ({-1, -1} for none) and the end of the only statement.
func (s *Statement) scan() (comment [2]int, err error) {
	comment = [2]int{-1, -1}
	ended, begun := false, false
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
			ended = ended || begun
			i++
		case ended:
			return comment, statementErrorf(CodeSyntaxError, "more than one statement")
		case c == '\'':
			begun = true
			end := quotedEnd(t, i)
			if end < 0 {
				return comment, statementErrorf(CodeSyntaxError, "a quoted text has no end")
			}
			if s.Key == nil {
				s.Key = t[i+1 : end-1]
			}
			i = end
		default:
			begun = true
			i++
		}
	}
	s.Empty = !begun
	return comment, nil
}

// quotedEnd returns the end of the string literal that begins at i, -1 for none. Two quotes in it are one.
func quotedEnd(t []byte, i int) int {
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
