package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
)

// QueryResult is what a member gave for one query.
type QueryResult struct {
	Rows          []byte // RowDescription, DataRow and CommandComplete as they came
	Complete      bool   // Rows hold exactly one row, and its end
	Code          string // of the error, "" for none
	Role          string // as the member told it, "" where it did not
	AppliedMillis int64  // Unix milliseconds
	HasApplied    bool
	LoadReport    []byte // name=value pairs set apart by commas
	row           []byte
	parts         int // how many of partTypes came

	// AnyStatement lets an answer be what a statement of any verb gets: rows in any number and of any width, or none.
	AnyStatement  bool
	MaxBytes      int    // bytes that Rows may hold, where Any; an answer that is longer ends in TooMuch
	TooLong       bool   // it was longer, and is not held: the statement ran
	ErrorMessage  string // of the error, where Any
	InTransaction bool   // a transaction is left open: the connection must not serve another request
}

const partTypes = "TDC" // the messages of a row

// Value is the one column of the row.
func (a *QueryResult) Value() []byte { return a.row }

// CheckMessage is a Check for the messages of an answer, and what Take goes by. Members that answer nonsense often keep the connection open,
// and waiting for the rest would take the request's whole time.
func (a *QueryResult) CheckMessage(typ byte, size int, begun []byte) error {
	switch typ {
	case 'T', 'D', 'C', 'I':
		if a.AnyStatement {
			return a.earlyAny(typ, size)
		}
		if typ == 'I' {
			break
		}
		if a.parts == len(partTypes) || typ != partTypes[a.parts] || a.Code != "" { // once each, in this order
			return &ProtocolError{UnexpectedMessage(typ).Reason + " out of its order"}
		}
		if typ == 'D' && (size < 6 || len(begun) >= 6 && !oneColumn(begun, size)) {
			return &ProtocolError{"a row that is not one column of its length"}
		}
	case 'Z':
		if size != 1 {
			return &ProtocolError{"a ReadyForQuery of another length"}
		}
	case 'S', 'E', 'R', 'K', 'N', 'A':
	default:
		return UnexpectedMessage(typ)
	}
	if typ != 'D' && size > longestWord && !(a.AnyStatement && typ == 'E') {
		return &ProtocolError{fmt.Sprintf("a message of type %q of %d bytes", typ, size)}
	}
	return nil
}

// earlyAny is Early for the rows of an answer to any statement: a description, rows, one end; or the end alone.
func (a *QueryResult) earlyAny(typ byte, size int) error {
	switch {
	case a.parts == len(partTypes) || a.Code != "" || typ == 'T' && a.parts > 0 || typ == 'D' && a.parts == 0,
		typ == 'I' && a.parts > 0:
		return &ProtocolError{UnexpectedMessage(typ).Reason + " out of its order"}
	case typ == 'C' && size > longestWord:
		return &ProtocolError{fmt.Sprintf("a message of type %q of %d bytes", typ, size)}
	case len(a.Rows)+size > a.MaxBytes:
		return &ResultTooLargeError{a.MaxBytes}
	}
	return nil
}

// ResultTooLargeError is an answer longer than may be held.
type ResultTooLargeError struct{ Limit int }

func (t *ResultTooLargeError) Error() string {
	return fmt.Sprintf("the answer is longer than %d bytes", t.Limit)
}

// longestWord is the longest of an answer's messages that is not the value.
const longestWord = 8 << 10

// oneColumn looks at the beginning of a row.
func oneColumn(b []byte, size int) bool {
	n := int32(binary.BigEndian.Uint32(b[2:]))
	return binary.BigEndian.Uint16(b) == 1 && n >= -1 && int(max(n, 0)) == size-6
}

// IsStatementError says whether the error is about the statement itself: the member will not run it, nor would
// another. By the standard's classes: feature, data, syntax or access, and a breach of the protocol.
func (a *QueryResult) IsStatementError() bool {
	if a.AnyStatement && len(a.Code) == 5 && slices.Contains([]string{"21", "23", "2B", "44", "54", "P0"}, a.Code[:2]) {
		return true // the data or the statement's own code said no, and would again; a statement that ends so did nothing
	}
	return a.Code == CodeProtocolViolation || len(a.Code) == 5 && slices.Contains([]string{"0A", "22", "42"}, a.Code[:2])
}

// AddMessage adds a message; done means that the answer has ended.
func (a *QueryResult) AddMessage(typ byte, body []byte) (done bool, err error) {
	if err := a.CheckMessage(typ, len(body), body); err != nil {
		return false, err
	}
	switch typ {
	case 'T', 'D', 'C', 'I':
		if a.AnyStatement {
			a.partAny(typ, body)
			return false, nil
		}
		if typ == 'I' {
			return false, nil
		}
		return false, a.part(typ, body)
	case 'S':
		name, value, ok := cutText(body)
		if !ok {
			return false, &ProtocolError{"a ParameterStatus without its end"}
		}
		return false, a.status(name, value)
	case 'E':
		code := field(body, 'C')
		if len(code) != 5 {
			return false, &ProtocolError{"an error without a code"}
		}
		if a.Code == "" {
			a.Code = string(code)
			if a.AnyStatement {
				a.ErrorMessage = string(field(body, 'M'))
			}
		}
		a.Complete = false
	case 'Z':
		if a.Code == "" && !a.Complete && a.parts > 0 {
			return false, &ProtocolError{"an end within the row"}
		}
		a.InTransaction = a.AnyStatement && body[0] != 'I'
		return true, nil
	}
	return false, nil
}

// part takes the messages of a row.
func (a *QueryResult) part(typ byte, body []byte) error {
	a.parts++
	a.Complete = a.parts == len(partTypes)
	if typ == 'T' && (len(body) < 2 || binary.BigEndian.Uint16(body) != 1) {
		return &ProtocolError{"a row description of other than one column"}
	}
	if a.Rows == nil {
		a.Rows = make([]byte, 0, 128)
	}
	if typ == 'D' && cap(a.Rows)-len(a.Rows) < len(body)+endRoom { // room for the end of the answer too
		a.Rows = append(make([]byte, 0, len(a.Rows)+len(body)+endRoom), a.Rows...)
	}
	at := a.keep(typ, body)
	if typ == 'D' {
		a.row = a.Rows[at+6:]
	}
	return nil
}

// endRoom is what the end of an answer takes behind its row.
const endRoom = 64

// AddRowInPlace is Take for a row whose body the answer keeps as its own: where the body has room for what goes before and behind it,
// the answer is put together in place, and a long value is held once. It reports whether the body is the answer's now.
func (a *QueryResult) AddRowInPlace(body []byte) (kept bool, err error) {
	before := len(a.Rows) + headerSize
	if a.AnyStatement || cap(body)-len(body) < before+endRoom {
		_, err := a.AddMessage('D', body)
		return false, err
	}
	if err := a.CheckMessage('D', len(body), body); err != nil {
		return false, err
	}
	size := len(body)
	whole := body[:before+size]
	copy(whole[before:], body)
	copy(whole, a.Rows)
	whole[len(a.Rows)] = 'D'
	binary.BigEndian.PutUint32(whole[len(a.Rows)+1:], uint32(size+4))
	a.Rows = whole
	a.row = whole[before+6:]
	a.parts++
	return true, nil
}

// headerSize is the length of a message's type and size.
const headerSize = 5

// keep adds a message to the rows, and says where its body begins.
func (a *QueryResult) keep(typ byte, body []byte) (at int) {
	a.Rows = append(a.Rows, typ)
	a.Rows = binary.BigEndian.AppendUint32(a.Rows, uint32(len(body)+4))
	at = len(a.Rows)
	a.Rows = append(a.Rows, body...)
	return at
}

// partAny takes the messages of an answer to any statement.
func (a *QueryResult) partAny(typ byte, body []byte) {
	switch typ {
	case 'T', 'D':
		a.parts = 1
	default:
		a.parts = len(partTypes)
		a.Complete = true
	}
	at := a.keep(typ, body)
	if typ == 'D' && len(body) >= 6 && oneColumn(body, len(body)) {
		a.row = a.Rows[at+6:]
	}
}

func (a *QueryResult) status(name, value []byte) error {
	switch string(name) {
	case "role":
		a.Role = string(value)
	case "applied_ms":
		n, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return &ProtocolError{"applied_ms is no number"}
		}
		a.AppliedMillis, a.HasApplied = n, true
	case "load":
		a.LoadReport = append([]byte{}, value...)
	}
	return nil
}

func cutText(b []byte) (name, value []byte, ok bool) {
	name, rest, ok := bytes.Cut(b, []byte{0})
	value, _, more := bytes.Cut(rest, []byte{0})
	return name, value, ok && more
}

// field finds a field of an ErrorResponse.
func field(b []byte, typ byte) []byte {
	for len(b) > 0 && b[0] != 0 {
		v, rest, ok := bytes.Cut(b[1:], []byte{0})
		if !ok {
			return nil
		}
		if b[0] == typ {
			return v
		}
		b = rest
	}
	return nil
}

// ParseLoadReport calls each with the name=value pairs of a load report and says whether all were well formed.
func ParseLoadReport(report []byte, each func(name string, v float64)) bool {
	for len(report) > 0 {
		var part []byte
		part, report, _ = bytes.Cut(report, []byte{','})
		name, value, ok := bytes.Cut(bytes.TrimSpace(part), []byte{'='})
		v, err := strconv.ParseFloat(string(value), 64)
		if !ok || err != nil || v != v {
			return false
		}
		each(string(name), v)
	}
	return true
}
