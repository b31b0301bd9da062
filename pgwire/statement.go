package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"dapplerouter/sqlclass"
)

// Statement is a client's query with what its comment says. The slices lie within the text.
type Statement struct {
	text                      []byte
	Empty                     bool
	Write                     bool
	Key                       []byte // the quoted key
	ID, RequestType, Customer []byte
	Group                     int64
	Timeout                   time.Duration // how long the client will wait, from its sending
	Retry                     bool
	After                     int64 // Unix milliseconds of the session's last write, 0 for none
	waitAt, waitEnd           int

	Normalized *sqlclass.NormalizedStatement // where statements are classed, else nil
	Details    sqlclass.Details
}

// StatementError is a statement that cannot be served; the connection lives on.
type StatementError struct{ Code, Message string }

func (m *StatementError) Error() string { return m.Message }

func malformed(code, format string, args ...any) error {
	return &StatementError{code, fmt.Sprintf(format, args...)}
}

// longestWait bounds what a comment may ask for, so that sums of spans stay spans.
const longestWait = 24 * time.Hour

// ParseStatement takes the body of a Query message apart.
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
		return s, malformed(CodeFeatureNotSupported, "only SELECT and INSERT are served here")
	}
	if comment[0] < 0 {
		return s, malformed(CodeSyntaxError, "the statement has no comment")
	}
	if s.Key == nil {
		return s, malformed(CodeSyntaxError, "the statement names no key")
	}
	return s, s.comment(comment[0], comment[1], true)
}

// queryText is the text of a Query message, without its end.
func queryText(body []byte) ([]byte, error) {
	if len(body) == 0 || body[len(body)-1] != 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return nil, &ProtocolError{"a query without its end"}
	}
	return body[:len(body)-1], nil
}

// scan finds the quoted key, the comment and the end of the only statement.
func (s *Statement) scan() (comment [2]int, err error) {
	comment = [2]int{-1, -1}
	ended, words := false, false
	t := s.text
	for i := 0; i < len(t); {
		switch c := t[i]; {
		case c == ' ' || c == '\t' || c == '\r' || c == '\n':
			i++
		case c == '/' && i+1 < len(t) && t[i+1] == '*':
			n := bytes.Index(t[i+2:], []byte("*/"))
			if n < 0 {
				return comment, malformed(CodeSyntaxError, "the comment has no end")
			}
			comment = [2]int{i + 2, i + 2 + n}
			i += n + 4
		case c == ';':
			ended = ended || words
			i++
		case ended:
			return comment, malformed(CodeSyntaxError, "more than one statement")
		case c == '\'':
			words = true
			end := i + 1
			for {
				n := bytes.IndexByte(t[end:], '\'')
				if n < 0 {
					return comment, malformed(CodeSyntaxError, "a quoted text has no end")
				}
				end += n + 1
				if end >= len(t) || t[end] != '\'' {
					break
				}
				end++
			}
			if s.Key == nil {
				s.Key = t[i+1 : end-1]
			}
			i = end
		default:
			words = true
			i++
		}
	}
	s.Empty = !words
	return comment, nil
}

func (s *Statement) comment(from, to int, typed bool) error {
	group, wait := false, false
	for at := from; at < to; {
		end := to
		if n := bytes.IndexByte(s.text[at:to], ','); n >= 0 {
			end = at + n
		}
		name, value, _ := bytes.Cut(s.text[at:end], []byte{'='})
		value = bytes.TrimSpace(value)
		var err error
		switch string(bytes.TrimSpace(name)) {
		case "id":
			s.ID = value
		case "c":
			s.RequestType = value
		case "t":
			s.Customer = value
		case "s":
			if s.Normalized != nil {
				s.Key = value
			}
		case "r":
			s.Retry = string(value) == "1"
		case "cluster":
			if s.Group, err = strconv.ParseInt(string(value), 10, 64); err != nil {
				return malformed(CodeInvalidParameterValue, "cluster is no number: %.40q", value)
			}
			group = true
		case "after":
			if s.After, err = strconv.ParseInt(string(value), 10, 64); err != nil {
				return malformed(CodeInvalidParameterValue, "after is no number: %.40q", value)
			}
		case "d":
			ms, err := strconv.ParseUint(string(value), 10, 32)
			if s.Timeout = time.Duration(ms) * time.Millisecond; err != nil || ms == 0 || s.Timeout > longestWait {
				return malformed(CodeInvalidParameterValue, "d is no span in milliseconds: %.40q", value)
			}
			after := at + len(name) + 1
			s.waitAt = after + bytes.Index(s.text[after:end], value)
			s.waitEnd = s.waitAt + len(value)
			wait = true
		}
		at = end + 1
	}
	switch {
	case len(s.ID) == 0:
		return malformed(CodeInvalidParameterValue, "the comment lacks id")
	case !wait:
		return malformed(CodeInvalidParameterValue, "the comment lacks d")
	case !group:
		return malformed(CodeInvalidParameterValue, "the comment lacks cluster")
	case typed && len(s.RequestType) == 0:
		return malformed(CodeInvalidParameterValue, "the comment lacks c")
	}
	return nil
}

// TimedQuery is a query message that tells how long its sender will wait.
type TimedQuery struct {
	Message  []byte
	from, to int // of the digits in it; 0 where it tells nothing
}

// QueryWithTimeout is the message that passes the statement on: as it came, but for how long its sender will wait.
func (s *Statement) QueryWithTimeout(wait time.Duration) TimedQuery {
	b := make([]byte, 0, len(s.text)+16)
	b = append(b, 'Q', 0, 0, 0, 0)
	b = append(b, s.text[:s.waitAt]...)
	from := len(b)
	b = strconv.AppendInt(b, milliseconds(wait), 10)
	to := len(b)
	b = append(append(b, s.text[s.waitEnd:]...), 0)
	binary.BigEndian.PutUint32(b[1:], uint32(len(b)-1))
	return TimedQuery{b, from, to}
}

// Query is Timed's message.
func (s *Statement) Query(wait time.Duration) []byte { return s.QueryWithTimeout(wait).Message }

// ShortenTimeout has the message tell a wait that is no longer than the one it told, and returns it.
func (q *TimedQuery) ShortenTimeout(wait time.Duration) []byte {
	if q.to == 0 {
		return q.Message
	}
	var digits [20]byte
	now := strconv.AppendInt(digits[:0], milliseconds(wait), 10)
	cut := q.to - q.from - len(now)
	if cut < 0 {
		return q.Message
	}
	if cut > 0 { // what stands before the digits moves up to them
		copy(q.Message[cut:], q.Message[:q.from])
		q.Message = q.Message[cut:]
		q.to -= cut
		binary.BigEndian.PutUint32(q.Message[1:], uint32(len(q.Message)-1))
	}
	copy(q.Message[q.from:q.to], now)
	return q.Message
}

// milliseconds is a wait as statements tell it: rounded up, and 1 at least.
func milliseconds(wait time.Duration) int64 {
	return max(1, int64((wait+time.Millisecond-1)/time.Millisecond))
}
