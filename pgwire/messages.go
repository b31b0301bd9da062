package pgwire

import "encoding/binary"

// Messages that are written. Functions that append to b return the extended slice.

// TypeTerminate is the type of the message by which a client ends its connection.
const TypeTerminate = 'X'

var readyForQuery = []byte{'Z', 0, 0, 0, 5, 'I'}

// AppendGreeting appends the answer to a startup message: AuthenticationOk, parameters and ReadyForQuery.
func AppendGreeting(b []byte) []byte {
	b = append(b, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		b = AppendParameterStatus(b, p[0], p[1])
	}
	return append(b, readyForQuery...)
}

// AppendParameterStatus appends a ParameterStatus.
func AppendParameterStatus(b []byte, name, value string) []byte {
	return appendMessage(b, 'S', func(b []byte) []byte { return appendCString(appendCString(b, name), value) })
}

// AppendEmptyQueryResponse appends the whole answer to an empty query.
func AppendEmptyQueryResponse(b []byte) []byte {
	return append(append(b, 'I', 0, 0, 0, 4), readyForQuery...)
}

// SingleValueResult returns a result of one row with one value.
func SingleValueResult(value []byte) (r QueryResult) {
	// None of the messages can be wrong.
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	_ = r.addRowMessage('T', []byte{0, 1, 'v', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1})
	_ = r.addRowMessage('D', append(row, value...))
	_ = r.addRowMessage('C', []byte("SELECT 1\x00"))
	return r
}

// AppendReadyForQuery appends a ReadyForQuery outside any transaction.
func AppendReadyForQuery(b []byte) []byte { return append(b, readyForQuery...) }

// ErrorResponse is an error that a client or server is sent.
type ErrorResponse struct {
	Severity string // ERROR or, where the connection ends, FATAL
	Code     string // SQLSTATE
	Message  string
	Detail   string // left out where empty
}

// AppendErrorResponse appends an ErrorResponse without the ReadyForQuery that follows an ERROR.
func AppendErrorResponse(b []byte, e ErrorResponse) []byte {
	return appendMessage(b, 'E', func(b []byte) []byte {
		b = appendCString(append(b, 'S'), e.Severity)
		b = appendCString(append(b, 'V'), e.Severity)
		b = appendCString(append(b, 'C'), e.Code)
		b = appendCString(append(b, 'M'), e.Message)
		if e.Detail != "" {
			b = appendCString(append(b, 'D'), e.Detail)
		}
		return append(b, 0)
	})
}

// AppendStartup appends a startup message.
func AppendStartup(b []byte, user, database string) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), ProtocolVersion)
	b = appendCString(appendCString(b, "user"), user)
	b = append(appendCString(appendCString(b, "database"), database), 0)
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

// AppendQuery appends a Query message.
func AppendQuery(b []byte, statement string) []byte {
	return appendMessage(b, 'Q', func(b []byte) []byte { return appendCString(b, statement) })
}

// appendMessage appends a message whose body is appended by body.
func appendMessage(b []byte, typ byte, body func([]byte) []byte) []byte {
	at := len(b)
	b = body(append(b, typ, 0, 0, 0, 0))
	binary.BigEndian.PutUint32(b[at+1:], uint32(len(b)-at-1))
	return b
}

func appendCString(b []byte, s string) []byte { return append(append(b, s...), 0) }
