package pgwire

import (
	"errors"
	"fmt"
	"strconv"
)

// The texts of these errors are part of the program's responses: they are sent to clients and to peer sites.

// ErrBufferLimit is the error of a read that fails because Reader.Reserve granted no memory for the message.
var ErrBufferLimit = errors.New("too much is being sent at once")

// ProtocolError is the error for a message that violates the protocol. The connection cannot continue after it.
type ProtocolError struct{ Reason string }

// Error returns the text that is sent to clients.
func (e *ProtocolError) Error() string { return "protocol violation: " + e.Reason }

// IsProtocolError reports whether err is a violation of the protocol and not a failure of the connection.
func IsProtocolError(err error) bool {
	var e *ProtocolError
	return errors.As(err, &e)
}

// UnexpectedMessage returns the error for a message whose type is not allowed from its sender.
func UnexpectedMessage(typ byte) *ProtocolError {
	return &ProtocolError{"a message of type " + strconv.QuoteRune(rune(typ))}
}

// outOfOrder returns the error for a message of a known type that is not allowed at this point of the exchange.
func outOfOrder(typ byte) *ProtocolError {
	return &ProtocolError{UnexpectedMessage(typ).Reason + " out of its order"}
}

// StatementError is the error for a statement that cannot be served. The connection continues after it. Code is the
// SQLSTATE.
type StatementError struct{ Code, Message string }

// Error returns the message that is sent to clients.
func (e *StatementError) Error() string { return e.Message }

// statementErrorf returns a *StatementError with the given SQLSTATE and a formatted message for the client.
func statementErrorf(code, format string, args ...any) error {
	return &StatementError{code, fmt.Sprintf(format, args...)}
}

// ResultTooLargeError is the error for a result that is larger than QueryResult.MaxBytes.
type ResultTooLargeError struct{ Limit int }

// Error returns the message that is sent to the client.
func (e *ResultTooLargeError) Error() string {
	return fmt.Sprintf("the answer is longer than %d bytes", e.Limit)
}
