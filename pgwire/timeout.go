package pgwire

import (
	"encoding/binary"
	"strconv"
	"time"
)

// TimedQuery is a Query message whose comment says how long its sender will wait.
type TimedQuery struct {
	Message    []byte
	start, end int // offsets of the digits of the timeout in Message; 0 where there are none
}

// QueryWithTimeout returns the message that forwards the statement: as it came, but with another timeout.
func (s *Statement) QueryWithTimeout(timeout time.Duration) TimedQuery {
	b := make([]byte, 0, len(s.text)+16)
	b = append(b, 'Q', 0, 0, 0, 0)
	b = append(b, s.text[:s.timeoutStart]...)
	start := len(b)
	b = strconv.AppendInt(b, milliseconds(timeout), 10)
	end := len(b)
	b = append(append(b, s.text[s.timeoutEnd:]...), 0)
	binary.BigEndian.PutUint32(b[1:], uint32(len(b)-1))
	return TimedQuery{b, start, end}
}

// Query returns the message of QueryWithTimeout.
func (s *Statement) Query(timeout time.Duration) []byte { return s.QueryWithTimeout(timeout).Message }

// ShortenTimeout replaces the timeout by one that is not longer, in place, and returns the message. A longer one is
// ignored.
func (q *TimedQuery) ShortenTimeout(timeout time.Duration) []byte {
	if q.end == 0 {
		return q.Message
	}
	var buffer [20]byte
	digits := strconv.AppendInt(buffer[:0], milliseconds(timeout), 10)
	cut := q.end - q.start - len(digits)
	if cut < 0 {
		return q.Message
	}
	if cut > 0 { // what stands before the digits moves up to them
		copy(q.Message[cut:], q.Message[:q.start])
		q.Message = q.Message[cut:]
		q.end -= cut
		binary.BigEndian.PutUint32(q.Message[1:], uint32(len(q.Message)-1))
	}
	copy(q.Message[q.start:q.end], digits)
	return q.Message
}

// milliseconds returns a timeout as comments have it: rounded up, and 1 at least.
func milliseconds(timeout time.Duration) int64 {
	return max(1, int64((timeout+time.Millisecond-1)/time.Millisecond))
}
