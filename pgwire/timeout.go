package pgwire

import (
	"encoding/binary"
	"strconv"
	"time"
)

// TimedQuery is a Query message whose comment contains the timeout of the request. It can be sent behind an empty query.
type TimedQuery struct {
	messages   []byte // an empty query, and then the Query message
	start, end int    // offsets of the timeout's digits in messages; 0 if the Query message has none
	timeout    int64  // the timeout that the Query message gives, in milliseconds
}

// UntimedQuery returns a Query message of a statement without a timeout.
func UntimedQuery(statement string) TimedQuery {
	return TimedQuery{messages: AppendQuery(append([]byte{}, emptyQuery...), statement)}
}

// Message returns the Query message.
func (q *TimedQuery) Message() []byte { return q.messages[len(emptyQuery):] }

// MessageAfterEmptyQuery returns an empty query and the Query message.
func (q *TimedQuery) MessageAfterEmptyQuery() []byte { return q.messages }

// QueryWithTimeout returns the Query message that forwards the statement. It differs from the received text only in the
// timeout, which is given in whole milliseconds, rounded up.
func (s *Statement) QueryWithTimeout(timeout time.Duration) TimedQuery {
	b := make([]byte, 0, len(emptyQuery)+len(s.text)+16)
	b = append(b, emptyQuery...)
	b = append(b, 'Q', 0, 0, 0, 0)
	b = append(b, s.text[:s.timeoutStart]...)
	start := len(b)
	rounded := milliseconds(timeout)
	b = strconv.AppendInt(b, rounded, 10)
	end := len(b)
	b = append(append(b, s.text[s.timeoutEnd:]...), 0)
	q := TimedQuery{messages: b, start: start, end: end, timeout: rounded}
	q.setLength()
	return q
}

// setLength sets the length in the header of the Query message.
func (q *TimedQuery) setLength() {
	message := q.Message()
	binary.BigEndian.PutUint32(message[1:], uint32(len(message)-1))
}

// QueryMessage returns the same message as QueryWithTimeout, as bytes.
func (s *Statement) QueryMessage(timeout time.Duration) []byte {
	q := s.QueryWithTimeout(timeout)
	return q.Message()
}

// ShortenTimeout replaces the timeout in place and returns the Query message. The message gives it in whole milliseconds: it
// is rounded up, and at least 1. A timeout that is not shorter than the present one is ignored. A message without a timeout
// stays as it is. Messages that were returned before are invalid afterwards.
func (q *TimedQuery) ShortenTimeout(timeout time.Duration) []byte {
	rounded := milliseconds(timeout)
	if q.end == 0 || rounded >= q.timeout {
		return q.Message()
	}
	var buffer [20]byte
	digits := strconv.AppendInt(buffer[:0], rounded, 10)
	if cut := q.end - q.start - len(digits); cut > 0 { // move the part before the digits up to the new, shorter digits
		copy(q.messages[cut:], q.messages[:q.start])
		q.messages = q.messages[cut:]
		q.end -= cut
		q.setLength()
	}
	copy(q.messages[q.start:q.end], digits)
	q.timeout = rounded
	return q.Message()
}

// milliseconds converts a timeout to the unit of comments. It rounds up and returns at least 1.
func milliseconds(timeout time.Duration) int64 {
	return max(1, int64((timeout+time.Millisecond-1)/time.Millisecond))
}
