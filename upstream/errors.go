package upstream

import (
	"errors"

	"dapplerouter/pgwire"
)

// Reasons why a connection could not carry an attempt. The ConnectionError of an AttemptFinished event wraps them.
var (
	// ErrNoDescriptor means that no file descriptor became available within the dial timeout.
	ErrNoDescriptor = errors.New("no free descriptor for a server connection")
	// ErrUnexpectedInput means that the server closed the connection, or sent more than its greeting, before the first request.
	ErrUnexpectedInput = errors.New("server closed the connection or sent data before the first request")
	// ErrNoSeparator means that the response to the empty query before an attempt did not come, for example because the server has sent
	// more than the result of the previous attempt.
	ErrNoSeparator = errors.New("no response to the empty query before the statement")

	errPanic = errors.New("panic in a server connection")
)

// RejectedError means that a server responded to the startup message with an error.
type RejectedError struct {
	Result pgwire.QueryResult // Code is not empty
}

// Error implements error.
func (e *RejectedError) Error() string { return "server rejected the connection with " + e.Result.Code }
