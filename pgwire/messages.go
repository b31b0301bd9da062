package pgwire

import "encoding/binary"

// This file encodes messages. Functions that append to b return the extended slice.

// TypeTerminate is the type of the message with which a client ends its connection.
const TypeTerminate = 'X'

var readyForQuery = []byte{'Z', 0, 0, 0, 5, 'I'}

// AppendStartupResponse appends the response to a startup message: AuthenticationOk, ParameterStatus messages and ReadyForQuery.
func AppendStartupResponse(b []byte) []byte {
	b = append(b, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, p := range [][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		b = AppendParameterStatus(b, p[0], p[1])
	}
	return append(b, readyForQuery...)
}

// AppendParameterStatus appends a ParameterStatus message.
func AppendParameterStatus(b []byte, name, value string) []byte {
	return appendMessage(b, 'S', func(b []byte) []byte { return appendCString(appendCString(b, name), value) })
}

// AppendEmptyQueryResponse appends the complete response to an empty query: EmptyQueryResponse and ReadyForQuery.
func AppendEmptyQueryResponse(b []byte) []byte {
	return append(append(b, 'I', 0, 0, 0, 4), readyForQuery...)
}

// SingleValueResult returns a result of one row with one column, named v, that holds value.
func SingleValueResult(value []byte) (r QueryResult) {
	// These messages are well formed, so adding them cannot fail.
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	_ = r.addSingleRowMessage('T', []byte{0, 1, 'v', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1})
	_ = r.addSingleRowMessage('D', append(row, value...))
	_ = r.addSingleRowMessage('C', []byte("SELECT 1\x00"))
	return r
}

// AppendReadyForQuery appends a ReadyForQuery message with the status idle (not in a transaction).
func AppendReadyForQuery(b []byte) []byte { return append(b, readyForQuery...) }

// ErrorResponse holds the fields of an ErrorResponse message.
type ErrorResponse struct {
	Severity string // ERROR, or FATAL if the connection ends
	Code     string // SQLSTATE
	Message  string
	Detail   string // omitted if empty
}

// AppendErrorResponse appends an ErrorResponse message. The ReadyForQuery message that must follow an error of severity
// ERROR is not included.
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

// AppendStartup appends a startup message for protocol version 3.0.
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

// appendMessage appends a message of type typ. The function body appends the message's body.
func appendMessage(b []byte, typ byte, body func([]byte) []byte) []byte {
	at := len(b)
	b = body(append(b, typ, 0, 0, 0, 0))
	binary.BigEndian.PutUint32(b[at+1:], uint32(len(b)-at-1))
	return b
}

// appendCString appends s and a terminating zero byte.
func appendCString(b []byte, s string) []byte { return append(append(b, s...), 0) }
