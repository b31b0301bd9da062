package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
)

// QueryResult is a server's response to one query: at most one row of one column or, if AnyStatement is set, the result of
// any statement.
type QueryResult struct {
	Rows          []byte // RowDescription, DataRow and CommandComplete messages as received
	Complete      bool   // Rows holds a complete result
	Code          string // SQLSTATE of the first error, "" if there was none
	Role          string // the role that the server reported, "" if it reported none
	AppliedMillis int64  // log position that the server reported, in Unix milliseconds
	HasApplied    bool   // whether AppliedMillis was reported
	LoadReport    []byte // name=value pairs separated by commas
	value         []byte
	rowMessages   int // how many of rowMessageTypes were received; with AnyStatement 0 for none, 1 for a part and all for a complete result

	// AnyStatement allows any number of rows with any number of columns. Set it and MaxBytes before the first message.
	AnyStatement  bool
	MaxBytes      int    // maximum length of Rows; a longer result causes a ResultTooLargeError
	TooLong       bool   // the result exceeded MaxBytes and was dropped, although the statement was executed
	ErrorMessage  string // message of the first error
	InTransaction bool   // the statement left a transaction open, so the connection must not serve another request
}

// rowMessageTypes are the types of the messages of a result with one row, in their order: RowDescription, DataRow and
// CommandComplete.
const rowMessageTypes = "TDC"

// Sizes of messages, in bytes.
const (
	headerBytes     = 5       // the type and the length that precede a body
	trailerBytes    = 64      // spare capacity for the messages that follow a row
	maxControlBytes = 8 << 10 // maximum length of the body of a message other than a row
)

// Value returns the value of the row's only column. With AnyStatement it is that of the last row that has a single column.
func (q *QueryResult) Value() []byte { return q.value }

// CheckMessage checks a message by its type, its length and the received part of its body. It is meant to be used as
// Reader.CheckMessage. Faulty servers often keep the connection open, so waiting for the rest of an invalid message would
// use up the whole time of the request.
func (q *QueryResult) CheckMessage(typ byte, size int, received []byte) error {
	switch typ {
	case 'T', 'D', 'C':
		if q.AnyStatement {
			return q.checkAnyStatementMessage(typ, size)
		}
		if err := q.checkSingleRowMessage(typ, size, received); err != nil {
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
		return messageTooLong(typ, size)
	}
	return nil
}

// checkSingleRowMessage checks a message of a result with one row: each type may come once, in the order of
// rowMessageTypes, and not after an error.
func (q *QueryResult) checkSingleRowMessage(typ byte, size int, received []byte) error {
	switch {
	case q.rowMessages == len(rowMessageTypes) || typ != rowMessageTypes[q.rowMessages] || q.Code != "":
		return outOfOrder(typ)
	case typ == 'D' && (size < 6 || len(received) >= 6 && !isSingleColumn(received, size)):
		return &ProtocolError{"a row that is not one column of its length"}
	}
	return nil
}

// checkAnyStatementMessage checks a message of the result of any statement: a RowDescription, rows and a CommandComplete, or
// a CommandComplete alone.
func (q *QueryResult) checkAnyStatementMessage(typ byte, size int) error {
	ended := q.rowMessages == len(rowMessageTypes) || q.Code != ""
	switch {
	case ended, typ == 'T' && q.rowMessages > 0, typ == 'D' && q.rowMessages == 0:
		return outOfOrder(typ)
	case typ == 'C' && size > maxControlBytes:
		return messageTooLong(typ, size)
	case len(q.Rows)+size > q.MaxBytes:
		return &ResultTooLargeError{q.MaxBytes}
	}
	return nil
}

// messageTooLong returns the error for a message that exceeds maxControlBytes.
func messageTooLong(typ byte, size int) error {
	return &ProtocolError{fmt.Sprintf("a message of type %q of %d bytes", typ, size)}
}

// isSingleColumn reports whether b begins the body of a DataRow message of size bytes that consists of one column. b must
// hold at least 6 bytes.
func isSingleColumn(b []byte, size int) bool {
	n := int32(binary.BigEndian.Uint32(b[2:]))
	return binary.BigEndian.Uint16(b) == 1 && n >= -1 && int(max(n, 0)) == size-6
}

// IsStatementError reports whether the statement itself caused the error, so that no other server would execute it either.
// These are the classes 0A (feature not supported), 22 (data exception) and 42 (syntax error or access rule violation) of
// the SQL standard, and protocol violations. With AnyStatement they are also the classes of errors that constraints or the
// statement's own code raise, because a statement that ends with such an error has changed nothing.
func (q *QueryResult) IsStatementError() bool {
	if len(q.Code) != 5 {
		return false
	}
	class := q.Code[:2]
	return q.Code == CodeProtocolViolation || slices.Contains([]string{"0A", "22", "42"}, class) ||
		q.AnyStatement && slices.Contains([]string{"21", "23", "2B", "44", "54", "P0"}, class)
}

// AddMessage checks a message and adds it to the result. done means that the result is finished.
func (q *QueryResult) AddMessage(typ byte, body []byte) (done bool, err error) {
	if err := q.CheckMessage(typ, len(body), body); err != nil {
		return false, err
	}
	switch typ {
	case 'T', 'D', 'C':
		if q.AnyStatement {
			q.addAnyStatementMessage(typ, body)
		} else {
			return false, q.addSingleRowMessage(typ, body)
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

// addSingleRowMessage adds a RowDescription, DataRow or CommandComplete message to a result with one row.
func (q *QueryResult) addSingleRowMessage(typ byte, body []byte) error {
	q.rowMessages++
	q.Complete = q.rowMessages == len(rowMessageTypes)
	if typ == 'T' && (len(body) < 2 || binary.BigEndian.Uint16(body) != 1) {
		return &ProtocolError{"a row description of other than one column"}
	}
	if q.Rows == nil {
		q.Rows = make([]byte, 0, 128)
	}
	if typ == 'D' && cap(q.Rows)-len(q.Rows) < len(body)+trailerBytes { // with capacity for the messages after the row
		q.Rows = append(make([]byte, 0, len(q.Rows)+len(body)+trailerBytes), q.Rows...)
	}
	bodyStart := q.appendToRows(typ, body)
	if typ == 'D' {
		q.value = q.Rows[bodyStart+6:]
	}
	return nil
}

// AddRowInPlace adds a DataRow message as AddMessage does, and may take over its body. If the spare capacity of the body
// suffices for the messages before and after the row, the result is assembled in the body, so that a long value is held in
// memory only once. taken means that the body belongs to the result from now on.
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

// appendToRows appends a message to Rows and returns the offset of its body.
func (q *QueryResult) appendToRows(typ byte, body []byte) (bodyStart int) {
	q.Rows = append(q.Rows, typ)
	q.Rows = binary.BigEndian.AppendUint32(q.Rows, uint32(len(body)+4))
	bodyStart = len(q.Rows)
	q.Rows = append(q.Rows, body...)
	return bodyStart
}

// addAnyStatementMessage adds a RowDescription, DataRow or CommandComplete message to Rows, for a result with AnyStatement. The last
// completes the result. The message must have passed CheckMessage.
func (q *QueryResult) addAnyStatementMessage(typ byte, body []byte) {
	switch typ {
	case 'T', 'D':
		q.rowMessages = 1
	default:
		q.rowMessages = len(rowMessageTypes)
		q.Complete = true
	}
	bodyStart := q.appendToRows(typ, body)
	if typ == 'D' && len(body) >= 6 && isSingleColumn(body, len(body)) {
		q.value = q.Rows[bodyStart+6:]
	}
}

// addError adds an ErrorResponse message. The result keeps the code of the first error.
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

// addParameterStatus adds a ParameterStatus message, in which the server reports its role, log position or load.
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

// cutParameterStatus returns the name and the value in the body of a ParameterStatus message.
func cutParameterStatus(body []byte) (name, value []byte, ok bool) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	value, _, ended := bytes.Cut(rest, []byte{0})
	return name, value, ok && ended
}

// errorField returns the field of type typ in the body of an ErrorResponse message, or nil if there is none.
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
