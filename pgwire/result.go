package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
)

// QueryResult is what a server answered to one query: at most one row of one column or, where AnyStatement is set, the
// result of any statement.
type QueryResult struct {
	Rows          []byte // RowDescription, DataRow and CommandComplete as received
	Complete      bool   // Rows hold a whole result
	Code          string // SQLSTATE of the first error, "" for none
	Role          string // as the server reported it, "" where it did not
	AppliedMillis int64  // replication position that the server reported, Unix milliseconds
	HasApplied    bool   // AppliedMillis was reported
	LoadReport    []byte // name=value pairs separated by commas
	value         []byte
	rowMessages   int // how many of rowMessageTypes were received

	// AnyStatement allows rows in any number and of any width, or none. Set it, and MaxBytes, before the first message.
	AnyStatement  bool
	MaxBytes      int    // that Rows may hold; a longer result ends in a ResultTooLargeError
	TooLong       bool   // the result was longer and was dropped: the statement was executed
	ErrorMessage  string // of the first error
	InTransaction bool   // a transaction is left open: the connection must not serve another request
}

// rowMessageTypes are the messages of a row, in their order.
const rowMessageTypes = "TDC"

// Sizes of messages, in bytes.
const (
	headerBytes     = 5       // the type and the length before a body
	trailerBytes    = 64      // room for what follows a row
	maxControlBytes = 8 << 10 // body of a message other than a row
)

// Value returns the value of the one column of the row.
func (q *QueryResult) Value() []byte { return q.value }

// CheckMessage checks a message by its type, its length and what has come of its body; use it as Reader.CheckMessage.
// Faulty servers often keep the connection open: waiting for the rest of a message that cannot be right would take the
// request's whole time.
func (q *QueryResult) CheckMessage(typ byte, size int, begun []byte) error {
	switch typ {
	case 'T', 'D', 'C', 'I':
		if q.AnyStatement {
			return q.checkAnyMessage(typ, size)
		}
		if err := q.checkRowMessage(typ, size, begun); err != nil {
			return err
		}
	case 'Z':
		if size != 1 {
			return &ProtocolError{"a ReadyForQuery of another length"}
		}
	case 'S', 'E', 'R', 'K', 'N', 'A':
	default:
		return UnexpectedMessage(typ)
	}
	unlimited := typ == 'D' || q.AnyStatement && typ == 'E'
	if size > maxControlBytes && !unlimited {
		return tooLong(typ, size)
	}
	return nil
}

// checkRowMessage checks the messages of the one row: once each, in their order. An EmptyQueryResponse passes.
func (q *QueryResult) checkRowMessage(typ byte, size int, begun []byte) error {
	switch {
	case typ == 'I':
	case q.rowMessages == len(rowMessageTypes) || typ != rowMessageTypes[q.rowMessages] || q.Code != "":
		return outOfOrder(typ)
	case typ == 'D' && (size < 6 || len(begun) >= 6 && !isSingleColumn(begun, size)):
		return &ProtocolError{"a row that is not one column of its length"}
	}
	return nil
}

// checkAnyMessage checks the messages of the result of any statement: a description, rows and one end, or the end alone.
func (q *QueryResult) checkAnyMessage(typ byte, size int) error {
	ended := q.rowMessages == len(rowMessageTypes) || q.Code != ""
	switch {
	case ended, typ == 'T' && q.rowMessages > 0, typ == 'D' && q.rowMessages == 0, typ == 'I' && q.rowMessages > 0:
		return outOfOrder(typ)
	case typ == 'C' && size > maxControlBytes:
		return tooLong(typ, size)
	case len(q.Rows)+size > q.MaxBytes:
		return &ResultTooLargeError{q.MaxBytes}
	}
	return nil
}

func tooLong(typ byte, size int) error {
	return &ProtocolError{fmt.Sprintf("a message of type %q of %d bytes", typ, size)}
}

// isSingleColumn checks the beginning of a row: one column that takes all of it.
func isSingleColumn(b []byte, size int) bool {
	n := int32(binary.BigEndian.Uint32(b[2:]))
	return binary.BigEndian.Uint16(b) == 1 && n >= -1 && int(max(n, 0)) == size-6
}

// IsStatementError reports whether the error is about the statement itself: the server will not execute it, nor would
// another. By the classes of the SQL standard: feature, data, syntax or access, and a breach of the protocol; for any
// statement also what its data or its own code rejects, since a statement that ends so did nothing.
func (q *QueryResult) IsStatementError() bool {
	if len(q.Code) != 5 {
		return false
	}
	class := q.Code[:2]
	return q.Code == CodeProtocolViolation || slices.Contains([]string{"0A", "22", "42"}, class) ||
		q.AnyStatement && slices.Contains([]string{"21", "23", "2B", "44", "54", "P0"}, class)
}

// AddMessage adds a message; done means that the result has ended.
func (q *QueryResult) AddMessage(typ byte, body []byte) (done bool, err error) {
	if err := q.CheckMessage(typ, len(body), body); err != nil {
		return false, err
	}
	switch typ {
	case 'T', 'D', 'C', 'I':
		if q.AnyStatement {
			q.addAnyMessage(typ, body)
		} else if typ != 'I' {
			return false, q.addRowMessage(typ, body)
		}
	case 'S':
		return false, q.addParameterStatus(body)
	case 'E':
		return false, q.addError(body)
	case 'Z':
		if q.Code == "" && !q.Complete && q.rowMessages > 0 {
			return false, &ProtocolError{"an end within the row"}
		}
		q.InTransaction = q.AnyStatement && body[0] != 'I'
		return true, nil
	}
	return false, nil
}

// addRowMessage adds a message of the one row.
func (q *QueryResult) addRowMessage(typ byte, body []byte) error {
	q.rowMessages++
	q.Complete = q.rowMessages == len(rowMessageTypes)
	if typ == 'T' && (len(body) < 2 || binary.BigEndian.Uint16(body) != 1) {
		return &ProtocolError{"a row description of other than one column"}
	}
	if q.Rows == nil {
		q.Rows = make([]byte, 0, 128)
	}
	if typ == 'D' && cap(q.Rows)-len(q.Rows) < len(body)+trailerBytes { // room for the end of the result too
		q.Rows = append(make([]byte, 0, len(q.Rows)+len(body)+trailerBytes), q.Rows...)
	}
	at := q.appendToRows(typ, body)
	if typ == 'D' {
		q.value = q.Rows[at+6:]
	}
	return nil
}

// AddRowInPlace is AddMessage for a row whose body the result may take over: where the body has room for what goes before
// and after it, the result is put together in place, so that a long value is held once. taken says that the body belongs
// to the result now.
func (q *QueryResult) AddRowInPlace(body []byte) (taken bool, err error) {
	before := len(q.Rows) + headerBytes
	if q.AnyStatement || cap(body)-len(body) < before+trailerBytes {
		_, err := q.AddMessage('D', body)
		return false, err
	}
	if err := q.CheckMessage('D', len(body), body); err != nil {
		return false, err
	}
	size := len(body)
	rows := body[:before+size]
	copy(rows[before:], body)
	copy(rows, q.Rows)
	rows[len(q.Rows)] = 'D'
	binary.BigEndian.PutUint32(rows[len(q.Rows)+1:], uint32(size+4))
	q.Rows = rows
	q.value = rows[before+6:]
	q.rowMessages++
	return true, nil
}

// appendToRows appends a message to the rows and returns the offset of its body.
func (q *QueryResult) appendToRows(typ byte, body []byte) (at int) {
	q.Rows = append(q.Rows, typ)
	q.Rows = binary.BigEndian.AppendUint32(q.Rows, uint32(len(body)+4))
	at = len(q.Rows)
	q.Rows = append(q.Rows, body...)
	return at
}

// addAnyMessage adds a message of the result of any statement.
func (q *QueryResult) addAnyMessage(typ byte, body []byte) {
	switch typ {
	case 'T', 'D':
		q.rowMessages = 1
	default:
		q.rowMessages = len(rowMessageTypes)
		q.Complete = true
	}
	at := q.appendToRows(typ, body)
	if typ == 'D' && len(body) >= 6 && isSingleColumn(body, len(body)) {
		q.value = q.Rows[at+6:]
	}
}

// addError adds an ErrorResponse. The first error counts.
func (q *QueryResult) addError(body []byte) error {
	code := errorField(body, 'C')
	if len(code) != 5 {
		return &ProtocolError{"an error without a code"}
	}
	if q.Code == "" {
		q.Code = string(code)
		if q.AnyStatement {
			q.ErrorMessage = string(errorField(body, 'M'))
		}
	}
	q.Complete = false
	return nil
}

// addParameterStatus adds what a server reports of itself beside its result.
func (q *QueryResult) addParameterStatus(body []byte) error {
	name, value, ok := cutParameterStatus(body)
	if !ok {
		return &ProtocolError{"a ParameterStatus without its end"}
	}
	switch string(name) {
	case "role":
		q.Role = string(value)
	case "applied_ms":
		n, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return &ProtocolError{"applied_ms is no number"}
		}
		q.AppliedMillis, q.HasApplied = n, true
	case "load":
		q.LoadReport = append([]byte{}, value...)
	}
	return nil
}

func cutParameterStatus(body []byte) (name, value []byte, ok bool) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	value, _, ended := bytes.Cut(rest, []byte{0})
	return name, value, ok && ended
}

// errorField returns a field of an ErrorResponse, nil for none.
func errorField(body []byte, typ byte) []byte {
	for len(body) > 0 && body[0] != 0 {
		value, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return nil
		}
		if body[0] == typ {
			return value
		}
		body = rest
	}
	return nil
}
