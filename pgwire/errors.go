package pgwire

import (
	"errors"
	"fmt"
	"strconv"
)

// The texts of these errors are sent to clients and to peer sites: they are part of what the program answers.

// ErrBufferLimit ends a message for which Reader.Reserve granted no room.
var ErrBufferLimit = errors.New("too much is being sent at once")

// ProtocolError is a message that the protocol does not allow; the connection cannot continue.
type ProtocolError struct{ Reason string }

// Error returns the reason with its prefix; it is sent to clients.
func (e *ProtocolError) Error() string { return "protocol violation: " + e.Reason }

// IsProtocolError distinguishes a violation of the protocol from a failure of the connection.
func IsProtocolError(err error) bool {
	var e *ProtocolError
	return errors.As(err, &e)
}

// UnexpectedMessage returns the error for a message of a type that is not allowed where it came.
func UnexpectedMessage(typ byte) *ProtocolError {
	return &ProtocolError{"a message of type " + strconv.QuoteRune(rune(typ))}
}

// outOfOrder returns the error for a message of a known type that is not allowed where it came.
func outOfOrder(typ byte) *ProtocolError {
	return &ProtocolError{UnexpectedMessage(typ).Reason + " out of its order"}
}

// StatementError is a statement that cannot be served; the connection continues. Code is the SQLSTATE.
type StatementError struct{ Code, Message string }

// Error returns the message; it is sent to clients.
func (e *StatementError) Error() string { return e.Message }

func statementErrorf(code, format string, args ...any) error {
	return &StatementError{code, fmt.Sprintf(format, args...)}
}

// ResultTooLargeError is a result of more bytes than QueryResult.MaxBytes.
type ResultTooLargeError struct{ Limit int }

// Error returns the message that the client gets.
func (e *ResultTooLargeError) Error() string {
	return fmt.Sprintf("the answer is longer than %d bytes", e.Limit)
}
