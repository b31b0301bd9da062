package pgwire

import (
	"encoding/binary"
	"strconv"
	"time"
)

// TimedQuery is a Query message whose comment contains the timeout of the request.
type TimedQuery struct {
	Message    []byte
	start, end int   // offsets of the timeout's digits in Message; 0 if it has none
	timeout    int64 // the timeout that Message gives, in milliseconds
}

// QueryWithTimeout returns the Query message that forwards the statement. It differs from the received text only in the
// timeout, which is given in whole milliseconds, rounded up.
func (s *Statement) QueryWithTimeout(timeout time.Duration) TimedQuery {
	b := make([]byte, 0, len(s.text)+16)
	b = append(b, 'Q', 0, 0, 0, 0)
	b = append(b, s.text[:s.timeoutStart]...)
	start := len(b)
	rounded := milliseconds(timeout)
	b = strconv.AppendInt(b, rounded, 10)
	end := len(b)
	b = append(append(b, s.text[s.timeoutEnd:]...), 0)
	binary.BigEndian.PutUint32(b[1:], uint32(len(b)-1))
	return TimedQuery{Message: b, start: start, end: end, timeout: rounded}
}

// QueryMessage returns the same message as QueryWithTimeout, as bytes.
func (s *Statement) QueryMessage(timeout time.Duration) []byte {
	return s.QueryWithTimeout(timeout).Message
}

// ShortenTimeout replaces the timeout in place and returns the message. The message gives it in whole milliseconds: it is
// rounded up, and at least 1. A timeout that is not shorter than the present one is ignored. A message without a timeout stays as
// it is.
func (q *TimedQuery) ShortenTimeout(timeout time.Duration) []byte {
	rounded := milliseconds(timeout)
	if q.end == 0 || rounded >= q.timeout {
		return q.Message
	}
	var buffer [20]byte
	digits := strconv.AppendInt(buffer[:0], rounded, 10)
	if cut := q.end - q.start - len(digits); cut > 0 { // move the part before the digits up to the new, shorter digits
		copy(q.Message[cut:], q.Message[:q.start])
		q.Message = q.Message[cut:]
		q.end -= cut
		binary.BigEndian.PutUint32(q.Message[1:], uint32(len(q.Message)-1))
	}
	copy(q.Message[q.start:q.end], digits)
	q.timeout = rounded
	return q.Message
}

// milliseconds converts a timeout to the unit of comments. It rounds up and returns at least 1.
func milliseconds(timeout time.Duration) int64 {
	return max(1, int64((timeout+time.Millisecond-1)/time.Millisecond))
}
